#include "run_check.hpp"

#include "http_fetch.hpp"
#include "json_fields.hpp"

#include <algorithm>
#include <sstream>

namespace yuccaspan::standins {

namespace {

constexpr std::string_view orderSuffix = "order";

bool overlaps(const TargetHold &one, const TargetHold &other)
{
    const bool sameKeys =
        one.service == other.service && one.first <= other.last && other.first <= one.last;
    return sameKeys && one.fromUs < other.untilUs && other.fromUs < one.untilUs;
}

std::string describe(const TargetHold &one, const TargetHold &other)
{
    std::ostringstream text;
    for (const TargetHold *hold : {&one, &other})
        text << hold->target << ' ' << keyHashText(hold->first) << '-' << keyHashText(hold->last)
             << " token " << hold->token << " from " << hold->fromUs << " to " << hold->untilUs
             << "; ";
    return text.str();
}

std::vector<std::string> findHeldTwice(std::vector<TargetHold> holds)
{
    const auto earlier = [](const TargetHold &one, const TargetHold &other) {
        return one.fromUs < other.fromUs;
    };
    std::sort(holds.begin(), holds.end(), earlier);
    std::vector<std::string> found;
    for (std::size_t index = 0; index < holds.size(); ++index) {
        const TargetHold &hold = holds[index];
        for (std::size_t next = index + 1; next < holds.size(); ++next) {
            if (holds[next].fromUs >= hold.untilUs)
                break;
            if (holds[next].target != hold.target && overlaps(hold, holds[next]))
                found.push_back(describe(hold, holds[next]));
        }
    }
    return found;
}

/// Runs of a key at one target that began after a run with a higher token at another one.
void findFormerOwner(const ServiceKey &key, std::vector<TargetRun> runs,
                     std::vector<std::string> &found)
{
    std::sort(runs.begin(), runs.end(), [](const TargetRun &one, const TargetRun &other) {
        return one.beganUs < other.beganUs;
    });
    const TargetRun *highest = nullptr;
    for (const TargetRun &run : runs) {
        if (highest && run.token < highest->token && run.target != highest->target)
            found.push_back(key.service + ' ' + key.hash + ' ' + run.target + " token "
                            + std::to_string(run.token) + " after " + highest->target + " token "
                            + std::to_string(highest->token));
        if (!highest || run.token > highest->token)
            highest = &run;
    }
}

std::uint64_t runsOf(const RunRecord &record, const std::string &id)
{
    const auto found = record.runs.find(id);
    return found == record.runs.end() ? 0 : found->second;
}

} // namespace

std::map<std::string, CallerRow> readCallerLedger(const std::string &text)
{
    std::map<std::string, CallerRow> rows;
    std::istringstream lines(text);
    std::string id;
    CallerRow row;
    while (lines >> id >> row.result >> row.reason >> row.kind)
        rows[id] = row;
    return rows;
}

bool addTarget(RunRecord &record, const std::string &ledger, const std::string &grants)
{
    const auto ledgerJson = parseObject(ledger);
    const auto grantsJson = parseObject(grants);
    if (!ledgerJson || !grantsJson || !ledgerJson->contains("runs")
        || !grantsJson->contains("history"))
        return false;
    const std::string target = grantsJson->value("id", "");
    for (const Json &run : (*ledgerJson)["runs"]) {
        record.runs[run.value("requestId", "")] += run.value("count", std::uint64_t{0});
        record.runsByKey[{run.value("service", ""), run.value("key", "")}].push_back(
            {target, run.value("token", std::uint64_t{0}), run.value("beganUs", std::int64_t{0})});
    }
    for (const Json &hold : (*grantsJson)["history"]) {
        TargetHold row;
        row.target = target;
        row.service = hold.value("service", "");
        row.first = parseHash(hold.value("first", "")).value_or(0);
        row.last = parseHash(hold.value("last", "")).value_or(0);
        row.token = hold.value("token", std::uint64_t{0});
        row.fromUs = hold.value("fromUs", std::int64_t{0});
        row.untilUs = hold.value("untilUs", std::int64_t{0});
        record.holds.push_back(std::move(row));
    }
    return true;
}

Result<RunRecord> collect(Cluster &cluster)
{
    RunRecord record;
    record.calls = readCallerLedger(readFile(cluster.folder() + "/ledger.txt"));
    for (const Member &target : cluster.targets()) {
        const auto ledger = fetch({target.address, "GET", "/control/ledger", {}, {}});
        const auto grants = fetch({target.address, "GET", "/control/grants", {}, {}});
        if (!ledger)
            return ledger.error();
        if (!grants)
            return grants.error();
        if (!addTarget(record, ledger->body, grants->body))
            return Error{ErrorCode::ParseFailed, target.id + ": malformed ledger", {}};
    }
    return record;
}

RunFindings check(const RunRecord &record)
{
    RunFindings findings;
    for (const auto &[id, row] : record.calls) {
        const std::uint64_t runs = runsOf(record, id);
        if (row.kind.ends_with(orderSuffix) && runs > 1)
            findings.ordersRunTwice.push_back(id);
        if (row.result == "not-run" && runs > 0)
            findings.notRunButRun.push_back(id + ' ' + row.reason);
        if (row.result == "done" && runs == 0)
            findings.doneButNotRun.push_back(id);
    }
    findings.heldTwice = findHeldTwice(record.holds);
    for (const auto &[key, runs] : record.runsByKey)
        findFormerOwner(key, runs, findings.ranAtFormerOwner);
    return findings;
}

} // namespace yuccaspan::standins

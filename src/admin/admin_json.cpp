#include "admin/admin_json.hpp"

#include "settings/document.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>

namespace yuccaspan::impl {

namespace {

double milliseconds(Duration duration)
{
    constexpr double microsecondsPerMillisecond = 1000;
    return static_cast<double>(duration.count()) / microsecondsPerMillisecond;
}

Json rangeJson(const KeyRange &range)
{
    return {{"first", keyHashText(range.first)}, {"last", keyHashText(range.last)}};
}

Json cellNameJson(const CellId &cell)
{
    return {{"service", cell.service.text()}, {"zone", cell.zone.text()}, {"index", cell.index}};
}

Json memberJson(const Member &member)
{
    return {{"id", member.id.text()},
            {"zone", member.zone.text()},
            {"alive", member.alive},
            {"leaving", member.leaving},
            {"knownToStore", member.knownToStore}};
}

Json storeJson(const StoreCounters &counters)
{
    return {{"reads", counters.reads},
            {"writes", counters.writes},
            {"watches", counters.watches},
            {"lists", counters.lists},
            {"conflicts", counters.conflicts},
            {"unavailable", counters.unavailable},
            {"unknownResults", counters.unknownResults},
            {"limited", counters.limited},
            {"connects", counters.connects}};
}

Json sliceJson(const SliceRecord &slice)
{
    Json json = rangeJson(slice.range);
    json["owner"] = slice.owner.text();
    json["token"] = slice.token.value;
    json["phase"] = std::string(toString(slice.phase));
    if (slice.phase == SlicePhase::Moving) {
        json["nextOwner"] = slice.nextOwner.text();
        json["nextToken"] = slice.nextToken.value;
    }
    return json;
}

Json cellJson(const CellStatus &status)
{
    Json json = cellNameJson(status.cell);
    json["version"] = status.version.value;
    json["term"] = status.record.term.value;
    json["placer"] = status.record.placer.text();
    json["candidates"] = Json::array();
    for (const InstanceId &candidate : status.record.candidates)
        json["candidates"].push_back(candidate.text());
    json["isPlacer"] = status.isPlacer;
    json["authorityLeftMs"] = milliseconds(status.authorityLeft);
    json["movesUnderWay"] = status.movesUnderWay;
    json["targetsWithoutGrant"] = status.targetsWithoutGrant;
    json["slices"] = Json::array();
    for (const SliceRecord &slice : status.record.slices)
        json["slices"].push_back(sliceJson(slice));
    return json;
}

Json targetReportJson(const TargetReport &report)
{
    return {{"startId", report.startId},
            {"state", std::string(toString(report.state))},
            {"running", report.running},
            {"waiting", report.waiting},
            {"allowance", report.allowance},
            {"slowdown", report.slowdown},
            {"openConnections", report.connections}};
}

std::optional<KeyHash> parseHash(const std::string &text)
{
    KeyHash hash = 0;
    const char *end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, hash, 16);
    if (text.empty() || failure != std::errc() || stop != end)
        return std::nullopt;
    return hash;
}

} // namespace

Json statusJson(const InstanceReport &report)
{
    Json json{{"instance", report.id.text()},
              {"zone", report.zone.text()},
              {"settingsVersion", report.settingsVersion.value},
              {"ready", report.ready},
              {"leaving", report.leaving},
              {"storeReachable", report.storeReachable},
              {"uptimeMs", milliseconds(report.uptime)},
              {"storeCalls", storeJson(report.storeCalls)},
              {"members", Json::array()}};
    for (const Member &member : report.members)
        json["members"].push_back(memberJson(member));
    return json;
}

Json servicesJson(const Settings &settings)
{
    return {{"settingsVersion", settings.version.value},
            {"services", settingsToJson(settings)["services"]}};
}

Json targetsJson(const Settings &settings, const std::vector<TargetReport> &reports)
{
    const Json document = settingsToJson(settings);
    Json targets = Json::object();
    for (const ServiceSettings &service : settings.services) {
        for (const TargetSettings &target : service.targets) {
            Json &json = targets[target.id.text()];
            json = document["services"][service.name.text()]["targets"][target.id.text()];
            json["service"] = service.name.text();
            json["mayReceiveWork"] = settings.mayReceiveWork(target);
        }
    }
    for (const TargetReport &report : reports) {
        if (targets.contains(report.id.text()))
            targets[report.id.text()]["seen"] = targetReportJson(report);
    }
    return {{"targets", targets}};
}

Json zonesJson(const Settings &settings)
{
    return {{"zones", settingsToJson(settings)["zones"]}};
}

Json assignmentJson(const std::vector<CellStatus> &cells)
{
    Json json = Json::array();
    for (const CellStatus &cell : cells)
        json.push_back(cellJson(cell));
    return {{"cells", json}};
}

Json movesJson(const std::vector<CellStatus> &cells)
{
    Json moves = Json::array();
    for (const CellStatus &cell : cells) {
        for (const SliceRecord &slice : cell.record.slices) {
            if (slice.phase != SlicePhase::Moving)
                continue;
            Json move = cellNameJson(cell.cell);
            move.update(sliceJson(slice));
            moves.push_back(std::move(move));
        }
    }
    return {{"moves", moves}};
}

Json explainJson(const Settings &settings, const ServiceName &service, const std::string &key,
                 const Explanation &explanation)
{
    Json json{
        {"service", service.text()}, {"key", key},       {"hash", keyHashText(explanation.hash)},
        {"cell", nullptr},           {"slice", nullptr}, {"reasons", explanation.reasons}};
    if (const ServiceSettings *found = settings.findService(service))
        json["rules"] = settingsToJson(settings)["services"][found->name.text()]["rules"];
    if (explanation.cell.service.empty())
        return json;
    const Route &route = explanation.route;
    json["cell"] = cellNameJson(explanation.cell);
    json["slice"] = rangeJson(route.range);
    json["owner"] = route.owner.text();
    json["token"] = route.token.value;
    json["state"] = std::string(toString(route.state));
    json["viewLeaseLeftMs"] = milliseconds(explanation.viewLeaseLeft);
    json["target"] = targetReportJson(explanation.target);
    return json;
}

Json errorJson(const Error &error)
{
    return {{"error", {{"code", std::string(toString(error.code))}, {"text", error.text}}}};
}

Result<MoveOrder> readMoveOrder(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (json.is_discarded())
        return Error{ErrorCode::ParseFailed, "the body is not JSON", {}};
    const auto hasString = [&](const char *name) {
        return json.contains(name) && json[name].is_string();
    };
    if (!json.is_object() || !hasString("service") || !hasString("to")
        || !(hasString("key") || hasString("hash")))
        return Error{
            ErrorCode::SchemaViolation, "expected the strings service, to, and key or hash", {}};
    MoveOrder order;
    order.service = ServiceName(json["service"].get<std::string>());
    order.to = TargetId(json["to"].get<std::string>());
    order.why = hasString("why") ? json["why"].get<std::string>() : "requested by an operator";
    if (hasString("key")) {
        order.hash = hashKey(json["key"].get<std::string>());
        return order;
    }
    const std::optional<KeyHash> hash = parseHash(json["hash"].get<std::string>());
    if (!hash)
        return Error{ErrorCode::SchemaViolation, "expected hash as hexadecimal digits", {}};
    order.hash = *hash;
    return order;
}

} // namespace yuccaspan::impl

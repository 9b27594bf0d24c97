#include "placement/candidate_choice.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace yuccaspan::impl {

namespace {

bool holdsWhenCutOff(const Context &context, const CellId &cell)
{
    const ServiceSettings *service = context.findService(cell.service);
    return service != nullptr && service->whenCutOff == CutOffPolicy::Hold;
}

bool isZoneStopped(const Context &context, const ZoneId &id)
{
    const ZoneSettings *zone = context.settings->findZone(id);
    return zone == nullptr || (zone->out && zone->stopped);
}

KeyHash rendezvousHash(const InstanceId &id, std::string_view path)
{
    return hashKey(id.text() + "|" + std::string(path));
}

std::optional<InstanceId> bestNewCandidate(const Context &context, const CellRecord &record)
{
    std::map<ZoneId, std::size_t> candidatesPerZone;
    for (const InstanceId &candidate : record.candidates) {
        if (const Member *member = context.findMember(candidate))
            ++candidatesPerZone[member->zone];
    }
    using Score = std::tuple<std::size_t, bool, KeyHash>;
    std::optional<std::pair<Score, InstanceId>> best;
    for (const Member &member : context.members) {
        const bool isCandidate =
            std::ranges::find(record.candidates, member.id) != record.candidates.end();
        if (isCandidate || !member.alive || member.leaving || !member.knownToStore
            || !mayBeCandidate(context, record.cell, member))
            continue;
        const Score score{candidatesPerZone[member.zone], member.zone != record.cell.zone,
                          rendezvousHash(member.id, record.cell.path())};
        if (!best || score < best->first)
            best.emplace(score, member.id);
    }
    return best ? std::optional(best->second) : std::nullopt;
}

struct Reachability
{
    std::size_t expected = 0;
    std::size_t reachable = 0;
};

Reachability countReachable(const Context &context, const CellId &cell)
{
    const bool homeZoneOnly = holdsWhenCutOff(context, cell) && context.self.zone == cell.zone;
    Reachability counts;
    for (const Member &member : context.members) {
        if (homeZoneOnly && member.zone != cell.zone)
            continue;
        if (!member.knownToStore && !member.alive)
            continue;
        ++counts.expected;
        counts.reachable += member.alive ? 1 : 0;
    }
    return counts;
}

} // namespace

bool mayBeCandidate(const Context &context, const CellId &cell, const Member &member)
{
    if (!holdsWhenCutOff(context, cell) || member.zone == cell.zone)
        return true;
    const bool homeZoneHasInstances =
        std::ranges::any_of(context.members, [&](const Member &other) {
            return other.zone == cell.zone && (other.knownToStore || other.alive);
        });
    return !homeZoneHasInstances || isZoneStopped(context, cell.zone);
}

bool hearsFromMajority(const Context &context, const CellId &cell)
{
    const Reachability counts = countReachable(context, cell);
    return 2 * counts.reachable > counts.expected;
}

bool hearsFromHalf(const Context &context, const CellId &cell)
{
    const Reachability counts = countReachable(context, cell);
    return 2 * counts.reachable >= counts.expected;
}

bool improveCandidates(const Context &context, CellRecord &record,
                       const std::vector<InstanceId> &unsuitable)
{
    const auto newCandidate = bestNewCandidate(context, record);
    std::vector<InstanceId> &candidates = record.candidates;
    if (!unsuitable.empty() && hearsFromMajority(context, record.cell)) {
        const auto position = std::ranges::find(candidates, unsuitable.front());
        if (newCandidate)
            *position = *newCandidate;
        else
            candidates.erase(position);
        return true;
    }
    if (!newCandidate || candidates.size() >= context.timing.maxCandidates)
        return false;
    candidates.push_back(*newCandidate);
    return true;
}

std::optional<InstanceId> chooseSuccessor(const Context &context, const CellRecord &record)
{
    std::optional<InstanceId> best;
    for (const InstanceId &candidate : record.candidates) {
        const Member *member = context.findMember(candidate);
        if (candidate == context.self.id || member == nullptr || !member->alive || member->leaving)
            continue;
        if (!best || member->zone == record.cell.zone)
            best = candidate;
    }
    return best;
}

std::size_t creationRank(const Context &context, std::string_view path, const ZoneId &preferredZone)
{
    using Score = std::tuple<bool, KeyHash>;
    const auto scoreOf = [&](const InstanceId &id, const ZoneId &zone) {
        return Score{zone != preferredZone, rendezvousHash(id, path)};
    };
    const Score own = scoreOf(context.self.id, context.self.zone);
    return static_cast<std::size_t>(
        std::ranges::count_if(context.members, [&](const Member &member) {
            return member.alive && !member.leaving && member.id != context.self.id
                && scoreOf(member.id, member.zone) < own;
        }));
}

} // namespace yuccaspan::impl

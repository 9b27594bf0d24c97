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

std::optional<InstanceId> bestNewcomer(const Context &context, const CellRecord &record)
{
    std::map<ZoneId, std::size_t> perZone;
    for (const InstanceId &candidate : record.candidates) {
        if (const Member *member = context.findMember(candidate))
            ++perZone[member->zone];
    }
    using Score = std::tuple<std::size_t, bool, KeyHash>;
    std::optional<std::pair<Score, InstanceId>> best;
    for (const Member &member : context.members) {
        const bool isListed =
            std::ranges::find(record.candidates, member.id) != record.candidates.end();
        if (isListed || !member.alive || member.leaving || !member.knownToStore
            || !mayBeCandidate(context, record.cell, member))
            continue;
        const Score score{perZone[member.zone], member.zone != record.cell.zone,
                          rendezvousHash(member.id, record.cell.path())};
        if (!best || score < best->first)
            best.emplace(score, member.id);
    }
    return best ? std::optional(best->second) : std::nullopt;
}

struct Audience
{
    std::size_t listed = 0;
    std::size_t heard = 0;
};

Audience countAudience(const Context &context, const CellId &cell)
{
    const bool homeOnly = holdsWhenCutOff(context, cell) && context.self.zone == cell.zone;
    Audience audience;
    for (const Member &member : context.members) {
        if (homeOnly && member.zone != cell.zone)
            continue;
        if (!member.knownToStore && !member.alive)
            continue;
        ++audience.listed;
        audience.heard += member.alive ? 1 : 0;
    }
    return audience;
}

} // namespace

bool mayBeCandidate(const Context &context, const CellId &cell, const Member &member)
{
    if (!holdsWhenCutOff(context, cell) || member.zone == cell.zone)
        return true;
    const bool homeHasInstances = std::ranges::any_of(context.members, [&](const Member &other) {
        return other.zone == cell.zone && (other.knownToStore || other.alive);
    });
    return !homeHasInstances || isZoneStopped(context, cell.zone);
}

bool hearsMajority(const Context &context, const CellId &cell)
{
    const Audience audience = countAudience(context, cell);
    return 2 * audience.heard > audience.listed;
}

bool hearsHalf(const Context &context, const CellId &cell)
{
    const Audience audience = countAudience(context, cell);
    return 2 * audience.heard >= audience.listed;
}

bool improveCandidates(const Context &context, CellRecord &record,
                       const std::vector<InstanceId> &unfit)
{
    const auto newcomer = bestNewcomer(context, record);
    std::vector<InstanceId> &candidates = record.candidates;
    if (!unfit.empty() && hearsMajority(context, record.cell)) {
        const auto place = std::ranges::find(candidates, unfit.front());
        if (newcomer)
            *place = *newcomer;
        else
            candidates.erase(place);
        return true;
    }
    if (!newcomer || candidates.size() >= context.timing.maxCandidates)
        return false;
    candidates.push_back(*newcomer);
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

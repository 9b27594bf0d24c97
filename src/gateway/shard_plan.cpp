// Where keys are to lie: the part of the placer that chooses moves; the steps of a move are in
// shard_placer.cpp.

#include "gateway/shard_placer.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

namespace yuccaspan::gateway {

namespace {

/// Moves that only improve the balance and run at a time, for each target; each makes its keys wait
/// for a moment. A zone that comes back brings a third of the targets without keys.
constexpr double balanceMovesPerTarget = 0.35;
constexpr std::size_t leastBalanceMoves = 4;
std::size_t maxBalanceMoves(std::size_t targets)
{
    return std::max(leastBalanceMoves,
                    static_cast<std::size_t>(balanceMovesPerTarget * static_cast<double>(targets)));
}
/// Pieces that the keys of a target that left are cut into, so that no receiver takes them all.
constexpr std::size_t maxPieces = 3;
/// Ranges for each target beyond which the keys of an owner that leaves are no longer cut.
constexpr std::size_t wantedRangesPerTarget = 3;
/// Work in slots that makes a piece of its own when the keys of an owner that leaves are cut.
constexpr double workPerPiece = 1.0;
/// Between two rounds of joining neighbouring ranges; each costs two writes of the record.
constexpr Duration refenceEvery = std::chrono::milliseconds(1000);
/// Ranges that moved a moment ago may move on.
constexpr Duration refenceAfter = std::chrono::milliseconds(2000);
/// Pairs that are joined in a round.
constexpr std::size_t maxRefences = 6;
/// Between two rounds of balancing; the load needs that long to show the last round.
constexpr Duration spreadEvery = std::chrono::milliseconds(500);
/// Load of the busiest target over the mean that starts a move.
constexpr double spreadAbove = 1.5;
/// Work beyond its part under which a target needs no relief, in slots: the load is known no
/// better.
constexpr double leastExcess = 1.5;
/// Part of all slots in use up to which fast targets are preferred in full.
constexpr double roomyLoad = 0.35;
/// Part of all slots in use from which all targets are used alike.
constexpr double fullLoad = 0.7;
/// While there is room, work is dealt by speed to this power: the fast ones of two kinds that
/// differ by 1.4 get twice the work, not so much that requests wait there.
constexpr double roomyExponent = 2.2;
/// Ranges for each target beyond which spans are no longer cut.
constexpr std::size_t maxRangesPerTarget = 6;
/// The span without its end, if most of its keys lie there with little of the work: hot keys lie
/// close together, and the others need not move with them.
KeySpan trimmed(const KeySpan &keys, const KeyLoad &load)
{
    constexpr double workKept = 0.8;
    const std::uint32_t end = load.cut(keys, workKept);
    const bool worthwhile = end != keys.first && (keys.last - end + 1) * 2 > keys.size();
    return worthwhile ? KeySpan{keys.first, end - 1} : keys;
}

} // namespace

/// Measures the work on each range and sums it up by target.
ShardPlacer::Standings ShardPlacer::standings(const PlacementView &view, TimePoint now)
{
    Standings known;
    for (const auto &[id, target] : view.directory.targets()) {
        if (target.entry.service == m_service && view.directory.usable(target)) {
            Standing &standing = known[id];
            standing.slots = target.entry.slots;
            standing.slowness = std::max(view.slowness(target), 0.1);
            standing.cold = target.cold(now);
        }
    }
    for (Slot &slot : m_slots) {
        slot.work = view.load.rate(slot.range.keys, now);
        const std::optional<Holder> &holder = slot.range.next ? slot.range.next : slot.range.owner;
        const auto found = holder ? known.find(holder->target) : known.end();
        if (found == known.end())
            continue;
        found->second.work += slot.work;
        found->second.keys += slot.range.keys.size();
    }
    preferFast(known);
    return known;
}

/// While there is room, fast targets get more than their part of the work: what a slow one serves
/// is late even when it is idle. As load grows, all are used alike.
void ShardPlacer::preferFast(Standings &standings) const
{
    double work = 0;
    double capacity = 0;
    for (const auto &[id, standing] : standings) {
        work += standing.work;
        capacity += standing.slots / standing.slowness;
    }
    const double used =
        std::clamp((work / std::max(capacity, 0.1) - roomyLoad) / (fullLoad - roomyLoad), 0.0, 1.0);
    const double exponent = roomyExponent + used * (1.0 - roomyExponent);
    for (auto &[id, standing] : standings)
        standing.capacity = std::max(standing.slots / std::pow(standing.slowness, exponent), 0.1);
}

std::optional<std::string> ShardPlacer::chooseReceiver(const Standings &standings,
                                                       double work) const
{
    // Warm before cold, then the least loaded, then the one with the fewest keys.
    const auto better = [work](const auto &left, const auto &right) {
        const Standing &a = left.second;
        const Standing &b = right.second;
        if (a.cold != b.cold)
            return b.cold;
        const double loadA = (a.work + work) / a.capacity;
        const double loadB = (b.work + work) / b.capacity;
        constexpr double sameLoad = 0.02;
        if (std::abs(loadA - loadB) > sameLoad)
            return loadA < loadB;
        return a.keys / a.capacity < b.keys / b.capacity;
    };
    const auto best = std::ranges::min_element(standings, better);
    if (best == standings.end())
        return std::nullopt;
    return best->first;
}

void ShardPlacer::startRecord(const Standings &standings)
{
    if (standings.empty())
        return;
    double total = 0;
    for (const auto &[id, standing] : standings)
        total += standing.capacity;
    double sum = 0;
    std::uint32_t first = 0;
    for (const auto &[id, standing] : standings) {
        sum += standing.capacity;
        const auto end = static_cast<std::uint32_t>(std::lround((lastKey + 1) * sum / total));
        if (end <= first)
            continue;
        Slot slot;
        slot.range.keys = {first, end - 1};
        first = end;
        m_slots.push_back(std::move(slot));
    }
    m_slots.back().range.keys.last = lastKey;
}

void ShardPlacer::splitSlot(std::size_t index, std::uint32_t firstOfSecond,
                            const PlacementView &view, TimePoint now)
{
    Slot second = m_slots[index];
    second.range.keys.first = firstOfSecond;
    second.work = view.load.rate(second.range.keys, now);
    Slot &first = m_slots[index];
    first.range.keys.last = firstOfSecond - 1;
    first.work = std::max(first.work - second.work, 0.0);
    m_slots.insert(m_slots.begin() + static_cast<std::ptrdiff_t>(index) + 1, std::move(second));
}

void ShardPlacer::mergeNeighbours()
{
    for (std::size_t index = 0; index + 1 < m_slots.size();) {
        Slot &left = m_slots[index];
        const Slot &right = m_slots[index + 1];
        const bool same = left.stage == Stage::Settled && right.stage == Stage::Settled
            && left.range.owner && left.range.owner == right.range.owner && !left.orderInFlight
            && !right.orderInFlight && !left.needsWrite && !right.needsWrite;
        if (!same) {
            ++index;
            continue;
        }
        left.range.keys.last = right.range.keys.last;
        left.hold.include(right.hold);
        left.dueAt = std::min(left.dueAt, right.dueAt);
        left.settledAt = std::max(left.settledAt, right.settledAt);
        m_slots.erase(m_slots.begin() + static_cast<std::ptrdiff_t>(index) + 1);
    }
}

/// Gives neighbouring ranges of one owner the same fencing token, so that they become one again.
void ShardPlacer::refenceNeighbours(PlacerOutput &out, TimePoint now)
{
    if (now - m_lastRefence < refenceEvery)
        return;
    const auto restful = [now](const Slot &slot) {
        return slot.stage == Stage::Settled && slot.range.owner && !slot.silent && !slot.needsWrite
            && now >= slot.hold.doubtUntil && now - slot.settledAt >= refenceAfter;
    };
    std::size_t pairs = 0;
    for (std::size_t index = 0; index + 1 < m_slots.size() && pairs < maxRefences; ++index) {
        Slot &left = m_slots[index];
        Slot &right = m_slots[index + 1];
        if (!restful(left) || !restful(right) || !left.range.owner->sameLife(*right.range.owner))
            continue;
        m_lastRefence = now;
        Holder merged = *left.range.owner;
        merged.fence = ++m_lastFence;
        for (Slot *slot : {&left, &right}) {
            slot->range.next = merged;
            slot->stage = Stage::AwaitIntent;
            slot->needsWrite = true;
            slot->failedGrants = 0;
            slot->nextHold = {};
        }
        out.notes.push_back({"refence",
                             {left.range.keys.first, right.range.keys.last},
                             merged.target,
                             merged.target,
                             merged.fence,
                             "neighbours of one owner"});
        ++pairs;
        ++index;
    }
}

/// Pieces that the keys of an owner that leaves are cut into: as many as their work is worth.
std::size_t ShardPlacer::piecesFor(double work, const Standings &standings) const
{
    const bool manyRanges = m_slots.size() > wantedRangesPerTarget * standings.size();
    const auto byWork = static_cast<std::size_t>(std::ceil(work / workPerPiece));
    const std::size_t most = manyRanges ? 1 : maxPieces;
    return std::clamp<std::size_t>(byWork, 1,
                                   std::min(most, std::max<std::size_t>(standings.size(), 1)));
}

/// Begins a move and counts its keys and their work with the receiver from now on.
void ShardPlacer::giveTo(const std::string &receiver, std::size_t index, double work,
                         std::string_view reason, const PlacementView &view, Standings &standings,
                         PlacerOutput &out)
{
    Standing &taker = standings[receiver];
    taker.work += work;
    taker.keys += m_slots[index].range.keys.size();
    beginMove(index, *view.directory.find(receiver), reason, out);
}

void ShardPlacer::reassignUnusable(const PlacementView &view, Standings &standings,
                                   PlacerOutput &out, TimePoint now)
{
    for (std::size_t index = 0; index < m_slots.size(); ++index) {
        if (m_slots[index].stage != Stage::Settled || m_slots[index].needsWrite)
            continue;
        const std::optional<Holder> owner = m_slots[index].range.owner;
        const Target *target = owner ? view.directory.find(owner->target) : nullptr;
        const bool ended = owner && hasEnded(*owner, view.directory);
        if (owner && !ended && target != nullptr && view.directory.usable(*target))
            continue;
        // An owner that this instance has not yet read about is asked for its keys only when its
        // grants have lapsed without a renewal.
        if (owner && !ended && target == nullptr && now < m_slots[index].hold.until)
            continue;
        const bool inDoubt = owner && !ended && now < m_slots[index].hold.doubtUntil;
        const bool mayWait = target != nullptr && target->leavingSince
            && now - *target->leavingSince < m_timing.leaveWithin;
        if (inDoubt && mayWait)
            continue;
        // Nothing is gained by a move that waits for a silent owner; it may be heard again.
        if (owner && !ended && m_slots[index].silent && now < m_slots[index].hold.until)
            continue;
        if (owner && !ended) {
            const std::size_t pieces = piecesFor(m_slots[index].work, standings);
            for (std::size_t piece = pieces; piece > 1; --piece) {
                const std::uint32_t at =
                    view.load.cut(m_slots[index].range.keys, 1.0 / static_cast<double>(piece));
                if (at == m_slots[index].range.keys.first)
                    break;
                splitSlot(index, at, view, now);
                const double work = m_slots[index].work;
                if (const auto receiver = chooseReceiver(standings, work))
                    giveTo(*receiver, index, work, "owner leaves", view, standings, out);
                ++index;
            }
        }
        const double work = m_slots[index].work;
        auto receiver = chooseReceiver(standings, work);
        if (!receiver)
            continue;
        // While grants may yet reach the later life of an owner, it alone can be given the keys.
        const bool startedAgain = owner && hasLaterLife(*owner, view.directory)
            && now < m_slots[index].hold.laterLifeDoubtUntil && standings.contains(owner->target);
        if (startedAgain)
            receiver = owner->target;
        if (owner && isReplaced(*owner, view.directory)) {
            m_slots[index].released = true;
            m_slots[index].hold.until = now;
        }
        const std::string_view gone = ended ? "owner ended" : "owner leaves";
        giveTo(*receiver, index, work, startedAgain ? "owner started again" : gone, view, standings,
               out);
    }
}

std::vector<ShardPlacer::Donor> ShardPlacer::donors(Standings &standings, TimePoint now) const
{
    std::vector<Donor> found;
    for (const Slot &slot : m_slots) {
        if (slot.stage != Stage::Settled || slot.needsWrite || now < slot.hold.doubtUntil
            || !slot.range.owner || slot.range.keys.size() < 2)
            continue;
        const auto owner = standings.find(slot.range.owner->target);
        if (owner != standings.end())
            found.push_back({slot.firstKey(), &owner->second, slot.work, slot.range.keys.size()});
    }
    return found;
}

void ShardPlacer::fillEmpty(const PlacementView &view, Standings &standings, PlacerOutput &out,
                            TimePoint now)
{
    const auto empty = [](const auto &item) { return item.second.keys == 0 && !item.second.cold; };
    if (std::ranges::none_of(standings, empty))
        return;
    std::vector<Donor> known = donors(standings, now);
    std::size_t moves = movesUnderWay();
    for (auto &[id, standing] : standings) {
        if (standing.keys != 0 || standing.cold)
            continue;
        if (moves >= maxBalanceMoves(standings.size()))
            return;
        // From the target with the most work for its size; by keys while there is no work.
        const auto donor = std::ranges::max_element(known, {}, &Donor::score);
        if (donor == known.end() || donor->keys < 2)
            return;
        const auto slot = std::ranges::lower_bound(m_slots, donor->firstKey, {}, &Slot::firstKey);
        const auto index = static_cast<std::size_t>(slot - m_slots.begin());
        const KeySpan keys = slot->range.keys;
        std::uint32_t at = view.load.cut(keys, 0.5);
        if (at == keys.first)
            at = keys.first + keys.size() / 2;
        splitSlot(index, at, view, now);
        const Slot &moved = m_slots[index + 1];
        const double work = moved.work;
        donor->giver->work -= work;
        donor->giver->keys -= std::min(donor->giver->keys, moved.range.keys.size());
        donor->work -= work;
        donor->keys -= moved.range.keys.size();
        giveTo(id, index + 1, work, "target has no keys", view, standings, out);
        ++moves;
    }
}

void ShardPlacer::spreadHot(const PlacementView &view, Standings &standings, PlacerOutput &out,
                            TimePoint now)
{
    if (now - m_lastSpread < spreadEvery || standings.size() < 2)
        return;
    m_lastSpread = now;
    double work = 0;
    double capacity = 0;
    std::vector<std::string> byLoad;
    for (const auto &[id, standing] : standings) {
        work += standing.work;
        capacity += standing.capacity;
        byLoad.push_back(id);
    }
    const auto loadOf = [&](const std::string &id) { return standings.find(id)->second.load(); };
    std::ranges::sort(byLoad, std::greater<>(), loadOf);
    const double mean = work / capacity;
    std::size_t moves = movesUnderWay();
    for (const std::string &giver : byLoad) {
        if (moves >= maxBalanceMoves(standings.size()))
            return;
        if (relieve(giver, mean, view, standings, out, now))
            ++moves;
    }
}

std::optional<std::size_t> ShardPlacer::heaviestMovable(const std::string &owner,
                                                        TimePoint now) const
{
    std::optional<std::size_t> heaviest;
    double most = 0;
    for (std::size_t index = 0; index < m_slots.size(); ++index) {
        const Slot &slot = m_slots[index];
        const bool movable = slot.stage == Stage::Settled && !slot.needsWrite && slot.range.owner
            && slot.range.owner->target == owner && now >= slot.hold.doubtUntil;
        const double rate = movable ? slot.work : 0;
        if (rate > most) {
            most = rate;
            heaviest = index;
        }
    }
    return heaviest;
}

bool ShardPlacer::relieve(const std::string &giver, double mean, const PlacementView &view,
                          Standings &standings, PlacerOutput &out, TimePoint now)
{
    Standing &from = standings[giver];
    const double surplus = (from.load() - mean) * from.capacity;
    if (from.load() < spreadAbove * mean || surplus < leastExcess)
        return false;
    const std::optional<std::size_t> heaviest = heaviestMovable(giver, now);
    if (!heaviest || m_slots.size() > maxRangesPerTarget * standings.size())
        return false;
    // The range is cut so that what moves is the surplus.
    const KeySpan keys = m_slots[*heaviest].range.keys;
    const double rate = m_slots[*heaviest].work;
    std::uint32_t at = keys.first;
    if (surplus < rate)
        at = view.load.cut(keys, 1.0 - surplus / rate);
    const KeySpan moving = trimmed({at, keys.last}, view.load);
    const double moved = view.load.rate(moving, now);
    const auto receiver = chooseReceiver(standings, moved);
    if (!receiver || *receiver == giver)
        return false;
    const Standing &taker = standings[*receiver];
    if ((taker.work + moved) / taker.capacity >= from.load())
        return false;
    std::size_t index = *heaviest;
    if (moving.last != keys.last)
        splitSlot(index, moving.last + 1, view, now);
    if (at != keys.first)
        splitSlot(index++, at, view, now);
    from.work -= moved;
    from.keys -= std::min(from.keys, moving.size());
    giveTo(*receiver, index, moved, "owner is overloaded", view, standings, out);
    return true;
}

} // namespace yuccaspan::gateway

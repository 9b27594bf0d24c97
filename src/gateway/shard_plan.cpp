// Placement decisions of the placer. The steps that execute a move are in shard_placer.cpp.

#include "gateway/shard_placer.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

namespace yuccaspan::gateway {

namespace {

/// Concurrent moves per target that only improve the balance; each one briefly delays requests for
/// its keys. A zone that recovers brings back a third of the targets without keys.
constexpr double balanceMovesPerTarget = 0.35;
constexpr std::size_t minBalanceMoves = 4;
std::size_t maxBalanceMoves(std::size_t targets)
{
    return std::max(minBalanceMoves,
                    static_cast<std::size_t>(balanceMovesPerTarget * static_cast<double>(targets)));
}
/// Maximum number of pieces that a leaving owner's range is split into, so that no single receiver
/// takes all of it.
constexpr std::size_t maxPieces = 3;
/// Ranges per target above which the ranges of a leaving owner are no longer split.
constexpr std::size_t maxRangesPerTargetOnLeave = 3;
/// Work per piece, in slots, when the range of a leaving owner is split.
constexpr double workPerPiece = 1.0;
/// Interval between rounds of merging neighbouring ranges; each round costs two record writes.
constexpr Duration refenceInterval = std::chrono::milliseconds(1000);
/// Ranges that settled more recently may move again soon, so they are not merged.
constexpr Duration minSettledTime = std::chrono::milliseconds(2000);
/// Maximum number of pairs merged per round.
constexpr std::size_t maxRefences = 6;
/// Interval between balancing rounds; the load takes that long to reflect the previous round.
constexpr Duration rebalanceInterval = std::chrono::milliseconds(500);
/// Ratio of a target's load to the mean load above which keys are moved away from it.
constexpr double overloadRatio = 1.5;
/// Excess work, in slots, below which a target is not considered overloaded: the load measurement
/// is no more accurate than this.
constexpr double minSurplus = 1.5;
/// Utilization of all slots up to which the preference for fast targets is strongest.
constexpr double lowUtilization = 0.35;
/// Utilization of all slots from which work is proportional to capacity.
constexpr double highUtilization = 0.7;
/// At low utilization, work is distributed by speed to this power: targets that are 1.4 times as
/// fast as others get twice the work, which is not enough to make requests queue there.
constexpr double lowUtilizationExponent = 2.2;
/// Ranges per target above which overloaded targets are no longer relieved, since this splits
/// ranges.
constexpr std::size_t maxRangesPerTarget = 6;
/// Work, in slots, below which keys are not moved away from a key that overloads their target.
constexpr double minWorkBeside = 0.05;
/// Slowness up to which late answers can come from a full queue alone; a slower target is slow.
constexpr double maxQueueingSlowness = 6.0;

/// Removes the end of the span if it has most of the keys but little of the work. Hot keys are
/// close together, and the others need not move with them.
KeySpan trimmed(const KeySpan &keys, const KeyLoad &load)
{
    constexpr double workKept = 0.8;
    const std::uint32_t end = load.cut(keys, workKept);
    const bool worthwhile = end != keys.first && (keys.last - end + 1) * 2 > keys.size();
    return worthwhile ? KeySpan{keys.first, end - 1} : keys;
}

} // namespace

/// Measures the work on each range and totals it by target.
ShardPlacer::PlannedLoads ShardPlacer::plannedLoads(const PlacementView &view, TimePoint now)
{
    PlannedLoads known;
    for (const auto &[id, target] : view.directory.targets()) {
        if (target.entry.service == m_service && view.directory.usable(target)) {
            PlannedLoad &planned = known[id];
            planned.slots = target.entry.slots;
            planned.slowness = std::max(view.slowness(target), 0.1);
            planned.cold = target.cold(now);
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
    preferFastTargets(known);
    return known;
}

/// At low utilization, fast targets get more than their proportional share, because a slow target
/// answers late even when idle. As utilization grows, shares become proportional to capacity.
void ShardPlacer::preferFastTargets(PlannedLoads &plannedLoads) const
{
    double work = 0;
    double capacity = 0;
    for (const auto &[id, planned] : plannedLoads) {
        work += planned.work;
        capacity += planned.slots / planned.slowness;
    }
    const double blend = std::clamp((work / std::max(capacity, 0.1) - lowUtilization)
                                        / (highUtilization - lowUtilization),
                                    0.0, 1.0);
    const double exponent = lowUtilizationExponent + blend * (1.0 - lowUtilizationExponent);
    for (auto &[id, planned] : plannedLoads)
        planned.capacity = std::max(planned.slots / std::pow(planned.slowness, exponent), 0.1);
}

std::optional<std::string> ShardPlacer::chooseReceiver(const PlannedLoads &plannedLoads,
                                                       double work) const
{
    // Warm before cold, then the lowest load, then the fewest keys for its capacity.
    const auto better = [work](const auto &left, const auto &right) {
        const PlannedLoad &a = left.second;
        const PlannedLoad &b = right.second;
        if (a.cold != b.cold)
            return b.cold;
        const double loadA = (a.work + work) / a.capacity;
        const double loadB = (b.work + work) / b.capacity;
        constexpr double sameLoad = 0.02;
        if (std::abs(loadA - loadB) > sameLoad)
            return loadA < loadB;
        return a.keys / a.capacity < b.keys / b.capacity;
    };
    const auto best = std::ranges::min_element(plannedLoads, better);
    if (best == plannedLoads.end())
        return std::nullopt;
    return best->first;
}

void ShardPlacer::createInitialRanges(const PlannedLoads &plannedLoads)
{
    if (plannedLoads.empty())
        return;
    double total = 0;
    for (const auto &[id, planned] : plannedLoads)
        total += planned.capacity;
    double sum = 0;
    std::uint32_t first = 0;
    for (const auto &[id, planned] : plannedLoads) {
        sum += planned.capacity;
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

/// Gives neighbouring ranges of one owner the same fencing token so that they can be merged.
void ShardPlacer::refenceNeighbours(PlacerOutput &out, TimePoint now)
{
    if (now - m_lastRefence < refenceInterval)
        return;
    const auto stable = [now](const Slot &slot) {
        return slot.stage == Stage::Settled && slot.range.owner && !slot.ownerUnresponsive
            && !slot.needsWrite && now >= slot.hold.uncertainUntil
            && now - slot.settledAt >= minSettledTime;
    };
    std::size_t pairs = 0;
    for (std::size_t index = 0; index + 1 < m_slots.size() && pairs < maxRefences; ++index) {
        Slot &left = m_slots[index];
        Slot &right = m_slots[index + 1];
        if (!stable(left) || !stable(right)
            || !left.range.owner->sameIncarnation(*right.range.owner))
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

/// Number of pieces to split a leaving owner's range into, by the work on it.
std::size_t ShardPlacer::pieceCount(double work, const PlannedLoads &plannedLoads) const
{
    const bool manyRanges = m_slots.size() > maxRangesPerTargetOnLeave * plannedLoads.size();
    const auto byWork = static_cast<std::size_t>(std::ceil(work / workPerPiece));
    const std::size_t maxCount = manyRanges ? 1 : maxPieces;
    return std::clamp<std::size_t>(
        byWork, 1, std::min(maxCount, std::max<std::size_t>(plannedLoads.size(), 1)));
}

/// Starts a move and counts its keys and their work towards the receiver.
void ShardPlacer::assignTo(const std::string &receiver, std::size_t index, double work,
                           std::string_view reason, const PlacementView &view,
                           PlannedLoads &plannedLoads, PlacerOutput &out, TimePoint now)
{
    PlannedLoad &receiverLoad = plannedLoads[receiver];
    receiverLoad.work += work;
    receiverLoad.keys += m_slots[index].range.keys.size();
    beginMove(index, *view.directory.find(receiver), reason, out, now);
}

void ShardPlacer::reassignUnusable(const PlacementView &view, PlannedLoads &plannedLoads,
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
        // If this instance has not seen the owner's entry yet, its keys are moved only after its
        // grants have expired without a renewal.
        if (owner && !ended && target == nullptr && now < m_slots[index].hold.until)
            continue;
        const bool uncertain = owner && !ended && now < m_slots[index].hold.uncertainUntil;
        const bool mayWait = target != nullptr && target->leavingSince
            && now - *target->leavingSince < m_timing.maxLeaveDelay;
        if (uncertain && mayWait)
            continue;
        // A move would have to wait for the unresponsive owner's grant to expire, and the owner may
        // recover before.
        if (owner && !ended && m_slots[index].ownerUnresponsive && now < m_slots[index].hold.until)
            continue;
        if (owner && !ended) {
            const std::size_t pieces = pieceCount(m_slots[index].work, plannedLoads);
            for (std::size_t piece = pieces; piece > 1; --piece) {
                const std::uint32_t at =
                    view.load.cut(m_slots[index].range.keys, 1.0 / static_cast<double>(piece));
                if (at == m_slots[index].range.keys.first)
                    break;
                splitSlot(index, at, view, now);
                const double work = m_slots[index].work;
                if (const auto receiver = chooseReceiver(plannedLoads, work))
                    assignTo(*receiver, index, work, "owner leaves", view, plannedLoads, out, now);
                ++index;
            }
        }
        const double work = m_slots[index].work;
        auto receiver = chooseReceiver(plannedLoads, work);
        if (!receiver)
            continue;
        // While grants may still reach the owner's new incarnation, only that one can get the keys.
        const bool mayTakeEffect =
            m_slots[index].orderInFlight != 0 || now < m_slots[index].hold.uncertainUntil;
        const bool restarted = owner && hasRestarted(*owner, view.directory) && mayTakeEffect
            && plannedLoads.contains(owner->target);
        if (restarted)
            receiver = owner->target;
        if (owner && isReplaced(*owner, view.directory)) {
            m_slots[index].released = true;
            m_slots[index].hold.until = now;
        }
        const std::string_view leaveReason = ended ? "owner ended" : "owner leaves";
        assignTo(*receiver, index, work, restarted ? ownerRestarted : leaveReason, view,
                 plannedLoads, out, now);
    }
}

std::vector<ShardPlacer::Donor> ShardPlacer::donors(PlannedLoads &plannedLoads, TimePoint now) const
{
    std::vector<Donor> found;
    for (const Slot &slot : m_slots) {
        if (slot.stage != Stage::Settled || slot.needsWrite || now < slot.hold.uncertainUntil
            || !slot.range.owner || slot.range.keys.size() <= KeyLoad::keysPerBucket)
            continue;
        const auto owner = plannedLoads.find(slot.range.owner->target);
        if (owner != plannedLoads.end())
            found.push_back({slot.firstKey(), &owner->second, slot.work, slot.range.keys.size()});
    }
    return found;
}

void ShardPlacer::fillEmptyTargets(const PlacementView &view, PlannedLoads &plannedLoads,
                                   PlacerOutput &out, TimePoint now)
{
    const auto empty = [](const auto &item) { return item.second.keys == 0 && !item.second.cold; };
    if (std::ranges::none_of(plannedLoads, empty))
        return;
    std::vector<Donor> known = donors(plannedLoads, now);
    std::size_t moves = activeMoves();
    for (auto &[id, planned] : plannedLoads) {
        if (planned.keys != 0 || planned.cold)
            continue;
        if (moves >= maxBalanceMoves(plannedLoads.size()))
            return;
        // Take keys from the most loaded target, or by key count if there is no work.
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
        donor->ownerLoad->work -= work;
        donor->ownerLoad->keys -= std::min(donor->ownerLoad->keys, moved.range.keys.size());
        donor->work -= work;
        donor->keys -= moved.range.keys.size();
        assignTo(id, index + 1, work, "target has no keys", view, plannedLoads, out, now);
        ++moves;
    }
}

void ShardPlacer::rebalance(const PlacementView &view, PlannedLoads &plannedLoads,
                            PlacerOutput &out, TimePoint now)
{
    if (now - m_lastRebalance < rebalanceInterval || plannedLoads.size() < 2)
        return;
    m_lastRebalance = now;
    double work = 0;
    double capacity = 0;
    std::vector<std::string> byLoad;
    for (const auto &[id, planned] : plannedLoads) {
        work += planned.work;
        capacity += planned.capacity;
        byLoad.push_back(id);
    }
    const auto loadOf = [&](const std::string &id) { return plannedLoads.find(id)->second.load(); };
    std::ranges::sort(byLoad, std::greater<>(), loadOf);
    const double mean = work / capacity;
    std::size_t moves = activeMoves();
    for (const std::string &ownerId : byLoad) {
        if (moves >= maxBalanceMoves(plannedLoads.size()))
            return;
        if (moveSurplus(ownerId, mean, view, plannedLoads, out, now))
            ++moves;
    }
}

/// Whether a move of the range for balance may begin now.
bool ShardPlacer::isMovable(const Slot &slot, const std::string &owner, TimePoint now) const
{
    return slot.stage == Stage::Settled && !slot.needsWrite && slot.range.owner
        && slot.range.owner->target == owner && now >= slot.hold.uncertainUntil;
}

std::optional<std::size_t> ShardPlacer::heaviestMovable(const std::string &owner,
                                                        TimePoint now) const
{
    std::optional<std::size_t> heaviest;
    double maxRate = 0;
    for (std::size_t index = 0; index < m_slots.size(); ++index) {
        const Slot &slot = m_slots[index];
        const double rate = isMovable(slot, owner, now) ? slot.work : 0;
        if (rate > maxRate) {
            maxRate = rate;
            heaviest = index;
        }
    }
    return heaviest;
}

bool ShardPlacer::moveSurplus(const std::string &ownerId, double mean, const PlacementView &view,
                              PlannedLoads &plannedLoads, PlacerOutput &out, TimePoint now)
{
    PlannedLoad &from = plannedLoads[ownerId];
    const double surplus = (from.load() - mean) * from.capacity;
    if (from.load() < overloadRatio * mean || surplus < minSurplus)
        return false;
    const std::optional<std::size_t> heaviest = heaviestMovable(ownerId, now);
    if (!heaviest || m_slots.size() > maxRangesPerTarget * plannedLoads.size())
        return false;
    const KeySpan keys = m_slots[*heaviest].range.keys;
    // A key that fills all slots overloads any target. Moving it on would only interrupt it, and
    // delay the other keys of one target after the other.
    const KeySpan hottest = view.load.hottest(keys);
    const bool fillsTarget = view.load.rate(hottest, now) >= from.slots;
    if (fillsTarget && from.slowness <= maxQueueingSlowness)
        return moveKeysBeside(ownerId, hottest, view, plannedLoads, out, now);
    // Split the range so that only the surplus moves.
    const double rate = m_slots[*heaviest].work;
    std::uint32_t at = keys.first;
    if (surplus < rate)
        at = view.load.cut(keys, 1.0 - surplus / rate);
    const KeySpan moving = trimmed({at, keys.last}, view.load);
    const double moved = view.load.rate(moving, now);
    const auto receiver = chooseReceiver(plannedLoads, moved);
    if (!receiver || *receiver == ownerId)
        return false;
    const PlannedLoad &receiverLoad = plannedLoads[*receiver];
    if ((receiverLoad.work + moved) / receiverLoad.capacity >= from.load())
        return false;
    std::size_t index = *heaviest;
    if (moving.last != keys.last)
        splitSlot(index, moving.last + 1, view, now);
    if (at != keys.first)
        splitSlot(index++, at, view, now);
    from.work -= moved;
    from.keys -= std::min(from.keys, moving.size());
    assignTo(*receiver, index, moved, "owner is overloaded", view, plannedLoads, out, now);
    return true;
}

/// Moves the other keys of a target away from those that overload it.
bool ShardPlacer::moveKeysBeside(const std::string &ownerId, const KeySpan &hot,
                                 const PlacementView &view, PlannedLoads &plannedLoads,
                                 PlacerOutput &out, TimePoint now)
{
    const auto at = std::ranges::lower_bound(m_slots, hot.first, {},
                                             [](const Slot &slot) { return slot.range.keys.last; });
    const auto hotIndex = static_cast<std::size_t>(at - m_slots.begin());
    const KeySpan keys = at->range.keys;
    if (hot.last < keys.last)
        splitSlot(hotIndex, hot.last + 1, view, now);
    if (hot.first > keys.first)
        splitSlot(hotIndex, hot.first, view, now);
    PlannedLoad &from = plannedLoads[ownerId];
    bool moved = false;
    for (std::size_t index = 0; index < m_slots.size(); ++index) {
        const Slot &slot = m_slots[index];
        const KeySpan span = slot.range.keys;
        const bool isHot = span.first <= hot.last && hot.first <= span.last;
        if (isHot || slot.work < minWorkBeside || !isMovable(slot, ownerId, now))
            continue;
        const double work = slot.work;
        const auto receiver = chooseReceiver(plannedLoads, work);
        if (!receiver || *receiver == ownerId)
            break;
        from.work -= work;
        from.keys -= std::min(from.keys, span.size());
        assignTo(*receiver, index, work, "beside a hot key", view, plannedLoads, out, now);
        moved = true;
    }
    return moved;
}

} // namespace yuccaspan::gateway

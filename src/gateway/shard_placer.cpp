#include "gateway/shard_placer.hpp"

#include <algorithm>
#include <utility>

namespace yuccaspan::gateway {

namespace {

/// The target protocol allows a target's clock to run 2 % slow.
constexpr double maxClockSlowdown = 1.02;
/// Covers timer delays on both sides.
constexpr Duration expiryMargin = std::chrono::milliseconds(200);
/// Failed grants after which a different target is chosen as the next owner.
constexpr std::uint32_t maxFailedGrants = 3;

bool unanswered(OrderOutcome outcome) noexcept
{
    return outcome == OrderOutcome::NotSent || outcome == OrderOutcome::NoAnswer;
}

} // namespace

ShardPlacer ShardPlacer::create(std::string service, std::string self, PlacerTiming timing)
{
    return ShardPlacer(std::move(service), std::move(self), timing);
}

ShardPlacer::ShardPlacer(std::string service, std::string self, PlacerTiming timing)
    : m_service(std::move(service)), m_self(std::move(self)), m_timing(timing)
{ }

/// Time after which a grant that has already arrived is certain to have expired.
Duration ShardPlacer::maxHoldAfterArrival() const noexcept
{
    return std::chrono::duration_cast<Duration>(m_timing.hold * maxClockSlowdown) + expiryMargin;
}

/// Time after which a grant sent now is certain to have expired, whenever it arrives.
Duration ShardPlacer::maxHoldAfterSending() const noexcept
{
    return maxHoldAfterArrival() + m_timing.grantTimeout;
}

/// Delay until the next renewal of a range. It differs by range to spread renewals that started
/// together: 400 at once would saturate a 10 Mbit/s link for 0.2 s and delay other orders.
Duration ShardPlacer::renewalDelay(const KeySpan &keys) const noexcept
{
    constexpr std::uint32_t spread = 16;
    constexpr double minFraction = 0.85;
    const double fraction = minFraction + (1.0 - minFraction) * (keys.first / 8 % spread) / spread;
    return std::chrono::duration_cast<Duration>(m_timing.renewInterval * fraction);
}

Duration ShardPlacer::longestHold(const PlacerTiming &timing) noexcept
{
    return ShardPlacer({}, {}, timing).maxHoldAfterSending();
}

void ShardPlacer::adoptAfterLoss(const std::optional<ShardMap> &known, TimePoint now,
                                 std::uint64_t era)
{
    adopt(known, now, era);
    for (Slot &slot : m_slots) {
        const std::optional<Holder> former = slot.range.owner ? slot.range.owner : slot.range.next;
        slot.range.owner.reset();
        slot.range.next.reset();
        slot.hold = {};
        slot.nextHold = {};
        slot.stage = Stage::Settled;
        if (!former)
            continue;
        slot.range.next = Holder{former->target, former->incarnation, ++m_lastFence};
        slot.stage = Stage::Granting;
    }
}

void ShardPlacer::adopt(const std::optional<ShardMap> &stored, TimePoint now, std::uint64_t era)
{
    m_slots.clear();
    m_pendingOrders.clear();
    m_writeInFlight = 0;
    m_takeoverStored = false;
    m_needsWrite = true;
    m_term = std::max(stored ? stored->term : 0, termFloor(era)) + 1;
    // Results of orders sent by an earlier placer of this process must not match new order ids.
    constexpr unsigned termShift = 32;
    m_nextOrder = (m_term << termShift) + 1;
    m_write = stored ? stored->write : 0;
    m_lastFence = std::max(stored ? stored->lastFence : 0, fenceFloor(era));
    if (!stored)
        return;
    // The previous placer may have sent grants up to now that are unknown to this one.
    const TimePoint lapse = now + maxHoldAfterSending();
    for (const ShardRange &range : stored->ranges) {
        Slot slot;
        slot.range = range;
        slot.dueAt = now;
        if (range.owner)
            slot.hold = {lapse, lapse};
        if (range.next) {
            slot.nextHold = {lapse, lapse};
            const bool release = range.owner && !range.refencing() && !range.toRestartedOwner();
            slot.stage = release ? Stage::Releasing : Stage::Granting;
        }
        m_slots.push_back(std::move(slot));
    }
}

ShardMap ShardPlacer::record() const
{
    ShardMap map;
    map.service = m_service;
    map.placer = m_self;
    map.term = m_term;
    map.write = m_write;
    map.lastFence = m_lastFence;
    for (const Slot &slot : m_slots)
        map.ranges.push_back(slot.range);
    return map;
}

bool ShardPlacer::settled() const noexcept
{
    return std::ranges::all_of(m_slots,
                               [](const Slot &slot) { return slot.stage == Stage::Settled; });
}

std::size_t ShardPlacer::activeMoves() const noexcept
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_slots, [](const Slot &slot) { return slot.stage != Stage::Settled; }));
}

PlacerOutput ShardPlacer::tick(const PlacementView &view, TimePoint now)
{
    PlacerOutput out;
    if (m_takeoverStored) {
        PlannedLoads known = plannedLoads(view, now);
        if (m_slots.empty())
            createInitialRanges(known);
        mergeNeighbours();
        reassignUnusable(view, known, out, now);
        fillEmptyTargets(view, known, out, now);
        rebalance(view, known, out, now);
        refenceNeighbours(out, now);
    }
    advanceAll(view, out, now);
    return out;
}

PlacerOutput ShardPlacer::proceed(const PlacementView &view, TimePoint now)
{
    PlacerOutput out;
    advanceAll(view, out, now);
    return out;
}

/// Issues the orders that are due, and a write of the record if it has changed.
void ShardPlacer::advanceAll(const PlacementView &view, PlacerOutput &out, TimePoint now)
{
    if (m_takeoverStored) {
        for (Slot &slot : m_slots)
            advance(slot, view, out, now);
    }
    const bool staged = std::ranges::any_of(m_slots, &Slot::needsWrite);
    if ((!m_needsWrite && !staged) || m_writeInFlight != 0)
        return;
    m_writeInFlight = ++m_write;
    m_needsWrite = false;
    for (Slot &slot : m_slots) {
        if (std::exchange(slot.needsWrite, false))
            slot.pendingWrite = m_writeInFlight;
    }
    out.write = record();
}

void ShardPlacer::writeDone(TimePoint now)
{
    const std::uint64_t stored = std::exchange(m_writeInFlight, 0);
    m_takeoverStored = true;
    for (Slot &slot : m_slots) {
        if (slot.pendingWrite != stored)
            continue;
        slot.pendingWrite = 0;
        if (slot.needsWrite)
            continue;
        if (slot.stage == Stage::AwaitIntent) {
            const bool release = slot.range.owner && !slot.released && !slot.range.refencing()
                && !slot.range.toRestartedOwner();
            slot.stage = release ? Stage::Releasing : Stage::Granting;
            slot.dueAt = now;
        } else if (slot.stage == Stage::AwaitSettle) {
            slot.stage = Stage::Settled;
            slot.settledAt = now;
        }
    }
}

/// Whether the directory lists a later incarnation of the target.
bool ShardPlacer::hasRestarted(const Holder &holder, const TargetDirectory &directory) const
{
    const Target *target = directory.find(holder.target);
    return target != nullptr && target->entry.incarnation > holder.incarnation;
}

/// Whether another target now listens at its address; that one rejects orders for this holder.
bool ShardPlacer::isReplaced(const Holder &holder, const TargetDirectory &directory) const
{
    const Target *target = directory.find(holder.target);
    if (target == nullptr)
        return false;
    // Two processes can't listen at one address: a later one there proves that this one ended.
    const Target *there = directory.findAddress(target->entry.address);
    return there != nullptr && there->entry.id != holder.target
        && there->entry.incarnation > holder.incarnation;
}

bool ShardPlacer::hasEnded(const Holder &holder, const TargetDirectory &directory) const
{
    return hasRestarted(holder, directory) || isReplaced(holder, directory);
}

/// Time until which an unanswered grant may still take effect.
TimePoint ShardPlacer::uncertaintyEnd(const Holder &holder, const Hold &hold,
                                      const TargetDirectory &directory) const
{
    return isReplaced(holder, directory) ? TimePoint{} : hold.uncertainUntil;
}

void ShardPlacer::beginMove(std::size_t index, const Target &receiver, std::string_view reason,
                            PlacerOutput &out, TimePoint now)
{
    Slot &slot = m_slots[index];
    slot.range.next = Holder{receiver.entry.id, receiver.entry.incarnation, ++m_lastFence};
    slot.stage = Stage::AwaitIntent;
    slot.needsWrite = true;
    slot.failedGrants = 0;
    slot.nextHold = {};
    PlacementNote note{"move",
                       slot.range.keys,
                       slot.range.owner ? slot.range.owner->target : std::string(),
                       receiver.entry.id,
                       slot.range.next->fence,
                       reason};
    note.uncertain = std::max(slot.hold.uncertainUntil - now, Duration{});
    out.notes.push_back(std::move(note));
}

void ShardPlacer::advance(Slot &slot, const PlacementView &view, PlacerOutput &out, TimePoint now)
{
    switch (slot.stage) {
    case Stage::Settled:
    case Stage::AwaitSettle:
    case Stage::AwaitIntent:
        renew(slot, view, out, now);
        return;
    case Stage::Releasing:
        advanceRelease(slot, view, out, now);
        return;
    case Stage::Granting:
        advanceGrant(slot, view, out, now);
        return;
    }
}

void ShardPlacer::renew(Slot &slot, const PlacementView &view, PlacerOutput &out, TimePoint now)
{
    if (!slot.range.owner || slot.released || slot.orderInFlight != 0 || now < slot.dueAt)
        return;
    const Target *target = view.directory.find(slot.range.owner->target);
    if (target == nullptr || target->entry.incarnation != slot.range.owner->incarnation)
        return;
    sendGrant(slot, *slot.range.owner, *target, out, now);
    slot.dueAt = now + renewalDelay(slot.range.keys);
}

void ShardPlacer::advanceRelease(Slot &slot, const PlacementView &view, PlacerOutput &out,
                                 TimePoint now)
{
    const Holder &owner = *slot.range.owner;
    if (now >= slot.hold.until || isReplaced(owner, view.directory))
        slot.released = true;
    if (slot.released && now >= uncertaintyEnd(owner, slot.hold, view.directory)) {
        slot.stage = Stage::Granting;
        slot.dueAt = now;
        advanceGrant(slot, view, out, now);
        return;
    }
    if (slot.released || slot.orderInFlight != 0 || now < slot.dueAt)
        return;
    slot.dueAt = now + m_timing.retryInterval;
    const Target *target = view.directory.find(owner.target);
    if (target == nullptr)
        return;
    ShardOrder order;
    order.id = m_nextOrder++;
    order.kind = OrderKind::Release;
    order.holder = owner;
    order.address = target->entry.address;
    order.keys = slot.range.keys;
    order.sendBefore = now + m_timing.sendWindow;
    order.answerTimeout = m_timing.releaseTimeout;
    slot.orderInFlight = order.id;
    m_pendingOrders[order.id] = {order, {}, {}};
    out.orders.push_back(std::move(order));
}

void ShardPlacer::advanceGrant(Slot &slot, const PlacementView &view, PlacerOutput &out,
                               TimePoint now)
{
    if (slot.orderInFlight != 0 || now < slot.dueAt)
        return;
    const Target *target = view.directory.find(slot.range.next->target);
    const bool usable = target != nullptr
        && target->entry.incarnation == slot.range.next->incarnation
        && view.directory.usable(*target);
    if (!usable || slot.failedGrants >= maxFailedGrants) {
        replaceNext(slot, view, out, now);
        return;
    }
    slot.dueAt = now + m_timing.retryInterval;
    sendGrant(slot, *slot.range.next, *target, out, now);
}

void ShardPlacer::replaceNext(Slot &slot, const PlacementView &view, PlacerOutput &out,
                              TimePoint now)
{
    if (slot.range.refencing()) {
        // The owner may hold the keys under either token.
        slot.range.owner = slot.range.next;
        slot.hold.include(slot.nextHold);
        slot.hold.uncertainUntil = std::max(slot.hold.uncertainUntil, slot.hold.until);
        // The keys may have been granted to it again after it released them.
        slot.released = false;
        slot.range.next.reset();
        slot.stage = Stage::AwaitSettle;
        slot.needsWrite = true;
        return;
    }
    const Holder next = *slot.range.next;
    const bool mayHold = now < slot.nextHold.until && !isReplaced(next, view.directory);
    PlannedLoads known = plannedLoads(view, now);
    // If it has restarted, its new incarnation is the only one that need not wait.
    const bool again = mayHold && hasRestarted(next, view.directory) && known.contains(next.target);
    if (!again)
        known.erase(next.target);
    const auto receiver = again ? std::optional(next.target)
                                : chooseReceiver(known, view.load.rate(slot.range.keys, now));
    if (!receiver) {
        slot.failedGrants = 0;
        return;
    }
    if (mayHold) {
        // The next owner may hold the keys, so it is the one to wait for.
        slot.range.owner = next;
        slot.hold = slot.nextHold;
        slot.hold.uncertainUntil = slot.hold.until;
        slot.released = false;
        slot.handover.clear();
    }
    const auto index = static_cast<std::size_t>(&slot - m_slots.data());
    beginMove(index, *view.directory.find(*receiver),
              again ? ownerRestarted : "next owner does not answer", out, now);
}

void ShardPlacer::sendGrant(Slot &slot, const Holder &holder, const Target &target,
                            PlacerOutput &out, TimePoint now)
{
    ShardOrder order;
    order.id = m_nextOrder++;
    order.kind = OrderKind::Grant;
    order.holder = holder;
    order.address = target.entry.address;
    order.keys = slot.range.keys;
    order.hold = m_timing.hold;
    order.sendBefore = now + m_timing.sendWindow;
    order.answerTimeout = m_timing.grantTimeout;
    const bool toNext = slot.range.next && holder == *slot.range.next;
    if (toNext)
        order.handover = slot.handover;
    TimePoint &until = toNext ? slot.nextHold.until : slot.hold.until;
    const TimePoint before = until;
    until = std::max(until, now + maxHoldAfterSending());
    slot.orderInFlight = order.id;
    m_pendingOrders[order.id] = {order, before, until};
    out.orders.push_back(std::move(order));
}

void ShardPlacer::orderDone(std::uint64_t order, OrderOutcome outcome, const std::string &handover,
                            TimePoint now)
{
    const auto found = m_pendingOrders.find(order);
    if (found == m_pendingOrders.end())
        return;
    const PendingOrder pendingOrder = std::move(found->second);
    m_pendingOrders.erase(found);
    // The range may have been split since the order was sent; its parts are within the order's
    // keys.
    const KeySpan &keys = pendingOrder.order.keys;
    auto slot = std::ranges::lower_bound(m_slots, keys.first, {}, &Slot::firstKey);
    for (; slot != m_slots.end() && slot->firstKey() <= keys.last; ++slot) {
        if (slot->orderInFlight != order)
            continue;
        slot->orderInFlight = 0;
        if (pendingOrder.order.kind == OrderKind::Grant)
            handleGrantResult(*slot, pendingOrder, outcome, now);
        else
            handleReleaseResult(*slot, outcome, handover, now);
    }
}

void ShardPlacer::handleGrantResult(Slot &slot, const PendingOrder &pendingOrder,
                                    OrderOutcome outcome, TimePoint now)
{
    const bool toNext = slot.range.next && pendingOrder.order.holder == *slot.range.next;
    Hold &hold = toNext ? slot.nextHold : slot.hold;
    TimePoint &until = hold.until;
    if (!toNext)
        slot.ownerUnresponsive = unanswered(outcome);
    switch (outcome) {
    case OrderOutcome::Done:
        if (until == pendingOrder.holdAfter)
            until = std::max(pendingOrder.holdBefore, std::min(until, now + maxHoldAfterArrival()));
        if (toNext && slot.stage == Stage::Granting) {
            const bool sameTarget = slot.range.refencing() || slot.range.toRestartedOwner();
            slot.range.owner = std::exchange(slot.range.next, std::nullopt);
            if (!sameTarget)
                slot.hold = {};
            slot.hold.include(slot.nextHold);
            slot.released = false;
            slot.ownerUnresponsive = false;
            slot.handover.clear();
            slot.dueAt = now + renewalDelay(slot.range.keys);
            slot.stage = Stage::AwaitSettle;
            slot.needsWrite = true;
        }
        return;
    case OrderOutcome::NotSent:
    case OrderOutcome::WrongTarget:
        if (until == pendingOrder.holdAfter)
            until = pendingOrder.holdBefore;
        break;
    case OrderOutcome::NoAnswer:
        hold.uncertainUntil = std::max(hold.uncertainUntil, pendingOrder.holdAfter);
        break;
    case OrderOutcome::Refused:
        break;
    }
    if (toNext) {
        ++slot.failedGrants;
        if (outcome == OrderOutcome::Refused)
            slot.failedGrants = maxFailedGrants;
    }
    slot.dueAt = std::min(slot.dueAt, now + m_timing.retryInterval);
}

void ShardPlacer::handleReleaseResult(Slot &slot, OrderOutcome outcome, const std::string &handover,
                                      TimePoint now)
{
    if (slot.stage != Stage::Releasing)
        return;
    if (outcome == OrderOutcome::Done) {
        slot.released = true;
        slot.handover = handover;
    } else if (outcome == OrderOutcome::WrongTarget) {
        slot.released = true;
        slot.hold.uncertainUntil = now;
    }
    slot.dueAt = now;
    if (unanswered(outcome))
        slot.dueAt = now + m_timing.retryInterval;
}

} // namespace yuccaspan::gateway

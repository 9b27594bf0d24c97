#include "gateway/target_choice.hpp"

#include <algorithm>

namespace yuccaspan::gateway {

namespace {

using Kind = TargetChoice::Kind;

/// Longest wait for the move of a key. In large deployments three of four moves of hot keys take
/// 0.8 s at most; a longer one mostly waits for the grants of a lost owner to expire.
constexpr Duration maxMoveWait = std::chrono::milliseconds(1100);
/// Retry delay if the owner of a key is lost; its grants expire within seconds.
constexpr Duration ownerLostRetryDelay = std::chrono::milliseconds(400);
/// Retry delay if the service has no usable target.
constexpr Duration noTargetRetryDelay = std::chrono::milliseconds(300);
/// Longest retry delay if the target's rate is limited and this instance's turn is too far away.
constexpr Duration otherTurnRetryDelay = std::chrono::milliseconds(300);
/// Longest wait between two checks, in case a wake-up is missed.
constexpr Duration safetyRecheckInterval = std::chrono::milliseconds(250);
/// Interval of looking for a proof that a request waits for.
constexpr Duration unprovenRecheckInterval = std::chrono::milliseconds(50);
/// Penalty of a target in another availability zone, in requests per slot.
constexpr double otherZonePenalty = 0.35;
/// Least concurrency that is assumed of a target whose rate is limited.
constexpr double leastConcurrency = 0.01;
/// Assumed latency of a request while none was measured, in seconds.
constexpr double unknownRequestSeconds = 0.15;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

TargetChoice reject(EndReason reason, Duration retryDelay)
{
    return {Kind::Reject, nullptr, reason, retryDelay, {}};
}

/// Time after which no new request may be sent to the target.
TimePoint sendDeadline(const Gateway &gateway, const Target &target)
{
    const auto unwanted = gateway.directory.unwantedSince(target);
    if (!unwanted)
        return TimePoint::max();
    const bool leaves = target.leavingSince || target.missingSince;
    const Duration allowed = leaves ? gateway.options.drainWithin : gateway.options.evacuateWithin;
    return *unwanted + allowed - sendStopMargin;
}

/// Fills in what the order of waiting requests depends on.
void estimateNeed(const Gateway &gateway, Flow &flow, const LiveTarget &target)
{
    flow.urgency.deadline = flow.deadline;
    flow.urgency.work = fromSeconds(gateway.averageSeconds(flow.route->name, unknownRequestSeconds)
                                    * target.gate.slowness());
    flow.urgency.id = std::hash<std::string>{}(flow.facts.requestId);
}

/// Waits in a lane, or rejects a request that would miss its deadline there.
TargetChoice waitOrReject(Gateway &gateway, Flow &flow, const std::shared_ptr<LiveTarget> &target,
                          WaitingLane &lane, double concurrency)
{
    estimateNeed(gateway, flow, *target);
    const Room room{gateway.now(), {}, std::max(concurrency, 1.0)};
    const Entry entry = lane.enter(gateway.roomOrder, flow.urgency, room);
    if (!entry.waits)
        return reject(EndReason::Overloaded, entry.retryDelay);
    return {Kind::Wait, target, EndReason::Overloaded, {}, safetyRecheckInterval};
}

/// Waits for the turn of this instance at a target whose rate is limited, or rejects a request that
/// would miss its deadline. Those that precede it in the lane use the turns before.
TargetChoice waitForTurn(const Gateway &gateway, Flow &flow,
                         const std::shared_ptr<LiveTarget> &target, const WaitingLane &lane,
                         const SendPermit &permit)
{
    const TimePoint now = gateway.now();
    const Target *entry = gateway.directory.find(target->entry.id);
    const bool cold = entry != nullptr && entry->cold(now);
    const Duration interval = target->gate.sendInterval(now, cold);
    estimateNeed(gateway, flow, *target);
    // A request per interval is as much as this many of the expected work at a time.
    const double concurrency = static_cast<double>(flow.urgency.work.count())
        / static_cast<double>(std::max(interval, Duration(1)).count());
    const Room room{now, permit.until - now, std::max(concurrency, leastConcurrency)};
    const auto ahead =
        static_cast<Duration::rep>(lane.ahead(gateway.roomOrder, flow.urgency, room));
    const TimePoint turn = permit.until + ahead * interval;
    if (turn + flow.urgency.work / 2 > flow.deadline) {
        // Another instance may have its turn sooner.
        return reject(EndReason::Overloaded, std::min(permit.until - now, otherTurnRetryDelay));
    }
    return {Kind::Wait, target, EndReason::Overloaded, {}, turn - now};
}

/// Waits for the keys of a leaving target to move, unless that takes too long.
TargetChoice waitForMove(const Gateway &gateway, const std::shared_ptr<LiveTarget> &target,
                         const Target &owner)
{
    const TimePoint since = owner.saidLeavingSince.value_or(gateway.now());
    if (gateway.now() - since >= maxMoveWait)
        return reject(EndReason::OwnerLeaves, ownerLostRetryDelay);
    return {Kind::Wait, target, EndReason::OwnerLeaves, {}, safetyRecheckInterval};
}

TargetChoice chooseOwner(Gateway &gateway, Flow &flow)
{
    const auto known = gateway.shardMaps.find(flow.service);
    const std::uint32_t key = flow.facts.key.value_or(0);
    const ShardRange *range =
        known == gateway.shardMaps.end() ? nullptr : known->second.map.find(key);
    if (range == nullptr)
        return reject(EndReason::NoOwner, ownerLostRetryDelay);
    flow.mapWrite = known->second.map.write;
    if (range->next && !range->refencing()) {
        const auto since = known->second.movingSince.find(range->keys.first);
        const bool fresh =
            since != known->second.movingSince.end() && gateway.now() - since->second < maxMoveWait;
        if (!fresh)
            return reject(EndReason::KeyMoving, ownerLostRetryDelay);
        const Target *next = gateway.directory.find(range->next->target);
        if (next == nullptr)
            return reject(EndReason::KeyMoving, ownerLostRetryDelay);
        return {
            Kind::Wait, gateway.liveTarget(*next), EndReason::KeyMoving, {}, safetyRecheckInterval};
    }
    const Target *owner = gateway.directory.find(range->owner->target);
    if (owner == nullptr || owner->entry.incarnation != range->owner->incarnation)
        return reject(EndReason::NoOwner, ownerLostRetryDelay);
    const std::shared_ptr<LiveTarget> target = gateway.liveTarget(*owner);
    flow.fence = range->owner->fence;
    flow.target = owner->entry.id;
    const TimePoint now = gateway.now();
    const TimePoint sendBefore = sendDeadline(gateway, *owner);
    if (now >= sendBefore)
        return {Kind::Wait, target, EndReason::OwnerLeaves, {}, safetyRecheckInterval};
    const SendPermit permit = target->gate.permit(now, owner->cold(now), gateway.commonOffset);
    if (!permit.allowed())
        gateway.metrics.count("held", toString(permit.reason));
    switch (permit.reason) {
    case HoldReason::None:
        return {Kind::Send, target, EndReason::Answered, {}, {}, sendBefore};
    case HoldReason::Leaving:
        return waitForMove(gateway, target, *owner);
    case HoldReason::Paused:
        return reject(EndReason::TargetPaused, permit.until - now);
    case HoldReason::Suspect:
        return reject(EndReason::TargetLost, ownerLostRetryDelay);
    case HoldReason::Cold:
    case HoldReason::Rate:
        return waitForTurn(gateway, flow, target, target->lane, permit);
    case HoldReason::Rejected:
        if (permit.until >= flow.deadline)
            return reject(EndReason::TargetFull, otherTurnRetryDelay);
        break;
    case HoldReason::Full:
        break;
    }
    return waitOrReject(gateway, flow, target, target->lane, target->gate.inFlight());
}

TargetChoice chooseAny(Gateway &gateway, Flow &flow, const std::vector<std::string> &tried)
{
    const TimePoint now = gateway.now();
    std::shared_ptr<LiveTarget> best;
    TimePoint sendBefore = TimePoint::max();
    std::shared_ptr<LiveTarget> limited;
    SendPermit nextTurn{HoldReason::None, TimePoint::max()};
    TimePoint pausedUntil = TimePoint::max();
    bool allPaused = true;
    double bestScore = 0;
    std::shared_ptr<LiveTarget> any;
    double concurrency = 0;
    for (const auto &[id, target] : gateway.directory.targets()) {
        if (target.entry.service != flow.service || !gateway.directory.usable(target)
            || now >= sendDeadline(gateway, target))
            continue;
        const std::shared_ptr<LiveTarget> live = gateway.liveTarget(target);
        concurrency += live->gate.inFlight();
        if (any == nullptr)
            any = live;
        const bool cold = target.cold(now);
        const SendPermit permit = live->gate.permit(now, cold, gateway.commonOffset);
        if (permit.reason == HoldReason::Paused)
            pausedUntil = std::min(pausedUntil, permit.until);
        else
            allPaused = false;
        const bool hasTurns =
            permit.reason == HoldReason::Cold || permit.reason == HoldReason::Rate;
        if (hasTurns && permit.until < nextTurn.until) {
            limited = live;
            nextTurn = permit;
        }
        if (!permit.allowed())
            continue;
        const double step = 1.0 / live->gate.slots();
        double score = (live->gate.occupancy(now) + step) * live->gate.slowness();
        if (target.entry.zone != gateway.options.zone)
            score += otherZonePenalty;
        constexpr double lastResort = 100;
        constexpr double coldPenalty = 1.0;
        if (cold)
            score += coldPenalty;
        if (std::ranges::find(tried, id) != tried.end())
            score += lastResort;
        if (best == nullptr || score < bestScore) {
            best = live;
            sendBefore = sendDeadline(gateway, target);
            bestScore = score;
        }
    }
    if (any == nullptr)
        return reject(EndReason::NoTarget, noTargetRetryDelay);
    if (best != nullptr)
        return {Kind::Send, best, EndReason::Answered, {}, {}, sendBefore};
    const HoldReason reason = allPaused ? HoldReason::Paused
        : limited != nullptr            ? nextTurn.reason
                                        : HoldReason::Full;
    gateway.metrics.count("held", toString(reason));
    if (allPaused)
        return reject(EndReason::TargetPaused, pausedUntil - now);
    WaitingLane &lane = gateway.liveService(flow.service).lane;
    TargetChoice choice = limited != nullptr && concurrency == 0
        ? waitForTurn(gateway, flow, limited, lane, nextTurn)
        : waitOrReject(gateway, flow, any, lane, concurrency);
    choice.target = nullptr;
    choice.recheckAfter = std::min({choice.recheckAfter, nextTurn.until - now, pausedUntil - now});
    return choice;
}

} // namespace

TargetChoice chooseTarget(Gateway &gateway, Flow &flow, const std::vector<std::string> &tried)
{
    const Service *service = flow.state->findService(flow.service);
    if (service == nullptr)
        return reject(EndReason::NoTarget, noTargetRetryDelay);
    const TimePoint sendBefore = gateway.provenSendLimit();
    if (gateway.now() >= sendBefore) {
        gateway.metrics.count("held", "unproven");
        gateway.proofAwaited = true;
        return {Kind::Wait, nullptr, EndReason::TargetsUnproven, {}, unprovenRecheckInterval};
    }
    TargetChoice choice =
        service->keyed ? chooseOwner(gateway, flow) : chooseAny(gateway, flow, tried);
    choice.sendBefore = std::min(choice.sendBefore, sendBefore);
    return choice;
}

} // namespace yuccaspan::gateway

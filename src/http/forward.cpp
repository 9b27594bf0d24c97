#include "http/forward.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace yuccaspan::impl {

namespace asio = boost::asio;

namespace {

constexpr Duration refusalRetryDelay = std::chrono::milliseconds(10);
constexpr Duration repeatDelay = std::chrono::milliseconds(20);
constexpr std::string_view refusedNoGrant = "no-grant";
constexpr std::string_view refusedStaleToken = "stale-token";
constexpr std::string_view refusedCold = "cold";

/// A copy of the route of a request.
struct RouteChoice
{
    CellId cell;
    KeyRange cellRange;
    Route route;
    TimePoint viewLeaseEnd;
};

/// A route on which the request may be sent now, or the reason why there is none.
struct RouteLookup
{
    std::optional<RouteChoice> choice;
    Reason reason = Reason::NoOwner;
};

RouteLookup lookUp(EdgeWorker &worker, const RequestContext &context)
{
    const std::shared_ptr<const RouteTable> routes = worker.routes();
    const auto match = routes->find(context.place.service->name, context.place.hash);
    if (match.route == nullptr || match.route->state == RouteState::Unowned)
        return {std::nullopt, Reason::NoOwner};
    if (match.route->state == RouteState::Held)
        return {std::nullopt, Reason::MovingTooLong};
    const auto target = worker.findTarget(match.route->owner);
    if (target == nullptr)
        return {std::nullopt, Reason::NoOwner};
    const bool leaseRequired = !target->settings().checksGrants;
    if (leaseRequired && match.cell->viewLeaseEnd <= worker.now())
        return {std::nullopt, Reason::NoViewLease};
    return {
        RouteChoice{match.cell->cell, match.cell->range, *match.route, match.cell->viewLeaseEnd},
        Reason::Answered};
}

/// Counts a request as in flight for the lifetime of the guard.
class InFlightGuard
{
public:
    InFlightGuard(InFlightTable &table, const Classified &place) : m_table(table), m_place(place)
    {
        m_table.add(m_place.service->name, m_place.hash);
    }
    InFlightGuard(const InFlightGuard &) = delete;
    InFlightGuard &operator=(const InFlightGuard &) = delete;
    ~InFlightGuard() { m_table.remove(m_place.service->name, m_place.hash); }

private:
    InFlightTable &m_table;
    const Classified &m_place;
};

void setTargetHeaders(RequestContext &context, const RouteChoice &choice, TimePoint now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(context.deadline - now);
    context.request.set(header::requestId, context.requestId);
    context.request.set(header::service, context.place.service->name.text());
    context.request.set(header::keyHash, keyHashText(context.place.hash));
    context.request.set(header::token, std::to_string(choice.route.token.value));
    context.request.set(header::deadline, std::to_string(std::max<std::int64_t>(left.count(), 1)));
}

FinishKind finishKind(const AttemptResult &result)
{
    if (result.outcome == Outcome::Done)
        return FinishKind::Answered;
    if (result.reason == Reason::TargetRefused)
        return FinishKind::Refused;
    if (result.reason == Reason::CallerGone)
        return FinishKind::Cancelled;
    return FinishKind::Failed;
}

std::string_view refusalOf(const AttemptResult &result)
{
    if (!result.answer)
        return {};
    const auto found = result.answer->find(header::refused);
    return found == result.answer->end() ? std::string_view() : std::string_view(found->value());
}

/// Whether the target refused because it does not hold the slice, which is no sign of overload.
bool refusedForOwnership(const AttemptResult &result)
{
    const std::string_view refusal = refusalOf(result);
    return refusal == refusedNoGrant || refusal == refusedStaleToken;
}

/// Waits for admission by the target's gate.
asio::awaitable<std::optional<AttemptResult>> admit(EdgeWorker &worker, RequestContext &context,
                                                    const std::shared_ptr<SharedTarget> &target)
{
    context.ticket = worker.nextId();
    const Ticket ticket{context.ticket, context.place.rule->worth, context.deadline};
    const TimePoint now = worker.now();
    const GateAnswer answer =
        target->withGate([&](TargetGate &gate) { return gate.arrive(ticket, now); });
    if (answer.decision == GateDecision::Send)
        co_return std::nullopt;
    if (answer.decision == GateDecision::Refuse)
        co_return AttemptResult{Outcome::NotRun, answer.reason, std::nullopt};
    const auto [result, reason] = co_await worker.awaitRelease(context);
    if (result == GateWait::Released)
        co_return std::nullopt;
    if (result == GateWait::Refused)
        co_return AttemptResult{Outcome::NotRun, reason, std::nullopt};
    target->withGate([&](TargetGate &gate) { gate.withdrawn(context.ticket); });
    const Reason why = context.callerGone ? Reason::CallerGone : Reason::DeadlinePassed;
    co_return AttemptResult{Outcome::NotRun, why, std::nullopt};
}

/// Sends the request under a slot that was taken, if the route still stands.
asio::awaitable<std::optional<AttemptResult>> sendAdmitted(EdgeWorker &worker,
                                                           RequestContext &context,
                                                           const RouteChoice &choice,
                                                           std::shared_ptr<SharedTarget> target)
{
    const InFlightGuard inFlight(worker.shared().inFlight, context.place);
    const RouteLookup present = lookUp(worker, context);
    if (!present.choice || present.choice->route != choice.route) {
        worker.finish(target, context.ticket, FinishKind::Cancelled, Duration::zero());
        co_return std::nullopt;
    }
    const TimePoint callerDeadline = context.deadline;
    if (!target->settings().checksGrants)
        context.deadline = std::min(context.deadline, present.choice->viewLeaseEnd);
    const TimePoint sentAt = worker.now();
    setTargetHeaders(context, choice, sentAt);
    ++context.tries;
    AttemptResult result = co_await exchange(worker, context, target);
    context.deadline = callerDeadline;
    const Duration latency = worker.now() - sentAt;
    const FinishKind kind =
        refusedForOwnership(result) ? FinishKind::Cancelled : finishKind(result);
    if (refusalOf(result) == refusedCold)
        target->recordAnswer(target->lastSeen().first, TargetState::Cold, worker.now());
    worker.finish(target, context.ticket, kind, latency);
    worker.load().recordSlotTime(choice.cell, choice.cellRange, context.place.hash, latency,
                                 worker.now());
    co_return result;
}

/// Makes one attempt: waits for an open route and a slot, then sends the request.
asio::awaitable<AttemptResult> attempt(EdgeWorker &worker, RequestContext &context)
{
    Reason reason = Reason::NoOwner;
    while (!context.callerGone && worker.now() < context.deadline) {
        const RouteLookup found = lookUp(worker, context);
        if (!found.choice) {
            reason = found.reason;
            co_await worker.awaitRoutes(context);
            continue;
        }
        const auto target = worker.findTarget(found.choice->route.owner);
        if (target == nullptr)
            continue;
        worker.load().arrived(found.choice->cell, found.choice->cellRange, context.place.hash,
                              worker.now());
        std::optional<AttemptResult> refused = co_await admit(worker, context, target);
        if (refused)
            co_return std::move(*refused);
        std::optional<AttemptResult> result =
            co_await sendAdmitted(worker, context, *found.choice, target);
        if (result)
            co_return std::move(*result);
    }
    if (context.callerGone)
        reason = Reason::CallerGone;
    co_return AttemptResult{Outcome::NotRun, reason, std::nullopt};
}

/// Whether another attempt is allowed: the request was not run, or its rule allows repeats.
bool mayRepeat(const RequestContext &context, const AttemptResult &result)
{
    if (result.outcome == Outcome::Unknown)
        return context.place.rule->repeatable;
    constexpr std::array<Reason, 3> transient{Reason::TargetRefused, Reason::ConnectFailed,
                                              Reason::ConnectionLost};
    return result.outcome == Outcome::NotRun
        && std::ranges::find(transient, result.reason) != transient.end();
}

} // namespace

asio::awaitable<AttemptResult> forwardRequest(EdgeWorker &worker, RequestContext &context)
{
    RepeatBudget &budget = worker.repeatBudget(*context.place.service);
    budget.recordFirstAttempt();
    std::optional<Reason> earlierUnknown;
    while (true) {
        AttemptResult result = co_await attempt(worker, context);
        if (result.outcome == Outcome::NotRun && earlierUnknown) {
            // An earlier attempt may have run, regardless of the result of this one.
            result = {Outcome::Unknown, *earlierUnknown, std::nullopt};
            co_return result;
        }
        if (result.outcome == Outcome::Unknown)
            earlierUnknown = result.reason;
        if (context.callerGone || worker.now() >= context.deadline)
            co_return result;
        if (refusedForOwnership(result)) {
            co_await worker.pause(context, refusalRetryDelay);
            continue;
        }
        if (!mayRepeat(context, result) || !budget.tryConsumeRepeat())
            co_return result;
        worker.shared().metrics.countRepeat(context.place.service->name.text());
        co_await worker.pause(context, repeatDelay);
    }
}

} // namespace yuccaspan::impl

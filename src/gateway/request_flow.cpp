#include "gateway/request_flow.hpp"

#include "gateway/target_choice.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace yuccaspan::gateway {

namespace {

/// A target that cannot be reached is not tried longer than that.
constexpr Duration connectTimeout = std::chrono::milliseconds(300);
/// Connections that may fail for one request before it is rejected.
constexpr int maxFailedConnects = 3;
/// Wait for the map to change after a target said that it does not hold the key.
constexpr Duration misdirectedLook = std::chrono::milliseconds(60);
/// Wait before a full target is asked again.
constexpr Duration fullLook = std::chrono::milliseconds(60);
/// When to come back after a rejection that names no time.
constexpr Duration defaultPause = std::chrono::milliseconds(200);
/// Weight of the newest sample in the usual time of a route's requests.
constexpr double newestWeight = 0.05;

/// Statuses that promise that a request was not run.
bool promisesNotRun(unsigned status) noexcept
{
    constexpr std::array<unsigned, 4> promises{408, 421, 429, 503};
    return std::ranges::find(promises, status) != promises.end();
}

/// A request that waits on a timer until it is woken.
class TimedWaiter final : public Waiter
{
public:
    TimedWaiter(asio::io_context &loop, Urgency urgency) : Waiter(urgency), m_timer(loop) { }
    [[nodiscard]] asio::steady_timer &timer() noexcept { return m_timer; }

private:
    void resume() override { m_timer.cancel(); }
    asio::steady_timer m_timer;
};

/// One attempt at a target.
struct Attempt
{
    CallResult call;
    AnswerFacts facts;
    Duration latency{};
};

asio::awaitable<void> waitFor(Gateway &gateway, const std::shared_ptr<Flow> &flow,
                              WaitingLane *lane, Duration longest)
{
    const TimePoint from = gateway.now();
    const Duration left = flow->deadline - from;
    TimedWaiter waiter(gateway.loop, flow->urgency);
    waiter.timer().expires_after(std::max(Duration(1), std::min(longest, left)));
    std::optional<WaitingLane::Place> place;
    if (lane != nullptr)
        place = lane->add(waiter);
    flow->cancel = [&waiter] { waiter.timer().cancel(); };
    co_await waiter.timer().async_wait(asTuple);
    flow->cancel = nullptr;
    if (place)
        lane->remove(*place);
    flow->waited += gateway.now() - from;
}

asio::awaitable<Attempt> sendTo(Gateway &gateway, const std::shared_ptr<Flow> &flow,
                                const std::shared_ptr<LiveTarget> &target, TimePoint sendBefore)
{
    Attempt attempt;
    const TimePoint sentAt = gateway.now();
    HttpRequest request = flow->request;
    gateway.protocol.address(request, flow->deadline - sentAt, target->entry.id);
    CallOptions options;
    options.connectTimeout = std::min(connectTimeout, sendBefore - sentAt);
    options.timeout = flow->deadline - sentAt;
    options.maySend = [&gateway, flow, sendBefore] {
        flow->callerGone = flow->callerGone || flow->callerClosed();
        const TimePoint now = gateway.now();
        return !flow->callerGone && now < flow->deadline && now < sendBefore;
    };
    options.belongs = [&gateway, flow](const HttpResponse &response) {
        return gateway.protocol.readAnswer(response).requestId == flow->facts.requestId;
    };
    options.onCancel = [flow](std::function<void()> cancel) { flow->cancel = std::move(cancel); };
    target->gate.started();
    flow->target = target->entry.id;
    attempt.call = co_await target->requests->call(std::move(request), std::move(options));
    attempt.latency = gateway.now() - sentAt;
    if (attempt.call.end == CallEnd::Answered)
        attempt.facts = gateway.protocol.readAnswer(attempt.call.response);
    co_return attempt;
}

AttemptEnd attemptEnd(const Attempt &attempt)
{
    if (attempt.call.end == CallEnd::Cancelled || attempt.call.end == CallEnd::Withheld)
        return AttemptEnd::Withdrawn;
    if (attempt.call.end != CallEnd::Answered)
        return AttemptEnd::Failed;
    if (attempt.facts.misdirected)
        return AttemptEnd::Misdirected;
    return attempt.facts.notExecuted ? AttemptEnd::Shed : AttemptEnd::Answered;
}

void settle(Gateway &gateway, const Flow &flow, const std::shared_ptr<LiveTarget> &target,
            const Attempt &attempt)
{
    const AttemptEnd end = attemptEnd(attempt);
    target->gate.finished(end, attempt.facts.load, gateway.now());
    gateway.mapDoubted = gateway.mapDoubted || end == AttemptEnd::Misdirected;
    if (end == AttemptEnd::Answered) {
        const double seconds = std::chrono::duration<double>(attempt.latency).count();
        double &usual = gateway.routeSeconds.try_emplace(flow.route->name, seconds).first->second;
        const double ratio = seconds / std::max(usual, 0.001);
        target->gate.compare(ratio);
        gateway.seenLoad.addAnswer(target->entry.id, ratio);
        usual += newestWeight * (seconds - usual);
    }
    const TimePoint now = gateway.now();
    if (!target->lane.wakeOne(now))
        gateway.liveService(target->entry.service).lane.wakeOne(now);
}

/// Whether a target's answer may be delivered as it is.
bool deliverable(const Flow &flow, const Attempt &attempt)
{
    const unsigned status = attempt.call.response.result_int();
    constexpr unsigned firstSuccess = 200;
    constexpr unsigned firstRedirect = 300;
    if (status >= firstSuccess && status < firstRedirect)
        return attempt.facts.signedByTarget && !attempt.facts.encoded;
    // The target did not say that it left the request alone; its status must not say so either.
    return flow.route->idempotent || !promisesNotRun(status);
}

bool isServerError(const Attempt &attempt)
{
    constexpr unsigned firstServerError = 500;
    return attempt.call.response.result_int() >= firstServerError;
}

/// The run of one flow.
class FlowRun
{
public:
    FlowRun(Gateway &gateway, std::shared_ptr<Flow> flow)
        : m_gateway(gateway), m_flow(std::move(flow))
    { }

    asio::awaitable<FlowEnd> run()
    {
        RepeatBudget &budget = m_gateway.liveService(m_flow->service).budget;
        budget.first();
        noteKeyLoad();
        while (true) {
            if (m_flow->callerGone)
                co_return FlowEnd{EndReason::CallerGone, {}};
            if (m_gateway.now() >= m_flow->deadline)
                co_return ended(m_mayHaveRun ? EndReason::TimedOut : m_lastWait, defaultPause);
            const TargetChoice choice = chooseTarget(m_gateway, *m_flow, m_tried);
            if (choice.kind == TargetChoice::Kind::Reject)
                co_return ended(choice.reason, choice.pause);
            if (choice.kind == TargetChoice::Kind::Wait) {
                m_lastWait = choice.reason;
                co_await waitFor(m_gateway, m_flow, laneOf(choice), choice.lookAgain);
                continue;
            }
            if (m_flow->sends > 0 && !mayRepeat(budget))
                co_return ended(m_lastFailure, defaultPause);
            const Attempt attempt =
                co_await sendTo(m_gateway, m_flow, choice.target, choice.sendBefore);
            settle(m_gateway, *m_flow, choice.target, attempt);
            if (std::optional<FlowEnd> end = judge(attempt))
                co_return std::move(*end);
            if (m_pause > Duration::zero())
                co_await waitFor(m_gateway, m_flow, nullptr, std::exchange(m_pause, {}));
        }
    }

private:
    WaitingLane *laneOf(const TargetChoice &choice)
    {
        m_waitsAt = choice.target;
        if (choice.target != nullptr)
            return &choice.target->lane;
        return &m_gateway.liveService(m_flow->service).lane;
    }

    /// Tells the placer what work the key brings, whether or not it can be served.
    void noteKeyLoad()
    {
        const bool keyed = m_gateway.liveService(m_flow->service).load != nullptr;
        if (!keyed || !m_flow->facts.key)
            return;
        constexpr double unknownSeconds = 0.1;
        const double seconds = m_gateway.usualSeconds(m_flow->route->name, unknownSeconds);
        m_gateway.seenLoad.addWork(m_flow->service, *m_flow->facts.key / KeyLoad::keysPerBucket,
                                   seconds);
    }

    bool mayRepeat(RepeatBudget &budget)
    {
        return m_flow->sends < m_flow->route->maxAttempts && budget.take();
    }

    /// Decides what follows from an attempt; nothing if the request may be tried again.
    std::optional<FlowEnd> judge(const Attempt &attempt)
    {
        switch (attempt.call.end) {
        case CallEnd::NotSent:
            m_tried.push_back(m_flow->target);
            m_lastFailure = EndReason::TargetLost;
            if (++m_failedConnects >= maxFailedConnects)
                return ended(EndReason::TargetLost, defaultPause);
            return std::nullopt;
        case CallEnd::Withheld:
            // The next look sees why it was too late.
            return std::nullopt;
        case CallEnd::Cancelled:
            return FlowEnd{EndReason::CallerGone, {}};
        case CallEnd::Broken:
        case CallEnd::TimedOut:
            ++m_flow->sends;
            m_tried.push_back(m_flow->target);
            m_mayHaveRun = true;
            m_lastFailure =
                attempt.call.end == CallEnd::Broken ? EndReason::Broken : EndReason::TimedOut;
            if (m_flow->route->idempotent)
                return std::nullopt;
            return ended(m_lastFailure, {});
        case CallEnd::Answered:
            ++m_flow->sends;
            return judgeAnswer(attempt);
        }
        return std::nullopt;
    }

    std::optional<FlowEnd> judgeAnswer(const Attempt &attempt)
    {
        if (attempt.facts.misdirected || attempt.facts.notExecuted) {
            m_tried.push_back(m_flow->target);
            m_lastFailure =
                attempt.facts.misdirected ? EndReason::Misdirected : EndReason::TargetFull;
            m_pause = attempt.facts.misdirected ? misdirectedLook : fullLook;
            return std::nullopt;
        }
        if (!deliverable(*m_flow, attempt)) {
            m_tried.push_back(m_flow->target);
            m_mayHaveRun = true;
            m_lastFailure = EndReason::Broken;
            if (m_flow->route->idempotent)
                return std::nullopt;
            return ended(EndReason::Broken, {});
        }
        if (isServerError(attempt) && m_flow->route->idempotent && !m_serverError
            && m_flow->sends < m_flow->route->maxAttempts) {
            m_tried.push_back(m_flow->target);
            m_serverError = attempt.call.response;
            m_mayHaveRun = true;
            return std::nullopt;
        }
        return FlowEnd{EndReason::Answered, attempt.call.response};
    }

    /// An answer of our own, or the failure that a target answered before.
    FlowEnd ended(EndReason reason, Duration pause)
    {
        if (m_serverError)
            return {EndReason::Answered, std::move(*m_serverError)};
        if (!m_mayHaveRun) {
            return {reason,
                    ownAnswer(m_gateway, http::status::service_unavailable, reason,
                              std::max(pause, minPause))};
        }
        const bool late = reason == EndReason::TimedOut;
        const auto status = late ? http::status::gateway_timeout : http::status::bad_gateway;
        return {reason, ownAnswer(m_gateway, status, reason)};
    }

    static constexpr Duration minPause = std::chrono::milliseconds(50);

    Gateway &m_gateway;
    std::shared_ptr<Flow> m_flow;
    std::vector<std::string> m_tried;
    std::shared_ptr<LiveTarget> m_waitsAt; ///< Keeps the lane that is waited in.
    std::optional<HttpResponse> m_serverError;
    EndReason m_lastWait = EndReason::Overloaded;
    EndReason m_lastFailure = EndReason::TargetLost;
    Duration m_pause{};
    int m_failedConnects = 0;
    bool m_mayHaveRun = false;
};

} // namespace

HttpResponse ownAnswer(const Gateway &gateway, http::status status, EndReason reason,
                       Duration pause)
{
    HttpResponse response(status, httpVersion11);
    response.set(http::field::content_type, "application/json");
    response.body() = R"({"reason":")" + std::string(toString(reason)) + R"("})";
    if (pause > Duration::zero())
        gateway.protocol.retryAfter(response, pause);
    return response;
}

asio::awaitable<FlowEnd> runFlow(Gateway &gateway, std::shared_ptr<Flow> flow)
{
    FlowRun run(gateway, std::move(flow));
    co_return co_await run.run();
}

} // namespace yuccaspan::gateway

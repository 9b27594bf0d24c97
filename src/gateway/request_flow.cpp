#include "gateway/request_flow.hpp"

#include "gateway/target_choice.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace yuccaspan::gateway {

namespace {

/// Longest time to connect to a target.
constexpr Duration connectTimeout = std::chrono::milliseconds(300);
/// Failed connection attempts after which a request is rejected.
constexpr int maxFailedConnects = 3;
/// Delay for an update of the shard map after a target answered that it does not hold the key.
constexpr Duration misdirectedRetryDelay = std::chrono::milliseconds(60);
/// Delay before a request that a full target rejected is tried again.
constexpr Duration fullTargetRetryDelay = std::chrono::milliseconds(60);
/// Retry delay that is sent with a rejection that has no other.
constexpr Duration defaultRetryDelay = std::chrono::milliseconds(200);
/// Weight of the newest sample in the moving average of a route's latency.
constexpr double newestWeight = 0.05;

/// Whether a status tells the caller that the request was not run.
bool promisesNotRun(unsigned status) noexcept
{
    constexpr std::array<unsigned, 4> promises{408, 421, 429, 503};
    return std::ranges::find(promises, status) != promises.end();
}

/// A waiting request; waking it cancels its timer.
class TimedWaiter final : public Waiter
{
public:
    TimedWaiter(asio::io_context &loop, Urgency urgency) : Waiter(urgency), m_timer(loop) { }
    [[nodiscard]] asio::steady_timer &timer() noexcept { return m_timer; }

private:
    void resume() override { m_timer.cancel(); }
    asio::steady_timer m_timer;
};

/// One attempt to send a request to a target.
struct Attempt
{
    CallResult call;
    AnswerFacts facts;
    Duration latency{};
};

/// Waits.
/// \returns The retry delay of a request that must make way for others.
asio::awaitable<std::optional<Duration>>
waitFor(Gateway &gateway, const std::shared_ptr<Flow> &flow, WaitingLane *lane, Duration longest)
{
    const TimePoint from = gateway.now();
    const Duration left = std::min(flow->deadline, gateway.rejectFrom) - from;
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
    co_return waiter.displaced();
}

bool isCold(const Gateway &gateway, const LiveTarget &target, TimePoint now)
{
    const Target *known = gateway.directory.find(target.entry.id);
    return known != nullptr && known->cold(now);
}

/// Records what is known of a target at the moment at which a request is sent to it.
void recordKnowledge(Gateway &gateway, Flow &flow, const LiveTarget &target)
{
    const TimePoint now = gateway.now();
    flow.proofAge = now - gateway.evidence.provenAt(ObjectKind::Targets);
    gateway.metrics.proofAge(flow.proofAge);
    const Target *known = gateway.directory.find(target.entry.id);
    const auto since = known == nullptr ? std::nullopt : gateway.directory.unwantedSince(*known);
    flow.unwantedFor = since ? std::optional<Duration>(now - *since) : std::nullopt;
}

asio::awaitable<Attempt> sendTo(Gateway &gateway, const std::shared_ptr<Flow> &flow,
                                const std::shared_ptr<LiveTarget> &target, TimePoint sendBefore,
                                bool resend)
{
    Attempt attempt;
    const TimePoint sentAt = gateway.now();
    HttpRequest request = flow->request;
    gateway.protocol.address(request, flow->deadline - sentAt, target->entry.id);
    CallOptions options;
    options.connectTimeout = std::min(connectTimeout, sendBefore - sentAt);
    options.timeout = flow->deadline - sentAt;
    // A target that repeats an earlier answer on a kept connection would repeat the request's id.
    options.freshConnection = resend;
    options.maySend = [&gateway, flow, target, sendBefore] {
        flow->callerGone = flow->callerGone || flow->callerClosed();
        const TimePoint now = gateway.now();
        const bool allowed = !flow->callerGone && now < flow->deadline && now < sendBefore
            && !target->gate.closed(now);
        if (allowed)
            recordKnowledge(gateway, *flow, *target);
        return allowed;
    };
    options.belongs = [&gateway, flow](const HttpResponse &response) {
        return gateway.protocol.readAnswer(response).requestId == flow->facts.requestId;
    };
    options.onResponse = [&gateway, target](const HttpResponse &response) {
        gateway.learn(*target, gateway.protocol.readAnswer(response), AnswerSource::Request);
    };
    options.onCancel = [flow](std::function<void()> cancel) { flow->cancel = std::move(cancel); };
    const bool entryCold = isCold(gateway, *target, sentAt);
    flow->sentCold = target->gate.countsAsCold(sentAt, entryCold);
    target->gate.started(sentAt, entryCold);
    flow->target = target->entry.id;
    attempt.call = co_await target->requests->call(std::move(request), std::move(options));
    attempt.latency = gateway.now() - sentAt;
    if (attempt.call.end == CallEnd::Answered)
        attempt.facts = gateway.protocol.readAnswer(attempt.call.response);
    co_return attempt;
}

AttemptResult attemptResult(const Attempt &attempt)
{
    if (attempt.call.end == CallEnd::Cancelled || attempt.call.end == CallEnd::Withheld)
        return AttemptResult::Withdrawn;
    if (attempt.call.refused)
        return AttemptResult::Refused;
    if (attempt.call.end != CallEnd::Answered)
        return AttemptResult::Failed;
    if (attempt.facts.misdirected)
        return AttemptResult::Misdirected;
    return attempt.facts.notExecuted ? AttemptResult::Shed : AttemptResult::Answered;
}

void recordAttempt(Gateway &gateway, const Flow &flow, const std::shared_ptr<LiveTarget> &target,
                   const Attempt &attempt)
{
    const AttemptResult end = attemptResult(attempt);
    if (attempt.call.invalidStatus) {
        gateway.metrics.count("no-answer", "status");
        gateway.log.write("routing", "invalid-status",
                          {{"request", flow.facts.requestId},
                           {"target", target->entry.id},
                           {"status", *attempt.call.invalidStatus}});
    }
    target->gate.finished(end, attempt.facts.load, gateway.now());
    gateway.shardMapsStale = gateway.shardMapsStale || end == AttemptResult::Misdirected;
    if (end == AttemptResult::Answered) {
        const double seconds = std::chrono::duration<double>(attempt.latency).count();
        double &usual =
            gateway.averageRouteSeconds.try_emplace(flow.route->name, seconds).first->second;
        const double ratio = seconds / std::max(usual, 0.001);
        target->gate.compare(ratio);
        gateway.unreportedLoad.addAnswer(target->entry.id, ratio);
        usual += newestWeight * (seconds - usual);
    }
    const TimePoint now = gateway.now();
    const auto inFlight = static_cast<double>(target->gate.inFlight() + 1);
    if (target->lane.wakeOne(gateway.roomOrder, {now, {}, inFlight}))
        return;
    WaitingLane &lane = gateway.liveService(target->entry.service).lane;
    if (!lane.empty()) {
        const double all = 1 + gateway.inFlight(target->entry.service);
        lane.wakeOne(gateway.roomOrder, {now, {}, all});
    }
}

/// Whether the response of a target may be delivered unchanged.
bool canDeliver(const Flow &flow, const Attempt &attempt)
{
    const unsigned status = attempt.call.response.result_int();
    constexpr unsigned firstSuccess = 200;
    constexpr unsigned firstRedirect = 300;
    if (status >= firstSuccess && status < firstRedirect)
        return attempt.facts.signedByTarget && !attempt.facts.encoded;
    // The request may have run, so the status must not claim that it did not.
    return flow.route->idempotent || !promisesNotRun(status);
}

bool isServerError(const Attempt &attempt)
{
    constexpr unsigned firstServerError = 500;
    return attempt.call.response.result_int() >= firstServerError;
}

/// Handles one request.
class FlowRunner
{
public:
    FlowRunner(Gateway &gateway, std::shared_ptr<Flow> flow)
        : m_gateway(gateway), m_flow(std::move(flow))
    { }

    asio::awaitable<FlowResult> run()
    {
        RepeatBudget &budget = m_gateway.liveService(m_flow->service).budget;
        budget.first();
        recordKeyLoad();
        while (true) {
            if (m_flow->callerGone)
                co_return FlowResult{EndReason::CallerGone, {}, {}};
            if (m_gateway.now() >= m_flow->deadline)
                co_return ended(m_mayHaveRun ? EndReason::TimedOut : m_lastWait, defaultRetryDelay);
            if (m_gateway.now() >= m_gateway.rejectFrom)
                co_return ended(EndReason::Stopping, stoppingRetryDelay);
            const TargetChoice choice = chooseTarget(m_gateway, *m_flow, m_tried);
            if (choice.kind == TargetChoice::Kind::Reject)
                co_return ended(choice.reason, choice.retryDelay);
            if (choice.kind == TargetChoice::Kind::Wait) {
                m_lastWait = choice.reason;
                const std::optional<Duration> displaced =
                    co_await waitFor(m_gateway, m_flow, laneOf(choice), choice.recheckAfter);
                if (displaced && !m_flow->callerGone) {
                    recordDisplaced(*displaced);
                    co_return ended(EndReason::Overloaded, *displaced);
                }
                continue;
            }
            if (m_flow->sends > 0 && !mayRepeat(budget))
                co_return ended(m_lastFailure, defaultRetryDelay);
            const bool resend =
                !m_sentTo.insert(choice.target->entry.address).second && m_flow->sends > 0;
            Attempt attempt =
                co_await sendTo(m_gateway, m_flow, choice.target, choice.sendBefore, resend);
            recordAttempt(m_gateway, *m_flow, choice.target, attempt);
            if (std::optional<FlowResult> end = evaluate(attempt))
                co_return std::move(*end);
            if (m_attemptDelay > Duration::zero())
                co_await waitFor(m_gateway, m_flow, nullptr, std::exchange(m_attemptDelay, {}));
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

    void recordDisplaced(Duration retryDelay)
    {
        const auto milliseconds = [](Duration span) {
            return std::chrono::duration<double, std::milli>(span).count();
        };
        const TimePoint now = m_gateway.now();
        const Urgency &urgency = m_flow->urgency;
        m_gateway.metrics.count("waiting", "displaced");
        m_gateway.log.write("routing", "displaced",
                            {{"request", m_flow->facts.requestId},
                             {"priority", urgency.priority},
                             {"workMs", milliseconds(urgency.work)},
                             {"onTimeLeftMs", milliseconds(urgency.onTimeUntil - now)},
                             {"leftMs", milliseconds(urgency.deadline - now)},
                             {"waitedMs", milliseconds(m_flow->waited)},
                             {"retryMs", milliseconds(retryDelay)}});
    }

    /// Counts the load of the key for the placer, whether or not the request can be served.
    void recordKeyLoad()
    {
        const bool keyed = m_gateway.liveService(m_flow->service).load != nullptr;
        if (!keyed || !m_flow->facts.key)
            return;
        constexpr double unknownSeconds = 0.1;
        const double seconds = m_gateway.averageSeconds(m_flow->route->name, unknownSeconds);
        m_gateway.unreportedLoad.addWork(m_flow->service,
                                         *m_flow->facts.key / KeyLoad::keysPerBucket, seconds);
    }

    bool mayRepeat(RepeatBudget &budget)
    {
        return m_flow->sends < m_flow->route->maxAttempts && budget.take();
    }

    /// Evaluates an attempt.
    /// \returns The result of the request, or nothing if it may be retried.
    std::optional<FlowResult> evaluate(Attempt &attempt)
    {
        switch (attempt.call.end) {
        case CallEnd::NotSent:
            m_tried.push_back(m_flow->target);
            m_lastFailure = EndReason::TargetLost;
            if (++m_failedConnects >= maxFailedConnects)
                return ended(EndReason::TargetLost, defaultRetryDelay);
            return std::nullopt;
        case CallEnd::Withheld:
            // The next choice of a target finds out why sending was no longer allowed.
            return std::nullopt;
        case CallEnd::Cancelled:
            return FlowResult{EndReason::CallerGone, {}, {}};
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
            return evaluateResponse(attempt);
        }
        return std::nullopt;
    }

    std::optional<FlowResult> evaluateResponse(Attempt &attempt)
    {
        if (attempt.facts.misdirected || attempt.facts.notExecuted) {
            m_tried.push_back(m_flow->target);
            m_lastFailure =
                attempt.facts.misdirected ? EndReason::Misdirected : EndReason::TargetFull;
            m_attemptDelay =
                attempt.facts.misdirected ? misdirectedRetryDelay : fullTargetRetryDelay;
            return std::nullopt;
        }
        if (!canDeliver(*m_flow, attempt)) {
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
            m_serverError = std::move(attempt.call.response);
            m_errorMemory = std::move(attempt.call.memory);
            m_mayHaveRun = true;
            return std::nullopt;
        }
        return FlowResult{EndReason::Answered, std::move(attempt.call.response),
                          std::move(attempt.call.memory)};
    }

    /// The server error that a target returned earlier, or else a response of the gateway itself.
    FlowResult ended(EndReason reason, Duration retryDelay)
    {
        if (m_serverError)
            return {EndReason::Answered, std::move(*m_serverError), std::move(m_errorMemory)};
        if (!m_mayHaveRun) {
            return {reason,
                    ownAnswer(m_gateway, http::status::service_unavailable, reason,
                              std::max(retryDelay, minRetryDelay)),
                    {}};
        }
        const bool late = reason == EndReason::TimedOut;
        const auto status = late ? http::status::gateway_timeout : http::status::bad_gateway;
        return {reason, ownAnswer(m_gateway, status, reason), {}};
    }

    static constexpr Duration minRetryDelay = std::chrono::milliseconds(50);

    Gateway &m_gateway;
    std::shared_ptr<Flow> m_flow;
    std::vector<std::string> m_tried;
    std::set<std::string> m_sentTo; ///< Addresses that the request was sent to.
    std::shared_ptr<LiveTarget> m_waitsAt; ///< Keeps the lane alive in which the request waits.
    std::optional<HttpResponse> m_serverError;
    MessageMemory::Share m_errorMemory; ///< Of that response.
    EndReason m_lastWait = EndReason::Overloaded;
    EndReason m_lastFailure = EndReason::TargetLost;
    Duration m_attemptDelay{};
    int m_failedConnects = 0;
    bool m_mayHaveRun = false;
};

} // namespace

HttpResponse ownAnswer(const Gateway &gateway, http::status status, EndReason reason,
                       Duration retryDelay)
{
    HttpResponse response(status, httpVersion11);
    response.set(http::field::content_type, "application/json");
    response.body() = R"({"reason":")" + std::string(toString(reason)) + R"("})";
    if (retryDelay > Duration::zero())
        gateway.protocol.retryAfter(response, retryDelay);
    return response;
}

asio::awaitable<FlowResult> runFlow(Gateway &gateway, std::shared_ptr<Flow> flow)
{
    FlowRunner run(gateway, std::move(flow));
    co_return co_await run.run();
}

} // namespace yuccaspan::gateway

#include "gateway/caller_session.hpp"

#include "gateway/request_flow.hpp"
#include "gateway/workspaces/caller_admission.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <deque>
#include <optional>
#include <utility>

namespace yuccaspan::gateway {

namespace {

/// Deadline of a request that has none; routes may set a shorter timeout.
constexpr Duration defaultDeadline = std::chrono::seconds(5);
/// Timeout of writing a response to a caller that does not read.
constexpr Duration writeTimeout = std::chrono::seconds(10);
/// How long a caller's bytes are discarded after this instance ended a connection. Closing it with
/// unread bytes would reset it, and the caller could lose the last response.
constexpr Duration lingerTimeout = std::chrono::milliseconds(500);
/// Retry delay that is sent while the memory for bodies is used up.
constexpr Duration noMemoryRetryDelay = std::chrono::milliseconds(300);

/// How long a request waits for a proof of the settings: for two questions to other instances.
constexpr Duration maxSettingsWait = std::chrono::milliseconds(500);
/// Interval of looking for it.
constexpr Duration settingsRecheckInterval = std::chrono::milliseconds(20);
/// Retry delay that is sent without it: the interval of questions to other instances.
constexpr Duration settingsRetryDelay = std::chrono::milliseconds(250);

/// Hop-by-hop header fields, which are not forwarded.
constexpr std::array<http::field, 8> connectionFields{
    http::field::connection,        http::field::keep_alive,
    http::field::proxy_connection,  http::field::te,
    http::field::transfer_encoding, http::field::upgrade,
    http::field::trailer,           http::field::expect};

void eraseConnectionFields(http::fields &fields)
{
    // The Connection field may name further hop-by-hop fields.
    const std::string named(fields[http::field::connection]);
    for (const http::field name : connectionFields)
        fields.erase(name);
    for (std::size_t at = 0; at < named.size();) {
        const std::size_t comma = std::min(named.find(',', at), named.size());
        std::string_view token = std::string_view(named).substr(at, comma - at);
        token.remove_prefix(std::min(token.find_first_not_of(' '), token.size()));
        if (!token.empty() && token != "close" && token != "keep-alive")
            fields.erase(token);
        at = comma + 1;
    }
}

/// A request that was read, with its place among the answers of its connection.
struct Exchange
{
    std::shared_ptr<Flow> flow; ///< Null for a request that was not read whole.
    MessageMemory::Share memory; ///< Of the request.
    std::optional<FlowResult> end; ///< Its answer, once there is one.
    bool repeatable = true; ///< Whether further requests may run beside it.
    bool keepAlive = true; ///< Whether the caller keeps the connection.
    std::size_t ahead = 0; ///< Requests of the connection that were in progress when it was read.
};

/// Lets one coroutine wait for a change of the state around it.
class ChangeSignal
{
public:
    using Time = asio::steady_timer::time_point;

    explicit ChangeSignal(asio::io_context &loop) : m_timer(loop) { }
    asio::awaitable<void> wait(Time latest = Time::max())
    {
        m_timer.expires_at(latest);
        co_await m_timer.async_wait(asTuple);
    }
    void notify() { m_timer.cancel(); }

private:
    asio::steady_timer m_timer;
};

/// One connection of a caller.
///
/// Requests are read ahead while those before them are in progress, up to a depth, and answered in
/// the order of their arrival. A request that may run only once runs alone: one behind it could
/// otherwise be answered while the caller has to send it again.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(Gateway &gateway, tcp::socket socket)
        : m_gateway(gateway),
          m_connections(gateway.callers),
          m_stream(std::move(socket)),
          m_changed(gateway.loop),
          m_readTimer(gateway.loop),
          m_idleSince(std::chrono::steady_clock::now())
    {
        m_connections->opened();
        const int on = 1;
        ::setsockopt(m_stream.socket().native_handle(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;
    ~Session() { m_connections->closed(); }

    asio::awaitable<void> run()
    {
        while (co_await readNext()) { }
        m_readsEnded = true;
        while (!m_exchanges.empty())
            co_await waitForChange();
        beast::error_code ignored;
        m_stream.socket().cancel(ignored);
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        if (m_linger)
            co_await discardInput();
    }

private:
    using Parser = http::request_parser<http::string_body>;

    /// Reads a request and starts to handle it.
    /// \returns Whether a further one may follow.
    asio::awaitable<bool> readNext()
    {
        const CallerLimits limits = m_gateway.desired ? m_gateway.desired->limits : CallerLimits{};
        if (!co_await waitForRequest(limits.idleTimeout))
            co_return false;
        const auto exchange = std::make_shared<Exchange>();
        exchange->memory = m_gateway.bodies->share(BodyOwner::Request);
        Parser parser;
        m_reading = true;
        bool mayRun = co_await read(parser, exchange->memory, limits);
        if (mayRun) {
            const TimePoint arrived = m_gateway.now();
            co_await awaitSettings(parser.get(), arrived);
            prepare(*exchange, parser.release(), arrived);
            if (!exchange->repeatable)
                mayRun = co_await untilAnswered();
        }
        m_reading = false;
        if (!mayRun)
            co_return false;
        ++m_gateway.active;
        exchange->ahead = m_exchanges.size();
        if (exchange->ahead > 0)
            m_gateway.metrics.count("pipelined", "read-ahead");
        m_exchanges.push_back(exchange);
        asio::co_spawn(m_gateway.loop, handle(shared_from_this(), exchange), asio::detached);
        co_return exchange->keepAlive;
    }

    /// Waits until all requests that were read are answered.
    /// \returns False if the connection ends before.
    asio::awaitable<bool> untilAnswered()
    {
        while (!m_exchanges.empty())
            co_await waitForChange();
        co_return !m_callerGone && !m_closing;
    }

    /// Whether the next request may be read while others are in progress.
    [[nodiscard]] bool mayReadAhead() const
    {
        if (m_exchanges.empty())
            return true;
        std::size_t held = 0;
        for (const std::shared_ptr<Exchange> &exchange : m_exchanges)
            held += exchange->end ? exchange->end->response.body().size() : 0;
        return m_exchanges.size() < m_gateway.options.pipelineDepth
            && held < m_gateway.options.pipelineBytes && m_exchanges.back()->repeatable;
    }

    /// Waits for the first bytes of a request that may be read.
    /// \returns False if the connection ends instead.
    asio::awaitable<bool> waitForRequest(Duration idleTimeout)
    {
        while (true) {
            if (m_callerGone || m_closing)
                co_return false;
            const bool idle = m_exchanges.empty();
            const bool input = m_buffer.size() != 0 || m_inputReady;
            if (input && mayReadAhead())
                co_return true;
            if (idle && m_gateway.closingCallers && !hasInput()) {
                m_linger = true;
                co_return false;
            }
            const auto latest = idle ? m_idleSince + idleTimeout : ChangeSignal::Time::max();
            const auto pending =
                m_connections->reading(ReadPhase::Idle, [this] { m_changed.notify(); });
            co_await waitForChange(latest);
            if (idle && !m_inputReady && std::chrono::steady_clock::now() >= latest)
                co_return false;
        }
    }

    /// Waits until something changes: an answer is written, bytes arrive or the caller leaves.
    asio::awaitable<void> waitForChange(ChangeSignal::Time latest = ChangeSignal::Time::max())
    {
        if (m_buffer.size() == 0 && !m_inputReady)
            watchInput();
        co_await m_changed.wait(latest);
    }

    /// Waits in the background for further bytes or the end of the connection.
    void watchInput()
    {
        if (std::exchange(m_watching, true))
            return;
        m_stream.socket().async_wait(tcp::socket::wait_read,
                                     [self = shared_from_this()](beast::error_code failure) {
                                         self->m_watching = false;
                                         if (failure)
                                             return;
                                         if (self->callerClosed())
                                             self->abandon();
                                         else
                                             self->m_inputReady = true;
                                         self->m_changed.notify();
                                     });
    }

    /// Ends the requests of a caller that has left, but for those that may have run.
    void abandon()
    {
        m_callerGone = true;
        for (const std::shared_ptr<Exchange> &exchange : m_exchanges) {
            if (exchange->end || exchange->flow == nullptr)
                continue;
            Flow &flow = *exchange->flow;
            flow.callerGone = true;
            const bool mayStop = exchange->repeatable || flow.sends == 0;
            if (flow.cancel && mayStop)
                flow.cancel();
        }
    }

    asio::awaitable<bool> read(Parser &parser, MessageMemory::Share &memory,
                               const CallerLimits &limits)
    {
        parser.header_limit(limits.headerBytes);
        parser.body_limit(limits.bodyBytes);
        // Also limits lines in chunked bodies.
        m_buffer.max_size(limits.headerBytes + readBytes);
        m_inputReady = false;
        const auto pending = m_connections->reading(ReadPhase::Request, [this] { cancelRead(); });
        m_readCancelled = false;
        limitRead(limits.headerTimeout);
        const auto [headFailure, headBytes] =
            co_await http::async_read_header(m_stream, m_buffer, parser, asTuple);
        if (headFailure)
            co_return co_await rejectUnread(headFailure);
        if (parser.get()[http::field::expect] == "100-continue") {
            if (!co_await untilAnswered())
                co_return false;
            http::response<http::empty_body> proceed(http::status::continue_, httpVersion11);
            co_await http::async_write(m_stream, proceed, asTuple);
        }
        limitRead(limits.idleTimeout);
        const bool whole = co_await readBody(parser, memory);
        m_readTimer.cancel();
        co_return whole;
    }

    /// Limits the time of a read. The timer of the stream would close the connection, and requests
    /// before this one may still have to be answered.
    void limitRead(Duration longest)
    {
        m_stream.expires_never();
        m_readTimer.expires_after(longest);
        m_readTimer.async_wait([self = shared_from_this()](beast::error_code failure) {
            const bool due = self->m_readTimer.expiry() <= std::chrono::steady_clock::now();
            if (!failure && self->m_reading && due)
                self->cancelRead();
        });
    }

    /// Cancels a read; an answer that is being written goes on.
    void cancelRead()
    {
        m_readCancelled = true;
        if (!m_writing)
            m_stream.cancel();
    }

    asio::awaitable<bool> readBody(Parser &parser, MessageMemory::Share &memory)
    {
        bool fits = true;
        memory.setGiveUp([this, &fits] {
            fits = false;
            cancelRead();
        });
        parser.eager(true);
        beast::error_code failure;
        while (!failure && fits && !parser.is_done()) {
            const auto [readFailure, bytes] =
                co_await http::async_read_some(m_stream, m_buffer, parser, asTuple);
            failure = readFailure;
            fits = fits && memory.resize(parser.get().body().size());
        }
        memory.setGiveUp({});
        if (fits && !failure)
            co_return true;
        if (fits)
            co_return co_await rejectUnread(failure);
        m_gateway.metrics.count("unread-request", toString(EndReason::NoMemory));
        co_return co_await reject(ownAnswer(m_gateway, http::status::service_unavailable,
                                            EndReason::NoMemory, noMemoryRetryDelay));
    }

    /// Whether bytes of a further request have arrived.
    [[nodiscard]] bool hasInput()
    {
        if (m_buffer.size() != 0)
            return true;
        char byte = 0;
        const int handle = m_stream.socket().native_handle();
        return ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }

    /// Reads and discards what the caller sends until it closes the connection.
    asio::awaitable<void> discardInput()
    {
        m_stream.expires_after(lingerTimeout);
        std::array<char, readBytes> bytes{};
        while (true) {
            const auto [failure, count] =
                co_await m_stream.async_read_some(asio::buffer(bytes), asTuple);
            if (failure)
                co_return;
        }
    }

    /// Answers a request that was not read whole: one that is malformed, or one that is cancelled
    /// since the instance stops. Other read failures get no response.
    asio::awaitable<bool> rejectUnread(beast::error_code failure)
    {
        m_readTimer.cancel();
        if (failure == asio::error::operation_aborted && m_gateway.stopping) {
            m_gateway.metrics.count("unread-request", toString(EndReason::Stopping));
            co_return co_await reject(ownAnswer(m_gateway, http::status::service_unavailable,
                                                EndReason::Stopping, stoppingRetryDelay));
        }
        http::status status = http::status::bad_request;
        if (failure == http::error::header_limit)
            status = http::status::request_header_fields_too_large;
        else if (failure == http::error::body_limit)
            status = http::status::payload_too_large;
        const bool malformed =
            failure.category() == make_error_code(http::error::bad_method).category()
            && failure != http::error::end_of_stream && failure != http::error::partial_message;
        if (!malformed) {
            if (failure != asio::error::operation_aborted)
                abandon();
            co_return false;
        }
        m_gateway.metrics.count("bad-request", failure.message());
        co_return co_await reject(HttpResponse(status, httpVersion11));
    }

    /// Answers a request that was not read whole, after those before it, and ends the connection.
    asio::awaitable<bool> reject(HttpResponse response)
    {
        const auto exchange = std::make_shared<Exchange>();
        exchange->keepAlive = false;
        exchange->end = FlowResult{EndReason::Answered, std::move(response), {}};
        m_exchanges.push_back(exchange);
        co_await writeAnswers();
        co_return false;
    }

    /// Waits until a request may be routed, for a short time.
    asio::awaitable<void> awaitSettings(const HttpRequest &request, TimePoint arrived)
    {
        if (m_gateway.mayRoute(arrived))
            co_return;
        const std::optional<Duration> deadline = m_gateway.protocol.readCaller(request).deadline;
        const TimePoint latest =
            arrived + std::min(maxSettingsWait, deadline.value_or(maxSettingsWait));
        asio::steady_timer timer(m_gateway.loop);
        while (m_gateway.informed() && !m_gateway.mayRoute(arrived) && m_gateway.now() < latest) {
            m_gateway.metrics.count("held", "settings-unproven");
            timer.expires_after(settingsRecheckInterval);
            co_await timer.async_wait(asTuple);
        }
    }

    /// Reads from a request what decides how it is handled.
    void prepare(Exchange &exchange, HttpRequest request, TimePoint arrived)
    {
        const auto flow = std::make_shared<Flow>();
        exchange.keepAlive = request.keep_alive();
        flow->arrived = arrived;
        flow->facts = m_gateway.protocol.readCaller(request);
        flow->request = std::move(request);
        if (m_gateway.informed()) {
            flow->state = m_gateway.desired;
            const std::string_view target = flow->request.target();
            const std::string_view path = target.substr(0, target.find('?'));
            flow->route = m_gateway.routes.find(flow->request[http::field::host], path);
            exchange.repeatable = flow->route == nullptr || flow->route->idempotent;
            recordSettings(*flow);
        }
        exchange.flow = flow;
    }

    /// Records what is known of the settings at the moment at which a request is routed.
    void recordSettings(Flow &flow)
    {
        flow.settingsAge = m_gateway.now() - m_gateway.evidence.provenAt(ObjectKind::Settings);
        flow.settingsBehind = m_gateway.evidence.behind(ObjectKind::Settings);
        m_gateway.metrics.settingsProofAge(flow.settingsAge);
    }

    static asio::awaitable<void> handle(std::shared_ptr<Session> self,
                                        std::shared_ptr<Exchange> exchange)
    {
        exchange->end = co_await self->route(exchange->flow);
        exchange->end->memory.setGiveUp([session = self.get()] { session->m_stream.close(); });
        self->record(*exchange, *exchange->end);
        co_await self->writeAnswers();
    }

    /// Writes the answers that are due, in the order of their requests.
    asio::awaitable<void> writeAnswers()
    {
        if (std::exchange(m_writing, true))
            co_return;
        while (!m_exchanges.empty() && m_exchanges.front()->end) {
            const std::shared_ptr<Exchange> exchange = m_exchanges.front();
            // The flow may notice first that the caller has left; its result is then no answer.
            const bool seenByFlow = exchange->flow != nullptr && exchange->flow->callerGone;
            if (seenByFlow || (!m_callerGone && !co_await answer(*exchange)))
                abandon();
            m_exchanges.pop_front();
            if (exchange->flow != nullptr)
                --m_gateway.active;
        }
        m_writing = false;
        if (m_reading && m_readCancelled)
            m_stream.cancel();
        m_idleSince = std::chrono::steady_clock::now();
        m_changed.notify();
    }

    asio::awaitable<FlowResult> route(const std::shared_ptr<Flow> &flow)
    {
        if (!flow->state) {
            constexpr Duration startupRetryDelay = std::chrono::milliseconds(300);
            co_return refusal(http::status::service_unavailable, EndReason::NotReady,
                              startupRetryDelay);
        }
        if (!m_gateway.mayRoute(flow->arrived)
            || (flow->route == nullptr && !m_gateway.settingsProven(flow->arrived)))
            co_return refusal(http::status::service_unavailable, EndReason::SettingsUnproven,
                              settingsRetryDelay);
        if (flow->route == nullptr)
            co_return refusal(http::status::not_found, EndReason::NoRoute, {});
        Duration allowed = flow->facts.deadline.value_or(defaultDeadline);
        if (flow->route->timeout > Duration::zero())
            allowed = std::min(allowed, flow->route->timeout);
        flow->deadline = flow->arrived + allowed;
        if (m_gateway.mayOutlastStop(flow->deadline))
            co_return refusal(http::status::service_unavailable, EndReason::Stopping,
                              stoppingRetryDelay);
        flow->priority = flow->route->priority;
        if (const std::optional<Rejection> rejection = admitCaller(m_gateway, *flow))
            co_return refusal(rejection->status, rejection->reason, rejection->retryDelay);
        flow->urgency = {flow->priority, flow->arrived + flow->route->latencyTarget};
        flow->service = m_gateway.dealer.next(*flow->route);
        eraseConnectionFields(flow->request);
        flow->request.keep_alive(true);
        flow->request.prepare_payload();
        flow->callerClosed = [self = shared_from_this()] { return self->callerClosed(); };
        co_return co_await runFlow(m_gateway, flow);
    }

    /// An answer of the gateway to a request that it passes on to no target.
    [[nodiscard]] FlowResult refusal(http::status status, EndReason reason,
                                     Duration retryDelay) const
    {
        return {reason, ownAnswer(m_gateway, status, reason, retryDelay), {}};
    }

    [[nodiscard]] bool callerClosed()
    {
        char byte = 0;
        const int handle = m_stream.socket().native_handle();
        const ssize_t count = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// Writes an answer.
    /// \returns False if the caller can't be reached.
    asio::awaitable<bool> answer(Exchange &exchange)
    {
        FlowResult &end = *exchange.end;
        HttpResponse &response = end.response;
        eraseConnectionFields(response);
        response.version(httpVersion11);
        // A further request that has arrived is answered too, since its caller sees it as read.
        const bool more = m_exchanges.size() > 1 || m_reading || hasInput();
        const bool keepOpen = exchange.keepAlive
            && (m_readsEnded ? m_exchanges.size() > 1 : !m_gateway.stopping || more);
        if (!keepOpen) {
            m_closing = true;
            m_linger = exchange.keepAlive || exchange.flow == nullptr;
        }
        response.keep_alive(keepOpen);
        response.prepare_payload();
        m_stream.expires_after(writeTimeout);
        const auto [failure, bytes] = co_await http::async_write(m_stream, response, asTuple);
        co_return !failure;
    }

    void record(const Exchange &exchange, const FlowResult &end)
    {
        const Flow &flow = *exchange.flow;
        const TimePoint now = m_gateway.now();
        const std::string route = flow.route != nullptr ? flow.route->name : "none";
        m_gateway.metrics.request(route, toString(end.reason), now - flow.arrived);
        using Milliseconds = std::chrono::duration<double, std::milli>;
        nlohmann::json fields{{"request", flow.facts.requestId},
                              {"route", route},
                              {"service", flow.service},
                              {"state", flow.state ? flow.state->version : 0},
                              {"target", flow.target},
                              {"sends", flow.sends},
                              {"waitedMs", Milliseconds(flow.waited).count()},
                              {"tookMs", Milliseconds(now - flow.arrived).count()},
                              {"status", end.response.result_int()},
                              {"reason", toString(end.reason)}};
        if (flow.state)
            fields["settingsMs"] = Milliseconds(flow.settingsAge).count();
        if (flow.settingsBehind)
            fields["settingsBehind"] = true;
        if (flow.sends > 0)
            fields["proofMs"] = Milliseconds(flow.proofAge).count();
        if (flow.unwantedFor)
            fields["leavingMs"] = Milliseconds(*flow.unwantedFor).count();
        if (flow.workspace != nullptr)
            fields["workspace"] = flow.workspace->name;
        if (exchange.ahead > 0)
            fields["ahead"] = exchange.ahead;
        if (flow.sentCold) {
            fields["cold"] = true;
            fields["instances"] = m_gateway.share.instances;
        }
        if (flow.facts.key) {
            fields["key"] = *flow.facts.key;
            fields["fence"] = flow.fence;
            fields["map"] = flow.mapWrite;
        }
        m_gateway.log.write("routing", "request", std::move(fields));
    }

    static constexpr std::size_t readBytes = 4096;

    Gateway &m_gateway;
    const std::shared_ptr<CallerConnections> m_connections;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::deque<std::shared_ptr<Exchange>> m_exchanges; ///< Not answered yet, in order of arrival.
    ChangeSignal m_changed; ///< For the reading coroutine.
    asio::steady_timer m_readTimer; ///< Limits the time to read a request.
    ChangeSignal::Time m_idleSince; ///< When the last answer was written.
    bool m_watching = false; ///< Whether a wait for input is pending.
    bool m_inputReady = false; ///< Whether that wait found unread bytes.
    bool m_reading = false; ///< Whether a request is being read or waits for those before it.
    bool m_readCancelled = false; ///< Whether the read ends as soon as no answer is written.
    bool m_readsEnded = false; ///< Whether no further request is read.
    bool m_writing = false; ///< Whether an answer is being written.
    bool m_callerGone = false; ///< Whether the caller has left.
    bool m_closing = false; ///< Whether an answer said that the connection closes.
    bool m_linger = false; ///< Whether to wait for the caller to close the connection.
};

} // namespace

asio::awaitable<void> serveCaller(Gateway &gateway, tcp::socket socket)
{
    const auto session = std::make_shared<Session>(gateway, std::move(socket));
    co_await session->run();
}

} // namespace yuccaspan::gateway

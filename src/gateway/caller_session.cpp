#include "gateway/caller_session.hpp"

#include "gateway/request_flow.hpp"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
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

class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(Gateway &gateway, tcp::socket socket)
        : m_gateway(gateway), m_connections(gateway.callers), m_stream(std::move(socket))
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
        while (co_await serveOne()) { }
        beast::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        if (m_linger)
            co_await discardInput();
    }

private:
    using Parser = http::request_parser<http::string_body>;

    asio::awaitable<bool> serveOne()
    {
        Parser parser;
        MessageMemory::Share memory = m_gateway.bodies->share(BodyOwner::Request);
        if (!co_await read(parser, memory))
            co_return false;
        ++m_gateway.active;
        const bool keepOpen = co_await handleRequest(parser.release());
        --m_gateway.active;
        co_return keepOpen;
    }

    asio::awaitable<bool> read(Parser &parser, MessageMemory::Share &memory)
    {
        const CallerLimits limits = m_gateway.desired ? m_gateway.desired->limits : CallerLimits{};
        parser.header_limit(limits.headerBytes);
        parser.body_limit(limits.bodyBytes);
        // Also limits lines in chunked bodies.
        m_buffer.max_size(limits.headerBytes + readBytes);
        if (m_buffer.size() == 0 && !co_await waitForData(limits.idleTimeout))
            co_return false;
        const auto pending =
            m_connections->reading(ReadPhase::Request, [this] { m_stream.cancel(); });
        m_stream.expires_after(limits.headerTimeout);
        const auto [headFailure, headBytes] =
            co_await http::async_read_header(m_stream, m_buffer, parser, asTuple);
        if (headFailure)
            co_return co_await rejectUnread(headFailure);
        if (parser.get()[http::field::expect] == "100-continue") {
            http::response<http::empty_body> proceed(http::status::continue_, httpVersion11);
            co_await http::async_write(m_stream, proceed, asTuple);
        }
        m_stream.expires_after(limits.idleTimeout);
        co_return co_await readBody(parser, memory);
    }

    asio::awaitable<bool> readBody(Parser &parser, MessageMemory::Share &memory)
    {
        bool fits = true;
        memory.setGiveUp([this, &fits] {
            fits = false;
            m_stream.cancel();
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

    /// Waits for the next request; returns false if there is none and the instance stops.
    asio::awaitable<bool> waitForData(Duration longest)
    {
        while (true) {
            if (m_gateway.closingCallers && !hasInput()) {
                m_linger = true;
                co_return false;
            }
            const auto pending =
                m_connections->reading(ReadPhase::Idle, [this] { m_stream.cancel(); });
            m_stream.expires_after(longest);
            const auto [failure, bytes] =
                co_await m_stream.async_read_some(m_buffer.prepare(readBytes), asTuple);
            m_buffer.commit(bytes);
            if (!failure)
                co_return true;
            const bool cancelled = failure == asio::error::operation_aborted;
            if (!cancelled || !m_gateway.closingCallers)
                co_return false;
        }
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
        if (!malformed)
            co_return false;
        m_gateway.metrics.count("bad-request", failure.message());
        co_return co_await reject(HttpResponse(status, httpVersion11));
    }

    /// Sends a response to a request that was not read whole, and ends the connection.
    asio::awaitable<bool> reject(HttpResponse response)
    {
        response.keep_alive(false);
        response.prepare_payload();
        m_stream.expires_after(writeTimeout);
        co_await http::async_write(m_stream, response, asTuple);
        m_linger = true;
        co_return false;
    }

    asio::awaitable<bool> handleRequest(HttpRequest request)
    {
        const auto flow = std::make_shared<Flow>();
        const bool keepAlive = request.keep_alive();
        flow->arrived = m_gateway.now();
        flow->facts = m_gateway.protocol.readCaller(request);
        flow->request = std::move(request);
        FlowResult end = co_await route(flow);
        record(*flow, end);
        if (flow->callerGone)
            co_return false;
        co_return co_await answer(std::move(end), keepAlive);
    }

    asio::awaitable<FlowResult> route(const std::shared_ptr<Flow> &flow)
    {
        if (!m_gateway.informed()) {
            constexpr Duration startupRetryDelay = std::chrono::milliseconds(300);
            co_return FlowResult{EndReason::NotReady,
                                 ownAnswer(m_gateway, http::status::service_unavailable,
                                           EndReason::NotReady, startupRetryDelay),
                                 {}};
        }
        flow->state = m_gateway.desired;
        const std::string_view target = flow->request.target();
        const std::string_view path = target.substr(0, target.find('?'));
        flow->route = m_gateway.routes.find(flow->request[http::field::host], path);
        if (flow->route == nullptr) {
            co_return FlowResult{EndReason::NoRoute,
                                 ownAnswer(m_gateway, http::status::not_found, EndReason::NoRoute),
                                 {}};
        }
        Duration allowed = flow->facts.deadline.value_or(defaultDeadline);
        if (flow->route->timeout > Duration::zero())
            allowed = std::min(allowed, flow->route->timeout);
        flow->deadline = flow->arrived + allowed;
        if (m_gateway.mayOutlastStop(flow->deadline)) {
            co_return FlowResult{EndReason::Stopping,
                                 ownAnswer(m_gateway, http::status::service_unavailable,
                                           EndReason::Stopping, stoppingRetryDelay),
                                 {}};
        }
        flow->urgency = {flow->route->priority, flow->arrived + flow->route->latencyTarget};
        flow->service = m_gateway.dealer.next(*flow->route);
        eraseConnectionFields(flow->request);
        flow->request.keep_alive(true);
        flow->request.prepare_payload();
        watchForDisconnect(flow);
        FlowResult end = co_await runFlow(m_gateway, flow);
        if (!flow->callerGone) {
            beast::error_code ignored;
            m_stream.socket().cancel(ignored);
        }
        co_return end;
    }

    [[nodiscard]] bool callerClosed()
    {
        char byte = 0;
        const int handle = m_stream.socket().native_handle();
        const ssize_t count = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// Detects that the caller closes its connection while its request is in progress.
    void watchForDisconnect(const std::shared_ptr<Flow> &flow)
    {
        m_stream.expires_never();
        const auto self = shared_from_this();
        flow->callerClosed = [self] { return self->callerClosed(); };
        m_stream.socket().async_wait(
            tcp::socket::wait_read, [self, flow](beast::error_code failure) {
                if (failure || !self->callerClosed())
                    return;
                flow->callerGone = true;
                const bool mayStop = flow->route->idempotent || flow->sends == 0;
                if (flow->cancel && mayStop)
                    flow->cancel();
            });
    }

    asio::awaitable<bool> answer(FlowResult end, bool keepAlive)
    {
        HttpResponse &response = end.response;
        end.memory.setGiveUp([this] { m_stream.close(); });
        eraseConnectionFields(response);
        response.version(httpVersion11);
        // A further request that has arrived is answered too, since its caller sees it as read.
        const bool keepOpen = keepAlive && (!m_gateway.stopping || hasInput());
        m_linger = keepAlive && !keepOpen;
        response.keep_alive(keepOpen);
        response.prepare_payload();
        m_stream.expires_after(writeTimeout);
        const auto [failure, bytes] = co_await http::async_write(m_stream, response, asTuple);
        co_return !failure && keepOpen;
    }

    void record(const Flow &flow, const FlowResult &end)
    {
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
    bool m_linger = false; ///< Whether to wait for the caller to close the connection.
};

} // namespace

asio::awaitable<void> serveCaller(Gateway &gateway, tcp::socket socket)
{
    const auto session = std::make_shared<Session>(gateway, std::move(socket));
    co_await session->run();
}

} // namespace yuccaspan::gateway

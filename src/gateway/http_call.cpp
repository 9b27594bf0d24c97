#include "gateway/http_call.hpp"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <utility>

namespace yuccaspan::gateway {

namespace {

/// Responses to other calls that are dropped before the connection is closed.
constexpr int maxUnrelatedResponses = 3;
/// Interim responses before the final one, after which the connection is closed.
constexpr int maxInterimResponses = 8;
/// Fraction of the server's idle timeout in which a connection is reused; the rest allows for
/// network delay.
constexpr double usedIdleFraction = 0.6;
constexpr int probeIdleSeconds = 1;
constexpr int probeIntervalSeconds = 1;

/// Idle timeout of the server, from "Keep-Alive: timeout=N".
std::optional<Duration> serverIdleTimeout(const HttpResponse &response)
{
    const std::string_view value = response[http::field::keep_alive];
    constexpr std::string_view name = "timeout=";
    const std::size_t at = value.find(name);
    if (at == std::string_view::npos)
        return std::nullopt;
    int seconds = 0;
    const char *first = value.data() + at + name.size();
    const auto parsed = std::from_chars(first, value.data() + value.size(), seconds);
    if (parsed.ec != std::errc() || seconds <= 0)
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

/// Makes close() discard unsent data, also when the process is killed. Data held back by a network
/// partition would otherwise arrive once it ends, and renew a grant long after it was given up.
void resetOnClose(tcp::socket &socket) noexcept
{
    const linger discard{1, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
}

/// Reads a response, and gives it up if the memory does not allow for it.
asio::awaitable<beast::error_code> readResponse(std::shared_ptr<ClientConnection> connection,
                                                http::response_parser<http::string_body> &parser,
                                                MessageMemory::Share &memory)
{
    parser.eager(true);
    while (!parser.is_done()) {
        const auto [failure, count] =
            co_await http::async_read_some(connection->stream, connection->buffer, parser, asTuple);
        if (failure)
            co_return failure;
        if (!memory.resize(parser.get().body().size()))
            co_return http::error::body_limit;
    }
    co_return beast::error_code();
}

/// Whether the server ended the connection without a reset. The error of a reset may have been
/// taken by the write of the request; reading then sees an ordinary end.
bool endedInOrder(tcp::socket &socket) noexcept
{
    tcp_info info{};
    socklen_t size = sizeof info;
    return ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0
        && info.tcpi_state == TCP_CLOSE_WAIT;
}

/// What the status of a response says about it.
enum class StatusKind {
    Final, ///< The response answers the request.
    Interim, ///< The final response follows.
    Invalid, ///< Not a response in the protocol.
};

StatusKind kindOf(unsigned status) noexcept
{
    constexpr unsigned firstInterim = 100;
    constexpr unsigned firstFinal = 200;
    constexpr unsigned lastFinal = 599;
    // No call asks for another protocol.
    constexpr unsigned switchingProtocols = 101;
    if (status < firstInterim || status > lastFinal || status == switchingProtocols)
        return StatusKind::Invalid;
    return status < firstFinal ? StatusKind::Interim : StatusKind::Final;
}

/// A request being written; kept alive if its response arrives before the write completes.
struct Sending
{
    HttpRequest request;
    bool done = false;
    bool failed = false;
    std::size_t bytes = 0;
};

} // namespace

std::optional<tcp::endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    beast::error_code failure;
    const auto address = asio::ip::make_address(text.substr(0, colon), failure);
    unsigned port = 0;
    const char *last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, last, port);
    constexpr unsigned maxPort = 65535;
    if (failure || parsed.ec != std::errc() || parsed.ptr != last || port > maxPort)
        return std::nullopt;
    return tcp::endpoint(address, static_cast<std::uint16_t>(port));
}

void setProbes(tcp::socket &socket, int lostProbes) noexcept
{
    const int handle = socket.native_handle();
    const int on = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &probeIdleSeconds, sizeof probeIdleSeconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &probeIntervalSeconds,
                 sizeof probeIntervalSeconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &lostProbes, sizeof lostProbes);
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool ClientConnection::reusable()
{
    if (!stream.socket().is_open() || buffer.size() != 0)
        return false;
    char byte = 0;
    const ssize_t count =
        ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void ClientConnection::close() noexcept
{
    beast::error_code ignored;
    stream.socket().close(ignored);
}

std::shared_ptr<ClientPool> ClientPool::create(asio::io_context &loop, const std::string &address,
                                               PoolOptions options)
{
    const auto endpoint = parseEndpoint(address).value_or(tcp::endpoint());
    return std::shared_ptr<ClientPool>(new ClientPool(loop, endpoint, std::move(options)));
}

ClientPool::ClientPool(asio::io_context &loop, tcp::endpoint endpoint, PoolOptions options)
    : m_loop(loop), m_endpoint(std::move(endpoint)), m_options(std::move(options))
{ }

std::shared_ptr<ClientConnection> ClientPool::takeIdle()
{
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(m_idle, [now](const auto &connection) { return now >= connection->idleUntil; });
    while (!m_idle.empty()) {
        std::shared_ptr<ClientConnection> connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (connection->reusable())
            return connection;
    }
    return nullptr;
}

asio::awaitable<std::shared_ptr<ClientConnection>> ClientPool::connect(Duration timeout,
                                                                       bool &refused)
{
    auto connection = std::make_shared<ClientConnection>(m_loop);
    connection->stream.expires_after(timeout);
    const auto [failure] = co_await connection->stream.async_connect(m_endpoint, asTuple);
    refused = failure == asio::error::connection_refused;
    if (failure)
        co_return nullptr;
    connection->openedAt = std::chrono::steady_clock::now();
    setProbes(connection->stream.socket(), m_options.lostProbes);
    resetOnClose(connection->stream.socket());
    co_return connection;
}

void ClientPool::releaseConnection(std::shared_ptr<ClientConnection> connection,
                                   const HttpResponse &response)
{
    if (!response.keep_alive() || connection->buffer.size() != 0) {
        connection->close();
        return;
    }
    Duration idle = m_options.idleLimit;
    if (const auto stated = serverIdleTimeout(response))
        idle = std::min(idle, std::chrono::duration_cast<Duration>(*stated * usedIdleFraction));
    keep(std::move(connection), idle);
}

/// Returns an idle connection to the pool, or closes it if the pool is full.
void ClientPool::keep(std::shared_ptr<ClientConnection> connection, Duration idle)
{
    if (m_idle.size() >= m_options.maxIdle) {
        connection->close();
        return;
    }
    connection->idleUntil = std::chrono::steady_clock::now() + idle;
    connection->stream.expires_never();
    m_idle.push_back(std::move(connection));
}

asio::awaitable<CallResult> ClientPool::call(HttpRequest request, CallOptions options)
{
    const auto self = shared_from_this();
    const auto end = std::chrono::steady_clock::now() + options.timeout;
    CallResult result;
    bool cancelled = false;
    std::shared_ptr<ClientConnection> connection = options.freshConnection ? nullptr : takeIdle();
    if (connection == nullptr) {
        connection =
            co_await connect(std::min(options.connectTimeout, options.timeout), result.refused);
        if (connection == nullptr)
            co_return result;
    }
    if (options.maySend && !options.maySend()) {
        result.end = CallEnd::Withheld;
        keep(std::move(connection), m_options.idleLimit);
        co_return result;
    }
    if (options.onCancel) {
        options.onCancel([&cancelled, connection] {
            cancelled = true;
            connection->close();
        });
    }
    result.connectionAge = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now()
                                                                - connection->openedAt);
    result.earlierResponses = connection->responses;
    const auto sending = std::make_shared<Sending>();
    sending->request = std::move(request);
    connection->stream.expires_at(end);
    http::async_write(connection->stream, sending->request,
                      [sending, connection](beast::error_code failure, std::size_t bytes) {
                          sending->done = true;
                          sending->failed = bool(failure);
                          sending->bytes = bytes;
                          if (failure && bytes == 0)
                              connection->close();
                      });
    if (m_options.memory) {
        result.memory = m_options.memory->share(BodyOwner::Response);
        result.memory.setGiveUp([connection] { connection->close(); });
    }
    result.end = CallEnd::Broken;
    int interim = 0;
    bool endsWithConnection = false;
    for (int unrelated = 0; unrelated <= maxUnrelatedResponses; ++unrelated) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(options.bodyLimit);
        const beast::error_code failure = co_await readResponse(connection, parser, result.memory);
        if (failure) {
            if (cancelled)
                result.end = CallEnd::Cancelled;
            else if (sending->done && sending->failed && sending->bytes == 0)
                result.end = CallEnd::NotSent;
            else if (failure == beast::error::timeout)
                result.end = CallEnd::TimedOut;
            break;
        }
        const unsigned status = parser.get().result_int();
        const StatusKind kind = kindOf(status);
        if (kind == StatusKind::Invalid) {
            result.invalidStatus = status;
            break;
        }
        if (kind == StatusKind::Interim) {
            if (++interim > maxInterimResponses)
                break;
            --unrelated;
            continue;
        }
        endsWithConnection = parser.need_eof();
        if (endsWithConnection && !endedInOrder(connection->stream.socket()))
            break;
        result.response = parser.release();
        ++connection->responses;
        if (options.onResponse)
            options.onResponse(result.response);
        if (options.belongs && !options.belongs(result.response))
            continue;
        result.end = CallEnd::Answered;
        break;
    }
    result.memory.setGiveUp({});
    if (options.onCancel)
        options.onCancel({});
    const bool sent = sending->done && !sending->failed;
    if (result.end == CallEnd::Answered && sent && !endsWithConnection)
        releaseConnection(std::move(connection), result.response);
    else
        connection->close();
    co_return result;
}

} // namespace yuccaspan::gateway

/// \file
/// \brief HTTP client with a connection pool, for all calls that the gateway makes.
#pragma once

#include "gateway/http_types.hpp"
#include "gateway/message_memory.hpp"
#include "yuccaspan/clock.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yuccaspan::gateway {

/// \brief How a call ended.
enum class CallEnd {
    Answered, ///< A complete response was received.
    NotSent, ///< Nothing was sent.
    Withheld, ///< CallOptions::maySend disallowed it once a connection was ready; nothing was sent.
    Broken, ///< The connection ended or the response is invalid; the call may have run.
    TimedOut, ///< No complete response in time; the call may have run.
    Cancelled, ///< The caller cancelled it; the call may have run.
};

/// \brief The result of a call.
struct CallResult
{
    CallEnd end = CallEnd::NotSent;
    bool refused = false; ///< The connection was refused.
    Duration connectionAge{}; ///< Age of the connection when the call was sent on it.
    std::uint32_t earlierResponses = 0; ///< Final responses that the connection had carried before.
    std::optional<unsigned> invalidStatus; ///< Status that the protocol does not have; then Broken.
    HttpResponse response;
    MessageMemory::Share memory; ///< Of the response.
};

/// \brief A connection to a server, with data read beyond the last response.
struct ClientConnection
{
    /// Limit on bytes that were read and not yet parsed: the largest head, and the largest line in
    /// a chunked body.
    static constexpr std::size_t maxUnparsed = 65536;

    explicit ClientConnection(asio::io_context &loop) : stream(loop), buffer(maxUnparsed) { }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::chrono::steady_clock::time_point idleUntil{};
    std::chrono::steady_clock::time_point openedAt{};
    std::uint32_t responses = 0; ///< Final responses that it has carried.

    /// \brief Whether the connection is open and has no unread data.
    [[nodiscard]] bool reusable();
    /// \brief Closes the connection at once.
    void close() noexcept;
};

/// \brief Options of a call.
struct CallOptions
{
    Duration connectTimeout = std::chrono::milliseconds(400);
    Duration timeout =
        std::chrono::seconds(1); ///< From the start of the call to its complete response.
    /// Whether to use a connection that had no other call: its answers can't be those of an earlier
    /// one.
    bool freshConnection = false;
    std::uint64_t bodyLimit = 64ULL << 20; ///< Largest response body, in bytes.
    /// Checked right before the request is written, since connecting takes time. May be empty.
    std::function<bool()> maySend;
    /// Receives each response, also those that do not belong to the call. May be empty.
    std::function<void(const HttpResponse &)> onResponse;
    /// Whether a response belongs to the call; others on the connection are dropped. May be empty.
    std::function<bool(const HttpResponse &)> belongs;
    /// Receives a function that cancels the call. May be empty.
    std::function<void(std::function<void()>)> onCancel;
};

/// \brief Options of a connection pool.
struct PoolOptions
{
    Duration idleLimit{}; ///< Idle timeout, unless the server announces a shorter one.
    std::size_t maxIdle = 16; ///< Largest number of idle connections.
    /// Unanswered TCP keep-alive probes after which a connection is closed; the first is sent after
    /// an idle second, the others at intervals of a second.
    int lostProbes = 2;
    std::shared_ptr<MessageMemory> memory; ///< For the bodies of responses; null: not limited.
};

/// \brief Connection pool for one server.
class ClientPool : public std::enable_shared_from_this<ClientPool>
{
public:
    /// \brief Creates a pool.
    /// \param address "IP:port".
    static std::shared_ptr<ClientPool> create(asio::io_context &loop, const std::string &address,
                                              PoolOptions options);

    /// \brief Sends a request and reads its response.
    [[nodiscard]] asio::awaitable<CallResult> call(HttpRequest request, CallOptions options);
    /// \brief Sets the largest number of idle connections.
    void setMaxIdle(std::size_t count) noexcept { m_options.maxIdle = count; }

private:
    ClientPool(asio::io_context &loop, tcp::endpoint endpoint, PoolOptions options);

    std::shared_ptr<ClientConnection> takeIdle();
    asio::awaitable<std::shared_ptr<ClientConnection>> connect(Duration timeout, bool &refused);
    void keep(std::shared_ptr<ClientConnection> connection, Duration idle);
    void releaseConnection(std::shared_ptr<ClientConnection> connection,
                           const HttpResponse &response);

    asio::io_context &m_loop;
    tcp::endpoint m_endpoint;
    PoolOptions m_options;
    std::vector<std::shared_ptr<ClientConnection>> m_idle;
};

/// \brief Parses "IP:port".
/// \returns The endpoint, or nothing.
[[nodiscard]] std::optional<tcp::endpoint> parseEndpoint(const std::string &text);
/// \brief Enables TCP keep-alive probes, which detect a peer that vanished without a reset.
void setProbes(tcp::socket &socket, int lostProbes) noexcept;

} // namespace yuccaspan::gateway

/// \file
/// \brief A small HTTP/1.1 server: routes requests by method and path to handlers.
#pragma once

#include "event_loop.hpp"

#include "yuccaspan/result.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccaspan::standins {

/// \brief Longest request body that is read, in bytes.
inline constexpr std::uint64_t maxRequestBodyBytes = 8U << 20U;

/// \brief An answer to a request.
struct HttpAnswer
{
    unsigned status = 200; ///< HTTP status.
    std::string body; ///< Body; JSON unless a header says otherwise.
    std::vector<std::pair<std::string, std::string>> headers; ///< Further headers.
};

/// \brief A request with its way back. Answer it once, at once or later, on the loop's thread.
class HttpExchange
{
public:
    HttpExchange() = default;
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;
    virtual ~HttpExchange() = default;

    /// \name Request
    /// @{
    /// \brief The method, as in "GET".
    [[nodiscard]] virtual std::string_view method() const = 0;
    /// \brief The path without the query.
    [[nodiscard]] virtual std::string_view path() const = 0;
    /// \brief The value of a query parameter, as written; nothing if it is absent.
    [[nodiscard]] virtual std::optional<std::string> query(std::string_view name) const = 0;
    /// \brief The value of a header; empty if it is absent.
    [[nodiscard]] virtual std::string_view header(std::string_view name) const = 0;
    /// \brief The body.
    [[nodiscard]] virtual const std::string &body() const = 0;
    /// \brief Whether the caller has closed its connection.
    [[nodiscard]] virtual bool callerGone() const = 0;
    /// @}

    /// \name Answer
    /// @{
    /// \brief Sends the answer; does nothing if the caller has gone.
    virtual void respond(HttpAnswer answer) = 0;
    /// \brief Sends bytes as they are and closes the connection.
    virtual void respondRaw(std::string bytes) = 0;
    /// \brief Closes the connection without an answer.
    virtual void drop() = 0;
    /// @}
};

/// \brief A shared request.
using ExchangePtr = std::shared_ptr<HttpExchange>;

/// \brief Handles one request.
using HttpHandler = std::function<void(const ExchangePtr &)>;

/// \brief Finds the handler of a request. The first match wins.
class HttpRouter
{
public:
    /// \brief Adds a handler.
    /// \param method Method to match; "*" matches all.
    /// \param path Path to match; one that ends in "*" matches all paths that begin so.
    /// \param handler Called for each match.
    void add(std::string method, std::string path, HttpHandler handler);
    /// \brief Hands a request to its handler, or answers 404.
    void handle(const ExchangePtr &exchange) const;

private:
    struct Entry
    {
        std::string method;
        std::string path;
        HttpHandler handler;
    };

    std::vector<Entry> m_entries;
};

/// \brief Limits on connections.
struct ConnectionLimits
{
    std::size_t maxConnections = 0; ///< Further ones are closed at once; 0: no limit.
    std::function<Duration()> acceptCost; ///< Time that accepting one takes; one after the other.
};

/// \brief Serves HTTP on one port, on the thread of its loop.
class HttpServer
{
public:
    /// \brief State shared with the connections; known to the source file only.
    struct Impl;

    /// \brief Opens a port and begins to accept.
    /// \param loop Runs the server; must outlive it.
    /// \param listen "ip:port"; port 0 is chosen by the system.
    /// \param router Finds the handlers; must outlive the server.
    /// \param limits Limits on connections.
    [[nodiscard]] static Result<std::unique_ptr<HttpServer>> create(EventLoop &loop,
                                                                    const std::string &listen,
                                                                    const HttpRouter &router,
                                                                    ConnectionLimits limits = {});

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    ~HttpServer();

    /// \brief The address, as "ip:port".
    [[nodiscard]] std::string address() const;
    /// \brief Connections open now.
    [[nodiscard]] std::size_t connections() const;
    /// \brief Connections that were accepted since the start.
    [[nodiscard]] std::uint64_t acceptedConnections() const;
    /// \brief Closes every connection; requests under way get no answer.
    void closeConnections();

private:
    explicit HttpServer(std::shared_ptr<Impl> impl);

    std::shared_ptr<Impl> m_impl;
};

} // namespace yuccaspan::standins

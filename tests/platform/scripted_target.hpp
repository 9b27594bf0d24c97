/// \file
/// \brief A target that answers by a script, on the loop of a test.
#pragma once

#include "gateway/http_types.hpp"
#include "yuccaspan/clock.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <functional>
#include <set>
#include <string>
#include <utility>

namespace yuccaspan::platform {

namespace asio = gateway::asio;
namespace beast = gateway::beast;
namespace http = gateway::http;
using gateway::asTuple;
using gateway::HttpRequest;
using gateway::tcp;

/// \brief A target that answers each request by a script.
class ScriptedTarget
{
public:
    /// Answers one request; the numbers are those of the connection and of the request on it, from
    /// 0.
    using Script = std::function<asio::awaitable<void>(tcp::socket &, int, int)>;
    /// The same, with the request.
    using RequestScript =
        std::function<asio::awaitable<void>(tcp::socket &, const HttpRequest &, int, int)>;

    ScriptedTarget(asio::io_context &loop, Script script)
        : ScriptedTarget(
            loop,
            [script = std::move(script)](tcp::socket &socket, const HttpRequest &, int connection,
                                         int index) { return script(socket, connection, index); })
    { }
    ScriptedTarget(asio::io_context &loop, RequestScript script)
        : m_loop(loop),
          m_acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          m_script(std::move(script))
    {
        asio::co_spawn(loop, accept(), asio::detached);
    }
    /// Closes all connections, as the end of the target's process does.
    void closeConnections()
    {
        for (tcp::socket *socket : m_open) {
            beast::error_code ignored;
            socket->close(ignored);
        }
    }
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    asio::awaitable<void> accept()
    {
        for (int connection = 0;; ++connection) {
            auto [failure, socket] = co_await m_acceptor.async_accept(asTuple);
            if (failure)
                co_return;
            asio::co_spawn(m_loop, serve(std::move(socket), connection), asio::detached);
        }
    }
    asio::awaitable<void> serve(tcp::socket socket, int connection)
    {
        m_open.insert(&socket);
        beast::flat_buffer buffer;
        for (int index = 0; socket.is_open(); ++index) {
            HttpRequest request;
            const auto [failure, count] =
                co_await http::async_read(socket, buffer, request, asTuple);
            if (failure)
                break;
            co_await m_script(socket, request, connection, index);
        }
        m_open.erase(&socket);
    }

    asio::io_context &m_loop;
    tcp::acceptor m_acceptor;
    RequestScript m_script;
    std::set<tcp::socket *> m_open;
};

inline asio::awaitable<void> send(tcp::socket &socket, const std::string &text)
{
    co_await asio::async_write(socket, asio::buffer(text), asTuple);
}

inline asio::awaitable<void> pause(tcp::socket &socket, Duration span)
{
    asio::steady_timer timer(socket.get_executor(), span);
    co_await timer.async_wait(asTuple);
}

} // namespace yuccaspan::platform

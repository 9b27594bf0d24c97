/// \file
/// \brief A test target whose answers are scripted per request.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace yuccaspan::impl {

using TestRequest = boost::beast::http::request<boost::beast::http::string_body>;
using TestResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// \brief Serves each connection on its own thread until the peer closes it.
class ScriptedTarget
{
public:
    /// \brief Returns the answer to a request, or nothing to close the connection without an
    /// answer.
    using Script = std::function<std::optional<TestResponse>(const TestRequest &)>;

    explicit ScriptedTarget(Script script)
        : m_script(std::move(script)),
          m_acceptor(m_loop, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          m_thread([this] { acceptAll(); })
    { }
    ScriptedTarget(const ScriptedTarget &) = delete;
    ScriptedTarget &operator=(const ScriptedTarget &) = delete;
    ~ScriptedTarget()
    {
        m_stopping = true;
        boost::asio::ip::tcp::socket waker(m_loop);
        boost::system::error_code ignored;
        waker.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
        for (const auto &socket : m_sockets)
            socket->shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
        for (std::thread &server : m_servers)
            server.join();
    }

    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    /// \brief Number of requests received.
    [[nodiscard]] int seen() const noexcept { return m_seen; }

private:
    using Socket = boost::asio::ip::tcp::socket;

    void acceptAll()
    {
        while (true) {
            auto socket = std::make_shared<Socket>(m_loop);
            boost::system::error_code failure;
            m_acceptor.accept(*socket, failure);
            if (m_stopping || failure)
                return;
            m_sockets.push_back(socket);
            m_servers.emplace_back([this, socket] { serve(*socket); });
        }
    }

    void serve(Socket &socket)
    {
        boost::beast::flat_buffer buffer;
        boost::system::error_code failure;
        while (!failure) {
            TestRequest request;
            boost::beast::http::read(socket, buffer, request, failure);
            if (failure)
                break;
            ++m_seen;
            std::optional<TestResponse> answer = m_script(request);
            if (!answer)
                break;
            answer->prepare_payload();
            boost::beast::http::write(socket, *answer, failure);
        }
        boost::system::error_code ignored;
        socket.shutdown(Socket::shutdown_both, ignored);
    }

    Script m_script;
    std::atomic<int> m_seen{0};
    std::atomic<bool> m_stopping{false};
    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::shared_ptr<Socket>> m_sockets;
    std::vector<std::thread> m_servers;
    std::thread m_thread;
};

} // namespace yuccaspan::impl

#include "fake_http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <thread>

namespace yuccaspan {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

struct FakeHttpServer::Impl
{
    explicit Impl(Script responseScript)
        : script(std::move(responseScript)),
          acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
        thread = std::thread([this] { acceptAll(); });
    }

    ~Impl()
    {
        ::shutdown(acceptor.native_handle(), SHUT_RDWR);
        thread.join();
        for (const auto &socket : sockets)
            ::shutdown(socket->native_handle(), SHUT_RDWR);
        for (std::thread &connection : connections)
            connection.join();
    }

    void acceptAll()
    {
        for (int number = 1;; ++number) {
            auto socket = std::make_shared<tcp::socket>(context);
            boost::system::error_code failure;
            acceptor.accept(*socket, failure);
            if (failure)
                return;
            sockets.push_back(socket);
            connections.emplace_back([this, socket, number] { serve(*socket, number); });
        }
    }

    void serve(tcp::socket &socket, int number)
    {
        boost::beast::flat_buffer buffer;
        boost::system::error_code failure;
        for (bool keepOpen = true; keepOpen;) {
            http::request<http::string_body> request;
            http::read(socket, buffer, request, failure);
            keepOpen = !failure && answer(socket, request, number);
        }
        socket.shutdown(tcp::socket::shutdown_both, failure);
        ++closed;
        closed.notify_all();
    }

    bool answer(tcp::socket &socket, const http::request<http::string_body> &request, int number)
    {
        ReceivedRequest received{std::string(request.method_string()),
                                 std::string(request.target()),
                                 std::string(request["X-Instance"]),
                                 std::string(request["If-Match"]),
                                 request.body(),
                                 number};
        if (received.condition.empty())
            received.condition = std::string(request["If-None-Match"]);
        const std::optional<FakeResponse> scripted = script(received);
        if (!scripted)
            return false;
        http::response<http::string_body> response(http::status(scripted->status), 11);
        if (!scripted->etag.empty())
            response.set(http::field::etag, scripted->etag);
        response.body() = scripted->body;
        response.prepare_payload();
        boost::system::error_code failure;
        http::write(socket, response, failure);
        return !failure && !scripted->closeAfter;
    }

    Script script;
    asio::io_context context;
    tcp::acceptor acceptor;
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    std::vector<std::thread> connections;
    std::atomic<int> closed{0};
    std::thread thread;
};

FakeHttpServer::FakeHttpServer(Script script) : m_impl(std::make_unique<Impl>(std::move(script)))
{ }

FakeHttpServer::~FakeHttpServer() = default;

unsigned short FakeHttpServer::port() const
{
    return m_impl->acceptor.local_endpoint().port();
}

void FakeHttpServer::awaitClosed(int connections)
{
    for (int received = m_impl->closed; received < connections; received = m_impl->closed)
        m_impl->closed.wait(received);
}

} // namespace yuccaspan

#include "fault_proxy.hpp"

#include "event_loop_context.hpp"
#include "gateway/http_call.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <set>
#include <utility>

namespace yuccaspan::soak {

namespace {

using gateway::asTuple;
using gateway::tcp;
namespace asio = gateway::asio;

constexpr std::size_t chunkBytes = 16384;
/// Bytes of a request in which its path is looked for.
constexpr std::size_t maxHead = 512;
/// How often held bytes look whether they may pass.
constexpr Duration heldLook = std::chrono::milliseconds(10);

/// Whether the other end reset the connection. What it sent before is discarded then, as by a
/// network that held it up.
bool wasReset(tcp::socket &socket)
{
    char byte = 0;
    const ssize_t count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
}

/// Makes the close of a socket reset its connection.
void closeWithReset(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

struct FaultProxy::Impl : std::enable_shared_from_this<FaultProxy::Impl>
{
    struct Link
    {
        Link(tcp::socket clientSocket, asio::io_context &io)
            : client(std::move(clientSocket)), server(io)
        { }

        void reset()
        {
            closeWithReset(client);
            closeWithReset(server);
        }

        tcp::socket client;
        tcp::socket server;
        std::string head; ///< Start of what the client sent last.
        int openWays = 2; ///< Directions that still pass bytes.
    };
    using LinkPtr = std::shared_ptr<Link>;

    explicit Impl(asio::io_context &context)
        : io(context), acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    { }

    asio::awaitable<void> accept()
    {
        const auto self = shared_from_this();
        while (acceptor.is_open()) {
            auto [failure, socket] = co_await acceptor.async_accept(asTuple);
            if (failure)
                continue;
            if (faults.refuses)
                closeWithReset(socket);
            else
                asio::co_spawn(io, connect(std::make_shared<Link>(std::move(socket), io)),
                               asio::detached);
        }
    }

    asio::awaitable<void> connect(LinkPtr link)
    {
        const auto self = shared_from_this();
        co_await hold(*link, &ProxyFaults::toServer);
        const auto [failure] = co_await link->server.async_connect(target, asTuple);
        if (failure) {
            link->reset();
            co_return;
        }
        links.insert(link);
        asio::co_spawn(io, pass(link, link->client, link->server, &ProxyFaults::toServer),
                       asio::detached);
        asio::co_spawn(io, pass(link, link->server, link->client, &ProxyFaults::toClient),
                       asio::detached);
    }

    bool holdsAnswer(const Link &link, Passage ProxyFaults::*way) const
    {
        return way == &ProxyFaults::toClient && !faults.heldRequests.empty()
            && link.head.find(faults.heldRequests) != std::string::npos;
    }

    /// Waits for the delay, and for as long as the direction is held.
    asio::awaitable<void> hold(const Link &link, Passage ProxyFaults::*way)
    {
        asio::steady_timer timer(io);
        if (faults.delay > Duration::zero()) {
            timer.expires_after(faults.delay);
            co_await timer.async_wait(asTuple);
        }
        while (faults.*way == Passage::Held || holdsAnswer(link, way)) {
            timer.expires_after(heldLook);
            co_await timer.async_wait(asTuple);
        }
    }

    /// Passes the bytes of one direction on, and then how they ended.
    asio::awaitable<void> pass(LinkPtr link, tcp::socket &from, tcp::socket &to,
                               Passage ProxyFaults::*way)
    {
        const auto self = shared_from_this();
        std::array<char, chunkBytes> bytes{};
        while (true) {
            const auto [failure, count] =
                co_await from.async_read_some(asio::buffer(bytes), asTuple);
            if (way == &ProxyFaults::toServer)
                link->head.assign(bytes.data(), std::min(count, maxHead));
            co_await hold(*link, way);
            if (!failure && wasReset(from)) {
                link->reset();
                break;
            }
            if (failure == asio::error::eof) {
                boost::system::error_code ignored;
                to.shutdown(tcp::socket::shutdown_send, ignored);
                break;
            }
            if (failure) {
                link->reset();
                break;
            }
            const auto [writeFailure, written] =
                co_await asio::async_write(to, asio::buffer(bytes, count), asTuple);
            if (writeFailure) {
                link->reset();
                break;
            }
        }
        if (--link->openWays == 0)
            links.erase(link);
    }

    asio::io_context &io;
    tcp::acceptor acceptor;
    tcp::endpoint target;
    ProxyFaults faults;
    std::set<LinkPtr> links;
};

Result<std::unique_ptr<FaultProxy>> FaultProxy::create(standins::EventLoop &loop,
                                                       const std::string &server)
{
    const auto impl = std::make_shared<Impl>(loop.context().io);
    std::unique_ptr<FaultProxy> proxy(new FaultProxy(impl));
    proxy->setServer(server);
    asio::co_spawn(impl->io, impl->accept(), asio::detached);
    return proxy;
}

FaultProxy::FaultProxy(std::shared_ptr<Impl> impl) : m_impl(std::move(impl))
{ }

FaultProxy::~FaultProxy()
{
    boost::system::error_code ignored;
    m_impl->acceptor.close(ignored);
    m_impl->faults = {};
    resetAll();
}

std::string FaultProxy::address() const
{
    return "127.0.0.1:" + std::to_string(m_impl->acceptor.local_endpoint().port());
}

void FaultProxy::setServer(const std::string &server)
{
    m_impl->target = gateway::parseEndpoint(server).value_or(tcp::endpoint());
}

void FaultProxy::setFaults(ProxyFaults faults)
{
    m_impl->faults = std::move(faults);
}

void FaultProxy::resetAll()
{
    for (const Impl::LinkPtr &link : m_impl->links)
        link->reset();
}

} // namespace yuccaspan::soak

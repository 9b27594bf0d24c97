#include "gateway/gateway_server.hpp"

#include "gateway/caller_session.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace yuccaspan::gateway {

namespace {

/// Idle timeout of connections for readiness checks, peers and metrics.
constexpr Duration internalIdleTimeout = std::chrono::seconds(20);
/// Delay after a failed accept, such as when file descriptors run out.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);
constexpr int backlog = 1024;
/// Connections accepted per iteration of the event loop. With only one, a loop whose iterations
/// take 0.3 s would accept three connections a second, long after their callers gave up.
constexpr int concurrentAccepts = 16;
/// Loop lag above which an instance is not ready; callers give up connecting after 1 s.
constexpr Duration maxReadyLag = std::chrono::milliseconds(500);

} // namespace

Result<std::unique_ptr<GatewayServer>> GatewayServer::create(Gateway &gateway, StateHandler state)
{
    std::unique_ptr<GatewayServer> server(new GatewayServer(gateway, std::move(state)));
    const GatewayOptions &options = gateway.options;
    if (Status status = server->listen(server->m_callers, options.callerAddress); !status)
        return status.error();
    if (Status status = server->listen(server->m_readiness, options.readinessAddress); !status)
        return status.error();
    if (!options.peerAddress.empty()) {
        if (Status status = server->listen(server->m_peers, options.peerAddress); !status)
            return status.error();
    }
    return server;
}

GatewayServer::GatewayServer(Gateway &gateway, StateHandler state)
    : m_gateway(gateway),
      m_callers(gateway.loop),
      m_readiness(gateway.loop),
      m_peers(gateway.loop),
      m_state(std::move(state))
{ }

Status GatewayServer::listen(tcp::acceptor &acceptor, const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return Error{
            ErrorCode::InvalidArgument, "invalid address (expected IP:port): " + address, {}};
    beast::error_code failure;
    acceptor.open(endpoint->protocol(), failure);
    if (!failure)
        acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    if (!failure)
        acceptor.bind(*endpoint, failure);
    if (!failure)
        acceptor.listen(backlog, failure);
    if (failure) {
        return Error{
            ErrorCode::Unavailable, "cannot listen at " + address + ": " + failure.message(), {}};
    }
    return ok();
}

void GatewayServer::start()
{
    for (int index = 0; index < concurrentAccepts; ++index)
        asio::co_spawn(m_gateway.loop, acceptCallers(), asio::detached);
    asio::co_spawn(m_gateway.loop, acceptInternal(m_readiness), asio::detached);
    if (m_peers.is_open())
        asio::co_spawn(m_gateway.loop, acceptInternal(m_peers), asio::detached);
}

void GatewayServer::stopAccepting()
{
    // Closing the socket resets the connections in its queue.
    beast::error_code failure;
    m_callers.non_blocking(true, failure);
    while (!failure) {
        tcp::socket socket(m_gateway.loop);
        m_callers.accept(socket, failure);
        if (!failure)
            asio::co_spawn(m_gateway.loop, serveCaller(m_gateway, std::move(socket)),
                           asio::detached);
    }
    m_callers.close(failure);
}

asio::awaitable<void> GatewayServer::acceptCallers()
{
    while (m_callers.is_open()) {
        auto [failure, socket] = co_await m_callers.async_accept(asTuple);
        if (!failure) {
            asio::co_spawn(m_gateway.loop, serveCaller(m_gateway, std::move(socket)),
                           asio::detached);
            continue;
        }
        if (failure == asio::error::operation_aborted)
            co_return;
        m_gateway.metrics.count("accept-failed", failure.message());
        asio::steady_timer timer(m_gateway.loop, acceptRetryDelay);
        co_await timer.async_wait(asTuple);
    }
}

asio::awaitable<void> GatewayServer::acceptInternal(tcp::acceptor &acceptor)
{
    while (acceptor.is_open()) {
        auto [failure, socket] = co_await acceptor.async_accept(asTuple);
        if (failure)
            continue;
        asio::co_spawn(m_gateway.loop, serveInternal(std::move(socket)), asio::detached);
    }
}

HttpResponse GatewayServer::internalResponse(const HttpRequest &request)
{
    HttpResponse response(http::status::ok, httpVersion11);
    if (request.target().starts_with("/metrics"))
        response.body() = m_gateway.metrics.text();
    else if (request.target().starts_with("/state"))
        response.body() = m_state(request.body());
    else if (!m_gateway.ready() || m_gateway.loopWatch.lag() > maxReadyLag)
        response.result(http::status::service_unavailable);
    return response;
}

asio::awaitable<void> GatewayServer::serveInternal(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer(ClientConnection::maxUnparsed);
    while (true) {
        HttpRequest request;
        stream.expires_after(internalIdleTimeout);
        const auto [failure, bytes] = co_await http::async_read(stream, buffer, request, asTuple);
        if (failure)
            co_return;
        HttpResponse response;
        if (m_news && request.target().starts_with("/news")) {
            response = co_await m_news(std::move(request.body()));
            stream.expires_after(internalIdleTimeout);
        } else {
            response = internalResponse(request);
        }
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        const auto [writeFailure, written] = co_await http::async_write(stream, response, asTuple);
        if (writeFailure || !response.keep_alive())
            co_return;
    }
}

} // namespace yuccaspan::gateway

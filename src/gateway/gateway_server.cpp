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

/// Longest time between two questions on one connection.
constexpr Duration questionIdle = std::chrono::seconds(20);
/// Pause after the system refused a connection, as when descriptors run out.
constexpr Duration acceptPause = std::chrono::milliseconds(50);
constexpr int backlog = 1024;
/// Connections that one pass of the event loop accepts. One at a time, a loop whose passes take
/// 0.3 s would accept three a second, long after their callers have left.
constexpr int acceptsAtOnce = 16;
/// An instance whose loop lags by more is not ready: callers give up on a connection after 1 s.
constexpr Duration mostLag = std::chrono::milliseconds(500);

} // namespace

Result<std::unique_ptr<GatewayServer>> GatewayServer::create(Gateway &gateway, StateAnswer state)
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

GatewayServer::GatewayServer(Gateway &gateway, StateAnswer state)
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
        return Error{ErrorCode::InvalidArgument, "not an address and port: " + address, {}};
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
    for (int index = 0; index < acceptsAtOnce; ++index)
        asio::co_spawn(m_gateway.loop, acceptCallers(), asio::detached);
    asio::co_spawn(m_gateway.loop, acceptQuestions(m_readiness), asio::detached);
    if (m_peers.is_open())
        asio::co_spawn(m_gateway.loop, acceptQuestions(m_peers), asio::detached);
}

void GatewayServer::stopAccepting()
{
    beast::error_code ignored;
    m_callers.close(ignored);
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
        asio::steady_timer timer(m_gateway.loop, acceptPause);
        co_await timer.async_wait(asTuple);
    }
}

asio::awaitable<void> GatewayServer::acceptQuestions(tcp::acceptor &acceptor)
{
    while (acceptor.is_open()) {
        auto [failure, socket] = co_await acceptor.async_accept(asTuple);
        if (failure)
            continue;
        asio::co_spawn(m_gateway.loop, answerQuestions(std::move(socket)), asio::detached);
    }
}

HttpResponse GatewayServer::answerQuestion(const HttpRequest &request)
{
    HttpResponse response(http::status::ok, httpVersion11);
    if (request.target().starts_with("/metrics"))
        response.body() = m_gateway.metrics.text();
    else if (request.target().starts_with("/state"))
        response.body() = m_state(request.body());
    else if (!m_gateway.ready() || m_gateway.loopWatch.lag() > mostLag)
        response.result(http::status::service_unavailable);
    return response;
}

asio::awaitable<void> GatewayServer::answerQuestions(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (true) {
        HttpRequest request;
        stream.expires_after(questionIdle);
        const auto [failure, bytes] = co_await http::async_read(stream, buffer, request, asTuple);
        if (failure)
            co_return;
        HttpResponse response = answerQuestion(request);
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        const auto [writeFailure, written] = co_await http::async_write(stream, response, asTuple);
        if (writeFailure || !response.keep_alive())
            co_return;
    }
}

} // namespace yuccaspan::gateway

#include "gateway/gateway_server.hpp"

#include "gateway/caller_session.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/empty_body.hpp>
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

} // namespace

Result<std::unique_ptr<GatewayServer>> GatewayServer::create(Gateway &gateway)
{
    std::unique_ptr<GatewayServer> server(new GatewayServer(gateway));
    const GatewayOptions &options = gateway.options;
    if (Status status = server->listen(server->m_callers, options.callerAddress); !status)
        return status.error();
    if (Status status = server->listen(server->m_readiness, options.readinessAddress); !status)
        return status.error();
    if (!options.metricsAddress.empty()) {
        if (Status status = server->listen(server->m_metrics, options.metricsAddress); !status)
            return status.error();
    }
    return server;
}

GatewayServer::GatewayServer(Gateway &gateway)
    : m_gateway(gateway),
      m_callers(gateway.loop),
      m_readiness(gateway.loop),
      m_metrics(gateway.loop)
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
        return Error{ErrorCode::Unavailable,
                     "cannot listen at " + address + ": " + failure.message(),
                     {}};
    }
    return ok();
}

void GatewayServer::start()
{
    asio::co_spawn(m_gateway.loop, acceptCallers(), asio::detached);
    asio::co_spawn(m_gateway.loop, acceptQuestions(m_readiness), asio::detached);
    if (m_metrics.is_open())
        asio::co_spawn(m_gateway.loop, acceptQuestions(m_metrics), asio::detached);
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

asio::awaitable<void> GatewayServer::answerQuestions(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (true) {
        http::request<http::empty_body> request;
        stream.expires_after(questionIdle);
        const auto [failure, bytes] =
            co_await http::async_read(stream, buffer, request, asTuple);
        if (failure)
            co_return;
        const bool wantsMetrics = request.target().starts_with("/metrics");
        const bool good = wantsMetrics || m_gateway.ready();
        HttpResponse response(good ? http::status::ok : http::status::service_unavailable,
                              httpVersion11);
        if (wantsMetrics)
            response.body() = m_gateway.metrics.text();
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        const auto [writeFailure, written] =
            co_await http::async_write(stream, response, asTuple);
        if (writeFailure || !response.keep_alive())
            co_return;
    }
}

} // namespace yuccaspan::gateway

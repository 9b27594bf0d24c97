/// \file
/// \brief Server for callers, readiness checks, peers and metrics scrapes.
#pragma once

#include "gateway/gateway.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace yuccaspan::gateway {

/// \brief The listening sockets of an instance.
class GatewayServer
{
public:
    /// Answers a peer's request for state.
    using StateHandler = std::function<std::string(const std::string &)>;

    /// \brief Opens the sockets.
    /// \returns The server, or Unavailable with the address that could not be bound.
    static Result<std::unique_ptr<GatewayServer>> create(Gateway &gateway, StateHandler state);

    /// Answers a peer's question for news.
    using NewsHandler = std::function<asio::awaitable<HttpResponse>(std::string)>;

    /// \brief Sets who answers peers' questions for news; without, there is no such path.
    void setNewsHandler(NewsHandler news) { m_news = std::move(news); }
    /// \brief Starts to accept connections.
    void start();
    /// \brief Stops accepting callers; open connections are kept.
    void stopAccepting();

private:
    GatewayServer(Gateway &gateway, StateHandler state);
    Status listen(tcp::acceptor &acceptor, const std::string &address);
    asio::awaitable<void> acceptCallers();
    asio::awaitable<void> acceptInternal(tcp::acceptor &acceptor);
    asio::awaitable<void> serveInternal(tcp::socket socket);
    HttpResponse internalResponse(const HttpRequest &request);

    Gateway &m_gateway;
    tcp::acceptor m_callers;
    tcp::acceptor m_readiness;
    tcp::acceptor m_peers;
    StateHandler m_state;
    NewsHandler m_news;
};

} // namespace yuccaspan::gateway

/// \file
/// \brief Listens for callers, for the balancer's question and for readers of the metrics.
#pragma once

#include "gateway/gateway.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace yuccaspan::gateway {

/// \brief The listening sockets of an instance.
class GatewayServer
{
public:
    /// \brief Opens the sockets.
    /// \returns The server, or Unavailable with the address that cannot be listened at.
    static Result<std::unique_ptr<GatewayServer>> create(Gateway &gateway);

    /// \brief Begins to accept.
    void start();
    /// \brief Takes no new callers; open connections go on.
    void stopAccepting();

private:
    explicit GatewayServer(Gateway &gateway);
    Status listen(tcp::acceptor &acceptor, const std::string &address);
    asio::awaitable<void> acceptCallers();
    asio::awaitable<void> acceptQuestions(tcp::acceptor &acceptor);
    asio::awaitable<void> answerQuestions(tcp::socket socket);

    Gateway &m_gateway;
    tcp::acceptor m_callers;
    tcp::acceptor m_readiness;
    tcp::acceptor m_metrics;
};

} // namespace yuccaspan::gateway

/// \file
/// \brief Listens for callers, for the balancer's question, for peers and readers of the metrics.
#pragma once

#include "gateway/gateway.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace yuccaspan::gateway {

/// \brief The listening sockets of an instance.
class GatewayServer
{
public:
    /// Answers a peer's question for state.
    using StateAnswer = std::function<std::string(const std::string &)>;

    /// \brief Opens the sockets.
    /// \returns The server, or Unavailable with the address that cannot be listened at.
    static Result<std::unique_ptr<GatewayServer>> create(Gateway &gateway, StateAnswer state);

    /// \brief Begins to accept.
    void start();
    /// \brief Takes no new callers; open connections go on.
    void stopAccepting();

private:
    GatewayServer(Gateway &gateway, StateAnswer state);
    Status listen(tcp::acceptor &acceptor, const std::string &address);
    asio::awaitable<void> acceptCallers();
    asio::awaitable<void> acceptQuestions(tcp::acceptor &acceptor);
    asio::awaitable<void> answerQuestions(tcp::socket socket);
    HttpResponse answerQuestion(const HttpRequest &request);

    Gateway &m_gateway;
    tcp::acceptor m_callers;
    tcp::acceptor m_readiness;
    tcp::acceptor m_peers;
    StateAnswer m_state;
};

} // namespace yuccaspan::gateway

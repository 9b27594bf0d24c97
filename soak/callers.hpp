/// \file
/// \brief Callers that send requests through the gateways and note what comes back.
#pragma once

#include "deployment.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace yuccaspan::soak {

/// \brief How many callers, and how they behave.
struct CallerOptions
{
    std::uint32_t callers = 40;
    Duration pauseMost = std::chrono::milliseconds(150); ///< Between two requests of a caller.
    double leavesEarly = 0.02; ///< Part of the requests whose caller does not wait.
    double newConnection = 0.3; ///< Part of the requests on a new connection.
};

/// \brief The callers and the balancer in front of the gateways. Used on the loop's thread.
class Callers
{
public:
    Callers(Deployment &deployment, CallerOptions options, std::uint64_t seed);

    /// \brief Starts to send.
    void start();
    /// \brief Sends no more; requests under way end.
    void stop() noexcept { m_stopped = true; }
    /// \brief Requests that wait for their end.
    [[nodiscard]] std::uint32_t active() const noexcept { return m_active; }

private:
    class Connection;

    boost::asio::awaitable<void> balance();
    boost::asio::awaitable<void> askReadiness(std::size_t index);
    boost::asio::awaitable<void> call(std::uint32_t caller);
    boost::asio::awaitable<void> one(std::uint32_t caller, std::shared_ptr<Connection> &connection);
    [[nodiscard]] CallerRequest makeRequest(std::uint32_t caller);
    [[nodiscard]] const Instance *chooseInstance();
    [[nodiscard]] bool happens(double share);

    Deployment &m_deployment;
    CallerOptions m_options;
    std::mt19937_64 m_random;
    std::uint64_t m_nextId = 1;
    std::uint32_t m_active = 0;
    bool m_stopped = false;
    std::map<std::string, int> m_misses; ///< Readiness questions without a 200 in a row.
};

} // namespace yuccaspan::soak

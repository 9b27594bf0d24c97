/// \file
/// \brief The planned end of an instance.
#pragma once

#include "gateway/gateway.hpp"
#include "gateway/gateway_server.hpp"

namespace yuccaspan::gateway {

/// \brief Timing of a graceful stop; GatewayOptions::stopWithin limits it as a whole.
struct StopTiming
{
    /// From the signal until the load balancer sends no more callers: it removes an instance after
    /// two failed checks, a second apart.
    Duration balancerWait = std::chrono::milliseconds(2600);
    /// Between the end of the event loop and the time at which the platform kills the process.
    Duration reserve = std::chrono::milliseconds(500);
};

/// \brief Stops an instance: it becomes unready, accepts callers until the load balancer sends no
/// more, waits for requests in flight and ends the event loop.
[[nodiscard]] asio::awaitable<void> stopGracefully(Gateway &gateway, GatewayServer &server,
                                                   StopTiming timing = {});

} // namespace yuccaspan::gateway

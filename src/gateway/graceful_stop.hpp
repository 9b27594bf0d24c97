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
    /// Before the end of the event loop: time to write the last responses.
    Duration lastResponses = std::chrono::milliseconds(300);
};

/// \brief Stops an instance.
///
/// It becomes unready and accepts callers until the load balancer sends no more. Then it closes
/// idle connections; requests that arrive after that are passed on only if their deadline lies
/// before the end. It ends the event loop once all connections are closed. Shortly before its time
/// is over it rejects what was not sent to a target.
[[nodiscard]] asio::awaitable<void> stopGracefully(Gateway &gateway, GatewayServer &server,
                                                   StopTiming timing = {});

} // namespace yuccaspan::gateway

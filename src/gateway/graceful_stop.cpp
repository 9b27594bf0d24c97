#include "gateway/graceful_stop.hpp"

#include <algorithm>

namespace yuccaspan::gateway {

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(50);

} // namespace

asio::awaitable<void> stopGracefully(Gateway &gateway, GatewayServer &server, StopTiming timing)
{
    const TimePoint begun = gateway.now();
    const Duration within = gateway.options.stopWithin - timing.reserve;
    gateway.stopping = true;
    gateway.stopAt = begun + within;
    gateway.rejectFrom = gateway.stopAt - timing.lastResponses;
    gateway.log.write("lifecycle", "stopping",
                      {{"active", gateway.active}, {"sessions", gateway.callers->open()}});
    // With little time, half of it is left to finish requests.
    asio::steady_timer timer(gateway.loop, std::min(timing.balancerWait, within / 2));
    co_await timer.async_wait(asTuple);
    server.stopAccepting();
    gateway.closingCallers = true;
    gateway.callers->cancel(ReadPhase::Idle);
    while (gateway.callers->open() > 0 && gateway.now() < gateway.stopAt) {
        if (gateway.now() >= gateway.rejectFrom) {
            gateway.callers->cancel(ReadPhase::Request);
            gateway.wakeAll();
        }
        timer.expires_after(pollInterval);
        co_await timer.async_wait(asTuple);
    }
    gateway.log.write("lifecycle", "stopped",
                      {{"active", gateway.active}, {"sessions", gateway.callers->open()}});
    gateway.loop.stop();
}

} // namespace yuccaspan::gateway

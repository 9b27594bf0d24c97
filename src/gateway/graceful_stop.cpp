#include "gateway/graceful_stop.hpp"

namespace yuccaspan::gateway {

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(50);

} // namespace

asio::awaitable<void> stopGracefully(Gateway &gateway, GatewayServer &server, StopTiming timing)
{
    const TimePoint end = gateway.now() + gateway.options.stopWithin - timing.reserve;
    gateway.stopping = true;
    gateway.log.write("lifecycle", "stopping",
                      {{"active", gateway.active}, {"sessions", gateway.sessions}});
    asio::steady_timer timer(gateway.loop, timing.balancerWait);
    co_await timer.async_wait(asTuple);
    server.stopAccepting();
    while (gateway.active > 0 && gateway.now() < end) {
        timer.expires_after(pollInterval);
        co_await timer.async_wait(asTuple);
    }
    gateway.log.write("lifecycle", "stopped", {{"active", gateway.active}});
    gateway.loop.stop();
}

} // namespace yuccaspan::gateway

/// \file
/// \brief Counters and histograms of an instance.
#pragma once

#include "yuccaspan/clock.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace yuccaspan::gateway {

/// \brief Counters and histograms for the metrics endpoint. Used on one thread.
class GatewayMetrics
{
public:
    GatewayMetrics();
    GatewayMetrics(const GatewayMetrics &) = delete;
    GatewayMetrics &operator=(const GatewayMetrics &) = delete;
    ~GatewayMetrics();

    /// \brief Counts a finished request.
    void request(const std::string &route, std::string_view outcome, Duration latency);
    /// \brief Counts an event by name, such as a call to the store.
    void count(std::string_view event, std::string_view label, std::uint64_t times = 1);
    /// \brief Records how long ago a change that comes into force can have taken effect at most.
    /// \param origin How the instance learned of it.
    void changeAge(std::string_view origin, Duration age);
    /// \brief Records the age of the proof of the targets when a request is sent to one.
    void proofAge(Duration age);
    /// \brief Records the age of the proof of the settings when a request is routed.
    void settingsProofAge(Duration age);
    /// \brief Records the lag of the event loop.
    void loopLag(Duration lag);
    /// \brief All metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace yuccaspan::gateway

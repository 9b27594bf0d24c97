/// \file
/// \brief Counters and histograms of an instance.
#pragma once

#include "yuccaspan/clock.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace yuccaspan::gateway {

/// \brief Counts what happens, for the metrics page. Used on one thread.
class GatewayMetrics
{
public:
    GatewayMetrics();
    GatewayMetrics(const GatewayMetrics &) = delete;
    GatewayMetrics &operator=(const GatewayMetrics &) = delete;
    ~GatewayMetrics();

    /// \brief Counts a request by its end.
    void request(const std::string &route, std::string_view outcome, Duration latency);
    /// \brief Counts an event by name, such as a call to the store.
    void count(std::string_view event, std::string_view label);
    /// \brief Notes how late the event loop is.
    void loopLag(Duration lag);
    /// \brief All figures in the text format of Prometheus.
    [[nodiscard]] std::string text() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace yuccaspan::gateway

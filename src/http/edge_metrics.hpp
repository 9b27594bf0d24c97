/// \file
/// \brief Metrics of the data path, based on prometheus-cpp.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/outcome.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace yuccaspan::impl {

/// \brief Labels under which a request is counted.
struct RequestLabels
{
    std::string service; ///< Service, or empty if none matched.
    std::string kind; ///< Kind, or empty if no rule matched.
    Outcome outcome = Outcome::NotRun; ///< Outcome.
    Reason reason = Reason::NoRule; ///< Reason.

    [[nodiscard]] friend auto operator<=>(const RequestLabels &, const RequestLabels &) = default;
};

/// \brief Counters and histograms of the data path. Thread-safe.
class EdgeMetrics
{
public:
    EdgeMetrics();
    EdgeMetrics(const EdgeMetrics &) = delete;
    EdgeMetrics &operator=(const EdgeMetrics &) = delete;
    ~EdgeMetrics();

    /// \brief Counts a request that ended.
    void countRequest(const RequestLabels &labels, Duration latency);
    /// \brief Counts a repeat of a request.
    void countRepeat(const std::string &service);
    /// \brief Counts an opened connection to a target.
    void countConnect();
    /// \brief Counts a caller's connection that was closed because of malformed input.
    void countBadInput();
    /// \brief Sets a gauge without labels.
    void setGauge(const std::string &name, const std::string &help, double value);
    /// \brief All metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace yuccaspan::impl

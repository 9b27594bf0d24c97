#include "gateway/loop_watch.hpp"

#include <algorithm>
#include <utility>

namespace yuccaspan::gateway {

namespace {

/// Interval between reports; limits the log volume of a loop that lags permanently.
constexpr Duration reportInterval = std::chrono::seconds(1);
/// Smallest reported lag: half of the shortest send deadline; less cannot cause a late send.
constexpr Duration minReportedLag = std::chrono::milliseconds(100);

} // namespace

void LoopWatch::ran(TimePoint due, TimePoint now) noexcept
{
    m_lag = std::max(now - due, Duration::zero());
    m_report.lag = std::max(m_report.lag, m_lag);
}

void LoopWatch::spent(Duty duty, Duration time) noexcept
{
    m_report.spent[static_cast<std::size_t>(duty)] += time;
}

std::optional<LoopReport> LoopWatch::takeReport(TimePoint now) noexcept
{
    if (now - m_reportedAt < reportInterval)
        return std::nullopt;
    m_reportedAt = now;
    const LoopReport report = std::exchange(m_report, LoopReport{});
    if (report.lag < minReportedLag)
        return std::nullopt;
    return report;
}

} // namespace yuccaspan::gateway

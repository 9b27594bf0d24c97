#include "gateway/loop_watch.hpp"

#include <algorithm>
#include <utility>

namespace yuccaspan::gateway {

namespace {

/// Between two reports; bounds the log of a loop that lags all the time.
constexpr Duration reportEvery = std::chrono::seconds(1);
/// Lag that is worth a report: half of the shortest bound of sending, less is no cause of it.
constexpr Duration noteworthyLag = std::chrono::milliseconds(100);

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
    if (now - m_reportedAt < reportEvery)
        return std::nullopt;
    m_reportedAt = now;
    const LoopReport report = std::exchange(m_report, LoopReport{});
    if (report.lag < noteworthyLag)
        return std::nullopt;
    return report;
}

} // namespace yuccaspan::gateway

#include "gateway/target_gate.hpp"

#include "gateway/time_span.hpp"

#include <algorithm>
#include <cmath>

namespace yuccaspan::gateway {

namespace {

/// Requests in flight per slot, of all instances; above 1 so that slots stay busy between requests.
constexpr double maxRequestsPerSlot = 1.34;
/// Half-life of a report of other instances' requests, in seconds; near the time of one request.
constexpr double otherRequestsHalfLife = 0.2;
/// Consecutive failures after which a target is suspected to be down.
constexpr std::uint32_t maxConsecutiveFailures = 3;
/// How long a suspected target gets no requests; the next failure after that renews it.
constexpr Duration suspectDuration = std::chrono::milliseconds(700);
/// How long a target gets no requests after it rejected one as full.
constexpr Duration shedPause = std::chrono::milliseconds(40);
/// Interval between two checks of a cold target's allowance.
constexpr Duration coldRecheckInterval = std::chrono::milliseconds(30);
/// Weight of the newest sample in the moving average.
constexpr double newestWeight = 0.15;

} // namespace

void TargetGate::configure(std::uint32_t slots, std::uint32_t instances) noexcept
{
    m_slots = std::max(slots, 1U);
    m_instances = std::max(instances, 1U);
}

double TargetGate::otherRequestsAt(TimePoint now) const noexcept
{
    const double age = std::max(secondsBetween(m_otherRequestsSeenAt, now), 0.0);
    return m_otherRequests * std::exp2(-age / otherRequestsHalfLife);
}

bool TargetGate::hasRoom(TimePoint now) const noexcept
{
    const double total = m_slots * maxRequestsPerSlot;
    // Each instance may always use its own share, and more while the others leave capacity free.
    const double part = std::max(1.0, std::floor(static_cast<double>(m_slots) / m_instances));
    if (m_inFlight < part)
        return true;
    return m_inFlight + otherRequestsAt(now) + 1 <= total;
}

double TargetGate::coldTokensAt(TimePoint now) const noexcept
{
    return std::min(1.0, m_coldTokens + m_coldRate * std::max(secondsBetween(m_coldAt, now), 0.0));
}

SendPermit TargetGate::permit(TimePoint now, bool cold) const noexcept
{
    if (now < m_suspectUntil)
        return {HoldReason::Suspect, m_suspectUntil};
    if (now < m_shedUntil)
        return {HoldReason::Rejected, m_shedUntil};
    if (cold && coldTokensAt(now) < 1.0)
        return {HoldReason::Cold, now + coldRecheckInterval};
    if (!hasRoom(now))
        return {HoldReason::Full, TimePoint::max()};
    return {};
}

void TargetGate::started(TimePoint now, bool cold) noexcept
{
    ++m_inFlight;
    if (!cold)
        return;
    m_coldTokens = coldTokensAt(now) - 1.0;
    m_coldAt = now;
}

double TargetGate::occupancy(TimePoint now) const noexcept
{
    return (m_inFlight + otherRequestsAt(now)) / m_slots;
}

void TargetGate::compare(double ratio) noexcept
{
    constexpr double lowest = 0.2;
    constexpr double highest = 20.0;
    m_slowness += newestWeight * (std::clamp(ratio, lowest, highest) - m_slowness);
}

void TargetGate::finished(AttemptResult end, const std::optional<LoadReport> &report,
                          TimePoint now) noexcept
{
    if (m_inFlight > 0)
        --m_inFlight;
    if (report) {
        // Neither figure includes the request whose response carries the report.
        const double all = report->running + report->waiting;
        m_otherRequests = std::max(0.0, all - m_inFlight);
        m_otherRequestsSeenAt = now;
    }
    switch (end) {
    case AttemptResult::Answered:
        m_failures = 0;
        m_suspectUntil = TimePoint{};
        return;
    case AttemptResult::Shed:
        m_failures = 0;
        m_shedUntil = now + shedPause;
        return;
    case AttemptResult::Misdirected:
        m_failures = 0;
        return;
    case AttemptResult::Failed:
        if (++m_failures >= maxConsecutiveFailures)
            m_suspectUntil = now + suspectDuration;
        return;
    case AttemptResult::Withdrawn:
        return;
    }
}

} // namespace yuccaspan::gateway

#include "gateway/target_gate.hpp"

#include "gateway/time_span.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

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
/// How long a target gets no requests after it rejected one as full. Doubled with each rejection in
/// a row by one that has free slots: it looks idle and would draw the requests of all instances.
constexpr Duration shedPause = std::chrono::milliseconds(40);
/// Most doublings of that time; 40 ms become 2.56 s.
constexpr std::uint32_t maxShedDoublings = 6;
/// Weight of the newest sample in the moving average.
constexpr double newestWeight = 0.15;

} // namespace

void TargetGate::configure(std::uint32_t slots, const InstanceShare &share) noexcept
{
    m_slots = std::max(slots, 1U);
    m_share = share;
    m_share.instances = std::max(share.instances, 1U);
}

void TargetGate::setColdLimit(const RateLimit &limit, Duration warmup, std::string_view target)
{
    m_warmup = warmup;
    if (limit.perSecond <= 0) {
        m_coldRate.reset();
        return;
    }
    if (!m_coldRate)
        m_coldRate.emplace();
    m_coldRate->configure(limit, m_share, target);
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
    const double part = std::max(1.0, std::floor(static_cast<double>(m_slots) / m_share.instances));
    if (m_inFlight < part)
        return true;
    return m_inFlight + otherRequestsAt(now) + 1 <= total;
}

SendPermit TargetGate::permit(TimePoint now, bool cold, Duration commonOffset) const noexcept
{
    if (m_leaving)
        return {HoldReason::Leaving, TimePoint::max()};
    if (now < m_pausedUntil)
        return {HoldReason::Paused, m_pausedUntil};
    if (now < m_suspectUntil)
        return {HoldReason::Suspect, m_suspectUntil};
    if (now < m_shedUntil)
        return {HoldReason::Rejected, m_shedUntil};
    if (m_coldRate && countsAsCold(now, cold)) {
        const TimePoint earliest = m_coldRate->earliest(now, commonOffset);
        if (earliest > now)
            return {HoldReason::Cold, earliest};
    }
    if (m_namedRate) {
        const TimePoint earliest = m_namedRate->earliest(now, commonOffset);
        if (earliest > now)
            return {HoldReason::Rate, earliest};
    }
    if (!hasRoom(now))
        return {HoldReason::Full, TimePoint::max()};
    return {};
}

void TargetGate::started(TimePoint now, bool cold) noexcept
{
    ++m_inFlight;
    if (m_coldRate && countsAsCold(now, cold))
        m_coldRate->take(now);
    if (m_namedRate)
        m_namedRate->take(now);
}

void TargetGate::setNamedLimit(const std::optional<RateLimit> &limit, std::string_view target)
{
    if (!limit) {
        m_namedRate.reset();
        return;
    }
    if (!m_namedRate)
        m_namedRate.emplace();
    m_namedRate->configure(*limit, m_share, target);
}

Duration TargetGate::sendInterval(TimePoint now, bool cold) const noexcept
{
    Duration interval{};
    if (m_coldRate && countsAsCold(now, cold))
        interval = m_coldRate->interval();
    if (m_namedRate)
        interval = std::max(interval, m_namedRate->interval());
    return interval;
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
    const bool full = report && report->running + report->waiting >= report->slots;
    const bool answered = end == AttemptResult::Answered || end == AttemptResult::Shed
        || end == AttemptResult::Misdirected;
    if (answered && std::exchange(m_ended, false))
        m_coldUntil = now + m_warmup;
    switch (end) {
    case AttemptResult::Answered:
        m_failures = 0;
        m_sheds = 0;
        m_suspectUntil = TimePoint{};
        return;
    case AttemptResult::Shed:
        m_failures = 0;
        // Rejections of requests that were sent together count once.
        if (now < m_shedUntil)
            return;
        m_sheds = full ? 0 : m_sheds;
        m_shedUntil = now + shedPause * static_cast<Duration::rep>(1U << m_sheds);
        m_sheds = std::min(m_sheds + 1, maxShedDoublings);
        return;
    case AttemptResult::Misdirected:
        m_failures = 0;
        return;
    case AttemptResult::Refused:
        m_ended = true;
        [[fallthrough]];
    case AttemptResult::Failed:
        if (++m_failures >= maxConsecutiveFailures)
            m_suspectUntil = now + suspectDuration;
        return;
    case AttemptResult::Withdrawn:
        return;
    }
}

} // namespace yuccaspan::gateway

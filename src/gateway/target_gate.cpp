#include "gateway/target_gate.hpp"

#include "gateway/time_span.hpp"

#include <algorithm>
#include <cmath>

namespace yuccaspan::gateway {

namespace {

/// Requests at a target beyond its slots, of all instances: keeps slots busy between two answers.
constexpr double spareFactor = 1.34;
/// A report of others' requests counts half after this time; near the work of one request.
constexpr double othersHalfLife = 0.2;
/// Failures in a row after which a target is taken for lost.
constexpr std::uint32_t suspectAfter = 3;
/// How long a suspect target gets no request but one to try it.
constexpr Duration suspectSpan = std::chrono::milliseconds(700);
/// Pause after a target said that it is full.
constexpr Duration shedPause = std::chrono::milliseconds(40);
/// Weight of the newest sample in a moving mean.
constexpr double newestWeight = 0.15;

} // namespace

void TargetGate::configure(std::uint32_t slots, std::uint32_t instances) noexcept
{
    m_slots = std::max(slots, 1U);
    m_instances = std::max(instances, 1U);
}

double TargetGate::othersAt(TimePoint now) const noexcept
{
    const double age = std::max(secondsBetween(m_othersAt, now), 0.0);
    return m_othersSeen * std::exp2(-age / othersHalfLife);
}

bool TargetGate::hasRoom(TimePoint now) const noexcept
{
    if (now < m_shedUntil)
        return false;
    if (suspect(now))
        return false;
    const double total = m_slots * spareFactor;
    // Each instance may use its part whatever the others do, and more while they leave it free.
    const double part = std::max(1.0, std::floor(static_cast<double>(m_slots) / m_instances));
    if (m_inFlight < part)
        return true;
    return m_inFlight + othersAt(now) + 1 <= total;
}

bool TargetGate::takeCold(TimePoint now) noexcept
{
    m_coldTokens =
        std::min(1.0, m_coldTokens + m_coldRate * std::max(secondsBetween(m_coldAt, now), 0.0));
    m_coldAt = now;
    if (m_coldTokens < 1.0)
        return false;
    m_coldTokens -= 1.0;
    return true;
}

double TargetGate::occupancy(TimePoint now) const noexcept
{
    return (m_inFlight + othersAt(now)) / m_slots;
}

void TargetGate::compare(double ratio) noexcept
{
    constexpr double lowest = 0.2;
    constexpr double highest = 20.0;
    m_slowness += newestWeight * (std::clamp(ratio, lowest, highest) - m_slowness);
}

void TargetGate::finished(AttemptEnd end, const std::optional<LoadReport> &report,
                          TimePoint now) noexcept
{
    if (m_inFlight > 0)
        --m_inFlight;
    if (report) {
        // The report counts the request that it came with in neither figure.
        const double all = report->running + report->waiting;
        m_othersSeen = std::max(0.0, all - m_inFlight);
        m_othersAt = now;
    }
    switch (end) {
    case AttemptEnd::Answered:
        m_failures = 0;
        m_suspectUntil = TimePoint{};
        return;
    case AttemptEnd::Shed:
        m_failures = 0;
        m_shedUntil = now + shedPause;
        return;
    case AttemptEnd::Misdirected:
        m_failures = 0;
        return;
    case AttemptEnd::Failed:
        if (++m_failures >= suspectAfter)
            m_suspectUntil = now + suspectSpan;
        return;
    case AttemptEnd::Withdrawn:
        return;
    }
}

} // namespace yuccaspan::gateway

#include "gateway/shared_rate.hpp"

#include <xxhash.h>

#include <algorithm>

namespace yuccaspan::gateway {

namespace {

/// Fraction of a limit that is used. The rest covers instances that just joined and clocks that
/// differ.
constexpr double usedFraction = 0.85;
/// Lowest rate of a limit, in requests per second: only answers tell that a limit has ended.
constexpr double minPerSecond = 0.5;
/// Shortest period in which a turn may be used, in seconds.
constexpr double minValidity = 0.1;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void SharedRate::configure(const RateLimit &limit, const InstanceShare &share,
                           std::string_view subject)
{
    const double window = std::chrono::duration<double>(limit.window).count();
    // In a window and a period of validity at most one more request than the rate gives is sent.
    const double usable = std::max(limit.allowed * usedFraction - 1, 1.0);
    const double perSecond =
        std::clamp(limit.perSecond, minPerSecond, usable / (window + minValidity));
    const double interval = std::max(share.instances, 1U) / perSecond;
    const double validity = usable / perSecond - window;
    m_interval = fromSeconds(interval);
    m_validity = fromSeconds(std::min(validity, interval));
    const double turn = static_cast<double>(share.rank) / std::max(share.instances, 1U);
    // Shifts by whole parts of a turn, so that targets do not have their turns at the same time.
    constexpr std::uint64_t phases = 1024;
    const XXH64_hash_t hash = XXH3_64bits(subject.data(), subject.size());
    const double shift = static_cast<double>(hash % phases) / phases;
    m_phase = fromSeconds((turn + shift) * interval);
}

TimePoint SharedRate::earliest(TimePoint now, Duration offset) const noexcept
{
    const bool anyTime = m_validity >= m_interval;
    // A jump of the common time must not bring two turns together.
    const Duration spacing = anyTime ? m_interval : m_interval - m_validity;
    const TimePoint spaced = m_taken ? std::max(m_takenAt + spacing, now) : now;
    if (anyTime)
        return spaced;
    const Duration common = spaced.time_since_epoch() + offset - m_phase;
    Duration inTurn = common % m_interval;
    if (inTurn < Duration::zero())
        inTurn += m_interval;
    const TimePoint turnStart = spaced - inTurn;
    const bool used = m_taken && m_takenAt >= turnStart;
    return inTurn < m_validity && !used ? spaced : turnStart + m_interval;
}

void SharedRate::take(TimePoint now) noexcept
{
    m_taken = true;
    m_takenAt = now;
}

} // namespace yuccaspan::gateway

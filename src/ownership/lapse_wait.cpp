#include "ownership/lapse_wait.hpp"

#include "ownership/authority.hpp"

#include <algorithm>
#include <utility>

namespace yuccaspan::impl {

LapseWait LapseWait::none()
{
    LapseWait wait;
    wait.m_over = true;
    return wait;
}

LapseWait::LapseWait(InstanceId self, std::vector<InstanceId> oldCandidates, TimePoint confirmedAt,
                     Duration length)
    : m_self(std::move(self)),
      m_candidates(std::move(oldCandidates)),
      m_confirmedAt(confirmedAt),
      m_length(length)
{ }

void LapseWait::recordRefusal(const InstanceId &candidate, TimePoint at)
{
    m_refusals.try_emplace(candidate, at);
}

std::optional<TimePoint> LapseWait::end(const std::function<bool(const InstanceId &)> &isGone) const
{
    std::vector<TimePoint> times;
    for (const InstanceId &candidate : m_candidates) {
        const auto refusal = m_refusals.find(candidate);
        if (candidate == m_self || isGone(candidate))
            times.push_back(m_confirmedAt);
        else if (refusal != m_refusals.end())
            times.push_back(std::max(m_confirmedAt, refusal->second));
    }
    const std::size_t needed = refusalsNeeded(m_candidates.size());
    if (times.size() < needed)
        return std::nullopt;
    std::ranges::sort(times);
    return times[needed - 1] + m_length;
}

bool LapseWait::isOver(const std::function<bool(const InstanceId &)> &isGone, TimePoint now)
{
    if (!m_over) {
        const auto instant = end(isGone);
        m_over = instant && *instant <= now;
    }
    return m_over;
}

} // namespace yuccaspan::impl

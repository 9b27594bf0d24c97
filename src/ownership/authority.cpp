#include "ownership/authority.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace yuccaspan::impl {

Authority::Authority(InstanceId self, Duration length) : m_self(std::move(self)), m_length(length)
{ }

void Authority::recordConfirmation(TimePoint sentAt)
{
    m_confirmedAt = std::max(m_confirmedAt, sentAt);
}

void Authority::recordPromise(const InstanceId &candidate, TimePoint sentAt)
{
    TimePoint &last = m_promises[candidate];
    last = std::max(last, sentAt);
}

void Authority::extendUntil(TimePoint until)
{
    m_keptUntil = std::max(m_keptUntil, until);
}

TimePoint Authority::until(const std::vector<InstanceId> &candidates,
                           const std::vector<InstanceId> *pending, TimePoint now) const
{
    TimePoint promised = promisedUntil(candidates, now);
    if (pending != nullptr)
        promised = std::min(promised, promisedUntil(*pending, now));
    const TimePoint confirmed =
        m_confirmedAt == TimePoint() ? TimePoint() : m_confirmedAt + m_length;
    return std::max({promised, confirmed, m_keptUntil});
}

std::optional<TimePoint> Authority::lastPromise(const InstanceId &candidate) const
{
    const auto found = m_promises.find(candidate);
    return found == m_promises.end() ? std::nullopt : std::optional(found->second);
}

TimePoint Authority::promisedUntil(const std::vector<InstanceId> &candidates, TimePoint now) const
{
    std::vector<TimePoint> times;
    for (const InstanceId &candidate : candidates) {
        if (candidate != m_self)
            times.push_back(lastPromise(candidate).value_or(TimePoint()));
    }
    const std::size_t others = promisesNeeded(candidates.size()) - 1;
    // A sole candidate needs no promise: no other instance may take over while it runs.
    if (others == 0)
        return now + m_length;
    if (others > times.size())
        return TimePoint();
    std::ranges::sort(times, std::greater<>());
    const TimePoint weakest = times[others - 1];
    return weakest == TimePoint() ? TimePoint() : weakest + m_length;
}

} // namespace yuccaspan::impl

/// \file
/// \brief Decides whether the known keys of callers are recent enough to admit requests.
#pragma once

#include "yuccaspan/clock.hpp"

#include <algorithm>
#include <optional>

namespace yuccaspan::gateway {

/// \brief How old the list of keys can be.
///
/// Answers the load pattern of callers whose keys are taken away while an instance can't read the
/// store, or is frozen: it stops admitting keys before the time within which that must be in force
/// everywhere. The age counts from when the store is known to have had nothing newer, not from when
/// its answer came.
class KeyFreshness
{
public:
    /// Allowance for the time between the decision and its effect.
    static constexpr Duration margin = std::chrono::milliseconds(300);

    /// \param within Time within which a taken key must be refused; zero: no bound.
    explicit KeyFreshness(Duration within) noexcept : m_within(within) { }

    /// \brief Whether there is a bound at all.
    [[nodiscard]] bool strict() const noexcept { return m_within > Duration::zero(); }
    /// \brief The store is known to have had nothing newer than the list of keys at a time.
    void currentAsOf(TimePoint time) noexcept { m_asOf = m_asOf ? std::max(*m_asOf, time) : time; }
    /// \brief Age of the list of keys; nothing if the store was never read.
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const noexcept
    {
        return m_asOf ? std::optional(now - *m_asOf) : std::nullopt;
    }
    /// \brief Whether keys may be admitted.
    [[nodiscard]] bool fresh(TimePoint now) const noexcept
    {
        return !strict() || (m_asOf && now - *m_asOf < m_within - margin);
    }
    /// \brief Whether to ask other instances for what they know.
    [[nodiscard]] bool ageing(TimePoint now) const noexcept
    {
        constexpr int half = 2;
        return strict() && (!m_asOf || now - *m_asOf >= m_within / half);
    }
    /// \brief Longest wait for a change at the store.
    [[nodiscard]] Duration watchWait(Duration otherwise) const noexcept
    {
        constexpr int watchesWithin = 3;
        return strict() ? std::min(otherwise, m_within / watchesWithin) : otherwise;
    }
    /// \brief The time as of which an answer of the store tells that nothing newer is there.
    /// \param waited Time for which the store was to wait for a change, if it sent none; else zero.
    [[nodiscard]] static TimePoint answeredAsOf(TimePoint sentAt, Duration waited,
                                                TimePoint now) noexcept
    {
        // An answer that comes early can't have been preceded by the whole wait.
        return now - sentAt >= waited ? sentAt + waited : sentAt;
    }

private:
    const Duration m_within;
    std::optional<TimePoint> m_asOf;
};

} // namespace yuccaspan::gateway

/// \file
/// \brief Requests that wait for room at the same targets, and which of them goes next.
#pragma once

#include "yuccaspan/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <list>

namespace yuccaspan::gateway {

/// \brief What the order among waiting requests depends on.
struct Urgency
{
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    TimePoint onTimeUntil{}; ///< Sent later than that, its answer has only part of its worth.
};

/// \brief A request that waits.
class Waiter
{
public:
    explicit Waiter(Urgency urgency) noexcept : m_urgency(urgency) { }
    Waiter(const Waiter &) = delete;
    Waiter &operator=(const Waiter &) = delete;
    virtual ~Waiter() = default;

    [[nodiscard]] const Urgency &urgency() const noexcept { return m_urgency; }
    [[nodiscard]] bool woken() const noexcept { return m_woken; }
    /// \brief Lets it look for a target again.
    void wake()
    {
        m_woken = true;
        resume();
    }

private:
    virtual void resume() = 0;

    Urgency m_urgency;
    bool m_woken = false;
};

/// \brief Orders the requests that wait for the same targets.
///
/// Answers sustained overload, in which first come first served makes every answer late: requests
/// that can still be answered in time go first, those that are late take what is left. A late
/// request yields to requests that are one rank less urgent, not to those two ranks below.
class WaitingLane
{
public:
    using Place = std::list<Waiter *>::iterator;

    Place add(Waiter &waiter) { return m_waiters.insert(m_waiters.end(), &waiter); }
    void remove(Place place) { m_waiters.erase(place); }
    /// \brief Wakes the request that goes next among those that are not yet awake.
    /// \returns Whether there was one.
    bool wakeOne(TimePoint now);
    void wakeAll();
    /// \brief Requests that go before one of that urgency.
    [[nodiscard]] std::size_t ahead(const Urgency &urgency, TimePoint now) const;
    [[nodiscard]] bool empty() const noexcept { return m_waiters.empty(); }

private:
    std::list<Waiter *> m_waiters; ///< In the order of their coming.
};

} // namespace yuccaspan::gateway

/// \file
/// \brief Queue of requests that wait for capacity at the same targets.
#pragma once

#include "yuccaspan/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <list>

namespace yuccaspan::gateway {

/// \brief Determines the order of waiting requests.
struct Urgency
{
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    TimePoint onTimeUntil{}; ///< A request sent later than this counts as late; its response is
                             ///< worth less.
};

/// \brief A waiting request.
class Waiter
{
public:
    explicit Waiter(Urgency urgency) noexcept : m_urgency(urgency) { }
    Waiter(const Waiter &) = delete;
    Waiter &operator=(const Waiter &) = delete;
    virtual ~Waiter() = default;

    [[nodiscard]] const Urgency &urgency() const noexcept { return m_urgency; }
    [[nodiscard]] bool woken() const noexcept { return m_woken; }
    /// \brief Resumes the request, which then chooses a target again.
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
/// Under sustained overload a first-in, first-out queue would make every response late. So requests
/// that can still be answered in time go first. A late request is ordered behind those of the next
/// lower priority, but before those two priorities below its own.
class WaitingLane
{
public:
    using Place = std::list<Waiter *>::iterator;

    Place add(Waiter &waiter) { return m_waiters.insert(m_waiters.end(), &waiter); }
    void remove(Place place) { m_waiters.erase(place); }
    /// \brief Wakes the most urgent request that is not woken yet.
    /// \returns Whether there was one.
    bool wakeOne(TimePoint now);
    void wakeAll();
    /// \brief Number of waiting requests that precede a new one of this urgency.
    [[nodiscard]] std::size_t ahead(const Urgency &urgency, TimePoint now) const;
    [[nodiscard]] bool empty() const noexcept { return m_waiters.empty(); }

private:
    std::list<Waiter *> m_waiters; ///< In order of arrival.
};

} // namespace yuccaspan::gateway

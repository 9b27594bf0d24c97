/// \file
/// \brief Queue of requests that wait for capacity at the same targets.
#pragma once

#include "gateway/admission/room_order.hpp"

#include <cstddef>
#include <list>
#include <optional>

namespace yuccaspan::gateway {

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
    /// \brief The retry delay of a request that must leave the lane; nothing for others.
    [[nodiscard]] std::optional<Duration> displaced() const noexcept { return m_displaced; }
    /// \brief Resumes the request, which then chooses a target again.
    void wake()
    {
        m_woken = true;
        resume();
    }
    /// \brief Resumes the request, which is then turned away.
    void displace(Duration retryDelay)
    {
        m_displaced = retryDelay;
        wake();
    }

private:
    virtual void resume() = 0;

    Urgency m_urgency;
    bool m_woken = false;
    std::optional<Duration> m_displaced;
};

/// \brief Holds the requests that wait for the same targets; a RoomOrder decides on their order.
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
    /// \brief Wakes the most urgent request that is not woken yet, and turns away those that would
    /// miss their deadline.
    /// \returns Whether there was one to serve.
    bool wakeOne(TimePoint now) { return wakeOne(RoomOrder::of(WaitingOrder::Urgency), {now}); }
    bool wakeOne(const RoomOrder &order, const Room &room);
    void wakeAll();
    /// \brief Decides on a newcomer and turns away those that it displaces. It must then be added.
    Entry enter(const RoomOrder &order, const Urgency &newcomer, const Room &room);
    /// \brief Number of waiting requests that precede a new one.
    [[nodiscard]] std::size_t ahead(const RoomOrder &order, const Urgency &newcomer,
                                    const Room &room) const;
    [[nodiscard]] bool empty() const noexcept { return m_waiters.empty(); }

private:
    struct Waiting;
    [[nodiscard]] Waiting waiting(bool withWoken) const;

    std::list<Waiter *> m_waiters; ///< In order of arrival.
};

} // namespace yuccaspan::gateway

/// \file
/// \brief A queue of timed events that drives a manual clock.
#pragma once

#include "yuccaspan/clock.hpp"

#include <cstdint>
#include <queue>
#include <vector>

namespace yuccaspan::bench {

/// \brief A timed event. The meaning of the fields depends on the kind.
template <typename Kind>
struct TimedEvent
{
    TimePoint at; ///< When it happens.
    std::uint64_t order = 0; ///< Breaks ties by the order of scheduling.
    Kind kind{}; ///< What happens.
    std::uint64_t subject = 0; ///< To what.
    std::uint64_t detail = 0; ///< More about it.
};

/// \brief Events in the order of time.
template <typename Kind>
class EventQueue
{
public:
    /// \brief Schedules an event.
    void schedule(TimePoint at, Kind kind, std::uint64_t subject = 0, std::uint64_t detail = 0)
    {
        m_events.push({at, m_next++, kind, subject, detail});
    }
    /// \brief Whether an event is left.
    [[nodiscard]] bool empty() const noexcept { return m_events.empty(); }
    /// \brief Removes the next event and moves the clock to it.
    [[nodiscard]] TimedEvent<Kind> pop(ManualClock &clock)
    {
        const TimedEvent<Kind> event = m_events.top();
        m_events.pop();
        if (event.at > clock.now())
            clock.advance(event.at - clock.now());
        return event;
    }

private:
    struct Later
    {
        [[nodiscard]] bool operator()(const TimedEvent<Kind> &left,
                                      const TimedEvent<Kind> &right) const noexcept
        {
            return left.at != right.at ? left.at > right.at : left.order > right.order;
        }
    };
    std::priority_queue<TimedEvent<Kind>, std::vector<TimedEvent<Kind>>, Later> m_events;
    std::uint64_t m_next = 0;
};

} // namespace yuccaspan::bench

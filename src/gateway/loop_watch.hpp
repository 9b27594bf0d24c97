/// \file
/// \brief How late the event loop runs what is due, and which duties its time goes to.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/enum_names.hpp"

#include <array>
#include <cstddef>
#include <optional>

namespace yuccaspan::gateway {

/// \brief Work on the event loop besides requests.
enum class Duty {
    Place, ///< Decisions of the placer.
    FollowTargets, ///< Changes of targets from the store.
    FollowMaps, ///< Changes of shard maps.
    TakeLoad, ///< Load reports of other instances.
    Wake, ///< Waking waiting requests after a change.
};

/// \brief Number of duties.
constexpr std::size_t dutyCount = 5;

/// \brief The load of the event loop over one span of time.
struct LoopReport
{
    Duration lag{}; ///< Longest time between something being due and running.
    std::array<Duration, dutyCount> spent{}; ///< By Duty.
};

/// \brief Measures the event loop. Used on its thread alone.
///
/// A loop that lags reads requests long after they came and sends what it decided long before; log
/// lines that give only the time of a decision cannot show it.
class LoopWatch
{
public:
    /// \brief Something that was due ran now.
    void ran(TimePoint due, TimePoint now) noexcept;
    /// \brief Time went to a duty.
    void spent(Duty duty, Duration time) noexcept;
    /// \brief The report of the time since the last one, if it is due and the loop lagged.
    [[nodiscard]] std::optional<LoopReport> takeReport(TimePoint now) noexcept;
    /// \brief How late the loop was when last seen.
    [[nodiscard]] Duration lag() const noexcept { return m_lag; }

private:
    LoopReport m_report;
    Duration m_lag{};
    TimePoint m_reportedAt{};
};

} // namespace yuccaspan::gateway

/// \brief Names of the duties.
template <>
struct yuccaspan::EnumNames<yuccaspan::gateway::Duty>
{
    using Duty = yuccaspan::gateway::Duty;
    static constexpr std::array<EnumName<Duty>, 5> table{{
        {Duty::Place, "place"},
        {Duty::FollowTargets, "follow-targets"},
        {Duty::FollowMaps, "follow-maps"},
        {Duty::TakeLoad, "take-load"},
        {Duty::Wake, "wake"},
    }};
};

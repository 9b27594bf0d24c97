/// \file
/// \brief Measures the lag of the event loop and the time spent per duty.
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

/// \brief The load of the event loop in one reporting interval.
struct LoopReport
{
    Duration lag{}; ///< Longest delay between the due time of a timer and its handler.
    std::array<Duration, dutyCount> spent{}; ///< By Duty.
};

/// \brief Measures the event loop. Used on its thread alone.
///
/// A lagging loop reads requests long after they arrived and sends them long after the decision.
/// Log lines that contain only the time of a decision cannot show that.
class LoopWatch
{
public:
    /// \brief Records that a timer ran.
    void ran(TimePoint due, TimePoint now) noexcept;
    /// \brief Adds time spent on a duty.
    void spent(Duty duty, Duration time) noexcept;
    /// \brief The report since the last one, if it is due and the loop lagged.
    [[nodiscard]] std::optional<LoopReport> takeReport(TimePoint now) noexcept;
    /// \brief The last measured lag.
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

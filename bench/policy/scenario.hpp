/// \file
/// \brief The scenarios of faults and shifts.
#pragma once

#include "yuccaspan/clock.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace yuccaspan::bench {

class World;

/// \brief Kinds of events in the world.
enum class WorldEvent : std::uint8_t {
    Arrival,
    Delivered,
    AtTarget,
    WorkDone,
    Reply,
    Deadline,
    Cancel,
    Tick,
    Probe,
    Wake,
    Fault,
    Thaw,
    EndOfSecond,
    End,
};

/// \brief Something that happens to the world at a given time.
struct Fault
{
    Duration at{}; ///< Since the start of the run.
    std::function<void(World &)> apply; ///< What happens.
    bool isShift = false; ///< Whether balance and churn are measured after it.
};

/// \brief A scenario and the measures that are taken in it.
struct Scenario
{
    std::string name; ///< As given to --scenario.
    std::string title; ///< For people.
    double load = 0.6; ///< Mean load to capacity.
    Duration length = std::chrono::seconds(40); ///< Of the run.
    Duration faultAt = std::chrono::seconds(12); ///< When the first fault begins.
    Duration faultEnd = std::chrono::seconds(40); ///< When the last fault has ended.
    std::vector<Fault> faults; ///< In order.
    bool measuresService = false; ///< Whether the bound on weighted service applies.
    bool measuresBalance = false; ///< Whether the bounds on balance and churn apply.
    bool measuresHealthyTail = false; ///< Whether the bounds on p99 apply.
    bool measuresOverload = false; ///< Whether the bounds on overload apply.
};

/// \brief Every scenario of a seed; faults differ by seed.
[[nodiscard]] std::vector<Scenario> allScenarios(std::uint64_t seed);

} // namespace yuccaspan::bench

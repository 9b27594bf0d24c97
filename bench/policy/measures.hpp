/// \file
/// \brief What a run records, second by second and in total.
#pragma once

#include "yuccaspan/clock.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace yuccaspan::bench {

/// \brief What one target owns.
struct TargetLoad
{
    double load = 0; ///< Part of all requests that ask for its keys.
    double capacity = 0; ///< Slots that it can use; 0 if it may not own keys.
};

/// \brief Max over mean of load to capacity, over targets that may own keys.
[[nodiscard]] double imbalanceOf(const std::vector<TargetLoad> &loads);

/// \brief Least load that any assignment with the given imbalance must move.
///
/// A target that may own no keys must lose all of its load; any other must lose at least what
/// exceeds the imbalance. What the moved load does to its new owners is left out, so that the sum
/// is a lower bound for every assignment.
/// \param before Loads after the shift, with the owners of before.
/// \param imbalance The imbalance reached.
[[nodiscard]] double leastChurn(const std::vector<TargetLoad> &before, double imbalance);

/// \brief One second of a run.
struct SecondRecord
{
    double worthOffered = 0; ///< Worth of the requests that arrived.
    double worthPossible = 0; ///< Worth that the capacity allows.
    double worthDone = 0; ///< Worth of the requests answered in time.
    double imbalance = 1; ///< Max over mean of load to capacity at the end of the second.
    std::vector<TargetLoad> loads; ///< By target, at the end of the second.
    double p99 = 0; ///< Of all requests, in milliseconds.
    double loadMoved = 0; ///< Part of the whole load whose owner changed.
    std::uint32_t moves = 0; ///< Moves.
    std::uint32_t coldExcess = 0; ///< Most requests beyond a cold target's bearing limit.
    std::uint64_t sent = 0; ///< Attempts sent to targets.
    std::uint64_t firstTries = 0; ///< Requests sent for the first time.
};

/// \brief A finished request.
struct Sample
{
    TimePoint arrived; ///< When it arrived.
    std::uint32_t latencyMicros = 0; ///< At the caller; its deadline if it failed.
    bool done = false; ///< Whether it was answered in time.
    bool onMarked = false; ///< Whether its key was on a marked target when the fault began.
    std::uint16_t entry = 0; ///< Instance that took it.
};

/// \brief What targets owned when the load or the targets changed.
struct ShiftRecord
{
    Duration at{}; ///< Since the start of the run.
    std::vector<TargetLoad> loads; ///< Right after the change, with the owners of before.
};

/// \brief Totals of a run.
struct RunRecord
{
    std::vector<SecondRecord> seconds; ///< In order.
    std::vector<Sample> samples; ///< In the order of finishing.
    std::vector<ShiftRecord> shifts; ///< In order.
    TimePoint start; ///< Of the run.
    std::uint64_t firstTries = 0; ///< Requests sent at least once.
    std::uint64_t repeats = 0; ///< Attempts beyond the first.
    std::uint64_t ranTwice = 0; ///< Requests that must not be repeated and ran twice.
    std::uint64_t notRunButRan = 0; ///< Requests reported as not run that had run.
    std::uint64_t unknown = 0; ///< Requests with unknown outcome.
    std::uint64_t lateToLeaving = 0; ///< Sent to a leaving target or zone 3 s after the order.
    std::uint64_t sentAfterDeadline = 0; ///< Attempts sent after the deadline.
    std::uint32_t coldExcess = 0; ///< Most requests beyond a cold target's bearing limit.
    std::uint32_t mostOverSlots = 0; ///< Most requests beyond the slots of any target.
    double longestClosedMs = 0; ///< Longest time that a slice was closed by a planned move.
    double longestLostMs = 0; ///< Longest time that a slice was without an owner in service.
    std::uint64_t connections = 0; ///< Connections opened.

    /// \brief A quantile of latency in milliseconds over the samples that the filter accepts.
    template <typename Filter>
    [[nodiscard]] double quantile(double which, Filter accept) const
    {
        std::vector<std::uint32_t> values;
        for (const Sample &sample : samples) {
            if (accept(sample))
                values.push_back(sample.latencyMicros);
        }
        if (values.empty())
            return 0;
        const auto rank = static_cast<std::size_t>(which * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                         values.end());
        constexpr double microsPerMilli = 1000;
        return values[rank] / microsPerMilli;
    }
};

} // namespace yuccaspan::bench

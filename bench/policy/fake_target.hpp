/// \file
/// \brief A target as the decisions meet it: slots, queue, connections, cold start, slowness.
#pragma once

#include "yuccaspan/settings.hpp"
#include "yuccaspan/target_order.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace yuccaspan::bench {

/// \brief Time that a starting target needs before it bears its full load.
inline constexpr Duration coldTime = std::chrono::seconds(8);

/// \brief Work at a target: a request's attempt, or a probe.
struct Work
{
    std::uint64_t request = 0; ///< Which request.
    std::uint32_t attempt = 0; ///< Which of its attempts.
    Duration cost{}; ///< Slot time on an idle, healthy target.
    std::uint64_t token = 0; ///< Unique while it runs.
    bool isProbe = false; ///< Whether it is a probe of instance number `request`.
    TimePoint arrivedAt; ///< At the target.
};

/// \brief State of one target. The world moves it along.
struct FakeTarget
{
    TargetSettings settings; ///< As configured.
    std::uint32_t zone = 0; ///< Index of its zone.
    bool up = true; ///< Whether its process runs.
    bool granted = true; ///< Whether it holds grants since its start.
    bool cold = false; ///< Whether it is starting.
    bool saysWarm = false; ///< Whether it calls itself warm whatever it is.
    bool probesLie = false; ///< Whether probes are answered fast whatever the slowness.
    double slowness = 1; ///< Factor on slot times.
    std::uint32_t starts = 1; ///< Counts its starts.
    TimePoint startedAt; ///< Of the last start.
    std::vector<Work> running; ///< In slots.
    std::deque<Work> queue; ///< Waiting for a slot.
    std::uint32_t worstColdExcess = 0; ///< Most requests beyond the bearing limit.
    std::uint32_t mostAtOnce = 0; ///< Most requests at the target at once.

    /// \brief Id of the present start.
    [[nodiscard]] std::string startId() const { return std::to_string(starts); }
    /// \brief How the target describes itself.
    [[nodiscard]] TargetState state() const noexcept
    {
        return cold && !saysWarm ? TargetState::Cold : TargetState::Warm;
    }
    /// \brief Part of its slots that the target bears.
    [[nodiscard]] double bearingPart(double coldAllowance, TimePoint now) const noexcept
    {
        if (!cold)
            return 1;
        const double part =
            static_cast<double>((now - startedAt).count()) / static_cast<double>(coldTime.count());
        return std::min(1.0, coldAllowance + (1 - coldAllowance) * part);
    }
    /// \brief Requests that the target bears at once.
    [[nodiscard]] std::uint32_t bearingLimit(double coldAllowance, TimePoint now) const noexcept
    {
        const double bears = settings.slots * bearingPart(coldAllowance, now);
        return std::max(1U, static_cast<std::uint32_t>(bears));
    }
    /// \brief Requests at the target; probes do not count.
    [[nodiscard]] std::uint32_t load() const noexcept
    {
        const auto isRequest = [](const Work &work) { return !work.isProbe; };
        return static_cast<std::uint32_t>(std::count_if(running.begin(), running.end(), isRequest)
                                          + std::count_if(queue.begin(), queue.end(), isRequest));
    }
};

} // namespace yuccaspan::bench

/// \file
/// \brief How much of a target this instance may use, and what it has seen of it.
#pragma once

#include "yuccaspan/clock.hpp"

#include <cstdint>
#include <optional>

namespace yuccaspan::gateway {

/// \brief Load that a target reports with an answer.
struct LoadReport
{
    std::uint32_t running = 0; ///< Requests in its slots, of all instances.
    std::uint32_t waiting = 0; ///< Requests in its queue, of all instances.
    std::uint32_t slots = 0; ///< Slots.
    double slowness = 1.0; ///< How long work takes now, 1 as usual.
};

/// \brief How an attempt at a target ended, as far as the gate is concerned.
enum class AttemptEnd {
    Answered, ///< It answered and the request ran.
    Shed, ///< It answered that it did not run the request.
    Misdirected, ///< It does not hold the key; says nothing of its load.
    Failed, ///< It could not be reached, broke off or did not answer in time.
    Withdrawn, ///< The caller left.
};

/// \brief What one instance may send to one target, decided from its own requests and the load
/// that the target reports.
///
/// Answers three load patterns: many instances that each see a part of a small target's load, a
/// target that is slow or sheds for a while, and a cold target that bears few requests.
class TargetGate
{
public:
    /// \brief Sets the target's slots and the number of instances that share it.
    void configure(std::uint32_t slots, std::uint32_t instances) noexcept;
    /// \brief Sets the rate that the target bears while it is cold, for this instance alone.
    void setColdRate(double perSecond) noexcept { m_coldRate = perSecond; }

    /// \brief Whether a request may be sent now.
    [[nodiscard]] bool hasRoom(TimePoint now) const noexcept;
    /// \brief Whether a cold target may get one more request now; takes it from the allowance.
    [[nodiscard]] bool takeCold(TimePoint now) noexcept;
    /// \brief Whether the target failed again and again a moment ago.
    [[nodiscard]] bool suspect(TimePoint now) const noexcept { return now < m_suspectUntil; }
    /// \brief A request is sent.
    void started() noexcept { ++m_inFlight; }
    /// \brief An attempt ended.
    void finished(AttemptEnd end, const std::optional<LoadReport> &report, TimePoint now) noexcept;

    /// \brief Requests of this instance that are at the target.
    [[nodiscard]] std::uint32_t inFlight() const noexcept { return m_inFlight; }
    /// \brief Requests per slot, of all instances as far as known.
    [[nodiscard]] double occupancy(TimePoint now) const noexcept;
    /// \brief How long work takes there compared with other targets, 1 as usual.
    [[nodiscard]] double slowness() const noexcept { return m_slowness; }
    /// \brief Slots that it has.
    [[nodiscard]] std::uint32_t slots() const noexcept { return m_slots; }
    /// \brief Notes how an answer compares with what its kind usually takes.
    void compare(double ratio) noexcept;

private:
    [[nodiscard]] double othersAt(TimePoint now) const noexcept;

    std::uint32_t m_slots = 1;
    std::uint32_t m_instances = 1;
    std::uint32_t m_inFlight = 0;
    double m_othersSeen = 0;
    TimePoint m_othersAt{};
    double m_slowness = 1.0;
    std::uint32_t m_failures = 0;
    TimePoint m_suspectUntil{};
    TimePoint m_shedUntil{};
    double m_coldRate = 0;
    double m_coldTokens = 1;
    TimePoint m_coldAt{};
};

} // namespace yuccaspan::gateway

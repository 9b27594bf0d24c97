/// \file
/// \brief Limits the requests of this instance to one target, and tracks its load and failures.
#pragma once

#include "gateway/shared_rate.hpp"
#include "yuccaspan/clock.hpp"
#include "yuccaspan/enum_names.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace yuccaspan::gateway {

/// \brief Load that a target reports with a response.
struct LoadReport
{
    std::uint32_t running = 0; ///< Running requests of all instances.
    std::uint32_t waiting = 0; ///< Queued requests of all instances.
    std::uint32_t slots = 0; ///< Slots.
    double slowness = 1.0; ///< Current service time relative to the usual one.
};

/// \brief How an attempt ended, as the gate distinguishes it.
enum class AttemptResult {
    Answered, ///< The target ran the request and responded.
    Shed, ///< The target responded that it did not run the request.
    Misdirected, ///< The target does not hold the key; tells nothing about its load.
    Refused, ///< The connection was refused: the target's process has ended, or a cut refuses.
    Failed, ///< The target could not be reached, closed the connection or did not respond in time.
    Withdrawn, ///< The request was cancelled, or no longer sent.
};

/// \brief Why a request may not be sent to a target now.
enum class HoldReason {
    None, ///< It may be sent.
    Leaving, ///< The target said that it leaves.
    Paused, ///< The target asked for a pause.
    Suspect, ///< The target failed several times in a row.
    Rejected, ///< The target rejected a request a moment ago.
    Cold, ///< The target is cold, and it is not this instance's turn.
    Rate, ///< The target named the most that it takes, and it is not this instance's turn.
    Full, ///< The target has no capacity left.
};

/// \brief Whether a request may be sent to a target, and if not, why and until when.
struct SendPermit
{
    HoldReason reason = HoldReason::None;
    TimePoint until{}; ///< Earliest time of a permit; TimePoint::max() if only an answer tells.

    [[nodiscard]] bool allowed() const noexcept { return reason == HoldReason::None; }
};

/// \brief Decides how much one instance may send to one target, from its own requests in flight and
/// the load that the target reports.
///
/// Covers three load patterns: many instances that each see a part of a small target's load, a
/// target that is slow or rejects requests for a while, and a cold target with little capacity.
class TargetGate
{
public:
    /// \brief Sets the target's slots and this instance's place among those that share it.
    void configure(std::uint32_t slots, const InstanceShare &share) noexcept;
    /// \brief Sets how much all instances together may send to the target while it is cold.
    /// \param warmup Time for which a target is cold after its start.
    void setColdLimit(const RateLimit &limit, Duration warmup, std::string_view target);

    /// \brief Whether a request may be sent now.
    /// \param cold Whether the target's entry says that it is cold.
    /// \param commonOffset What to add to now for a time that all instances have in common.
    [[nodiscard]] SendPermit permit(TimePoint now, bool cold,
                                    Duration commonOffset = {}) const noexcept;
    /// \brief Whether the target counts as cold. It may have restarted without its entry showing
    /// that, if this instance or the target does not reach the store.
    [[nodiscard]] bool countsAsCold(TimePoint now, bool cold) const noexcept
    {
        return cold || m_ended || now < m_coldUntil;
    }
    /// \brief Records the start of an attempt, which uses a part of the limits.
    void started(TimePoint now, bool cold) noexcept;
    /// \brief Records the end of an attempt.
    void finished(AttemptResult end, const std::optional<LoadReport> &report,
                  TimePoint now) noexcept;

    /// \brief Sets how much all instances together may send to the target, whether cold or not.
    /// \param limit Nothing if the target takes any number.
    void setNamedLimit(const std::optional<RateLimit> &limit, std::string_view target);
    /// \brief Ends sending for good: the target said that it leaves.
    void setLeaving() noexcept { m_leaving = true; }
    /// \brief Ends sending until a time: the target asked for a pause. A shorter one changes
    /// nothing.
    void pauseUntil(TimePoint end) noexcept { m_pausedUntil = std::max(m_pausedUntil, end); }
    /// \brief Whether the target itself asked for no request now. Checked again when one is
    /// written.
    [[nodiscard]] bool closed(TimePoint now) const noexcept
    {
        return m_leaving || now < m_pausedUntil;
    }
    /// \brief Time between two requests of this instance while a limit on the rate holds.
    [[nodiscard]] Duration sendInterval(TimePoint now, bool cold) const noexcept;
    /// \brief Requests of this instance in flight at the target.
    [[nodiscard]] std::uint32_t inFlight() const noexcept { return m_inFlight; }
    /// \brief Estimated requests per slot, of all instances.
    [[nodiscard]] double occupancy(TimePoint now) const noexcept;
    /// \brief Latency relative to other targets; 1 is average.
    [[nodiscard]] double slowness() const noexcept { return m_slowness; }
    /// \brief Slots of the target.
    [[nodiscard]] std::uint32_t slots() const noexcept { return m_slots; }
    /// \brief Records a response's latency, relative to the usual one of its route.
    void compare(double ratio) noexcept;

private:
    [[nodiscard]] double otherRequestsAt(TimePoint now) const noexcept;
    [[nodiscard]] bool hasRoom(TimePoint now) const noexcept;

    std::uint32_t m_slots = 1;
    InstanceShare m_share;
    std::uint32_t m_inFlight = 0;
    double m_otherRequests = 0;
    TimePoint m_otherRequestsSeenAt{};
    double m_slowness = 1.0;
    bool m_leaving = false;
    TimePoint m_pausedUntil{};
    std::uint32_t m_failures = 0;
    TimePoint m_suspectUntil{};
    std::uint32_t m_sheds = 0; ///< Consecutive rejections by the target although it had free slots.
    TimePoint m_shedUntil{};
    bool m_ended = false; ///< A connection was refused, and the target has not answered since.
    TimePoint m_coldUntil{}; ///< End of the warm-up after the restart that this implies.
    Duration m_warmup{};
    std::optional<SharedRate> m_coldRate; ///< Nothing if cold targets have no limit.
    std::optional<SharedRate> m_namedRate; ///< Nothing if the target named none.
};

} // namespace yuccaspan::gateway

/// \brief Names of the reasons, as logged and counted.
template <>
struct yuccaspan::EnumNames<yuccaspan::gateway::HoldReason>
{
    using Reason = yuccaspan::gateway::HoldReason;
    static constexpr std::array<EnumName<Reason>, 8> table{{
        {Reason::None, "none"},
        {Reason::Leaving, "leaving"},
        {Reason::Paused, "paused"},
        {Reason::Suspect, "suspect"},
        {Reason::Rejected, "rejected"},
        {Reason::Cold, "cold"},
        {Reason::Rate, "rate"},
        {Reason::Full, "full"},
    }};
};

/// \file
/// \brief Lifecycles of targets, moves and placers, as tracked by the placer of a cell.
///
/// Each is a state machine that is defined in its own .cpp file. An event without a transition
/// in the current state is ignored.
#pragma once

#include "yuccaspan/enum_names.hpp"

#include <memory>

namespace yuccaspan::impl {

/// \brief State of a target as seen by the placer.
enum class TargetPhase {
    Unknown, ///< It has not answered yet.
    Serving, ///< It answered the last order.
    Silent, ///< It did not answer the last order; its grant is not extended.
    Lost, ///< It still did not answer; its slices are moved to other targets.
};

/// \brief Events of a target.
enum class TargetSignal {
    Answered, ///< It answered an order.
    Unanswered, ///< The wait for an answer ended.
};

/// \brief State of a move of one slice.
enum class MovePhase {
    Planned, ///< The intent is not yet committed.
    Draining, ///< Entry instances hold new requests and finish those in flight.
    Revoking, ///< The owner's grant is being revoked or expires.
    Granting, ///< The next owner is being granted the slice.
    Settling, ///< The settled record is not yet committed.
    Settled, ///< The move is complete.
};

/// \brief Events of a move.
enum class MoveSignal {
    IntentCommitted, ///< The record shows the intent.
    Drained, ///< No entry instance has a request in flight, or the wait timed out.
    Released, ///< No other target can hold the slice.
    Granted, ///< The next owner holds the slice.
    Abandoned, ///< The next owner was lost before it confirmed.
    SettleCommitted, ///< The record shows the next owner as owner.
};

/// \brief State of an instance as the placer of a cell.
enum class PlacerPhase {
    Waiting, ///< It has the term; earlier terms may not have expired yet.
    Active, ///< Earlier terms have expired.
    HandingOver, ///< It hands the cell to another instance and starts no moves.
    Retired, ///< Another instance has, or may have, the cell.
};

/// \brief Events of a placer.
enum class PlacerSignal {
    EarlierTermsLapsed, ///< All grants of earlier terms have expired.
    LeaveRequested, ///< This instance is stopping.
    TermLost, ///< A higher term is known.
};

/// \brief Lifecycle of one target.
class TargetLifecycle
{
public:
    TargetLifecycle();
    TargetLifecycle(TargetLifecycle &&) noexcept;
    TargetLifecycle &operator=(TargetLifecycle &&) noexcept;
    ~TargetLifecycle();

    /// \brief Processes an event.
    /// \returns The new state.
    TargetPhase handle(TargetSignal signal);
    /// \brief The current state.
    [[nodiscard]] TargetPhase phase() const noexcept;

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

/// \brief Lifecycle of the move of one slice.
class MoveLifecycle
{
public:
    MoveLifecycle();
    MoveLifecycle(MoveLifecycle &&) noexcept;
    MoveLifecycle &operator=(MoveLifecycle &&) noexcept;
    ~MoveLifecycle();

    /// \copydoc TargetLifecycle::handle
    MovePhase handle(MoveSignal signal);
    /// \copydoc TargetLifecycle::phase
    [[nodiscard]] MovePhase phase() const noexcept;

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

/// \brief Lifecycle of an instance as placer of one cell in one term.
class PlacerLifecycle
{
public:
    PlacerLifecycle();
    PlacerLifecycle(PlacerLifecycle &&) noexcept;
    PlacerLifecycle &operator=(PlacerLifecycle &&) noexcept;
    ~PlacerLifecycle();

    /// \copydoc TargetLifecycle::handle
    PlacerPhase handle(PlacerSignal signal);
    /// \copydoc TargetLifecycle::phase
    [[nodiscard]] PlacerPhase phase() const noexcept;

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace yuccaspan::impl

namespace yuccaspan {

template <>
struct EnumNames<impl::TargetPhase>
{
    static constexpr std::array<EnumName<impl::TargetPhase>, 4> table{{
        {impl::TargetPhase::Unknown, "unknown"},
        {impl::TargetPhase::Serving, "serving"},
        {impl::TargetPhase::Silent, "silent"},
        {impl::TargetPhase::Lost, "lost"},
    }};
};

template <>
struct EnumNames<impl::MovePhase>
{
    static constexpr std::array<EnumName<impl::MovePhase>, 6> table{{
        {impl::MovePhase::Planned, "planned"},
        {impl::MovePhase::Draining, "draining"},
        {impl::MovePhase::Revoking, "revoking"},
        {impl::MovePhase::Granting, "granting"},
        {impl::MovePhase::Settling, "settling"},
        {impl::MovePhase::Settled, "settled"},
    }};
};

template <>
struct EnumNames<impl::PlacerPhase>
{
    static constexpr std::array<EnumName<impl::PlacerPhase>, 4> table{{
        {impl::PlacerPhase::Waiting, "waiting"},
        {impl::PlacerPhase::Active, "active"},
        {impl::PlacerPhase::HandingOver, "handing-over"},
        {impl::PlacerPhase::Retired, "retired"},
    }};
};

} // namespace yuccaspan

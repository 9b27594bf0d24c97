/// \file
/// \brief Lifecycles of a target, of a move and of a placer, as a cell's placer follows them.
///
/// Each is a state machine; the machines are in the .cpp files. An event that a state does not
/// expect leaves it as it is.
#pragma once

#include "yuccaspan/enum_names.hpp"

#include <memory>

namespace yuccaspan::impl {

/// \brief State of a target as its placer sees it.
enum class TargetPhase {
    Unknown, ///< It has not answered yet.
    Serving, ///< It answered the last order.
    Silent, ///< It did not answer the last order; its grant is not extended.
    Lost, ///< It did not answer again; its slices are given to others.
};

/// \brief Events of a target.
enum class TargetSignal {
    Answered, ///< It answered an order.
    Unanswered, ///< The wait for an answer ended.
};

/// \brief State of a move of one slice.
enum class MovePhase {
    Planned, ///< The intent is not yet committed.
    Draining, ///< Entries hold new requests and finish those in flight.
    Revoking, ///< The owner's grant is taken back, or lapses.
    Granting, ///< The next owner gets its grant.
    Settling, ///< The settled record is not yet committed.
    Settled, ///< The next owner is the owner.
};

/// \brief Events of a move.
enum class MoveSignal {
    IntentCommitted, ///< The record shows the intent.
    Drained, ///< No entry has a request in flight, or the wait for that ended.
    Released, ///< No other target can hold the slice.
    Granted, ///< The next owner holds the slice.
    Abandoned, ///< The next owner is lost before it confirmed.
    SettleCommitted, ///< The record shows the next owner as owner.
};

/// \brief State of an instance as the placer of a cell.
enum class PlacerPhase {
    Waiting, ///< It has the term; earlier terms may not have lapsed.
    Active, ///< Earlier terms have lapsed.
    HandingOver, ///< It gives the cell to another instance and starts no moves.
    Retired, ///< Another instance has, or may have, the cell.
};

/// \brief Events of a placer.
enum class PlacerSignal {
    EarlierTermsLapsed, ///< Nothing that an earlier term granted is in force.
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

    /// \brief Takes an event.
    /// \returns The new state.
    TargetPhase handle(TargetSignal signal);
    /// \brief The present state.
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

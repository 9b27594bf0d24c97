// Lifecycle of a move.
#include "ownership/lifecycles.hpp"

#include "ownership/msm_phase.hpp"

namespace yuccaspan::impl {
namespace {

template <MovePhase P>
using In = PhaseState<MovePhase, P>;
template <MoveSignal S>
using On = SignalEvent<MoveSignal, S>;

struct MoveTable : PhaseFrontEnd<MoveTable, MovePhase>
{
    using initial_state =
        In<MovePhase::Planned>; // NOLINT(readability-identifier-naming): named by MSM
    // NOLINTNEXTLINE(readability-identifier-naming): named by MSM
    struct transition_table
        : boost::mpl::vector<
              Row<In<MovePhase::Planned>, On<MoveSignal::IntentCommitted>, In<MovePhase::Draining>>,
              Row<In<MovePhase::Draining>, On<MoveSignal::Drained>, In<MovePhase::Revoking>>,
              Row<In<MovePhase::Revoking>, On<MoveSignal::Released>, In<MovePhase::Granting>>,
              Row<In<MovePhase::Granting>, On<MoveSignal::Granted>, In<MovePhase::Settling>>,
              Row<In<MovePhase::Granting>, On<MoveSignal::Abandoned>, In<MovePhase::Settling>>,
              Row<In<MovePhase::Settling>, On<MoveSignal::SettleCommitted>, In<MovePhase::Settled>>>
    { };
};

} // namespace

struct MoveLifecycle::Machine : PhaseMachine<MoveTable>
{ };

MoveLifecycle::MoveLifecycle() : m_machine(std::make_unique<Machine>())
{ }
MoveLifecycle::MoveLifecycle(MoveLifecycle &&) noexcept = default;
MoveLifecycle &MoveLifecycle::operator=(MoveLifecycle &&) noexcept = default;
MoveLifecycle::~MoveLifecycle() = default;

MovePhase MoveLifecycle::handle(MoveSignal signal)
{
    switch (signal) {
    case MoveSignal::IntentCommitted:
        m_machine->process(On<MoveSignal::IntentCommitted>());
        break;
    case MoveSignal::Drained:
        m_machine->process(On<MoveSignal::Drained>());
        break;
    case MoveSignal::Released:
        m_machine->process(On<MoveSignal::Released>());
        break;
    case MoveSignal::Granted:
        m_machine->process(On<MoveSignal::Granted>());
        break;
    case MoveSignal::Abandoned:
        m_machine->process(On<MoveSignal::Abandoned>());
        break;
    case MoveSignal::SettleCommitted:
        m_machine->process(On<MoveSignal::SettleCommitted>());
        break;
    }
    return phase();
}

MovePhase MoveLifecycle::phase() const noexcept
{
    return m_machine->phase();
}

} // namespace yuccaspan::impl

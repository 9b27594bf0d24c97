// Lifecycle of a target.
#include "ownership/lifecycles.hpp"

#include "ownership/msm_phase.hpp"

namespace yuccaspan::impl {
namespace {

template <TargetPhase P>
using In = PhaseState<TargetPhase, P>;
template <TargetSignal S>
using On = SignalEvent<TargetSignal, S>;

struct TargetTable : PhaseFrontEnd<TargetTable, TargetPhase>
{
    using initial_state =
        In<TargetPhase::Unknown>; // NOLINT(readability-identifier-naming): named by MSM
    // NOLINTNEXTLINE(readability-identifier-naming): named by MSM
    struct transition_table
        : boost::mpl::vector<
              Row<In<TargetPhase::Unknown>, On<TargetSignal::Answered>, In<TargetPhase::Serving>>,
              Row<In<TargetPhase::Unknown>, On<TargetSignal::Unanswered>, In<TargetPhase::Silent>>,
              Row<In<TargetPhase::Serving>, On<TargetSignal::Unanswered>, In<TargetPhase::Silent>>,
              Row<In<TargetPhase::Silent>, On<TargetSignal::Answered>, In<TargetPhase::Serving>>,
              Row<In<TargetPhase::Silent>, On<TargetSignal::Unanswered>, In<TargetPhase::Lost>>,
              Row<In<TargetPhase::Lost>, On<TargetSignal::Answered>, In<TargetPhase::Serving>>>
    { };
};

} // namespace

struct TargetLifecycle::Machine : PhaseMachine<TargetTable>
{ };

TargetLifecycle::TargetLifecycle() : m_machine(std::make_unique<Machine>())
{ }
TargetLifecycle::TargetLifecycle(TargetLifecycle &&) noexcept = default;
TargetLifecycle &TargetLifecycle::operator=(TargetLifecycle &&) noexcept = default;
TargetLifecycle::~TargetLifecycle() = default;

TargetPhase TargetLifecycle::handle(TargetSignal signal)
{
    switch (signal) {
    case TargetSignal::Answered:
        m_machine->process(On<TargetSignal::Answered>());
        break;
    case TargetSignal::Unanswered:
        m_machine->process(On<TargetSignal::Unanswered>());
        break;
    }
    return phase();
}

TargetPhase TargetLifecycle::phase() const noexcept
{
    return m_machine->phase();
}

} // namespace yuccaspan::impl

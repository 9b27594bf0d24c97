// Lifecycle of a placer.
#include "ownership/lifecycles.hpp"

#include "ownership/msm_phase.hpp"

namespace yuccaspan::impl {
namespace {

template <PlacerPhase P>
using In = PhaseState<PlacerPhase, P>;
template <PlacerSignal S>
using On = SignalEvent<PlacerSignal, S>;

struct PlacerTable : PhaseFrontEnd<PlacerTable, PlacerPhase>
{
    using initial_state =
        In<PlacerPhase::Waiting>; // NOLINT(readability-identifier-naming): named by MSM
    // NOLINTNEXTLINE(readability-identifier-naming): named by MSM
    struct transition_table
        : boost::mpl::vector<
              Row<In<PlacerPhase::Waiting>, On<PlacerSignal::EarlierTermsLapsed>,
                  In<PlacerPhase::Active>>,
              Row<In<PlacerPhase::Waiting>, On<PlacerSignal::LeaveRequested>,
                  In<PlacerPhase::HandingOver>>,
              Row<In<PlacerPhase::Active>, On<PlacerSignal::LeaveRequested>,
                  In<PlacerPhase::HandingOver>>,
              Row<In<PlacerPhase::Waiting>, On<PlacerSignal::TermLost>, In<PlacerPhase::Retired>>,
              Row<In<PlacerPhase::Active>, On<PlacerSignal::TermLost>, In<PlacerPhase::Retired>>,
              Row<In<PlacerPhase::HandingOver>, On<PlacerSignal::TermLost>,
                  In<PlacerPhase::Retired>>>
    { };
};

} // namespace

struct PlacerLifecycle::Machine : PhaseMachine<PlacerTable>
{ };

PlacerLifecycle::PlacerLifecycle() : m_machine(std::make_unique<Machine>())
{ }
PlacerLifecycle::PlacerLifecycle(PlacerLifecycle &&) noexcept = default;
PlacerLifecycle &PlacerLifecycle::operator=(PlacerLifecycle &&) noexcept = default;
PlacerLifecycle::~PlacerLifecycle() = default;

PlacerPhase PlacerLifecycle::handle(PlacerSignal signal)
{
    switch (signal) {
    case PlacerSignal::EarlierTermsLapsed:
        m_machine->process(On<PlacerSignal::EarlierTermsLapsed>());
        break;
    case PlacerSignal::LeaveRequested:
        m_machine->process(On<PlacerSignal::LeaveRequested>());
        break;
    case PlacerSignal::TermLost:
        m_machine->process(On<PlacerSignal::TermLost>());
        break;
    }
    return phase();
}

PlacerPhase PlacerLifecycle::phase() const noexcept
{
    return m_machine->phase();
}

} // namespace yuccaspan::impl

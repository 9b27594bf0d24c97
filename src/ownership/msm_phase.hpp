/// \file
/// \brief State machines on Boost.MSM whose states and events are enumerators.
/// \warning Include only from the .cpp file of one machine: MSM is slow to compile.
#pragma once

#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_LIST_SIZE 30
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace yuccaspan::impl {

/// \brief A transition without guard or action.
template <typename Source, typename Event, typename Target>
using Row = boost::msm::front::Row<Source, Event, Target>;

/// \brief State type for one enumerator.
template <typename Phase, Phase value>
struct PhaseState : boost::msm::front::state<>
{
    template <typename Event, typename Machine>
    void on_entry(const Event &, Machine &machine)
    {
        machine.current = value;
    }
};

/// \brief Event type for one enumerator.
template <typename Signal, Signal value>
struct SignalEvent
{ };

/// \brief State machine definition that stores the enumerator of the current state.
template <typename Table, typename Phase>
struct PhaseFrontEnd : boost::msm::front::state_machine_def<Table>
{
    Phase current{}; ///< Set on each entry to a state.

    template <typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    { }
};

/// \brief A running machine.
template <typename Table>
class PhaseMachine
{
public:
    PhaseMachine() { m_backEnd.start(); }
    /// \brief Processes an event.
    template <typename Event>
    void process(const Event &event)
    {
        m_backEnd.process_event(event);
    }
    /// \brief The enumerator of the current state.
    [[nodiscard]] auto phase() const noexcept { return m_backEnd.current; }

private:
    boost::msm::back::state_machine<Table> m_backEnd;
};

} // namespace yuccaspan::impl

/// \file
/// \brief Decides which requests an instance sends to a target, which wait and which are refused.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/outcome.hpp"
#include "yuccaspan/peer_message.hpp"
#include "yuccaspan/settings.hpp"
#include "yuccaspan/target_order.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace yuccaspan {

/// \brief A request that asks to be sent.
struct Ticket
{
    std::uint64_t id = 0; ///< Unique at this instance.
    double worth = 1; ///< Worth of the request.
    TimePoint deadline; ///< When its answer is due.
};

/// \brief What to do with a request.
enum class GateDecision {
    Send, ///< Send it now; a slot is taken.
    Wait, ///< It waits in the queue.
    Refuse, ///< Answer the caller with NotRun now.
};

/// \brief How a request that was sent ended.
enum class FinishKind {
    Answered, ///< The target answered.
    Refused, ///< The target said it did not run the request.
    Failed, ///< No answer, or no connection.
    Cancelled, ///< The caller went away, or the deadline passed.
};

/// \brief A decision and, with Refuse, its reason.
struct GateAnswer
{
    GateDecision decision = GateDecision::Refuse; ///< The decision.
    Reason reason = Reason::QueueFull; ///< With Refuse: why.
};

/// \brief A waiting request that is refused.
struct RefusedTicket
{
    std::uint64_t id = 0; ///< Its id.
    Reason reason = Reason::QueueFull; ///< Why.
};

/// \brief Waiting requests that are decided now.
struct GateRelease
{
    std::vector<std::uint64_t> send; ///< To be sent now; a slot is taken for each.
    std::vector<RefusedTicket> refuse; ///< To be answered with NotRun.
};

/// \brief Admission to one target at one instance. Does no input or output; not thread-safe.
class TargetGate
{
public:
    TargetGate() = default;
    TargetGate(const TargetGate &) = delete;
    TargetGate &operator=(const TargetGate &) = delete;
    virtual ~TargetGate() = default;

    /// \name Requests
    /// @{
    /// \brief A request asks to be sent.
    [[nodiscard]] virtual GateAnswer arrive(const Ticket &ticket, TimePoint now) = 0;
    /// \brief A sent request ended; its slot is free.
    /// \param id The request.
    /// \param kind How it ended.
    /// \param latency From sending to the end.
    /// \param now The current time.
    [[nodiscard]] virtual GateRelease finished(std::uint64_t id, FinishKind kind, Duration latency,
                                               TimePoint now) = 0;
    /// \brief A waiting request is no longer wanted.
    virtual void withdrawn(std::uint64_t id) = 0;
    /// \brief Time has passed: refuses overdue requests, sends what has become possible.
    [[nodiscard]] virtual GateRelease tick(TimePoint now) = 0;
    /// @}

    /// \name Limits
    /// @{
    /// \brief Sets the share of the target's capacity; past `validUntil` a safe floor applies.
    virtual void setShare(const CapacityShare &share, TimePoint validUntil) = 0;
    /// \brief The target showed its start id and state, in an answer or a probe.
    virtual void sawTarget(const std::string &startId, TargetState state, TimePoint now) = 0;
    /// \brief Puts changed settings in force.
    virtual void setTarget(const TargetSettings &target, const ServiceSettings &service) = 0;
    /// @}

    /// \name Measurements
    /// @{
    /// \brief Requests at the target now.
    [[nodiscard]] virtual std::uint32_t running() const noexcept = 0;
    /// \brief Requests waiting now.
    [[nodiscard]] virtual std::uint32_t waiting() const noexcept = 0;
    /// \brief Requests that may be at the target at once, at this moment.
    [[nodiscard]] virtual double allowance(TimePoint now) const noexcept = 0;
    /// \brief Whether the target is taken to be starting, so that less than the share is used.
    [[nodiscard]] virtual bool isCold() const noexcept = 0;
    /// \brief What is reported to the placer.
    [[nodiscard]] virtual TargetObservation observe(TimePoint now) = 0;
    /// @}
};

/// \brief Creates the gate of one target.
/// \param target The target.
/// \param service Its service.
/// \param instances Number of live instances, for the floor without a share; at least 1.
[[nodiscard]] std::unique_ptr<TargetGate> makeTargetGate(const TargetSettings &target,
                                                         const ServiceSettings &service,
                                                         std::uint32_t instances);

/// \brief Bounds repeats to a share of first tries.
class RepeatBudget
{
public:
    /// \brief Creates a budget.
    /// \param share Repeats per first try, 0 to 1.
    explicit RepeatBudget(double share) noexcept : m_share(share) { }
    /// \brief A request was sent for the first time.
    void firstTry() noexcept;
    /// \brief Takes one repeat from the budget.
    /// \returns Whether the repeat is allowed.
    [[nodiscard]] bool takeRepeat() noexcept;

private:
    double m_share;
    double m_tokens = 1;
};

} // namespace yuccaspan

/// \file
/// \brief Admission control: decides which requests to a target are sent, queued or rejected.
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

/// \brief A request that asks for admission.
struct Ticket
{
    std::uint64_t id = 0; ///< Request id, unique within this instance.
    double worth = 1; ///< Worth of the request; higher goes first.
    TimePoint deadline; ///< Deadline of its answer.
};

/// \brief Admission decision for a request.
enum class GateDecision {
    Send, ///< Send it now; a slot is taken.
    Wait, ///< Queue it.
    Refuse, ///< Answer the caller with NotRun now.
};

/// \brief How a sent request ended.
enum class FinishKind {
    Answered, ///< The target answered.
    Refused, ///< The target said it did not run the request.
    Failed, ///< No answer, or no connection.
    Cancelled, ///< The caller went away, or the deadline passed.
};

/// \brief An admission decision and, for Refuse, its reason.
struct GateAnswer
{
    GateDecision decision = GateDecision::Refuse; ///< The decision.
    Reason reason = Reason::QueueFull; ///< Reason; set for Refuse only.
};

/// \brief A queued request that is rejected.
struct RefusedTicket
{
    std::uint64_t id = 0; ///< Request id.
    Reason reason = Reason::QueueFull; ///< Reason for the rejection.
};

/// \brief Queued requests that leave the queue now.
struct GateRelease
{
    std::vector<std::uint64_t> send; ///< Send now; each holds a slot.
    std::vector<RefusedTicket> refuse; ///< Answer with NotRun.
};

/// \brief Admission control for one target at one instance. Does no I/O; not thread-safe.
class TargetGate
{
public:
    TargetGate() = default;
    TargetGate(const TargetGate &) = delete;
    TargetGate &operator=(const TargetGate &) = delete;
    virtual ~TargetGate() = default;

    /// \name Requests
    /// @{
    /// \brief Decides on a new request.
    [[nodiscard]] virtual GateAnswer arrive(const Ticket &ticket, TimePoint now) = 0;
    /// \brief Releases the slot of a sent request that ended.
    /// \param id Request id.
    /// \param kind How it ended.
    /// \param latency Time from sending to the end.
    /// \param now The current time.
    [[nodiscard]] virtual GateRelease finished(std::uint64_t id, FinishKind kind, Duration latency,
                                               TimePoint now) = 0;
    /// \brief Removes a queued request, for example when its caller disconnected.
    virtual void withdrawn(std::uint64_t id) = 0;
    /// \brief Rejects overdue requests and releases those for which a slot is free.
    [[nodiscard]] virtual GateRelease tick(TimePoint now) = 0;
    /// @}

    /// \name Limits
    /// @{
    /// \brief Sets this instance's share of the target's capacity; a safe floor applies after
    /// `validUntil`.
    virtual void setShare(const CapacityShare &share, TimePoint validUntil) = 0;
    /// \brief Records the start id and state that the target reported in an answer or a probe.
    virtual void recordTargetState(const std::string &startId, TargetState state,
                                   TimePoint now) = 0;
    /// \brief Applies changed settings.
    virtual void setTarget(const TargetSettings &target, const ServiceSettings &service) = 0;
    /// @}

    /// \name Measurements
    /// @{
    /// \brief Number of requests in flight at the target.
    [[nodiscard]] virtual std::uint32_t running() const noexcept = 0;
    /// \brief Number of queued requests.
    [[nodiscard]] virtual std::uint32_t waiting() const noexcept = 0;
    /// \brief Current limit on concurrent requests at the target.
    [[nodiscard]] virtual double allowance(TimePoint now) const noexcept = 0;
    /// \brief Whether the target counts as cold, so that only part of the share is used.
    [[nodiscard]] virtual bool isCold() const noexcept = 0;
    /// \brief The observation that is reported to the placer.
    [[nodiscard]] virtual TargetObservation observe(TimePoint now) = 0;
    /// @}
};

/// \brief Creates the admission gate of one target.
/// \param target The target.
/// \param service Its service.
/// \param instances Number of live instances, at least 1; sets the floor that applies without a
/// share.
[[nodiscard]] std::unique_ptr<TargetGate> makeTargetGate(const TargetSettings &target,
                                                         const ServiceSettings &service,
                                                         std::uint32_t instances);

/// \brief Limits repeats to a fraction of first attempts.
class RepeatBudget
{
public:
    /// \brief Creates a budget.
    /// \param share Repeats allowed per first attempt, 0 to 1.
    explicit RepeatBudget(double share) noexcept : m_share(share) { }
    /// \brief Records the first attempt of a request.
    void recordFirstAttempt() noexcept;
    /// \brief Consumes one repeat from the budget.
    /// \returns Whether the repeat is allowed.
    [[nodiscard]] bool tryConsumeRepeat() noexcept;

private:
    double m_share;
    double m_tokens = 1;
};

} // namespace yuccaspan

#include "admission/cold_limiter.hpp"
#include "admission/concurrency_limit.hpp"
#include "admission/latency_estimator.hpp"
#include "admission/slot_time_budget.hpp"
#include "admission/ticket_queue.hpp"

#include "yuccaspan/admission.hpp"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace yuccaspan {

namespace impl {

namespace {
/// Rounding tolerance: sums of fractions can miss a whole slot by a little either way.
constexpr double roundingSlack = 1e-6;
/// Time without requests after which the measured current latency is stale.
constexpr Duration latencyStaleAfter = std::chrono::seconds(3);
/// Weight of a sample in the average number of requests in flight and queued.
constexpr double demandWeight = 0.05;
} // namespace

/// \brief The gate of one target; combines its queue, share, cold limit and latency limit.
class Gate final : public TargetGate
{
public:
    Gate(const TargetSettings &target, const ServiceSettings &service, std::uint32_t instances)
        : m_instances(std::max(1U, instances))
    {
        Gate::setTarget(target, service);
    }

    [[nodiscard]] GateAnswer arrive(const Ticket &ticket, TimePoint now) override;
    [[nodiscard]] GateRelease finished(std::uint64_t id, FinishKind kind, Duration latency,
                                       TimePoint now) override;
    void withdrawn(std::uint64_t id) override { m_queue.erase(id); }
    [[nodiscard]] GateRelease tick(TimePoint now) override;
    void setShare(const CapacityShare &share, TimePoint validUntil) override;
    void recordTargetState(const std::string &startId, TargetState state, TimePoint now) override;
    void setTarget(const TargetSettings &target, const ServiceSettings &service) override;
    [[nodiscard]] std::uint32_t running() const noexcept override;
    [[nodiscard]] std::uint32_t waiting() const noexcept override;
    [[nodiscard]] double allowance(TimePoint now) const noexcept override;
    [[nodiscard]] bool isCold() const noexcept override { return m_cold.isCold(); }
    [[nodiscard]] TargetObservation observe(TimePoint now) override;

private:
    [[nodiscard]] double floorSlots() const noexcept;
    [[nodiscard]] double shareSlots(TimePoint now) const noexcept;
    [[nodiscard]] std::uint32_t coldLimit(TimePoint now) const noexcept;
    [[nodiscard]] std::uint32_t limit(TimePoint now) const noexcept;
    [[nodiscard]] bool maySend(TimePoint now) noexcept;
    [[nodiscard]] Duration expectedWait(const Ticket &ticket, TimePoint now) const noexcept;
    [[nodiscard]] GateAnswer enqueue(const Ticket &ticket);
    [[nodiscard]] Duration oldestAge(TimePoint now) const noexcept;
    void recordOutcome(FinishKind kind, Duration latency, TimePoint now);
    void acquireSlot(std::uint64_t id, TimePoint now);
    void updateDemand() noexcept;
    [[nodiscard]] GateRelease release(TimePoint now);

    TargetId m_target;
    std::uint32_t m_instances;
    std::uint32_t m_slots = 1;
    std::uint32_t m_queueLimit = 0;
    CapacityShare m_share;
    TimePoint m_shareValidUntil;
    TicketQueue m_queue;
    std::unordered_map<std::uint64_t, TimePoint> m_running;
    std::vector<RefusedTicket> m_displaced;
    ColdLimiter m_cold;
    LatencyEstimator m_latency;
    ConcurrencyLimit m_concurrency;
    SlotTimeBudget m_slotTime;
    TimePoint m_lastUsed; ///< Time when a request was last sent or ended.
    double m_demand = 0;
    std::uint32_t m_consecutiveFailures = 0;
};

GateAnswer Gate::arrive(const Ticket &ticket, TimePoint now)
{
    if (ticket.deadline <= now)
        return {GateDecision::Refuse, Reason::WouldMissDeadline};
    if (m_queue.empty() && maySend(now)) {
        acquireSlot(ticket.id, now);
        updateDemand();
        return {GateDecision::Send, Reason::Answered};
    }
    if (now + expectedWait(ticket, now) > ticket.deadline)
        return {GateDecision::Refuse,
                m_cold.isCold() ? Reason::TargetCold : Reason::WouldMissDeadline};
    return enqueue(ticket);
}

bool Gate::maySend(TimePoint now) noexcept
{
    m_slotTime.accrue(shareSlots(now), m_latency.baseline(), now);
    const bool paced = now >= m_shareValidUntil && floorSlots() < 1;
    return running() < limit(now) && (!paced || m_slotTime.allows());
}

GateAnswer Gate::enqueue(const Ticket &ticket)
{
    if (m_queue.size() >= m_queueLimit) {
        if (!m_queue.isBeforeLast(ticket))
            return {GateDecision::Refuse, Reason::QueueFull};
        m_displaced.push_back({m_queue.popLast().id, Reason::QueueFull});
    }
    m_queue.push(ticket);
    updateDemand();
    return {GateDecision::Wait, Reason::Answered};
}

void Gate::acquireSlot(std::uint64_t id, TimePoint now)
{
    // The current latency measured before a long idle period is stale.
    if (m_running.empty() && now - m_lastUsed > latencyStaleAfter)
        m_latency.restart();
    m_running.emplace(id, now);
    m_lastUsed = now;
}

GateRelease Gate::finished(std::uint64_t id, FinishKind kind, Duration latency, TimePoint now)
{
    if (m_running.erase(id) != 0) {
        m_slotTime.spend(latency);
        m_lastUsed = now;
        recordOutcome(kind, latency, now);
    }
    return release(now);
}

void Gate::recordOutcome(FinishKind kind, Duration latency, TimePoint now)
{
    switch (kind) {
    case FinishKind::Answered:
        m_consecutiveFailures = 0;
        if (m_cold.isCold() && m_latency.isOutlier(latency))
            m_cold.recordFailure(now);
        else
            m_cold.recordSuccess(now);
        m_concurrency.answered(latency, m_latency.baseline());
        m_latency.answered(latency);
        break;
    case FinishKind::Refused:
        m_consecutiveFailures = 0;
        m_concurrency.recordFailure();
        m_cold.recordFailure(now);
        break;
    case FinishKind::Failed:
        ++m_consecutiveFailures;
        m_concurrency.recordFailure();
        m_cold.recordFailure(now);
        break;
    case FinishKind::Cancelled:
        break;
    }
}

GateRelease Gate::tick(TimePoint now)
{
    updateDemand();
    return release(now);
}

GateRelease Gate::release(TimePoint now)
{
    GateRelease result;
    result.refuse = std::exchange(m_displaced, {});
    const Reason reason = m_cold.isCold() ? Reason::TargetCold : Reason::WouldMissDeadline;
    for (const Ticket &ticket : m_queue.popDueBefore(now + m_latency.baseline()))
        result.refuse.push_back({ticket.id, reason});
    while (!m_queue.empty() && maySend(now)) {
        const Ticket ticket = m_queue.popFirst();
        acquireSlot(ticket.id, now);
        result.send.push_back(ticket.id);
    }
    return result;
}

void Gate::setShare(const CapacityShare &share, TimePoint validUntil)
{
    m_share = share;
    m_shareValidUntil = validUntil;
}

void Gate::recordTargetState(const std::string &startId, TargetState state, TimePoint now)
{
    if (m_cold.recordTargetState(startId, state, now)) {
        m_concurrency.recordFailure();
        m_latency.restart();
    }
}

void Gate::setTarget(const TargetSettings &target, const ServiceSettings &service)
{
    m_target = target.id;
    m_slots = std::max(1U, target.slots);
    m_queueLimit = service.queueLimit;
    m_cold.setColdAllowance(service.coldAllowance);
}

std::uint32_t Gate::running() const noexcept
{
    return static_cast<std::uint32_t>(m_running.size());
}

std::uint32_t Gate::waiting() const noexcept
{
    return static_cast<std::uint32_t>(m_queue.size());
}

double Gate::floorSlots() const noexcept
{
    return static_cast<double>(m_slots) / m_instances;
}

double Gate::shareSlots(TimePoint now) const noexcept
{
    return now < m_shareValidUntil ? std::min<double>(m_share.slots, m_slots) : floorSlots();
}

std::uint32_t Gate::coldLimit(TimePoint now) const noexcept
{
    const double whole = std::floor(shareSlots(now) * m_cold.fraction() + roundingSlack);
    const std::uint32_t alone = m_instances == 1 ? 1 : 0;
    const std::uint32_t designated = now < m_shareValidUntil ? m_share.coldSlots : alone;
    return std::max(static_cast<std::uint32_t>(whole), designated);
}

std::uint32_t Gate::limit(TimePoint now) const noexcept
{
    if (m_cold.isCold())
        return coldLimit(now);
    if (now >= m_shareValidUntil)
        return static_cast<std::uint32_t>(std::max(1.0, std::floor(floorSlots() + roundingSlack)));
    const double most = std::min<double>(shareSlots(now) * m_concurrency.factor(), m_slots);
    return static_cast<std::uint32_t>(std::max(1.0, std::ceil(most - roundingSlack)));
}

double Gate::allowance(TimePoint now) const noexcept
{
    return limit(now);
}

Duration Gate::expectedWait(const Ticket &ticket, TimePoint now) const noexcept
{
    const double ahead = static_cast<double>(m_queue.countBefore(ticket)) + 1;
    const double served = std::max(1.0, static_cast<double>(limit(now)));
    const auto current = static_cast<double>(m_latency.current().count());
    return Duration(static_cast<Duration::rep>(ahead / served * current)) + m_latency.baseline();
}

Duration Gate::oldestAge(TimePoint now) const noexcept
{
    Duration oldest{};
    for (const auto &[id, since] : m_running)
        oldest = std::max(oldest, now - since);
    return oldest;
}

void Gate::updateDemand() noexcept
{
    const double current = static_cast<double>(m_running.size() + m_queue.size());
    m_demand += demandWeight * (current - m_demand);
}

TargetObservation Gate::observe(TimePoint now)
{
    return {m_target, m_latency.slowdown(oldestAge(now)), m_demand, m_consecutiveFailures};
}

} // namespace impl

std::unique_ptr<TargetGate> makeTargetGate(const TargetSettings &target,
                                           const ServiceSettings &service, std::uint32_t instances)
{
    return std::make_unique<impl::Gate>(target, service, instances);
}

} // namespace yuccaspan

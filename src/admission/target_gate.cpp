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
/// Sums of fractions fall just short of, or just beyond, a whole slot.
constexpr double roundingSlack = 1e-6;
/// Time without requests after which the present latency is unknown.
constexpr Duration idleSpell = std::chrono::seconds(3);
/// Weight of a sample in the mean number of requests running and waiting.
constexpr double demandWeight = 0.05;
} // namespace

/// \brief The gate of one target, built from its filters: queue, share, cold limit, latency.
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
    void sawTarget(const std::string &startId, TargetState state, TimePoint now) override;
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
    void noteOutcome(FinishKind kind, Duration latency, TimePoint now);
    void takeSlot(std::uint64_t id, TimePoint now);
    void noteDemand() noexcept;
    [[nodiscard]] GateRelease release(TimePoint now);

    TargetId m_target;
    std::uint32_t m_instances;
    std::uint32_t m_slots = 1;
    std::uint32_t m_queueLimit = 0;
    CapacityShare m_share;
    TimePoint m_shareEnd;
    TicketQueue m_queue;
    std::unordered_map<std::uint64_t, TimePoint> m_running;
    std::vector<RefusedTicket> m_displaced;
    ColdLimiter m_cold;
    LatencyEstimator m_latency;
    ConcurrencyLimit m_concurrency;
    SlotTimeBudget m_slotTime;
    TimePoint m_lastUsed; ///< When a request was sent or ended last.
    double m_demand = 0;
    std::uint32_t m_failuresInARow = 0;
};

GateAnswer Gate::arrive(const Ticket &ticket, TimePoint now)
{
    if (ticket.deadline <= now)
        return {GateDecision::Refuse, Reason::WouldMissDeadline};
    if (m_queue.empty() && maySend(now)) {
        takeSlot(ticket.id, now);
        noteDemand();
        return {GateDecision::Send, Reason::Answered};
    }
    if (now + expectedWait(ticket, now) > ticket.deadline)
        return {GateDecision::Refuse,
                m_cold.isCold() ? Reason::TargetCold : Reason::WouldMissDeadline};
    return enqueue(ticket);
}

bool Gate::maySend(TimePoint now) noexcept
{
    m_slotTime.earn(shareSlots(now), m_latency.usual(), now);
    const bool paced = now >= m_shareEnd && floorSlots() < 1;
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
    noteDemand();
    return {GateDecision::Wait, Reason::Answered};
}

void Gate::takeSlot(std::uint64_t id, TimePoint now)
{
    // What was measured before a long idle spell says nothing of the target's present latency.
    if (m_running.empty() && now - m_lastUsed > idleSpell)
        m_latency.restart();
    m_running.emplace(id, now);
    m_lastUsed = now;
}

GateRelease Gate::finished(std::uint64_t id, FinishKind kind, Duration latency, TimePoint now)
{
    if (m_running.erase(id) != 0) {
        m_slotTime.spend(latency);
        m_lastUsed = now;
        noteOutcome(kind, latency, now);
    }
    return release(now);
}

void Gate::noteOutcome(FinishKind kind, Duration latency, TimePoint now)
{
    switch (kind) {
    case FinishKind::Answered:
        m_failuresInARow = 0;
        if (m_cold.isCold() && m_latency.isOutlier(latency))
            m_cold.trouble(now);
        else
            m_cold.answeredInTime(now);
        m_concurrency.answered(latency, m_latency.usual());
        m_latency.answered(latency);
        break;
    case FinishKind::Refused:
        m_failuresInARow = 0;
        m_concurrency.trouble();
        m_cold.trouble(now);
        break;
    case FinishKind::Failed:
        ++m_failuresInARow;
        m_concurrency.trouble();
        m_cold.trouble(now);
        break;
    case FinishKind::Cancelled:
        break;
    }
}

GateRelease Gate::tick(TimePoint now)
{
    noteDemand();
    return release(now);
}

GateRelease Gate::release(TimePoint now)
{
    GateRelease result;
    result.refuse = std::exchange(m_displaced, {});
    const Reason reason = m_cold.isCold() ? Reason::TargetCold : Reason::WouldMissDeadline;
    for (const Ticket &ticket : m_queue.popDueBefore(now + m_latency.usual()))
        result.refuse.push_back({ticket.id, reason});
    while (!m_queue.empty() && maySend(now)) {
        const Ticket ticket = m_queue.popFirst();
        takeSlot(ticket.id, now);
        result.send.push_back(ticket.id);
    }
    return result;
}

void Gate::setShare(const CapacityShare &share, TimePoint validUntil)
{
    m_share = share;
    m_shareEnd = validUntil;
}

void Gate::sawTarget(const std::string &startId, TargetState state, TimePoint now)
{
    if (m_cold.sawTarget(startId, state, now)) {
        m_concurrency.trouble();
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
    return now < m_shareEnd ? std::min<double>(m_share.slots, m_slots) : floorSlots();
}

std::uint32_t Gate::coldLimit(TimePoint now) const noexcept
{
    const double whole = std::floor(shareSlots(now) * m_cold.fraction() + roundingSlack);
    const std::uint32_t alone = m_instances == 1 ? 1 : 0;
    const std::uint32_t designated = now < m_shareEnd ? m_share.coldSlots : alone;
    return std::max(static_cast<std::uint32_t>(whole), designated);
}

std::uint32_t Gate::limit(TimePoint now) const noexcept
{
    if (m_cold.isCold())
        return coldLimit(now);
    if (now >= m_shareEnd)
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
    const auto present = static_cast<double>(m_latency.present().count());
    return Duration(static_cast<Duration::rep>(ahead / served * present)) + m_latency.usual();
}

Duration Gate::oldestAge(TimePoint now) const noexcept
{
    Duration oldest{};
    for (const auto &[id, since] : m_running)
        oldest = std::max(oldest, now - since);
    return oldest;
}

void Gate::noteDemand() noexcept
{
    const double present = static_cast<double>(m_running.size() + m_queue.size());
    m_demand += demandWeight * (present - m_demand);
}

TargetObservation Gate::observe(TimePoint now)
{
    return {m_target, m_latency.slowdown(oldestAge(now)), m_demand, m_failuresInARow};
}

} // namespace impl

std::unique_ptr<TargetGate> makeTargetGate(const TargetSettings &target,
                                           const ServiceSettings &service, std::uint32_t instances)
{
    return std::make_unique<impl::Gate>(target, service, instances);
}

} // namespace yuccaspan

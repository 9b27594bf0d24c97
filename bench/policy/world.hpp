/// \file
/// \brief The event-driven surroundings in which a routing policy is measured.
#pragma once

#include "common/event_queue.hpp"
#include "common/random.hpp"
#include "fake_target.hpp"
#include "key_load.hpp"
#include "measures.hpp"
#include "routing_policy.hpp"
#include "scenario.hpp"
#include "shape.hpp"

#include <memory>
#include <vector>

namespace yuccaspan::bench {

/// \brief Simulated callers, entry instances, links and targets.
class World final : public PolicyHost
{
public:
    /// \brief Sets up a run.
    World(const Shape &shape, const Scenario &scenario, std::uint64_t seed);

    /// \brief Runs the scenario under a policy.
    [[nodiscard]] RunRecord run(RoutingPolicy &policy);

    /// \name PolicyHost
    /// @{
    [[nodiscard]] TimePoint now() const noexcept override { return m_clock.now(); }
    [[nodiscard]] const Shape &shape() const noexcept override { return m_shape; }
    [[nodiscard]] SimRequest &request(std::uint64_t id) override { return m_requests[id]; }
    [[nodiscard]] const std::vector<FakeTarget> &targets() const noexcept override
    {
        return m_targets;
    }
    [[nodiscard]] const std::vector<SimEntry> &entries() const noexcept override
    {
        return m_entries;
    }
    [[nodiscard]] const std::vector<bool> &zonesOut() const noexcept override { return m_zoneOut; }
    [[nodiscard]] bool reachable(std::uint32_t zone, std::uint32_t other) const noexcept override;
    [[nodiscard]] Duration link(std::uint32_t zone, std::uint32_t other) const noexcept override;
    void send(std::uint64_t id, std::uint32_t target, bool newConnection) override;
    void complete(std::uint64_t id, Outcome outcome) override;
    void grantTarget(std::uint32_t target) override;
    void callPolicyAt(TimePoint at, std::uint64_t tag) override;
    void noteMove(KeyRange range, bool planned, Duration closed) override;
    [[nodiscard]] Random &random() override { return m_policyRandom; }
    /// @}

    /// \name Faults, used by scenarios
    /// @{
    [[nodiscard]] std::vector<FakeTarget> &mutableTargets() noexcept { return m_targets; }
    [[nodiscard]] KeyLoad &keyLoad() noexcept { return m_keys; }
    [[nodiscard]] Random &faultRandom() noexcept { return m_faultRandom; }
    void setLoadFactor(double factor) noexcept { m_loadFactor = factor; }
    void stopTarget(std::uint32_t target);
    void startTarget(std::uint32_t target, bool saysWarm);
    void setZoneOut(std::uint32_t zone, bool out);
    void setZoneCut(std::uint32_t zone, bool cut) { m_zoneCut[zone] = cut; }
    void freezeEntry(std::uint32_t entry, Duration span);
    void replaceConnections();
    /// \brief Marks the keys that a target owns now, for separate quantiles.
    void markKeysOf(std::uint32_t target);
    /// @}

private:
    void handle(const TimedEvent<WorldEvent> &event);
    void applyFault(const Fault &fault);
    void arrive();
    void deliver(std::uint64_t id);
    void atTarget(std::uint64_t id, std::uint32_t attempt);
    void startWork(FakeTarget &target, const Work &work);
    void workDone(std::uint32_t target, std::uint64_t token);
    void cancelAt(std::uint64_t id);
    void fillSlots(FakeTarget &target);
    /// \param accepted Whether the target took the request before its connection ended.
    void reply(std::uint64_t id, std::uint32_t attempt, FinishKind kind, bool accepted);
    void deliverReply(std::uint64_t id, std::uint64_t detail);
    void deadline(std::uint64_t id);
    void probe(std::uint32_t target);
    void endSecond();
    void noteColdLoad(FakeTarget &target);
    [[nodiscard]] double possibleWorth() const;
    [[nodiscard]] std::vector<TargetLoad> targetLoads() const;
    void thaw(std::uint32_t index, bool ends);
    void schedulePeriodic();

    const Shape &m_shape;
    const Scenario &m_scenario;
    ManualClock m_clock;
    TimePoint m_start;
    EventQueue<WorldEvent> m_events;
    Random m_loadRandom;
    Random m_serviceRandom;
    Random m_policyRandom;
    Random m_faultRandom;
    KeyLoad m_keys;
    double m_loadFactor = 1;
    std::vector<FakeTarget> m_targets;
    std::vector<SimEntry> m_entries;
    std::vector<bool> m_zoneOut;
    std::vector<TimePoint> m_zoneOutSince;
    std::vector<bool> m_zoneCut;
    std::vector<SimRequest> m_requests;
    std::vector<bool> m_marked; ///< By key.
    std::vector<std::uint32_t> m_secondLatencies;
    SecondRecord m_second;
    RunRecord m_record;
    RoutingPolicy *m_policy = nullptr;
    std::uint64_t m_workTokens = 0;
};

} // namespace yuccaspan::bench

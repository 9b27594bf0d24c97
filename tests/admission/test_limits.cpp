#include "yuccaspan/yuccaspan.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

namespace yuccaspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The gates of all instances for one target, with shares as the placer assigns them.
class GateGroup
{
public:
    GateGroup(std::uint32_t slots, std::uint32_t instances)
    {
        m_target.id = TargetId("t");
        m_target.slots = slots;
        for (std::uint32_t index = 0; index < instances; ++index)
            gates.push_back(makeTargetGate(m_target, m_service, instances));
        renewShares();
    }
    void renewShares()
    {
        std::map<InstanceId, double> demand;
        for (std::size_t index = 0; index < gates.size(); ++index)
            demand[InstanceId(std::to_string(index))] = 1;
        std::size_t index = 0;
        for (const auto &[instance, share] : shareCapacity(m_target, demand))
            gates[index++]->setShare(share, clock.now() + seconds(1));
    }
    void reportState(const char *startId, TargetState state)
    {
        for (const auto &gate : gates)
            gate->recordTargetState(startId, state, clock.now());
    }
    /// Sends as many requests as every gate admits; returns their total number.
    std::uint32_t sendAll()
    {
        std::uint32_t sum = 0;
        for (const auto &gate : gates) {
            for (int request = 0; request < 20; ++request)
                static_cast<void>(
                    gate->arrive({m_next++, 1, clock.now() + seconds(60)}, clock.now()));
            sum += gate->running();
        }
        return sum;
    }

    ManualClock clock;
    std::vector<std::unique_ptr<TargetGate>> gates;

private:
    TargetSettings m_target;
    ServiceSettings m_service;
    std::uint64_t m_next = 1;
};

TEST(ColdLimit, instancesTogetherSendOneRequestToARestartedTarget)
{
    for (const std::uint32_t slots : {2U, 6U}) {
        GateGroup group(slots, 5);
        group.reportState("1", TargetState::Warm);
        group.reportState("2", TargetState::Warm); // a new start that reports warm
        EXPECT_EQ(group.sendAll(), 1U);
    }
}

RC_GTEST_PROP(ColdLimit, neverExceedsTheCapacityOfAStartingTarget, ())
{
    const auto slots = *rc::gen::inRange<std::uint32_t>(1, 12);
    GateGroup group(slots, *rc::gen::inRange<std::uint32_t>(1, 7));
    group.reportState("1", TargetState::Warm);
    group.reportState("2", TargetState::Cold);
    // The target can handle a tenth of its slots at first and all after 8 s, but at least one.
    constexpr int steps = 80;
    for (int step = 0; step < steps; ++step) {
        const double part = 0.1 + 0.9 * step / steps;
        const auto capacity = std::max(1U, static_cast<std::uint32_t>(std::floor(slots * part)));
        RC_ASSERT(group.sendAll() <= capacity);
        group.clock.advance(milliseconds(100));
        group.renewShares();
        group.reportState("2", *rc::gen::element(TargetState::Cold, TargetState::Warm));
    }
}

TEST(ColdLimit, dropsToOneRequestAfterARejection)
{
    GateGroup group(6, 1);
    group.reportState("1", TargetState::Warm);
    ASSERT_EQ(
        group.gates[0]->arrive({1, 1, group.clock.now() + seconds(9)}, group.clock.now()).decision,
        GateDecision::Send);
    static_cast<void>(
        group.gates[0]->finished(1, FinishKind::Refused, milliseconds(1), group.clock.now()));
    EXPECT_EQ(group.gates[0]->allowance(group.clock.now()), 1);
    group.reportState("1", TargetState::Warm); // same start id, so the target was not cold
    EXPECT_GE(group.gates[0]->allowance(group.clock.now()), 6);
}

TEST(Share, floorsStayWithinTheTargetsSlotsAfterSharesExpire)
{
    GateGroup group(6, 4);
    group.clock.advance(seconds(2));
    EXPECT_LE(group.sendAll(), 6U);
}

TEST(Share, pacesRequestsWhenTheFloorIsBelowOneSlot)
{
    // Two slots for five instances: each may use a slot for two fifths of the time.
    GateGroup group(2, 5);
    TargetGate &gate = *group.gates[0];
    for (std::uint64_t id = 1; id <= 20; ++id) {
        static_cast<void>(gate.arrive({id, 1, group.clock.now() + seconds(9)}, group.clock.now()));
        group.clock.advance(milliseconds(10));
        static_cast<void>(
            gate.finished(id, FinishKind::Answered, milliseconds(10), group.clock.now()));
    }
    group.clock.advance(seconds(2)); // the share expires
    Duration held{};
    std::uint64_t sent = 0;
    constexpr int steps = 1000;
    std::uint64_t running = 0;
    for (int step = 0; step < steps; ++step) {
        const std::uint64_t id = 1000U + static_cast<std::uint64_t>(step);
        GateRelease release = gate.tick(group.clock.now());
        if (running == 0
            && gate.arrive({id, 1, group.clock.now() + milliseconds(500)}, group.clock.now())
                    .decision
                == GateDecision::Send)
            release.send.push_back(id);
        sent += release.send.size();
        running = release.send.empty() ? 0 : release.send.front();
        group.clock.advance(milliseconds(10));
        if (running == 0)
            continue;
        held += milliseconds(10);
        const GateRelease next =
            gate.finished(running, FinishKind::Answered, milliseconds(10), group.clock.now());
        running = next.send.empty() ? 0 : next.send.front();
        if (running != 0) {
            group.clock.advance(milliseconds(10));
            held += milliseconds(10);
            static_cast<void>(
                gate.finished(running, FinishKind::Cancelled, milliseconds(10), group.clock.now()));
            running = 0;
        }
    }
    EXPECT_GT(sent, 100U);
    EXPECT_LE(held, milliseconds(10) * steps * 45 / 100);
}

RC_GTEST_PROP(RepeatBudget, neverAllowsMoreThanItsShareAndOneExtraRepeat, ())
{
    const double share = *rc::gen::inRange(0, 11) / 10.0;
    RepeatBudget budget(share);
    double first = 0;
    double repeats = 0;
    for (const bool isFirst : *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>())) {
        if (isFirst) {
            budget.recordFirstAttempt();
            ++first;
        } else {
            repeats += budget.tryConsumeRepeat() ? 1 : 0;
        }
        RC_ASSERT(repeats <= share * first + 1 + 1e-6);
    }
}

RC_GTEST_PROP(Gate, decidesEveryRequestExactlyOnceWithABoundedQueue, ())
{
    TargetSettings target;
    target.slots = *rc::gen::inRange<std::uint32_t>(1, 4);
    ServiceSettings service;
    service.queueLimit = 5;
    ManualClock clock;
    const auto gate = makeTargetGate(target, service, 2);
    std::map<std::uint64_t, int> decisions;
    std::vector<std::uint64_t> running;
    const auto note = [&](const GateRelease &release) {
        for (const std::uint64_t id : release.send) {
            ++decisions[id];
            running.push_back(id);
        }
        for (const RefusedTicket &refused : release.refuse)
            ++decisions[refused.id];
    };
    for (std::uint64_t id = 1; id <= 60; ++id) {
        clock.advance(milliseconds(*rc::gen::inRange(0, 20)));
        const double worth = *rc::gen::inRange(1, 4);
        const auto due = clock.now() + milliseconds(*rc::gen::inRange(1, 200));
        const GateAnswer answer = gate->arrive({id, worth, due}, clock.now());
        if (answer.decision == GateDecision::Send)
            note({{id}, {}});
        if (answer.decision == GateDecision::Refuse)
            note({{}, {{id, answer.reason}}});
        RC_ASSERT(gate->waiting() <= service.queueLimit);
        RC_ASSERT(gate->running() <= target.slots);
        if (!running.empty() && *rc::gen::arbitrary<bool>()) {
            const std::uint64_t done = running.back();
            running.pop_back();
            note(gate->finished(done, FinishKind::Answered, milliseconds(5), clock.now()));
        }
        note(gate->tick(clock.now()));
    }
    clock.advance(seconds(1));
    note(gate->tick(clock.now()));
    for (std::uint64_t id = 1; id <= 60; ++id)
        RC_ASSERT(decisions[id] == 1);
}

} // namespace
} // namespace yuccaspan

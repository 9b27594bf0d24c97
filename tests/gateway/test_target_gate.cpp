#include "gateway/repeat_budget.hpp"
#include "gateway/target_gate.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint start{seconds(100)};

TEST(TargetGate, aSingleInstanceUsesAllSlots)
{
    TargetGate gate;
    gate.configure(6, {1, 0});
    int sent = 0;
    while (gate.permit(start, false).allowed() && sent < 100) {
        gate.started(start, false);
        ++sent;
    }
    EXPECT_GE(sent, 6);
    EXPECT_LE(sent, 9);
}

/// Guards against overload of a small target by several instances at once: together they stay
/// within four thirds of its slots, so that not all of them queue there.
TEST(TargetGate, instancesShareASmallTarget)
{
    std::vector<TargetGate> gates(4);
    std::uint32_t atTarget = 0;
    for (TargetGate &gate : gates)
        gate.configure(6, {4, 0});
    for (int round = 0; round < 50; ++round) {
        for (TargetGate &gate : gates) {
            if (!gate.permit(start, false).allowed())
                continue;
            gate.started(start, false);
            ++atTarget;
        }
        for (TargetGate &gate : gates) {
            if (gate.inFlight() == 0)
                continue;
            --atTarget;
            gate.finished(AttemptResult::Answered,
                          LoadReport{std::min(atTarget, 6U), atTarget > 6 ? atTarget - 6 : 0, 6, 1},
                          start);
            if (gate.permit(start, false).allowed()) {
                gate.started(start, false);
                ++atTarget;
            }
        }
        ASSERT_LE(atTarget, 12U);
    }
    EXPECT_GE(atTarget, 6U);
}

TEST(TargetGate, pausesAfterTheTargetRejectedARequestAsFull)
{
    TargetGate gate;
    gate.configure(6, {1, 0});
    gate.started(start, false);
    gate.finished(AttemptResult::Shed, std::nullopt, start);
    EXPECT_FALSE(gate.permit(start, false).allowed());
    EXPECT_TRUE(gate.permit(start + milliseconds(50), false).allowed());
}

TEST(TargetGate, pausesLongerIfATargetWithFreeSlotsKeepsRejecting)
{
    TargetGate gate;
    gate.configure(6, {1, 0});
    const auto rejected = [&gate](TimePoint now, std::uint32_t running) {
        gate.started(now, false);
        gate.finished(AttemptResult::Shed, LoadReport{running, 0, 6, 1}, now);
        return gate.permit(now, false).until - now;
    };
    EXPECT_EQ(rejected(start, 0), milliseconds(40));
    EXPECT_EQ(rejected(start + seconds(1), 0), milliseconds(80));
    EXPECT_EQ(rejected(start + seconds(2), 0), milliseconds(160));
    EXPECT_EQ(rejected(start + seconds(3), 6), milliseconds(40)) << "a full one recovers soon";
    for (int more = 4; more < 40; more += 4)
        EXPECT_LE(rejected(start + seconds(more), 0), milliseconds(2560));
}

TEST(TargetGate, isSuspectAfterConsecutiveFailures)
{
    TargetGate gate;
    gate.configure(6, {1, 0});
    for (int failure = 0; failure < 3; ++failure) {
        EXPECT_NE(gate.permit(start, false).reason, HoldReason::Suspect);
        gate.started(start, false);
        gate.finished(AttemptResult::Failed, std::nullopt, start);
    }
    EXPECT_EQ(gate.permit(start, false).reason, HoldReason::Suspect);
    EXPECT_NE(gate.permit(start + seconds(1), false).reason, HoldReason::Suspect);
}

/// Guards against overload of cold targets: one with 11 requests a second gets at most 1.5 times
/// that and 5 more in any second, from all instances together.
TEST(TargetGate, limitsTheRateOfColdTargets)
{
    constexpr std::uint32_t instances = 4;
    constexpr double coldRate = 11;
    std::vector<TargetGate> gates(instances);
    for (std::uint32_t rank = 0; rank < instances; ++rank) {
        gates[rank].configure(6, {instances, rank});
        gates[rank].setColdLimit({coldRate * 1.1, coldRate * 1.5 + 5, seconds(1)}, seconds(3),
                                 "target");
    }
    std::vector<TimePoint> sent;
    for (TimePoint now = start; now < start + seconds(6); now += milliseconds(5)) {
        for (TargetGate &gate : gates) {
            if (!gate.permit(now, true).allowed())
                continue;
            gate.started(now, true);
            gate.finished(AttemptResult::Answered, std::nullopt, now);
            sent.push_back(now);
        }
    }
    for (const TimePoint &from : sent) {
        const auto inSecond = std::ranges::count_if(
            sent, [&](TimePoint at) { return at >= from && at < from + seconds(1); });
        ASSERT_LE(inSecond, coldRate * 1.5 + 5);
    }
    EXPECT_GE(sent.size(), 60U);
}

/// Guards against retry storms: when every request fails, all instances stay within the budget.
TEST(RepeatBudget, isSharedByAllInstances)
{
    constexpr std::uint32_t instances = 4;
    constexpr double ratio = 0.2;
    constexpr double slack = 56;
    std::vector<RepeatBudget> budgets(instances);
    for (RepeatBudget &budget : budgets)
        budget.configure(ratio, slack, instances);
    int requests = 0;
    int repeats = 0;
    for (int round = 0; round < 1000; ++round) {
        for (RepeatBudget &budget : budgets) {
            budget.first();
            ++requests;
            repeats += budget.take() ? 1 : 0;
            repeats += budget.take() ? 1 : 0;
        }
    }
    EXPECT_LE(repeats, ratio * requests + slack);
    EXPECT_GE(repeats, 0.1 * requests);
}

} // namespace

} // namespace yuccaspan::gateway

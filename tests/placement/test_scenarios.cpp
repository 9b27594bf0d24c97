// Single faults with the default timing; limits are in the virtual time of the cluster.
#include "cluster.hpp"

#include <gtest/gtest.h>

namespace yuccaspan::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration maxFailoverTime = seconds(2);

ClusterPlan faultFreePlan()
{
    ClusterPlan plan;
    plan.zones = 3;
    plan.instances = 5;
    plan.loss = 0;
    plan.policy = CutOffPolicy::Move;
    return plan;
}

CellId firstCell()
{
    return {ServiceName("s"), ZoneId("z0"), 0};
}

struct Scenario : testing::Test
{
    void waitUntilStable(Cluster &cluster)
    {
        ASSERT_TRUE(cluster.runUntilServing(seconds(20))) << cluster.trace();
        cluster.run(seconds(5));
        ASSERT_TRUE(cluster.isServing()) << cluster.trace();
    }

    void expectServedWithin(Cluster &cluster, Duration limit)
    {
        EXPECT_TRUE(cluster.runUntilServing(limit)) << cluster.trace();
        EXPECT_EQ(cluster.violation(), "") << cluster.trace();
    }
};

TEST_F(Scenario, LostTargetFailsOverWithinLimit)
{
    Cluster cluster(faultFreePlan());
    waitUntilStable(cluster);
    cluster.target(0).up = false;
    expectServedWithin(cluster, maxFailoverTime);
}

TEST_F(Scenario, LostPlacerAndTargetFailOverWithinLimit)
{
    Cluster cluster(faultFreePlan());
    waitUntilStable(cluster);
    cluster.kill(cluster.placerOf(firstCell()));
    cluster.target(0).up = false;
    expectServedWithin(cluster, maxFailoverTime);
}

TEST_F(Scenario, LostZoneFailsOverWithinLimit)
{
    Cluster cluster(faultFreePlan());
    waitUntilStable(cluster);
    cluster.kill(0);
    cluster.kill(3);
    cluster.target(0).up = false;
    cluster.target(1).up = false;
    expectServedWithin(cluster, maxFailoverTime);
}

TEST_F(Scenario, LostPlacerDoesNotInterruptService)
{
    Cluster cluster(faultFreePlan());
    waitUntilStable(cluster);
    cluster.kill(cluster.placerOf(firstCell()));
    for (int step = 0; step < 30; ++step) {
        cluster.run(milliseconds(100));
        std::string reason;
        EXPECT_TRUE(cluster.isServing(&reason)) << reason << "\n" << cluster.trace();
    }
}

TEST_F(Scenario, HealthyClusterServesWithoutTheStore)
{
    Cluster cluster(faultFreePlan());
    waitUntilStable(cluster);
    const std::uint64_t writes = cluster.storeWrites();
    const std::uint64_t reads = cluster.storeReads();
    cluster.setStoreUp(false);
    for (int step = 0; step < 60; ++step) {
        cluster.run(seconds(1));
        ASSERT_TRUE(cluster.isServing()) << cluster.trace();
    }
    EXPECT_EQ(cluster.storeWrites(), writes);
    EXPECT_EQ(cluster.storeReads(), reads);
}

TEST_F(Scenario, InstanceLossDuringStoreOutageKeepsThePlacer)
{
    Cluster cluster(faultFreePlan());
    waitUntilStable(cluster);
    const int placer = cluster.placerOf(firstCell());
    cluster.setStoreUp(false);
    cluster.kill((placer + 1) % 5);
    for (int step = 0; step < 30; ++step) {
        cluster.run(seconds(1));
        EXPECT_EQ(cluster.placerOf(firstCell()), placer) << cluster.trace();
    }
    cluster.setStoreUp(true);
    expectServedWithin(cluster, seconds(10));
}

TEST_F(Scenario, LeavingPlacerHandsOverWithoutInterruption)
{
    Cluster cluster(faultFreePlan());
    waitUntilStable(cluster);
    const int placer = cluster.placerOf(firstCell());
    cluster.leave(placer);
    for (int step = 0; step < 40; ++step) {
        cluster.run(milliseconds(100));
        EXPECT_TRUE(cluster.isServing()) << cluster.trace();
    }
    EXPECT_TRUE(cluster.mayStop(placer)) << cluster.trace();
    EXPECT_NE(cluster.placerOf(firstCell()), placer);
    cluster.kill(placer);
    cluster.run(seconds(3));
    EXPECT_TRUE(cluster.isServing()) << cluster.trace();
}

// The one-way delay of a link is 0.3 to 2.8 ms here.
TEST_F(Scenario, PlannedMoveHoldsRequestsBrieflyAndWritesAtMostOnce)
{
    ClusterPlan plan = faultFreePlan();
    plan.requestLength = milliseconds(1);
    Cluster cluster(plan);
    waitUntilStable(cluster);
    int moves = 0;
    for (std::uint64_t pick = 0; pick < 200; ++pick) {
        cluster.requestMove(pick * 7919);
        Duration held{};
        std::uint64_t writesAtStart = 0;
        for (int step = 0; step < 1000; ++step) {
            cluster.run(std::chrono::microseconds(200));
            if (!cluster.isAnySliceHeld())
                continue;
            writesAtStart = held == Duration::zero() ? cluster.storeWrites() : writesAtStart;
            held += std::chrono::microseconds(200);
            EXPECT_LE(cluster.storeWrites(), writesAtStart + 1)
                << "while a slice is held, only its settled record may be written";
        }
        moves += held > Duration::zero() ? 1 : 0;
        EXPECT_LE(held, milliseconds(20)) << cluster.trace();
    }
    EXPECT_GT(moves, 50);
    EXPECT_EQ(cluster.violation(), "") << cluster.trace();
}

TEST_F(Scenario, SlicesLeaveAZoneThatIsTakenOut)
{
    Cluster cluster(faultFreePlan());
    waitUntilStable(cluster);
    const auto setOut = [&](bool out) {
        cluster.applySettings([&](Settings &settings) { settings.zones[0].out = out; });
    };
    setOut(true);
    cluster.run(seconds(5));
    for (const CellRecord &record : cluster.records()) {
        for (const SliceRecord &slice : record.slices) {
            EXPECT_NE(slice.owner, cluster.target(0).id) << cluster.trace();
            EXPECT_NE(slice.owner, cluster.target(1).id) << cluster.trace();
        }
    }
    EXPECT_TRUE(cluster.isServing()) << cluster.trace();
}

TEST_F(Scenario, CutOffZoneIsTakenOverUnlessPolicyIsHold)
{
    for (const CutOffPolicy policy : {CutOffPolicy::Move, CutOffPolicy::Hold}) {
        ClusterPlan plan = faultFreePlan();
        plan.policy = policy;
        plan.instances = 6;
        Cluster cluster(plan);
        waitUntilStable(cluster);
        cluster.cutZone(0, true);
        for (const int instance : {0, 3})
            cluster.cutStore(instance, true);
        cluster.run(seconds(4));
        const int placer = cluster.placerOf(firstCell());
        ASSERT_GE(placer, 0) << cluster.trace();
        EXPECT_EQ(placer % 3 == 0, policy == CutOffPolicy::Hold) << cluster.trace();
        EXPECT_EQ(cluster.violation(), "") << cluster.trace();
    }
}

TEST_F(Scenario, CutOffPlacerWithStoreAccessCausesNoRepeatedTakeovers)
{
    Cluster cluster(faultFreePlan());
    waitUntilStable(cluster);
    cluster.cutZone(0, true);
    cluster.run(seconds(3));
    std::vector<Term> before;
    for (const CellRecord &record : cluster.records())
        before.push_back(record.term);
    cluster.run(seconds(20));
    std::vector<Term> after;
    for (const CellRecord &record : cluster.records())
        after.push_back(record.term);
    EXPECT_EQ(before, after) << cluster.trace();
}

TEST_F(Scenario, ServiceRecoversAfterAllInstancesRestart)
{
    Cluster cluster(faultFreePlan());
    waitUntilStable(cluster);
    for (int i = 0; i < 5; ++i)
        cluster.kill(i);
    for (int i = 0; i < 5; ++i)
        cluster.restart(i);
    expectServedWithin(cluster, seconds(10));
}

TEST_F(Scenario, RestartedInstanceServesDuringStoreOutage)
{
    Cluster cluster(faultFreePlan());
    waitUntilStable(cluster);
    const int placer = cluster.placerOf(firstCell());
    const int other = (placer + 1) % 5;
    cluster.setStoreUp(false);
    cluster.kill(other);
    cluster.restart(other);
    cluster.run(seconds(5));
    EXPECT_TRUE(cluster.isServing()) << cluster.trace();
}

} // namespace
} // namespace yuccaspan::test

#include "cell_fixture.hpp"

#include "yuccaspan/yuccaspan.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace yuccaspan {
namespace {

using test::CellFixture;

constexpr int tenSeconds = 100; // steps of 100 ms

std::vector<double> genRates(std::size_t count)
{
    std::vector<double> rates;
    for (std::size_t index = 0; index < count; ++index)
        rates.push_back(*rc::gen::inRange(1, 100));
    return rates;
}

TEST(Balance, MovesSlicesOffUnusableOwnersFirst)
{
    CellFixture cell(3, 0, 4);
    cell.setLoads({});
    cell.targets[1].usable = false;
    const auto changes = cell.step();
    ASSERT_EQ(changes.size(), 4U);
    for (const PlannedChange &change : changes)
        EXPECT_NE(std::get<PlannedMove>(change).to, TargetId("t1"));
    EXPECT_EQ(cell.ownedBy(1), 0U);
}

TEST(Balance, PrefersTheHomeZoneAndReturnsToIt)
{
    CellFixture cell(2, 2, 8);
    cell.setLoads(std::vector<double>(16, 10));
    cell.run(tenSeconds);
    EXPECT_EQ(cell.ownedBy(2) + cell.ownedBy(3), 0U);
    cell.targets[0].usable = cell.targets[1].usable = false;
    cell.run(tenSeconds);
    EXPECT_EQ(cell.ownedBy(0) + cell.ownedBy(1), 0U);
    cell.targets[0].usable = cell.targets[1].usable = true;
    cell.run(tenSeconds);
    EXPECT_EQ(cell.ownedBy(2) + cell.ownedBy(3), 0U);
}

TEST(Balance, LendsUnderLoadOnlyToTargetsOfKnownLoad)
{
    for (const bool known : {true, false}) {
        CellFixture cell(2, 4, 8);
        for (std::size_t index = 2; index < cell.targets.size() && !known; ++index)
            cell.targets[index].otherLoad.reset();
        cell.setLoads(std::vector<double>(16, 60)); // 9.6 busy slots of the home zone's 12
        cell.run(tenSeconds);
        const bool lent = cell.ownedBy(0) + cell.ownedBy(1) < cell.record.slices.size();
        EXPECT_EQ(lent, known);
    }
}

TEST(Balance, GivesAStartingTargetNothingForItsStart)
{
    CellFixture cell(4, 0, 4);
    cell.setLoads(std::vector<double>(16, 10));
    cell.targets[0].cold = true;
    cell.run(5);
    EXPECT_EQ(cell.ownedBy(0), 0U);
    cell.targets[0].cold = false; // reported by the target too early
    cell.run(tenSeconds);
    EXPECT_EQ(cell.ownedBy(0), 0U);
    cell.run(2 * tenSeconds);
    EXPECT_GT(cell.ownedBy(0), 0U);
}

TEST(Balance, MovesSlicesOffAStragglerOnlyIfItStaysSlow)
{
    CellFixture cell(8, 0, 4);
    cell.setLoads(std::vector<double>(32, 10));
    cell.targets[2].slowdown = 10;
    cell.targets[2].slowFor = std::chrono::milliseconds(50);
    EXPECT_EQ(cell.run(2), 0U);
    cell.targets[2].slowFor = std::chrono::milliseconds(900);
    cell.run(5);
    EXPECT_EQ(cell.ownedBy(2), 0U);
}

TEST(Balance, DoesNotMoveWhenAllTargetsAreSlow)
{
    CellFixture cell(4, 0, 4);
    cell.setLoads(std::vector<double>(16, 10));
    for (BalanceTarget &target : cell.targets) {
        target.slowdown = 12;
        target.slowFor = std::chrono::seconds(5);
    }
    EXPECT_EQ(cell.run(tenSeconds), 0U);
}

TEST(Balance, SplitsAHotKeyIntoItsOwnSlice)
{
    CellFixture cell(4, 0, 2);
    std::vector<double> rates(8, 10);
    rates[3] = 200;
    cell.setLoads(rates);
    const KeyHash hot = cell.record.slices[3].range.first + 1000;
    cell.loads.push_back({{hot, hot}, 180, 1.8});
    const auto isAlone = [&] {
        return std::any_of(cell.record.slices.begin(), cell.record.slices.end(),
                           [&](const auto &slice) {
                               return slice.range == KeyRange{hot, hot};
                           });
    };
    // The fixture spreads loads evenly, so only the splits are applied, and the key's rate is kept.
    for (int step = 0; step < tenSeconds && !isAlone(); ++step) {
        cell.step();
        std::vector<double> now;
        for (const SliceRecord &slice : cell.record.slices)
            now.push_back(slice.range.contains(hot) ? 180 + 10 : 10);
        cell.setLoads(now);
        cell.loads.push_back({{hot, hot}, 180, 1.8});
    }
    EXPECT_TRUE(isAlone());
}

RC_GTEST_PROP(Balance, ReachesTheBoundWhenANaiveBalancerDoes, ())
{
    CellFixture cell(*rc::gen::inRange<std::uint32_t>(2, 8), 0, 8);
    cell.setLoads(genRates(cell.record.slices.size()));
    RC_PRE(naive::bestSimpleImbalance(cell.input()) <= 1.1);
    cell.run(tenSeconds);
    RC_ASSERT(cell.imbalance() <= 1.25);
}

RC_GTEST_PROP(Balance, MovesNoSliceOnceTheCellIsBalanced, ())
{
    CellFixture cell(*rc::gen::inRange<std::uint32_t>(2, 8), 0, 8);
    cell.setLoads(genRates(cell.record.slices.size()));
    cell.run(3 * tenSeconds);
    RC_ASSERT(cell.run(3 * tenSeconds) == 0U);
}

RC_GTEST_PROP(Balance, KeepsTheRecordWholeAndEmptiesUnusableTargets, ())
{
    CellFixture cell(3, 3, 4);
    for (int round = 0; round < 4; ++round) {
        for (BalanceTarget &target : cell.targets) {
            target.usable = *rc::gen::weightedElement<bool>({{3, true}, {1, false}});
            target.cold = *rc::gen::weightedElement<bool>({{1, true}, {4, false}});
        }
        cell.targets[*rc::gen::inRange<std::size_t>(0, 6)].usable = true;
        cell.setLoads(genRates(cell.record.slices.size()));
        cell.run(30);
        KeyHash next = 0;
        for (const SliceRecord &slice : cell.record.slices) {
            RC_ASSERT(slice.range.first == next);
            RC_ASSERT(slice.range.first <= slice.range.last);
            next = slice.range.last + 1;
        }
        RC_ASSERT(next == 0U);
        for (std::size_t index = 0; index < cell.targets.size(); ++index)
            RC_ASSERT(cell.targets[index].usable || cell.ownedBy(index) == 0U);
    }
}

RC_GTEST_PROP(Balance, PlansTheSameFromTheSameInputs, ())
{
    CellFixture one(4, 2, 4);
    CellFixture two(4, 2, 4);
    const auto rates = genRates(one.record.slices.size());
    one.setLoads(rates);
    two.setLoads(rates);
    one.run(tenSeconds);
    two.run(tenSeconds);
    RC_ASSERT(one.record.slices == two.record.slices);
}

RC_GTEST_PROP(ShareCapacity, SumsToAtMostTheCapacityAndNamesOneColdInstance, ())
{
    TargetSettings target;
    target.id = TargetId("t");
    target.slots = *rc::gen::inRange<std::uint32_t>(1, 10);
    target.connections = *rc::gen::inRange<std::uint32_t>(1, 200);
    const int instances = *rc::gen::inRange(1, 8);
    std::map<InstanceId, double> demand;
    for (int index = 0; index < instances; ++index)
        demand[InstanceId("i" + std::to_string(index))] = *rc::gen::inRange(0, 50) / 10.0;
    double slots = 0;
    std::uint32_t cold = 0;
    std::uint32_t connections = 0;
    for (const auto &[instance, share] : shareCapacity(target, demand)) {
        RC_ASSERT(share.slots > 0);
        slots += share.slots;
        cold += share.coldSlots;
        connections += share.connections;
    }
    RC_ASSERT(slots <= target.slots + 1e-9);
    RC_ASSERT(connections <= target.connections);
    RC_ASSERT(cold == 1U);
}

} // namespace
} // namespace yuccaspan

#include "yuccaspan/yuccaspan.hpp"

#include <gtest/gtest.h>

namespace yuccaspan {
namespace {

TEST(Balance, MovesSlicesOffUnusableOwnersFirst)
{
    std::vector<BalanceTarget> targets;
    for (const char *name : {"a", "b", "c"})
        targets.push_back({TargetId(name), ZoneId("z"), 6, true, false, 1, {}, {}});
    CellRecord record;
    record.cell = {ServiceName("s"), ZoneId("z"), 0};
    record.slices = initialSlices(record.range, ZoneId("z"), targets, 4);
    ASSERT_EQ(record.slices.size(), 12U);
    targets[1].usable = false;
    const auto balancer = makeBalancer();
    const auto changes = balancer->plan({&record, targets, {}, 0, 8, 4096}, ManualClock().now());
    ASSERT_EQ(changes.size(), 4U);
    for (const PlannedChange &change : changes)
        EXPECT_NE(std::get<PlannedMove>(change).to, TargetId("b"));
}

TEST(ShareCapacity, SumsToTheCapacity)
{
    TargetSettings target;
    target.slots = 2;
    std::map<InstanceId, double> demand;
    for (int index = 0; index < 6; ++index)
        demand[InstanceId("i" + std::to_string(index))] = index;
    double slots = 0;
    std::uint32_t cold = 0;
    for (const auto &[instance, share] : shareCapacity(target, demand)) {
        slots += share.slots;
        cold += share.coldSlots;
    }
    EXPECT_NEAR(slots, 2, 1e-9);
    EXPECT_EQ(cold, 1U);
}

} // namespace
} // namespace yuccaspan

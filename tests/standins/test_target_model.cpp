#include "target_model.hpp"

#include <gtest/gtest.h>

namespace yuccaspan::tests {
namespace {

using namespace standins;

const TimePoint start{std::chrono::seconds(1000)};

TargetOptions makeOptions()
{
    TargetOptions options;
    options.id = "t";
    options.slots = 2;
    options.queueLimit = 3;
    options.checksGrants = false;
    return options;
}

Work makeWork(std::uint64_t handle, std::string requestId)
{
    Work work;
    work.handle = handle;
    work.requestId = std::move(requestId);
    return work;
}

bool nobodyLeft(std::uint64_t)
{
    return false;
}

TEST(TargetModel, RunsNoMoreThanItsSlotsAndShedsPastItsQueue)
{
    TargetModel model(makeOptions(), start);
    for (std::uint64_t handle = 1; handle <= 3; ++handle)
        EXPECT_FALSE(model.arrive(makeWork(handle, ""), start).has_value());
    EXPECT_EQ(model.arrive(makeWork(4, ""), start), Refusal::Shed);
    EXPECT_EQ(model.next(start, nobodyLeft).size(), 2U);
    EXPECT_TRUE(model.next(start, nobodyLeft).empty());
    model.finished(1);
    const auto steps = model.next(start, nobodyLeft);
    ASSERT_EQ(steps.size(), 1U);
    EXPECT_EQ(steps[0].handle, 3U);
    EXPECT_EQ(model.counts().maxRunning, 2U);
}

TEST(TargetModel, CountsIdsThatRunTwice)
{
    TargetModel model(makeOptions(), start);
    for (std::uint64_t handle = 1; handle <= 3; ++handle) {
        ASSERT_FALSE(model.arrive(makeWork(handle, handle == 2 ? "b" : "a"), start).has_value());
        ASSERT_EQ(model.next(start, nobodyLeft).size(), 1U);
        model.finished(handle);
    }
    EXPECT_EQ(model.counts().runTwice, 1U);
    EXPECT_EQ(model.ledger().at("a").count, 2U);
    EXPECT_EQ(model.ledger().at("b").count, 1U);
}

TEST(TargetModel, DropsAWaitingRequestWhoseCallerLeft)
{
    TargetModel model(makeOptions(), start);
    ASSERT_FALSE(model.arrive(makeWork(1, "a"), start).has_value());
    EXPECT_TRUE(model.next(start, [](std::uint64_t) { return true; }).empty());
    EXPECT_EQ(model.counts().dropped, 1U);
    EXPECT_TRUE(model.ledger().empty());
}

TEST(TargetModel, RefusesAtTheBeginningWhatBecameLateOrLostItsGrant)
{
    TargetOptions options = makeOptions();
    options.checksGrants = true;
    TargetModel model(options, start);
    GrantOrder order;
    order.cell = {ServiceName("s"), ZoneId("z"), 0};
    order.term = {1};
    order.sequence = 1;
    order.startId = model.startId();
    order.validUntil = model.clock(start) + Duration(1000);
    order.slices = {{{0, ~0ULL}, {1}}};
    ASSERT_EQ(model.grants().grant(order, model.clock(start)).verdict, TargetVerdict::Accepted);
    Work late = makeWork(1, "late");
    late.service = ServiceName("s");
    late.token = {1};
    Work lapsed = late;
    lapsed.handle = 2;
    late.deadline = start + Duration(10);
    ASSERT_FALSE(model.arrive(late, start).has_value());
    auto steps = model.next(start + Duration(10), nobodyLeft);
    ASSERT_EQ(steps.size(), 1U);
    EXPECT_EQ(steps[0].refusal, Refusal::Late);
    ASSERT_FALSE(model.arrive(lapsed, start).has_value());
    steps = model.next(start + Duration(1000), nobodyLeft);
    ASSERT_EQ(steps.size(), 1U);
    EXPECT_EQ(steps[0].refusal, Refusal::NoGrant);
    EXPECT_TRUE(model.ledger().empty());
}

TEST(TargetModel, CountsOverloadWhileColdOnly)
{
    TargetOptions options = makeOptions();
    options.cold = Duration(1000);
    TargetModel model(options, start);
    const TimePoint warm = start + Duration(1000);
    EXPECT_EQ(model.state(start), TargetState::Cold);
    ASSERT_FALSE(model.arrive(makeWork(1, ""), start).has_value());
    ASSERT_FALSE(model.arrive(makeWork(2, ""), start).has_value());
    const auto cold = model.next(start, nobodyLeft);
    ASSERT_EQ(cold.size(), 2U);
    EXPECT_GT(cold[1].service, options.service * 5);
    EXPECT_EQ(model.counts().coldOverload, 1U);
    model.finished(1);
    ASSERT_FALSE(model.arrive(makeWork(3, ""), warm).has_value());
    ASSERT_EQ(model.next(warm, nobodyLeft).size(), 1U);
    EXPECT_EQ(model.counts().coldOverload, 1U);
    EXPECT_EQ(model.state(warm), TargetState::Warm);
}

TEST(TargetModel, ForgetsGrantsButNotItsLedgerWhenItRestarts)
{
    TargetModel model(makeOptions(), start);
    const std::string before = model.startId();
    ASSERT_FALSE(model.arrive(makeWork(1, "a"), start).has_value());
    ASSERT_EQ(model.next(start, nobodyLeft).size(), 1U);
    model.restart(start + Duration(5));
    EXPECT_NE(model.startId(), before);
    EXPECT_EQ(model.running(), 0U);
    EXPECT_EQ(model.ledger().at("a").count, 1U);
}

} // namespace
} // namespace yuccaspan::tests

#include "yuccaspan/yuccaspan.hpp"

#include <gtest/gtest.h>

namespace yuccaspan {
namespace {

std::shared_ptr<const CellRoutes> makeCell(const std::string &zone, KeyRange range, KeyHash cut)
{
    auto cell = std::make_shared<CellRoutes>();
    cell->cell = {ServiceName("s"), ZoneId(zone), 0};
    cell->range = range;
    cell->routes = {{{range.first, cut - 1}, TargetId(zone + "-low"), {1}, RouteState::Open},
                    {{cut, range.last}, TargetId(zone + "-high"), {2}, RouteState::Open}};
    return cell;
}

TEST(RouteTable, FindsTheRouteThatCoversTheHash)
{
    constexpr KeyHash half = 1ULL << 63U;
    const RouteTable empty;
    const auto lower = empty.with(makeCell("a", {0, half - 1}, 100));
    const auto table = lower->with(makeCell("b", {half, ~0ULL}, half + 100));
    const ServiceName service("s");
    EXPECT_EQ(table->find(service, 0).route->owner, TargetId("a-low"));
    EXPECT_EQ(table->find(service, 100).route->owner, TargetId("a-high"));
    EXPECT_EQ(table->find(service, half + 99).route->owner, TargetId("b-low"));
    EXPECT_EQ(table->find(service, ~0ULL).route->owner, TargetId("b-high"));
    EXPECT_EQ(table->find(ServiceName("other"), 0).route, nullptr);
    EXPECT_EQ(lower->find(service, half).cell, nullptr);
}

TEST(RouteTable, ReplacesTheRoutesOfOneCell)
{
    const RouteTable empty;
    const auto before = empty.with(makeCell("a", {0, ~0ULL}, 100));
    const auto after = before->with(makeCell("a", {0, ~0ULL}, 50));
    EXPECT_EQ(before->find(ServiceName("s"), 60).route->owner, TargetId("a-low"));
    EXPECT_EQ(after->find(ServiceName("s"), 60).route->owner, TargetId("a-high"));
    EXPECT_EQ(after->cells(ServiceName("s")).size(), 1U);
}

TEST(ManualClock, MovesOnlyWhenAdvanced)
{
    ManualClock clock;
    const TimePoint start = clock.now();
    EXPECT_EQ(clock.now(), start);
    clock.advance(std::chrono::milliseconds(5));
    EXPECT_EQ(clock.now() - start, Duration(5000));
}

TEST(Outcome, ConvertsOutcomesAndReasonsToAndFromText)
{
    EXPECT_EQ(toString(Outcome::NotRun), "not-run");
    EXPECT_EQ(fromString<Reason>("queue-full"), Reason::QueueFull);
    EXPECT_FALSE(fromString<Reason>("no such reason").has_value());
}

} // namespace
} // namespace yuccaspan

#include "held_keys.hpp"
#include "object_table.hpp"

#include <gtest/gtest.h>

namespace yuccaspan::platform_standins {

namespace {

using std::chrono::seconds;

Json object(const char *name, const char *spec)
{
    return {{"metadata", {{"name", name}}}, {"spec", spec}};
}

TEST(ObjectTable, aConditionalWriteNeedsTheRevision)
{
    ObjectTable table;
    const TableAnswer made = table.create("locks", object("one", "a"));
    EXPECT_EQ(made.status, 200U);
    EXPECT_EQ(table.create("locks", object("one", "b")).status, 409U);
    Json next = object("one", "b");
    next["metadata"]["revision"] = 1;
    const TableAnswer refused = table.replace("locks", "one", next);
    EXPECT_EQ(refused.status, 409U);
    EXPECT_EQ(refused.body.at("spec"), "a");
    next["metadata"]["revision"] = made.body.at("metadata").at("revision");
    EXPECT_EQ(table.replace("locks", "one", next).status, 200U);
    EXPECT_EQ(table.replace("locks", "two", next).status, 404U);
}

TEST(ObjectTable, aWriteThatChangesNothingIsNoChange)
{
    ObjectTable table;
    table.put("locks", "one", "a");
    const std::uint64_t before = table.revision();
    table.put("locks", "one", "a");
    EXPECT_EQ(table.revision(), before);
    EXPECT_TRUE(table.changes("locks", before).body.at("events").empty());
}

TEST(ObjectTable, changesOfAKindAreToldUntilTheHistoryIsForgotten)
{
    ObjectTable table;
    const std::uint64_t before = table.revision();
    table.put("locks", "one", "a");
    table.put("others", "one", "a");
    table.remove("locks", "one", std::nullopt);
    const Json events = table.changes("locks", before).body.at("events");
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events.at(0).at("deleted"), false);
    EXPECT_EQ(events.at(1).at("deleted"), true);
    table.forgetHistory();
    EXPECT_EQ(table.changes("locks", before).status, 410U);
    EXPECT_EQ(table.changes("locks", table.revision()).status, 200U);
}

TEST(ObjectTable, aLongListHasPages)
{
    ObjectTable table;
    for (int index = 10; index < 35; ++index)
        table.put("locks", std::to_string(index), "a");
    const Json first = table.list("locks", "").body;
    EXPECT_EQ(first.at("has_more"), true);
    const Json second =
        table.list("locks", first.at("items").back().at("metadata").at("name")).body;
    EXPECT_EQ(second.at("has_more"), false);
    EXPECT_EQ(first.at("items").size() + second.at("items").size(), 25U);
}

TEST(HeldKeys, aLowerTokenIsRefusedAndAReleaseNever)
{
    HeldKeys keys;
    const TimePoint now{seconds(10)};
    EXPECT_TRUE(keys.grant({0, 99, 5}, now + seconds(4)));
    EXPECT_FALSE(keys.grant({99, 200, 4}, now + seconds(4)));
    EXPECT_FALSE(keys.holds(150, now));
    keys.release({10, 19, 5});
    EXPECT_TRUE(keys.holds(9, now));
    EXPECT_FALSE(keys.holds(10, now));
    EXPECT_TRUE(keys.holds(20, now));
    EXPECT_FALSE(keys.holds(20, now + seconds(4)));
}

} // namespace

} // namespace yuccaspan::platform_standins

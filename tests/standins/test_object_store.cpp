#include "object_store.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace yuccaspan::tests {
namespace {

using standins::ObjectStore;

const TimePoint start{std::chrono::seconds(1000)};

TEST(ObjectStore, WritesOnlyOnTheExpectedVersion)
{
    ObjectStore store;
    EXPECT_FALSE(store.write("a", {5}, "x", start).done);
    const auto created = store.write("a", {0}, "x", start);
    EXPECT_TRUE(created.done);
    const auto again = store.write("a", {0}, "y", start);
    EXPECT_FALSE(again.done);
    EXPECT_EQ(again.version, created.version);
    EXPECT_EQ(store.read("a", start)->value, "x");
    const auto updated = store.write("a", created.version, "y", start);
    EXPECT_TRUE(updated.done);
    EXPECT_GT(updated.version, created.version);
    EXPECT_TRUE(store.write("a", updated.version, std::nullopt, start).done);
    EXPECT_FALSE(store.read("a", start).has_value());
    EXPECT_FALSE(store.write("a", {0}, std::nullopt, start).done);
}

TEST(ObjectStore, ReadsAsOfAnEarlierTime)
{
    ObjectStore store;
    const TimePoint later = start + std::chrono::seconds(2);
    const auto first = store.write("a", {0}, "old", start);
    ASSERT_TRUE(store.write("a", first.version, "new", later).done);
    EXPECT_EQ(store.read("a", later)->value, "new");
    EXPECT_EQ(store.read("a", later - Duration(1))->value, "old");
    EXPECT_FALSE(store.read("a", start - Duration(1)).has_value());
}

// A reader that resumes from the revision it last saw ends with what the store holds.
RC_GTEST_PROP(ObjectStore, WatchersThatResumeSeeEveryChange, ())
{
    ObjectStore store;
    std::map<std::string, StoreObject> seen;
    std::uint64_t revision = 0;
    const auto resume = [&] {
        const StoreChanges changes = store.changes("p/", revision);
        if (changes.complete)
            seen.clear();
        for (const StoreObject &object : changes.objects) {
            if (object.version.value == 0)
                seen.erase(object.path);
            else
                seen[object.path] = object;
        }
        revision = changes.revision;
    };
    const auto steps = *rc::gen::inRange(1, 60);
    std::map<std::string, StoreObject> expected;
    for (int step = 0; step < steps; ++step) {
        const bool inside = *rc::gen::inRange(0, 4) != 0;
        const std::string path = (inside ? "p/" : "q/") + std::to_string(*rc::gen::inRange(0, 4));
        const bool deletes = *rc::gen::inRange(0, 3) == 0;
        const auto present = store.read(path, start);
        const ObjectVersion version = present ? present->version : ObjectVersion{};
        const std::string value = std::to_string(step);
        const auto outcome =
            store.write(path, version, deletes ? std::nullopt : std::optional(value), start);
        RC_ASSERT(outcome.done == (present.has_value() || !deletes));
        if (deletes)
            expected.erase(path);
        else if (inside)
            expected[path] = {path, outcome.version, value};
        if (*rc::gen::inRange(0, 3) == 0)
            resume();
    }
    resume();
    RC_ASSERT(seen.size() == expected.size());
    for (const auto &[path, object] : expected) {
        RC_ASSERT(seen.at(path).version == object.version);
        RC_ASSERT(seen.at(path).value == object.value);
    }
}

TEST(ObjectStore, ListsEverythingAfterARevisionOfAnotherStore)
{
    ObjectStore store;
    ASSERT_TRUE(store.write("a", {0}, "x", start).done);
    EXPECT_FALSE(store.changes("", 1).complete);
    EXPECT_TRUE(store.changes("", 1).objects.empty());
    EXPECT_TRUE(store.changes("", 99).complete);
    EXPECT_EQ(store.changes("", 99).objects.size(), 1U);
}

} // namespace
} // namespace yuccaspan::tests

#include "gateway/shard_delta.hpp"
#include "gateway/shard_map.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace yuccaspan::gateway {

namespace {

ShardMap sampleMap()
{
    ShardMap map{"s", "a/1", 3, 7, 12, {}};
    map.ranges.push_back({{0, 999}, Holder{"t1", 5, 10}, std::nullopt});
    map.ranges.push_back({{1000, 1999}, Holder{"t2", 6, 11}, Holder{"t1", 5, 12}});
    map.ranges.push_back({{2000, lastKey}, std::nullopt, Holder{"t3", 7, 9}});
    return map;
}

TEST(ShardMap, roundTrip)
{
    const ShardMap map = sampleMap();
    const Result<ShardMap> read = decodeShardMap(encodeShardMap(map));
    ASSERT_TRUE(read) << read.error();
    EXPECT_EQ(read->ranges, map.ranges);
    EXPECT_EQ(read->term, map.term);
    EXPECT_EQ(read->write, map.write);
    EXPECT_EQ(read->lastFence, map.lastFence);
    EXPECT_EQ(read->placer, map.placer);
}

TEST(ShardMap, findsTheRangeOfAKey)
{
    const ShardMap map = sampleMap();
    EXPECT_EQ(map.find(0)->keys, (KeySpan{0, 999}));
    EXPECT_EQ(map.find(999)->keys, (KeySpan{0, 999}));
    EXPECT_EQ(map.find(1000)->keys, (KeySpan{1000, 1999}));
    EXPECT_EQ(map.find(lastKey)->keys, (KeySpan{2000, lastKey}));
    EXPECT_EQ(ShardMap{}.find(5), nullptr);
}

TEST(ShardMap, rejectsGapsAndOverlaps)
{
    ShardMap map = sampleMap();
    map.ranges[1].keys.first = 1001;
    EXPECT_EQ(decodeShardMap(encodeShardMap(map)).error().code, ErrorCode::SchemaViolation);
    map.ranges[1].keys.first = 999;
    EXPECT_EQ(decodeShardMap(encodeShardMap(map)).error().code, ErrorCode::SchemaViolation);
    EXPECT_EQ(decodeShardMap("{").error().code, ErrorCode::ParseFailed);
    EXPECT_EQ(decodeShardMap("{}").error().code, ErrorCode::ParseFailed);
}

TEST(ShardDelta, appliedToTheOldMapGivesTheNewOne)
{
    const ShardMap before = sampleMap();
    ShardMap after = before;
    after.write = 8;
    after.ranges[1].owner = after.ranges[1].next;
    after.ranges[1].next.reset();
    after.ranges[2].keys.first = 3000;
    after.ranges.insert(after.ranges.begin() + 2,
                        {{2000, 2999}, std::nullopt, Holder{"t4", 1, 13}});
    const ShardDelta delta = shardDelta(before, after, {0, 99});
    EXPECT_EQ(delta.changed.size(), 3U);
    const Result<ShardDelta> read = decodeShardDelta(encodeShardDelta(delta));
    ASSERT_TRUE(read) << read.error();
    const std::optional<ShardMap> applied = applyDelta(before, *read);
    ASSERT_TRUE(applied);
    EXPECT_EQ(applied->ranges, after.ranges);
    EXPECT_EQ(applied->write, after.write);
}

TEST(ShardDelta, mergedRangesReplaceThoseThatTheyCover)
{
    const ShardMap before = sampleMap();
    ShardMap after = before;
    after.write = 8;
    after.ranges.erase(after.ranges.begin() + 1);
    after.ranges[0].keys.last = 1999;
    const std::optional<ShardMap> applied = applyDelta(before, shardDelta(before, after, {0, 99}));
    ASSERT_TRUE(applied);
    EXPECT_EQ(applied->ranges, after.ranges);
}

TEST(ShardDelta, isRejectedForAnotherBaseWrite)
{
    const ShardMap before = sampleMap();
    ShardMap after = before;
    after.write = 8;
    after.ranges[0].owner->fence = 20;
    const ShardDelta delta = shardDelta(before, after, {0, 99});
    ShardMap older = before;
    older.write = 6;
    EXPECT_FALSE(applyDelta(older, delta));
    EXPECT_FALSE(decodeShardDelta({1, 2, 3}));
}

} // namespace

} // namespace yuccaspan::gateway

#include "gateway/shard_delta.hpp"

#include <gtest/gtest.h>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint now{seconds(1000)};

TargetEntry coldEntry()
{
    TargetEntry entry;
    entry.id = "new";
    entry.incarnation = 7;
    entry.service = "s";
    entry.address = "10.0.0.1:80";
    entry.zone = "a";
    entry.slots = 4;
    entry.warmupLeft = seconds(3);
    return entry;
}

ShardDelta deltaTo(const std::string &target)
{
    ShardDelta delta;
    delta.service = "s";
    delta.changed.push_back({{0, lastKey}, std::nullopt, Holder{target, 7, 1}});
    return delta;
}

/// An instance that learns of a new owner from the placer must not send it more requests than a
/// cold target can handle.
TEST(ShardDelta, includesNewTargetsWithTheirRemainingWarmup)
{
    TargetDirectory placer;
    placer.put(coldEntry(), now, now);
    ShardDelta delta = deltaTo("new");
    addNewTargets(delta, placer, now + seconds(1));
    const Result<ShardDelta> read = decodeShardDelta(encodeShardDelta(delta));
    ASSERT_TRUE(read);
    ASSERT_EQ(read->targets.size(), 1U);
    TargetDirectory peer;
    peer.putIfNew(read->targets.front(), now + seconds(1));
    const Target *known = peer.find("new");
    ASSERT_NE(known, nullptr);
    EXPECT_EQ(known->entry.address, "10.0.0.1:80");
    EXPECT_TRUE(known->cold(now + milliseconds(2900)));
    EXPECT_FALSE(known->cold(now + milliseconds(3100)));
}

TEST(ShardDelta, omitsTargetsThatAllInstancesKnow)
{
    TargetDirectory placer;
    placer.put(coldEntry(), now, now);
    ShardDelta delta = deltaTo("new");
    addNewTargets(delta, placer, now + seconds(30));
    EXPECT_TRUE(delta.targets.empty());
}

TEST(ShardDelta, doesNotRestoreATargetThatWasRemoved)
{
    TargetDirectory peer;
    peer.put(coldEntry(), now, now);
    peer.remove("new", now, now);
    peer.putIfNew(coldEntry(), now + milliseconds(100));
    EXPECT_FALSE(peer.find("new")->listed);
}

} // namespace

} // namespace yuccaspan::gateway

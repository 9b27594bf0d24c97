#include "yuccaspan/membership.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace yuccaspan {
namespace {

using std::chrono::milliseconds;

TimePoint at(int ms)
{
    return TimePoint(milliseconds(ms));
}

Membership makeMembership()
{
    return std::move(Membership::create(InstanceId("a#1"), ZoneId("z"), {}).value());
}

Heartbeat beat(std::uint64_t sequence)
{
    Heartbeat heartbeat;
    heartbeat.zone = ZoneId("y");
    heartbeat.sequence = sequence;
    heartbeat.hears = {InstanceId("a#1")};
    return heartbeat;
}

const Member *find(const MembershipOutput &output, const char *id)
{
    if (!output.members)
        return nullptr;
    const auto found = std::ranges::find(output.members->members, InstanceId(id), &Member::id);
    return found == output.members->members.end() ? nullptr : &*found;
}

TEST(Membership, InstancesAreAliveUntilTheirHeartbeatsStop)
{
    Membership membership = makeMembership();
    const auto heard = membership.received(InstanceId("b#1"), beat(1), at(1000));
    ASSERT_NE(find(heard, "b#1"), nullptr);
    EXPECT_TRUE(find(heard, "b#1")->alive);
    EXPECT_FALSE(find(heard, "b#1")->knownToStore);
    EXPECT_EQ(find(heard, "a#1")->hears, std::vector<InstanceId>{InstanceId("b#1")});
    EXPECT_FALSE(membership.tick({}, at(1449)).members.has_value());
    const auto silent = membership.tick({}, at(1450));
    ASSERT_NE(find(silent, "b#1"), nullptr);
    EXPECT_FALSE(find(silent, "b#1")->alive);
}

TEST(Membership, OlderHeartbeatsAreDropped)
{
    Membership membership = makeMembership();
    (void)membership.received(InstanceId("b#1"), beat(5), at(1000));
    (void)membership.received(InstanceId("b#1"), beat(4), at(1400));
    const auto output = membership.tick({}, at(1450));
    ASSERT_NE(find(output, "b#1"), nullptr);
    EXPECT_FALSE(find(output, "b#1")->alive);
}

TEST(Membership, SendsHeartbeatsToListedInstances)
{
    Membership membership = makeMembership();
    const auto listed = membership.listed({{"a#1", "entry", ZoneId("z"), "", false},
                                           {"b#1", "entry", ZoneId("y"), "", true},
                                           {"t", "target", ZoneId("y"), "", false}},
                                          at(1000));
    ASSERT_NE(find(listed, "b#1"), nullptr);
    EXPECT_TRUE(find(listed, "b#1")->leaving);
    EXPECT_TRUE(find(listed, "a#1")->knownToStore);
    EXPECT_EQ(find(listed, "t"), nullptr);
    MembershipStatus status;
    status.settingsVersion = {7};
    const auto output = membership.tick(status, at(1000));
    ASSERT_EQ(output.send.size(), 1U);
    EXPECT_EQ(output.send[0].to, InstanceId("b#1"));
    EXPECT_EQ(output.send[0].heartbeat.settingsVersion, ObjectVersion{7});
    EXPECT_TRUE(membership.tick(status, at(1099)).send.empty());
    EXPECT_EQ(membership.tick(status, at(1100)).send.size(), 1U);
}

TEST(Membership, APauseOfThisProcessDoesNotMakeOthersNotAlive)
{
    Membership membership = makeMembership();
    (void)membership.received(InstanceId("b#1"), beat(1), at(1000));
    membership.clockJumped(at(9000));
    EXPECT_FALSE(membership.tick({}, at(9000)).members.has_value());
    EXPECT_TRUE(membership.tick({}, at(9450)).members.has_value());
}

TEST(Membership, RemovesInstancesThatAreNeitherListedNorHeard)
{
    Membership membership = makeMembership();
    (void)membership.received(InstanceId("b#1"), beat(1), at(1000));
    (void)membership.tick({}, at(20000));
    const auto output = membership.tick({}, at(31001));
    ASSERT_TRUE(output.members.has_value());
    EXPECT_EQ(find(output, "b#1"), nullptr);
}

TEST(Membership, RejectsASilenceLimitBelowTwoHeartbeats)
{
    MembershipTiming timing;
    timing.heartbeatTimeout = timing.heartbeatInterval;
    EXPECT_EQ(Membership::create(InstanceId("a#1"), ZoneId("z"), timing).error().code,
              ErrorCode::InvalidArgument);
    EXPECT_EQ(Membership::create(InstanceId(), ZoneId("z"), {}).error().code,
              ErrorCode::InvalidArgument);
}

} // namespace
} // namespace yuccaspan

#include "gateway/message_memory.hpp"

#include <gtest/gtest.h>

namespace yuccaspan::gateway {

namespace {

/// Sizes are those of bodies; each byte of a body counts twice.
constexpr std::size_t limit = 2000;

TEST(MessageMemory, givesUpTheLargestMessage)
{
    const auto memory = MessageMemory::create(limit);
    bool largeGivenUp = false;
    bool smallGivenUp = false;
    auto large = memory->share(BodyOwner::Response);
    large.setGiveUp([&] { largeGivenUp = true; });
    auto small = memory->share(BodyOwner::Response);
    small.setGiveUp([&] { smallGivenUp = true; });
    EXPECT_TRUE(large.resize(700));
    EXPECT_TRUE(small.resize(300));
    EXPECT_FALSE(largeGivenUp);
    EXPECT_TRUE(small.resize(400));
    EXPECT_TRUE(largeGivenUp);
    EXPECT_FALSE(smallGivenUp);
    EXPECT_FALSE(large.resize(700));
    EXPECT_EQ(memory->used(), 800U);
}

TEST(MessageMemory, theMessageThatGrowsIsGivenUpIfItIsTheLargest)
{
    const auto memory = MessageMemory::create(limit);
    bool otherGivenUp = false;
    auto other = memory->share(BodyOwner::Response);
    other.setGiveUp([&] { otherGivenUp = true; });
    EXPECT_TRUE(other.resize(300));
    auto grows = memory->share(BodyOwner::Response);
    EXPECT_FALSE(grows.resize(800));
    EXPECT_FALSE(otherGivenUp);
    EXPECT_EQ(memory->used(), 600U);
}

/// Requests that were passed on hold memory that can't be taken back, and still need responses.
TEST(MessageMemory, requestsLeaveRoomForResponses)
{
    const auto memory = MessageMemory::create(limit);
    auto request = memory->share(BodyOwner::Request);
    EXPECT_TRUE(request.resize(700));
    EXPECT_FALSE(memory->share(BodyOwner::Request).resize(100));
    auto response = memory->share(BodyOwner::Response);
    EXPECT_TRUE(response.resize(300));
}

TEST(MessageMemory, requestsDisplaceNoResponses)
{
    const auto memory = MessageMemory::create(limit);
    bool givenUp = false;
    auto response = memory->share(BodyOwner::Response);
    response.setGiveUp([&] { givenUp = true; });
    EXPECT_TRUE(response.resize(900));
    auto request = memory->share(BodyOwner::Request);
    EXPECT_FALSE(request.resize(10));
    EXPECT_FALSE(givenUp);
}

TEST(MessageMemory, aShareGivesItsMemoryBack)
{
    const auto memory = MessageMemory::create(limit);
    MessageMemory::Share kept;
    {
        auto share = memory->share(BodyOwner::Response);
        EXPECT_TRUE(share.resize(100));
        kept = std::move(share);
    }
    EXPECT_EQ(memory->used(), 200U);
    kept = MessageMemory::Share();
    EXPECT_EQ(memory->used(), 0U);
}

} // namespace

} // namespace yuccaspan::gateway

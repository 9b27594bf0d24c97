#include "gateway/workspaces/allowance.hpp"

#include <gtest/gtest.h>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint start{seconds(100)};

std::size_t takeAll(Allowance &allowance, TimePoint now)
{
    std::size_t taken = 0;
    while (allowance.take(now) == Duration::zero())
        ++taken;
    return taken;
}

TEST(Allowance, withoutALimitAllMayPass)
{
    Allowance allowance;
    allowance.configure({}, 1, start);
    for (int index = 0; index < 1000; ++index)
        EXPECT_EQ(allowance.take(start), Duration::zero());
}

TEST(Allowance, givesItsPartOfBurstAndRate)
{
    Allowance allowance;
    allowance.configure({100, 40}, 0.25, start);
    EXPECT_EQ(takeAll(allowance, start), 10U);
    EXPECT_EQ(takeAll(allowance, start + milliseconds(200)), 5U);
    EXPECT_EQ(takeAll(allowance, start + seconds(60)), 10U);
}

TEST(Allowance, tellsWhenThereIsRoom)
{
    Allowance allowance;
    allowance.configure({100, 40}, 0.25, start);
    takeAll(allowance, start);
    const Duration wait = allowance.take(start);
    EXPECT_NE(allowance.take(start + wait - milliseconds(1)), Duration::zero());
    EXPECT_EQ(allowance.take(start + wait), Duration::zero());
}

TEST(Allowance, aLowerLimitTakesTokensAway)
{
    Allowance allowance;
    allowance.configure({100, 400}, 0.25, start);
    allowance.configure({10, 8}, 0.25, start);
    EXPECT_EQ(takeAll(allowance, start), 2U);
}

} // namespace

} // namespace yuccaspan::gateway

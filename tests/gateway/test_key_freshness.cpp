#include "gateway/workspaces/key_freshness.hpp"

#include <gtest/gtest.h>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint start{seconds(100)};

TEST(KeyFreshness, withoutABoundKeysAreAlwaysFresh)
{
    const KeyFreshness keys{Duration::zero()};
    EXPECT_TRUE(keys.fresh(start));
    EXPECT_FALSE(keys.ageing(start));
    EXPECT_EQ(keys.watchWait(seconds(17)), seconds(17));
}

TEST(KeyFreshness, endsWithAMarginBeforeTheBound)
{
    KeyFreshness keys{seconds(5)};
    EXPECT_FALSE(keys.fresh(start));
    keys.currentAsOf(start);
    EXPECT_TRUE(keys.fresh(start + milliseconds(4699)));
    EXPECT_FALSE(keys.fresh(start + milliseconds(4700)));
    // Also the clock of a frozen process goes on.
    EXPECT_FALSE(keys.fresh(start + seconds(3600)));
}

TEST(KeyFreshness, asksOthersInGoodTime)
{
    KeyFreshness keys{seconds(5)};
    EXPECT_TRUE(keys.ageing(start));
    keys.currentAsOf(start);
    EXPECT_FALSE(keys.ageing(start + milliseconds(2499)));
    EXPECT_TRUE(keys.ageing(start + milliseconds(2500)));
}

TEST(KeyFreshness, anOlderReportDoesNotMakeItOlder)
{
    KeyFreshness keys{seconds(5)};
    keys.currentAsOf(start);
    keys.currentAsOf(start - seconds(3));
    EXPECT_EQ(keys.age(start + seconds(1)), seconds(1));
}

TEST(KeyFreshness, watchesOftenEnoughToStayFreshWithALostOne)
{
    const KeyFreshness keys{seconds(5)};
    EXPECT_LE(2 * keys.watchWait(seconds(17)), seconds(5) - KeyFreshness::margin);
}

TEST(KeyFreshness, anAnswerCountsFromItsSendingUnlessTheWholeWaitPassed)
{
    const auto asOf = [](Duration waited, Duration took) {
        return KeyFreshness::answeredAsOf(start, waited, start + took);
    };
    EXPECT_EQ(asOf(seconds(1), milliseconds(1010)), start + seconds(1));
    EXPECT_EQ(asOf(seconds(1), milliseconds(900)), start);
    // An answer that was under way for long tells nothing of that time.
    EXPECT_EQ(asOf(seconds(1), seconds(20)), start + seconds(1));
    EXPECT_EQ(asOf(Duration::zero(), seconds(20)), start);
}

} // namespace

} // namespace yuccaspan::gateway

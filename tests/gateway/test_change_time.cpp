#include "gateway/change_time.hpp"

#include <gtest/gtest.h>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint now{seconds(1000)};

/// On a saturated link, an answer that took longer than 150 ms was mistaken for one of a watch that
/// had waited, so that its changes were dated too late (DRAIN on hunt day trouble-1 595785362495 of
/// the grown deployment).
TEST(ChangeTime, delayedAnswerMayHoldChangesSinceThePreviousOne)
{
    const TimePoint askedAt = now - milliseconds(400);
    const TimePoint previousAnswer = askedAt - milliseconds(930);
    EXPECT_LE(earliestChange(now, askedAt, previousAnswer), previousAnswer);
}

TEST(ChangeTime, watchThatWaitedReturnsARecentChange)
{
    const TimePoint askedAt = now - seconds(9);
    EXPECT_GE(earliestChange(now, askedAt, askedAt), now - milliseconds(500));
}

} // namespace

} // namespace yuccaspan::gateway

#include "gateway/change_time.hpp"

#include <gtest/gtest.h>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint now{seconds(1000)};

/// DRAIN on hunt day trouble-1 595785362495 of the grown deployment: an answer that took longer
/// than 150 ms on a full link passed for a watch that had waited.
TEST(ChangeTime, anAnswerOnAFullLinkShowsChangesSinceTheOneBefore)
{
    const TimePoint asked = now - milliseconds(400);
    const TimePoint before = asked - milliseconds(930);
    EXPECT_LE(earliestChange(now, asked, before), before);
}

TEST(ChangeTime, aWatchThatWaitedTellsOfAChangeThatHasJustCome)
{
    const TimePoint asked = now - seconds(9);
    EXPECT_GE(earliestChange(now, asked, asked), now - milliseconds(500));
}

} // namespace

} // namespace yuccaspan::gateway

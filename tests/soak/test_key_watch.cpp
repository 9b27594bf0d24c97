#include "key_watch.hpp"

#include <gtest/gtest.h>

namespace yuccaspan::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint start{seconds(1000)};

TargetTraits target(const std::string &id, std::int64_t incarnation = 1)
{
    TargetTraits traits;
    traits.id = id;
    traits.incarnation = incarnation;
    return traits;
}

TargetRun run(const std::string &id, std::uint32_t key, TimePoint at)
{
    TargetRun out;
    out.requestId = "r";
    out.target = id;
    out.incarnation = 1;
    out.key = key;
    out.at = at;
    return out;
}

TEST(KeyWatch, aHandoverInOrderIsRight)
{
    KeyWatch watch;
    EXPECT_FALSE(watch.granted(target("a"), {0, 99, 1}, start + seconds(5), start, false));
    watch.released(target("a"), {0, 99, 1}, start + seconds(1));
    EXPECT_FALSE(
        watch.granted(target("b"), {0, 49, 2}, start + seconds(6), start + seconds(1), false));
    EXPECT_FALSE(watch.began(run("b", 10, start + seconds(2))));
}

TEST(KeyWatch, aGrantBesideALongHoldIsFound)
{
    KeyWatch watch;
    EXPECT_FALSE(watch.granted(target("a"), {0, 99, 1}, start + seconds(5), start, false));
    EXPECT_TRUE(
        watch.granted(target("b"), {50, 60, 2}, start + seconds(6), start + seconds(1), false));
}

TEST(KeyWatch, twoTargetsThatBeginRequestsOnAKeyAreFound)
{
    KeyWatch watch;
    EXPECT_FALSE(watch.granted(target("a"), {0, 99, 1}, start + milliseconds(400), start, false));
    EXPECT_FALSE(watch.granted(target("b"), {0, 99, 2}, start + seconds(5), start, false));
    EXPECT_FALSE(watch.began(run("a", 7, start + milliseconds(100))));
    EXPECT_FALSE(watch.began(run("b", 8, start + milliseconds(150))));
    EXPECT_TRUE(watch.began(run("b", 7, start + milliseconds(200))));
}

TEST(KeyWatch, aTokenThatDoesNotGrowIsFound)
{
    KeyWatch watch;
    EXPECT_FALSE(watch.granted(target("a"), {0, 99, 5}, start + seconds(1), start, false));
    EXPECT_TRUE(
        watch.granted(target("b"), {0, 99, 5}, start + seconds(9), start + seconds(2), false));
}

TEST(KeyWatch, aRenewalThatReachesALaterLifeIsRight)
{
    KeyWatch watch;
    EXPECT_FALSE(watch.granted(target("a", 1), {0, 99, 5}, start + seconds(5), start, false));
    watch.died(target("a", 1), start + seconds(1));
    EXPECT_FALSE(
        watch.granted(target("a", 2), {0, 99, 5}, start + seconds(7), start + seconds(2), false));
    EXPECT_TRUE(
        watch.granted(target("a", 3), {0, 99, 4}, start + seconds(9), start + seconds(8), false));
}

TEST(KeyWatch, keysGivenAwayWhileTheirHolderWorksAreFound)
{
    KeyWatch watch;
    EXPECT_FALSE(watch.granted(target("a"), {0, 99, 1}, start + seconds(5), start, false));
    EXPECT_FALSE(watch.began(run("a", 7, start + seconds(1))));
    watch.released(target("a"), {0, 99, 1}, start + seconds(2));
    EXPECT_TRUE(
        watch.granted(target("b"), {0, 99, 2}, start + seconds(8), start + seconds(3), false));
}

} // namespace

} // namespace yuccaspan::soak

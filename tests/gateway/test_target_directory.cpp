#include "gateway/target_directory.hpp"

#include <gtest/gtest.h>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint start{seconds(100)};

TargetEntry entry(const std::string &id, std::int64_t incarnation)
{
    TargetEntry out;
    out.id = id;
    out.incarnation = incarnation;
    out.service = "s";
    out.address = "10.0.0.1:80";
    out.zone = "a";
    out.slots = 4;
    return out;
}

/// A single failed connection to the store looks like an outage, but a missing entry may have been
/// removed for good.
TEST(TargetDirectory, sendingBoundIsNotPostponedWhileAMissingEntryMayReturn)
{
    for (const bool awayForAll : {false, true}) {
        TargetDirectory directory;
        directory.put(entry("t", 5), start, start);
        if (awayForAll)
            directory.storeAway(start);
        else
            directory.storeUnavailable(start);
        directory.remove("t", start + milliseconds(100), start);
        EXPECT_TRUE(directory.usable(*directory.find("t")));
        const TimePoint expected = awayForAll ? start + milliseconds(100) : start;
        EXPECT_EQ(directory.unwantedSince(*directory.find("t")), expected);
        directory.put(entry("t", 5), start + milliseconds(900), start);
        EXPECT_FALSE(directory.unwantedSince(*directory.find("t")));
    }
}

/// An instance whose own call failed gets the removal late; the store was there for others.
TEST(TargetDirectory, removalAfterAFailedCallIsntDatedFromItsArrival)
{
    TargetDirectory directory;
    directory.put(entry("t", 1), start, start);
    directory.storeUnavailable(start);
    directory.remove("t", start + seconds(1), start + milliseconds(500));
    const auto since = directory.unwantedSince(*directory.find("t"));
    ASSERT_TRUE(since);
    EXPECT_LE(*since, start + milliseconds(500));
}

/// The bound for sending to a leaving target starts when the store acknowledges the change; an
/// instance reads the change later (DRAIN on hunt day scale-2 217040354903 of the grown
/// deployment).
TEST(TargetDirectory, leavingStartsAtTheEarliestPossibleAcknowledgement)
{
    TargetDirectory directory;
    TargetEntry one = entry("t", 5);
    directory.put(one, start, start);
    one.draining = true;
    directory.put(one, start + seconds(9), start + seconds(8));
    EXPECT_EQ(directory.unwantedSince(*directory.find("t")), start + seconds(8));
    directory.put(entry("u", 6), start, start);
    directory.remove("u", start + seconds(9), start + seconds(7));
    EXPECT_EQ(directory.unwantedSince(*directory.find("u")), start + seconds(7));
}

/// The instance that named it doesn't say since when it leaves.
TEST(TargetDirectory, leavingThatAnotherInstanceTellsIsntDatedTooLate)
{
    constexpr Duration longestBound = seconds(5);
    TargetDirectory directory;
    TargetEntry leaving = entry("t", 5);
    leaving.draining = true;
    directory.putIfNew(leaving, start);
    EXPECT_LE(directory.unwantedSince(*directory.find("t")), start - longestBound);
    // Kept, so that its keys can be released.
    directory.tick(start);
    EXPECT_NE(directory.find("t"), nullptr);
}

TEST(TargetDirectory, ignoresAnEntryOfAnEarlierIncarnation)
{
    TargetDirectory directory;
    directory.put(entry("t", 5), start, start);
    EXPECT_FALSE(directory.put(entry("t", 4), start, start));
    EXPECT_EQ(directory.find("t")->entry.incarnation, 5);
}

TEST(TargetDirectory, heartbeatAloneIsNotAChange)
{
    TargetDirectory directory;
    TargetEntry one = entry("t", 5);
    EXPECT_TRUE(directory.put(one, start, start));
    ++one.sequence;
    EXPECT_FALSE(directory.put(one, start, start));
}

TEST(TargetDirectory, drainingAndRemovedTargetsAreLeaving)
{
    TargetDirectory directory;
    TargetEntry one = entry("t", 5);
    directory.put(one, start, start);
    one.draining = true;
    directory.put(one, start + seconds(1), start + seconds(1));
    EXPECT_EQ(directory.find("t")->leavingSince, start + seconds(1));
    directory.put(entry("u", 6), start, start);
    directory.remove("u", start + seconds(2), start + seconds(2));
    EXPECT_EQ(directory.find("u")->leavingSince, start + seconds(2));
    EXPECT_FALSE(directory.usable(*directory.find("u")));
}

/// Entries that expired while the store was unavailable return within 2 s after it is reachable
/// again.
TEST(TargetDirectory, keepsMissingTargetsForAWhileAfterAStoreOutage)
{
    TargetDirectory directory;
    directory.put(entry("back", 1), start, start);
    directory.put(entry("gone", 2), start, start);
    directory.storeUnavailable(start);
    directory.replaceAll({}, start + milliseconds(100), start + milliseconds(100));
    EXPECT_TRUE(directory.find("back")->ready());
    directory.put(entry("back", 1), start + milliseconds(1900), start + milliseconds(1900));
    EXPECT_FALSE(directory.tick(start + milliseconds(2000)));
    EXPECT_TRUE(directory.find("gone")->ready());
    EXPECT_TRUE(directory.tick(start + milliseconds(2500)));
    EXPECT_TRUE(directory.find("back")->ready());
    EXPECT_FALSE(directory.find("gone")->ready());
}

TEST(TargetDirectory, evacuatedZonesAreNotUsable)
{
    TargetDirectory directory;
    directory.put(entry("t", 5), start, start);
    directory.setEvacuated({"a"}, start + seconds(1));
    EXPECT_FALSE(directory.usable(*directory.find("t")));
    EXPECT_EQ(directory.unwantedSince(*directory.find("t")), start + seconds(1));
    directory.setEvacuated({"a", "b"}, start + seconds(2));
    EXPECT_EQ(directory.unwantedSince(*directory.find("t")), start + seconds(1));
    directory.setEvacuated({}, start + seconds(3));
    EXPECT_TRUE(directory.usable(*directory.find("t")));
}

TEST(TargetDirectory, findsTheNewestTargetAtAnAddress)
{
    TargetDirectory directory;
    directory.put(entry("old", 5), start, start);
    directory.put(entry("new", 6), start, start);
    EXPECT_EQ(directory.findAddress("10.0.0.1:80")->entry.id, "new");
    EXPECT_EQ(directory.findAddress("10.0.0.2:80"), nullptr);
}

TEST(TargetDirectory, targetIsColdForTheTimeInItsEntry)
{
    TargetDirectory directory;
    TargetEntry one = entry("t", 5);
    one.warmupLeft = seconds(3);
    directory.put(one, start, start);
    EXPECT_TRUE(directory.find("t")->cold(start + seconds(2)));
    EXPECT_FALSE(directory.find("t")->cold(start + seconds(3)));
    one.warmupLeft = seconds(2);
    directory.put(one, start + seconds(10), start + seconds(10));
    EXPECT_TRUE(directory.find("t")->cold(start + seconds(11)));
}

} // namespace

} // namespace yuccaspan::gateway

#include "gateway/evidence/store_evidence.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint start{seconds(1000)};
constexpr ObjectKind kind = ObjectKind::Targets;

constexpr StoreRevision revision(std::uint64_t number, std::uint64_t era = 1)
{
    return {era, number};
}

/// On a saturated link, an answer that took longer than 150 ms was mistaken for one of a watch that
/// had waited (DRAIN on hunt day trouble-1 595785362495 of the grown deployment).
TEST(StoreEvidence, delayedAnswerMayHoldChangesSinceThePreviousOne)
{
    StoreEvidence evidence;
    const TimePoint previousAnswer = start - milliseconds(1330);
    evidence.applied(kind, revision(10), revision(9));
    evidence.proven(kind, previousAnswer);
    EXPECT_LE(evidence.changedSince(kind, revision(11)), previousAnswer);
}

TEST(StoreEvidence, nothingIsProvenBeforeTheFirstAnswer)
{
    const StoreEvidence evidence;
    EXPECT_EQ(evidence.changedSince(kind, revision(11)), TimePoint{});
    EXPECT_EQ(evidence.provenAt(kind), TimePoint{});
}

TEST(StoreEvidence, aChangeIsDatedFromTheLastEarlierRevision)
{
    StoreEvidence evidence;
    evidence.applied(kind, revision(10), revision(9));
    evidence.proven(kind, start);
    evidence.observed(revision(20), start + seconds(1));
    evidence.observed(revision(30), start + seconds(2));
    evidence.observed(revision(40), start + seconds(3));
    EXPECT_EQ(evidence.changedSince(kind, revision(15)), start);
    EXPECT_EQ(evidence.changedSince(kind, revision(20)), start);
    EXPECT_EQ(evidence.changedSince(kind, revision(31)), start + seconds(2));
    EXPECT_EQ(evidence.changedSince(kind, revision(50)), start + seconds(3));
    // A deletion may carry the last revision of the deleted object.
    EXPECT_EQ(evidence.changedSince(kind, revision(9)), start);
    // Numbers of another era prove nothing.
    EXPECT_EQ(evidence.changedSince(kind, revision(31, 2)), start);
}

TEST(StoreEvidence, aMarkProvesOnlyWhatIsInForceHere)
{
    StoreEvidence placer;
    placer.applied(kind, revision(30), revision(25));
    placer.proven(kind, start);
    placer.observed(revision(28), start - milliseconds(400));
    const StoreMark mark = placer.mark(start + milliseconds(100));

    StoreEvidence behind;
    behind.applied(kind, revision(24), revision(24));
    behind.take(mark, start + seconds(5), start + seconds(6));
    EXPECT_EQ(behind.provenAt(kind), TimePoint{});
    EXPECT_TRUE(behind.overdue(start + milliseconds(6399)).empty());
    EXPECT_EQ(behind.overdue(start + milliseconds(6400)), std::vector{kind});
    EXPECT_TRUE(behind.overdue(start + milliseconds(6500)).empty());
    EXPECT_EQ(behind.overdue(start + milliseconds(7400)), std::vector{kind});
    behind.applied(kind, revision(26), revision(25));
    EXPECT_TRUE(behind.overdue(start + seconds(9)).empty());
    EXPECT_EQ(behind.changedSince(kind, revision(29)), start + seconds(5) - milliseconds(500));

    StoreEvidence current;
    current.applied(kind, revision(25), revision(25));
    current.take(mark, start + seconds(5), start + seconds(6));
    EXPECT_EQ(current.provenAt(kind), start + seconds(5) - milliseconds(100));
}

TEST(StoreEvidence, aMarkProvesAKindWithoutObjects)
{
    StoreEvidence placer;
    placer.listed(kind, revision(20), {});
    placer.proven(kind, start);
    StoreEvidence current;
    current.listed(kind, revision(20), {});
    current.take(placer.mark(start), start, start);
    EXPECT_EQ(current.provenAt(kind), start);
}

TEST(StoreEvidence, aListMayHoldDeletionsThatItDoesntShow)
{
    StoreEvidence placer;
    placer.listed(kind, revision(20), revision(15));
    placer.proven(kind, start);
    StoreEvidence behind;
    behind.applied(kind, revision(18), revision(15));
    behind.take(placer.mark(start), start, start);
    EXPECT_EQ(behind.provenAt(kind), TimePoint{});
    // Instances start at different revisions; that alone makes none list again.
    EXPECT_TRUE(behind.overdue(start + seconds(9)).empty());

    placer.listed(kind, revision(30), revision(15));
    behind.take(placer.mark(start), start, start);
    EXPECT_EQ(behind.overdue(start + seconds(9)), std::vector{kind});
}

/// No change is dated after it happened, whatever is lost, late or asked when.
RC_GTEST_PROP(StoreEvidence, neverDatesAChangeTooLate, ())
{
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(1, 400)));
    StoreEvidence placer;
    StoreEvidence self;
    TimePoint now = start;
    std::uint64_t number = 1;
    StoreRevision lastObject;
    std::vector<std::pair<StoreRevision, TimePoint>> changes; ///< Of the kind; unknown to self.
    std::optional<std::pair<StoreMark, TimePoint>> underWay;
    const auto check = [&] {
        for (const auto &[change, at] : changes) {
            RC_ASSERT(self.changedSince(kind, change) <= at);
            // By this time the deletions in a list are dated.
            RC_ASSERT(self.provenAt(kind) <= at);
        }
    };
    for (const auto &[step, ms] : steps) {
        now += milliseconds(ms);
        switch (step) {
        case 0: // An object changes.
            lastObject = revision(++number);
            changes.emplace_back(lastObject, now);
            break;
        case 1: // An object is deleted.
            changes.emplace_back(revision(++number), now);
            break;
        case 2: // The placer writes something else.
            placer.observed(revision(++number), now);
            break;
        case 3: // The placer lists.
            placer.listed(kind, revision(number), lastObject);
            placer.proven(kind, now);
            placer.observed(revision(number), now);
            break;
        case 4: // A question to the placer, or the answer to the last one.
            if (underWay)
                self.take(underWay->first, underWay->second, now);
            underWay = std::pair(placer.mark(now), now);
            break;
        case 5: // This instance lists.
            check();
            changes.clear();
            self.listed(kind, revision(number), lastObject);
            self.proven(kind, now);
            break;
        default: // Time passes.
            break;
        }
        check();
    }
}

TEST(StoreMark, isReadAsItWasWritten)
{
    MarkAnswer answer;
    answer.askedAt = start;
    answer.mark.kinds[kind] = {revision(7, 3), revision(5, 3), milliseconds(40)};
    answer.mark.revisions.emplace_back(revision(9, 3), milliseconds(120));
    const auto bytes = encodeMarkAnswer(answer);
    ASSERT_TRUE(isMarkAnswer(bytes));
    EXPECT_FALSE(decodeMarkQuestion(bytes));
    const Result<MarkAnswer> read = decodeMarkAnswer(bytes);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->askedAt, start);
    ASSERT_TRUE(read->mark.kinds.contains(kind));
    EXPECT_EQ(read->mark.kinds.at(kind).lastChange, revision(7, 3));
    EXPECT_EQ(read->mark.kinds.at(kind).lastList, revision(5, 3));
    EXPECT_EQ(read->mark.kinds.at(kind).age, milliseconds(40));
    ASSERT_EQ(read->mark.revisions.size(), 1U);
    EXPECT_EQ(read->mark.revisions.front().first, revision(9, 3));
    MarkQuestion question{start, {{kind, revision(6, 3)}}};
    const auto asked = decodeMarkQuestion(encodeMarkQuestion(question));
    ASSERT_TRUE(asked);
    EXPECT_EQ(asked->askedAt, start);
    EXPECT_EQ(asked->lacks, question.lacks);
}

TEST(StoreMark, bringsTheChangesThatLack)
{
    MarkAnswer answer;
    answer.askedAt = start;
    StoredObjects &changes = answer.changes[kind];
    changes.revision = revision(9, 3);
    changes.objects = {{"t1", revision(8, 3), false, nullptr, "draining"},
                       {"t 2&", revision(9, 3), true, nullptr, {}}};
    const Result<MarkAnswer> read = decodeMarkAnswer(encodeMarkAnswer(answer));
    ASSERT_TRUE(read);
    const StoredObjects &brought = read->changes.at(kind);
    EXPECT_EQ(brought.revision, revision(9, 3));
    ASSERT_EQ(brought.objects.size(), 2U);
    EXPECT_EQ(brought.objects[0].text, "draining");
    EXPECT_EQ(brought.objects[1].name, "t 2&");
    EXPECT_TRUE(brought.objects[1].deleted);
}

TEST(StoreMark, damagedOnesAreRefused)
{
    MarkAnswer answer;
    answer.mark.kinds[kind] = {revision(7), revision(7), milliseconds(40)};
    std::vector<std::uint8_t> bytes = encodeMarkAnswer(answer);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        EXPECT_FALSE(decodeMarkAnswer({bytes.begin(), bytes.begin() + std::ptrdiff_t(size)}));
    EXPECT_FALSE(decodeMarkQuestion({0xA1, 0x61, '?', 0x61}));
    EXPECT_FALSE(decodeMarkQuestion({}));
}

} // namespace

} // namespace yuccaspan::gateway

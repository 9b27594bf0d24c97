#include "gateway/news/news_desk.hpp"
#include "gateway/news/news_source.hpp"
#include "gateway/news/news_tree.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint start{seconds(1000)};
constexpr ObjectKind kind = ObjectKind::Targets;

StoredObject object(const std::string &name, std::uint64_t revision, bool deleted = false)
{
    return {name, {1, revision}, deleted, nullptr, {}};
}

StoredObjects objects(std::vector<StoredObject> items, std::uint64_t revision)
{
    StoredObjects out;
    out.objects = std::move(items);
    out.revision = {1, revision};
    return out;
}

std::vector<std::string> names(std::size_t count)
{
    std::vector<std::string> out;
    for (std::size_t index = 0; index < count; ++index)
        out.push_back("instance-" + std::to_string(index));
    return out;
}

TEST(NewsTree, asksFewWhateverTheNumberOfInstances)
{
    for (const std::size_t count : {1U, 2U, 3U, 7U, 24U, 146U, 400U}) {
        const std::vector<std::string> zone = names(count);
        std::map<std::string, std::size_t> children;
        std::map<std::string, NewsPlace> places;
        std::size_t readers = 0;
        for (const std::string &name : zone) {
            places[name] = newsPlace(zone, name);
            readers += std::size_t(places[name].reader);
            if (!places[name].reader) {
                ASSERT_EQ(places[name].parents.size(), newsReadersPerZone);
                EXPECT_NE(places[name].parents[0], places[name].parents[1]);
                ++children[places[name].parents[0]];
            }
        }
        EXPECT_EQ(readers, std::min(count, newsReadersPerZone));
        for (const auto &[name, number] : children)
            EXPECT_LE(number, newsFanOut);
        for (const std::string &name : zone) {
            // By either parent, a reader is reached in few hops.
            for (const std::size_t choice : {0U, 1U}) {
                std::string at = name;
                int hops = 0;
                while (!places[at].reader && hops < 10) {
                    at = places[at].parents[choice];
                    ++hops;
                }
                EXPECT_LE(hops, count <= 146 ? 2 : 3);
            }
        }
    }
}

/// A history is what a list of all changes gives: the last change of each object since.
RC_GTEST_PROP(NewsLog, givesWhatAPlainListGives, ())
{
    const auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
        rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::arbitrary<bool>()));
    const auto batch = *rc::gen::inRange(1, 4);
    NewsLog log;
    log.listed(objects({}, 1), start);
    std::map<std::string, StoredObject> last;
    std::set<std::string> present;
    std::uint64_t revision = 1;
    std::vector<StoredObject> pending;
    std::uint64_t told = 1;
    for (const auto &[number, deletion] : steps) {
        const std::string name(1, static_cast<char>('a' + number));
        if (deletion && !present.contains(name))
            continue;
        ++revision;
        last[name] = object(name, revision, deletion);
        if (deletion)
            present.erase(name);
        else
            present.insert(name);
        pending.push_back(last[name]);
        if (pending.size() >= static_cast<std::size_t>(batch)) {
            log.changed(objects(pending, revision), {1, told}, start);
            // An answer that comes twice changes nothing.
            RC_ASSERT(!log.changed(objects(pending, revision), {1, told}, start));
            told = revision;
            pending.clear();
        }
    }
    for (std::uint64_t from = 1; from <= told; ++from) {
        std::map<std::string, StoredObject> seen;
        const auto changes = log.changesAfter({1, from}, 1000);
        RC_ASSERT(changes.revision.number == told);
        std::uint64_t before = from;
        for (const StoredObject &change : changes.objects) {
            RC_ASSERT(change.revision.number > before);
            before = change.revision.number;
            seen[change.name] = change;
        }
        if (!pending.empty())
            continue;
        for (const auto &[name, change] : last) {
            RC_ASSERT(seen.contains(name) == (change.revision.number > from));
            if (seen.contains(name))
                RC_ASSERT(seen[name].deleted == change.deleted);
        }
    }
}

TEST(NewsLog, aListTellsWhatIsGone)
{
    NewsLog log;
    log.listed(objects({object("a", 3), object("b", 4)}, 5), start);
    EXPECT_FALSE(log.covers({1, 4}));
    log.listed(objects({object("b", 4), object("c", 8)}, 9), start);
    const StoredObjects changes = log.changesAfter({1, 5}, 100);
    ASSERT_EQ(changes.objects.size(), 2U);
    EXPECT_EQ(changes.objects[0].name, "c");
    EXPECT_EQ(changes.objects[1].name, "a");
    EXPECT_TRUE(changes.objects[1].deleted);
}

TEST(NewsLog, neverGoesBack)
{
    NewsLog log;
    log.listed(objects({object("a", 8)}, 9), start);
    log.listed(objects({object("a", 3)}, 5), start);
    EXPECT_EQ(log.newest().number, 9U);
    EXPECT_FALSE(log.changed(objects({object("a", 4)}, 6), {1, 3}, start));
    EXPECT_FALSE(log.changed(objects({object("a", 7, true)}, 10), {1, 6}, start));
    EXPECT_EQ(log.changesAfter({1, 1}, 9).objects.at(0).revision.number, 8U);
    // What lies between is not known.
    EXPECT_FALSE(log.changed(objects({object("b", 20)}, 20), {1, 15}, start));
    EXPECT_LT(log.newest().number, 15U);
}

TEST(NewsLog, keepsAsManyDeletionsAsItMay)
{
    NewsLog log;
    log.listed(objects({}, 1), start);
    std::uint64_t revision = 1;
    for (std::size_t index = 0; index < NewsLog::maxDeletions + 5; ++index) {
        const std::string name = std::to_string(index);
        log.changed(objects({object(name, revision + 1)}, revision + 1), {1, revision}, start);
        ++revision;
        log.changed(objects({object(name, revision + 1, true)}, revision + 1), {1, revision},
                    start);
        ++revision;
    }
    EXPECT_FALSE(log.covers({1, 2}));
    EXPECT_TRUE(log.covers({1, revision - 1}));
    EXPECT_EQ(log.changesAfter({1, 1}, 100000).objects.size(), NewsLog::maxDeletions);
}

TEST(NewsLog, cutsBetweenRevisions)
{
    NewsLog log;
    log.listed(objects({object("a", 1)}, 1), start);
    log.changed(objects({object("b", 2), object("c", 3), object("d", 4)}, 9), {1, 1}, start);
    const StoredObjects changes = log.changesAfter({1, 1}, 2);
    EXPECT_EQ(changes.objects.size(), 2U);
    EXPECT_EQ(changes.revision.number, 3U);
    EXPECT_TRUE(changes.mayHaveMore);
}

TEST(NewsMessage, dropsWhatIsMalformed)
{
    NewsDesk desk;
    desk.log(kind).listed(objects({object("a", 1)}, 1), start);
    const std::string question = encodeNews(desk.question());
    const std::string answer = encodeNews(desk.answer(desk.question(), start));
    ASSERT_TRUE(decodeNewsQuestion(question));
    ASSERT_TRUE(decodeNewsAnswer(answer));
    for (std::size_t length = 0; length < question.size(); ++length)
        EXPECT_FALSE(decodeNewsQuestion(question.substr(0, length)));
    for (std::size_t length = 0; length < answer.size(); ++length)
        EXPECT_FALSE(decodeNewsAnswer(answer.substr(0, length)));
    EXPECT_FALSE(decodeNewsAnswer(R"({"heldMs":-1,"kinds":{},"maps":[]})"));
    EXPECT_FALSE(decodeNewsAnswer(R"({"heldMs":1e300,"kinds":{},"maps":[]})"));
    std::string many = R"({"heldMs":0,"kinds":{},"maps":[)";
    for (std::size_t index = 0; index <= maxNewsObjects; ++index)
        many += std::string(index == 0 ? "" : ",") + R"({"name":"m","revision":[1,1]})";
    EXPECT_FALSE(decodeNewsAnswer(many + "]}"));
}

/// An instance that was frozen reads an answer that is as old as its sleep.
TEST(NewsDesk, ageAddsUpOverHopsAndSleep)
{
    NewsDesk parent;
    NewsDesk child;
    for (NewsDesk *desk : {&parent, &child}) {
        for (const ObjectKind each :
             {ObjectKind::Settings, ObjectKind::Targets, ObjectKind::Evacuations})
            desk->log(each).listed(objects({}, 1), start);
    }
    const NewsQuestion question = child.question();
    NewsAnswer answer = parent.answer(question, start + seconds(1));
    answer.held = milliseconds(400);
    const NewsTaken taken =
        child.take(answer, question, start + milliseconds(600), start + seconds(11));
    EXPECT_EQ(taken.age, seconds(11));
    // A parent of an earlier era says nothing of this one.
    StoredObjects later;
    later.revision = {2, 1};
    child.log(kind).listed(later, start + seconds(11));
    for (const ObjectKind each :
         {ObjectKind::Settings, ObjectKind::Targets, ObjectKind::Evacuations})
        parent.log(each).confirmed(start + seconds(20));
    const NewsQuestion next = child.question();
    EXPECT_EQ(child
                  .take(parent.answer(next, start + seconds(20)), next, start + seconds(20),
                        start + seconds(20))
                  .age,
              seconds(9));
}

/// A parent that listed later than its child doesn't know the deletions between.
TEST(NewsDesk, aGapIsClosedByAListFromTheParent)
{
    NewsDesk parent;
    NewsDesk child;
    parent.log(kind).listed(objects({object("b", 4), object("c", 8)}, 9), start);
    child.log(kind).listed(objects({object("a", 3), object("b", 4)}, 5), start);
    const NewsQuestion question = child.question();
    // Waits for the regular answer, so that a child that can't close it doesn't ask without pause.
    EXPECT_FALSE(parent.hasNews(question));
    const Result<NewsAnswer> answer = decodeNewsAnswer(encodeNews(parent.answer(question, start)));
    ASSERT_TRUE(answer);
    EXPECT_TRUE(child.take(*answer, question, start, start).changed);
    const StoredObjects changes = child.log(kind).changesAfter({1, 5}, 100);
    ASSERT_EQ(changes.objects.size(), 2U);
    EXPECT_EQ(changes.objects[0].name, "c");
    EXPECT_EQ(changes.objects[1].name, "a");
    EXPECT_TRUE(changes.objects[1].deleted);
    EXPECT_EQ(changes.revision.number, 9U);
    // A list that was cut says nothing of what is gone.
    NewsAnswer cut = *answer;
    cut.kinds[kind].changes.mayHaveMore = true;
    NewsDesk other;
    other.log(kind).listed(objects({object("a", 3)}, 5), start);
    EXPECT_EQ(other.take(cut, question, start, start).gaps, std::vector<ObjectKind>{kind});
    EXPECT_EQ(other.log(kind).newest().number, 5U);
}

TEST(NewsSource, turnsToTheOtherParentThenToTheStoreAndBack)
{
    const NewsTiming timing;
    NewsSource source("me", timing);
    TimePoint now = start;
    EXPECT_TRUE(source.fromStore(now));
    source.setPlace({false, {"a", "b"}}, now);
    EXPECT_EQ(source.peer(now), "a");
    EXPECT_FALSE(source.fromStore(now));
    source.answered(milliseconds(10), now);
    // Old news counts as none.
    source.answered(timing.maxAge + milliseconds(1), now);
    EXPECT_EQ(source.peer(now), "b");
    EXPECT_FALSE(source.fromStore(now));
    source.failed(now);
    EXPECT_EQ(source.peer(now), "");
    EXPECT_EQ(source.inUse(now), "none");
    EXPECT_TRUE(source.fromStore(now + timing.spread));
    EXPECT_EQ(source.inUse(now + timing.spread), "store");
    // While parents are tried again, the store is followed until one answers.
    now += 2 * timing.retry;
    EXPECT_EQ(source.peer(now), "a");
    EXPECT_TRUE(source.fromStore(now));
    source.failed(now);
    EXPECT_TRUE(source.fromStore(now));
    EXPECT_EQ(source.peer(now), "b");
    source.answered(milliseconds(10), now);
    EXPECT_FALSE(source.fromStore(now));
    EXPECT_EQ(source.inUse(now), "b");
}

TEST(NewsSource, spreadsThoseWhoTurnToTheStore)
{
    std::set<Duration> moments;
    for (const std::string &name : names(50)) {
        NewsSource source(name);
        source.setPlace({false, {"a", "b"}}, start);
        source.failed(start);
        source.failed(start);
        Duration after{};
        while (!source.fromStore(start + after))
            after += milliseconds(20);
        moments.insert(after);
    }
    EXPECT_GT(moments.size(), 10U);
    EXPECT_LE(*moments.rbegin(), milliseconds(400));
}

} // namespace

} // namespace yuccaspan::gateway

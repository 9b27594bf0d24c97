// How news spreads over many instances: the decisions of each, with a store and a network that the
// test plays in steps.

#include "gateway/news/news_desk.hpp"
#include "gateway/news/news_source.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration step = milliseconds(10);
constexpr Duration batch = milliseconds(100);
constexpr Duration bound = seconds(1); ///< Within which a change must be known.
constexpr std::size_t zones = 5;

struct Instance
{
    explicit Instance(const std::string &name) : source(name) { }

    NewsDesk desk;
    NewsSource source;
    std::string zone;
    std::map<std::string, std::size_t> names; ///< Of the zone.
    bool killed = false;
    bool cut = false; ///< From the store.
    TimePoint frozenUntil{};
    TimePoint nextWatch{};
    TimePoint nextCheck{};
    TimePoint nextPoll{};
    std::optional<NewsQuestion> asked;
    std::size_t parent = 0;
    TimePoint askedAt{};
    bool lost = false; ///< The call gets no answer.
    StoreRevision before;
    std::size_t calls = 0; ///< Answers given to others.
};

class Spread
{
public:
    explicit Spread(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            m_instances.emplace_back("instance-" + std::to_string(index));
        for (std::size_t zone = 0; zone < zones; ++zone) {
            std::vector<std::string> names;
            std::map<std::string, std::size_t> byName;
            for (std::size_t index = zone; index < count; index += zones) {
                names.push_back("instance-" + std::to_string(index));
                byName[names.back()] = index;
            }
            for (std::size_t index = zone; index < count; index += zones) {
                const NewsPlace place = newsPlace(names, "instance-" + std::to_string(index));
                (place.reader ? readers : children).push_back(index);
                m_instances[index].names = byName;
                m_instances[index].source.setPlace(place, m_now);
            }
        }
        for (Instance &instance : m_instances) {
            for (const ObjectKind kind :
                 {ObjectKind::Settings, ObjectKind::Targets, ObjectKind::Evacuations})
                instance.desk.log(kind).listed(changesAfter({1, 1}), m_now);
        }
    }

    void run(Duration span, Duration changeEvery)
    {
        const TimePoint end = m_now + span;
        for (; m_now < end; m_now += step) {
            if (changeEvery > Duration::zero() && m_now >= m_nextChange) {
                m_changedAt.push_back(m_now);
                m_nextChange = m_now + changeEvery;
            }
            for (Instance &instance : m_instances) {
                if (!instance.killed && m_now >= instance.frozenUntil)
                    act(instance);
            }
            measure();
        }
    }

    Instance &operator[](std::size_t index) { return m_instances[index]; }
    [[nodiscard]] std::size_t busiest() const
    {
        std::size_t most = 0;
        for (const Instance &instance : m_instances)
            most = std::max(most, instance.calls);
        return most;
    }

    std::vector<std::size_t> readers;
    std::vector<std::size_t> children;
    double loss = 0; ///< Fraction of calls between instances without an answer.
    std::size_t storeCalls = 0;
    std::size_t checks = 0; ///< Reads that may be old.
    Duration worst{}; ///< Longest time until a change was known.

private:
    [[nodiscard]] StoreRevision storeRevision() const { return {1, m_changedAt.size() + 1}; }
    [[nodiscard]] StoredObjects changesAfter(StoreRevision revision) const
    {
        StoredObjects changes;
        changes.revision = storeRevision();
        for (std::uint64_t number = revision.number + 1; number <= changes.revision.number;
             ++number)
            changes.objects.push_back(
                {"target-" + std::to_string(number % 50), {1, number}, false, nullptr, {}});
        return changes;
    }

    void act(Instance &instance)
    {
        NewsLog &log = instance.desk.log(ObjectKind::Targets);
        if (instance.source.fromStore(m_now) && !instance.cut) {
            if (m_now >= instance.nextWatch && log.newest() < storeRevision()) {
                ++storeCalls;
                log.changed(changesAfter(log.newest()), log.newest(), m_now);
                instance.nextWatch = m_now + batch;
            }
            if (m_now >= instance.nextCheck) {
                ++checks;
                instance.nextCheck = m_now + NewsTiming().check;
                instance.desk.log(ObjectKind::Settings).confirmed(m_now);
                instance.desk.log(ObjectKind::Evacuations).confirmed(m_now);
                if (log.newest() == storeRevision())
                    log.confirmed(m_now);
            }
        }
        EXPECT_GE(log.newest(), instance.before);
        instance.before = log.newest();
        if (!instance.asked)
            ask(instance);
        else
            await(instance);
    }

    void ask(Instance &instance)
    {
        const std::string peer = instance.source.peer(m_now);
        if (peer.empty() || m_now < instance.nextPoll)
            return;
        instance.asked = instance.desk.question();
        instance.parent = instance.names.at(peer);
        instance.askedAt = m_now;
        instance.lost = std::bernoulli_distribution(loss)(m_random);
    }

    void await(Instance &instance)
    {
        Instance &parent = m_instances[instance.parent];
        const Duration waited = m_now - instance.askedAt;
        const auto end = [&](bool failed) {
            if (failed)
                instance.source.failed(m_now);
            instance.asked.reset();
            instance.nextPoll = m_now + milliseconds(50);
        };
        if (parent.killed || waited > NewsTiming().silence) {
            end(true);
        } else if (!instance.lost && m_now >= parent.frozenUntil
                   && (parent.desk.hasNews(*instance.asked) || waited >= NewsTiming().heartbeat)) {
            ++parent.calls;
            NewsAnswer answer = parent.desk.answer(*instance.asked, m_now);
            answer.held = waited;
            instance.source.answered(
                instance.desk.take(answer, *instance.asked, instance.askedAt, m_now).age, m_now);
            end(false);
        }
    }

    /// Takes the age of the oldest change that an instance in touch doesn't know.
    void measure()
    {
        for (Instance &instance : m_instances) {
            const std::uint64_t known = instance.desk.log(ObjectKind::Targets).newest().number;
            // An instance that wakes has to catch up only from then on.
            if (instance.killed || instance.cut || known > m_changedAt.size())
                continue;
            const TimePoint since = std::max(m_changedAt[known - 1], instance.frozenUntil);
            if (since <= m_now)
                worst = std::max(worst, m_now - since);
        }
    }

    std::vector<Instance> m_instances;
    TimePoint m_now{seconds(1000)};
    TimePoint m_nextChange{};
    std::vector<TimePoint> m_changedAt;
    std::mt19937 m_random{7919};
};

/// The load pattern: many changes, many instances.
TEST(NewsSpread, callsDontGrowWithTheInstances)
{
    std::size_t callsOf34 = 0;
    std::size_t busiestOf34 = 0;
    for (const std::size_t count : {6U, 34U, 118U}) {
        Spread spread(count);
        spread.run(seconds(20), milliseconds(150));
        EXPECT_LE(spread.worst, bound) << count;
        EXPECT_LE(spread.readers.size(), zones * newsReadersPerZone);
        // A reader calls once a change.
        EXPECT_LE(spread.storeCalls, spread.readers.size() * 134 + 5) << count;
        if (count == 34) {
            callsOf34 = spread.storeCalls;
            busiestOf34 = spread.busiest();
        } else if (count == 118) {
            EXPECT_LE(spread.storeCalls, callsOf34 * 11 / 10);
            EXPECT_LE(spread.busiest(), newsFanOut * 20 * 20);
            EXPECT_GT(busiestOf34, 0U);
        }
    }
}

TEST(NewsSpread, changesArriveWhileCallsAreLost)
{
    Spread spread(118);
    spread.loss = 0.02;
    spread.run(seconds(30), milliseconds(300));
    EXPECT_LE(spread.worst, bound);
}

TEST(NewsSpread, changesArriveWhileReadersAreKilled)
{
    Spread spread(118);
    spread.run(seconds(3), milliseconds(150));
    for (const std::size_t reader : spread.readers) {
        spread[reader].killed = true;
        spread.run(seconds(1), milliseconds(150));
    }
    spread.run(seconds(5), milliseconds(150));
    EXPECT_LE(spread.worst, bound);
}

TEST(NewsSpread, changesArriveWhileOneReaderOfEachZoneIsFrozen)
{
    Spread spread(118);
    spread.run(seconds(3), milliseconds(150));
    for (std::size_t index = 0; index < spread.readers.size(); index += newsReadersPerZone)
        spread[spread.readers[index]].frozenUntil = TimePoint(seconds(1009));
    spread.run(seconds(15), milliseconds(150));
    EXPECT_LE(spread.worst, bound);
}

TEST(NewsSpread, changesArriveWhileAReaderIsCutFromTheStore)
{
    Spread spread(118);
    spread.run(seconds(3), milliseconds(150));
    for (std::size_t index = 0; index < spread.readers.size(); index += newsReadersPerZone)
        spread[spread.readers[index]].cut = true;
    spread.run(seconds(10), milliseconds(150));
    EXPECT_LE(spread.worst, bound);
}

} // namespace

} // namespace yuccaspan::gateway

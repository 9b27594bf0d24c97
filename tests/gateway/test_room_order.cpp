#include "gateway/admission/room_order.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <numeric>
#include <set>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint start{std::chrono::seconds(10)};

const RoomOrder &leastCost()
{
    return RoomOrder::of(WaitingOrder::LeastCost);
}

std::vector<Urgency> arbitrary(std::size_t most, std::uint32_t priorities)
{
    std::vector<Urgency> all;
    const auto size = *rc::gen::inRange<std::size_t>(0, most + 1);
    for (std::size_t index = 0; index < size; ++index) {
        const milliseconds onTime(*rc::gen::inRange(-200, 600));
        all.push_back({*rc::gen::inRange<std::uint32_t>(0, priorities), start + onTime,
                       start + onTime + milliseconds(*rc::gen::inRange(0, 900)),
                       milliseconds(*rc::gen::inRange(1, 300)), index});
    }
    return all;
}

std::vector<std::uint64_t> ids(const std::vector<Urgency> &all,
                               const std::vector<std::size_t> &order)
{
    std::vector<std::uint64_t> out;
    for (const std::size_t index : order)
        out.push_back(all[index].id);
    return out;
}

/// Requests that are on time, with the margin, if one target serves them in that order.
std::set<std::uint64_t> onTime(const std::vector<Urgency> &all,
                               const std::vector<std::size_t> &order)
{
    std::set<std::uint64_t> out;
    TimePoint now = start;
    for (const std::size_t index : order) {
        if (now + std::chrono::duration_cast<Duration>(all[index].work * workMargin)
            <= all[index].onTimeUntil)
            out.insert(all[index].id);
        now += all[index].work;
    }
    return out;
}

RC_GTEST_PROP(RoomOrder, eachIsPlannedOnceAndKeptOnlyIfItMakesItsDeadline, ())
{
    const std::vector<Urgency> all = arbitrary(40, 3);
    const RoomPlan plan = leastCost().plan(all, {start});
    RC_ASSERT(plan.order.size() + plan.leaving.size() == all.size());
    std::set<std::size_t> seen(plan.order.begin(), plan.order.end());
    TimePoint now = start;
    for (const std::size_t index : plan.order) {
        now += all[index].work;
        RC_ASSERT(now <= all[index].deadline);
    }
    for (const Departure &departure : plan.leaving) {
        seen.insert(departure.index);
        const Duration left = std::max(all[departure.index].deadline - start, Duration::zero());
        RC_ASSERT(departure.retryDelay <= left / 3);
    }
    RC_ASSERT(seen.size() == all.size());
}

RC_GTEST_PROP(RoomOrder, doesNotDependOnTheSequence, ())
{
    const std::vector<Urgency> all = arbitrary(40, 3);
    std::vector<Urgency> reversed(all.rbegin(), all.rend());
    RC_ASSERT(ids(all, leastCost().plan(all, {start}).order)
              == ids(reversed, leastCost().plan(reversed, {start}).order));
}

RC_GTEST_PROP(RoomOrder, noOrderHasMoreOfOnePriorityOnTime, ())
{
    const std::vector<Urgency> all = arbitrary(6, 1);
    std::vector<std::size_t> order(all.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::size_t most = 0;
    do {
        most = std::max(most, onTime(all, order).size());
    } while (std::ranges::next_permutation(order).found);
    RC_ASSERT(onTime(all, leastCost().plan(all, {start}).order).size() == most);
}

/// A newcomer takes nothing from those of higher priority that will be on time, and of its own
/// priority it displaces only a request of as much work or one that would be late.
RC_GTEST_PROP(RoomOrder, displacesTheLessUrgentOrDearer, ())
{
    const std::vector<Urgency> all = arbitrary(30, 3);
    const Urgency newcomer{1, start + milliseconds(*rc::gen::inRange(0, 600)),
                           start + milliseconds(1000), milliseconds(*rc::gen::inRange(1, 300)),
                           1000};
    const RoomPlan before = leastCost().plan(all, {start});
    const std::set<std::uint64_t> punctual = onTime(all, before.order);
    const Entry entry = leastCost().enter(all, newcomer, {start});
    RC_ASSERT(entry.waits || entry.displaced.empty()
              || entry.displaced.size() == before.leaving.size());
    const auto leftAnyway = [&](std::size_t index) {
        return std::ranges::any_of(
            before.leaving, [&](const Departure &departure) { return departure.index == index; });
    };
    for (const Departure &departure : entry.displaced) {
        const Urgency &gone = all[departure.index];
        if (leftAnyway(departure.index) || !punctual.contains(gone.id))
            continue;
        RC_ASSERT(gone.priority >= newcomer.priority);
        RC_ASSERT(gone.priority > newcomer.priority || gone.work >= newcomer.work);
    }
}

TEST(RoomOrder, retriesOfTheSameMomentAreSpread)
{
    std::set<Duration> delays;
    for (std::uint64_t id = 0; id < 100; ++id) {
        const Urgency request{0, start, start + milliseconds(1500), milliseconds(100), id * 10};
        const Duration delay = spreadRetryDelay(request, milliseconds(200), start);
        EXPECT_GE(delay, milliseconds(150));
        EXPECT_LE(delay, milliseconds(250));
        delays.insert(delay);
    }
    EXPECT_EQ(delays.size(), 100U);
}

/// A kind of request of a replay, with what its callers need.
struct Kind
{
    std::uint32_t priority;
    double perSecond;
    int workMs;
    int objectiveMs;
    int deadlineMs;
    double worth;
    double late;
    int retries;
};

struct Outcome
{
    int asked = 0;
    int onTime = 0;
    int late = 0;
    int lost = 0;
    int comeBack = 0; ///< Second and later tries.
    int refusedAgain = 0; ///< Of these.
    double worth = 0;

    Outcome &operator+=(const Outcome &other)
    {
        asked += other.asked;
        onTime += other.onTime;
        late += other.late;
        lost += other.lost;
        comeBack += other.comeBack;
        refusedAgain += other.refusedAgain;
        worth += other.worth;
        return *this;
    }
    [[nodiscard]] double lateShare() const { return double(late) / std::max(1, asked); }
    [[nodiscard]] double served() const { return double(onTime + late) / std::max(1, asked); }
};

/// Plays kinds that share a target of some slots: calm, an overload of 3 s, calm again.
class Replay
{
public:
    Replay(WaitingOrder order, std::vector<Kind> kinds, std::size_t slots, double overload,
           std::uint64_t seed)
        : m_order(RoomOrder::of(order)), m_kinds(std::move(kinds)), m_slots(slots), m_random(seed)
    {
        m_outcomes.resize(m_kinds.size());
        double work = 0;
        for (const Kind &kind : m_kinds)
            work += kind.perSecond * kind.workMs / 1000;
        const double calm = 0.7 * static_cast<double>(slots) / work;
        const double busy = overload * static_cast<double>(slots) / work;
        for (std::size_t kind = 0; kind < m_kinds.size(); ++kind) {
            double at = 0;
            while (true) {
                const double factor = at >= 1 && at < 4 ? busy : calm;
                at += -std::log(1 - uniform()) / (m_kinds[kind].perSecond * factor);
                if (at > 6)
                    break;
                const TimePoint first =
                    start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at));
                const double slowness = 0.6 + 0.8 * uniform();
                ++m_outcomes[kind].asked;
                m_tries.emplace(first, Try{kind, first, ++m_lastId * 7919, slowness, 0});
            }
        }
    }

    std::vector<Outcome> run()
    {
        while (!m_tries.empty() || !m_ends.empty()) {
            const bool ends = m_tries.empty()
                || (!m_ends.empty() && m_ends.begin()->first <= m_tries.begin()->first);
            m_now = ends ? m_ends.begin()->first : m_tries.begin()->first;
            if (ends) {
                m_ends.erase(m_ends.begin());
                serveNext();
            } else {
                const Try arrived = m_tries.begin()->second;
                m_tries.erase(m_tries.begin());
                arrive(arrived);
            }
        }
        return m_outcomes;
    }

private:
    struct Try
    {
        std::size_t kind;
        TimePoint first;
        std::uint64_t id;
        double slowness;
        int retries;
    };

    double uniform()
    {
        m_random = m_random * 6364136223846793005ULL + 1442695040888963407ULL;
        return static_cast<double>(m_random >> 11) / static_cast<double>(1ULL << 53);
    }

    [[nodiscard]] Urgency urgency(const Try &request) const
    {
        const Kind &kind = m_kinds[request.kind];
        // A try counts its own time, as the gateway sees it.
        return {kind.priority, m_arrived.at(request.id) + milliseconds(kind.objectiveMs),
                request.first + milliseconds(kind.deadlineMs), milliseconds(kind.workMs),
                request.id};
    }

    [[nodiscard]] std::vector<Urgency> waiting() const
    {
        std::vector<Urgency> all;
        for (const Try &request : m_waiting)
            all.push_back(urgency(request));
        return all;
    }

    [[nodiscard]] Room room() const { return {m_now, {}, static_cast<double>(m_slots)}; }

    void arrive(const Try &request)
    {
        m_arrived[request.id] = m_now;
        if (request.retries > 0)
            ++m_outcomes[request.kind].comeBack;
        if (m_ends.size() < m_slots) {
            send(request);
            return;
        }
        const Entry entry = m_order.enter(waiting(), urgency(request), room());
        removeAll(entry.displaced);
        if (entry.waits)
            m_waiting.push_back(request);
        else
            refuse(request, entry.retryDelay);
    }

    void serveNext()
    {
        std::vector<Departure> expired;
        for (std::size_t index = 0; index < m_waiting.size(); ++index) {
            if (urgency(m_waiting[index]).deadline <= m_now)
                expired.push_back({index, milliseconds(200)});
        }
        removeAll(expired);
        const RoomPlan plan = m_order.plan(waiting(), room());
        std::optional<Try> next;
        std::vector<Departure> leaving = plan.leaving;
        if (!plan.order.empty()) {
            next = m_waiting[plan.order.front()];
            leaving.push_back({plan.order.front(), Duration::max()});
        }
        removeAll(leaving);
        if (next)
            send(*next);
    }

    /// Removes requests from the lane; those with a retry delay are refused.
    void removeAll(std::vector<Departure> leaving)
    {
        std::ranges::sort(leaving, std::ranges::greater{}, &Departure::index);
        for (const Departure &departure : leaving) {
            const Try request = m_waiting[departure.index];
            m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(departure.index));
            if (departure.retryDelay != Duration::max())
                refuse(request, departure.retryDelay);
        }
    }

    void send(const Try &request)
    {
        const Kind &kind = m_kinds[request.kind];
        const TimePoint end = m_now
            + std::chrono::duration_cast<Duration>(milliseconds(kind.workMs) * request.slowness);
        m_ends.emplace(end, request.id);
        Outcome &outcome = m_outcomes[request.kind];
        if (end <= request.first + milliseconds(kind.objectiveMs)) {
            ++outcome.onTime;
            outcome.worth += kind.worth;
        } else if (end <= request.first + milliseconds(kind.deadlineMs)) {
            ++outcome.late;
            outcome.worth += kind.late;
        } else {
            ++outcome.lost;
        }
    }

    void refuse(Try request, Duration retryDelay)
    {
        const Kind &kind = m_kinds[request.kind];
        const Duration delay = std::max<Duration>(retryDelay, milliseconds(50));
        const Duration left = request.first + milliseconds(kind.deadlineMs) - m_now;
        if (request.retries > 0)
            ++m_outcomes[request.kind].refusedAgain;
        if (request.retries++ >= kind.retries || left <= Duration::zero()) {
            ++m_outcomes[request.kind].lost;
            return;
        }
        m_tries.emplace(m_now + std::min(delay, left / 3), request);
    }

    const RoomOrder &m_order;
    const std::vector<Kind> m_kinds;
    const std::size_t m_slots;
    std::vector<Outcome> m_outcomes;
    std::multimap<TimePoint, Try> m_tries;
    std::multimap<TimePoint, std::uint64_t> m_ends;
    std::map<std::uint64_t, TimePoint> m_arrived; ///< Last try, by request.
    std::vector<Try> m_waiting;
    TimePoint m_now = start;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_random;
};

std::vector<Outcome> playAll(WaitingOrder order, const std::vector<Kind> &kinds, double overload)
{
    constexpr std::size_t slots = 4;
    constexpr std::uint64_t runs = 40;
    std::vector<Outcome> sum(kinds.size());
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        const std::vector<Outcome> one = Replay(order, kinds, slots, overload, seed * 7919).run();
        for (std::size_t kind = 0; kind < kinds.size(); ++kind)
            sum[kind] += one[kind];
    }
    return sum;
}

double worth(const std::vector<Outcome> &outcomes)
{
    return std::accumulate(outcomes.begin(), outcomes.end(), 0.0,
                           [](double sum, const Outcome &one) { return sum + one.worth; });
}

struct Load
{
    const char *name;
    std::vector<Kind> kinds;
    double overload;
};

class RoomReplay : public testing::TestWithParam<Load>
{ };

TEST_P(RoomReplay, leastCostServesCallersBetterThanUrgency)
{
    const Load &load = GetParam();
    const auto before = playAll(WaitingOrder::Urgency, load.kinds, load.overload);
    const auto after = playAll(WaitingOrder::LeastCost, load.kinds, load.overload);
    for (std::size_t kind = 0; kind < load.kinds.size(); ++kind) {
        for (const auto &[name, one] : {std::pair("urgency", before[kind]), {"least", after[kind]}})
            std::printf("%s priority %u %s: asked %d on time %d late %d lost %d back %d again %d "
                        "worth %.1f\n",
                        load.name, load.kinds[kind].priority, name, one.asked, one.onTime, one.late,
                        one.lost, one.comeBack, one.refusedAgain, one.worth);
    }
    EXPECT_LE(after[0].lateShare(), before[0].lateShare() / 2);
    EXPECT_GE(worth(after), worth(before));
    int asked = 0;
    int served = 0;
    for (const Outcome &one : after) {
        asked += one.asked;
        served += one.onTime + one.late;
    }
    for (const Outcome &one : after)
        EXPECT_GE(one.served(), 0.25 * served / asked);
    for (std::size_t kind = 1; kind < after.size(); ++kind)
        EXPECT_GE(after[0].served(), after[kind].served() - 0.05);
}

const std::vector<Kind> pagesAndSales{{0, 10, 150, 400, 1500, 1.6, 0.32, 1},
                                      {1, 4, 100, 400, 1500, 2.5, 1.3, 1}};
const std::vector<Kind> threeKinds{{0, 10, 150, 400, 1500, 1.6, 0.32, 1},
                                   {1, 4, 100, 400, 1500, 2.5, 1.3, 1},
                                   {2, 4, 190, 1500, 3000, 0.85, 0.63, 1}};
const std::vector<Kind> quotesAndOthers{{0, 4, 54, 300, 2000, 2, 1, 2},
                                        {0, 6, 180, 600, 4000, 2, 1, 2},
                                        {1, 10, 140, 600, 3000, 1, 0.5, 2},
                                        {2, 4, 340, 1200, 8000, 1, 0.5, 2}};

INSTANTIATE_TEST_SUITE_P(
    Loads, RoomReplay,
    testing::Values(Load{"pages13", pagesAndSales, 1.3}, Load{"pages17", pagesAndSales, 1.7},
                    Load{"three13", threeKinds, 1.3}, Load{"three17", threeKinds, 1.7},
                    Load{"quotes13", quotesAndOthers, 1.3}, Load{"quotes17", quotesAndOthers, 1.7}),
    [](const auto &info) { return info.param.name; });

} // namespace

} // namespace yuccaspan::gateway

#include "gateway/waiting_lane.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint start{std::chrono::seconds(10)};

class Recorded final : public Waiter
{
public:
    Recorded(int name, Urgency urgency, std::vector<int> &order)
        : Waiter(urgency), m_name(name), m_order(order)
    { }

private:
    void resume() override { m_order.push_back(m_name); }
    int m_name;
    std::vector<int> &m_order;
};

TEST(WaitingLane, wakesMoreUrgentRequestsFirstThenOlderOnes)
{
    std::vector<int> order;
    Recorded a(1, {2, start + milliseconds(500)}, order);
    Recorded b(2, {0, start + milliseconds(500)}, order);
    Recorded c(3, {2, start + milliseconds(500)}, order);
    WaitingLane lane;
    lane.add(a);
    lane.add(b);
    lane.add(c);
    while (lane.wakeOne(start)) { }
    EXPECT_EQ(order, (std::vector<int>{2, 1, 3}));
}

TEST(WaitingLane, lateRequestsFallBehindExactlyOnePriority)
{
    std::vector<int> order;
    Recorded lateUrgent(1, {0, start - milliseconds(1)}, order);
    Recorded onTimeNext(2, {1, start + milliseconds(500)}, order);
    Recorded onTimeLast(3, {2, start + milliseconds(500)}, order);
    WaitingLane lane;
    lane.add(lateUrgent);
    lane.add(onTimeLast);
    lane.add(onTimeNext);
    while (lane.wakeOne(start)) { }
    EXPECT_EQ(order, (std::vector<int>{2, 1, 3}));
}

/// Guards the lane between the order and the requests: a newcomer that can be on time displaces a
/// late request that would miss its deadline then, which hears so with a retry delay.
TEST(WaitingLane, newcomerDisplacesWhatCannotMakeItsDeadlineAnyMore)
{
    const RoomOrder &order = RoomOrder::of(WaitingOrder::LeastCost);
    std::vector<int> woken;
    Recorded late(1, {0, start, start + milliseconds(150), milliseconds(100)}, woken);
    Recorded patient(2, {2, start + milliseconds(900), start + milliseconds(900), milliseconds(50)},
                     woken);
    WaitingLane lane;
    lane.add(late);
    lane.add(patient);
    const Urgency newcomer{0, start + milliseconds(200), start + milliseconds(900),
                           milliseconds(100)};
    EXPECT_TRUE(lane.enter(order, newcomer, {start}).waits);
    EXPECT_EQ(woken, std::vector<int>{1});
    ASSERT_TRUE(late.displaced());
    EXPECT_GT(*late.displaced(), Duration::zero());
    EXPECT_FALSE(patient.displaced());
    // Nobody is displaced twice.
    EXPECT_TRUE(lane.enter(order, newcomer, {start}).waits);
    EXPECT_EQ(woken, std::vector<int>{1});
}

TEST(WaitingLane, freedRoomAlsoTurnsAwayWhatCannotMakeItsDeadline)
{
    std::vector<int> woken;
    Recorded hopeless(1, {0, start, start + milliseconds(50), milliseconds(100)}, woken);
    Recorded next(2, {1, start + milliseconds(300), start + milliseconds(900), milliseconds(100)},
                  woken);
    WaitingLane lane;
    lane.add(hopeless);
    lane.add(next);
    const RoomOrder &order = RoomOrder::of(WaitingOrder::LeastCost);
    EXPECT_TRUE(lane.wakeOne(order, {start}));
    EXPECT_EQ(woken, (std::vector<int>{1, 2}));
    EXPECT_TRUE(hopeless.displaced());
    EXPECT_FALSE(next.displaced());
}

/// The order by urgency turns away a newcomer only, and only for its own deadline.
TEST(WaitingLane, orderByUrgencyDisplacesNobody)
{
    std::vector<int> woken;
    Recorded hopeless(1, {0, start, start + milliseconds(50), milliseconds(100)}, woken);
    WaitingLane lane;
    lane.add(hopeless);
    const RoomOrder &order = RoomOrder::of(WaitingOrder::Urgency);
    Urgency newcomer{1, start, start + milliseconds(250), milliseconds(100)};
    EXPECT_TRUE(lane.enter(order, newcomer, {start}).waits);
    newcomer.deadline -= Duration(1);
    const Entry entry = lane.enter(order, newcomer, {start});
    EXPECT_FALSE(entry.waits);
    EXPECT_EQ(entry.retryDelay, milliseconds(100));
    EXPECT_TRUE(woken.empty());
}

/// Guards against late responses under overload: for 20 s requests arrive at 1.5 times the
/// capacity. First-in, first-out order would answer nearly all of them late.
TEST(WaitingLane, servesInTimeUnderSustainedOverload)
{
    constexpr Duration target = milliseconds(500);
    constexpr Duration patience = milliseconds(2000);
    constexpr Duration work = milliseconds(30);
    constexpr Duration gap = milliseconds(20);
    const auto onTimeShare = [&](bool naive) {
        std::vector<int> order;
        std::vector<std::unique_ptr<Recorded>> all;
        std::vector<TimePoint> arrived;
        std::vector<WaitingLane::Place> places;
        WaitingLane lane;
        int served = 0;
        int onTime = 0;
        TimePoint nextArrival = start;
        std::size_t oldest = 0;
        for (TimePoint now = start; now < start + std::chrono::seconds(20); now += work) {
            for (; nextArrival <= now; nextArrival += gap) {
                const TimePoint until = naive ? TimePoint::max() : nextArrival + target - work;
                all.push_back(
                    std::make_unique<Recorded>(int(all.size()), Urgency{0, until}, order));
                arrived.push_back(nextArrival);
                places.push_back(lane.add(*all.back()));
            }
            for (; oldest < all.size() && arrived[oldest] + patience < now; ++oldest) {
                if (!all[oldest]->woken())
                    all[oldest]->wake(), order.pop_back();
            }
            if (!lane.wakeOne(now))
                continue;
            ++served;
            if (now + work <= arrived[static_cast<std::size_t>(order.back())] + target)
                ++onTime;
        }
        return double(onTime) / served;
    };
    EXPECT_LT(onTimeShare(true), 0.2);
    EXPECT_GT(onTimeShare(false), 0.9);
}

} // namespace

} // namespace yuccaspan::gateway

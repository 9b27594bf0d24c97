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

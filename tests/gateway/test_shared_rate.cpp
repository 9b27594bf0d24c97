#include "gateway/shared_rate.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint start{seconds(1000)};
constexpr Duration step = milliseconds(10);

/// Instances that use each turn that they get.
class Instances
{
public:
    Instances(const RateLimit &limit, std::uint32_t count) : m_rates(count), m_offsets(count)
    {
        for (std::uint32_t rank = 0; rank < count; ++rank)
            m_rates[rank].configure(limit, {count, rank}, "subject");
    }

    /// \brief Steps the clock of some instances.
    void stepClocks(std::size_t share, Duration by)
    {
        for (std::size_t index = 0; index < m_offsets.size(); index += share)
            m_offsets[index] += by;
    }

    void run(TimePoint from, Duration span)
    {
        for (TimePoint now = from; now < from + span; now += step) {
            for (std::size_t index = 0; index < m_rates.size(); ++index) {
                if (m_rates[index].earliest(now, m_offsets[index]) > now)
                    continue;
                m_rates[index].take(now);
                m_sent.push_back(now);
            }
        }
    }

    [[nodiscard]] std::size_t mostWithin(Duration window) const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < m_sent.size(); ++last) {
            while (m_sent[last] - m_sent[first] >= window)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }
    [[nodiscard]] std::size_t sent() const noexcept { return m_sent.size(); }

private:
    std::vector<SharedRate> m_rates;
    std::vector<Duration> m_offsets;
    std::vector<TimePoint> m_sent;
};

RC_GTEST_PROP(SharedRate, staysWithinTheLimitForAnyNumberOfInstances, ())
{
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 400);
    const auto perSecond = *rc::gen::inRange(1, 200) / 10.0;
    const auto slack = *rc::gen::inRange(3, 20);
    const auto windowSeconds = *rc::gen::inRange(1, 5);
    const RateLimit limit{perSecond, perSecond * 1.5 * windowSeconds + slack,
                          seconds(windowSeconds)};
    Instances instances(limit, count);
    instances.run(start, seconds(10));
    RC_ASSERT(instances.mostWithin(limit.window) <= limit.allowed);
}

/// A limit that is far below its bound would waste the capacity of the target.
RC_GTEST_PROP(SharedRate, usesTheRate, ())
{
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 100);
    const auto perSecond = *rc::gen::inRange(10, 200) / 10.0;
    const RateLimit limit{perSecond, perSecond * 1.5 + 5, seconds(1)};
    Instances instances(limit, count);
    constexpr int span = 30;
    instances.run(start, seconds(span));
    RC_ASSERT(static_cast<double>(instances.sent()) >= 0.8 * perSecond * span - count);
}

/// Guards against instances that get two turns in a row when wall clocks jump.
TEST(SharedRate, staysWithinTheLimitWhenClocksJump)
{
    const RateLimit limit{5.5, 16.25, seconds(1)};
    for (const std::uint32_t count : {6U, 27U, 80U}) {
        for (const int by : {-2000, -700, 300, 2000}) {
            Instances instances(limit, count);
            instances.run(start, seconds(7));
            instances.stepClocks(3, milliseconds(by));
            instances.run(start + seconds(7), seconds(7));
            instances.stepClocks(3, milliseconds(-by));
            instances.run(start + seconds(14), seconds(7));
            EXPECT_LE(instances.mostWithin(limit.window), limit.allowed) << count << ' ' << by;
        }
    }
}

TEST(SharedRate, aSingleInstanceJustKeepsItsInterval)
{
    SharedRate rate;
    rate.configure({4, 11, seconds(1)}, {1, 0}, "subject");
    EXPECT_LE(rate.earliest(start, Duration::zero()), start);
    rate.take(start);
    EXPECT_EQ(rate.earliest(start, Duration::zero()), start + milliseconds(250));
}

} // namespace

} // namespace yuccaspan::gateway

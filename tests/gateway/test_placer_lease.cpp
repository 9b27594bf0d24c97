#include "gateway/placer_lease.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint start{seconds(100)};

TEST(PlacerLease, roundTrip)
{
    const LeaseRecord record{"a", "1", 9};
    EXPECT_EQ(*decodeLease(encodeLease(record)), record);
    EXPECT_FALSE(decodeLease("{}"));
}

TEST(PlacerLease, isAcquiredAtOnceIfThereIsNone)
{
    PlacerLease lease("a", "1");
    EXPECT_EQ(lease.step(start), LeaseStep::Read);
    lease.observed(std::nullopt, {}, start);
    EXPECT_EQ(lease.step(start), LeaseStep::Acquire);
    lease.stored(lease.next(), {0, 5}, start);
    EXPECT_TRUE(lease.held(start + milliseconds(2999)));
    EXPECT_FALSE(lease.held(start + milliseconds(3000)));
}

TEST(PlacerLease, waitsForAnotherHoldersLeaseToExpire)
{
    PlacerLease lease("a", "1");
    lease.observed(LeaseRecord{"b", "1", 4}, {0, 7}, start);
    EXPECT_NE(lease.step(start + milliseconds(2999)), LeaseStep::Acquire);
    EXPECT_EQ(lease.step(start + milliseconds(3000)), LeaseStep::Acquire);
    lease.observed(LeaseRecord{"b", "1", 5}, {0, 8}, start + milliseconds(3000));
    EXPECT_NE(lease.step(start + milliseconds(5999)), LeaseStep::Acquire);
}

/// A stale read returns an earlier revision; it must neither restart nor shorten the wait.
TEST(PlacerLease, staleReadIsIgnored)
{
    PlacerLease lease("a", "1");
    lease.observed(LeaseRecord{"b", "1", 5}, {0, 8}, start);
    lease.observed(LeaseRecord{"b", "1", 4}, {0, 7}, start + milliseconds(1000));
    EXPECT_EQ(lease.revision(), (StoreRevision{0, 8}));
    EXPECT_EQ(lease.step(start + milliseconds(3000)), LeaseStep::Acquire);
}

TEST(PlacerLease, leaseOfThePreviousRunIsAcquiredAtOnce)
{
    PlacerLease lease("a", "2");
    lease.observed(LeaseRecord{"a", "1", 5}, {0, 8}, start);
    EXPECT_EQ(lease.step(start), LeaseStep::Acquire);
}

TEST(PlacerLease, releasedLeaseIsAcquiredAtOnce)
{
    PlacerLease lease("a", "1");
    lease.observed(LeaseRecord{"", "1", 5}, {0, 8}, start);
    EXPECT_EQ(lease.step(start), LeaseStep::Acquire);
}

/// At most one instance holds the lease under random renewals, lost answers, stale reads and
/// delayed writes.
RC_GTEST_PROP(PlacerLease, hasAtMostOneHolder, (std::uint64_t seed))
{
    struct Pending
    {
        std::size_t instance;
        LeaseRecord record;
        StoreRevision revision;
        TimePoint sentAt;
        TimePoint at;
        bool answerArrives;
    };
    std::mt19937_64 random(seed);
    std::vector<PlacerLease> leases;
    for (const char *name : {"a", "b", "c"})
        leases.emplace_back(name, "1");
    std::optional<LeaseRecord> stored;
    StoreRevision revision;
    std::vector<std::pair<std::optional<LeaseRecord>, StoreRevision>> history{{stored, revision}};
    std::vector<Pending> pending;
    for (TimePoint now = start; now < start + seconds(60); now += milliseconds(50)) {
        for (std::size_t index = 0; index < leases.size(); ++index) {
            const LeaseStep step = leases[index].step(now);
            if (step == LeaseStep::Read && random() % 3 != 0) {
                const std::size_t staleBy = std::min<std::size_t>(random() % 4, history.size() - 1);
                const auto &[record, at] = history[history.size() - 1 - staleBy];
                leases[index].observed(record, at, now);
            } else if (step == LeaseStep::Acquire
                       || (step == LeaseStep::Renew && random() % 4 != 0)) {
                if (step == LeaseStep::Acquire) {
                    leases[index].observed(stored, revision, now);
                    if (leases[index].step(now) != LeaseStep::Acquire)
                        continue;
                }
                const bool late = random() % 5 == 0;
                const Duration delay = milliseconds(late ? random() % 4000 : 10);
                pending.push_back({index, leases[index].next(), leases[index].revision(), now,
                                   now + delay, !late});
            }
        }
        std::erase_if(pending, [&](const Pending &write) {
            if (write.at > now)
                return false;
            if (write.revision == revision) {
                stored = write.record;
                ++revision.number;
                history.emplace_back(stored, revision);
                if (write.answerArrives)
                    leases[write.instance].stored(write.record, revision, write.sentAt);
            } else if (write.answerArrives && !leases[write.instance].ours(*stored)) {
                leases[write.instance].drop();
                leases[write.instance].observed(stored, revision, now);
            }
            return true;
        });
        const auto held = std::ranges::count_if(
            leases, [now](const PlacerLease &lease) { return lease.held(now); });
        RC_ASSERT(held <= 1);
    }
}

} // namespace

} // namespace yuccaspan::gateway

#include "grant_table.hpp"
#include "naive_grant_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace yuccaspan::tests {
namespace {

using standins::GrantCheck;
using standins::GrantTable;

const CellId cell{ServiceName("s"), ZoneId("z"), 0};
const std::string startId = "t#1";

GrantOrder makeGrant(std::uint64_t term, std::uint64_t sequence, Duration validUntil,
                     std::vector<GrantedSlice> slices)
{
    GrantOrder order;
    order.cell = cell;
    order.term = {term};
    order.sequence = sequence;
    order.startId = startId;
    order.validUntil = validUntil;
    order.setVersion = sequence;
    order.slices = std::move(slices);
    return order;
}

/// Slices without overlap over the naive key space, with low tokens.
std::vector<GrantedSlice> drawSlices()
{
    std::vector<GrantedSlice> slices;
    KeyHash next = 0;
    while (next < naiveHashes) {
        const auto last = *rc::gen::inRange<KeyHash>(next, naiveHashes);
        const auto token = *rc::gen::inRange<std::uint64_t>(0, 4);
        if (token > 0)
            slices.push_back({{next, last}, {token}});
        next = last + 1;
    }
    return slices;
}

/// Mostly the number after the last one.
std::uint64_t drawSequence(int step)
{
    return static_cast<std::uint64_t>(step) + *rc::gen::inRange<std::uint64_t>(0, 3);
}

GrantOrder drawGrant(Duration clock, int step)
{
    const auto term = 1 + *rc::gen::inRange<std::uint64_t>(0, 60) / 50;
    const auto sequence = drawSequence(step);
    const auto validFor = *rc::gen::inRange<std::int64_t>(-5, 60);
    GrantOrder order = makeGrant(term, sequence, clock + Duration(validFor), {});
    order.full = *rc::gen::inRange(0, 4) != 0;
    order.setVersion = *rc::gen::inRange<std::uint64_t>(1, 3);
    order.startId = *rc::gen::inRange(0, 10) == 0 ? "t#0" : startId;
    if (order.full)
        order.slices = drawSlices();
    return order;
}

RevokeOrder drawRevoke(int step)
{
    RevokeOrder order;
    order.cell = cell;
    order.term = {1 + *rc::gen::inRange<std::uint64_t>(0, 60) / 50};
    order.sequence = drawSequence(step);
    order.startId = startId;
    const auto first = *rc::gen::inRange<KeyHash>(0, naiveHashes);
    order.range = {first, *rc::gen::inRange<KeyHash>(first, naiveHashes)};
    order.token = {*rc::gen::inRange<std::uint64_t>(0, 4)};
    return order;
}

RC_GTEST_PROP(GrantTable, AgreesWithTheNaiveTable, ())
{
    GrantTable table(startId);
    NaiveGrantTable naive(startId);
    Duration clock{100};
    const auto steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
        clock += Duration(*rc::gen::inRange<std::int64_t>(0, 10));
        if (*rc::gen::inRange(0, 3) != 0) {
            const GrantOrder order = drawGrant(clock, step);
            RC_ASSERT(table.grant(order, clock).verdict == naive.grant(order, clock));
        } else {
            const RevokeOrder order = drawRevoke(step);
            RC_ASSERT(table.revoke(order, clock).verdict == naive.revoke(order));
        }
        for (KeyHash hash = 0; hash < naiveHashes; ++hash) {
            const auto token = naive.tokenAt(hash, clock);
            for (std::uint64_t asked = 0; asked < 5; ++asked) {
                const GrantCheck expected = !token || *token < FencingToken{asked}
                    ? GrantCheck::NoGrant
                    : *token == FencingToken{asked} ? GrantCheck::Covered
                                                    : GrantCheck::StaleToken;
                RC_ASSERT(table.check(cell.service, hash, {asked}, clock) == expected);
            }
        }
    }
}

TEST(GrantTable, RefusesAnOrderOfAnOlderTermOrSequence)
{
    GrantTable table(startId);
    const std::vector<GrantedSlice> all{{{0, ~0ULL}, {7}}};
    EXPECT_EQ(table.grant(makeGrant(2, 5, Duration(100), all), Duration(1)).verdict,
              TargetVerdict::Accepted);
    EXPECT_EQ(table.grant(makeGrant(2, 5, Duration(200), all), Duration(2)).verdict,
              TargetVerdict::Refused);
    const auto older = table.grant(makeGrant(1, 9, Duration(200), all), Duration(2));
    EXPECT_EQ(older.verdict, TargetVerdict::Refused);
    EXPECT_EQ(older.knownTerm, Term{2});
    EXPECT_EQ(table.check(cell.service, 3, {7}, Duration(99)), GrantCheck::Covered);
    EXPECT_EQ(table.check(cell.service, 3, {7}, Duration(100)), GrantCheck::NoGrant);
}

TEST(GrantTable, AsksForTheFullSetAfterARevoke)
{
    GrantTable table(startId);
    const std::vector<GrantedSlice> both{{{0, 9}, {1}}, {{10, 19}, {2}}};
    ASSERT_EQ(table.grant(makeGrant(1, 1, Duration(100), both), Duration(1)).verdict,
              TargetVerdict::Accepted);
    RevokeOrder revoke;
    revoke.cell = cell;
    revoke.term = {1};
    revoke.sequence = 2;
    revoke.startId = startId;
    revoke.range = {0, 9};
    revoke.token = {1};
    ASSERT_EQ(table.revoke(revoke, Duration(2)).verdict, TargetVerdict::Accepted);
    EXPECT_EQ(table.holds(cell, Duration(3)).size(), 1U);
    GrantOrder renewal = makeGrant(1, 3, Duration(200), {});
    renewal.full = false;
    renewal.setVersion = 1;
    EXPECT_EQ(table.grant(renewal, Duration(3)).verdict, TargetVerdict::NeedFull);
}

TEST(GrantTable, RecordsWhenSlicesWereHeld)
{
    GrantTable table(startId);
    const std::vector<GrantedSlice> slice{{{0, 9}, {1}}};
    ASSERT_EQ(table.grant(makeGrant(1, 1, Duration(100), slice), Duration(10)).verdict,
              TargetVerdict::Accepted);
    // A renewal before the expiry makes one hold longer; one after it begins another.
    ASSERT_EQ(table.grant(makeGrant(1, 2, Duration(150), slice), Duration(90)).verdict,
              TargetVerdict::Accepted);
    ASSERT_EQ(table.grant(makeGrant(1, 3, Duration(300), slice), Duration(200)).verdict,
              TargetVerdict::Accepted);
    const auto history = table.history();
    ASSERT_EQ(history.size(), 2U);
    EXPECT_EQ(history[0].from, Duration(10));
    EXPECT_EQ(history[0].until, Duration(150));
    EXPECT_EQ(history[1].from, Duration(200));
    EXPECT_EQ(history[1].until, Duration(300));
}

} // namespace
} // namespace yuccaspan::tests

#include "yuccaspan/yuccaspan.hpp"

#include <gtest/gtest.h>

namespace yuccaspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TargetSettings makeTarget(std::uint32_t slots)
{
    TargetSettings target;
    target.id = TargetId("t");
    target.slots = slots;
    return target;
}

CapacityShare makeShare(double slots, std::uint32_t coldSlots = 0)
{
    return {TargetId("t"), slots, 10, coldSlots};
}

TEST(Gate, sendsUpToItsShareThenQueuesByWorth)
{
    ManualClock clock;
    const auto gate = makeTargetGate(makeTarget(2), ServiceSettings(), 1);
    gate->setShare(makeShare(2), clock.now() + seconds(10));
    const TimePoint due = clock.now() + seconds(1);
    EXPECT_EQ(gate->arrive({1, 1, due}, clock.now()).decision, GateDecision::Send);
    EXPECT_EQ(gate->arrive({2, 1, due}, clock.now()).decision, GateDecision::Send);
    EXPECT_EQ(gate->arrive({3, 1, due}, clock.now()).decision, GateDecision::Wait);
    EXPECT_EQ(gate->arrive({4, 5, due}, clock.now()).decision, GateDecision::Wait);
    clock.advance(milliseconds(10));
    const GateRelease release =
        gate->finished(1, FinishKind::Answered, milliseconds(10), clock.now());
    EXPECT_EQ(release.send, std::vector<std::uint64_t>{4});
    EXPECT_EQ(gate->waiting(), 1U);
}

TEST(Gate, rejectsQueuedRequestsPastTheirDeadline)
{
    ManualClock clock;
    const auto gate = makeTargetGate(makeTarget(1), ServiceSettings(), 1);
    gate->setShare(makeShare(1), clock.now() + seconds(10));
    static_cast<void>(gate->arrive({1, 1, clock.now() + seconds(9)}, clock.now()));
    static_cast<void>(gate->arrive({2, 1, clock.now() + milliseconds(50)}, clock.now()));
    clock.advance(milliseconds(60));
    const GateRelease release = gate->tick(clock.now());
    ASSERT_EQ(release.refuse.size(), 1U);
    EXPECT_EQ(release.refuse.front().id, 2U);
    EXPECT_EQ(release.refuse.front().reason, Reason::WouldMissDeadline);
}

} // namespace
} // namespace yuccaspan

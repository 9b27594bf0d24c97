#include "fleet.hpp"

#include <gtest/gtest.h>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Guards against requests to a target that asked this instance for a pause (soak code BUDGET): at
/// most two may reach it from one instance between 0.5 s after its answer and the end of the pause.
TEST(PausedTargets, getNothingBeforeTheEndOfThePause)
{
    Fleet fleet(6, Service{});
    for (const char *id : {"a", "b"})
        fleet.addTarget(id, Duration::zero());
    fleet.setRejecting("a", seconds(5));
    fleet.run(100, seconds(1), milliseconds(1500));
    fleet.forgetArrivals();
    fleet.run(100, milliseconds(3500), milliseconds(1500));
    EXPECT_EQ(fleet.mostWithin("a", seconds(5)), 0U);
    EXPECT_EQ(fleet.rejected(), 0U);
    fleet.run(100, seconds(2), milliseconds(1500));
    EXPECT_GT(fleet.mostWithin("a", seconds(5)), 0U) << "it is tried again";
}

TEST(PausedTargets, letTheirRequestsBeRejectedAtOnceWithTheEndOfThePause)
{
    for (const bool keyed : {false, true}) {
        Service service;
        service.keyed = keyed;
        Fleet fleet(1, service);
        fleet.addTarget("a", Duration::zero());
        fleet.setOwner("a");
        Gateway &gateway = fleet.gateway(0);
        AnswerFacts facts;
        facts.signals.pause = seconds(3);
        gateway.learn(*gateway.liveTarget(*gateway.directory.find("a")), facts,
                      AnswerSource::Request);
        const TargetChoice choice = fleet.chooseAt(0, milliseconds(1500));
        EXPECT_EQ(choice.kind, TargetChoice::Kind::Reject);
        EXPECT_EQ(choice.reason, EndReason::TargetPaused);
        EXPECT_EQ(choice.retryDelay, seconds(3));
        facts.signals.pause = seconds(1);
        gateway.learn(*gateway.liveTarget(*gateway.directory.find("a")), facts,
                      AnswerSource::Request);
        EXPECT_EQ(fleet.chooseAt(0, milliseconds(1500)).retryDelay, seconds(3))
            << "a shorter pause does not end a longer one";
    }
}

/// Guards against a target that rejects everything at once: it looks idle and draws the requests of
/// all instances, 44 % of which ended in a rejection.
TEST(PausedTargets, thatRejectEverythingDrawFewRequests)
{
    const std::optional<Duration> none;
    for (const std::optional<Duration> &pause : {none, std::optional<Duration>(seconds(2))}) {
        Fleet fleet(6, Service{});
        for (const char *id : {"a", "b", "c", "d"})
            fleet.addTarget(id, Duration::zero());
        fleet.setRejecting("a", pause);
        fleet.run(300, seconds(1), milliseconds(1500));
        const std::size_t rejectedBefore = fleet.rejected();
        fleet.forgetArrivals();
        fleet.run(300, seconds(10), milliseconds(1500));
        EXPECT_LE(fleet.rejected() - rejectedBefore, 30U) << "1 % of 3,000";
        EXPECT_LE(fleet.mostWithin("a", seconds(10)), 60U);
    }
}

} // namespace

} // namespace yuccaspan::gateway

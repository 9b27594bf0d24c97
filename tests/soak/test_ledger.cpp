#include "ledger.hpp"

#include <gtest/gtest.h>

namespace yuccaspan::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A ledger with a clock that the test sets; each test breaks one promise and expects its name.
struct LedgerTest : testing::Test
{
    LedgerTest() { ledger.routeChanged({"/order/", {"dispatch"}, now}); }

    CallerRequest request(const std::string &id, bool idempotent = false)
    {
        return {id,          "POST",     "/order/" + id,     "body",
                "gateway-0", idempotent, milliseconds(1500), now};
    }

    TargetRun run(const CallerRequest &sent)
    {
        TargetRun out;
        out.requestId = sent.id;
        out.target = "t";
        out.incarnation = 1;
        out.service = "dispatch";
        out.zone = "a";
        out.method = sent.method;
        out.path = sent.path;
        out.body = sent.body;
        out.deadline = milliseconds(1000);
        out.at = now;
        return out;
    }

    CallerRequest send(const std::string &id, bool idempotent = false)
    {
        CallerRequest sent = request(id, idempotent);
        ledger.sent(sent);
        return sent;
    }

    void expectBroken(const std::string &rule)
    {
        ASSERT_EQ(ledger.violations().size(), 1U);
        EXPECT_TRUE(ledger.violations().front().starts_with(rule + ":"))
            << ledger.violations().front();
    }

    TimePoint now{seconds(1000)};
    Ledger ledger{[this] { return now; }};
};

TEST_F(LedgerTest, aRequestThatRunsOnceAndIsAnsweredIsRight)
{
    const CallerRequest sent = send("one");
    ledger.arrived(run(sent));
    ledger.began(run(sent));
    ledger.answered("one",
                    {200, platform_standins::answerBody("one"),
                     platform_standins::answerSignature("one"), "one"});
    ledger.finish(now);
    EXPECT_TRUE(ledger.violations().empty());
}

TEST_F(LedgerTest, anOrderThatRunsTwice)
{
    const CallerRequest sent = send("one");
    ledger.began(run(sent));
    ledger.began(run(sent));
    expectBroken("TWICE");
}

TEST_F(LedgerTest, anOrderThatRanBeforeThePromise)
{
    ledger.began(run(send("one")));
    ledger.answered("one", {503, {}, {}, {}});
    expectBroken("REFUSED");
}

TEST_F(LedgerTest, anOrderThatRunsAfterThePromise)
{
    const CallerRequest sent = send("one");
    ledger.answered("one", {429, {}, {}, {}});
    ledger.began(run(sent));
    expectBroken("REFUSED");
}

TEST_F(LedgerTest, aTruncatedAnswerThatLooksComplete)
{
    ledger.began(run(send("one")));
    const std::string body = platform_standins::answerBody("one");
    ledger.answered(
        "one",
        {200, body.substr(0, body.size() / 2), platform_standins::answerSignature("one"), "one"});
    expectBroken("MIXED");
}

TEST_F(LedgerTest, anAnswerToAnotherRequest)
{
    send("one");
    ledger.answered("one", {500, {}, {}, "two"});
    expectBroken("MIXED");
}

TEST_F(LedgerTest, aRunThatNobodyAskedFor)
{
    ledger.began(run(request("one")));
    expectBroken("UNASKED");
}

TEST_F(LedgerTest, aRunWithAnotherBody)
{
    TargetRun changed = run(send("one"));
    changed.body = "other";
    ledger.began(changed);
    expectBroken("UNASKED");
}

TEST_F(LedgerTest, aRequestThatReachesADrainedTarget)
{
    ledger.targetDrains("t");
    now += seconds(3);
    ledger.arrived(run(send("one")));
    expectBroken("DRAIN");
}

TEST_F(LedgerTest, troubleExcusesADrainedTarget)
{
    ledger.troubleBegins();
    ledger.targetDrains("t");
    now += seconds(3);
    ledger.arrived(run(send("one")));
    EXPECT_TRUE(ledger.violations().empty());
}

TEST_F(LedgerTest, aRequestThatReachesAZoneThatIsOut)
{
    ledger.zoneOut("a");
    now += seconds(6);
    ledger.arrived(run(send("one")));
    expectBroken("EVAC");
}

TEST_F(LedgerTest, aRequestThatGoesByAnOldVersion)
{
    now += seconds(4);
    ledger.routeChanged({"/order/", {"dispatch-two"}, now});
    now += seconds(3);
    ledger.arrived(run(send("one")));
    expectBroken("CONFIG");
}

TEST_F(LedgerTest, aServiceThatNoVersionNames)
{
    TargetRun elsewhere = run(send("one"));
    elsewhere.service = "stock";
    ledger.arrived(elsewhere);
    expectBroken("ROUTE");
}

TEST_F(LedgerTest, aRequestThatAPlannedStopCuts)
{
    ledger.stopping("gateway-0", true);
    send("one");
    ledger.cut("one");
    expectBroken("LOST");
}

TEST_F(LedgerTest, aKnownRouteThatIsDenied)
{
    send("one");
    ledger.answered("one", {404, {}, {}, {}});
    expectBroken("DENIED");
}

TEST_F(LedgerTest, repeatsBeyondTheBudget)
{
    const CallerRequest sent = send("one", true);
    for (int count = 0; count < 60; ++count)
        ledger.arrived(run(sent));
    now += seconds(20);
    const CallerRequest last = send("two", true);
    ledger.arrived(run(last));
    ledger.began(run(last));
    ledger.answered("two",
                    {200, platform_standins::answerBody("two"),
                     platform_standins::answerSignature("two"), "two"});
    ledger.finish(now);
    expectBroken("BUDGET");
}

TEST_F(LedgerTest, noDeadline)
{
    TargetRun without = run(send("one"));
    without.deadline.reset();
    ledger.arrived(without);
    expectBroken("BUDGET");
}

TEST_F(LedgerTest, nothingServedAfterTheTroubles)
{
    send("one");
    ledger.finish(now);
    expectBroken("RECOVER");
}

} // namespace

} // namespace yuccaspan::soak

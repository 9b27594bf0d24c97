#include "signal_watch.hpp"

#include <gtest/gtest.h>

namespace yuccaspan::soak {

namespace {

using platform_standins::TargetSpeech;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint start{seconds(100)};

platform_standins::TargetRun runAt(TimePoint at, std::int64_t incarnation = 1)
{
    platform_standins::TargetRun run;
    run.requestId = "q";
    run.target = "t";
    run.incarnation = incarnation;
    run.at = at;
    return run;
}

std::string ruleOf(const std::optional<std::pair<std::string, std::string>> &wrong)
{
    return wrong ? wrong->first : std::string();
}

TEST(SignalWatch, findsRequestsToATargetThatSaidThatItLeaves)
{
    SignalWatch watch;
    watch.passedOn("a", runAt(start), TargetSpeech{true, {}, {}}, start);
    const TimePoint late = start + milliseconds(2100);
    EXPECT_EQ(ruleOf(watch.arrived("a", runAt(late), start + milliseconds(1900))), "");
    EXPECT_EQ(ruleOf(watch.arrived("a", runAt(late), late)), "DRAIN");
    EXPECT_EQ(ruleOf(watch.arrived("b", runAt(late), late)), "") << "was not told";
    EXPECT_EQ(ruleOf(watch.arrived("a", runAt(late, 2), late)), "") << "another incarnation";
    watch.disturbed("a");
    EXPECT_EQ(ruleOf(watch.arrived("a", runAt(late), late)), "") << "restarted since";
}

TEST(SignalWatch, findsRequestsInAPause)
{
    SignalWatch watch;
    watch.rejected("a", runAt(start), seconds(3), start);
    const TimePoint under = start + milliseconds(400);
    const TimePoint in = start + seconds(1);
    EXPECT_EQ(ruleOf(watch.arrived("a", runAt(under), under)), "");
    EXPECT_EQ(ruleOf(watch.arrived("a", runAt(in), in)), "");
    EXPECT_EQ(ruleOf(watch.arrived("a", runAt(in), in)), "");
    EXPECT_EQ(ruleOf(watch.arrived("b", runAt(in), in)), "");
    EXPECT_EQ(ruleOf(watch.arrived("a", runAt(in), in)), "BUDGET");
    const TimePoint after = start + seconds(3);
    EXPECT_EQ(ruleOf(watch.arrived("a", runAt(after), after)), "");
}

TEST(SignalWatch, findsRequestsBeyondANamedRate)
{
    SignalWatch watch;
    TargetSpeech says;
    says.maxPerSecond = 2;
    watch.passedOn("a", runAt(start), says, start);
    watch.passedOn("b", runAt(start), says, start + seconds(1));
    const auto send = [&watch](const std::string &instance, TimePoint at, int count) {
        std::string rule;
        for (int index = 0; index < count; ++index)
            rule += ruleOf(watch.arrived(instance, runAt(at), at));
        return rule;
    };
    EXPECT_EQ(send("a", start + seconds(2), 50), "") << "not yet in force";
    EXPECT_EQ(send("c", start + seconds(5), 50), "") << "was not told";
    EXPECT_EQ(send("a", start + seconds(5), 10), "");
    EXPECT_EQ(send("b", start + seconds(8), 7), "") << "17 are allowed in 4 s";
    EXPECT_EQ(send("a", start + seconds(8), 1), "LIMIT");
    watch.changed("t");
    EXPECT_EQ(send("a", start + seconds(8), 9), "");
}

} // namespace

} // namespace yuccaspan::soak

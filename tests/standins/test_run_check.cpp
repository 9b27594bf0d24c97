#include "run_check.hpp"

#include <gtest/gtest.h>

namespace yuccaspan::tests {
namespace {

using namespace standins;

TargetHold makeHold(const std::string &target, std::uint64_t first, std::uint64_t last,
                    std::int64_t from, std::int64_t until)
{
    return {target, "s", first, last, 1, from, until};
}

TEST(RunCheck, AcceptsARunWithoutContradiction)
{
    RunRecord record;
    record.calls = readCallerLedger("a done answered order\nb not-run queue-full order\n"
                                    "c unknown connection-lost order\nd done answered lookup\n");
    record.runs = {{"a", 1}, {"c", 1}, {"d", 2}};
    record.holds = {makeHold("t", 0, 9, 0, 10), makeHold("u", 0, 9, 10, 20),
                    makeHold("u", 10, 19, 0, 10)};
    record.runsByKey[{"s", "0a"}] = {{"t", 1, 10}, {"u", 2, 30}, {"t", 1, 20}, {"u", 3, 40}};
    const RunFindings findings = check(record);
    EXPECT_TRUE(findings.ranAtFormerOwner.empty());
    EXPECT_TRUE(findings.ordersRunTwice.empty());
    EXPECT_TRUE(findings.notRunButRun.empty());
    EXPECT_TRUE(findings.doneButNotRun.empty());
    EXPECT_TRUE(findings.heldTwice.empty());
}

TEST(RunCheck, FindsEachContradiction)
{
    RunRecord record;
    record.calls = readCallerLedger("a done answered order\nb not-run queue-full lookup\n"
                                    "c done answered order\n");
    record.runs = {{"a", 2}, {"b", 1}};
    record.holds = {makeHold("t", 0, 9, 0, 11), makeHold("u", 9, 12, 10, 20)};
    record.runsByKey[{"s", "0a"}] = {{"t", 1, 35}, {"u", 2, 30}, {"t", 1, 20}, {"u", 3, 40}};
    const RunFindings findings = check(record);
    EXPECT_EQ(findings.ranAtFormerOwner.size(), 1U);
    EXPECT_EQ(findings.ordersRunTwice, std::vector<std::string>{"a"});
    EXPECT_EQ(findings.notRunButRun, std::vector<std::string>{"b queue-full"});
    EXPECT_EQ(findings.doneButNotRun, std::vector<std::string>{"c"});
    EXPECT_EQ(findings.heldTwice.size(), 1U);
}

TEST(RunCheck, AddsUpTheLedgersOfAllTargets)
{
    RunRecord record;
    const std::string ledger = R"({"runs":[{"requestId":"a","count":1}]})";
    const std::string grants = R"({"id":"t","history":[{"service":"s","first":"0000000000000000",
        "last":"00000000000000ff","token":3,"fromUs":5,"untilUs":9}]})";
    EXPECT_TRUE(addTarget(record, ledger, grants));
    EXPECT_TRUE(addTarget(record, ledger, grants));
    EXPECT_EQ(record.runs.at("a"), 2U);
    EXPECT_EQ(record.holds.at(0).last, 255U);
    EXPECT_FALSE(addTarget(record, "[]", grants));
}

} // namespace
} // namespace yuccaspan::tests

#include "cluster.hpp"

#include <atomic>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

namespace yuccaspan::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int randomSchedules = 3000;
constexpr int slowTakeoverSchedules = 300;
constexpr int schedulesPerMutation = 1000;
constexpr unsigned threads = 3;

/// The steps of a schedule.
struct Steps
{
    std::vector<Fault> faults; ///< Each step draws one of these.
    int count = 14; ///< Number of steps.
    Duration maxGap = milliseconds(900); ///< Longest time between two steps.
};

Steps allFaultSteps()
{
    return {{Fault::KillInstance, Fault::RestartInstance, Fault::PauseInstance,
             Fault::PauseInstance, Fault::FreezeTarget, Fault::ToggleTarget, Fault::ToggleZoneCut,
             Fault::ToggleStore, Fault::ToggleStoreCut, Fault::LoseWriteAnswers,
             Fault::LoseWriteAnswers, Fault::ToggleZoneOut, Fault::SplitOrMerge, Fault::MoveSlice,
             Fault::MoveSlice, Fault::MoveSlice}};
}

/// Takeovers with slow writes while the old placer continues.
Steps slowTakeoverSteps()
{
    return {{Fault::ToggleZoneCut, Fault::LoseWriteAnswers, Fault::LoseWriteAnswers,
             Fault::ToggleStoreCut, Fault::MoveSlice, Fault::MoveSlice, Fault::MoveSlice},
            60,
            milliseconds(500)};
}

ClusterPlan randomPlan(std::uint64_t seed)
{
    ClusterPlan plan;
    plan.seed = seed;
    plan.zones = 2 + static_cast<int>(seed % 2);
    plan.instances = 2 + static_cast<int>(seed / 2 % 4);
    plan.targetsPerZone = 2;
    plan.uncheckedTargets = seed / 8 % 2 == 1;
    plan.policy = seed / 16 % 4 == 3 ? CutOffPolicy::Hold : CutOffPolicy::Move;
    plan.loss = seed / 64 % 2 == 0 ? 0.02 : 0.15;
    return plan;
}

// Runs random faults, then ends them and expects every key to be served again.
// Returns the failure with the end of the trace, or an empty string.
std::string runSchedule(const ClusterPlan &plan, const Steps &steps, bool checkLiveness)
{
    Cluster cluster(plan);
    if (!cluster.runUntilServing(seconds(20)))
        return "not serving before the first fault: " + cluster.violation() + "\n"
            + cluster.trace();
    std::mt19937_64 random(plan.seed);
    for (int step = 0; step < steps.count && cluster.violation().empty(); ++step) {
        cluster.faultStep(steps.faults[random() % steps.faults.size()]);
        cluster.run(Duration(random() % steps.maxGap.count()));
    }
    if (cluster.violation().empty() && checkLiveness) {
        cluster.endAllFaults();
        std::string reason;
        if (!cluster.runUntilServing(seconds(60)) && cluster.violation().empty()) {
            (void)cluster.isServing(&reason);
            return "service did not recover: " + reason + "\n" + cluster.trace();
        }
    }
    return cluster.violation().empty() ? "" : cluster.violation() + "\n" + cluster.trace();
}

struct Outcome
{
    int failures = 0;
    std::uint64_t firstSeed = 0;
    std::string first;
};

Outcome runSchedules(int count, const Steps &steps,
                     const std::function<void(ClusterPlan &)> &change, bool checkLiveness,
                     bool stopAtFirst)
{
    Outcome outcome;
    std::mutex mutex;
    std::atomic<int> next = 0;
    const auto work = [&] {
        for (int seed = ++next; seed <= count; seed = ++next) {
            ClusterPlan plan = randomPlan(static_cast<std::uint64_t>(seed));
            change(plan);
            const std::string what = runSchedule(plan, steps, checkLiveness);
            if (what.empty())
                continue;
            const std::lock_guard lock(mutex);
            if (++outcome.failures == 1 || plan.seed < outcome.firstSeed) {
                outcome.firstSeed = plan.seed;
                outcome.first = what;
            }
            if (stopAtFirst)
                next = count;
        }
    };
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < threads; ++i)
        workers.emplace_back(work);
    for (std::thread &worker : workers)
        worker.join();
    return outcome;
}

TEST(Schedules, RandomFaultsKeepInvariantsAndServiceRecovers)
{
    const Outcome outcome = runSchedules(
        randomSchedules, allFaultSteps(), [](ClusterPlan &) {}, true, false);
    EXPECT_EQ(outcome.failures, 0) << "seed " << outcome.firstSeed << ": " << outcome.first;
}

class Mutations : public testing::TestWithParam<impl::ProtocolMutation>
{ };

TEST_P(Mutations, AreDetected)
{
    const auto change = [](ClusterPlan &plan) { plan.mutation = GetParam(); };
    const bool isSlow = GetParam() == impl::ProtocolMutation::PromiseForgotten;
    const Outcome outcome = runSchedules(
        schedulesPerMutation, isSlow ? slowTakeoverSteps() : allFaultSteps(), change, false, true);
    EXPECT_GT(outcome.failures, 0) << "no schedule detected the fault";
}

INSTANTIATE_TEST_SUITE_P(All, Mutations,
                         testing::Values(impl::ProtocolMutation::NoWaitBeforeTakeover,
                                         impl::ProtocolMutation::PromiseForgotten,
                                         impl::ProtocolMutation::UnionDropped,
                                         impl::ProtocolMutation::LeaseCountedFromReceipt,
                                         impl::ProtocolMutation::SettleBeforeRevoke));

TEST(LateGrants, AreDetected)
{
    const auto change = [](ClusterPlan &plan) { plan.lateGrants = true; };
    const Outcome outcome =
        runSchedules(schedulesPerMutation, allFaultSteps(), change, false, true);
    EXPECT_GT(outcome.failures, 0) << "no schedule detected the fault";
}

TEST(Schedules, SlowTakeoversKeepInvariantsAndServiceRecovers)
{
    const Outcome outcome = runSchedules(
        slowTakeoverSchedules, slowTakeoverSteps(), [](ClusterPlan &) {}, true, false);
    EXPECT_EQ(outcome.failures, 0) << "seed " << outcome.firstSeed << ": " << outcome.first;
}

TEST(Cluster, ServesEveryKeyWithoutFaults)
{
    ClusterPlan plan;
    plan.loss = 0;
    Cluster cluster(plan);
    const bool serving = cluster.runUntilServing(seconds(10));
    std::string reason;
    (void)cluster.isServing(&reason);
    EXPECT_TRUE(serving) << reason << "\n" << cluster.trace();
    EXPECT_EQ(cluster.violation(), "") << cluster.trace();
}

} // namespace
} // namespace yuccaspan::test

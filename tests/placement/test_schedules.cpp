#include "cluster.hpp"

#include <gtest/gtest.h>

namespace yuccaspan::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(Cluster, ServesEveryKeyInCalm)
{
    ClusterPlan plan;
    plan.loss = 0;
    Cluster cluster(plan);
    const bool serving = cluster.runUntilServing(seconds(10));
    std::string why;
    (void)cluster.isServing(&why);
    EXPECT_TRUE(serving) << why << "\n" << cluster.trace();
    EXPECT_EQ(cluster.violation(), "") << cluster.trace();
}

} // namespace
} // namespace yuccaspan::test

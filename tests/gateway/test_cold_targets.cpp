#include "fleet.hpp"

#include <gtest/gtest.h>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double coldRate = 5;
/// Requests that a cold target may get in a second, from all instances together.
constexpr double coldBound = coldRate * 1.5 + 5;

Service coldService(bool keyed)
{
    Service service;
    service.coldRate = coldRate;
    service.warmup = seconds(3);
    service.keyed = keyed;
    return service;
}

/// Guards against a burst at a cold target from instances whose allowances all start full (soak
/// code FAILBACK, in deployments of 27 instances).
TEST(ColdTargets, getNoBurstFromManyInstancesWithoutKeys)
{
    for (const std::size_t instances : {6U, 20U, 40U}) {
        Fleet fleet(instances, coldService(false));
        for (const char *id : {"a", "b", "c", "d"})
            fleet.addTarget(id, seconds(6));
        fleet.run(60, seconds(5), milliseconds(1500));
        for (const char *id : {"a", "b", "c", "d"})
            EXPECT_LE(fleet.mostWithin(id, seconds(1)), coldBound) << instances << " instances";
        EXPECT_GE(fleet.arrivals().size(), 60U) << instances << " instances";
    }
}

/// The same for the owner of keys that many instances want when it begins.
TEST(ColdTargets, getNoBurstFromManyInstancesThatWaitForTheirKeys)
{
    for (const std::size_t instances : {6U, 27U, 60U}) {
        Fleet fleet(instances, coldService(true));
        fleet.addTarget("a", seconds(6));
        fleet.setOwner("a");
        for (std::size_t index = 0; index < instances; ++index) {
            fleet.offer(index, milliseconds(1500));
            fleet.offer(index, milliseconds(1500));
        }
        fleet.run(40, seconds(5), milliseconds(1500));
        EXPECT_LE(fleet.mostWithin("a", seconds(1)), coldBound) << instances << " instances";
        EXPECT_GE(fleet.arrivals().size(), 15U) << instances << " instances";
    }
}

/// Guards against full load on a target that restarted under its id while the store could not tell
/// (soak code FAILBACK). A refused connection shows that its process had ended.
TEST(ColdTargets, includeThoseThatRefusedConnectionsAndListenAgain)
{
    Fleet fleet(6, coldService(false));
    fleet.addTarget("a", Duration::zero());
    fleet.addTarget("b", Duration::zero());
    fleet.run(60, seconds(2), milliseconds(1500));
    EXPECT_GT(fleet.mostWithin("a", seconds(1)), coldBound) << "a warm target gets its load";
    fleet.setListening("a", false);
    fleet.run(60, seconds(1), milliseconds(1500));
    fleet.forgetArrivals();
    fleet.setListening("a", true);
    fleet.run(60, seconds(3), milliseconds(1500));
    EXPECT_LE(fleet.mostWithin("a", seconds(1)), coldBound);
    EXPECT_GE(fleet.mostWithin("a", seconds(1)), 2U);
    fleet.forgetArrivals();
    fleet.run(60, seconds(6), milliseconds(1500));
    EXPECT_GT(fleet.mostWithin("a", seconds(1)), coldBound) << "it is warm again";
}

} // namespace

} // namespace yuccaspan::gateway

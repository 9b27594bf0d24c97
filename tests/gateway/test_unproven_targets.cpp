// Instances that lack any proof that they know all changes of targets.

#include "gateway/fleet.hpp"
#include "gateway/store_fleet.hpp"
#include "gateway/target_choice.hpp"

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration sampleInterval = milliseconds(20);

/// Whether an instance would send a new request now.
bool sends(Instance &instance)
{
    Gateway &gateway = instance.gateway;
    Route route;
    route.name = "r";
    Flow flow;
    flow.state = gateway.desired;
    flow.route = &route;
    flow.service = "s";
    flow.arrived = gateway.now();
    flow.deadline = gateway.now() + seconds(1);
    return chooseTarget(gateway, flow, {}).kind == TargetChoice::Kind::Send;
}

Instance &placerOf(Fleet3 &fleet)
{
    for (const auto &instance : fleet.all) {
        if (instance->control.placing())
            return *instance;
    }
    ADD_FAILURE() << "no placer";
    return *fleet.all.front();
}

/// Longest time after a moment for which an instance other than the given one sends.
Duration sendsFor(Fleet3 &fleet, const Instance &except, TimePoint from, Duration span)
{
    Duration longest{};
    while (fleet.now() < from + span) {
        fleet.loop.run_for(sampleInterval);
        const TimePoint asked = fleet.now();
        for (const auto &instance : fleet.all) {
            if (instance.get() != &except && sends(*instance))
                longest = std::max(longest, asked - from);
        }
    }
    return longest;
}

TEST(UnprovenTargets, areNotSentToOnceTheProofIsAsOldAsTheBound)
{
    for (const bool keyed : {false, true}) {
        Service service;
        service.keyed = keyed;
        Fleet fleet(1, service);
        fleet.addTarget("t", {});
        fleet.setOwner("t");
        const TimePoint provenAt = fleet.now();
        fleet.setProving(false);
        constexpr double perSecond = 100;
        fleet.run(perSecond, seconds(3), milliseconds(500));
        ASSERT_FALSE(fleet.arrivals().empty());
        const Duration bound = fleet.gateway(0).options.drainWithin;
        EXPECT_GT(fleet.arrivals().back().at, provenAt + bound - milliseconds(300));
        EXPECT_LE(fleet.arrivals().back().at, provenAt + bound - sendStopMargin);
        EXPECT_GT(fleet.rejected(), 0U);
    }
}

TEST(UnprovenTargets, areSentToWhileTheStoreIsAwayForAll)
{
    Fleet fleet(1, {});
    fleet.addTarget("t", {});
    fleet.setProving(false);
    fleet.gateway(0).storeAway = true;
    constexpr double perSecond = 100;
    fleet.run(perSecond, seconds(6), milliseconds(500));
    EXPECT_EQ(fleet.rejected(), 0U);
}

/// A removed entry counts as missing, and may return, while calls to the store fail now and then.
TEST(UnprovenTargets, removedOnesWithoutKeysGetNothingAfterTheBound)
{
    Fleet fleet(1, {});
    fleet.addTarget("t", {});
    Gateway &gateway = fleet.gateway(0);
    const TimePoint removedAt = fleet.now();
    constexpr double perSecond = 100;
    for (int second = 0; second < 4; ++second) {
        gateway.directory.storeUnavailable(fleet.now());
        gateway.directory.remove("t", fleet.now(), fleet.now());
        gateway.directory.tick(fleet.now());
        fleet.run(perSecond, seconds(1), milliseconds(500));
    }
    ASSERT_FALSE(fleet.arrivals().empty());
    EXPECT_LE(fleet.arrivals().back().at, removedAt + gateway.options.drainWithin);
}

/// Each fault alone is noticed in time by the other means.
TEST(UnprovenTargets, areNotSentToWhileThePlacerIsCutOffAndWatchesAreSilent)
{
    for (const std::uint32_t newsFrom : {0U, 3U}) {
        Fleet3 fleet(newsFrom);
        fleet.start();
        Instance &placer = placerOf(fleet);
        fleet.setSilent(true);
        placer.store.cutOff = true;
        fleet.loop.run_for(milliseconds(300));
        fleet.shared.set(ObjectKind::Targets, "t", "draining");
        const Duration sent = sendsFor(fleet, placer, fleet.now(), seconds(5));
        EXPECT_LE(sent, placer.gateway.options.drainWithin) << "news from " << newsFrom;
    }
}

TEST(UnprovenTargets, areNotSentToByAnInstanceThatTheStoreTurnsAway)
{
    for (const std::uint32_t newsFrom : {0U, 3U}) {
        Fleet3 fleet(newsFrom);
        fleet.start();
        Instance &placer = placerOf(fleet);
        const auto away = std::ranges::find_if(
            fleet.all, [&](const auto &instance) { return instance.get() != &placer; });
        (*away)->store.cutOff = true;
        fleet.loop.run_for(seconds(3));
        EXPECT_TRUE(sends(**away));
        fleet.shared.set(ObjectKind::Targets, "t", "draining");
        const Duration sent = sendsFor(fleet, placer, fleet.now(), seconds(4));
        EXPECT_LE(sent, placer.gateway.options.drainWithin) << "news from " << newsFrom;
    }
}

/// The placer's proof was taken by instances that lacked such a deletion.
TEST(UnprovenTargets, areNotSentToAfterADeletionThatCarriesAnOldRevision)
{
    Fleet3 fleet(0);
    fleet.start();
    Instance &placer = placerOf(fleet);
    for (const auto &instance : fleet.all)
        instance->store.watchesSilent = instance.get() != &placer;
    fleet.loop.run_for(milliseconds(300));
    // So that all know a later revision than that of the target's entry.
    fleet.shared.set(ObjectKind::Targets, "u", "draining");
    fleet.loop.run_for(milliseconds(1500));
    fleet.shared.remove(ObjectKind::Targets, "t");
    const Duration sent = sendsFor(fleet, placer, fleet.now(), seconds(4));
    EXPECT_LE(sent, placer.gateway.options.drainWithin);
}

/// Those that the store answers must not stop serving for lack of a placer.
TEST(UnprovenTargets, areProvenAgainWithoutAPlacer)
{
    for (const std::uint32_t newsFrom : {0U, 3U}) {
        Fleet3 fleet(newsFrom);
        fleet.start();
        Instance &placer = placerOf(fleet);
        placer.store.cutOff = true;
        const TimePoint end = fleet.now() + seconds(4);
        while (fleet.now() < end) {
            fleet.loop.run_for(sampleInterval);
            for (const auto &instance : fleet.all)
                EXPECT_TRUE(sends(*instance)) << instance->gateway.options.name;
        }
    }
}

} // namespace

} // namespace yuccaspan::gateway

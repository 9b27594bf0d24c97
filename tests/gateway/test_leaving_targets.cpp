#include "fleet.hpp"

#include <gtest/gtest.h>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

AnswerFacts leaving()
{
    AnswerFacts facts;
    facts.signals.leaving = true;
    return facts;
}

/// Lets a target say in its answers that it leaves.
void announceLeaving(Fleet &fleet, const std::string &id)
{
    fleet.onAnswer = [&fleet, id](LiveTarget &target, const Arrival &arrival) {
        if (target.entry.id == id)
            fleet.gateway(arrival.instance).learn(target, leaving(), AnswerSource::Request);
    };
}

/// Guards against requests to a target that said in its answers that it leaves, while its entry
/// says that it is ready because the store is away or behind (soak code DRAIN).
TEST(LeavingTargets, getNothingMoreFromAnInstanceThatWasTold)
{
    Fleet fleet(6, Service{});
    fleet.addTarget("a", Duration::zero());
    fleet.addTarget("b", Duration::zero());
    announceLeaving(fleet, "a");
    fleet.run(100, seconds(2), milliseconds(1500));
    fleet.forgetArrivals();
    // The entry is read again and still says that the target is ready.
    fleet.addTarget("a", Duration::zero());
    fleet.run(100, seconds(3), milliseconds(1500));
    EXPECT_EQ(fleet.mostWithin("a", seconds(3)), 0U);
    EXPECT_EQ(fleet.rejected(), 0U);
}

TEST(LeavingTargets, thatOwnKeysGetNothingMoreAndRequestsAreRejectedIfTheKeysStay)
{
    Service service;
    service.keyed = true;
    Fleet fleet(6, service);
    fleet.addTarget("a", Duration::zero());
    fleet.setOwner("a");
    announceLeaving(fleet, "a");
    for (std::size_t index = 0; index < 300; ++index)
        fleet.offer(index % 6, milliseconds(2500));
    fleet.run(100, seconds(1), milliseconds(2500));
    fleet.forgetArrivals();
    fleet.run(100, seconds(4), milliseconds(2500));
    EXPECT_TRUE(fleet.arrivals().empty());
    EXPECT_GT(fleet.rejected(), 0U);
}

TEST(LeavingTargets, beginWithoutTheMarkInALaterIncarnation)
{
    Fleet fleet(1, Service{});
    fleet.addTarget("a", Duration::zero());
    Gateway &gateway = fleet.gateway(0);
    gateway.learn(*gateway.liveTarget(*gateway.directory.find("a")), leaving(),
                  AnswerSource::Request);
    EXPECT_FALSE(gateway.directory.usable(*gateway.directory.find("a")));
    TargetEntry later = gateway.directory.find("a")->entry;
    ++later.incarnation;
    gateway.directory.put(later, fleet.now(), fleet.now());
    EXPECT_TRUE(gateway.directory.usable(*gateway.directory.find("a")));
    EXPECT_TRUE(gateway.liveTarget(*gateway.directory.find("a"))
                    ->gate.permit(fleet.now(), false)
                    .allowed());
}

TEST(LeavingTargets, areRecognizedBesideAnUnreadableSignal)
{
    Fleet fleet(1, Service{});
    fleet.addTarget("a", Duration::zero());
    Gateway &gateway = fleet.gateway(0);
    AnswerFacts facts = leaving();
    facts.signals.unreadable = true;
    gateway.learn(*gateway.liveTarget(*gateway.directory.find("a")), facts, AnswerSource::Order);
    EXPECT_FALSE(gateway.directory.usable(*gateway.directory.find("a")));
}

/// The placer moves the keys, so it must be told; its own entry of the target may say the contrary.
TEST(LeavingTargets, areReportedToThePlacer)
{
    LoadMessage message;
    message.instance = "i";
    message.leaving["a"] = 1;
    EXPECT_FALSE(message.empty());
    const auto decoded = decodeLoadMessage(encodeLoadMessage(message));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->leaving, message.leaving);
    TargetDirectory directory;
    TargetEntry entry;
    entry.id = "a";
    entry.incarnation = 1;
    constexpr TimePoint now{seconds(100)};
    directory.put(entry, now, now);
    EXPECT_FALSE(directory.saidLeaving("a", 2, now)) << "another incarnation";
    EXPECT_TRUE(directory.saidLeaving("a", 1, now));
    EXPECT_FALSE(directory.saidLeaving("a", 1, now)) << "known already";
    directory.put(entry, now, now);
    EXPECT_FALSE(directory.find("a")->ready());
    EXPECT_EQ(directory.unwantedSince(*directory.find("a")), now);
}

} // namespace

} // namespace yuccaspan::gateway

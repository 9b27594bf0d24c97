#include "fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The users' bound for a target that names a rate: in 4 s one and a half times what it allows, and
/// 5 more, from 3 s after it first named it.
constexpr Duration window = seconds(4);
constexpr Duration settleSpan = seconds(3);

double bound(double rate)
{
    return rate * std::chrono::duration<double>(window).count() * 1.5 + 5;
}

/// What an answer tells an instance.
AnswerFacts saying(std::optional<double> rate)
{
    AnswerFacts facts;
    facts.signals.maxPerSecond = rate;
    return facts;
}

class NamedRate : public ::testing::Test
{
protected:
    /// A fleet whose target "a" names a rate in each answer.
    static std::unique_ptr<Fleet> fleetWith(std::size_t instances, bool keyed, double rate)
    {
        Service service;
        service.keyed = keyed;
        auto fleet = std::make_unique<Fleet>(instances, service);
        fleet->addTarget("a", Duration::zero());
        fleet->onAnswer = [fleet = fleet.get(), rate](LiveTarget &target, const Arrival &arrival) {
            if (target.entry.id == "a")
                fleet->gateway(arrival.instance).learn(target, saying(rate), AnswerSource::Request);
        };
        return fleet;
    }
};

/// Guards against full load on a target that asks for less (soak code LIMIT, recorded day second1).
TEST_F(NamedRate, isKeptByAllInstancesTogether)
{
    for (const std::size_t instances : {1U, 6U, 27U, 80U}) {
        for (const double rate : {0.5, 2.6, 4.9, 20.0}) {
            const auto fleet = fleetWith(instances, false, rate);
            fleet->addTarget("b", Duration::zero());
            fleet->run(100, settleSpan, milliseconds(1500));
            fleet->forgetArrivals();
            fleet->run(100, seconds(10), milliseconds(1500));
            EXPECT_LE(fleet->mostWithin("a", window), bound(rate)) << instances << ' ' << rate;
            EXPECT_EQ(fleet->rejected(), 0U) << "the other target takes the rest";
        }
    }
}

TEST_F(NamedRate, isKeptForTheOwnerOfAllKeysWithHundredsOfWaitingRequests)
{
    for (const std::size_t instances : {6U, 27U}) {
        constexpr double rate = 4.9;
        const auto fleet = fleetWith(instances, true, rate);
        fleet->setOwner("a");
        fleet->run(100, settleSpan, milliseconds(2500));
        fleet->forgetArrivals();
        for (std::size_t index = 0; index < 300; ++index)
            fleet->offer(index % instances, milliseconds(2500));
        fleet->run(60, seconds(10), milliseconds(2500));
        EXPECT_LE(fleet->mostWithin("a", window), bound(rate)) << instances;
        // Nearly all of the rate is used.
        EXPECT_GE(fleet->arrivals().size(), 30U) << instances;
    }
}

/// A target whose rate has ended gets its usual load again.
TEST_F(NamedRate, endsWhenAnswersNoLongerNameIt)
{
    const auto fleet = fleetWith(2, true, 4);
    fleet->setOwner("a");
    fleet->run(40, seconds(4), milliseconds(2000));
    fleet->onAnswer = [&fleet](LiveTarget &target, const Arrival &arrival) {
        fleet->gateway(arrival.instance).learn(target, saying({}), AnswerSource::Request);
    };
    fleet->run(40, seconds(4), milliseconds(2000));
    fleet->forgetArrivals();
    fleet->run(40, seconds(2), milliseconds(2000));
    EXPECT_GE(fleet->arrivals().size(), 70U);
}

/// An answer that was made before the rate was named may come after one that names it; answers to
/// orders need not carry it; another target at the address says nothing about this one.
TEST_F(NamedRate, isKeptThroughAnswersThatSayNothingAboutIt)
{
    const auto fleet = fleetWith(1, false, 4);
    Gateway &gateway = fleet->gateway(0);
    LiveTarget &target = *gateway.liveTarget(*gateway.directory.find("a"));
    gateway.learn(target, saying(4), AnswerSource::Request);
    gateway.learn(target, saying({}), AnswerSource::Request);
    EXPECT_EQ(target.signals.maxPerSecond, 4);
    fleet->run(0, seconds(1), seconds(1));
    gateway.learn(target, saying({}), AnswerSource::Order);
    EXPECT_EQ(target.signals.maxPerSecond, 4);
    AnswerFacts other = saying(1);
    other.target = "b";
    gateway.learn(target, other, AnswerSource::Request);
    EXPECT_EQ(target.signals.maxPerSecond, 4);
    AnswerFacts unreadable;
    unreadable.signals.unreadable = true;
    gateway.learn(target, unreadable, AnswerSource::Request);
    EXPECT_EQ(target.signals.maxPerSecond, 4);
    gateway.learn(target, saying({}), AnswerSource::Request);
    EXPECT_FALSE(target.signals.maxPerSecond);
}

TEST_F(NamedRate, ofAnEarlierIncarnationDoesNotHold)
{
    const auto fleet = fleetWith(1, false, 4);
    Gateway &gateway = fleet->gateway(0);
    Target entry = *gateway.directory.find("a");
    gateway.learn(*gateway.liveTarget(entry), saying(4), AnswerSource::Request);
    ++entry.entry.incarnation;
    EXPECT_FALSE(gateway.liveTarget(entry)->signals.maxPerSecond);
    EXPECT_TRUE(gateway.liveTarget(entry)->gate.permit(fleet->now(), false).allowed());
}

} // namespace

} // namespace yuccaspan::gateway

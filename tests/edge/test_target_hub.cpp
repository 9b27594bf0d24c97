#include "http/target_hub.hpp"

#include <gtest/gtest.h>

namespace yuccaspan::impl {
namespace {

TargetSettings makeTarget()
{
    TargetSettings target;
    target.id = TargetId("t");
    target.slots = 6;
    return target;
}

TEST(SharedTarget, probesRaiseTheLimitOfAnInstanceThatMaySendNoRequests)
{
    const TargetSettings settings = makeTarget();
    SharedTarget target(settings, ServiceSettings(), 3);
    TimePoint now{std::chrono::seconds(10)};
    target.recordAnswer("first", TargetState::Warm, now);
    target.recordAnswer("second", TargetState::Cold, now);
    const auto allowance = [&] {
        // The placer assigned the cold slot to another instance.
        return target.withGate([&](TargetGate &gate) {
            gate.setShare({settings.id, 2, 20, 0}, now + std::chrono::seconds(1));
            return gate.allowance(now);
        });
    };
    EXPECT_EQ(allowance(), 0);
    constexpr int probes = 30;
    for (int probe = 0; probe < probes; ++probe) {
        now += std::chrono::seconds(1);
        target.recordProbe("second", TargetState::Warm, now);
    }
    EXPECT_EQ(allowance(), 2);
    EXPECT_FALSE(target.withGate([](const TargetGate &gate) { return gate.isCold(); }));
}

TEST(SharedTarget, staysLimitedWhileTheTargetReportsCold)
{
    const TargetSettings settings = makeTarget();
    SharedTarget target(settings, ServiceSettings(), 3);
    TimePoint now{std::chrono::seconds(10)};
    target.recordAnswer("first", TargetState::Cold, now);
    constexpr int probes = 30;
    for (int probe = 0; probe < probes; ++probe) {
        now += std::chrono::seconds(1);
        target.recordProbe("first", TargetState::Cold, now);
    }
    EXPECT_TRUE(target.withGate([](const TargetGate &gate) { return gate.isCold(); }));
}

} // namespace
} // namespace yuccaspan::impl

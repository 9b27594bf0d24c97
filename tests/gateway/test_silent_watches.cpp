// Instances whose watches at the store hear nothing while all their other calls are answered.

#include "gateway/store_fleet.hpp"

#include <vector>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t withoutNews = 0;
constexpr std::uint32_t withNews = 3;

/// Bounds for sending to a leaving target count from the store's answer to it.
TEST(SilentWatches, leavingThatACompactionHidIsntDatedTooLate)
{
    for (const std::uint32_t newsFrom : {withoutNews, withNews}) {
        Fleet3 fleet(newsFrom);
        fleet.start();
        fleet.setSilent(true);
        fleet.loop.run_for(milliseconds(300));
        fleet.shared.set(ObjectKind::Targets, "t", "draining");
        const TimePoint left = fleet.now();
        fleet.loop.run_for(milliseconds(1000));
        fleet.shared.compact();
        fleet.setSilent(false);
        fleet.loop.run_for(milliseconds(1500));
        for (const auto &instance : fleet.all) {
            ASSERT_TRUE(instance->leavingSince()) << instance->gateway.options.name;
            EXPECT_LE(*instance->leavingSince(), left) << instance->gateway.options.name;
        }
    }
}

TEST(SilentWatches, leavingInALateAnswerIsntDatedTooLate)
{
    for (const std::uint32_t newsFrom : {withoutNews, withNews}) {
        Fleet3 fleet(newsFrom);
        fleet.start();
        fleet.setSilent(true);
        fleet.loop.run_for(milliseconds(300));
        fleet.shared.set(ObjectKind::Targets, "t", "draining");
        const TimePoint left = fleet.now();
        fleet.loop.run_for(milliseconds(1200));
        fleet.setSilent(false);
        fleet.loop.run_for(milliseconds(1500));
        for (const auto &instance : fleet.all) {
            ASSERT_TRUE(instance->leavingSince()) << instance->gateway.options.name;
            EXPECT_LE(*instance->leavingSince(), left) << instance->gateway.options.name;
        }
    }
}

/// The least time of the users' deployments until a desired state must be in force.
constexpr Duration applyWithin = seconds(2);

TEST(SilentWatches, settingsComeIntoForceWhileTheWatchesOfReadersHang)
{
    for (const std::uint32_t newsFrom : {withoutNews, withNews}) {
        Fleet3 fleet(newsFrom);
        fleet.start();
        for (Instance *reader : fleet.readers)
            reader->store.watchesSilent = true;
        fleet.loop.run_for(milliseconds(300));
        fleet.shared.set(ObjectKind::Settings, "main", "2");
        fleet.loop.run_for(applyWithin);
        for (const auto &instance : fleet.all)
            EXPECT_EQ(instance->version(), 2U) << instance->gateway.options.name;
    }
}

TEST(SilentWatches, aHungWatchOfBeforeDoesntHideWhatPeersTell)
{
    Fleet3 fleet(withNews);
    for (Instance *child : fleet.children)
        child->store.watchesSilent = true;
    fleet.start();
    fleet.shared.set(ObjectKind::Settings, "main", "2");
    fleet.loop.run_for(applyWithin);
    for (const auto &instance : fleet.all)
        EXPECT_EQ(instance->version(), 2U) << instance->gateway.options.name;
}

/// Instances and shard maps are read at longer intervals.
TEST(SilentWatches, changesThatMayTakeLongerArentListedAgain)
{
    for (const std::uint32_t newsFrom : {withoutNews, withNews}) {
        Fleet3 fleet(newsFrom);
        fleet.start();
        std::vector<int> before;
        for (const auto &instance : fleet.all)
            before.push_back(instance->store.lists[ObjectKind::ShardMaps]);
        for (int index = 0; index < 8; ++index) {
            fleet.shared.set(ObjectKind::ShardMaps, "s", "unreadable");
            fleet.loop.run_for(milliseconds(300));
        }
        for (std::size_t index = 0; index < fleet.all.size(); ++index) {
            Instance &instance = *fleet.all[index];
            EXPECT_EQ(instance.store.lists[ObjectKind::ShardMaps], before[index]);
            EXPECT_EQ(instance.store.lists[ObjectKind::Settings], 1);
        }
    }
}

} // namespace

} // namespace yuccaspan::gateway

// Instances whose watches at the store hear nothing while all their other calls are answered.

#include "gateway/boottime_clock.hpp"
#include "gateway/control.hpp"
#include "gateway/control_doubles.hpp"
#include "gateway/gateway_server.hpp"
#include "gateway/news/news_store.hpp"
#include "gateway/shared_store.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The text of a target is its state, that of the settings their version.
class TextCodec final : public PlatformCodec
{
public:
    [[nodiscard]] Result<TargetEntry> target(const StoredObject &object) const override
    {
        TargetEntry entry;
        entry.id = object.name;
        entry.incarnation = 1;
        entry.service = "s";
        entry.address = "127.0.0.1:1";
        entry.zone = "z";
        entry.draining = object.text == "draining";
        return entry;
    }
    [[nodiscard]] Result<DesiredState> desiredState(const StoredObject &object) const override
    {
        DesiredState state;
        state.version = std::stoull(object.text);
        Service service;
        service.name = "s";
        state.services.emplace("s", service);
        return state;
    }
};

struct Instance
{
    Instance(asio::io_context &loop, SharedStore &shared, const std::string &name,
             const std::string &address, std::uint32_t newsFromInstances)
        : store(loop, shared),
          news(loop, store,
               {.name = name, .zone = "z", .fromInstances = newsFromInstances, .timing = {}}),
          log(std::make_unique<SilentLog>(), clock, name),
          gateway(loop, clock, log, protocol, news, codec, options(name, address)),
          control(gateway, "1")
    {
        auto created = GatewayServer::create(
            gateway, [this](const std::string &asked) { return control.answerState(asked); });
        EXPECT_TRUE(created);
        server = std::move(*created);
        server->setNewsHandler([this](std::string asked) { return news.answer(std::move(asked)); });
        news.start(gateway, [this] { return control.placing(); });
        server->start();
    }

    static GatewayOptions options(const std::string &name, const std::string &address)
    {
        GatewayOptions out;
        out.name = name;
        out.zone = "z";
        out.callerAddress = "127.0.0.1:0";
        out.readinessAddress = "127.0.0.1:0";
        out.peerAddress = address;
        return out;
    }

    [[nodiscard]] std::optional<TimePoint> leavingSince() const
    {
        const Target *target = gateway.directory.find("t");
        return target == nullptr ? std::nullopt : target->leavingSince;
    }
    [[nodiscard]] std::uint64_t version() const
    {
        return gateway.desired ? gateway.desired->version : 0;
    }

    BoottimeClock clock;
    StoreConnection store;
    NewsStore news;
    EventLog log;
    NoProtocol protocol;
    TextCodec codec;
    Gateway gateway;
    Control control;
    std::unique_ptr<GatewayServer> server;
};

/// Three instances of one zone: two readers of the store and a child.
struct Fleet3
{
    explicit Fleet3(std::uint32_t newsFromInstances)
    {
        shared.set(ObjectKind::Settings, "main", "1");
        shared.set(ObjectKind::Targets, "t", "ready");
        const std::vector<std::string> names{"a", "b", "c"};
        for (const std::string &name : names) {
            const std::string address = freeAddress();
            all.push_back(
                std::make_unique<Instance>(loop, shared, name, address, newsFromInstances));
            const bool reader = newsPlace(names, name).reader;
            (reader ? readers : children).push_back(all.back().get());
        }
    }

    std::string freeAddress()
    {
        const tcp::acceptor free(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        return "127.0.0.1:" + std::to_string(free.local_endpoint().port());
    }
    /// A reader takes the placer lease.
    void start()
    {
        for (Instance *reader : readers)
            EXPECT_TRUE(reader->control.start());
        loop.run_for(milliseconds(500));
        for (Instance *child : children)
            EXPECT_TRUE(child->control.start());
        loop.run_for(seconds(2));
    }
    void setSilent(bool silent)
    {
        for (const auto &instance : all)
            instance->store.watchesSilent = silent;
    }
    [[nodiscard]] TimePoint now() const { return all.front()->gateway.now(); }

    asio::io_context loop;
    SharedStore shared;
    std::vector<std::unique_ptr<Instance>> all;
    std::vector<Instance *> readers;
    std::vector<Instance *> children;
};

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

#include "gateway/boottime_clock.hpp"
#include "gateway/control_doubles.hpp"
#include "gateway/gateway_server.hpp"
#include "gateway/news/news_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The content of a store that several instances call.
struct SharedStore
{
    std::vector<StoredObject> instances;
    std::vector<StoredObject> targets;
    std::uint64_t revision = 10;
};

/// One instance's calls to the store.
class CountingStore final : public MetadataStore
{
public:
    CountingStore(asio::io_context &loop, SharedStore &shared) : m_loop(loop), m_shared(shared) { }

    asio::awaitable<Result<StoredObjects>> list(ObjectKind kind) override
    {
        StoredObjects out;
        out.revision = {1, m_shared.revision};
        if (kind == ObjectKind::Instances)
            out.objects = m_shared.instances;
        co_return out;
    }
    asio::awaitable<Result<StoredObjects>> watch(ObjectKind kind, StoreRevision revision,
                                                 Duration wait, CancelSink /*onCancel*/) override
    {
        ++watches;
        const auto end = std::chrono::steady_clock::now() + wait;
        StoredObjects out;
        while (out.objects.empty() && std::chrono::steady_clock::now() < end) {
            asio::steady_timer timer(m_loop, milliseconds(5));
            co_await timer.async_wait(asTuple);
            for (const StoredObject &object : m_shared.targets) {
                if (kind == ObjectKind::Targets && object.revision > revision)
                    out.objects.push_back(object);
            }
        }
        out.revision = {1, m_shared.revision};
        co_return out;
    }
    asio::awaitable<Result<StoredObject>> get(ObjectKind /*kind*/, const std::string & /*name*/,
                                              bool /*maybeOld*/) override
    {
        ++reads;
        co_return StoredObject{"placer", {1, 1}, false, nullptr, "lease"};
    }
    asio::awaitable<WriteResult> put(ObjectKind /*kind*/, const std::string & /*name*/,
                                     const std::string & /*text*/,
                                     StoreRevision /*revision*/) override
    {
        co_return WriteResult{};
    }

    int watches = 0;
    int reads = 0;

private:
    asio::io_context &m_loop;
    SharedStore &m_shared;
};

/// An instance that lists and then watches the targets.
struct NewsInstance
{
    NewsInstance(asio::io_context &loop, SharedStore &shared, const std::string &name,
                 const std::string &address, std::uint32_t fromInstances)
        : store(loop, shared),
          news(loop, store, {name, "z", fromInstances, {}}),
          log(std::make_unique<SilentLog>(), clock, name),
          gateway(loop, clock, log, protocol, news, codec, options(name, address))
    {
        auto created = GatewayServer::create(gateway, [](const std::string &) { return "{}"; });
        EXPECT_TRUE(created);
        server = std::move(*created);
        server->setNewsHandler([this](std::string asked) { return news.answer(std::move(asked)); });
        news.start(gateway, [this] { return placing; });
        server->start();
        for (const ObjectKind kind : {ObjectKind::Settings, ObjectKind::Evacuations,
                                      ObjectKind::Instances, ObjectKind::Targets})
            asio::co_spawn(loop, follow(kind), asio::detached);
        asio::co_spawn(loop, readLease(), asio::detached);
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

    asio::awaitable<void> follow(ObjectKind kind)
    {
        StoreRevision revision = (co_await news.list(kind))->revision;
        while (true) {
            const auto changes =
                co_await news.watch(kind, revision, seconds(17), [](std::function<void()>) {});
            if (!changes)
                co_return;
            EXPECT_GE(changes->revision, revision);
            revision = changes->revision;
            for (const StoredObject &object : changes->objects)
                seen.push_back(object.name);
        }
    }

    asio::awaitable<void> readLease()
    {
        while (true) {
            asio::steady_timer timer(gateway.loop, milliseconds(500));
            co_await timer.async_wait(asTuple);
            leases += int((co_await news.get(ObjectKind::Leases, "placer", true)).hasValue());
        }
    }

    BoottimeClock clock;
    CountingStore store;
    NewsStore news;
    EventLog log;
    NoProtocol protocol;
    NoCodec codec;
    Gateway gateway;
    std::unique_ptr<GatewayServer> server;
    bool placing = false;
    std::vector<std::string> seen;
    int leases = 0;
};

struct NewsFixture
{
    explicit NewsFixture(std::uint32_t fromInstances)
    {
        std::vector<std::string> names;
        std::vector<std::string> addresses;
        for (const char *name : {"a", "b", "c"}) {
            tcp::acceptor free(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
            names.emplace_back(name);
            addresses.push_back("127.0.0.1:" + std::to_string(free.local_endpoint().port()));
            shared.instances.push_back({name,
                                        {1, 5},
                                        false,
                                        nullptr,
                                        R"({"zone":"z","peers":")" + addresses.back() + R"("})"});
        }
        for (std::size_t index = 0; index < names.size(); ++index) {
            all.push_back(std::make_unique<NewsInstance>(loop, shared, names[index],
                                                         addresses[index], fromInstances));
            if (!newsPlace(names, names[index]).reader)
                child = all.back().get();
        }
    }

    void change(const std::string &name)
    {
        shared.targets.push_back({name, {1, ++shared.revision}, false, nullptr, "{}"});
    }

    asio::io_context loop;
    SharedStore shared;
    std::vector<std::unique_ptr<NewsInstance>> all;
    NewsInstance *child = nullptr;
};

TEST(NewsStore, aChildHearsFromItsParentsWithoutCallsOfItsOwn)
{
    NewsFixture fixture(3);
    fixture.loop.run_for(seconds(1));
    const int watches = fixture.child->store.watches;
    const int reads = fixture.child->store.reads;
    for (int number = 0; number < 5; ++number) {
        fixture.change("t" + std::to_string(number));
        fixture.loop.run_for(milliseconds(300));
        for (const auto &instance : fixture.all)
            EXPECT_EQ(instance->seen.size(), static_cast<std::size_t>(number) + 1);
    }
    EXPECT_TRUE(fixture.child->news.fromPeers());
    EXPECT_EQ(fixture.child->store.watches, watches);
    EXPECT_EQ(fixture.child->store.reads, reads);
    EXPECT_GT(fixture.child->leases, 2);
    EXPECT_EQ(fixture.child->news.followers(3), 1U);
}

/// Guards against a watch that waits on for 17 s after its parents were given up.
TEST(NewsStore, aChildWithoutParentsTurnsToTheStore)
{
    NewsFixture fixture(3);
    fixture.loop.run_for(seconds(1));
    ASSERT_TRUE(fixture.child->news.fromPeers());
    for (const auto &instance : fixture.all)
        instance->gateway.stopping = instance.get() != fixture.child;
    fixture.loop.run_for(milliseconds(1200));
    fixture.change("t");
    fixture.loop.run_for(milliseconds(200));
    EXPECT_EQ(fixture.child->seen, std::vector<std::string>{"t"});
}

TEST(NewsStore, thePlacerAndWhoHearsNothingFollowTheStore)
{
    NewsFixture fixture(3);
    fixture.loop.run_for(seconds(1));
    const int watches = fixture.child->store.watches;
    fixture.child->placing = true;
    fixture.loop.run_for(milliseconds(300));
    EXPECT_GT(fixture.child->store.watches, watches);
    fixture.child->placing = false;
    // An instance that stops answers no more.
    for (const auto &instance : fixture.all)
        instance->gateway.stopping = instance.get() != fixture.child;
    fixture.loop.run_for(seconds(1));
    EXPECT_FALSE(fixture.child->news.fromPeers());
    fixture.change("t");
    fixture.loop.run_for(milliseconds(200));
    EXPECT_EQ(fixture.child->seen, std::vector<std::string>{"t"});
}

TEST(NewsStore, servesSmallerDeploymentsAndThoseThatDontAskAsBefore)
{
    for (const std::uint32_t fromInstances : {0U, 4U}) {
        NewsFixture fixture(fromInstances);
        fixture.loop.run_for(milliseconds(600));
        fixture.change("t");
        fixture.loop.run_for(milliseconds(200));
        for (const auto &instance : fixture.all) {
            EXPECT_EQ(instance->store.watches, 5);
            EXPECT_GE(instance->store.reads, 1);
            EXPECT_EQ(instance->news.followers(3), 3U);
            EXPECT_EQ(instance->seen.size(), 1U);
        }
    }
}

} // namespace

} // namespace yuccaspan::gateway

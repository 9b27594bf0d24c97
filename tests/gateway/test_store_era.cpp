// A store that comes back from a copy: what it lost must neither be taken as gone nor given out
// again.

#include "gateway/boottime_clock.hpp"
#include "gateway/control.hpp"
#include "gateway/control_doubles.hpp"

#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint start{seconds(100)};

TEST(StoreEra, leaseEndsWithTheFirstAnswerOfANewEra)
{
    PlacerLease lease("a", "1");
    lease.observed(std::nullopt, {}, start);
    lease.stored(lease.next(), {0, 5}, start);
    ASSERT_TRUE(lease.held(start + seconds(1)));
    lease.enterEra(1, start + seconds(1));
    EXPECT_FALSE(lease.held(start + seconds(1)));
    EXPECT_TRUE(lease.heldIntoEra());
}

/// The copy names an earlier state: no holder, this instance or another one.
TEST(StoreEra, nobodyAcquiresBeforeEarlierLeasesHaveEnded)
{
    for (const LeaseRecord &copy :
         {LeaseRecord{"", "1", 4}, LeaseRecord{"a", "0", 4}, LeaseRecord{"b", "1", 4}}) {
        PlacerLease lease("a", "1");
        lease.observed(LeaseRecord{"b", "1", 9}, {0, 8}, start);
        lease.observed(copy, {1, 3}, start + seconds(10));
        EXPECT_FALSE(lease.mayAcquire({1, 3}, start + milliseconds(13999))) << copy.holder;
        EXPECT_TRUE(lease.mayAcquire({1, 3}, start + seconds(14))) << copy.holder;
    }
    PlacerLease lease("a", "1");
    lease.enterEra(1, start);
    lease.observed(std::nullopt, {}, start);
    EXPECT_FALSE(lease.mayAcquire({}, start + milliseconds(3999)));
}

TEST(StoreEra, theLastHolderAcquiresFirst)
{
    PlacerLease lease("a", "1");
    lease.observed(std::nullopt, {}, start);
    lease.stored(lease.next(), {0, 5}, start);
    lease.observed(LeaseRecord{"a", "1", 1}, {1, 3}, start + seconds(1));
    EXPECT_FALSE(lease.mayAcquire({1, 3}, start + milliseconds(3999)));
    EXPECT_TRUE(lease.mayAcquire({1, 3}, start + seconds(4)));
}

/// A writer of the new era has waited; its record counts as any other.
TEST(StoreEra, aLeaseOfTheNewEraIsFollowedAsUsual)
{
    PlacerLease lease("a", "1");
    lease.observed(LeaseRecord{"", "1", 9, 1}, {1, 8}, start);
    EXPECT_TRUE(lease.mayAcquire({1, 8}, start));
    lease.observed(LeaseRecord{"b", "1", 4}, {0, 90}, start + seconds(1));
    EXPECT_EQ(lease.revision(), (StoreRevision{1, 8}));
}

/// Otherwise its holder would be waited for, or its revision be replaced.
TEST(StoreEra, aLateAnswerOfAnEarlierEraSaysNothingAboutTheLease)
{
    PlacerLease lease("a", "1");
    lease.enterEra(1, start);
    lease.observed(LeaseRecord{"b", "1", 4}, {0, 90}, start);
    EXPECT_FALSE(lease.revision().known());
    EXPECT_TRUE(lease.holder().empty());
}

TEST(StoreEra, aLeaseWriteThatReachedAnotherEraGivesNoLease)
{
    PlacerLease lease("a", "1");
    lease.observed(std::nullopt, {}, start);
    lease.stored(lease.next(), {1, 5}, start);
    EXPECT_FALSE(lease.held(start));
}

ShardMap twoRanges()
{
    ShardMap map;
    map.service = "s";
    map.placer = "b/1";
    map.term = 4;
    map.write = 50;
    map.lastFence = 9;
    map.ranges.push_back({{0, 99}, Holder{"t", 1, 7}, Holder{"u", 1, 9}});
    map.ranges.push_back({{100, lastKey}, Holder{"u", 1, 8}, std::nullopt});
    return map;
}

TEST(StoreEra, termsAndFencesOfANewEraAreAboveAllOfEarlierOnes)
{
    ShardPlacer placer = ShardPlacer::create("s", "a/1");
    placer.adopt(twoRanges(), start, 2);
    EXPECT_GT(placer.record().term, termFloor(2));
    EXPECT_GE(placer.record().lastFence, fenceFloor(2));
    EXPECT_EQ(placer.record().ranges, twoRanges().ranges);
    placer.adopt(std::nullopt, start, 3);
    EXPECT_GE(placer.record().lastFence, fenceFloor(3));
    EXPECT_LT(fenceFloor(8192) - 1, 1ULL << 53U);
}

/// The owners of an old record may have lost their keys to others under higher fences since.
TEST(StoreEra, noOwnerOfAnIncompleteRecordKeepsItsFence)
{
    ShardPlacer placer = ShardPlacer::create("s", "a/1");
    placer.adoptAfterLoss(twoRanges(), start, 1);
    const ShardMap map = placer.record();
    ASSERT_EQ(map.ranges.size(), 2U);
    for (const ShardRange &range : map.ranges) {
        EXPECT_FALSE(range.owner);
        ASSERT_TRUE(range.next);
        EXPECT_GT(range.next->fence, fenceFloor(1));
    }
    EXPECT_EQ(map.ranges[0].next->target, "t");
    EXPECT_NE(map.ranges[0].next->fence, map.ranges[1].next->fence);
}

TargetEntry entryOf(const std::string &id, std::uint64_t sequence, bool draining = false)
{
    TargetEntry entry;
    entry.id = id;
    entry.incarnation = 1;
    entry.service = "s";
    entry.address = "127.0.0.1:1";
    entry.zone = "z1";
    entry.sequence = sequence;
    entry.draining = draining;
    return entry;
}

TEST(StoreEra, theCopyBringsNoLeavingTargetBack)
{
    TargetDirectory directory;
    directory.replaceAll({entryOf("drains", 5), entryOf("gone", 5)}, start, start);
    directory.put(entryOf("drains", 6, true), start, start);
    directory.remove("gone", start, start);
    directory.enterEra(start + seconds(1));
    directory.replaceAll({entryOf("drains", 5), entryOf("gone", 5)}, start + seconds(2), start);
    EXPECT_FALSE(directory.find("drains")->ready());
    EXPECT_FALSE(directory.find("gone")->ready());
    // A later heartbeat shows that it lives.
    directory.put(entryOf("gone", 6), start + seconds(3), start);
    EXPECT_TRUE(directory.find("gone")->ready());
}

TEST(StoreEra, whatTheCopyLacksHasTimeToBeWrittenAgain)
{
    TargetDirectory directory;
    directory.put(entryOf("t", 5), start, start);
    directory.enterEra(start + seconds(1));
    directory.replaceAll({}, start + seconds(1), start);
    directory.tick(start + seconds(3));
    EXPECT_TRUE(directory.find("t")->ready());
    directory.tick(start + seconds(4));
    EXPECT_FALSE(directory.find("t")->ready());
}

/// Reads targets as "sequence" or "sequence draining".
class TextCodec final : public PlatformCodec
{
public:
    [[nodiscard]] Result<TargetEntry> target(const StoredObject &object) const override
    {
        return entryOf(object.name, std::stoull(object.text),
                       object.text.find("draining") != std::string::npos);
    }
    [[nodiscard]] Result<DesiredState> desiredState(const StoredObject & /*object*/) const override
    {
        DesiredState state;
        state.version = 1;
        Service service;
        service.name = "s";
        service.keyed = true;
        state.services.emplace("s", service);
        return state;
    }
};

/// A store in memory that can be copied and come back from the copy.
class CopiedStore final : public MetadataStore
{
public:
    using Contents = std::map<ObjectKind, std::map<std::string, StoredObject>>;

    explicit CopiedStore(asio::io_context &loop) : m_loop(loop) { }

    asio::awaitable<Result<StoredObjects>> list(ObjectKind kind) override
    {
        StoredObjects out;
        out.revision = revision;
        for (const auto &[name, object] : contents[kind])
            out.objects.push_back(inEra(object));
        co_return out;
    }
    asio::awaitable<Result<StoredObjects>> watch(ObjectKind kind, StoreRevision after,
                                                 Duration wait, CancelSink onCancel) override
    {
        bool cancelled = false;
        onCancel([&cancelled] { cancelled = true; });
        StoredObjects out;
        for (Duration waited{}; waited < wait && out.objects.empty() && !cancelled;
             waited += milliseconds(20)) {
            asio::steady_timer timer(m_loop, milliseconds(20));
            co_await timer.async_wait(asTuple);
            for (const auto &[name, object] : contents[kind]) {
                if (object.revision.number > after.number)
                    out.objects.push_back(inEra(object));
            }
        }
        onCancel({});
        if (cancelled)
            co_return Error{ErrorCode::Timeout, "cancelled", {}};
        out.revision = revision;
        co_return out;
    }
    asio::awaitable<Result<StoredObject>> get(ObjectKind kind, const std::string &name,
                                              bool /*maybeOld*/) override
    {
        if (!contents[kind].contains(name))
            co_return Error{ErrorCode::NotFound, "none", {}};
        co_return inEra(contents[kind][name]);
    }
    asio::awaitable<WriteResult> put(ObjectKind kind, const std::string &name,
                                     const std::string &text, StoreRevision expected) override
    {
        const auto found = contents[kind].find(name);
        const StoreRevision stored =
            found == contents[kind].end() ? StoreRevision{} : found->second.revision;
        if (stored.number != expected.number)
            co_return stored.known() ? WriteResult{WriteEnd::Conflict, inEra(found->second)}
                                     : WriteResult{};
        set(kind, name, text);
        ++writes[kind];
        co_return WriteResult{WriteEnd::Stored, inEra(contents[kind][name])};
    }

    void set(ObjectKind kind, const std::string &name, const std::string &text)
    {
        contents[kind][name] = {name, {0, ++revision.number}, false, nullptr, text};
    }
    /// Comes back from a copy that was taken at a revision.
    void comeBack(const Contents &copy, std::uint64_t number)
    {
        contents = copy;
        revision = {revision.era + 1, number};
        writes.clear();
    }
    [[nodiscard]] ShardMap map()
    {
        return *decodeShardMap(contents[ObjectKind::ShardMaps]["s"].text);
    }

    Contents contents;
    StoreRevision revision{0, 7};
    std::map<ObjectKind, int> writes; ///< By the gateway, since the last return.

private:
    [[nodiscard]] StoredObject inEra(StoredObject object) const
    {
        object.revision.era = revision.era;
        return object;
    }
    asio::io_context &m_loop;
};

/// An instance with its control tasks.
struct Instance
{
    Instance(asio::io_context &loop, CopiedStore &store, const std::string &name)
        : log(std::make_unique<SilentLog>(), clock, name),
          options(named(name)),
          gateway(loop, clock, log, protocol, store, codec, options),
          control(gateway, "1")
    {
        EXPECT_TRUE(control.start());
    }
    static GatewayOptions named(const std::string &name)
    {
        GatewayOptions options;
        options.name = name;
        return options;
    }
    [[nodiscard]] bool ready(const char *target) const
    {
        const Target *found = gateway.directory.find(target);
        return found != nullptr && found->ready();
    }

    BoottimeClock clock;
    EventLog log;
    NoProtocol protocol;
    TextCodec codec;
    GatewayOptions options;
    Gateway gateway;
    Control control;
};

TEST(StoreEra, instancesKeepWhatTheStoreLost)
{
    asio::io_context loop;
    CopiedStore store(loop);
    store.set(ObjectKind::Settings, "main", "");
    store.set(ObjectKind::Targets, "stays", "1");
    store.set(ObjectKind::Targets, "leaves", "1");
    Instance first(loop, store, "a");
    Instance second(loop, store, "b");
    const std::array instances{&first, &second};
    for (int step = 0; step < 100 && store.writes[ObjectKind::ShardMaps] == 0; ++step)
        loop.run_for(milliseconds(50));
    ASSERT_GT(store.writes[ObjectKind::ShardMaps], 0);
    const bool firstPlaced = first.control.placing();
    CopiedStore::Contents copy = store.contents;
    copy[ObjectKind::Instances].erase("b");
    const std::uint64_t copied = store.revision.number;
    store.set(ObjectKind::Targets, "joins", "1");
    store.set(ObjectKind::Targets, "leaves", "2 draining");
    store.set(ObjectKind::Evacuations, "z9", "");
    loop.run_for(milliseconds(1500));

    store.comeBack(copy, copied);
    store.set(ObjectKind::Targets, "joinsLater", "1");
    loop.run_for(milliseconds(1200));
    for (const Instance *instance : instances) {
        EXPECT_TRUE(instance->ready("joinsLater"));
        EXPECT_TRUE(instance->ready("joins"));
        EXPECT_FALSE(instance->ready("leaves"));
        EXPECT_TRUE(instance->gateway.directory.evacuated("z9"));
        EXPECT_FALSE(instance->control.placing());
    }
    EXPECT_TRUE(store.contents[ObjectKind::Instances].contains("b"));
    store.set(ObjectKind::Targets, "joins", "2");
    loop.run_for(milliseconds(1500));
    EXPECT_EQ(store.writes[ObjectKind::Leases], 0);
    loop.run_for(milliseconds(1300));
    EXPECT_EQ(first.control.placing(), firstPlaced);
    EXPECT_NE(second.control.placing(), firstPlaced);
    EXPECT_GT(store.map().term, termFloor(1));
    EXPECT_GE(store.map().lastFence, fenceFloor(1));
    for (const Instance *instance : instances) {
        EXPECT_TRUE(instance->ready("joins"));
        EXPECT_FALSE(instance->ready("leaves"));
        EXPECT_FALSE(instance->gateway.directory.evacuated("z9"));
    }
}

/// Without the instance that placed keys until the loss, grants may be in force that no record
/// names: nothing is granted until the longest of them has run out.
TEST(StoreEra, anotherPlacerWaitsForTheGrantsOfTheLostTime)
{
    asio::io_context loop;
    CopiedStore store(loop);
    store.revision.era = 1;
    store.set(ObjectKind::Settings, "main", "");
    store.set(ObjectKind::Targets, "t", "1");
    store.set(ObjectKind::ShardMaps, "s", encodeShardMap(twoRanges()));
    Instance instance(loop, store, "a");
    const Duration grantsEnd = seconds(3) + ShardPlacer::longestHold({});
    loop.run_for(grantsEnd - milliseconds(300));
    ASSERT_TRUE(instance.control.placing());
    EXPECT_EQ(store.writes[ObjectKind::ShardMaps], 0);
    loop.run_for(milliseconds(900));
    ASSERT_GT(store.writes[ObjectKind::ShardMaps], 0);
    for (const ShardRange &range : store.map().ranges) {
        ASSERT_TRUE(range.next);
        EXPECT_GT(range.next->fence, fenceFloor(1));
    }
}

/// An older record under a later revision must not replace the known one.
TEST(StoreEra, aRecordFromTheCopyDoesNotReplaceANewerOne)
{
    asio::io_context loop;
    CopiedStore store(loop);
    Instance instance(loop, store, "a");
    ShardMap map = twoRanges();
    instance.gateway.apply(map, {0, 50});
    map.write = 40;
    instance.gateway.apply(map, {1, 45});
    EXPECT_EQ(instance.gateway.shardMaps.at("s").map.write, 50U);
    map.term = termFloor(1) + 1;
    instance.gateway.apply(map, {1, 46});
    EXPECT_EQ(instance.gateway.shardMaps.at("s").map.write, 40U);
}

} // namespace

} // namespace yuccaspan::gateway

#include "gateway/boottime_clock.hpp"
#include "gateway/control.hpp"
#include "gateway/control_doubles.hpp"

#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace yuccaspan::gateway {

namespace {

/// One keyed service; its targets are unreachable.
class OneServiceCodec final : public PlatformCodec
{
public:
    [[nodiscard]] Result<TargetEntry> target(const StoredObject &object) const override
    {
        TargetEntry entry;
        entry.id = object.name;
        entry.incarnation = 1;
        entry.service = "s";
        entry.address = "127.0.0.1:1";
        return entry;
    }
    [[nodiscard]] Result<DesiredState> desiredState(const StoredObject &object) const override
    {
        DesiredState state;
        state.version = object.revision.number;
        Service service;
        service.name = "s";
        service.keyed = true;
        state.services.emplace("s", service);
        return state;
    }
};

/// A store that can refuse lease writes, and whose first write of a shard map blocks until it is
/// released and then fails.
class BlockingStore final : public MetadataStore
{
public:
    explicit BlockingStore(asio::io_context &loop) : m_loop(loop) { }

    asio::awaitable<Result<StoredObjects>> list(ObjectKind kind) override
    {
        StoredObjects objects;
        objects.revision = revision;
        for (std::size_t index = 0; kind == ObjectKind::Targets && index < targets; ++index)
            objects.objects.push_back(
                {index == 0 ? "t" : "t" + std::to_string(index), {0, 3}, false, nullptr, {}});
        if (kind == ObjectKind::Settings)
            objects.objects.push_back({"main", {0, 3}, false, nullptr, {}});
        co_return objects;
    }
    asio::awaitable<Result<StoredObjects>> watch(ObjectKind /*kind*/, StoreRevision /*revision*/,
                                                 Duration wait, CancelSink onCancel) override
    {
        asio::steady_timer timer(m_loop, wait);
        onCancel([&timer] { timer.cancel(); });
        co_await timer.async_wait(asTuple);
        onCancel({});
        co_return Error{ErrorCode::Timeout, "silent", {}};
    }
    asio::awaitable<Result<StoredObject>> get(ObjectKind kind, const std::string & /*name*/,
                                              bool /*maybeOld*/) override
    {
        const StoredObject &object = kind == ObjectKind::Leases ? lease : map;
        if (!object.revision.known())
            co_return Error{ErrorCode::NotFound, "none", {}};
        co_return object;
    }
    asio::awaitable<WriteResult> put(ObjectKind kind, const std::string &name,
                                     const std::string &text, StoreRevision expected) override
    {
        if (kind == ObjectKind::Instances)
            co_return WriteResult{WriteEnd::Stored, {}};
        if (kind == ObjectKind::Leases && !acceptsLeaseWrites)
            co_return WriteResult{WriteEnd::Refused, {}};
        if (kind == ObjectKind::ShardMaps && ++mapWrites == 1) {
            while (!releaseFirstWrite) {
                asio::steady_timer timer(m_loop, std::chrono::milliseconds(10));
                co_await timer.async_wait(asTuple);
            }
            co_return WriteResult{WriteEnd::Refused, {}};
        }
        StoredObject &object = kind == ObjectKind::Leases ? lease : map;
        if (object.revision != expected)
            co_return WriteResult{WriteEnd::Conflict, object};
        object = {name, {0, ++revision.number}, false, nullptr, text};
        if (kind == ObjectKind::ShardMaps)
            storedMaps.push_back(*decodeShardMap(text));
        co_return WriteResult{WriteEnd::Stored, object};
    }

    StoreRevision revision{0, 7};
    std::size_t targets = 1;
    StoredObject lease;
    StoredObject map;
    bool acceptsLeaseWrites = true;
    bool releaseFirstWrite = false;
    int mapWrites = 0;
    std::vector<ShardMap> storedMaps;

private:
    asio::io_context &m_loop;
};

/// A write of a shard map blocked while the lease was lost and acquired again. Its retry replaced
/// the map of the later term and restored the old owners (OWNER on hunt day scale-1 503810266030 of
/// the grown deployment).
TEST(ControlPlacing, doesNotRetryAShardMapWriteOfAnEarlierTerm)
{
    asio::io_context loop;
    const BoottimeClock clock;
    EventLog log(std::make_unique<SilentLog>(), clock, "a");
    NoProtocol protocol;
    OneServiceCodec codec;
    BlockingStore store(loop);
    GatewayOptions options;
    options.name = "a";
    Gateway gateway(loop, clock, log, protocol, store, codec, options);
    Control control(gateway, "1");
    ASSERT_TRUE(control.start());
    const auto runUntil = [&loop](const auto &condition) {
        for (int step = 0; step < 400 && !condition(); ++step)
            loop.run_for(std::chrono::milliseconds(50));
        return condition();
    };
    ASSERT_TRUE(runUntil([&] { return store.mapWrites == 1; }));
    store.acceptsLeaseWrites = false;
    ASSERT_TRUE(runUntil([&] { return !control.placing(); }));
    // Another placer writes the map in the meantime.
    ShardMap otherPlacersMap;
    otherPlacersMap.service = "s";
    otherPlacersMap.placer = "b/1";
    otherPlacersMap.term = 9;
    otherPlacersMap.write = 50;
    otherPlacersMap.lastFence = 982;
    otherPlacersMap.ranges.push_back({{0, lastKey}, Holder{"t", 1, 982}, std::nullopt});
    store.map = {
        "s", {0, ++store.revision.number}, false, nullptr, encodeShardMap(otherPlacersMap)};
    store.acceptsLeaseWrites = true;
    ASSERT_TRUE(runUntil([&] { return !store.storedMaps.empty(); }));
    store.releaseFirstWrite = true;
    loop.run_for(std::chrono::milliseconds(600));
    for (const ShardMap &map : store.storedMaps) {
        EXPECT_GE(map.lastFence, 982U);
        EXPECT_EQ(map.term, 10U);
    }
}

/// Value of a metric; 0 if it is absent.
double metric(const GatewayMetrics &metrics, const std::string &line)
{
    const std::string text = metrics.text();
    const std::size_t at = text.find(line + " ");
    return at == std::string::npos ? 0 : std::stod(text.substr(at + line.size()));
}

/// The placer iterated over all targets and ranges after each failed order, which kept its event
/// loop busy all the time (GONE, DRAIN and RECOVER on the grown deployments).
TEST(ControlPlacing, failedOrdersTriggerNoExtraPlacementDecisions)
{
    asio::io_context loop;
    const BoottimeClock clock;
    EventLog log(std::make_unique<SilentLog>(), clock, "a");
    NoProtocol protocol;
    OneServiceCodec codec;
    BlockingStore store(loop);
    store.targets = 100;
    store.releaseFirstWrite = true;
    GatewayOptions options;
    options.name = "a";
    Gateway gateway(loop, clock, log, protocol, store, codec, options);
    Control control(gateway, "1");
    ASSERT_TRUE(control.start());
    const std::string failed = R"(yuccaspan_events_total{event="grant",label="not-sent"})";
    for (int step = 0; step < 400 && metric(gateway.metrics, failed) < 500; ++step)
        loop.run_for(std::chrono::milliseconds(50));
    ASSERT_GE(metric(gateway.metrics, failed), 500);
    const double ticks = metric(gateway.metrics, "yuccaspan_loop_lag_seconds_count");
    const double decisions =
        metric(gateway.metrics, R"(yuccaspan_events_total{event="placer",label="decide"})");
    EXPECT_LE(decisions, ticks + 1);
}

} // namespace

} // namespace yuccaspan::gateway

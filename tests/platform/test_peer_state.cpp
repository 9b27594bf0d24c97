#include "../gateway/control_doubles.hpp"
#include "gateway/boottime_clock.hpp"
#include "gateway/control.hpp"
#include "gateway/entry_json.hpp"
#include "scripted_target.hpp"
#include "target_protocol.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace yuccaspan::platform {

namespace {

using namespace gateway; // NOLINT(google-build-using-namespace): as in the tests beside it
using std::chrono::milliseconds;

TargetEntry entryOf(const std::string &id, bool draining)
{
    TargetEntry entry;
    entry.id = id;
    entry.incarnation = 1;
    entry.service = "s";
    entry.address = "127.0.0.1:1";
    entry.zone = "z";
    entry.draining = draining;
    return entry;
}

StoredObject objectOf(const std::string &id, bool draining, std::uint64_t revision)
{
    return {id, {0, revision}, false, nullptr, draining ? "draining" : "ready"};
}

/// One service; the text of an entry is its state.
class StateCodec final : public PlatformCodec
{
public:
    [[nodiscard]] Result<TargetEntry> target(const StoredObject &object) const override
    {
        return entryOf(object.name, object.text == "draining");
    }
    [[nodiscard]] Result<DesiredState> desiredState(const StoredObject &object) const override
    {
        DesiredState state;
        state.version = object.revision.number;
        Service service;
        service.name = "s";
        state.services.emplace("s", service);
        return state;
    }
};

/// A store that can be silent, and whose next answers to watches of targets the test sets.
class SilentStore final : public MetadataStore
{
public:
    explicit SilentStore(asio::io_context &loop) : m_loop(loop) { }

    asio::awaitable<Result<StoredObjects>> list(ObjectKind kind) override
    {
        if (silent)
            co_return co_await noAnswer();
        ++lists[kind];
        StoredObjects objects;
        objects.revision = revision;
        if (kind == ObjectKind::Targets)
            objects.objects.push_back(target);
        if (kind == ObjectKind::Settings)
            objects.objects.push_back({"main", {0, 1}, false, nullptr, {}});
        for (const auto &[name, text] : instances) {
            if (kind == ObjectKind::Instances)
                objects.objects.push_back({name, {0, 2}, false, nullptr, text});
        }
        co_return objects;
    }
    asio::awaitable<Result<StoredObjects>> watch(ObjectKind kind, StoreRevision /*revision*/,
                                                 Duration wait, CancelSink onCancel) override
    {
        ++watches[kind];
        asio::steady_timer timer(m_loop);
        bool cancelled = false;
        onCancel([&] {
            cancelled = true;
            timer.cancel();
        });
        const TimePoint end = m_clock.now() + wait;
        while (!cancelled && m_clock.now() < end) {
            if (!silent && kind == ObjectKind::Targets && !changes.empty()) {
                StoredObjects next = std::move(changes.front());
                changes.pop_front();
                onCancel({});
                co_return next;
            }
            timer.expires_after(milliseconds(10));
            co_await timer.async_wait(asTuple);
        }
        onCancel({});
        co_return Error{ErrorCode::Timeout, "silent", {}};
    }
    asio::awaitable<Result<StoredObject>> get(ObjectKind /*kind*/, const std::string & /*name*/,
                                              bool /*maybeOld*/) override
    {
        if (silent) {
            co_await noAnswer();
            co_return Error{ErrorCode::Timeout, "silent", {}};
        }
        co_return Error{ErrorCode::NotFound, "none", {}};
    }
    asio::awaitable<WriteResult> put(ObjectKind kind, const std::string & /*name*/,
                                     const std::string & /*text*/,
                                     StoreRevision /*revision*/) override
    {
        // Another instance places keys.
        const auto end = kind == ObjectKind::Instances ? WriteEnd::Stored : WriteEnd::Refused;
        co_return WriteResult{end, {}};
    }

    bool silent = false;
    StoreRevision revision{0, 10};
    StoredObject target = objectOf("t", false, 9);
    std::map<std::string, std::string> instances;
    std::deque<StoredObjects> changes; ///< Answers to the next watches of targets.
    std::map<ObjectKind, int> lists;
    std::map<ObjectKind, int> watches;

private:
    asio::awaitable<Result<StoredObjects>> noAnswer()
    {
        asio::steady_timer timer(m_loop, milliseconds(50));
        co_await timer.async_wait(asTuple);
        co_return Error{ErrorCode::Timeout, "silent", {}};
    }

    asio::io_context &m_loop;
    BoottimeClock m_clock;
};

/// An instance "a" whose store the test controls.
struct Instance
{
    Instance()
        : log(std::make_unique<SilentLog>(), clock, "a"),
          gateway(loop, clock, log, protocol, store, codec, options()),
          control(gateway, "1")
    { }

    static GatewayOptions options()
    {
        GatewayOptions out;
        out.name = "a";
        out.peerAddress = "127.0.0.1:0";
        return out;
    }

    template <typename Condition>
    bool runUntil(Condition condition)
    {
        for (int step = 0; step < 800 && !condition(); ++step)
            loop.run_for(milliseconds(10));
        return condition();
    }
    [[nodiscard]] bool leaves(const std::string &id) const
    {
        const Target *target = gateway.directory.find(id);
        return target != nullptr && target->leavingSince;
    }

    asio::io_context loop;
    BoottimeClock clock;
    SilentStore store{loop};
    EventLog log;
    HttpTargetProtocol protocol;
    StateCodec codec;
    Gateway gateway;
    Control control;
};

/// An instance that was cut from the store and read lists from its peers watched on from the
/// revision that it had read before. The changes that it got were older than the peers' lists: for
/// seconds, targets that had left counted as ready (DRAIN).
TEST(PeerState, olderChangesDoNotFollowAPeersList)
{
    Instance instance;
    SilentStore &store = instance.store;
    const nlohmann::json state{
        {"targets",
         {{"revision", {0, 30}},
          {"entries", nlohmann::json::array({encodeEntry(entryOf("t", true))})}}},
        {"maps", nlohmann::json::array()}};
    ScriptedTarget peer(instance.loop, [&](tcp::socket &socket, int, int) -> asio::awaitable<void> {
        const std::string body = state.dump();
        co_await send(socket,
                      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                          + "\r\n\r\n" + body);
    });
    store.instances["a"] = R"({"peers": "127.0.0.1:1"})";
    store.instances["b"] = nlohmann::json{{"peers", peer.address()}}.dump();
    ASSERT_TRUE(instance.control.start());
    ASSERT_TRUE(instance.runUntil([&] {
        return store.watches[ObjectKind::Targets] > 0 && store.lists[ObjectKind::Instances] > 0;
    }));
    EXPECT_FALSE(instance.leaves("t"));

    store.silent = true;
    ASSERT_TRUE(instance.runUntil([&] { return instance.leaves("t"); }));

    StoredObjects old;
    old.objects.push_back(objectOf("t", false, 12));
    old.revision = {0, 12};
    store.changes.push_back(old);
    store.target = objectOf("t", true, 30);
    store.revision = {0, 40};
    store.silent = false;
    const int lists = store.lists[ObjectKind::Targets];
    bool stayed = true;
    EXPECT_TRUE(instance.runUntil([&] {
        stayed = stayed && instance.leaves("t");
        return store.lists[ObjectKind::Targets] > lists;
    }));
    instance.loop.run_for(milliseconds(100));
    EXPECT_TRUE(stayed && instance.leaves("t"));
}

/// A peer's answer that arrives once the store has said something newer must not replace that.
TEST(PeerState, aPeersListThatIsOlderIsDropped)
{
    Instance instance;
    SilentStore &store = instance.store;
    bool asked = false;
    bool answered = false;
    const nlohmann::json state{
        {"targets",
         {{"revision", {0, 30}},
          {"entries", nlohmann::json::array({encodeEntry(entryOf("t", true))})}}},
        {"maps", nlohmann::json::array()}};
    ScriptedTarget peer(instance.loop, [&](tcp::socket &socket, int, int) -> asio::awaitable<void> {
        asked = true;
        co_await pause(socket, milliseconds(300));
        const std::string body = state.dump();
        co_await send(socket,
                      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                          + "\r\n\r\n" + body);
        answered = true;
    });
    store.instances["a"] = R"({"peers": "127.0.0.1:1"})";
    store.instances["b"] = nlohmann::json{{"peers", peer.address()}}.dump();
    ASSERT_TRUE(instance.control.start());
    ASSERT_TRUE(instance.runUntil([&] { return store.watches[ObjectKind::Targets] > 0; }));
    store.silent = true;
    ASSERT_TRUE(instance.runUntil([&] { return asked; }));
    StoredObjects newer;
    newer.objects.push_back(objectOf("t", false, 40));
    newer.revision = {0, 40};
    store.changes.push_back(newer);
    store.silent = false;
    ASSERT_TRUE(instance.runUntil([&] { return answered; }));
    instance.loop.run_for(milliseconds(100));
    EXPECT_TRUE(store.changes.empty());
    EXPECT_FALSE(instance.leaves("t"));
}

/// The pause between two watches batches changes; an instance that paused after answers that were
/// cut short fell further behind with each of them.
TEST(PeerState, noPauseAfterAnAnswerThatWasCutShort)
{
    Instance instance;
    SilentStore &store = instance.store;
    for (int index = 0; index < 118; ++index)
        store.instances["i" + std::to_string(index)] = R"({"peers": "127.0.0.1:1"})";
    ASSERT_TRUE(instance.control.start());
    ASSERT_TRUE(instance.runUntil([&] { return instance.gateway.share.instances >= 118; }));
    ASSERT_TRUE(instance.runUntil([&] { return store.watches[ObjectKind::Targets] > 0; }));
    constexpr std::uint64_t answers = 6;
    for (std::uint64_t index = 1; index <= answers; ++index) {
        StoredObjects cut;
        cut.objects.push_back(objectOf("t", index == answers, 10 + index));
        cut.revision = {0, 10 + index};
        cut.mayHaveMore = index < answers;
        store.changes.push_back(cut);
    }
    instance.loop.run_for(milliseconds(500));
    EXPECT_TRUE(instance.leaves("t"));
}

} // namespace

} // namespace yuccaspan::platform

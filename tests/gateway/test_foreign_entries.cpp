#include "gateway/boottime_clock.hpp"
#include "gateway/control.hpp"
#include "gateway/control_doubles.hpp"
#include "gateway/shard_delta.hpp"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <sstream>
#include <vector>

namespace yuccaspan::gateway {

namespace {

constexpr const char *address = "10.0.0.1:80";

/// Decodes texts: "INCARNATION SERVICE" of targets, all at one address, and the names of the
/// services of a desired state, whose version is the revision.
class TextCodec final : public PlatformCodec
{
public:
    [[nodiscard]] Result<TargetEntry> target(const StoredObject &object) const override
    {
        std::istringstream text(object.text);
        TargetEntry entry;
        entry.id = object.name;
        entry.address = address;
        if (!(text >> entry.incarnation >> entry.service))
            return Error{ErrorCode::SchemaViolation, "unreadable", {}};
        return entry;
    }
    [[nodiscard]] Result<DesiredState> desiredState(const StoredObject &object) const override
    {
        DesiredState state;
        state.version = object.revision.number;
        std::istringstream text(object.text);
        for (Service service; text >> service.name;)
            state.services.emplace(service.name, service);
        return state;
    }
};

/// A store with one target, whose watches return the changes that a test adds.
class ChangingStore final : public MetadataStore
{
public:
    explicit ChangingStore(asio::io_context &loop) : m_loop(loop) { }

    void change(ObjectKind kind, const std::string &name, const std::string &text)
    {
        m_changes[kind].push_back({name, {0, ++m_revision.number}, false, nullptr, text});
    }
    asio::awaitable<Result<StoredObjects>> list(ObjectKind kind) override
    {
        StoredObjects objects;
        objects.revision = m_revision;
        if (kind == ObjectKind::Targets)
            objects.objects.push_back({"t", {0, 3}, false, nullptr, "1 stock"});
        if (kind == ObjectKind::Settings)
            objects.objects.push_back({"main", {0, 3}, false, nullptr, "stock"});
        co_return objects;
    }
    asio::awaitable<Result<StoredObjects>> watch(ObjectKind kind, StoreRevision /*revision*/,
                                                 Duration /*wait*/,
                                                 CancelSink /*onCancel*/) override
    {
        std::deque<StoredObject> &changes = m_changes[kind];
        while (changes.empty()) {
            asio::steady_timer timer(m_loop, std::chrono::milliseconds(5));
            co_await timer.async_wait(asTuple);
        }
        StoredObjects next;
        next.objects.push_back(changes.front());
        next.revision = changes.front().revision;
        changes.pop_front();
        co_return next;
    }
    asio::awaitable<Result<StoredObject>> get(ObjectKind /*kind*/, const std::string & /*name*/,
                                              bool /*maybeOld*/) override
    {
        co_return Error{ErrorCode::NotFound, "none", {}};
    }
    asio::awaitable<WriteResult> put(ObjectKind /*kind*/, const std::string & /*name*/,
                                     const std::string & /*text*/,
                                     StoreRevision /*revision*/) override
    {
        co_return WriteResult{WriteEnd::Stored, {}};
    }

private:
    asio::io_context &m_loop;
    StoreRevision m_revision{0, 7};
    std::map<ObjectKind, std::deque<StoredObject>> m_changes;
};

class ForeignEntries : public ::testing::Test
{
protected:
    ForeignEntries()
        : m_store(m_loop),
          m_log(std::make_unique<SilentLog>(), m_clock, "a"),
          m_gateway(m_loop, m_clock, m_log, m_protocol, m_store, m_codec, options()),
          m_control(m_gateway, "1")
    { }
    void SetUp() override
    {
        ASSERT_TRUE(m_control.start());
        ASSERT_TRUE(runUntil([this] { return usable("t"); }));
    }
    static GatewayOptions options()
    {
        GatewayOptions out;
        out.name = "a";
        asio::io_context loop;
        const asio::ip::udp::socket free(
            loop, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0));
        out.peerAddress = "127.0.0.1:" + std::to_string(free.local_endpoint().port());
        return out;
    }
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        for (int step = 0; step < 1000 && !condition(); ++step)
            m_loop.run_for(std::chrono::milliseconds(5));
        return condition();
    }
    /// Writes an entry and another one, of a target that is known once both were read.
    bool writeEntry(const std::string &name, const std::string &text)
    {
        const std::string marker = "marker-" + std::to_string(++m_markers);
        m_store.change(ObjectKind::Targets, name, text);
        m_store.change(ObjectKind::Targets, marker, "0 stock");
        return runUntil([&] { return usable(marker); });
    }
    [[nodiscard]] bool usable(const std::string &id) const
    {
        const Target *target = m_gateway.directory.find(id);
        return target != nullptr && m_gateway.directory.usable(*target);
    }
    [[nodiscard]] std::string latestAtAddress() const
    {
        return m_gateway.directory.findAddress(address)->entry.id;
    }

    asio::io_context m_loop;
    BoottimeClock m_clock;
    ChangingStore m_store;
    EventLog m_log;
    NoProtocol m_protocol;
    TextCodec m_codec;
    Gateway m_gateway;
    Control m_control;
    int m_markers = 0;
};

/// Guards against taking an entry of another writer, of a service that does not exist, as proof
/// that the target at its address has ended: its keys would get a second owner (OWNER, review/1).
TEST_F(ForeignEntries, ofAnUnnamedServiceDoNotReplaceATargetAtTheirAddress)
{
    ASSERT_TRUE(writeEntry("x", "9 ledger-export"));
    EXPECT_EQ(latestAtAddress(), "t");
    EXPECT_TRUE(usable("t"));
}

/// Guards against the same under the target's own id: the later incarnation would end its grants.
TEST_F(ForeignEntries, ofAnUnnamedServiceAreNoLaterIncarnation)
{
    ASSERT_TRUE(writeEntry("t", "9 ledger-export"));
    EXPECT_EQ(m_gateway.directory.find("t")->entry.incarnation, 1);
    EXPECT_FALSE(usable("t"));
    ASSERT_TRUE(writeEntry("t", "1 stock"));
    EXPECT_TRUE(usable("t"));
}

/// Guards against using a target whose entry another writer has made unreadable. It is not used if
/// the entry is listed, so neither if it changes.
TEST_F(ForeignEntries, thatAreUnreadableNameNoTargetToUse)
{
    ASSERT_TRUE(writeEntry("t", "unreadable"));
    EXPECT_FALSE(usable("t"));
    EXPECT_EQ(m_gateway.directory.find("t")->entry.incarnation, 1);
}

/// A true later target is believed at once, also if its service is named after it was read.
TEST_F(ForeignEntries, areBelievedOnceTheirServiceIsNamed)
{
    ASSERT_TRUE(writeEntry("x", "9 ledger-export"));
    m_store.change(ObjectKind::Settings, "main", "stock ledger-export");
    ASSERT_TRUE(runUntil([this] { return usable("x"); }));
    EXPECT_EQ(latestAtAddress(), "x");
    ASSERT_TRUE(writeEntry("y", "12 stock"));
    EXPECT_EQ(latestAtAddress(), "y");
}

/// Guards against believing such an entry because the placer, whose desired state is another one,
/// passes it on.
TEST_F(ForeignEntries, ofAnUnnamedServiceAreNotTakenFromThePlacer)
{
    ShardMap map;
    map.service = "stock";
    map.ranges.push_back({{0, lastKey}, Holder{"t", 1, 1}, std::nullopt});
    m_gateway.apply(map, {0, 1});
    auto send = [this, revision = std::uint64_t{1}](const std::string &id,
                                                    const std::string &service) mutable {
        ShardDelta delta;
        delta.service = "stock";
        delta.revision = {0, ++revision};
        TargetEntry entry;
        entry.id = id;
        entry.incarnation = 9;
        entry.service = service;
        entry.address = address;
        delta.targets.push_back(entry);
        const std::vector<std::uint8_t> bytes = encodeShardDelta(delta);
        const auto peer = *parseEndpoint(m_gateway.options.peerAddress);
        asio::ip::udp::socket socket(m_loop, asio::ip::udp::v4());
        socket.send_to(asio::buffer(bytes), asio::ip::udp::endpoint(peer.address(), peer.port()));
    };
    send("x", "ledger-export");
    send("y", "stock");
    ASSERT_TRUE(runUntil([this] { return usable("y"); }));
    EXPECT_EQ(m_gateway.directory.find("x"), nullptr);
}

} // namespace

} // namespace yuccaspan::gateway

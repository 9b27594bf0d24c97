#include "gateway/boottime_clock.hpp"
#include "gateway/control.hpp"
#include "keyed_service.hpp"
#include "scripted_target.hpp"
#include "target_protocol.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yuccaspan::platform {

namespace {

using namespace gateway; // NOLINT(google-build-using-namespace): as in the tests beside it
using std::chrono::milliseconds;

constexpr Duration holdTime = milliseconds(1500);

/// A grant as its target saw it.
struct SeenGrant
{
    KeySpan keys;
    std::uint64_t fence = 0;
    TimePoint at{};
};

/// A target that can start again at its address and leave the next grant unanswered.
class RestartingTarget
{
public:
    RestartingTarget(asio::io_context &loop, const Clock &clock)
        : m_clock(clock),
          m_target(loop,
                   [this](tcp::socket &socket, const HttpRequest &order, int /*connection*/,
                          int /*index*/) { return carryOut(socket, order); })
    { }

    [[nodiscard]] TargetEntry entry(const std::string &id, bool draining = false) const
    {
        TargetEntry entry;
        entry.id = id;
        entry.incarnation = m_incarnation;
        entry.service = "s";
        entry.slots = 4;
        entry.address = m_target.address();
        entry.draining = draining;
        return entry;
    }
    void restart()
    {
        m_target.closeConnections();
        ++m_incarnation;
        grants.clear();
    }
    void withholdNextAnswer() { m_withholds = true; }

    std::vector<SeenGrant> grants; ///< Of this incarnation.
    std::optional<SeenGrant> unanswered;

private:
    asio::awaitable<void> carryOut(tcp::socket &socket, HttpRequest order)
    {
        const auto body = nlohmann::json::parse(order.body());
        const SeenGrant seen{{body.at("from"), body.at("to")}, body.at("fence"), m_clock.now()};
        if (order.target() == "/release") {
            co_await send(socket,
                          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Lease-Handover: h\r\n\r\n");
            co_return;
        }
        if (m_withholds) {
            m_withholds = false;
            unanswered = seen;
            co_return;
        }
        grants.push_back(seen);
        co_await send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }

    const Clock &m_clock;
    std::int64_t m_incarnation = 1;
    bool m_withholds = false;
    ScriptedTarget m_target;
};

/// A log whose lines the test reads.
class KeptLog final : public DecisionLog
{
public:
    explicit KeptLog(std::vector<std::string> &lines) : m_lines(lines) { }
    void write(std::string_view /*part*/, std::string text) noexcept override
    {
        m_lines.push_back(std::move(text));
    }
    [[nodiscard]] bool wantsRouting() const noexcept override { return false; }
    [[nodiscard]] std::uint64_t dropped() const noexcept override { return 0; }
    [[nodiscard]] std::uint64_t written() const noexcept override { return m_lines.size(); }

private:
    std::vector<std::string> &m_lines;
};

/// An instance that places the keys of two targets.
struct TwoTargets
{
    static GatewayOptions shortHolds()
    {
        GatewayOptions options;
        options.name = "a";
        options.maxHold = holdTime;
        return options;
    }
    bool start()
    {
        if (!control.start())
            return false;
        loop.run_for(milliseconds(50));
        put(first, "t2"); // Of two equal targets, the placer prefers the one with the lower id.
        put(second, "t1");
        return runUntil([&] { return first.grants.size() > 2 && second.grants.size() > 2; });
    }
    void put(const RestartingTarget &target, const std::string &id, bool draining = false)
    {
        gateway.directory.put(target.entry(id, draining), clock.now(), clock.now());
    }
    template <class Condition>
    bool runUntil(const Condition &condition)
    {
        for (int step = 0; step < 1000 && !condition(); ++step)
            loop.run_for(milliseconds(10));
        return condition();
    }
    /// Whether a target other than the first got keys of the grant while the first may hold them.
    [[nodiscard]] bool grantedElsewhere(const SeenGrant &unanswered) const
    {
        return std::ranges::any_of(second.grants, [&](const SeenGrant &grant) {
            return grant.keys.first <= unanswered.keys.last
                && unanswered.keys.first <= grant.keys.last && grant.at < unanswered.at + holdTime;
        });
    }

    asio::io_context loop;
    const BoottimeClock clock;
    std::vector<std::string> lines;
    EventLog log{std::make_unique<KeptLog>(lines), clock, "a"};
    HttpTargetProtocol protocol;
    KeyedServiceCodec codec;
    QuietStore store{loop};
    Gateway gateway{loop, clock, log, protocol, store, codec, shortHolds()};
    Control control{gateway, "1"};
    RestartingTarget first{loop, clock};
    RestartingTarget second{loop, clock};
};

/// What the directory learns of the restart, and when.
struct Discovery
{
    Duration delay{}; ///< From the arrival of the grant that gets no answer.
    bool draining = false; ///< Whether the new incarnation is about to shut down.
};

class UnansweredGrants : public ::testing::TestWithParam<Discovery>
{ };

/// Keys were granted elsewhere while an unanswered grant could take effect at an owner whose
/// restart the store had not shown (OWNER, review/8).
TEST_P(UnansweredGrants, blockOtherOwnersAfterARestartBehindACut)
{
    TwoTargets system;
    ASSERT_TRUE(system.start());
    system.first.restart();
    ASSERT_TRUE(system.runUntil([&] { return !system.first.grants.empty(); }));
    const std::uint64_t fence = system.first.grants.back().fence;
    system.first.withholdNextAnswer();
    ASSERT_TRUE(system.runUntil([&] { return system.first.unanswered.has_value(); }));
    system.loop.run_for(GetParam().delay);
    system.put(system.first, "t2", GetParam().draining);
    const RestartingTarget &receiver = GetParam().draining ? system.second : system.first;
    const auto served = [&] {
        return std::ranges::any_of(receiver.grants, [&](const SeenGrant &grant) {
            return grant.fence > fence && grant.keys.contains(system.first.unanswered->keys.first);
        });
    };
    EXPECT_TRUE(system.runUntil(served));
    EXPECT_FALSE(system.grantedElsewhere(*system.first.unanswered));
}

INSTANTIATE_TEST_SUITE_P(Discoveries, UnansweredGrants,
                         ::testing::Values(Discovery{milliseconds(300), false},
                                           Discovery{milliseconds(1000), false},
                                           Discovery{milliseconds(300), true},
                                           Discovery{milliseconds(1000), true}));

/// An entry that a copy of the store brought back would end an owner that started later at its
/// address.
TEST(OwnerAtAReusedAddress, isNotEndedByAnOlderEntry)
{
    TwoTargets system;
    ASSERT_TRUE(system.start());
    TargetEntry older = system.first.entry("x");
    older.incarnation = 0;
    older.service = "other";
    system.gateway.directory.put(older, system.clock.now(), system.clock.now());
    const std::uint64_t fence = system.first.grants.back().fence;
    const std::size_t renewed = system.first.grants.size() + 2;
    ASSERT_TRUE(system.runUntil([&] { return system.first.grants.size() > renewed; }));
    EXPECT_EQ(system.first.grants.back().fence, fence);
}

TEST(UnansweredGrantLine, tellsTheIncarnationsAndTheAgeOfTheConnection)
{
    TwoTargets system;
    ASSERT_TRUE(system.start());
    system.first.restart();
    ASSERT_TRUE(system.runUntil([&] { return !system.first.grants.empty(); }));
    system.first.withholdNextAnswer();
    ASSERT_TRUE(system.runUntil([&] { return system.first.unanswered.has_value(); }));
    system.put(system.first, "t2");
    const auto isUnanswered = [](const std::string &line) {
        return line.find(R"("outcome":"no-answer")") != std::string::npos;
    };
    ASSERT_TRUE(system.runUntil([&] { return std::ranges::any_of(system.lines, isUnanswered); }));
    const auto line = nlohmann::json::parse(*std::ranges::find_if(system.lines, isUnanswered));
    EXPECT_EQ(line.at("target"), "t2");
    EXPECT_EQ(line.at("incarnation"), 1);
    EXPECT_EQ(line.at("listedIncarnation"), 2);
    EXPECT_EQ(line.at("earlierAnswers"), 1);
    EXPECT_GT(line.at("connectionMs"), 0);
}

} // namespace

} // namespace yuccaspan::platform

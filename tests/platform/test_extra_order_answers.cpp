#include "gateway/boottime_clock.hpp"
#include "gateway/control.hpp"
#include "keyed_service.hpp"
#include "scripted_target.hpp"
#include "target_protocol.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace yuccaspan::platform {

namespace {

using namespace gateway; // NOLINT(google-build-using-namespace): as in the tests beside it
using std::chrono::milliseconds;

/// Which answers a target sends a second time.
enum class Repeats {
    ToGrants, ///< Late: right before it carries out the next order on that connection.
    ToReleases, ///< In the same way.
    GrantsElsewhere, ///< Those to grants, before it carries out a release on any connection.
};

/// Keys that targets are asked to release and still work on.
struct KeysAtWork
{
    struct Span
    {
        int from = 0;
        int to = 0;
    };

    std::vector<Span> spans;
    int released = 0; ///< Releases whose work has ended.
    int grantedEarly = 0; ///< Grants of such keys to a target.

    void granted(const Span &keys)
    {
        grantedEarly += static_cast<int>(std::ranges::count_if(
            spans, [&](const Span &span) { return span.from <= keys.to && keys.from <= span.to; }));
    }
    void ended(const Span &keys)
    {
        ++released;
        std::erase_if(spans, [&](const Span &span) { return span.from == keys.from; });
    }
};

/// A target that sends some answers to orders twice.
class RepeatingTarget
{
public:
    /// Work that is in progress on its keys when a release arrives.
    static constexpr Duration workInProgress = milliseconds(300);

    RepeatingTarget(asio::io_context &loop, Repeats repeats, KeysAtWork &atWork)
        : m_repeats(repeats),
          m_atWork(atWork),
          m_target(loop,
                   [this](tcp::socket &socket, const HttpRequest &order, int connection,
                          int /*index*/) { return carryOut(socket, order, connection); })
    { }

    [[nodiscard]] TargetEntry entry(const std::string &id, bool draining) const
    {
        TargetEntry entry;
        entry.id = id;
        entry.incarnation = 1;
        entry.service = "s";
        entry.slots = 4;
        entry.address = m_target.address();
        entry.draining = draining;
        return entry;
    }
    [[nodiscard]] int grants() const noexcept { return m_grants; }

private:
    asio::awaitable<void> carryOut(tcp::socket &socket, HttpRequest order, int connection)
    {
        const bool grant = order.target() == "/grant";
        const auto body = nlohmann::json::parse(order.body());
        const KeysAtWork::Span keys{body.at("from"), body.at("to")};
        if (!grant)
            m_atWork.spans.push_back(keys);
        const bool anyConnection = m_repeats == Repeats::GrantsElsewhere;
        const auto owed = m_owed.find(anyConnection ? 0 : connection);
        if (owed != m_owed.end() && (!grant || !anyConnection))
            co_await send(socket, std::exchange(owed->second, {}));
        std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
        if (grant) {
            ++m_grants;
            m_atWork.granted(keys);
        } else {
            co_await pause(socket, workInProgress);
            m_atWork.ended(keys);
            text += "X-Lease-Handover: h\r\n";
        }
        text += "\r\n";
        if (grant != (m_repeats == Repeats::ToReleases))
            m_owed[anyConnection ? 0 : connection] = text;
        co_await send(socket, text);
    }

    Repeats m_repeats;
    KeysAtWork &m_atWork;
    int m_grants = 0;
    std::map<int, std::string> m_owed; ///< Copies to send, by connection.
    ScriptedTarget m_target;
};

class ExtraOrderAnswers : public ::testing::TestWithParam<Repeats>
{ };

/// A second copy of an answer was taken for the answer to the release that followed it on the
/// connection, and the keys were granted elsewhere while their owner was at work on them (OWNER,
/// review/2). Some keys of the first target
/// move to the second one, and all others when the first one leaves.
TEST_P(ExtraOrderAnswers, doNotPassForTheAnswerToARelease)
{
    asio::io_context loop;
    const BoottimeClock clock;
    EventLog log(std::make_unique<SilentLog>(), clock, "a");
    HttpTargetProtocol protocol;
    KeyedServiceCodec codec;
    QuietStore store(loop);
    GatewayOptions options;
    options.name = "a";
    Gateway gateway(loop, clock, log, protocol, store, codec, options);
    Control control(gateway, "1");
    KeysAtWork atWork;
    RepeatingTarget first(loop, GetParam(), atWork);
    RepeatingTarget second(loop, GetParam(), atWork);
    ASSERT_TRUE(control.start());
    const auto runUntil = [&loop](const auto &condition) {
        for (int step = 0; step < 1000 && !condition(); ++step)
            loop.run_for(milliseconds(10));
        return condition();
    };
    const auto put = [&](const RepeatingTarget &target, const std::string &id, bool draining) {
        gateway.directory.put(target.entry(id, draining), clock.now(), clock.now());
    };
    loop.run_for(milliseconds(50));
    put(first, "t1", false);
    ASSERT_TRUE(runUntil([&] { return first.grants() > 2; }));
    put(second, "t2", false);
    ASSERT_TRUE(runUntil([&] { return second.grants() > 0 && atWork.spans.empty(); }));
    const int moved = atWork.released;
    EXPECT_GT(moved, 0);
    put(first, "t1", true);
    ASSERT_TRUE(runUntil([&] { return atWork.released > moved && atWork.spans.empty(); }));
    EXPECT_EQ(atWork.grantedEarly, 0);
}

INSTANTIATE_TEST_SUITE_P(Copies, ExtraOrderAnswers,
                         ::testing::Values(Repeats::ToGrants, Repeats::ToReleases,
                                           Repeats::GrantsElsewhere));

} // namespace

} // namespace yuccaspan::platform

#include "edge/scripted_target.hpp"

#include "http/edge.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace yuccaspan::impl {
namespace {

namespace http = boost::beast::http;

/// A log that discards all lines.
class NoLog final : public DecisionLog
{
public:
    void write(std::string_view, std::string) noexcept override { }
    [[nodiscard]] bool wantsRouting() const noexcept override { return false; }
    [[nodiscard]] std::uint64_t dropped() const noexcept override { return 0; }
    [[nodiscard]] std::uint64_t written() const noexcept override { return 0; }
};

TestResponse okAnswer(const TestRequest &request)
{
    TestResponse answer(http::status::ok, 11);
    answer.set("Yuccaspan-Request-Id", request["Yuccaspan-Request-Id"]);
    answer.set("Yuccaspan-Start-Id", "s1");
    answer.body() = "ran " + std::string(request["X-Key"]);
    return answer;
}

TestResponse refusal(const char *why)
{
    TestResponse answer(http::status::service_unavailable, 11);
    answer.set("Yuccaspan-Refused", why);
    answer.set("Yuccaspan-Start-Id", "s1");
    return answer;
}

/// The data path in front of one scripted target that owns all keys.
class EdgeTest : public ::testing::Test
{
protected:
    void open(ScriptedTarget::Script script, bool checksGrants = true)
    {
        m_target = std::make_unique<ScriptedTarget>(std::move(script));
        auto settings = std::make_shared<Settings>();
        settings->version = {1};
        settings->zones = {{ZoneId("a"), RegionId("r"), false, false}};
        settings->services = {makeService(checksGrants)};
        m_shared.settings.publish(settings);
        m_shared.targets.apply(*settings, 1);
        publishRoute(RouteState::Open, std::chrono::hours(1));
        EdgeOptions options;
        options.workers = 2;
        options.instanceId = "e#1";
        auto edge = makeEdge(options, m_shared);
        ASSERT_TRUE(edge.hasValue());
        m_edge = std::move(*edge);
    }

    ServiceSettings makeService(bool checksGrants) const
    {
        ServiceSettings service;
        service.name = ServiceName("s");
        service.pathPrefix = "/s";
        service.requestLimitBytes = 1000;
        service.repeatBudget = 1;
        RequestRule order;
        order.kind = "order";
        order.method = "POST";
        order.keyName = "X-Key";
        order.deadline = std::chrono::milliseconds(400);
        RequestRule lookup = order;
        lookup.kind = "lookup";
        lookup.method = "GET";
        lookup.repeatable = true;
        service.rules = {order, lookup};
        TargetSettings target;
        target.id = TargetId("t");
        target.zone = ZoneId("a");
        target.address = "127.0.0.1";
        target.port = m_target->port();
        target.slots = 4;
        target.checksGrants = checksGrants;
        service.targets = {target};
        return service;
    }

    void publishRoute(RouteState state, Duration viewLease)
    {
        auto cell = std::make_shared<CellRoutes>();
        cell->cell = {ServiceName("s"), ZoneId("a"), 0};
        cell->viewLeaseEnd = m_clock.now() + viewLease;
        cell->routes = {{KeyRange(), TargetId("t"), {5}, state}};
        m_shared.routes.publish(RouteTable().with(cell));
        if (m_edge != nullptr)
            m_edge->routesChanged();
    }

    TestResponse send(http::verb method, const std::string &body = {},
                      const std::string &path = "/s/x", const std::string &key = "k")
    {
        boost::asio::io_context loop;
        boost::asio::ip::tcp::socket socket(loop);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), m_edge->port()});
        TestRequest request(method, path, 11);
        if (!key.empty())
            request.set("X-Key", key);
        request.body() = body;
        request.prepare_payload();
        http::write(socket, request);
        boost::beast::flat_buffer buffer;
        TestResponse response;
        http::read(socket, buffer, response);
        return response;
    }

    static std::string verdict(const TestResponse &response)
    {
        return std::string(response["Yuccaspan-Outcome"]) + " "
            + std::string(response["Yuccaspan-Reason"]);
    }

    SystemClock m_clock;
    NoLog m_log;
    EdgeShared m_shared{m_clock, m_log};
    std::unique_ptr<ScriptedTarget> m_target;
    std::unique_ptr<Edge> m_edge;
};

TEST_F(EdgeTest, forwardsARequestAndItsAnswer)
{
    open([](const TestRequest &request) {
        EXPECT_EQ(request["Yuccaspan-Token"], "5");
        EXPECT_EQ(request["Yuccaspan-Service"], "s");
        EXPECT_FALSE(request["Yuccaspan-Request-Id"].empty());
        return okAnswer(request);
    });
    const TestResponse response = send(http::verb::post, "body");
    EXPECT_EQ(response.result(), http::status::ok);
    EXPECT_EQ(response.body(), "ran k");
    EXPECT_EQ(verdict(response), "done answered");
    EXPECT_EQ(m_shared.inFlight.total(), 0U);
}

TEST_F(EdgeTest, neverRepeatsAnOrderWhoseOutcomeIsUnknown)
{
    open([](const TestRequest &) { return std::nullopt; });
    const TestResponse response = send(http::verb::post);
    EXPECT_EQ(verdict(response), "unknown connection-lost");
    EXPECT_EQ(response.result(), http::status::gateway_timeout);
    EXPECT_EQ(m_target->seen(), 1);
}

TEST_F(EdgeTest, repeatsALookupWhoseOutcomeIsUnknown)
{
    std::atomic<int> calls{0};
    open([&](const TestRequest &request) -> std::optional<TestResponse> {
        if (++calls == 1)
            return std::nullopt;
        return okAnswer(request);
    });
    EXPECT_EQ(verdict(send(http::verb::get)), "done answered");
    EXPECT_EQ(m_target->seen(), 2);
}

TEST_F(EdgeTest, retriesARefusedOrderBecauseItDidNotRun)
{
    std::atomic<int> calls{0};
    open([&](const TestRequest &request) -> std::optional<TestResponse> {
        return ++calls == 1 ? refusal("no-grant") : okAnswer(request);
    });
    EXPECT_EQ(verdict(send(http::verb::post)), "done answered");
}

TEST_F(EdgeTest, neverReportsNotRunAfterAnAttemptThatMayHaveRun)
{
    std::atomic<int> calls{0};
    open([&](const TestRequest &) -> std::optional<TestResponse> {
        if (++calls == 1)
            return std::nullopt;
        return refusal("shed");
    });
    EXPECT_EQ(verdict(send(http::verb::get)), "unknown connection-lost");
    EXPECT_EQ(m_target->seen(), 2);
}

TEST_F(EdgeTest, neverForwardsTheAnswerToAnotherRequest)
{
    open([](const TestRequest &request) {
        TestResponse answer = okAnswer(request);
        answer.set("Yuccaspan-Request-Id", "another");
        return answer;
    });
    EXPECT_EQ(verdict(send(http::verb::post)), "unknown bad-answer");
}

TEST_F(EdgeTest, answersNotRunIfNoRouteOpensBeforeTheDeadline)
{
    open([](const TestRequest &request) { return okAnswer(request); });
    publishRoute(RouteState::Held, std::chrono::hours(1));
    EXPECT_EQ(verdict(send(http::verb::post)), "not-run moving-too-long");
    publishRoute(RouteState::Unowned, std::chrono::hours(1));
    EXPECT_EQ(verdict(send(http::verb::post)), "not-run no-owner");
    EXPECT_EQ(m_target->seen(), 0);
}

TEST_F(EdgeTest, holdsARequestUntilItsSliceIsOpenAgain)
{
    open([](const TestRequest &request) { return okAnswer(request); });
    publishRoute(RouteState::Held, std::chrono::hours(1));
    std::string seen;
    std::thread caller([&] { seen = verdict(send(http::verb::post)); });
    while (m_shared.active == 0)
        std::this_thread::yield();
    EXPECT_EQ(m_target->seen(), 0);
    publishRoute(RouteState::Open, std::chrono::hours(1));
    caller.join();
    EXPECT_EQ(seen, "done answered");
}

TEST_F(EdgeTest, requiresAViewLeaseForTargetsThatDoNotCheckGrants)
{
    open([](const TestRequest &request) { return okAnswer(request); }, false);
    EXPECT_EQ(verdict(send(http::verb::post)), "done answered");
    publishRoute(RouteState::Open, Duration(-1));
    EXPECT_EQ(verdict(send(http::verb::post)), "not-run no-view-lease");
    EXPECT_EQ(m_target->seen(), 1);
}

TEST_F(EdgeTest, rejectsInvalidRequestsWithAReason)
{
    open([](const TestRequest &request) { return okAnswer(request); });
    const TestResponse tooLarge = send(http::verb::post, std::string(2000, 'x'));
    EXPECT_EQ(tooLarge.result(), http::status::payload_too_large);
    EXPECT_EQ(verdict(tooLarge), "not-run too-large");
    EXPECT_EQ(verdict(send(http::verb::post, "", "/none")), "not-run no-rule");
    EXPECT_EQ(verdict(send(http::verb::post, "", "/s/x", "")), "not-run key-missing");
    EXPECT_EQ(m_target->seen(), 0);
}

} // namespace
} // namespace yuccaspan::impl

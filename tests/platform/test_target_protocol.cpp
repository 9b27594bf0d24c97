#include "node_settings.hpp"
#include "target_protocol.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace yuccaspan::platform {

namespace {

using gateway::HttpRequest;
using gateway::HttpResponse;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace http = gateway::http;

TEST(TargetProtocol, readsRequestHeadersOfCallers)
{
    HttpRequest request;
    request.set("X-Request-Id", "abc");
    request.set("X-Deadline-Ms", "2000");
    request.set("X-Shard-Key", "65535");
    const auto facts = HttpTargetProtocol().readCaller(request);
    EXPECT_EQ(facts.requestId, "abc");
    EXPECT_EQ(facts.deadline, seconds(2));
    EXPECT_EQ(facts.key, 65535U);
    request.set("X-Shard-Key", "65536");
    request.set("X-Deadline-Ms", "soon");
    EXPECT_FALSE(HttpTargetProtocol().readCaller(request).key);
    EXPECT_FALSE(HttpTargetProtocol().readCaller(request).deadline);
}

TEST(TargetProtocol, setsRequestHeadersForATarget)
{
    HttpRequest request;
    request.set("X-Deadline-Ms", "2000");
    HttpTargetProtocol().address(request, milliseconds(1234), "t1");
    EXPECT_EQ(request["X-Deadline-Ms"], "1234");
    EXPECT_EQ(request["X-Expected-Instance"], "t1");
}

TEST(TargetProtocol, readsTheKeyOfAWorkspace)
{
    const auto credentialIn = [](const char *field) {
        HttpRequest request;
        request.set("Authorization", field);
        return HttpTargetProtocol().readCaller(request).credential;
    };
    EXPECT_EQ(credentialIn("Bearer k1"), "k1");
    EXPECT_EQ(credentialIn("bearer  k1 "), "k1");
    EXPECT_EQ(credentialIn("Basic k1"), "");
    EXPECT_EQ(credentialIn("Bearer"), "");
    EXPECT_EQ(HttpTargetProtocol().readCaller(HttpRequest()).credential, "");
}

/// Targets got the keys of callers, and the names of workspaces that callers had made up.
TEST(TargetProtocol, replacesTheKeyByTheWorkspace)
{
    HttpRequest request;
    request.set("Authorization", "Bearer k1");
    request.insert("X-Tenant-Id", "forged");
    request.insert("x-tenant-id", "forged too");
    HttpTargetProtocol().identify(request, "w");
    EXPECT_EQ(request.count("X-Tenant-Id"), 1U);
    EXPECT_EQ(request["X-Tenant-Id"], "w");
    EXPECT_EQ(request.count("Authorization"), 0U);
    HttpTargetProtocol().identify(request, {});
    EXPECT_EQ(request.count("X-Tenant-Id"), 0U);
}

TEST(TargetProtocol, readsResponseHeadersOfTargets)
{
    HttpResponse response(http::status::service_unavailable, 11);
    response.set("X-Request-Id", "abc");
    response.set("X-Not-Executed", "1");
    response.set("X-Server-Load", "3,0,8,130");
    auto facts = HttpTargetProtocol().readAnswer(response);
    EXPECT_TRUE(facts.notExecuted);
    EXPECT_FALSE(facts.signedByTarget);
    ASSERT_TRUE(facts.load);
    EXPECT_EQ(facts.load->running, 3U);
    EXPECT_EQ(facts.load->slots, 8U);
    EXPECT_DOUBLE_EQ(facts.load->slowness, 1.3);
    response.set("X-Server-Load", "3,0");
    EXPECT_FALSE(HttpTargetProtocol().readAnswer(response).load);
    response.set("X-Server-Load", "3,-1,8");
    EXPECT_FALSE(HttpTargetProtocol().readAnswer(response).load);
}

HttpResponse answerWith(const std::string &name, std::initializer_list<const char *> values)
{
    HttpResponse answer(http::status::ok, gateway::httpVersion11);
    for (const char *value : values)
        answer.insert(name, value);
    return answer;
}

TEST(TargetProtocol, readsTheRateThatATargetNames)
{
    const auto read = [](std::initializer_list<const char *> values) {
        return HttpTargetProtocol().readAnswer(answerWith("Server-Limit", values)).signals;
    };
    EXPECT_EQ(read({"4.9"}).maxPerSecond, 4.9);
    EXPECT_EQ(read({"0"}).maxPerSecond, 0.0);
    EXPECT_EQ(read({"12"}).maxPerSecond, 12.0);
    EXPECT_FALSE(read({}).maxPerSecond);
    EXPECT_FALSE(read({}).unreadable);
}

TEST(TargetProtocol, readsThatATargetLeaves)
{
    const auto read = [](std::initializer_list<const char *> values) {
        return HttpTargetProtocol().readAnswer(answerWith("Server-Leaving", values)).signals;
    };
    EXPECT_TRUE(read({"1"}).leaving);
    EXPECT_FALSE(read({}).leaving);
    EXPECT_FALSE(read({"0"}).leaving);
    for (const char *value : {"", "yes", "-1", "2"}) {
        EXPECT_FALSE(read({value}).leaving) << value;
        EXPECT_TRUE(read({value}).unreadable) << value;
    }
    EXPECT_TRUE(read({"1", "1"}).unreadable);
}

TEST(TargetProtocol, readsThePauseThatATargetAsksForWithARejection)
{
    const auto read = [](const char *value, http::status status) {
        HttpResponse answer = answerWith("Retry-After", {value});
        answer.result(status);
        return HttpTargetProtocol().readAnswer(answer).signals;
    };
    EXPECT_EQ(read("1.5", http::status::service_unavailable).pause, milliseconds(1500));
    EXPECT_EQ(read("100000", http::status::service_unavailable).pause, seconds(600));
    EXPECT_FALSE(read("1.5", http::status::ok).pause);
    for (const char *value : {"-1", "soon", "Fri, 04 Dec 2026 08:00:00 GMT", "1e9"}) {
        EXPECT_FALSE(read(value, http::status::service_unavailable).pause) << value;
        EXPECT_TRUE(read(value, http::status::service_unavailable).unreadable) << value;
    }
}

TEST(TargetProtocol, ignoresARateThatIsUnreadable)
{
    for (const char *value : {"", "-1", "1e3", "nan", "inf", "4 9", "4,9", "1x", "99999999999"}) {
        const auto signals =
            HttpTargetProtocol().readAnswer(answerWith("Server-Limit", {value})).signals;
        EXPECT_FALSE(signals.maxPerSecond) << value;
        EXPECT_TRUE(signals.unreadable) << value;
    }
    const auto twice =
        HttpTargetProtocol().readAnswer(answerWith("Server-Limit", {"3", "5"})).signals;
    EXPECT_FALSE(twice.maxPerSecond);
    EXPECT_TRUE(twice.unreadable);
}

TEST(TargetProtocol, ordersCarryTokenAndHandover)
{
    gateway::ShardOrder order;
    order.keys = {4096, 8191};
    order.holder = {"t1", 5, 12};
    order.address = "10.0.0.9:8080";
    order.hold = seconds(4);
    order.handover = "5c0e";
    const HttpRequest grant = HttpTargetProtocol().order(order);
    EXPECT_EQ(grant.target(), "/grant");
    EXPECT_EQ(grant["X-Expected-Instance"], "t1");
    EXPECT_EQ(
        nlohmann::json::parse(grant.body()),
        (nlohmann::json{
            {"from", 4096}, {"to", 8191}, {"fence", 12}, {"hold_s", 4.0}, {"handover", "5c0e"}}));
    order.kind = gateway::OrderKind::Release;
    const HttpRequest release = HttpTargetProtocol().order(order);
    EXPECT_EQ(release.target(), "/release");
    EXPECT_EQ(nlohmann::json::parse(release.body()),
              (nlohmann::json{{"from", 4096}, {"to", 8191}, {"fence", 12}}));
}

constexpr const char *settingsText = R"({"name": "a", "zone": "z", "callers": "10.0.0.1:80",
    "readiness": "10.0.0.1:81", "peers": "10.0.0.1:82", "store": "10.0.0.2:83",
    "drainWithinS": 2.5, "unknown": 1})";

TEST(NodeSettings, areParsed)
{
    const auto settings = readNodeSettings(settingsText);
    ASSERT_TRUE(settings) << settings.error();
    EXPECT_EQ(settings->gateway.drainWithin, milliseconds(2500));
    EXPECT_EQ(settings->storeAddress, "10.0.0.2:83");
}

TEST(NodeSettings, followTheStoreUnlessTheyAskForPeersNews)
{
    auto root = nlohmann::json::parse(settingsText);
    EXPECT_EQ(readNodeSettings(root.dump())->gateway.newsFromInstances, 0U);
    root["newsFromInstances"] = 30;
    EXPECT_EQ(readNodeSettings(root.dump())->gateway.newsFromInstances, 30U);
}

TEST(NodeSettings, pipelinesOnlyUnderItsContract)
{
    auto root = nlohmann::json::parse(settingsText);
    root["pipelineDepth"] = 8;
    EXPECT_EQ(readNodeSettings(root.dump())->gateway.pipelineDepth, 1U);
    root["contracts"] = {"base", "pressure"};
    EXPECT_EQ(readNodeSettings(root.dump())->gateway.pipelineDepth, 8U);
    EXPECT_TRUE(readNodeSettings(root.dump())->gateway.competingCallers);
    root["pipelineDepth"] = 0;
    EXPECT_EQ(readNodeSettings(root.dump()).error().place.pointer, "/pipelineDepth");
}

TEST(NodeSettings, orderWaitingRequestsAsSet)
{
    auto root = nlohmann::json::parse(settingsText);
    root["waitingOrder"] = "least-cost";
    EXPECT_EQ(readNodeSettings(root.dump())->gateway.waitingOrder, gateway::WaitingOrder::Urgency);
    root["contracts"] = {"pressure"};
    EXPECT_EQ(readNodeSettings(root.dump())->gateway.waitingOrder,
              gateway::WaitingOrder::LeastCost);
    root["waitingOrder"] = "random";
    EXPECT_EQ(readNodeSettings(root.dump()).error().place.pointer, "/waitingOrder");
}

TEST(NodeSettings, areValidated)
{
    auto root = nlohmann::json::parse(settingsText);
    for (const char *field : {"name", "zone", "callers", "readiness", "peers", "store"}) {
        auto damaged = root;
        damaged.erase(field);
        EXPECT_FALSE(readNodeSettings(damaged.dump())) << field;
    }
    root["store"] = "10.0.0.2";
    EXPECT_EQ(readNodeSettings(root.dump()).error().place.pointer, "/store");
    EXPECT_FALSE(readNodeSettings("{"));
}

} // namespace

} // namespace yuccaspan::platform

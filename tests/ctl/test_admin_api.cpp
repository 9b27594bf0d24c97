#include "fake_admin_source.hpp"

#include "admin/admin_routes.hpp"
#include "store/http_connection.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <fstream>
#include <set>

namespace yuccaspan {
namespace {

using nlohmann::json;

class AdminApi : public testing::Test
{
protected:
    void SetUp() override
    {
        Result<std::unique_ptr<AdminServer>> started = makeAdminServer({}, source);
        ASSERT_TRUE(started) << started.error();
        server = std::move(*started);
    }

    impl::HttpAnswer call(const std::string &method, const std::string &target,
                          std::string body = {}) const
    {
        impl::HttpCall request{method, target, {}, std::move(body), std::chrono::seconds(5)};
        const impl::HttpResult result =
            impl::callOnce({"127.0.0.1", server->port()}, std::move(request));
        const auto *answer = std::get_if<impl::HttpAnswer>(&result);
        EXPECT_NE(answer, nullptr) << method << ' ' << target;
        return answer == nullptr ? impl::HttpAnswer{} : *answer;
    }

    json get(const std::string &target) const { return json::parse(call("GET", target).body); }

    FakeAdminSource source;
    std::unique_ptr<AdminServer> server;
};

TEST_F(AdminApi, ServesInstanceState)
{
    EXPECT_EQ(get("/v1/status")["instance"], "entry-1#1");
    EXPECT_EQ(get("/v1/status")["settingsVersion"], 7);
    EXPECT_EQ(get("/v1/services")["services"]["stock"]["pathPrefix"], "/stock");
    EXPECT_EQ(get("/v1/zones")["zones"]["a"]["out"], false);
    const json targets = get("/v1/targets")["targets"];
    EXPECT_EQ(targets["t1"]["seen"]["allowance"], 2.5);
    EXPECT_EQ(targets["t1"]["mayReceiveWork"], true);
    EXPECT_EQ(targets["t2"]["mayReceiveWork"], false);
    EXPECT_EQ(get("/v1/assignment")["cells"][0]["slices"][0]["last"], "0000000000000063");
    const json moves = get("/v1/moves")["moves"];
    ASSERT_EQ(moves.size(), 1U);
    EXPECT_EQ(moves[0]["nextOwner"], "t2");
    EXPECT_EQ(call("GET", "/metrics").body, "yuccaspan_up 1\n");
    EXPECT_EQ(call("GET", "/healthz").status, 200U);
    EXPECT_EQ(call("GET", "/readyz").status, 503U);
    EXPECT_EQ(call("GET", "/readyz").body, "no routes yet\n");
}

TEST_F(AdminApi, ExplainsKey)
{
    const json explained = get("/v1/explain?service=stock&key=a%20b%2Fc");
    EXPECT_EQ(explained["key"], "a b/c");
    EXPECT_EQ(explained["owner"], "t1");
    EXPECT_EQ(call("GET", "/v1/explain?service=other&key=x").status, 404U);
    EXPECT_EQ(call("GET", "/v1/explain?service=stock").status, 400U);
}

TEST_F(AdminApi, ForwardsMoveOrders)
{
    const json order{{"service", "stock"}, {"to", "t2"}, {"key", "depot-1"}};
    EXPECT_EQ(call("POST", "/v1/moves", order.dump()).status, 202U);
    EXPECT_EQ(source.lastOrder.hash, hashKey("depot-1"));
    EXPECT_EQ(call("POST", "/v1/moves", R"({"service":"stock","to":"t1","hash":"ff"})").status,
              409U);
    EXPECT_EQ(call("POST", "/v1/moves", R"({"service":"stock","to":"t1"})").status, 400U);
    EXPECT_EQ(call("POST", "/v1/moves", "{").status, 400U);
}

TEST_F(AdminApi, RejectsUnknownPathsAndMethods)
{
    EXPECT_EQ(call("GET", "/v1/unknown").status, 404U);
    EXPECT_EQ(call("POST", "/v1/status").status, 405U);
    EXPECT_EQ(call("POST", "/v1/moves", std::string(65537, 'x')).status, 413U);
}

TEST_F(AdminApi, AnswersWithoutSettings)
{
    source.current = nullptr;
    EXPECT_EQ(call("GET", "/v1/services").status, 503U);
    EXPECT_EQ(call("GET", "/v1/explain?service=stock&key=x").status, 503U);
    EXPECT_EQ(call("GET", "/v1/status").status, 200U);
}

TEST(OpenApi, DescribesExactlyTheEndpoints)
{
    std::ifstream file("docs/openapi.json");
    ASSERT_TRUE(file) << "run from the project's root";
    const json document = json::parse(file);
    std::set<std::string> described;
    for (const auto &[path, operations] : document["paths"].items()) {
        for (const auto &[method, operation] : operations.items())
            described.insert(method + ' ' + path);
    }
    std::set<std::string> served;
    for (const impl::AdminEndpoint &endpoint : impl::adminEndpoints()) {
        std::string method(endpoint.method);
        std::ranges::transform(method, method.begin(), [](char c) { return std::tolower(c); });
        served.insert(method + ' ' + std::string(endpoint.path));
    }
    EXPECT_EQ(described, served);
}

TEST_F(AdminApi, AnswersHaveTheDescribedMembers)
{
    const json document = json::parse(std::ifstream("docs/openapi.json"));
    for (const auto &[path, operations] : document["paths"].items()) {
        const json media = operations["get"]["responses"]["200"]["content"];
        if (!media.contains("application/json"))
            continue;
        const std::string name = media["application/json"]["schema"]["$ref"].get<std::string>();
        const json &schema = document.at(json::json_pointer(name.substr(1)));
        const json answer = get(path + "?service=stock&key=k");
        for (const json &member : schema["required"])
            EXPECT_TRUE(answer.contains(member.get<std::string>())) << path << ' ' << member;
        for (const auto &[member, value] : answer.items())
            EXPECT_TRUE(schema["properties"].contains(member)) << path << ' ' << member;
    }
}

RC_GTEST_PROP(AdminRoutes, AnswersAnyTargetAndBody,
              (const std::string &target, const std::string &body))
{
    FakeAdminSource source;
    const std::string prefix = *rc::gen::element<std::string>("", "/v1/explain?", "/v1/moves");
    const auto answer = impl::answerAdmin(source, {"POST", prefix + target, body});
    RC_ASSERT(answer.status >= 200U && answer.status < 500U);
    const auto read = impl::answerAdmin(source, {"GET", prefix + target, body});
    RC_ASSERT(read.status == 200U || read.status == 400U || read.status == 404U);
}

} // namespace
} // namespace yuccaspan

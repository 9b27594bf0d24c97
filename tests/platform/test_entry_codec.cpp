#include "entry_codec.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace yuccaspan::platform {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

gateway::StoredObject object(const json &body)
{
    gateway::StoredObject out;
    out.name = "t1";
    out.body = std::make_shared<const json>(body);
    return out;
}

json targetEntry()
{
    return {{"address", "10.0.0.9:8080"},
            {"born", 1784521111000},
            {"info", {{"service", "s"}, {"version", "v1"}, {"zone", "a"}, {"max_concurrency", 6}}},
            {"status", {{"state", "ready"}, {"sequence", 4}, {"warmup_left_s", 1.5}}}};
}

TEST(EntryCodec, readsATarget)
{
    const EntryCodec codec;
    for (const json &body : {targetEntry(), json{{"spec", targetEntry()}}}) {
        const auto entry = codec.target(object(body));
        ASSERT_TRUE(entry) << entry.error();
        EXPECT_EQ(entry->id, "t1");
        EXPECT_EQ(entry->service, "s");
        EXPECT_EQ(entry->zone, "a");
        EXPECT_EQ(entry->slots, 6U);
        EXPECT_EQ(entry->incarnation, 1784521111000);
        EXPECT_EQ(entry->warmupLeft, milliseconds(1500));
        EXPECT_FALSE(entry->draining);
    }
}

/// Entries of other writers are rejected with an error and do not stop the gateway.
TEST(EntryCodec, rejectsForeignAndInvalidEntries)
{
    const EntryCodec codec;
    std::vector<json> damaged;
    for (const char *field : {"/address", "/born", "/info", "/info/service", "/info/zone",
                              "/info/max_concurrency", "/status/state", "/status/sequence"}) {
        json missing = targetEntry();
        const json::json_pointer pointer(field);
        missing.at(pointer.parent_pointer()).erase(pointer.back());
        damaged.push_back(missing);
        json otherType = targetEntry();
        otherType[pointer] = json::array({1});
        damaged.push_back(otherType);
    }
    json state = targetEntry();
    state["status"]["state"] = "asleep";
    damaged.push_back(state);
    json address = targetEntry();
    address["address"] = "10.0.0.9";
    damaged.push_back(address);
    damaged.push_back(json("text"));
    damaged.push_back(json(nullptr));
    for (const json &body : damaged)
        EXPECT_FALSE(codec.target(object(body))) << body;
}

/// Guards against an entry whose numbers overflow: it would count as cold for ever, or as a target
/// with billions of slots.
TEST(EntryCodec, rejectsNumbersOutOfRange)
{
    const EntryCodec codec;
    const auto rejects = [&codec](const char *field, const json &value) {
        json entry = targetEntry();
        entry[json::json_pointer(field)] = value;
        EXPECT_FALSE(codec.target(object(entry))) << field << ' ' << value;
    };
    for (const json &value : {json(-1), json(0), json(1e300), json(4294967298), json(2.5)})
        rejects("/info/max_concurrency", value);
    for (const json &value : {json(-1), json(1e300), json(18446744073709551615U), json(2.5)}) {
        rejects("/born", value);
        rejects("/status/sequence", value);
    }
    for (const json &value : {json(-1), json(1e300), json("1")})
        rejects("/status/warmup_left_s", value);
    for (const char *address : {"10.0.0.9:70000", "10.0.0.9:99999999999", "10.0.0.9:-1",
                                "10.0.0.9:0", "10.0.0.9:", ":80", "10.0.0.999:80"})
        rejects("/address", address);
}

json desiredState()
{
    return {{"spec",
             {{"version", "0000000c"},
              {"routes",
               {{{"name", "r1"},
                 {"host", "h"},
                 {"path_prefix", "/a/"},
                 {"route_type", "idempotent"},
                 {"timeout_s", 1.2},
                 {"target_latency_s", 0.5},
                 {"priority", 2},
                 {"max_attempts", 2},
                 {"backends",
                  {{{"service", "s"}, {"weight", 90}}, {{"service", "u"}, {"weight", 10}}}}},
                {{"name", "r2"},
                 {"host", "h"},
                 {"path_prefix", "/b/"},
                 {"route_type", "non_idempotent"},
                 {"timeout_s", 1},
                 {"service", "s"}}}},
              {"services",
               {{{"name", "s"},
                 {"max_connections", 110},
                 {"warmup_s", 3.0},
                 {"warmup_per_s", 11.0},
                 {"sharded", true}},
                {{"name", "u"}}}},
              {"limits", {{"max_header_bytes", 1000}, {"idle_timeout_s", 15}}}}}};
}

TEST(EntryCodec, readsADesiredState)
{
    const auto state = EntryCodec().desiredState(object(desiredState()));
    ASSERT_TRUE(state) << state.error();
    EXPECT_EQ(state->version, 12U);
    ASSERT_EQ(state->routes.size(), 2U);
    EXPECT_TRUE(state->routes[0].idempotent);
    EXPECT_EQ(state->routes[0].timeout, milliseconds(1200));
    EXPECT_EQ(state->routes[0].services.size(), 2U);
    EXPECT_EQ(state->routes[0].services[0].weight, 90U);
    EXPECT_FALSE(state->routes[1].idempotent);
    EXPECT_EQ(state->routes[1].maxAttempts, 1U);
    EXPECT_TRUE(state->findService("s")->keyed);
    EXPECT_FALSE(state->findService("u")->keyed);
    EXPECT_EQ(state->limits.headerBytes, 1000U);
    EXPECT_EQ(state->limits.idleTimeout, seconds(15));
}

TEST(EntryCodec, readsWorkspaces)
{
    json body = desiredState();
    EXPECT_TRUE(EntryCodec().desiredState(object(body))->workspaces.empty());
    body["spec"]["routes"][1]["anonymous"] = true;
    body["spec"]["tenants"] = {{{"name", "w"},
                                {"api_keys", {"k1", "k2"}},
                                {"priority", 1},
                                {"rate_per_s", 335},
                                {"burst", 20}},
                               {{"name", "v"}, {"api_keys", json::array()}}};
    const auto state = EntryCodec().desiredState(object(body));
    ASSERT_TRUE(state) << state.error();
    EXPECT_FALSE(state->routes[0].anonymous);
    EXPECT_TRUE(state->routes[1].anonymous);
    ASSERT_EQ(state->workspaces.size(), 2U);
    EXPECT_EQ(state->workspaces[0].keys, (std::vector<std::string>{"k1", "k2"}));
    EXPECT_EQ(state->workspaces[0].priority, 1U);
    EXPECT_EQ(state->workspaces[0].perSecond, 335);
    EXPECT_EQ(state->workspaces[0].burst, 20);
    EXPECT_FALSE(state->workspaces[1].priority);
    EXPECT_EQ(state->workspaces[1].perSecond, 0);
}

TEST(EntryCodec, rejectsAnInvalidDesiredState)
{
    json body = desiredState();
    body["spec"]["version"] = "xyz";
    EXPECT_FALSE(EntryCodec().desiredState(object(body)));
    body = desiredState();
    body["spec"]["routes"][1].erase("service");
    EXPECT_FALSE(EntryCodec().desiredState(object(body)));
    EXPECT_FALSE(EntryCodec().desiredState(object(json::object())));
}

} // namespace

} // namespace yuccaspan::platform

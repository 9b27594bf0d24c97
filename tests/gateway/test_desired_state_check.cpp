#include "gateway/state_check/desired_state_check.hpp"
#include "gateway/state_check/desired_state_diff.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <sstream>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

DesiredState soundState()
{
    DesiredState state;
    state.version = 7;
    for (const char *name : {"stock", "orders"}) {
        Service service;
        service.name = name;
        service.coldRate = 4;
        service.warmup = seconds(3);
        state.services.emplace(name, service);
    }
    Route route;
    route.name = "r1";
    route.host = "shop";
    route.prefix = "/";
    route.timeout = seconds(2);
    route.latencyTarget = milliseconds(500);
    route.services = {{"stock", 90}, {"orders", 10}};
    state.routes.push_back(route);
    state.workspaces.push_back({"w", {"secret-1", "secret-2"}, 1, 100, 20});
    return state;
}

struct Case
{
    const char *finding; ///< As printed: kind, entry and text.
    std::function<void(DesiredState &)> change;
};

std::string textOf(const std::vector<Finding> &findings)
{
    std::ostringstream text;
    for (const Finding &finding : findings)
        text << toString(finding.kind) << ": " << finding.entry << ": " << finding.text << '\n';
    return text.str();
}

TEST(DesiredStateCheck, findsNothingInASoundState)
{
    EXPECT_EQ(textOf(checkDesiredState(soundState())), "");
}

TEST(DesiredStateCheck, findsEachMistake)
{
    const std::vector<Case> cases{
        {"never-matches: route shop:80/: the port of a Host field is ignored; expected a host "
         "without one\n",
         [](DesiredState &state) { state.routes[0].host = "shop:80"; }},
        {"never-matches: route /: has no host\n",
         [](DesiredState &state) { state.routes[0].host.clear(); }},
        {"never-matches: route shop/a: expected a prefix that begins and ends with a slash\n",
         [](DesiredState &state) { state.routes[0].prefix = "/a"; }},
        {"never-matches: route shop/a?/: paths are compared without a query; expected no '?', '#' "
         "or space\n",
         [](DesiredState &state) { state.routes[0].prefix = "/a?/"; }},
        {"never-matches: route shop/: routes \"r1\" and \"r2\" have the same host and prefix; one "
         "of them gets no request\n",
         [](DesiredState &state) {
             state.routes.push_back(state.routes[0]);
             state.routes[1].name = "r2";
         }},
        {"invalid: route shop/b/: the name \"r1\" is used twice\n",
         [](DesiredState &state) {
             state.routes.push_back(state.routes[0]);
             state.routes[1].prefix = "/b/";
         }},
        {"invalid: route shop/: service \"stok\" is not among the services\n",
         [](DesiredState &state) {
             state.routes[0].services.push_back({"stok", 1});
         }},
        {"contradicts: route shop/: service \"stock\" has two weights; expected one\n",
         [](DesiredState &state) {
             state.routes[0].services.push_back({"stock", 1});
         }},
        {"never-matches: route shop/: service \"orders\" has the weight 0 and gets no request\n",
         [](DesiredState &state) { state.routes[0].services[1].weight = 0; }},
        {"invalid: route shop/: allows no attempt; expected at least 1\n",
         [](DesiredState &state) { state.routes[0].maxAttempts = 0; }},
        {"contradicts: route shop/: the latency target of 3 s is above the timeout of 2 s, which "
         "ends the request before\n",
         [](DesiredState &state) { state.routes[0].latencyTarget = seconds(3); }},
        {"ineffective: route shop/: is anonymous, but without workspaces no route needs a key\n",
         [](DesiredState &state) {
             state.routes[0].anonymous = true;
             state.workspaces.clear();
         }},
        {"never-matches: service orders: no route leads to it\n",
         [](DesiredState &state) { state.routes[0].services.pop_back(); }},
        {"contradicts: service stock: has a rate for cold targets, but a warm-up of 0 s: no target "
         "is ever cold\n",
         [](DesiredState &state) { state.services.at("stock").warmup = {}; }},
        {"contradicts: limits: the time for a request head, 20 s, is above that of an idle "
         "connection, 15 s\n",
         [](DesiredState &state) { state.limits.headerTimeout = seconds(20); }},
        {"never-matches: workspace w: has no key: none of its callers is known\n",
         [](DesiredState &state) { state.workspaces[0].keys.clear(); }},
        {"invalid: workspace v: holds a key that workspace w holds too\n",
         [](DesiredState &state) {
             state.workspaces.push_back({"v", {"secret-2"}, {}, 0, 0});
         }},
        {"ineffective: workspace w: holds a key twice\n",
         [](DesiredState &state) { state.workspaces[0].keys.emplace_back("secret-1"); }},
        {"contradicts: workspace w: a burst below 1 never admits a whole request; expected at "
         "least 1\n",
         [](DesiredState &state) { state.workspaces[0].burst = 0.5; }},
        {"ineffective: workspace w: has a burst, but no rate: nothing is limited\n",
         [](DesiredState &state) { state.workspaces[0].perSecond = 0; }},
    };
    for (const Case &one : cases) {
        DesiredState state = soundState();
        one.change(state);
        EXPECT_EQ(textOf(checkDesiredState(state)), one.finding);
    }
}

TEST(DesiredStateCheck, neverPrintsAKey)
{
    DesiredState state = soundState();
    state.workspaces.push_back({"v", {"secret-2", "secret-2"}, {}, -1, 0});
    EXPECT_EQ(textOf(checkDesiredState(state)).find("secret"), std::string::npos);
    for (const StateChange &change : changesBetween(soundState(), state))
        EXPECT_EQ((change.entry + change.text).find("secret"), std::string::npos);
}

TEST(DesiredStateDiff, isEmptyForTheSameEffect)
{
    DesiredState other = soundState();
    other.routes[0].name = "renamed";
    other.routes[0].services = {{"orders", 1}, {"stock", 9}};
    std::ranges::reverse(other.workspaces[0].keys);
    EXPECT_TRUE(changesBetween(soundState(), other).empty());
}

TEST(DesiredStateDiff, listsWhatChanges)
{
    DesiredState after = soundState();
    after.routes[0].services = {{"stock", 1}};
    after.routes[0].timeout = milliseconds(1500);
    after.routes.push_back(after.routes[0]);
    after.routes[1].prefix = "/new/";
    after.services.erase("orders");
    after.workspaces[0].perSecond = 50;
    after.workspaces[0].keys = {"secret-2", "secret-3"};
    const std::vector<StateChange> expected{{"route shop/", "services orders 1, stock 9 -> stock"},
                                            {"route shop/", "timeout 2 s -> 1.5 s"},
                                            {"route shop/new/", "added"},
                                            {"service orders", "removed"},
                                            {"workspace w", "rate 100/s -> 50/s"},
                                            {"workspace w", "keys added: 1"},
                                            {"workspace w", "keys revoked: 1"}};
    EXPECT_EQ(changesBetween(soundState(), after), expected);
}

} // namespace

} // namespace yuccaspan::gateway

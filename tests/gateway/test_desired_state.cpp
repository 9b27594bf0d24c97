#include "gateway/desired_state.hpp"
#include "gateway/key_load.hpp"
#include "gateway/load_message.hpp"

#include <gtest/gtest.h>

#include <map>

namespace yuccaspan::gateway {

namespace {

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route out;
    out.name = name;
    out.host = host;
    out.prefix = prefix;
    out.services = {{"s", 1}};
    return out;
}

TEST(RouteIndex, findsTheLongestPrefixForTheHost)
{
    DesiredState state;
    state.routes = {route("root", "a", "/"), route("x", "a", "/x/"), route("xy", "a", "/x/y/"),
                    route("b", "b", "/x/")};
    const RouteIndex index(state);
    EXPECT_EQ(index.find("a", "/x/y/z")->name, "xy");
    EXPECT_EQ(index.find("a", "/x/yz")->name, "x");
    EXPECT_EQ(index.find("a", "/x")->name, "root");
    EXPECT_EQ(index.find("b:8080", "/x/1")->name, "b");
    EXPECT_EQ(index.find("b", "/y/1"), nullptr);
    EXPECT_EQ(index.find("c", "/x/1"), nullptr);
    EXPECT_EQ(index.find("a", ""), nullptr);
}

TEST(WeightedDealer, followsTheWeightsOverFewRequests)
{
    Route split = route("r", "a", "/");
    split.services = {{"one", 90}, {"two", 10}};
    WeightedDealer dealer;
    std::map<std::string, int> counts;
    for (int request = 1; request <= 200; ++request) {
        ++counts[dealer.next(split)];
        ASSERT_NEAR(counts["two"], request * 0.1, 1.0);
    }
    split.services = {{"one", 1}, {"two", 1}};
    counts.clear();
    for (int request = 0; request < 10; ++request)
        ++counts[dealer.next(split)];
    EXPECT_EQ(counts["one"], 5);
}

TEST(KeyLoad, workDecaysWithinSeconds)
{
    constexpr TimePoint start{std::chrono::seconds(50)};
    KeyLoad load;
    for (int request = 0; request < 100; ++request)
        load.add(1000, 0.1, start);
    EXPECT_GT(load.rate({0, lastKey}, start), 5.0);
    EXPECT_LT(load.rate({0, lastKey}, start + std::chrono::seconds(6)), 0.2);
    EXPECT_EQ(load.rate({2000, lastKey}, start), 0.0);
    // A long time without requests must not distort the rate.
    load.add(1000, 0.15, start + std::chrono::hours(5));
    EXPECT_NEAR(load.rate({0, lastKey}, start + std::chrono::hours(5)), 0.1, 0.001);
}

TEST(KeyLoad, cutsARangeByItsWork)
{
    constexpr TimePoint start{std::chrono::seconds(50)};
    KeyLoad load;
    for (std::uint32_t key = 4000; key < 4200; ++key)
        load.add(key, 1.0, start);
    const std::uint32_t at = load.cut({0, lastKey}, 0.5);
    EXPECT_NEAR(at, 4100, KeyLoad::keysPerBucket);
    EXPECT_EQ(load.cut({4000, 4003}, 0.5), 4000U);
}

TEST(LoadMessage, roundTrip)
{
    LoadMessage message;
    message.instance = "a";
    message.addWork("s", 17, 0.125);
    message.addWork("s", 17, 0.125);
    message.addAnswer("t", 1.5);
    const Result<LoadMessage> read = decodeLoadMessage(encodeLoadMessage(message));
    ASSERT_TRUE(read) << read.error();
    EXPECT_EQ(read->instance, "a");
    EXPECT_DOUBLE_EQ(read->work.at("s").at(17), 0.25);
    EXPECT_DOUBLE_EQ(read->speeds.at("t").ratioSum, 1.5);
    EXPECT_EQ(read->speeds.at("t").answers, 1U);
    EXPECT_FALSE(decodeLoadMessage({0xff, 0x00}));
}

} // namespace

} // namespace yuccaspan::gateway

#include "yuccaspan/peer_message.hpp"

#include <gtest/gtest.h>

namespace yuccaspan {
namespace {

const CellId cell{ServiceName("depot-stock"), ZoneId("a"), 3};

/// Encodes, decodes and re-encodes a message; the encodings differ if a field is lost.
void expectRoundTrip(const PeerMessage &message)
{
    const std::string bytes = encodePeerEnvelope({InstanceId("e1#7"), message});
    const auto decoded = decodePeerEnvelope(bytes);
    ASSERT_TRUE(decoded.hasValue());
    EXPECT_EQ(decoded->from, InstanceId("e1#7"));
    EXPECT_EQ(decoded->message.index(), message.index());
    EXPECT_EQ(encodePeerEnvelope(*decoded), bytes);
}

TEST(PeerCodec, RoundTripsAllMessageTypes)
{
    expectRoundTrip(Heartbeat{ZoneId("a"), 9, true, {4}, true, {InstanceId("e2#1")}, {cell}});
    expectRoundTrip(PromiseRequest{cell, {2}, 5, Duration(1000)});
    expectRoundTrip(PromiseAnswer{cell, {2}, 5, true, {3}});
    RouteUpdate update;
    update.cell = cell;
    update.range = {1ULL << 63U, ~0ULL};
    update.routes = {{{1ULL << 63U, ~0ULL}, TargetId("t"), {8}, RouteState::Held}};
    update.shares = {{TargetId("t"), 1.5, 20}};
    expectRoundTrip(update);
    expectRoundTrip(RouteAck{cell, {2}, 3, 4, 5, {{1, 2}}});
    expectRoundTrip(LoadReport{cell, 6, {{{1, 1}, 10, 0.5}}, {{TargetId("t"), 2.0, 3.0, 1}}});
    expectRoundTrip(StateRequest{{7}});
    expectRoundTrip(StateOffer{"settings", {8}, "{}"});
}

TEST(PeerCodec, RoundTripsRouteFields)
{
    RouteUpdate update;
    update.cell = cell;
    update.routes = {{{5, ~0ULL}, TargetId("t"), {~0ULL}, RouteState::Held}};
    update.shares = {{TargetId("t"), 1.5, 20, 3}};
    const auto decoded = decodePeerEnvelope(encodePeerEnvelope({InstanceId("x"), update}));
    ASSERT_TRUE(decoded.hasValue());
    const auto &copy = std::get<RouteUpdate>(decoded->message);
    EXPECT_EQ(copy.cell, cell);
    EXPECT_EQ(copy.routes, update.routes);
    ASSERT_EQ(copy.shares.size(), 1U);
    EXPECT_EQ(copy.shares.front().coldSlots, 3U);
}

TEST(PeerCodec, RejectsMalformedMessages)
{
    EXPECT_FALSE(decodePeerEnvelope("").hasValue());
    EXPECT_FALSE(decodePeerEnvelope(std::string(64, '\xff')).hasValue());
    const std::string good = encodePeerEnvelope({InstanceId("x"), StateRequest{{7}}});
    EXPECT_FALSE(decodePeerEnvelope(good + "x").hasValue());
    EXPECT_FALSE(decodePeerEnvelope(good.substr(0, good.size() - 2)).hasValue());
}

} // namespace
} // namespace yuccaspan

#include "naive/placement_routes.hpp"
#include "ownership/route_publisher.hpp"
#include "placement/entry_view.hpp"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace yuccaspan::impl {
namespace {

using std::chrono::milliseconds;

const CellId cell{ServiceName("s"), ZoneId("z"), 0};
const InstanceId placerId("p#1");
const InstanceId entryId("e#1");

Context makeContext(const InstanceId &self)
{
    Context context;
    context.self = {self, ZoneId("z"), 1};
    context.members = {{entryId, ZoneId("z"), true, false, true, {}},
                       {placerId, ZoneId("z"), true, false, true, {}}};
    return context;
}

// Splits, merges or changes one route.
void change(std::vector<Route> &routes, std::mt19937_64 &random)
{
    const std::size_t at = random() % routes.size();
    Route &route = routes[at];
    switch (random() % 3) {
    case 0:
        if (route.range.last - route.range.first > 2) {
            Route upper = route;
            upper.range.first += (route.range.last - route.range.first) / 2;
            route.range.last = upper.range.first - 1;
            routes.insert(routes.begin() + static_cast<std::ptrdiff_t>(at) + 1, upper);
        }
        break;
    case 1:
        if (at + 1 < routes.size()) {
            route.range.last = routes[at + 1].range.last;
            routes.erase(routes.begin() + static_cast<std::ptrdiff_t>(at) + 1);
        }
        break;
    default:
        route.token = route.token.next();
        route.owner = TargetId("t" + std::to_string(random() % 5));
        route.state = random() % 4 == 0 ? RouteState::Held : RouteState::Open;
    }
}

// The placer publishes differences over a network that loses, duplicates and reorders messages. The
// entry view must have the same routes as a naive model that receives every state in full.
RC_GTEST_PROP(EntryView, AgreesWithNaiveModel, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    Context placer = makeContext(placerId);
    Context entry = makeContext(entryId);
    EntryView view(cell);
    naive::PlacementRoutes naive;
    std::vector<Route> routes{{{}, TargetId("t0"), {1}, RouteState::Open}};
    std::vector<PeerEnvelope> messagesInFlight;
    TimePoint now(std::chrono::seconds(1));
    Term term{1};
    std::optional<RoutePublisher> publisher(std::in_place, cell, KeyRange{}, term);
    const auto collect = [&](Context &from) {
        for (const PlacementAction &action : from.actions) {
            if (const auto *send = std::get_if<SendPeerAction>(&action))
                messagesInFlight.push_back({from.self.id, send->message});
            if (const auto *routesAction = std::get_if<RoutesAction>(&action)) {
                const CellRoutes &got = *routesAction->routes;
                RC_ASSERT(std::pair(got.term, got.sequence) == naive.present());
                RC_ASSERT(got.routes == naive.routes());
                RC_ASSERT(got.viewLeaseEnd == naive.leaseEnd());
            }
        }
        from.actions.clear();
    };
    for (int step = 0; step < 300; ++step) {
        now += milliseconds(random() % 80);
        if (random() % 3 == 0)
            change(routes, random);
        if (random() % 100 == 0) {
            term = term.next();
            publisher.emplace(cell, KeyRange{}, term);
        }
        publisher->setRoutes(routes);
        naive.published(term, publisher->sequence(), routes);
        publisher->step(placer, now + milliseconds(random() % 2000), now);
        collect(placer);
        while (!messagesInFlight.empty() && random() % 3 != 0) {
            const std::size_t pick = random() % messagesInFlight.size();
            const PeerEnvelope envelope = messagesInFlight[pick];
            if (random() % 10 != 0)
                messagesInFlight.erase(messagesInFlight.begin()
                                       + static_cast<std::ptrdiff_t>(pick));
            if (random() % 8 == 0)
                continue;
            if (const auto *ack = std::get_if<RouteAck>(&envelope.message)) {
                publisher->onAcknowledged(envelope.from, *ack, now);
                continue;
            }
            const auto &update = std::get<RouteUpdate>(envelope.message);
            const bool isNewTerm = update.term > naive.present().first;
            if (update.full || (!isNewTerm && update.baseSequence <= naive.present().second))
                naive.delivered(update);
            view.onUpdate(entry, envelope.from, update, now);
            for (const PlacementAction &action : entry.actions) {
                const auto *send = std::get_if<SendPeerAction>(&action);
                if (send == nullptr)
                    continue;
                const auto &ack = std::get<RouteAck>(send->message);
                naive.acknowledged(ack.ackSequence, now);
            }
            collect(entry);
        }
    }
}

TEST(EntryView, UsesANewerRecordWithoutAViewLease)
{
    Context entry = makeContext(entryId);
    EntryView view(cell);
    CellRecord record;
    record.cell = cell;
    record.term = {3};
    record.slices = {{{0, 9}, TargetId("a"), {1}, SlicePhase::Settled, {}, {}},
                     {{10, ~0ULL}, TargetId("a"), {2}, SlicePhase::Moving, TargetId("b"), {3}}};
    view.onRecordObserved(entry, record, TimePoint(milliseconds(1)));
    ASSERT_EQ(entry.actions.size(), 1U);
    const auto &routes = *std::get<RoutesAction>(entry.actions[0]).routes;
    EXPECT_EQ(routes.viewLeaseEnd, TimePoint());
    EXPECT_EQ(routes.routes[0].state, RouteState::Open);
    EXPECT_EQ(routes.routes[1].state, RouteState::Held);
    RouteUpdate older;
    older.cell = cell;
    older.term = {2};
    older.routes = {{{}, TargetId("old"), {1}, RouteState::Open}};
    entry.actions.clear();
    view.onUpdate(entry, placerId, older, TimePoint(milliseconds(2)));
    EXPECT_TRUE(entry.actions.empty());
}

} // namespace
} // namespace yuccaspan::impl

#include "daemon/control.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace yuccaspan::impl {

namespace asio = boost::asio;

namespace {

/// Maps the result of a store write to the placement core's terms.
WriteResult writeResultOf(const Result<ObjectVersion> &result) noexcept
{
    if (result)
        return WriteResult::Committed;
    const ErrorCode code = result.error().code;
    if (code == ErrorCode::Conflict)
        return WriteResult::Conflict;
    const bool nothingSent = code == ErrorCode::Unavailable || code == ErrorCode::LimitExceeded;
    return nothingSent ? WriteResult::NotDone : WriteResult::Unknown;
}

} // namespace

void Control::execute(const PlacementActions &actions)
{
    for (const PlacementAction &action : actions)
        std::visit([this](const auto &kind) { execute(kind); }, action);
}

void Control::execute(const WriteAction &action)
{
    const auto done = [this, id = action.writeId](Result<ObjectVersion> result) {
        StoreWrittenEvent event{id, writeResultOf(result), ObjectVersion()};
        if (result)
            event.version = *result;
        asio::post(m_loop, [this, event] { handle(event); });
    };
    m_parts.store.put(action.path, action.expected, action.value, done);
}

void Control::execute(const ReadAction &action)
{
    const auto done = [this, id = action.readId](Result<StoreObject> result) {
        StoreReadEvent event;
        event.readId = id;
        event.answered = result.hasValue() || result.error().code == ErrorCode::NotFound;
        if (result) {
            event.version = result->version;
            event.value = result->value;
        }
        asio::post(m_loop, [this, event = std::move(event)] { handle(event); });
    };
    m_parts.store.get(action.path, done);
}

void Control::execute(const SendPeerAction &action)
{
    sendPeer(action.to, action.message);
}

void Control::sendPeer(const InstanceId &to, const PeerMessage &message)
{
    if (to == m_id) {
        post(PeerEvent{{m_id, message}});
        return;
    }
    m_parts.peers.send(instanceName(to), encodePeerEnvelope({m_id, message}));
}

void Control::execute(const SendOrderAction &action)
{
    m_parts.orders.send(action);
}

void Control::execute(const RoutesAction &action)
{
    const std::shared_ptr<const RouteTable> table = m_parts.shared.routes.get();
    m_parts.shared.routes.publish(table->with(action.routes));
    m_cellRoutes[action.routes->cell] = action.routes;
    m_parts.edge.routesChanged();
    std::erase_if(m_idleWatches,
                  [&](const IdleWatch &watch) { return watch.cell == action.routes->cell; });
    for (const KeyRange &range : action.reportIdle) {
        const auto route = std::ranges::find(action.routes->routes, range, &Route::range);
        const bool known = route != action.routes->routes.end();
        m_idleWatches.push_back(
            {action.routes->cell, range, known ? route->token : FencingToken()});
    }
    reportIdle();
}

void Control::execute(const SharesAction &action)
{
    m_parts.shared.targets.setShares(action.shares, action.validUntil);
}

void Control::execute(const LogAction &action)
{
    m_parts.shared.log.write(action.part, action.text);
}

void Control::execute(const MembershipOutput &output)
{
    for (const HeartbeatSend &send : output.send)
        sendPeer(send.to, send.heartbeat);
    for (const LogAction &log : output.logs)
        execute(log);
    if (!output.members)
        return;
    m_members = output.members->members;
    if (m_settings != nullptr)
        m_parts.shared.targets.apply(*m_settings, liveInstances());
    handle(*output.members);
}

void Control::reportIdle()
{
    std::vector<IdleWatch> idle;
    std::erase_if(m_idleWatches, [&](const IdleWatch &watch) {
        if (m_parts.shared.inFlight.count(watch.cell.service, watch.range) != 0)
            return false;
        idle.push_back(watch);
        return true;
    });
    for (const IdleWatch &watch : idle)
        post(SliceIdleEvent{watch.cell, watch.range, watch.token});
}

} // namespace yuccaspan::impl

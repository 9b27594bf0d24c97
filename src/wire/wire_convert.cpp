#include "wire/wire_convert.hpp"

#include <type_traits>

namespace yuccaspan::impl {

namespace {

std::int64_t toSigned(std::uint64_t value) noexcept
{
    return static_cast<std::int64_t>(value);
}

std::uint64_t toUnsigned(std::int64_t value) noexcept
{
    return static_cast<std::uint64_t>(value);
}

std::vector<InstanceId> instanceIds(const std::vector<std::string> &names)
{
    std::vector<InstanceId> ids;
    ids.reserve(names.size());
    for (const std::string &name : names)
        ids.emplace_back(name);
    return ids;
}

void setMember(idl::Message &out, const Heartbeat &in)
{
    idl::Heartbeat wire;
    wire.zone = in.zone.text();
    wire.sequence = toSigned(in.sequence);
    wire.leaving = in.leaving;
    wire.settingsVersion = toSigned(in.settingsVersion.value);
    wire.storeReachable = in.storeReachable;
    wire.hears = listToWire(in.hears);
    wire.places = listToWire(in.places);
    out.__set_heartbeat(wire);
}

void setMember(idl::Message &out, const PromiseRequest &in)
{
    idl::PromiseRequest wire;
    wire.cell = toWire(in.cell);
    wire.term = toSigned(in.term.value);
    wire.sequence = toSigned(in.sequence);
    wire.durationUs = in.duration.count();
    out.__set_promiseRequest(wire);
}

void setMember(idl::Message &out, const PromiseAnswer &in)
{
    idl::PromiseAnswer wire;
    wire.cell = toWire(in.cell);
    wire.term = toSigned(in.term.value);
    wire.sequence = toSigned(in.sequence);
    wire.granted = in.granted;
    wire.knownTerm = toSigned(in.knownTerm.value);
    out.__set_promiseAnswer(wire);
}

void setMember(idl::Message &out, const RouteUpdate &in)
{
    idl::RouteUpdate wire;
    wire.cell = toWire(in.cell);
    wire.range = toWire(in.range);
    wire.term = toSigned(in.term.value);
    wire.sequence = toSigned(in.sequence);
    wire.baseSequence = toSigned(in.baseSequence);
    wire.full = in.full;
    wire.leaseSequence = toSigned(in.leaseSequence);
    wire.viewLeaseUs = in.viewLease.count();
    wire.echoSequence = toSigned(in.echoSequence);
    wire.routes = listToWire(in.routes);
    wire.shares = listToWire(in.shares);
    out.__set_routeUpdate(wire);
}

void setMember(idl::Message &out, const RouteAck &in)
{
    idl::RouteAck wire;
    wire.cell = toWire(in.cell);
    wire.term = toSigned(in.term.value);
    wire.sequence = toSigned(in.sequence);
    wire.leaseSequence = toSigned(in.leaseSequence);
    wire.ackSequence = toSigned(in.ackSequence);
    wire.idle = listToWire(in.idle);
    out.__set_routeAck(wire);
}

void setMember(idl::Message &out, const LoadReport &in)
{
    idl::LoadReport wire;
    wire.cell = toWire(in.cell);
    wire.sequence = toSigned(in.sequence);
    wire.slices = listToWire(in.slices);
    wire.targets = listToWire(in.targets);
    out.__set_loadReport(wire);
}

void setMember(idl::Message &out, const StateRequest &in)
{
    idl::StateRequest wire;
    wire.settingsVersion = toSigned(in.settingsVersion.value);
    out.__set_stateRequest(wire);
}

void setMember(idl::Message &out, const StateOffer &in)
{
    idl::StateOffer wire;
    wire.path = in.path;
    wire.version = toSigned(in.version.value);
    wire.value = in.value;
    out.__set_stateOffer(wire);
}

Heartbeat fromMember(const idl::Heartbeat &in)
{
    Heartbeat out;
    out.zone = ZoneId(in.zone);
    out.sequence = toUnsigned(in.sequence);
    out.leaving = in.leaving;
    out.settingsVersion = {toUnsigned(in.settingsVersion)};
    out.storeReachable = in.storeReachable;
    out.hears = instanceIds(in.hears);
    out.places = listFromWire(in.places);
    return out;
}

PromiseRequest fromMember(const idl::PromiseRequest &in)
{
    return {
        fromWire(in.cell), {toUnsigned(in.term)}, toUnsigned(in.sequence), Duration(in.durationUs)};
}

PromiseAnswer fromMember(const idl::PromiseAnswer &in)
{
    return {fromWire(in.cell),
            {toUnsigned(in.term)},
            toUnsigned(in.sequence),
            in.granted,
            {toUnsigned(in.knownTerm)}};
}

RouteUpdate fromMember(const idl::RouteUpdate &in)
{
    RouteUpdate out;
    out.cell = fromWire(in.cell);
    out.range = fromWire(in.range);
    out.term = {toUnsigned(in.term)};
    out.sequence = toUnsigned(in.sequence);
    out.baseSequence = toUnsigned(in.baseSequence);
    out.full = in.full;
    out.leaseSequence = toUnsigned(in.leaseSequence);
    out.viewLease = Duration(in.viewLeaseUs);
    out.echoSequence = toUnsigned(in.echoSequence);
    out.routes = listFromWire(in.routes);
    out.shares = listFromWire(in.shares);
    return out;
}

RouteAck fromMember(const idl::RouteAck &in)
{
    RouteAck out;
    out.cell = fromWire(in.cell);
    out.term = {toUnsigned(in.term)};
    out.sequence = toUnsigned(in.sequence);
    out.leaseSequence = toUnsigned(in.leaseSequence);
    out.ackSequence = toUnsigned(in.ackSequence);
    out.idle = listFromWire(in.idle);
    return out;
}

LoadReport fromMember(const idl::LoadReport &in)
{
    return {fromWire(in.cell), toUnsigned(in.sequence), listFromWire(in.slices),
            listFromWire(in.targets)};
}

StateRequest fromMember(const idl::StateRequest &in)
{
    return {{toUnsigned(in.settingsVersion)}};
}

StateOffer fromMember(const idl::StateOffer &in)
{
    return {in.path, {toUnsigned(in.version)}, in.value};
}

/// Converts a route state; unknown numbers become Unowned.
RouteState routeStateFromWire(std::int32_t state) noexcept
{
    if (state == static_cast<std::int32_t>(RouteState::Open))
        return RouteState::Open;
    if (state == static_cast<std::int32_t>(RouteState::Held))
        return RouteState::Held;
    return RouteState::Unowned;
}

} // namespace

idl::Cell toWire(const CellId &cell)
{
    idl::Cell wire;
    wire.serviceName = cell.service.text();
    wire.zone = cell.zone.text();
    wire.index = static_cast<std::int32_t>(cell.index);
    return wire;
}

idl::Range toWire(const KeyRange &range)
{
    idl::Range wire;
    wire.first = toSigned(range.first);
    wire.last = toSigned(range.last);
    return wire;
}

idl::Route toWire(const Route &route)
{
    idl::Route wire;
    wire.range = toWire(route.range);
    wire.owner = route.owner.text();
    wire.token = toSigned(route.token.value);
    wire.state = static_cast<std::int32_t>(route.state);
    return wire;
}

idl::CapacityShare toWire(const CapacityShare &share)
{
    idl::CapacityShare wire;
    wire.target = share.target.text();
    wire.slots = share.slots;
    wire.connections = static_cast<std::int32_t>(share.connections);
    wire.coldSlots = static_cast<std::int32_t>(share.coldSlots);
    return wire;
}

idl::SliceLoad toWire(const SliceLoad &load)
{
    idl::SliceLoad wire;
    wire.range = toWire(load.range);
    wire.requestsPerSecond = load.requestsPerSecond;
    wire.busySlots = load.busySlots;
    return wire;
}

idl::TargetObservation toWire(const TargetObservation &observation)
{
    idl::TargetObservation wire;
    wire.target = observation.target.text();
    wire.slowdown = observation.slowdown;
    wire.demandSlots = observation.demandSlots;
    wire.consecutiveFailures = static_cast<std::int32_t>(observation.consecutiveFailures);
    return wire;
}

std::string toWire(const InstanceId &id)
{
    return id.text();
}

idl::Message toWire(const PeerMessage &message)
{
    idl::Message wire;
    std::visit([&](const auto &member) { setMember(wire, member); }, message);
    return wire;
}

CellId fromWire(const idl::Cell &cell)
{
    return {ServiceName(cell.serviceName), ZoneId(cell.zone),
            static_cast<std::uint32_t>(cell.index)};
}

KeyRange fromWire(const idl::Range &range)
{
    return {toUnsigned(range.first), toUnsigned(range.last)};
}

Route fromWire(const idl::Route &route)
{
    return {fromWire(route.range),
            TargetId(route.owner),
            {toUnsigned(route.token)},
            routeStateFromWire(route.state)};
}

CapacityShare fromWire(const idl::CapacityShare &share)
{
    CapacityShare out;
    out.target = TargetId(share.target);
    out.slots = share.slots;
    out.connections = static_cast<std::uint32_t>(share.connections);
    out.coldSlots = static_cast<std::uint32_t>(share.coldSlots);
    return out;
}

SliceLoad fromWire(const idl::SliceLoad &load)
{
    return {fromWire(load.range), load.requestsPerSecond, load.busySlots};
}

TargetObservation fromWire(const idl::TargetObservation &observation)
{
    return {TargetId(observation.target), observation.slowdown, observation.demandSlots,
            static_cast<std::uint32_t>(observation.consecutiveFailures)};
}

Result<PeerMessage> fromWire(const idl::Message &message)
{
    if (message.__isset.heartbeat)
        return PeerMessage(fromMember(message.heartbeat));
    if (message.__isset.promiseRequest)
        return PeerMessage(fromMember(message.promiseRequest));
    if (message.__isset.promiseAnswer)
        return PeerMessage(fromMember(message.promiseAnswer));
    if (message.__isset.routeUpdate)
        return PeerMessage(fromMember(message.routeUpdate));
    if (message.__isset.routeAck)
        return PeerMessage(fromMember(message.routeAck));
    if (message.__isset.loadReport)
        return PeerMessage(fromMember(message.loadReport));
    if (message.__isset.stateRequest)
        return PeerMessage(fromMember(message.stateRequest));
    if (message.__isset.stateOffer)
        return PeerMessage(fromMember(message.stateOffer));
    return Error{ErrorCode::ParseFailed, "unknown kind of message", {}};
}

} // namespace yuccaspan::impl

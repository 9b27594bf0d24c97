#include "capacity/fleet.hpp"

#include "capacity/series.hpp"

#include "yuccaspan/cell_record.hpp"
#include "yuccaspan/peer_message.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

namespace yuccaspan::bench {

namespace {

ZoneId zoneName(std::uint32_t index)
{
    return ZoneId("zone-" + std::to_string(index));
}

std::shared_ptr<const Settings> makeSettings(const FleetSize &size)
{
    auto settings = std::make_shared<Settings>();
    settings->version = {1};
    for (std::uint32_t index = 0; index < size.zones; ++index)
        settings->zones.push_back({zoneName(index), RegionId("region"), false, false});
    ServiceSettings service;
    service.name = ServiceName("service");
    service.pathPrefix = "/service";
    service.slicesPerTarget = size.slicesPerTarget;
    for (std::uint32_t index = 0; index < size.targets; ++index) {
        TargetSettings target;
        target.id = TargetId("target-" + std::to_string(index));
        target.zone = zoneName(index % size.zones);
        target.address = "127.0.0.1";
        target.port = static_cast<std::uint16_t>(index + 1);
        target.slots = 6;
        service.targets.push_back(std::move(target));
    }
    settings->services = {std::move(service)};
    return settings;
}

} // namespace

Fleet::Fleet(const FleetSize &size)
{
    MembersEvent members;
    for (std::uint32_t index = 0; index < size.instances; ++index) {
        Member member;
        member.id = InstanceId("entry-" + std::to_string(index) + "#1");
        member.zone = zoneName(index % size.zones);
        member.alive = true;
        member.knownToStore = true;
        members.members.push_back(std::move(member));
    }
    for (Member &member : members.members) {
        for (const Member &other : members.members)
            member.hears.push_back(other.id);
    }
    const auto settings = makeSettings(size);
    for (const Member &member : members.members) {
        auto core = makePlacementNode({member.id, member.zone, 1}, m_timing);
        if (core)
            m_nodes.push_back({member.id, std::move(*core), {}});
    }
    for (Node &node : m_nodes) {
        node.inbox.emplace_back(SettingsEvent{settings});
        node.inbox.emplace_back(members);
    }
}

FleetUse Fleet::run(Duration span)
{
    m_use = FleetUse();
    const TimePoint end = m_now + span;
    while (m_now < end) {
        m_now += m_timing.tickInterval;
        for (Node &node : m_nodes)
            handle(node, TickEvent{});
        deliverAll();
    }
    m_use.seconds = std::chrono::duration<double>(span).count();
    countSlices();
    return m_use;
}

void Fleet::deliverAll()
{
    bool any = true;
    while (any) {
        any = false;
        for (Node &node : m_nodes) {
            while (!node.inbox.empty()) {
                const PlacementEvent event = std::move(node.inbox.front());
                node.inbox.pop_front();
                handle(node, event);
                any = true;
            }
        }
    }
}

void Fleet::handle(Node &node, const PlacementEvent &event)
{
    const double before = threadMicroseconds();
    const PlacementActions actions = node.core->handle(event, m_now);
    m_use.processorMicroseconds += threadMicroseconds() - before;
    for (const PlacementAction &action : actions)
        carryOut(node, action);
}

void Fleet::carryOut(Node &node, const PlacementAction &action)
{
    if (const auto *put = std::get_if<WriteAction>(&action))
        write(node, *put);
    if (const auto *get = std::get_if<ReadAction>(&action))
        read(node, *get);
    if (const auto *send = std::get_if<SendPeerAction>(&action))
        sendPeer(node, *send);
    if (const auto *order = std::get_if<SendOrderAction>(&action))
        answerOrder(node, *order);
    if (const auto *routes = std::get_if<RoutesAction>(&action)) {
        for (const KeyRange &range : routes->reportIdle)
            node.inbox.emplace_back(SliceIdleEvent{routes->routes->cell, range, {}});
    }
}

void Fleet::write(Node &node, const WriteAction &action)
{
    ++m_use.storeCalls;
    StoredObject &object = m_objects[action.path];
    if (object.version != action.expected) {
        node.inbox.emplace_back(
            StoreWrittenEvent{action.writeId, WriteResult::Conflict, object.version});
        return;
    }
    object.version = {++m_revision};
    object.value = action.value;
    node.inbox.emplace_back(
        StoreWrittenEvent{action.writeId, WriteResult::Committed, object.version});
    for (Node &other : m_nodes)
        other.inbox.emplace_back(StoreValueEvent{action.path, object.version, object.value});
}

void Fleet::read(Node &node, const ReadAction &action)
{
    ++m_use.storeCalls;
    const StoredObject &object = m_objects[action.path];
    node.inbox.emplace_back(StoreReadEvent{action.readId, true, object.version, object.value});
}

void Fleet::sendPeer(const Node &node, const SendPeerAction &action)
{
    PeerEnvelope envelope{node.id, action.message};
    ++m_use.peerMessages;
    m_use.peerBytes += static_cast<double>(encodePeerEnvelope(envelope).size());
    for (Node &other : m_nodes) {
        if (other.id == action.to)
            other.inbox.emplace_back(PeerEvent{envelope});
    }
}

void Fleet::answerOrder(Node &node, const SendOrderAction &action)
{
    ++m_use.orders;
    TargetAnswer answer;
    answer.orderId = action.orderId;
    answer.verdict = TargetVerdict::Accepted;
    answer.startId = "start";
    answer.clock = m_now.time_since_epoch();
    node.inbox.emplace_back(TargetAnswerEvent{action.target, answer});
}

void Fleet::countSlices()
{
    for (const auto &[path, object] : m_objects) {
        const Result<CellRecord> record = decodeCellRecord(object.value);
        if (!record)
            continue;
        m_use.slices += static_cast<double>(record->slices.size());
        const auto unowned = std::ranges::count_if(
            record->slices, [](const SliceRecord &slice) { return slice.owner.empty(); });
        m_use.unownedSlices += static_cast<double>(unowned);
    }
}

} // namespace yuccaspan::bench

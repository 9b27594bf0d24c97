#include "daemon/control.hpp"

#include "yuccaspan/settings_io.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace yuccaspan::impl {

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t maxQueuedEvents = 65536;

} // namespace

Result<std::unique_ptr<Control>> Control::create(const InstanceSettings &settings,
                                                 const InstanceId &id,
                                                 const PlacementTiming &timing, ControlParts parts)
{
    const PlacementSelf self{id, settings.zone, hashKey(id.text())};
    auto node = makePlacementNode(self, timing);
    if (!node)
        return node.error();
    auto membership = Membership::create(id, settings.zone, MembershipTiming());
    if (!membership)
        return membership.error();
    return std::unique_ptr<Control>(
        new Control(settings, id, timing, parts, std::move(*node), std::move(*membership)));
}

Control::Control(const InstanceSettings &settings, InstanceId id, const PlacementTiming &timing,
                 ControlParts parts, std::unique_ptr<PlacementNode> node, Membership membership)
    : m_instance(settings),
      m_id(std::move(id)),
      m_timing(timing),
      m_parts(parts),
      m_node(std::move(node)),
      m_membership(std::move(membership)),
      m_work(m_loop.get_executor()),
      m_tick(m_loop),
      m_lastEventTime(parts.shared.clock.now())
{ }

Control::~Control()
{
    stop();
}

void Control::stop()
{
    m_loop.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void Control::start()
{
    m_parts.store.follow("", [this](Result<StoreChanges> changes) {
        asio::post(m_loop, [this, changes = std::move(changes)] { onStoreChanges(changes); });
    });
    asio::post(m_loop, [this] {
        updateAddresses();
        armTick();
    });
    m_thread = std::thread([this] { m_loop.run(); });
}

void Control::leave()
{
    asio::post(m_loop, [this] {
        m_leaving = true;
        m_membership.leave();
        writeStatus();
        handle(LeaveEvent{});
    });
}

void Control::post(PlacementEvent event)
{
    if (m_queuedEvents >= maxQueuedEvents) {
        ++m_droppedEvents;
        return;
    }
    ++m_queuedEvents;
    asio::post(m_loop, [this, event = std::move(event)] {
        --m_queuedEvents;
        handle(event);
    });
}

void Control::receiveAnswer(TargetAnswerEvent event)
{
    const TargetAnswer &answer = event.answer;
    const std::shared_ptr<const TargetMap> targets = m_parts.shared.targets.map().get();
    const auto target = targets->find(event.target);
    if (target != targets->end() && answer.verdict != TargetVerdict::NoAnswer)
        target->second->recordProbe(answer.startId, answer.state, m_parts.shared.clock.now());
    if (answer.orderId != probeOrderId)
        post(std::move(event));
}

void Control::receivePeer(const std::string &bytes)
{
    Result<PeerEnvelope> envelope = decodePeerEnvelope(bytes);
    if (!envelope || m_queuedEvents >= maxQueuedEvents) {
        ++m_droppedEvents;
        return;
    }
    ++m_queuedEvents;
    asio::post(m_loop, [this, envelope = std::move(*envelope)] {
        --m_queuedEvents;
        onPeerMessage(envelope);
    });
}

void Control::armTick()
{
    m_tick.expires_after(m_timing.tickInterval);
    m_tick.async_wait([this](boost::system::error_code failure) {
        if (failure)
            return;
        tick();
        armTick();
    });
}

void Control::tick()
{
    const TimePoint now = m_parts.shared.clock.now();
    checkForPause(now);
    MembershipStatus status;
    status.settingsVersion = m_settings == nullptr ? ObjectVersion() : m_settings->version;
    status.storeReachable = m_storeReachable;
    for (const CellStatus &cell : m_view.get()->cells) {
        if (cell.isPlacer)
            status.places.push_back(cell.cell);
    }
    execute(m_membership.tick(status, now));
    handle(TickEvent{});
    reportIdle();
    pollList();
    reportLoad();
    probeColdTargets();
    askPeersForState();
    publishView();
}

void Control::checkForPause(TimePoint now)
{
    const Duration gap = now - m_lastEventTime;
    m_lastEventTime = now;
    if (gap <= m_timing.pauseLimit)
        return;
    m_parts.shared.log.write("membership",
                             "This process did not run for " + std::to_string(gap.count())
                                 + " us; every lease is checked again.");
    m_membership.clockJumped(now);
    execute(m_node->handle(ClockJumpEvent{gap}, now));
}

void Control::handle(const PlacementEvent &event)
{
    const TimePoint now = m_parts.shared.clock.now();
    checkForPause(now);
    execute(m_node->handle(event, now));
}

void Control::onPeerMessage(const PeerEnvelope &envelope)
{
    const TimePoint now = m_parts.shared.clock.now();
    checkForPause(now);
    if (const auto *heartbeat = std::get_if<Heartbeat>(&envelope.message))
        execute(m_membership.received(envelope.from, *heartbeat, now));
    if (const auto *request = std::get_if<StateRequest>(&envelope.message))
        onStateRequest(envelope.from, *request);
    if (const auto *offer = std::get_if<StateOffer>(&envelope.message)) {
        if (offer->path == settingsObjectPath)
            offerSettings(offer->version, offer->value);
    }
    handle(PeerEvent{envelope});
}

void Control::onStateRequest(const InstanceId &from, const StateRequest &request)
{
    const bool newer = m_settings != nullptr && m_settings->version > request.settingsVersion;
    if (!newer)
        return;
    sendPeer(from,
             StateOffer{std::string(settingsObjectPath), m_settings->version, m_settingsText});
}

void Control::onStoreChanges(const Result<StoreChanges> &changes)
{
    m_storeReachable = changes.hasValue();
    if (!changes)
        return;
    for (const StoreObject &object : changes->objects) {
        if (object.path == settingsObjectPath)
            offerSettings(object.version, object.value);
        else if (object.path.starts_with("status/"))
            onStatusObject(object);
        else
            handle(StoreValueEvent{object.path, object.version, object.value});
    }
    writeStatus();
}

void Control::onStatusObject(const StoreObject &object)
{
    const Result<InstanceStatusRecord> record = decodeInstanceStatus(object.value);
    if (object.path == instanceStatusPath(m_id))
        m_statusVersion = std::max(m_statusVersion, object.version);
    if (!record)
        return;
    m_statuses[instanceName(record->id)] = *record;
    execute(m_membership.listed(m_listed, m_parts.shared.clock.now()));
}

void Control::onListed(const Result<std::vector<ListedInstance>> &list)
{
    if (!list)
        return;
    m_listed.clear();
    std::set<TargetId> leaving;
    for (const ListedInstance &entry : *list) {
        if (entry.role == "target") {
            if (entry.leaving)
                leaving.insert(TargetId(entry.id));
            continue;
        }
        ListedInstance named = entry;
        const auto status = m_statuses.find(entry.id);
        if (status != m_statuses.end())
            named.id = status->second.id.text();
        m_listed.push_back(std::move(named));
    }
    updateAddresses();
    execute(m_membership.listed(m_listed, m_parts.shared.clock.now()));
    if (leaving == m_leavingTargets)
        return;
    m_leavingTargets = std::move(leaving);
    applySettings();
}

} // namespace yuccaspan::impl

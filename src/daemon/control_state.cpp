#include "daemon/control.hpp"

#include "yuccaspan/settings_io.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace yuccaspan::impl {

namespace asio = boost::asio;

namespace {

constexpr Duration listInterval = std::chrono::seconds(1);
constexpr Duration loadInterval = std::chrono::milliseconds(500);
constexpr Duration probeInterval = std::chrono::seconds(1);
constexpr Duration viewInterval = std::chrono::milliseconds(100);
constexpr Duration stateRequestInterval = std::chrono::seconds(1);

/// Whether an interval has elapsed; if so, starts the next one.
bool isDue(TimePoint &next, TimePoint now, Duration interval)
{
    if (now < next)
        return false;
    next = now + interval;
    return true;
}

} // namespace

void Control::offerSettings(ObjectVersion version, const std::string &text)
{
    const ObjectVersion present = m_settings == nullptr ? ObjectVersion() : m_settings->version;
    if (version <= present)
        return;
    Result<Settings> parsed = parseSettings(text);
    if (!parsed) {
        m_parts.shared.log.write("settings",
                                 "Version " + std::to_string(version.value)
                                     + " is not taken: " + parsed.error().text + ".");
        return;
    }
    parsed->version = version;
    m_settings = std::make_shared<const Settings>(std::move(*parsed));
    m_settingsText = text;
    m_parts.shared.log.write("settings",
                             "Version " + std::to_string(version.value) + " is in force.");
    applySettings();
    writeStatus();
}

void Control::applySettings()
{
    if (m_settings == nullptr)
        return;
    Settings effective = *m_settings;
    for (ServiceSettings &service : effective.services) {
        for (TargetSettings &target : service.targets)
            target.drain = target.drain || m_leavingTargets.contains(target.id);
    }
    const auto settings = std::make_shared<const Settings>(std::move(effective));
    m_parts.shared.targets.apply(*settings, liveInstances());
    m_parts.orders.setTargets(settings);
    m_parts.shared.settings.publish(settings);
    handle(SettingsEvent{settings});
    m_parts.edge.routesChanged();
}

std::uint32_t Control::liveInstances() const noexcept
{
    const auto alive = std::ranges::count_if(m_members, &Member::alive);
    return static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(1, alive));
}

void Control::writeStatus()
{
    InstanceStatusRecord status{m_id, m_instance.zone, ObjectVersion(), m_leaving};
    if (m_settings != nullptr)
        status.settingsVersion = m_settings->version;
    if (m_statusWriteRunning || status == m_statusWritten)
        return;
    m_statusWriteRunning = true;
    const auto done = [this, status](Result<ObjectVersion> result) {
        asio::post(m_loop, [this, status, result = std::move(result)] {
            m_statusWriteRunning = false;
            if (result) {
                m_statusVersion = std::max(m_statusVersion, *result);
                m_statusWritten = status;
            } else if (result.error().code == ErrorCode::Conflict) {
                readStatusVersion();
            }
        });
    };
    m_parts.store.put(instanceStatusPath(m_id), m_statusVersion, encodeInstanceStatus(status),
                      done);
}

void Control::readStatusVersion()
{
    // An earlier process of this instance, or a write whose answer was lost, changed the object.
    m_parts.store.get(instanceStatusPath(m_id), [this](Result<StoreObject> object) {
        if (!object)
            return;
        asio::post(m_loop, [this, version = object->version] {
            m_statusVersion = std::max(m_statusVersion, version);
        });
    });
}

void Control::pollList()
{
    if (!isDue(m_nextList, m_parts.shared.clock.now(), listInterval))
        return;
    writeStatus();
    m_parts.store.listInstances([this](Result<std::vector<ListedInstance>> list) {
        asio::post(m_loop, [this, list = std::move(list)] { onListed(list); });
    });
}

void Control::askPeersForState()
{
    const TimePoint now = m_parts.shared.clock.now();
    if (m_storeReachable || !isDue(m_nextStateRequest, now, stateRequestInterval))
        return;
    const ObjectVersion present = m_settings == nullptr ? ObjectVersion() : m_settings->version;
    for (const Member &member : m_members) {
        if (member.id != m_id)
            sendPeer(member.id, StateRequest{present});
    }
    for (std::size_t index = 0; index < m_instance.seeds.size(); ++index) {
        const InstanceId seed("seed-" + std::to_string(index));
        sendPeer(seed, StateRequest{present});
        // Announces this instance to a peer that cannot find it in the platform's list.
        Heartbeat first;
        first.zone = m_instance.zone;
        sendPeer(seed, first);
    }
}

void Control::updateAddresses()
{
    std::map<std::string, HostPort> addresses;
    for (std::size_t index = 0; index < m_instance.seeds.size(); ++index)
        addresses.emplace("seed-" + std::to_string(index), m_instance.seeds[index]);
    for (const ListedInstance &entry : m_listed) {
        const Result<HostPort> address = parseHostPort(entry.address);
        const std::string name = instanceName(InstanceId(entry.id));
        if (address && name != m_instance.name)
            addresses.insert_or_assign(name, *address);
    }
    m_parts.peers.setAddresses(std::move(addresses));
}

void Control::reportLoad()
{
    const TimePoint now = m_parts.shared.clock.now();
    if (!isDue(m_nextLoad, now, loadInterval))
        return;
    LocalLoadEvent event;
    event.reports = m_parts.edge.reportLoad(m_cellRoutes, ++m_loadSequence, now);
    for (const auto &[cell, routes] : m_cellRoutes) {
        const auto known = std::ranges::find(event.reports, cell, &LoadReport::cell);
        if (known == event.reports.end())
            event.reports.push_back({cell, m_loadSequence, {}, observeTargets(cell)});
        else
            known->targets = observeTargets(cell);
    }
    handle(event);
}

void Control::probeColdTargets()
{
    if (!isDue(m_nextProbe, m_parts.shared.clock.now(), probeInterval))
        return;
    const std::shared_ptr<const TargetMap> targets = m_parts.shared.targets.map().get();
    for (const auto &[id, target] : *targets) {
        const bool isCold = target->withGate([](const TargetGate &gate) { return gate.isCold(); });
        if (!isCold)
            continue;
        const CellId cell{target->service(), target->settings().zone, 0};
        m_parts.orders.send({probeOrderId, id, ProbeOrder{cell}});
    }
}

std::vector<TargetObservation> Control::observeTargets(const CellId &cell)
{
    std::vector<TargetObservation> observations;
    const TimePoint now = m_parts.shared.clock.now();
    const std::shared_ptr<const TargetMap> targets = m_parts.shared.targets.map().get();
    std::set<TargetId> observed;
    for (const Route &route : m_cellRoutes[cell]->routes)
        observed.insert(route.owner);
    // The placer of a zone's first cell divides the slots of all targets in the zone.
    const ServiceSettings *service =
        m_settings == nullptr ? nullptr : m_settings->findService(cell.service);
    if (service != nullptr && cell.index == 0) {
        for (const TargetSettings &target : service->targets) {
            if (target.zone == cell.zone)
                observed.insert(target.id);
        }
    }
    for (const TargetId &id : observed) {
        const auto target = targets->find(id);
        if (target == targets->end())
            continue;
        observations.push_back(
            target->second->withGate([now](TargetGate &gate) { return gate.observe(now); }));
    }
    return observations;
}

void Control::publishView()
{
    const TimePoint now = m_parts.shared.clock.now();
    if (!isDue(m_nextView, now, viewInterval))
        return;
    auto view = std::make_shared<ControlView>();
    view->cells = m_node->status(now);
    view->members = m_members;
    if (m_settings != nullptr)
        view->settingsVersion = m_settings->version;
    view->storeReachable = m_storeReachable;
    view->mayStop = m_node->mayStop();
    m_view.publish(std::move(view));
}

} // namespace yuccaspan::impl

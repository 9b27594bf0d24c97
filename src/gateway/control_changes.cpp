// Changes that Control applies: targets, the desired state, evacuated zones, instances, shard maps.

#include "gateway/control.hpp"

#include <limits>
#include <utility>

namespace yuccaspan::gateway {

namespace {

/// Address at which an instance listens for its peers; empty if its entry has none.
std::string peerAddressOf(const StoredObject &object)
{
    const auto entry = nlohmann::json::parse(object.text, nullptr, false);
    const auto address = entry.is_object() ? entry.find("peers") : entry.end();
    const bool known = address != entry.end() && address->is_string();
    return known ? address->get<std::string>() : std::string();
}

} // namespace

/// Puts a whole list in force. What is known to have changed since counts.
void Control::applyList(const Follower &follower, StoredObjects list, TimePoint askedAt)
{
    const ObjectKind kind = follower.kind;
    const StoreRevision listed = list.revision;
    dateChanges(m_gateway.evidence.provenAt(kind));
    m_revisions[kind] = std::max(m_revisions[kind], listed);
    if (isChecked(kind)) {
        NewsLog &known = m_known[kind];
        known.listed(list, askedAt);
        m_revisions[kind] = std::max(m_revisions[kind], known.newest());
        list.objects = known.all(std::numeric_limits<std::size_t>::max()).objects;
    }
    (this->*follower.onListed)(list.objects);
    recordAnswer(kind, AnswerForm::List, list, askedAt);
    if (!list.knownAt)
        m_gateway.evidence.observed(listed, askedAt);
}

/// Puts those of the changes after a revision in force that are not.
void Control::applyChanges(const Follower &follower, const StoredObjects &changes,
                           StoreRevision from)
{
    const auto apply = [this, &follower](const std::vector<StoredObject> &objects) {
        for (const StoredObject &object : objects) {
            dateChanges(m_gateway.evidence.changedSince(follower.kind, object.revision));
            (this->*follower.onChanged)(object);
        }
    };
    const auto known = m_known.find(follower.kind);
    if (known == m_known.end() || from > known->second.newest()) {
        apply(changes.objects);
        return;
    }
    const StoreRevision before = known->second.newest();
    static_cast<void>(known->second.changed(changes, from, m_gateway.now()));
    apply(known->second.changesAfter(before, std::numeric_limits<std::size_t>::max()).objects);
}

void Control::onTargetsListed(const Objects &objects)
{
    std::vector<TargetEntry> entries;
    for (const StoredObject &object : objects) {
        if (Result<TargetEntry> entry = m_gateway.codec.target(object))
            entries.push_back(std::move(*entry));
        else
            m_gateway.log.write("membership", "bad-entry",
                                {{"target", object.name}, {"error", entry.error().text}});
    }
    applyTargets(entries);
}

/// Whether the desired state has the entry's service. Other writers may add entries of services
/// that do not exist; those say nothing about any target, not even that one at their address has
/// ended.
bool Control::isNamed(const TargetEntry &entry) const noexcept
{
    return m_gateway.desired && m_gateway.desired->findService(entry.service) != nullptr;
}

void Control::applyTargets(const std::vector<TargetEntry> &entries)
{
    std::vector<TargetEntry> named;
    m_unnamedTargets.clear();
    for (const TargetEntry &entry : entries) {
        if (isNamed(entry))
            named.push_back(entry);
        else
            m_unnamedTargets[entry.id] = {entry, m_changedSince};
    }
    m_gateway.directory.replaceAll(named, m_gateway.now(), m_changedSince);
    m_gateway.targetsKnown = true;
    applyEvacuations();
    logChange("membership", "listed",
              {{"targets", entries.size()},
               {"unnamed", m_unnamedTargets.size()},
               {"revision", revisionJson(m_revisions[ObjectKind::Targets])}});
}

/// Adds the targets whose service is in the desired state by now.
void Control::adoptNamedTargets()
{
    std::erase_if(m_unnamedTargets, [this](const auto &item) {
        const auto &[id, target] = item;
        if (!isNamed(target.entry))
            return false;
        m_gateway.directory.put(target.entry, m_gateway.now(), target.since);
        return true;
    });
}

void Control::onTargetChanged(const StoredObject &object)
{
    const DutyTimer timer(m_gateway, Duty::FollowTargets);
    const TimePoint now = m_gateway.now();
    m_unnamedTargets.erase(object.name);
    if (object.deleted) {
        m_gateway.directory.remove(object.name, now, m_changedSince);
        logChange("membership", "target-gone",
                  {{"target", object.name}, {"revision", revisionJson(object.revision)}});
        m_gateway.wakeAll();
        return;
    }
    const Result<TargetEntry> entry = m_gateway.codec.target(object);
    if (!entry) {
        m_gateway.log.write("membership", "bad-entry",
                            {{"target", object.name}, {"error", entry.error().text}});
        m_gateway.directory.remove(object.name, now, m_changedSince);
        m_gateway.wakeAll();
        return;
    }
    if (!isNamed(*entry)) {
        m_gateway.log.write("membership", "target-unnamed",
                            {{"target", entry->id},
                             {"service", entry->service},
                             {"address", entry->address},
                             {"incarnation", entry->incarnation},
                             {"revision", revisionJson(object.revision)}});
        m_unnamedTargets[entry->id] = {*entry, m_changedSince};
        m_gateway.directory.remove(object.name, now, m_changedSince);
        m_gateway.wakeAll();
        return;
    }
    if (!m_gateway.directory.put(*entry, now, m_changedSince))
        return;
    logChange("membership", entry->draining ? "target-drains" : "target-ready",
              {{"target", entry->id},
               {"service", entry->service},
               {"zone", entry->zone},
               {"address", entry->address},
               {"incarnation", entry->incarnation},
               {"revision", revisionJson(object.revision)}});
    m_gateway.wakeAll();
}

void Control::onSettingsListed(const Objects &objects)
{
    for (const StoredObject &object : objects)
        onSettingsChanged(object);
}

void Control::onSettingsChanged(const StoredObject &object)
{
    if (object.deleted)
        return;
    Result<DesiredState> state = m_gateway.codec.desiredState(object);
    if (!state) {
        m_gateway.log.write("settings", "refused",
                            {{"object", object.name}, {"error", state.error().text}});
        return;
    }
    const std::uint64_t known = m_gateway.desired ? m_gateway.desired->version : 0;
    if (m_gateway.desired && state->version <= known)
        return;
    logChange("settings", "in-force",
              {{"version", state->version},
               {"before", known},
               {"routes", state->routes.size()},
               {"revision", revisionJson(object.revision)}});
    m_settings = object;
    m_gateway.apply(std::make_shared<DesiredState>(std::move(*state)));
    adoptNamedTargets();
}

void Control::onEvacuationsListed(const Objects &objects)
{
    std::set<std::string, std::less<>> zones;
    for (const StoredObject &object : objects)
        zones.insert(object.name);
    setListedEvacuations(std::move(zones));
}

/// Sets the evacuated zones from a list. Until the operator had time to write again what a copy
/// lacks, no zone is taken back by its absence.
void Control::setListedEvacuations(std::set<std::string, std::less<>> zones)
{
    if (inEraGrace())
        zones.insert(m_evacuated.begin(), m_evacuated.end());
    setEvacuated(std::move(zones));
}

/// Sets the evacuated zones. The targets of a zone that was taken back may have become cold
/// meanwhile, so it stays out until their entries have been read as of its return.
void Control::setEvacuated(std::set<std::string, std::less<>> zones)
{
    const StoreRevision revision = m_revisions[ObjectKind::Evacuations];
    for (const std::string &zone : zones) {
        if (!m_evacuated.contains(zone))
            logChange("settings", "zone-out",
                      {{"zone", zone}, {"revision", revisionJson(revision)}});
    }
    for (const std::string &zone : m_evacuated) {
        if (zones.contains(zone))
            continue;
        logChange("settings", "zone-in", {{"zone", zone}, {"revision", revisionJson(revision)}});
        m_returning[zone] = revision;
    }
    m_evacuated = std::move(zones);
    std::erase_if(m_returning,
                  [this](const auto &item) { return m_evacuated.contains(item.first); });
    if (!m_returning.empty())
        relist(ObjectKind::Targets);
    applyEvacuations();
}

void Control::applyEvacuations()
{
    const StoreRevision read = m_revisions[ObjectKind::Targets];
    std::erase_if(m_returning, [read](const auto &item) { return item.second <= read; });
    std::vector<std::string> zones(m_evacuated.begin(), m_evacuated.end());
    for (const auto &[zone, revision] : m_returning)
        zones.push_back(zone);
    m_gateway.directory.setEvacuated(zones, m_changedSince);
    m_gateway.wakeAll();
}

/// Lists a kind anew instead of waiting for its next change.
void Control::relist(ObjectKind kind)
{
    m_relist.insert(kind);
    const auto pending = m_watchCancels.find(kind);
    if (pending == m_watchCancels.end() || !pending->second)
        return;
    m_watchRestarted[kind] = true;
    std::exchange(pending->second, {})();
}

void Control::onEvacuationChanged(const StoredObject &object)
{
    std::set<std::string, std::less<>> zones = m_evacuated;
    if (object.deleted)
        zones.erase(object.name);
    else
        zones.insert(object.name);
    setEvacuated(std::move(zones));
}

void Control::onInstancesListed(const Objects &objects)
{
    if (!inEraGrace())
        m_instances.clear();
    for (const StoredObject &object : objects)
        m_instances[object.name] = peerAddressOf(object);
    applyInstances();
}

void Control::onInstanceChanged(const StoredObject &object)
{
    if (object.deleted)
        m_instances.erase(object.name);
    else
        m_instances[object.name] = peerAddressOf(object);
    applyInstances();
}

void Control::applyInstances()
{
    std::vector<std::string> names;
    for (const auto &[name, address] : m_instances)
        names.push_back(name);
    m_gateway.setInstances(names);
    m_proofs.setInstances(names);
    m_peers.setPeers(m_instances);
    m_gateway.log.write("membership", "instances", {{"count", m_instances.size()}});
}

void Control::onShardMapsListed(const Objects &objects)
{
    for (const StoredObject &object : objects)
        onShardMapChanged(object);
}

void Control::onShardMapChanged(const StoredObject &object)
{
    if (object.deleted)
        return;
    const auto known = m_gateway.shardMaps.find(object.name);
    if (known != m_gateway.shardMaps.end() && known->second.revision >= object.revision)
        return;
    const DutyTimer timer(m_gateway, Duty::FollowMaps);
    m_gateway.metrics.count("shard-map", "read");
    Result<ShardMap> map = decodeShardMap(object.text);
    if (!map) {
        m_gateway.log.write("ownership", "bad-map",
                            {{"object", object.name}, {"error", map.error().text}});
        return;
    }
    m_gateway.apply(std::move(*map), object.revision);
}

} // namespace yuccaspan::gateway

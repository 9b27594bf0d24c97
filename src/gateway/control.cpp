#include "gateway/control.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace yuccaspan::gateway {

namespace {

/// Between two looks at what is due.
constexpr Duration tickEvery = std::chrono::milliseconds(100);
/// Between two looks at the lease.
constexpr Duration leaseTick = std::chrono::milliseconds(200);
/// How long a watch waits for a change; each watch is a priced call.
constexpr Duration watchWait = std::chrono::seconds(15);
/// A desired state is in force everywhere within 2 s of its acknowledgement.
constexpr Duration gatherSettings = std::chrono::milliseconds(100);
/// A leaving target gets nothing after 2 s, and its keys take a part of that to move.
constexpr Duration gatherTargets = std::chrono::milliseconds(100);
/// Each instance makes these calls, so all together make no more where there are many; the bound
/// of 2 s allows no longer pause than the most.
constexpr Duration gatherPerInstance = std::chrono::milliseconds(9);
constexpr Duration mostGather = std::chrono::milliseconds(350);
/// The placer tells its peers of each write; the store is for those that it did not reach.
constexpr Duration gatherMaps = std::chrono::milliseconds(700);
/// The number of instances only divides budgets.
constexpr Duration gatherInstances = std::chrono::milliseconds(1000);
/// Pause after a call to the store that failed.
constexpr Duration storePause = std::chrono::milliseconds(250);
constexpr const char *leaseName = "placer";

OrderOutcome outcomeOf(const CallResult &result)
{
    if (result.end == CallEnd::NotSent)
        return OrderOutcome::NotSent;
    if (result.end != CallEnd::Answered)
        return OrderOutcome::NoAnswer;
    switch (result.response.result()) {
    case http::status::ok:
        return OrderOutcome::Done;
    case http::status::conflict:
        return OrderOutcome::Refused;
    case http::status::misdirected_request:
        return OrderOutcome::WrongTarget;
    default:
        return OrderOutcome::NoAnswer;
    }
}

/// Where an instance listens for its peers; empty if its entry does not say.
std::string peerAddressOf(const StoredObject &object)
{
    const auto entry = nlohmann::json::parse(object.text, nullptr, false);
    return entry.is_object() ? entry.value("peers", std::string()) : std::string();
}

nlohmann::json keysJson(const KeySpan &keys)
{
    return nlohmann::json::array({keys.first, keys.last});
}

} // namespace

Control::Control(Gateway &gateway, std::string start)
    : m_gateway(gateway),
      m_start(std::move(start)),
      m_lease(gateway.options.name, m_start),
      m_peers(gateway, peerHooks())
{ }

PeerLink::Hooks Control::peerHooks()
{
    PeerLink::Hooks hooks;
    hooks.placer = [this] { return m_lease.holder(); };
    hooks.placesHere = [this] { return placing(); };
    hooks.storeAway = [this] { return m_storeAway; };
    hooks.state = [this] { return sharedState(); };
    hooks.settings = [this](const StoredObject &object) { changeSettings(object); };
    hooks.targets = [this](const std::vector<TargetEntry> &entries, std::uint64_t revision) {
        m_revisions[ObjectKind::Targets] = revision;
        takeTargets(entries);
    };
    hooks.evacuated = [this](const std::vector<std::string> &zones, std::uint64_t revision) {
        m_revisions[ObjectKind::Evacuations] = revision;
        m_evacuated = {zones.begin(), zones.end()};
        takeEvacuations();
    };
    return hooks;
}

SharedState Control::sharedState() const
{
    SharedState state;
    const auto revisionOf = [this](ObjectKind kind) {
        const auto found = m_revisions.find(kind);
        return found == m_revisions.end() ? std::uint64_t{0} : found->second;
    };
    state.targetsRevision = revisionOf(ObjectKind::Targets);
    state.evacuationsRevision = revisionOf(ObjectKind::Evacuations);
    state.settings = m_settings;
    state.evacuated = {m_evacuated.begin(), m_evacuated.end()};
    return state;
}

Status Control::start()
{
    static constexpr std::array<Follower, 5> followers{{
        {ObjectKind::Settings, &Control::allSettings, &Control::changeSettings, gatherSettings},
        {ObjectKind::Targets, &Control::allTargets, &Control::changeTarget, gatherTargets},
        {ObjectKind::Evacuations, &Control::allEvacuations, &Control::changeEvacuation,
         gatherSettings},
        {ObjectKind::ShardMaps, &Control::allShardMaps, &Control::changeShardMap, gatherMaps},
        {ObjectKind::Instances, &Control::allInstances, &Control::changeInstance, gatherInstances},
    }};
    for (const Follower &follower : followers)
        asio::co_spawn(m_gateway.loop, follow(follower), asio::detached);
    asio::co_spawn(m_gateway.loop, registerInstance(), asio::detached);
    asio::co_spawn(m_gateway.loop, keepLease(), asio::detached);
    asio::co_spawn(m_gateway.loop, tickLoop(), asio::detached);
    return m_peers.start();
}

asio::awaitable<void> Control::pause(Duration span)
{
    asio::steady_timer timer(m_gateway.loop, span);
    co_await timer.async_wait(asTuple);
}

bool Control::placing() const noexcept
{
    return !m_gateway.stopping && m_lease.held(m_gateway.now());
}

void Control::storeAnswered(bool answered, std::string_view call)
{
    m_gateway.metrics.count(answered ? "store-answered" : "store-failed", call);
    if (!answered)
        m_gateway.directory.storeAway(m_gateway.now());
    if (m_storeAway == !answered)
        return;
    m_storeAway = !answered;
    m_gateway.log.write("store", answered ? "regained" : "lost", {{"call", call}});
    if (answered)
        restartWatches();
}

/// Begins all watches anew. One that waited while the store was away may never be answered.
void Control::restartWatches()
{
    for (auto &[kind, cancel] : std::exchange(m_watchCancels, {})) {
        if (!cancel)
            continue;
        m_watchRestarted[kind] = true;
        cancel();
    }
}

asio::awaitable<bool> Control::listAll(const Follower &follower, std::uint64_t &revision)
{
    const Result<StoredObjects> listed = co_await m_gateway.store.list(follower.kind);
    storeAnswered(listed.hasValue(), "list");
    if (!listed)
        co_return false;
    revision = listed->revision;
    m_revisions[follower.kind] = revision;
    (this->*follower.all)(listed->objects);
    co_return true;
}

asio::awaitable<void> Control::follow(Follower follower)
{
    std::uint64_t revision = 0;
    while (true) {
        if (revision == 0 && !co_await listAll(follower, revision)) {
            co_await pause(storePause);
            continue;
        }
        m_watchRestarted[follower.kind] = false;
        const auto keepCancel = [this, kind = follower.kind](auto cancel) {
            m_watchCancels[kind] = std::move(cancel);
        };
        const Result<StoredObjects> changes =
            co_await m_gateway.store.watch(follower.kind, revision, watchWait, keepCancel);
        if (changes) {
            storeAnswered(true, "watch");
            revision = std::max(revision, changes->revision);
            m_revisions[follower.kind] = revision;
            for (const StoredObject &object : changes->objects)
                (this->*follower.change)(object);
            if (!changes->objects.empty())
                co_await pause(gatherFor(follower));
            continue;
        }
        if (changes.error().code == ErrorCode::LimitExceeded) {
            // The history since our revision is gone; a list shows what became of it.
            revision = 0;
            m_gateway.log.write("store", "history-gone", {{"kind", int(follower.kind)}});
            continue;
        }
        if (m_watchRestarted[follower.kind])
            continue;
        storeAnswered(false, "watch");
        co_await pause(storePause);
    }
}

Duration Control::gatherFor(const Follower &follower) const noexcept
{
    if (follower.kind != ObjectKind::Targets)
        return follower.gather;
    return std::min(mostGather, follower.gather + gatherPerInstance * m_gateway.instances);
}

asio::awaitable<void> Control::registerInstance()
{
    const nlohmann::json entry{{"zone", m_gateway.options.zone},
                               {"start", m_start},
                               {"peers", m_gateway.options.peerAddress}};
    std::uint64_t revision = 0;
    while (!m_gateway.stopping) {
        const WriteResult written = co_await m_gateway.store.put(
            ObjectKind::Instances, m_gateway.options.name, entry.dump(), revision);
        if (written.end == WriteEnd::Stored)
            co_return;
        if (written.end == WriteEnd::Conflict)
            revision = written.object.revision;
        else
            co_await pause(storePause);
    }
}

// --- What the store says ---------------------------------------------------------------------

void Control::allTargets(const Objects &objects)
{
    std::vector<TargetEntry> entries;
    for (const StoredObject &object : objects) {
        if (Result<TargetEntry> entry = m_gateway.codec.target(object))
            entries.push_back(std::move(*entry));
        else
            m_gateway.log.write("membership", "bad-entry",
                                {{"target", object.name}, {"error", entry.error().text}});
    }
    takeTargets(entries);
}

void Control::takeTargets(const std::vector<TargetEntry> &entries)
{
    m_gateway.directory.replaceAll(entries, m_gateway.now());
    m_gateway.targetsKnown = true;
    m_gateway.wakeAll();
    m_gateway.log.write(
        "membership", "listed",
        {{"targets", entries.size()}, {"revision", m_revisions[ObjectKind::Targets]}});
}

void Control::changeTarget(const StoredObject &object)
{
    const TimePoint now = m_gateway.now();
    if (object.deleted) {
        m_gateway.directory.remove(object.name, now);
        m_gateway.log.write("membership", "target-gone",
                            {{"target", object.name}, {"revision", object.revision}});
        m_gateway.wakeAll();
        return;
    }
    const Result<TargetEntry> entry = m_gateway.codec.target(object);
    if (!entry) {
        m_gateway.log.write("membership", "bad-entry",
                            {{"target", object.name}, {"error", entry.error().text}});
        return;
    }
    if (!m_gateway.directory.put(*entry, now))
        return;
    m_gateway.log.write("membership", entry->draining ? "target-drains" : "target-ready",
                        {{"target", entry->id},
                         {"service", entry->service},
                         {"zone", entry->zone},
                         {"address", entry->address},
                         {"incarnation", entry->incarnation},
                         {"revision", object.revision}});
    m_gateway.wakeAll();
}

void Control::allSettings(const Objects &objects)
{
    for (const StoredObject &object : objects)
        changeSettings(object);
}

void Control::changeSettings(const StoredObject &object)
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
    m_gateway.log.write("settings", "in-force",
                        {{"version", state->version},
                         {"before", known},
                         {"routes", state->routes.size()},
                         {"revision", object.revision}});
    m_settings = object;
    m_gateway.apply(std::make_shared<DesiredState>(std::move(*state)));
}

void Control::allEvacuations(const Objects &objects)
{
    m_evacuated.clear();
    for (const StoredObject &object : objects)
        m_evacuated.insert(object.name);
    takeEvacuations();
}

void Control::takeEvacuations()
{
    m_gateway.directory.setEvacuated({m_evacuated.begin(), m_evacuated.end()}, m_gateway.now());
    m_gateway.wakeAll();
}

void Control::changeEvacuation(const StoredObject &object)
{
    if (object.deleted)
        m_evacuated.erase(object.name);
    else
        m_evacuated.insert(object.name);
    m_gateway.log.write("settings", object.deleted ? "zone-in" : "zone-out",
                        {{"zone", object.name}, {"revision", object.revision}});
    takeEvacuations();
}

void Control::allInstances(const Objects &objects)
{
    m_instances.clear();
    for (const StoredObject &object : objects)
        m_instances[object.name] = peerAddressOf(object);
    takeInstances();
}

void Control::changeInstance(const StoredObject &object)
{
    if (object.deleted)
        m_instances.erase(object.name);
    else
        m_instances[object.name] = peerAddressOf(object);
    takeInstances();
}

void Control::takeInstances()
{
    m_gateway.setInstances(static_cast<std::uint32_t>(m_instances.size()));
    m_peers.setPeers(m_instances);
    m_gateway.log.write("membership", "instances", {{"count", m_instances.size()}});
}

void Control::allShardMaps(const Objects &objects)
{
    for (const StoredObject &object : objects)
        changeShardMap(object);
}

void Control::changeShardMap(const StoredObject &object)
{
    if (object.deleted)
        return;
    Result<ShardMap> map = decodeShardMap(object.text);
    if (!map) {
        m_gateway.log.write("ownership", "bad-map",
                            {{"object", object.name}, {"error", map.error().text}});
        return;
    }
    m_gateway.apply(std::move(*map), object.revision);
}

// --- The lease -------------------------------------------------------------------------------

asio::awaitable<void> Control::keepLease()
{
    while (!m_gateway.stopping) {
        switch (m_lease.step(m_gateway.now())) {
        case LeaseStep::Nothing:
            break;
        case LeaseStep::Look:
            co_await look(true);
            break;
        case LeaseStep::Take:
            co_await take();
            break;
        case LeaseStep::Renew:
            co_await renew();
            break;
        }
        if (m_wasPlacing && !placing())
            stepDown("lease ended");
        co_await pause(leaseTick);
    }
}

asio::awaitable<void> Control::look(bool maybeOld)
{
    const Result<StoredObject> found =
        co_await m_gateway.store.get(ObjectKind::Leases, leaseName, maybeOld);
    const bool absent = !found && found.error().code == ErrorCode::NotFound;
    storeAnswered(found.hasValue() || absent, "get");
    if (absent) {
        m_lease.saw(std::nullopt, 0, m_gateway.now());
    } else if (found) {
        const Result<LeaseRecord> record = decodeLease(found->text);
        m_lease.saw(record ? std::optional(*record) : std::nullopt, found->revision,
                    m_gateway.now());
    }
}

asio::awaitable<void> Control::take()
{
    if (!m_gateway.desired || !m_gateway.targetsKnown)
        co_return;
    co_await look(false);
    if (m_lease.step(m_gateway.now()) != LeaseStep::Take)
        co_return;
    const TimePoint sentAt = m_gateway.now();
    const LeaseRecord record = m_lease.next();
    const std::string before = m_lease.holder();
    const WriteResult written = co_await m_gateway.store.put(
        ObjectKind::Leases, leaseName, encodeLease(record), m_lease.revision());
    if (written.end == WriteEnd::Stored) {
        m_lease.stored(record, written.object.revision, sentAt);
        m_wasPlacing = true;
        m_gateway.log.write("placement", "lease-taken",
                            {{"before", before}, {"revision", written.object.revision}});
    } else if (written.end == WriteEnd::Conflict) {
        const Result<LeaseRecord> there = decodeLease(written.object.text);
        m_lease.saw(there ? std::optional(*there) : std::nullopt, written.object.revision,
                    m_gateway.now());
    }
}

asio::awaitable<void> Control::renew()
{
    const TimePoint sentAt = m_gateway.now();
    const LeaseRecord record = m_lease.next();
    if (std::exchange(m_renewal, record.renewal) != record.renewal)
        m_renewalSince = sentAt;
    const WriteResult written = co_await m_gateway.store.put(
        ObjectKind::Leases, leaseName, encodeLease(record), m_lease.revision());
    storeAnswered(written.end == WriteEnd::Stored || written.end == WriteEnd::Conflict, "renew");
    if (written.end == WriteEnd::Stored) {
        m_lease.stored(record, written.object.revision, sentAt);
        co_return;
    }
    if (written.end != WriteEnd::Conflict)
        co_return;
    const Result<LeaseRecord> there = decodeLease(written.object.text);
    if (there && m_lease.ours(*there)) {
        // An earlier try of this renewal took effect, whose answer was lost.
        m_lease.stored(*there, written.object.revision, m_renewalSince);
        co_return;
    }
    m_lease.drop();
    m_lease.saw(there ? std::optional(*there) : std::nullopt, written.object.revision,
                m_gateway.now());
    stepDown("another instance places");
}

void Control::stepDown(std::string_view why)
{
    m_wasPlacing = false;
    m_lease.drop();
    m_placing.clear();
    m_gateway.log.write("placement", "lease-lost", {{"why", why}});
}

asio::awaitable<void> Control::leave()
{
    if (m_lease.held(m_gateway.now())) {
        LeaseRecord record = m_lease.next();
        record.holder.clear();
        m_placing.clear();
        co_await m_gateway.store.put(ObjectKind::Leases, leaseName, encodeLease(record),
                                     m_lease.revision());
        stepDown("instance stops");
    }
}

// --- Placing ---------------------------------------------------------------------------------

double Control::slowness(const Target &target) const
{
    const auto found = m_gateway.slowness.find(target.entry.id);
    return found == m_gateway.slowness.end() ? 1.0 : found->second;
}

asio::awaitable<void> Control::tickLoop()
{
    while (true) {
        const TimePoint now = m_gateway.now();
        if (m_gateway.directory.tick(now))
            m_gateway.wakeAll();
        m_gateway.forgetTargets();
        if (placing() && m_gateway.desired) {
            for (const auto &[name, service] : m_gateway.desired->services) {
                if (!service.keyed)
                    continue;
                Placing &placing = m_placing[name];
                if (placing.placer)
                    place(name, placing);
                else if (!std::exchange(placing.loading, true))
                    asio::co_spawn(m_gateway.loop, adopt(name), asio::detached);
            }
        }
        co_await pause(tickEvery);
    }
}

asio::awaitable<void> Control::adopt(std::string service)
{
    const Result<StoredObject> found =
        co_await m_gateway.store.get(ObjectKind::ShardMaps, service, false);
    const auto at = m_placing.find(service);
    if (at == m_placing.end())
        co_return;
    Placing &placing = at->second;
    placing.loading = false;
    const bool absent = !found && found.error().code == ErrorCode::NotFound;
    if (!found && !absent)
        co_return;
    std::optional<ShardMap> stored;
    if (found) {
        Result<ShardMap> map = decodeShardMap(found->text);
        if (!map) {
            m_gateway.log.write("placement", "bad-map", {{"error", map.error().text}});
            co_return;
        }
        stored = std::move(*map);
    }
    PlacerTiming timing;
    timing.hold = std::min(timing.hold, m_gateway.options.holdMost);
    placing.revision = found ? found->revision : 0;
    placing.placer = ShardPlacer::create(service, m_gateway.options.name + "/" + m_start, timing);
    placing.placer->adopt(stored, m_gateway.now());
    m_gateway.log.write("placement", "adopted",
                        {{"service", service},
                         {"revision", placing.revision},
                         {"ranges", stored ? stored->ranges.size() : 0}});
    place(service, placing);
}

void Control::place(const std::string &service, Placing &placing)
{
    const LiveService &live = m_gateway.liveService(service);
    if (live.load == nullptr || !this->placing())
        return;
    const PlacementView view{m_gateway.directory, *live.load,
                             [this](const Target &target) { return slowness(target); }};
    PlacerOutput out = placing.placer->tick(view, m_gateway.now());
    for (PlacementNote &note : out.notes) {
        m_gateway.metrics.count("move", note.reason);
        m_gateway.log.write("placement", note.event,
                            {{"service", service},
                             {"keys", keysJson(note.keys)},
                             {"from", note.from},
                             {"to", note.to},
                             {"fence", note.fence},
                             {"directory", m_gateway.directory.version()},
                             {"reason", note.reason}});
    }
    for (ShardOrder &order : out.orders)
        asio::co_spawn(m_gateway.loop, carryOut(service, std::move(order)), asio::detached);
    if (out.write)
        asio::co_spawn(m_gateway.loop, store(service, std::move(*out.write)), asio::detached);
}

asio::awaitable<void> Control::store(std::string service, ShardMap map)
{
    const std::string text = encodeShardMap(map);
    while (placing()) {
        const auto at = m_placing.find(service);
        if (at == m_placing.end() || !at->second.placer)
            co_return;
        const std::uint64_t before = at->second.revision;
        const WriteResult written =
            co_await m_gateway.store.put(ObjectKind::ShardMaps, service, text, before);
        const auto after = m_placing.find(service);
        if (after == m_placing.end() || !after->second.placer)
            co_return;
        bool stored = written.end == WriteEnd::Stored;
        if (written.end == WriteEnd::Conflict) {
            const Result<ShardMap> there = decodeShardMap(written.object.text);
            stored = there && there->placer == map.placer && there->write == map.write;
            if (!stored) {
                stepDown("another instance wrote the shard map");
                co_return;
            }
        }
        if (stored) {
            after->second.revision = written.object.revision;
            after->second.placer->writeDone(m_gateway.now());
            const auto known = m_gateway.shardMaps.find(service);
            const ShardMap before =
                known == m_gateway.shardMaps.end() ? ShardMap{} : known->second.map;
            m_peers.tellPeers(shardDelta(before, map, written.object.revision));
            m_gateway.apply(map, written.object.revision);
            place(service, after->second);
            co_return;
        }
        co_await pause(storePause);
    }
}

asio::awaitable<void> Control::carryOut(std::string service, ShardOrder order)
{
    const Target *target = m_gateway.directory.find(order.holder.target);
    OrderOutcome outcome = OrderOutcome::NotSent;
    std::string handover;
    const TimePoint sentAt = m_gateway.now();
    if (target != nullptr && placing() && sentAt < order.sendBefore) {
        const std::shared_ptr<LiveTarget> live = m_gateway.liveTarget(*target);
        CallOptions options;
        options.connectTimeout = order.sendBefore - sentAt;
        options.timeout = order.answerWithin;
        const CallResult result =
            co_await live->orders->call(m_gateway.protocol.order(order), std::move(options));
        outcome = outcomeOf(result);
        if (outcome == OrderOutcome::Done && order.kind == OrderKind::Release)
            handover = m_gateway.protocol.handover(result.response);
    }
    m_gateway.metrics.count(toString(order.kind), toString(outcome));
    const bool noteworthy = order.kind == OrderKind::Release || outcome != OrderOutcome::Done
        || !order.handover.empty();
    if (noteworthy) {
        using Milliseconds = std::chrono::duration<double, std::milli>;
        m_gateway.log.write("placement", toString(order.kind),
                            {{"service", service},
                             {"keys", keysJson(order.keys)},
                             {"target", order.holder.target},
                             {"fence", order.holder.fence},
                             {"tookMs", Milliseconds(m_gateway.now() - sentAt).count()},
                             {"outcome", toString(outcome)}});
    }
    const auto at = m_placing.find(service);
    if (at == m_placing.end() || !at->second.placer)
        co_return;
    at->second.placer->orderDone(order.id, outcome, handover, m_gateway.now());
    if (noteworthy)
        place(service, at->second);
}

} // namespace yuccaspan::gateway

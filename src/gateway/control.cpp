#include "gateway/control.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace yuccaspan::gateway {

namespace {

/// Maximum time that a watch waits for a change; each watch counts as a paid call. A longer one
/// could outlast the history that the store keeps, and end with a list.
constexpr Duration watchWait = std::chrono::seconds(17);
/// A desired state is in force everywhere within 2 s of its acknowledgement.
constexpr Duration settingsBatchDelay = std::chrono::milliseconds(100);
/// The placer must see changes quickly: moving the keys of a leaving target takes up part of the
/// time bound, and the placer sends new owners to the other instances.
constexpr Duration targetsBatchDelay = std::chrono::milliseconds(100);
/// Limits all other instances together to 30 calls per second while targets change constantly,
/// within a fraction of the bound for sending to a leaving target.
constexpr Duration batchDelayPerInstance = std::chrono::microseconds(33300);
constexpr double maxDrainFraction = 0.4;
/// The placer sends each write to its peers; the store is read in case a message was lost.
constexpr Duration mapsBatchDelay = std::chrono::milliseconds(1500);
/// Maximum time between reads of the maps while the placer sends changes.
constexpr Duration maxMapReadInterval = std::chrono::milliseconds(4500);
/// Interval of checks whether the map seems to be stale and must be read now.
constexpr Duration staleMapCheckInterval = std::chrono::milliseconds(500);
/// Not urgent: the number of instances only divides budgets.
constexpr Duration instancesBatchDelay = std::chrono::milliseconds(1000);
/// Exceeds every bound that counts from a change; nothing depends on how much older one is.
constexpr Duration maxChangeAge = std::chrono::seconds(30);

std::map<ObjectKind, Duration> proofLimits(const GatewayOptions &options)
{
    return {{ObjectKind::Targets, options.drainWithin - sendStopMargin},
            {ObjectKind::Evacuations, options.evacuateWithin - sendStopMargin},
            {ObjectKind::Settings, options.applyWithin}};
}

} // namespace

Control::Control(Gateway &gateway, std::string start)
    : m_gateway(gateway),
      m_start(std::move(start)),
      m_lease(gateway.options.name, m_start),
      m_proofs(gateway.options.name, proofLimits(gateway.options)),
      m_peers(gateway, peerHooks())
{ }

PeerLink::Hooks Control::peerHooks()
{
    PeerLink::Hooks hooks;
    hooks.placer = [this] { return m_lease.holder(); };
    hooks.isPlacer = [this] { return placing(); };
    hooks.storeUnavailable = [this] { return m_storeUnavailable; };
    hooks.state = [this] { return sharedState(); };
    hooks.settings = [this](const StoredObject &object) {
        dateChanges(m_gateway.evidence.changedSince(ObjectKind::Settings, object.revision));
        m_changeOrigin = ChangeOrigin::PeerState;
        onSettingsChanged(object);
    };
    hooks.targets = [this](const std::vector<TargetEntry> &entries, StoreRevision revision) {
        if (!acceptFromPeer(ObjectKind::Targets, revision))
            return;
        applyTargets(entries);
    };
    hooks.evacuated = [this](const std::vector<std::string> &zones, StoreRevision revision) {
        if (!acceptFromPeer(ObjectKind::Evacuations, revision))
            return;
        setListedEvacuations({zones.begin(), zones.end()});
    };
    hooks.mark = [this](const MarkQuestion &question) { return answerMark(question); };
    hooks.takeMark = [this](const MarkAnswer &answer) { takeMark(answer); };
    hooks.proofPeers = [this] { return proofPeers(); };
    hooks.markQuestion = [this] { return markQuestion(); };
    hooks.lacksSettings = [this] { return lacksSettings(); };
    hooks.settingsUpTo = [this] { return m_gateway.evidence.upTo(ObjectKind::Settings); };
    hooks.settingsAfter = [this](StoreRevision upTo) { return settingsAfter(upTo); };
    hooks.takeSettings = [this](const SettingsUpdate &update) { takeSettings(update); };
    return hooks;
}

/// Whether a peer's list of a kind is newer than what is known. If so, the kind is listed before it
/// is watched again: a watch from the revision that was read before would bring changes that are
/// older than the peer's list.
bool Control::acceptFromPeer(ObjectKind kind, StoreRevision revision)
{
    if (!takeEra(revision.era))
        return false;
    if (revision <= m_revisions[kind])
        return false;
    dateChanges(m_gateway.evidence.provenAt(kind));
    m_changeOrigin = ChangeOrigin::PeerState;
    m_revisions[kind] = revision;
    m_gateway.evidence.listed(kind, revision, {});
    m_relist.insert(kind);
    return true;
}

SharedState Control::sharedState() const
{
    SharedState state;
    const auto revisionOf = [this](ObjectKind kind) {
        const auto found = m_revisions.find(kind);
        return found == m_revisions.end() ? StoreRevision{} : found->second;
    };
    state.targetsRevision = revisionOf(ObjectKind::Targets);
    state.evacuationsRevision = revisionOf(ObjectKind::Evacuations);
    state.settings = m_settings;
    state.evacuated = {m_evacuated.begin(), m_evacuated.end()};
    return state;
}

const Control::Follower &Control::followerOf(ObjectKind kind)
{
    static constexpr std::array<Follower, 5> followers{{
        {ObjectKind::Settings, &Control::onSettingsListed, &Control::onSettingsChanged,
         settingsBatchDelay},
        {ObjectKind::Targets, &Control::onTargetsListed, &Control::onTargetChanged,
         targetsBatchDelay},
        {ObjectKind::Evacuations, &Control::onEvacuationsListed, &Control::onEvacuationChanged,
         settingsBatchDelay},
        {ObjectKind::ShardMaps, &Control::onShardMapsListed, &Control::onShardMapChanged,
         mapsBatchDelay},
        {ObjectKind::Instances, &Control::onInstancesListed, &Control::onInstanceChanged,
         instancesBatchDelay},
    }};
    return *std::ranges::find(followers, kind, &Follower::kind);
}

Status Control::start()
{
    for (const ObjectKind kind : followedKinds)
        asio::co_spawn(m_gateway.loop, follow(followerOf(kind)), asio::detached);
    asio::co_spawn(m_gateway.loop, registerInstance(), asio::detached);
    asio::co_spawn(m_gateway.loop, keepLease(), asio::detached);
    asio::co_spawn(m_gateway.loop, tickLoop(), asio::detached);
    asio::co_spawn(m_gateway.loop, renewProofs(), asio::detached);
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

void Control::recordStoreCall(bool answered, std::string_view call)
{
    m_gateway.metrics.count(answered ? "store-answered" : "store-failed", call);
    if (!answered)
        m_gateway.directory.storeUnavailable(m_gateway.now());
    if (m_storeUnavailable == !answered)
        return;
    m_storeUnavailable = !answered;
    m_gateway.log.write("store", answered ? "regained" : "lost", {{"call", call}});
    if (!answered)
        m_proofs.storeFailed(m_gateway.evidence, m_gateway.now());
    if (answered)
        restartWatches();
}

/// Restarts all watches. One that was pending while the store was unavailable may never be
/// answered.
void Control::restartWatches()
{
    for (auto &[kind, cancel] : std::exchange(m_watchCancels, {})) {
        if (!cancel)
            continue;
        m_watchRestarted[kind] = true;
        cancel();
    }
}

/// Reads the lease at the moment at which a watch is sent.
///
/// A store that does not take in the watch does not answer the read either, and a failed read leads
/// to a restart of the watches. Without it, an outage between two other calls would go unnoticed
/// and the watch be awaited in vain. The read replaces the next regular one of an instance without
/// the lease.
void Control::checkWatchWasReceived()
{
    // Watches restart anyway with the next answer.
    if (m_storeUnavailable || std::exchange(m_watchCheckQueued, true))
        return;
    asio::post(m_gateway.loop, [this] {
        m_watchCheckQueued = false;
        asio::co_spawn(m_gateway.loop, readUntilAnswered(), asio::detached);
    });
}

/// Reads the lease, again and again if the store does not answer.
asio::awaitable<void> Control::readUntilAnswered()
{
    bool answered = co_await readLease(true);
    if (answered || m_awaitingStore)
        co_return;
    m_awaitingStore = true;
    while (!answered) {
        co_await pause(storePause);
        answered = co_await readLease(true);
    }
    m_awaitingStore = false;
}

/// Logs that objects were left out because they can't be read. Others may write such entries.
void Control::logUnreadable(ObjectKind kind, std::size_t count)
{
    if (count == 0)
        return;
    m_gateway.log.write("store", "unreadable", {{"kind", int(kind)}, {"objects", count}});
}

/// Logs a change with its origin, and how long ago it can have taken effect at the earliest.
void Control::logChange(std::string_view part, std::string_view event, nlohmann::json fields)
{
    const Duration age = m_gateway.now() - m_changedSince;
    fields["origin"] = toString(m_changeOrigin);
    fields["sinceMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    m_gateway.metrics.changeAge(toString(m_changeOrigin), age);
    m_gateway.log.write(part, event, std::move(fields));
}

/// Sets the earliest time at which the changes that are applied next can have taken effect.
void Control::dateChanges(TimePoint since)
{
    const TimePoint now = m_gateway.now();
    m_changedSince = std::clamp(since, now - maxChangeAge, now);
}

asio::awaitable<bool> Control::listAll(const Follower &follower, StoreRevision &revision)
{
    const TimePoint askedAt = m_gateway.now();
    Result<StoredObjects> listed = co_await m_gateway.store.list(follower.kind);
    recordStoreCall(listed.hasValue(), "list");
    if (!listed) {
        m_proofs.storeFailed(m_gateway.evidence, m_gateway.now());
        co_return false;
    }
    const std::optional<std::uint64_t> eraBefore = m_era;
    if (!takeEra(listed->revision.era))
        co_return false;
    if (eraBefore != m_era)
        m_relist.erase(follower.kind);
    logUnreadable(follower.kind, listed->unreadable);
    revision = listed->revision;
    m_changeOrigin = ChangeOrigin::StoreList;
    applyList(follower, std::move(*listed), askedAt);
    // A store from a copy may lack the newest settings until the operator has written them again.
    if (follower.kind == ObjectKind::Settings && !inEraGrace())
        m_gateway.keyFreshness.currentAsOf(askedAt);
    co_return true;
}

asio::awaitable<void> Control::follow(Follower follower)
{
    StoreRevision revision;
    bool mapsChange = false;
    while (true) {
        if (m_relist.contains(follower.kind)) {
            if (m_gateway.now() < m_eraListsFrom)
                co_await pause(m_eraListsFrom - m_gateway.now());
            m_relist.erase(follower.kind);
            revision = {};
        }
        if (!revision.known() && !co_await listAll(follower, revision)) {
            co_await pause(storePause);
            continue;
        }
        if (mapsChange) {
            mapsChange = co_await batchMapChanges(0);
            revision = mapsChange ? StoreRevision{} : revision;
            continue;
        }
        m_watchRestarted[follower.kind] = false;
        const auto keepCancel = [this, kind = follower.kind](auto cancel) {
            const bool beingSent = bool(cancel);
            m_watchCancels[kind] = std::move(cancel);
            if (beingSent)
                checkWatchWasReceived();
        };
        const TimePoint askedAt = m_gateway.now();
        const Duration wait = follower.kind == ObjectKind::Settings
            ? m_gateway.keyFreshness.watchWait(watchWait)
            : watchWait;
        Result<StoredObjects> changes =
            co_await m_gateway.store.watch(follower.kind, revision, wait, keepCancel);
        if (changes) {
            recordStoreCall(true, "watch");
            // The changes since a revision of another era aren't those since the last answer.
            if (!takeEra(changes->revision.era) || changes->revision.era != revision.era) {
                revision = {};
                continue;
            }
            if (m_relist.contains(follower.kind))
                continue;
            logUnreadable(follower.kind, changes->unreadable);
            m_changeOrigin = changes->knownAt ? ChangeOrigin::PeerNews : ChangeOrigin::StoreWatch;
            const StoreRevision asked = revision;
            revision = std::max(revision, changes->revision);
            m_revisions[follower.kind] = std::max(m_revisions[follower.kind], revision);
            if (follower.kind == ObjectKind::ShardMaps) {
                // Each event holds a whole map. Once the newest is applied, the others are skipped.
                std::ranges::reverse(changes->objects);
            }
            applyChanges(follower, *changes, asked);
            const Duration waited = changes->objects.empty() ? wait : Duration::zero();
            const TimePoint asOf = KeyFreshness::answeredAsOf(askedAt, waited, m_gateway.now());
            const bool complete = !changes->mayHaveMore && !inEraGrace();
            if (follower.kind == ObjectKind::Settings && complete)
                m_gateway.keyFreshness.currentAsOf(asOf);
            recordAnswer(follower.kind, AnswerForm::Changes, *changes, asOf);
            // With changes, the revision may be that of the last one.
            if (!changes->knownAt && changes->objects.empty())
                m_gateway.evidence.observed(changes->revision, asOf);
            if (follower.kind == ObjectKind::Targets && !m_returning.empty())
                applyEvacuations();
            if (changes->objects.empty())
                continue;
            if (follower.kind != ObjectKind::ShardMaps) {
                if (!changes->mayHaveMore)
                    co_await batchChanges(follower);
            } else if (mapsChange = co_await batchMapChanges(changes->objects.size()); mapsChange) {
                revision = {};
            }
            continue;
        }
        if (changes.error().code == ErrorCode::LimitExceeded) {
            // The store no longer has the history since our revision; list the objects instead.
            revision = {};
            m_gateway.log.write("store", "history-gone", {{"kind", int(follower.kind)}});
            continue;
        }
        if (m_watchRestarted[follower.kind])
            continue;
        recordStoreCall(false, "watch");
        co_await pause(storePause);
    }
}

/// Waits to batch changes.
asio::awaitable<void> Control::batchChanges(const Follower &follower)
{
    co_await pause(batchDelayFor(follower));
}

/// Revision of the newest known shard map, from the store or from the placer.
StoreRevision Control::newestMap() const noexcept
{
    StoreRevision newest;
    for (const auto &[service, map] : m_gateway.shardMaps)
        newest = std::max(newest, map.revision);
    return newest;
}

/// Waits to batch changes of shard maps. While the placer sends each write, the store is read
/// rarely; a map that seems to be stale is read soon.
/// \returns Whether to list the maps instead of watching: a watch returns the whole map once per
/// write since, 2 MB in 1.5 s when many keys move, on links of 10 Mbit/s.
asio::awaitable<bool> Control::batchMapChanges(std::size_t changes)
{
    const StoreRevision read = newestMap();
    const TimePoint latest = m_gateway.now() + maxMapReadInterval;
    StoreRevision before;
    m_gateway.shardMapsStale = false;
    do {
        before = newestMap();
        const TimePoint end = m_gateway.now() + mapsBatchDelay;
        while (m_gateway.now() < end) {
            co_await pause(staleMapCheckInterval);
            if (m_gateway.shardMapsStale)
                co_return true;
        }
    } while (newestMap() != before && m_gateway.now() < latest);
    co_return !m_gateway.store.fromPeers() && (changes > 1 || newestMap() != read);
}

Duration Control::batchDelayFor(const Follower &follower) const noexcept
{
    if (follower.kind != ObjectKind::Targets || placing())
        return follower.batchDelay;
    const auto maxDelay =
        std::chrono::duration_cast<Duration>(m_gateway.options.drainWithin * maxDrainFraction);
    // The answer is read later by the lag of the event loop.
    return std::clamp(batchDelayPerInstance * m_gateway.store.followers(m_gateway.share.instances)
                          - m_gateway.loopWatch.lag(),
                      follower.batchDelay, maxDelay);
}

asio::awaitable<void> Control::registerInstance()
{
    const nlohmann::json entry{{"zone", m_gateway.options.zone},
                               {"start", m_start},
                               {"peers", m_gateway.options.peerAddress}};
    StoreRevision revision;
    std::optional<std::uint64_t> era = m_era;
    // A new era starts another registration.
    while (!m_gateway.stopping && (!era || era == m_era)) {
        era = m_era;
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

} // namespace yuccaspan::gateway

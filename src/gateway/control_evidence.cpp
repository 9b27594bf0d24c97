// Checks that changes of the store arrive.

#include "gateway/control.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace yuccaspan::gateway {

namespace {

/// Interval of decisions on proofs.
constexpr Duration decisionInterval = std::chrono::milliseconds(100);
/// A slow store answers in 0.3 s.
constexpr Duration checkTimeout = std::chrono::milliseconds(400);
/// Interval of questions to the placer.
constexpr Duration placerInterval = std::chrono::milliseconds(500);
/// Changes in one answer to a question for proofs, about 30 kB.
constexpr std::size_t maxMarkChanges = 100;
/// Usual time until settings that another instance has arrive here.
constexpr Duration settingsArrivalTime = std::chrono::milliseconds(200);
/// Maximum delay of an instance's list of what is overdue, so that not all come at once.
constexpr Duration maxCatchUpDelay = std::chrono::milliseconds(300);
constexpr Duration catchUpDelayPerInstance = std::chrono::microseconds(2500);

} // namespace

bool Control::isChecked(ObjectKind kind) noexcept
{
    return std::ranges::find(checkedKinds, kind) != checkedKinds.end();
}

/// Records what an answer proves, once its changes are in force: all changes up to `asOf`, if it
/// comes from the store. Changes of the other kinds may take longer to arrive.
void Control::recordAnswer(ObjectKind kind, AnswerForm form, const StoredObjects &answer,
                           TimePoint asOf)
{
    if (!isChecked(kind))
        return;
    StoreRevision lastChange;
    for (const StoredObject &object : answer.objects)
        lastChange = std::max(lastChange, object.revision);
    if (form == AnswerForm::List) {
        m_gateway.evidence.listed(kind, answer.revision, lastChange);
    } else {
        // A deletion may carry the last revision of the deleted object.
        if (const auto known = m_known.find(kind); known != m_known.end())
            lastChange = std::max(lastChange, known->second.lastChange());
        m_gateway.evidence.applied(kind, answer.revision, lastChange);
    }
    // A store from a copy may lack changes until they have been written again.
    const bool fromStore = form != AnswerForm::ChangesOfPeer && !answer.knownAt;
    if (fromStore && !answer.mayHaveMore && !inEraGrace())
        m_gateway.evidence.proven(kind, asOf);
    updateProofs();
}

/// Checks the store before proofs run out. A pending watch that hears nothing looks like one
/// without changes, also while the store answers other calls; a call that has to be answered at
/// once shows the difference.
asio::awaitable<void> Control::renewProofs()
{
    while (true) {
        co_await pause(decisionInterval);
        updateProofs();
        if (m_gateway.stopping || inEraGrace() || !m_gateway.informed())
            continue;
        const auto kind = m_proofs.checkDue(m_gateway.evidence, placing(), m_gateway.now());
        if (kind && !m_relist.contains(*kind))
            co_await checkKind(*kind);
    }
}

/// Follows from the proofs whether the store counts as away, and wakes requests that wait for one.
void Control::updateProofs()
{
    const TimePoint now = m_gateway.now();
    m_gateway.storeAway = inEraGrace() || m_proofs.storeAway(m_gateway.evidence, now);
    if (m_gateway.storeAway)
        m_gateway.directory.storeAway(now);
    m_gateway.settingsUnprovable =
        inEraGrace() || m_proofs.unprovable(ObjectKind::Settings, m_gateway.evidence, now);
    if (!m_gateway.proofAwaited || now >= m_gateway.provenSendLimit())
        return;
    m_gateway.proofAwaited = false;
    m_gateway.wakeAll();
}

asio::awaitable<void> Control::checkKind(ObjectKind kind)
{
    const StoreRevision from = m_revisions[kind];
    const TimePoint sentAt = m_gateway.now();
    m_proofs.checking(sentAt);
    const Duration age = sentAt - m_gateway.evidence.provenAt(kind);
    const Result<StoredObjects> changes =
        co_await m_gateway.store.changes(kind, from, checkTimeout);
    // The placer's are too many, and all alike.
    if (!placing()) {
        m_gateway.log.write(
            "store", "proof-check",
            {{"kind", toString(kind)},
             {"deputy", m_proofs.isDeputy()},
             {"ageMs", std::chrono::duration_cast<std::chrono::milliseconds>(age).count()},
             {"answered", changes.hasValue()}});
    }
    if (!changes && changes.error().code == ErrorCode::LimitExceeded) {
        m_proofs.storeAnswered();
        relist(kind);
        co_return;
    }
    if (!changes) {
        const bool silent = changes.error().code == ErrorCode::Timeout;
        m_gateway.metrics.count("store-check", silent ? "silent" : "refused");
        if (silent)
            co_await listSilentKind(kind);
        else
            m_proofs.storeFailed(m_gateway.evidence, m_gateway.now());
        co_return;
    }
    m_proofs.storeAnswered();
    if (!takeEra(changes->revision.era) || changes->revision.era != from.era)
        co_return;
    m_gateway.metrics.count("store-check", changes->objects.empty() ? "current" : "changes");
    for (const StoredObject &object : changes->objects)
        m_gateway.evidence.told(kind, object.revision, m_gateway.now());
    if (changes->revision < m_revisions[kind])
        co_return;
    m_changeOrigin = ChangeOrigin::ProofAnswer;
    m_revisions[kind] = changes->revision;
    applyChanges(followerOf(kind), *changes, from);
    recordAnswer(kind, AnswerForm::Changes, *changes, sentAt);
    if (changes->objects.empty())
        m_gateway.evidence.observed(changes->revision, sentAt);
}

/// Lists a kind whose changes the store doesn't answer, or takes the store for unavailable.
asio::awaitable<void> Control::listSilentKind(ObjectKind kind)
{
    m_gateway.log.write("store", "watch-silent", {{"kind", toString(kind)}});
    if (!m_gateway.store.fromPeers()) {
        // The other watches may be silent as well.
        m_proofs.storeFailed(m_gateway.evidence, m_gateway.now());
        for (const ObjectKind unheard : checkedKinds)
            relist(unheard);
        co_return;
    }
    // Not in place of the peers' news, which go on if the store turns only this instance away.
    const TimePoint askedAt = m_gateway.now();
    Result<StoredObjects> listed = co_await m_gateway.store.list(kind);
    if (!listed) {
        m_proofs.storeFailed(m_gateway.evidence, m_gateway.now());
        co_return;
    }
    m_proofs.storeAnswered();
    if (!takeEra(listed->revision.era))
        co_return;
    m_changeOrigin = ChangeOrigin::ProofAnswer;
    applyList(followerOf(kind), std::move(*listed), askedAt);
}

/// Instances to ask for proofs now: the placer regularly, and more often while a change lacks;
/// others if that doesn't suffice.
std::vector<std::string> Control::proofPeers()
{
    const TimePoint now = m_gateway.now();
    std::vector<std::string> peers = m_proofs.peersToAsk(m_gateway.evidence, now);
    if (placing())
        return peers;
    const std::string &placer = m_lease.holder();
    const bool urgent = m_proofs.isDeputy() || !markQuestion().lacks.empty()
        || m_gateway.evidence.behind(ObjectKind::Settings);
    if (urgent || now - m_placerAskedAt >= placerInterval) {
        m_placerAskedAt = now;
        if (!placer.empty() && placer != m_gateway.options.name
            && std::ranges::find(peers, placer) == peers.end())
            peers.push_back(placer);
    }
    return peers;
}

MarkQuestion Control::markQuestion() const
{
    MarkQuestion question{m_gateway.now(), {}};
    for (const auto &[kind, known] : m_known) {
        // Settings may not fit into a datagram; they are fetched.
        if (kind != ObjectKind::Settings && m_gateway.evidence.behind(kind))
            question.lacks[kind] = known.newest();
    }
    return question;
}

MarkAnswer Control::answerMark(const MarkQuestion &question) const
{
    MarkAnswer answer{question.askedAt, m_gateway.evidence.mark(m_gateway.now()), {}};
    for (const auto &[kind, from] : question.lacks) {
        const auto known = m_known.find(kind);
        if (known != m_known.end() && known->second.covers(from) && from < known->second.newest())
            answer.changes.emplace(kind, known->second.changesAfter(from, maxMarkChanges));
    }
    return answer;
}

void Control::takeMark(const MarkAnswer &answer)
{
    // First, as the changes are dated by them.
    for (const auto &[revision, age] : answer.mark.revisions)
        m_gateway.evidence.observed(revision, answer.askedAt - age);
    for (const auto &[kind, changes] : answer.changes)
        takeChanges(kind, changes);
    m_gateway.evidence.take(answer.mark, answer.askedAt, m_gateway.now());
    updateProofs();
}

/// Puts changes from another instance in force.
void Control::takeChanges(ObjectKind kind, const StoredObjects &changes)
{
    const auto known = m_known.find(kind);
    if (known == m_known.end() || !takeEra(changes.revision.era) || inEraGrace()
        || changes.revision <= m_revisions[kind])
        return;
    m_gateway.metrics.count("store-mark", "changes");
    m_changeOrigin = ChangeOrigin::ProofAnswer;
    m_revisions[kind] = changes.revision;
    applyChanges(followerOf(kind), changes, known->second.newest());
    recordAnswer(kind, AnswerForm::ChangesOfPeer, changes, {});
}

/// Whether newer settings have not arrived by the usual way in its time.
bool Control::lacksSettings() const
{
    const auto since = m_gateway.evidence.behindSince(ObjectKind::Settings);
    return since && m_gateway.now() - *since >= settingsArrivalTime;
}

std::optional<SettingsUpdate> Control::settingsAfter(StoreRevision upTo) const
{
    const auto known = m_known.find(ObjectKind::Settings);
    if (known == m_known.end() || known->second.newest() <= upTo)
        return std::nullopt;
    constexpr std::size_t all = std::numeric_limits<std::size_t>::max();
    if (known->second.covers(upTo))
        return SettingsUpdate{known->second.changesAfter(upTo, all), false};
    return SettingsUpdate{known->second.all(all), true};
}

/// Puts settings from another instance in force.
void Control::takeSettings(const SettingsUpdate &update)
{
    constexpr ObjectKind kind = ObjectKind::Settings;
    if (!update.whole) {
        takeChanges(kind, update.objects);
        return;
    }
    if (!takeEra(update.objects.revision.era) || inEraGrace()
        || update.objects.revision <= m_revisions[kind])
        return;
    m_changeOrigin = ChangeOrigin::ProofAnswer;
    StoredObjects list = update.objects;
    list.knownAt = TimePoint{};
    applyList(followerOf(kind), std::move(list), {});
}

/// Lists the kinds of which a known change has not arrived. An instance that hears from peers
/// leaves that to them: many would list at the same time, and lose their source where the store is
/// away.
void Control::catchUp()
{
    if (m_storeUnavailable || m_gateway.store.fromPeers())
        return;
    const Duration most =
        std::min(maxCatchUpDelay, catchUpDelayPerInstance * m_gateway.share.instances);
    for (const ObjectKind kind :
         m_gateway.evidence.overdue(m_gateway.now() - delayOfInstance(most))) {
        m_gateway.metrics.count("store-behind", toString(kind));
        m_gateway.log.write("store", "behind",
                            {{"kind", toString(kind)},
                             {"revision", revisionJson(m_revisions[kind])},
                             {"fromPeers", m_gateway.store.fromPeers()}});
        relist(kind);
    }
}

} // namespace yuccaspan::gateway

// Checks that changes of the store arrive.

#include "gateway/control.hpp"

#include <algorithm>
#include <array>

namespace yuccaspan::gateway {

namespace {

/// Kinds that callers depend on within seconds.
constexpr std::array checkedKinds{ObjectKind::Settings, ObjectKind::Targets,
                                  ObjectKind::Evacuations};
/// Pause between two checks; each kind is checked in turn, and each check counts as a paid call.
constexpr Duration checkInterval = std::chrono::milliseconds(333);
/// A slow store answers in 0.3 s.
constexpr Duration checkTimeout = std::chrono::milliseconds(400);
/// Time without a proof from the placer after which an instance that follows the store checks for
/// itself. Another instance takes the lease within it if the placer is lost.
constexpr Duration ownCheckFrom = std::chrono::milliseconds(4000);
/// Maximum delay of an instance's list of what is overdue, so that not all come at once.
constexpr Duration maxCatchUpDelay = std::chrono::milliseconds(300);
constexpr Duration catchUpDelayPerInstance = std::chrono::microseconds(2500);

} // namespace

/// Records what an answer proves, once its changes are in force: all changes up to `asOf`, if it
/// comes from the store. Changes of the other kinds may take longer to arrive.
void Control::recordAnswer(ObjectKind kind, AnswerForm form, const StoredObjects &answer,
                           TimePoint asOf)
{
    if (std::ranges::find(checkedKinds, kind) == checkedKinds.end())
        return;
    StoreRevision lastChange;
    for (const StoredObject &object : answer.objects)
        lastChange = std::max(lastChange, object.revision);
    if (form == AnswerForm::List)
        m_gateway.evidence.listed(kind, answer.revision, lastChange);
    else
        m_gateway.evidence.applied(kind, answer.revision, lastChange);
    // A store from a copy may lack changes until they have been written again.
    const bool fromStore = !answer.knownAt && !answer.mayHaveMore && !inEraGrace();
    if (fromStore)
        m_gateway.evidence.proven(kind, asOf);
}

/// Whether this instance proves to itself that it misses nothing. The placer proves it for all.
bool Control::checksKinds() const
{
    if (m_gateway.stopping || m_storeUnavailable || inEraGrace() || !m_gateway.informed())
        return false;
    return placing()
        || (!m_gateway.store.fromPeers() && m_gateway.now() - m_markTakenAt >= ownCheckFrom);
}

/// A pending watch that hears nothing looks like one without changes, also while the store answers
/// other calls. A call that has to be answered at once shows the difference.
asio::awaitable<void> Control::checkKinds()
{
    m_markTakenAt = m_gateway.now();
    std::size_t turn = 0;
    while (true) {
        co_await pause(checkInterval);
        const ObjectKind kind = checkedKinds.at(turn++ % checkedKinds.size());
        const Duration age = m_gateway.now() - m_gateway.evidence.provenAt(kind);
        const bool due = placing() || age >= ownCheckFrom;
        if (!checksKinds() || !due || m_relist.contains(kind))
            continue;
        if (co_await checkKind(kind))
            continue;
        // The other watches may be silent as well.
        for (const ObjectKind unheard : checkedKinds)
            relist(unheard);
    }
}

/// \returns Whether the store answered.
asio::awaitable<bool> Control::checkKind(ObjectKind kind)
{
    const StoreRevision from = m_revisions[kind];
    const TimePoint sentAt = m_gateway.now();
    const Result<StoredObjects> changes =
        co_await m_gateway.store.changes(kind, from, checkTimeout);
    if (!changes) {
        // A refusal is an answer: the watches are refused as well, and restart.
        const bool silent = changes.error().code == ErrorCode::Timeout;
        m_gateway.metrics.count("store-check", silent ? "silent" : "refused");
        if (silent)
            m_gateway.log.write("store", "watch-silent", {{"kind", toString(kind)}});
        co_return !silent;
    }
    if (!takeEra(changes->revision.era) || changes->revision.era != from.era)
        co_return true;
    m_gateway.metrics.count("store-check", changes->objects.empty() ? "current" : "changes");
    if (changes->objects.empty()) {
        m_gateway.evidence.proven(kind, sentAt);
        m_gateway.evidence.observed(changes->revision, sentAt);
    }
    for (const StoredObject &object : changes->objects)
        m_gateway.evidence.told(kind, object.revision, m_gateway.now());
    co_return true;
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

#include "gateway/evidence/store_evidence.hpp"

#include <algorithm>

namespace yuccaspan::gateway {

void StoreEvidence::observed(StoreRevision revision, TimePoint asOf)
{
    if (!revision.known())
        return;
    if (m_revisions.empty() || m_revisions.back().revision < revision) {
        const bool dense =
            m_revisions.size() > 1 && asOf - (m_revisions.end() - 2)->asOf < revisionInterval;
        if (dense)
            m_revisions.pop_back();
        if (m_revisions.empty() || m_revisions.back().asOf < asOf)
            m_revisions.push_back({revision, asOf});
        if (m_revisions.size() > maxRevisions)
            m_revisions.pop_front();
    } else if (m_revisions.back().revision == revision) {
        m_revisions.back().asOf = std::max(m_revisions.back().asOf, asOf);
    }
}

void StoreEvidence::applied(ObjectKind kind, StoreRevision upTo, StoreRevision lastChange)
{
    Kind &known = m_kinds[kind];
    known.upTo = std::max(known.upTo, upTo);
    known.lastChange = std::max(known.lastChange, lastChange);
}

void StoreEvidence::listed(ObjectKind kind, StoreRevision revision, StoreRevision lastObject)
{
    Kind &known = m_kinds[kind];
    // The first list tells nobody else of a change; a later one may tell of deletions.
    const bool first = !known.upTo.known();
    known.lastList = std::max(known.lastList, revision);
    applied(kind, revision, first ? lastObject : revision);
}

void StoreEvidence::proven(ObjectKind kind, TimePoint asOf)
{
    Kind &known = m_kinds[kind];
    known.provenAt = std::max(known.provenAt, asOf);
}

TimePoint StoreEvidence::provenAt(ObjectKind kind) const
{
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? TimePoint{} : found->second.provenAt;
}

TimePoint StoreEvidence::changedSince(ObjectKind kind, StoreRevision change) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end())
        return {};
    TimePoint since = found->second.provenAt;
    if (change <= found->second.upTo)
        return since;
    for (const Revision &earlier : m_revisions) {
        // Revisions of another era are other changes.
        if (earlier.revision.era == change.era && earlier.revision < change)
            since = std::max(since, earlier.asOf);
    }
    return since;
}

void StoreEvidence::told(ObjectKind kind, StoreRevision change, TimePoint now)
{
    Kind &known = m_kinds[kind];
    if (change <= known.upTo || known.told > known.upTo)
        return;
    known.told = change;
    known.toldAt = now;
    known.overdueFrom = now + arrivalTime;
}

std::optional<TimePoint> StoreEvidence::behindSince(ObjectKind kind) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || found->second.told <= found->second.upTo)
        return std::nullopt;
    return found->second.toldAt;
}

bool StoreEvidence::behind(ObjectKind kind) const
{
    return behindSince(kind).has_value();
}

StoreRevision StoreEvidence::upTo(ObjectKind kind) const
{
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? StoreRevision{} : found->second.upTo;
}

std::vector<ObjectKind> StoreEvidence::overdue(TimePoint now)
{
    std::vector<ObjectKind> kinds;
    for (auto &[kind, known] : m_kinds) {
        if (known.told <= known.upTo || now < known.overdueFrom)
            continue;
        known.overdueFrom = now + overdueInterval;
        kinds.push_back(kind);
    }
    return kinds;
}

StoreMark StoreEvidence::mark(TimePoint now) const
{
    StoreMark mark;
    for (const auto &[kind, known] : m_kinds)
        mark.kinds[kind] = {known.lastChange, known.lastList, now - known.provenAt};
    for (const Revision &revision : m_revisions)
        mark.revisions.emplace_back(revision.revision, now - revision.asOf);
    return mark;
}

void StoreEvidence::take(const StoreMark &mark, TimePoint askedAt, TimePoint now)
{
    for (const auto &[revision, age] : mark.revisions)
        observed(revision, askedAt - age);
    for (const auto &[kind, marked] : mark.kinds) {
        const Kind &known = m_kinds[kind];
        // A kind without any object has no change, but it was listed.
        const StoreRevision last = std::max(marked.lastChange, marked.lastList);
        if (!last.known())
            continue;
        if (last <= known.upTo)
            proven(kind, askedAt - marked.age);
        told(kind, marked.lastChange, now);
    }
}

} // namespace yuccaspan::gateway

#include "gateway/news/news_desk.hpp"

#include <algorithm>
#include <array>

namespace yuccaspan::gateway {

namespace {

/// Kinds that callers depend on within seconds. The pause between the watches of the others is as
/// long as the greatest age that is allowed for.
constexpr std::array<ObjectKind, 3> urgentKinds{ObjectKind::Settings, ObjectKind::Targets,
                                                ObjectKind::Evacuations};
/// Changes of a kind in one answer.
constexpr std::size_t maxChanges = 500;

} // namespace

bool NewsDesk::passesOn(ObjectKind kind) noexcept
{
    return kind == ObjectKind::Instances
        || std::ranges::find(urgentKinds, kind) != urgentKinds.end();
}

bool NewsDesk::known() const
{
    return std::ranges::all_of(urgentKinds, [this](ObjectKind kind) {
        const auto found = m_logs.find(kind);
        return found != m_logs.end() && found->second.known();
    });
}

Duration NewsDesk::age(TimePoint now) const
{
    Duration oldest{};
    for (const auto &[kind, log] : m_logs) {
        if (kind != ObjectKind::Instances)
            oldest = std::max(oldest, now - log.asOf());
    }
    return oldest;
}

bool NewsDesk::setLease(const StoredObject &lease, TimePoint asOf)
{
    if (m_lease && lease.revision < m_lease->revision)
        return false;
    const bool isNew = !m_lease || lease.revision > m_lease->revision;
    m_lease = lease;
    m_leaseAsOf = std::max(m_leaseAsOf, asOf);
    return isNew;
}

std::optional<StoredObject> NewsDesk::lease(Duration maxAge, TimePoint now) const
{
    return now - m_leaseAsOf <= maxAge ? m_lease : std::nullopt;
}

NewsQuestion NewsDesk::question() const
{
    NewsQuestion question;
    for (const auto &[kind, log] : m_logs) {
        if (log.known())
            question.kinds[kind] = log.newest();
    }
    if (m_lease)
        question.lease = m_lease->revision;
    return question;
}

bool NewsDesk::hasNews(const NewsQuestion &question) const
{
    if (m_lease && m_lease->revision > question.lease)
        return true;
    return std::ranges::any_of(question.kinds, [this](const auto &asked) {
        const auto found = m_logs.find(asked.first);
        // A gap waits for the regular answer: listing takes time.
        return found != m_logs.end() && found->second.covers(asked.second)
            && found->second.hasAfter(asked.second);
    });
}

NewsAnswer NewsDesk::answer(const NewsQuestion &question, TimePoint now) const
{
    NewsAnswer answer;
    for (const auto &[kind, revision] : question.kinds) {
        const auto found = m_logs.find(kind);
        if (found == m_logs.end() || !found->second.known())
            continue;
        const NewsLog &log = found->second;
        KindNews &news = answer.kinds[kind];
        news.age = now - log.asOf();
        news.gap = !log.covers(revision);
        news.changes.revision = log.newest();
        if (!news.gap && revision < log.newest())
            news.changes = log.changesAfter(revision, maxChanges);
        else if (news.gap && revision < log.newest())
            news.changes = log.all(maxNewsObjects);
    }
    if (m_lease) {
        answer.lease = m_lease;
        answer.leaseAge = now - m_leaseAsOf;
    }
    return answer;
}

NewsTaken NewsDesk::take(const NewsAnswer &answer, const NewsQuestion &asked, TimePoint askedAt,
                         TimePoint now)
{
    NewsTaken taken;
    // An answer that waited, for instance in a frozen instance, is older than it says.
    const Duration onTheWay = std::max(Duration::zero(), now - askedAt - answer.held);
    for (const auto &[kind, revision] : asked.kinds) {
        const auto news = answer.kinds.find(kind);
        NewsLog &log = m_logs[kind];
        if (news == answer.kinds.end())
            continue;
        const StoreRevision told = news->second.changes.revision;
        // A parent that follows the store of an earlier era knows nothing of this one.
        if (told.era < log.newest().era)
            continue;
        const bool isNewer = told > log.newest();
        if (news->second.gap && isNewer && news->second.changes.mayHaveMore) {
            taken.gaps.push_back(kind);
            continue;
        }
        // A cut answer doesn't say what followed.
        const TimePoint asOf =
            news->second.changes.mayHaveMore ? log.asOf() : now - onTheWay - news->second.age;
        if (news->second.gap && isNewer) {
            const StoreRevision before = log.newest();
            log.listed(news->second.changes, asOf);
            taken.changed |= log.hasAfter(before);
        } else if (!news->second.gap && told > revision) {
            taken.changed |= log.changed(news->second.changes, revision, asOf);
        } else {
            log.confirmed(asOf);
        }
    }
    if (answer.lease)
        taken.changed |= setLease(*answer.lease, now - onTheWay - answer.leaseAge);
    taken.age = age(now);
    return taken;
}

} // namespace yuccaspan::gateway

#include "gateway/news/news_log.hpp"

#include <algorithm>
#include <utility>

namespace yuccaspan::gateway {

void NewsLog::confirmed(TimePoint asOf) noexcept
{
    m_asOf = std::max(m_asOf, asOf);
}

void NewsLog::put(StoredObject object)
{
    const auto [found, isNew] = m_entries.try_emplace(object.name);
    const bool wasDeleted = !isNew && found->second.deleted;
    m_deletions += std::size_t(object.deleted) - std::size_t(wasDeleted);
    m_lastChange = std::max(m_lastChange, object.revision);
    found->second = std::move(object);
}

/// Drops the oldest deletions, and so the history up to them.
void NewsLog::limitDeletions()
{
    while (m_deletions > maxDeletions) {
        auto oldest = m_entries.end();
        for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
            const StoredObject &object = entry->second;
            if (object.deleted
                && (oldest == m_entries.end() || object.revision < oldest->second.revision))
                oldest = entry;
        }
        m_base = std::max(m_base, oldest->second.revision);
        m_entries.erase(oldest);
        --m_deletions;
    }
}

void NewsLog::listed(const StoredObjects &list, TimePoint asOf)
{
    if (list.revision < m_newest)
        return;
    const StoreRevision before = m_newest;
    // Deletions before the first list are not known.
    if (!known())
        m_base = list.revision;
    std::map<std::string_view, const StoredObject *> present;
    for (const StoredObject &object : list.objects)
        present[object.name] = &object;
    std::vector<StoredObject> gone;
    for (const auto &[name, object] : m_entries) {
        if (object.deleted || present.contains(name))
            continue;
        gone.push_back({name, list.revision, true, object.body, {}});
    }
    for (StoredObject &object : gone)
        put(std::move(object));
    for (const auto &[name, object] : present) {
        if (object->revision > before)
            put(*object);
    }
    m_newest = list.revision;
    limitDeletions();
    confirmed(asOf);
}

bool NewsLog::changed(const StoredObjects &changes, StoreRevision from, TimePoint asOf)
{
    // Changes between what is known and `from` would be missing.
    if (!known() || from > m_newest)
        return false;
    const StoreRevision before = m_newest;
    bool any = false;
    for (const StoredObject &object : changes.objects) {
        const auto entry = m_entries.find(object.name);
        const StoreRevision last =
            entry == m_entries.end() ? StoreRevision{} : entry->second.revision;
        if (!object.deleted) {
            if (object.revision <= before || object.revision <= last)
                continue;
            put(object);
        } else {
            // A deletion may carry the last revision of the deleted object.
            StoredObject deletion = object;
            if (deletion.revision <= before)
                deletion.revision = changes.revision;
            const bool present = entry != m_entries.end() && !entry->second.deleted;
            if (!present || last > object.revision || deletion.revision <= before)
                continue;
            put(std::move(deletion));
        }
        any = true;
    }
    m_newest = std::max(m_newest, changes.revision);
    limitDeletions();
    confirmed(asOf);
    return any;
}

StoredObjects NewsLog::changesAfter(StoreRevision revision, std::size_t most) const
{
    std::vector<const StoredObject *> newer;
    for (const auto &[name, object] : m_entries) {
        if (object.revision > revision)
            newer.push_back(&object);
    }
    std::ranges::sort(newer, {}, [](const StoredObject *object) { return object->revision; });
    StoredObjects changes;
    changes.revision = std::max(m_newest, revision);
    changes.knownAt = m_asOf;
    for (const StoredObject *object : newer) {
        if (changes.objects.size() >= most && object->revision != changes.objects.back().revision) {
            changes.revision = changes.objects.back().revision;
            changes.mayHaveMore = true;
            break;
        }
        changes.objects.push_back(*object);
    }
    return changes;
}

StoredObjects NewsLog::all(std::size_t most) const
{
    StoredObjects list;
    list.revision = m_newest;
    for (const auto &[name, object] : m_entries) {
        if (object.deleted)
            continue;
        list.mayHaveMore = list.objects.size() >= most;
        if (list.mayHaveMore)
            break;
        list.objects.push_back(object);
    }
    return list;
}

} // namespace yuccaspan::gateway

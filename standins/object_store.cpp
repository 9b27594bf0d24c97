#include "object_store.hpp"

namespace yuccaspan::standins {

namespace {

/// Past states of an object are kept for lagging reads for this long.
constexpr std::chrono::seconds pastRetention{60};
/// Most past states of one object.
constexpr std::size_t maxPastStates = 64;
/// Deleted objects that watches can still learn of.
constexpr std::size_t maxDeletions = 10000;

} // namespace

WriteOutcome ObjectStore::write(const std::string &path, ObjectVersion expected,
                                std::optional<std::string> value, TimePoint now)
{
    const auto found = m_objects.find(path);
    const bool exists = found != m_objects.end() && found->second.back().value.has_value();
    const ObjectVersion present = exists ? found->second.back().version : ObjectVersion{};
    if (present != expected || (!value && !exists))
        return {false, present};
    ++m_revision;
    Past &past = m_objects[path];
    if (!past.empty())
        m_latestChange.erase(past.back().version.value);
    if (!value)
        m_deletions.push_back(m_revision);
    const ObjectVersion version = value ? ObjectVersion{m_revision} : ObjectVersion{};
    past.push_back({now, {m_revision}, std::move(value)});
    m_latestChange[m_revision] = path;
    trim(past, now);
    forgetDeleted();
    return {true, version};
}

std::optional<StoreObject> ObjectStore::read(const std::string &path, TimePoint asOf) const
{
    const auto found = m_objects.find(path);
    if (found == m_objects.end())
        return std::nullopt;
    const Past &past = found->second;
    for (auto state = past.rbegin(); state != past.rend(); ++state) {
        if (state->at > asOf)
            continue;
        if (!state->value)
            return std::nullopt;
        return StoreObject{path, state->version, *state->value};
    }
    return std::nullopt;
}

StoreChanges ObjectStore::changes(const std::string &prefix, std::uint64_t after) const
{
    StoreChanges result;
    result.revision = m_revision;
    result.complete = after == 0 || after < m_oldestRevision || after > m_revision;
    const auto begin = result.complete ? m_latestChange.begin() : m_latestChange.upper_bound(after);
    for (auto change = begin; change != m_latestChange.end(); ++change) {
        const std::string &path = change->second;
        if (!path.starts_with(prefix))
            continue;
        const State &state = m_objects.at(path).back();
        if (state.value)
            result.objects.push_back({path, state.version, *state.value});
        else if (!result.complete)
            result.objects.push_back({path, {}, {}});
    }
    return result;
}

void ObjectStore::trim(Past &past, TimePoint now) const
{
    // The state that was present at the start of the retention is kept.
    while (past.size() > maxPastStates || (past.size() > 1 && past[1].at <= now - pastRetention))
        past.pop_front();
}

void ObjectStore::forgetDeleted()
{
    while (m_deletions.size() > maxDeletions) {
        const std::uint64_t version = m_deletions.front();
        m_deletions.pop_front();
        m_oldestRevision = version;
        const auto change = m_latestChange.find(version);
        if (change == m_latestChange.end())
            continue;
        m_objects.erase(change->second);
        m_latestChange.erase(change);
    }
}

} // namespace yuccaspan::standins

#include "gateway/target_directory.hpp"

#include <algorithm>
#include <set>

namespace yuccaspan::gateway {

namespace {

/// Entries that expired while the store was unavailable return within about 2 s of its recovery
/// (store protocol); the rest is the time for the watch to deliver them.
constexpr Duration relistGrace = std::chrono::milliseconds(2300);
/// Assumed time since a change of which nothing is known; exceeds every bound for sending.
constexpr Duration unknownSince = std::chrono::seconds(30);
/// How long a target that left is kept; exceeds the longest grant and its late delivery.
constexpr Duration retentionTime = std::chrono::seconds(60);

bool sameButSequence(const TargetEntry &left, const TargetEntry &right)
{
    return left.incarnation == right.incarnation && left.service == right.service
        && left.address == right.address && left.zone == right.zone && left.slots == right.slots
        && left.draining == right.draining && left.warmupLeft == right.warmupLeft;
}

} // namespace

bool TargetDirectory::put(const TargetEntry &entry, TimePoint now, TimePoint since)
{
    m_missing.erase(entry.id);
    auto [found, isNew] = m_targets.try_emplace(entry.id);
    Target &target = found->second;
    if (!isNew && entry.incarnation < target.entry.incarnation)
        return false;
    const bool fromCopy = target.ofEarlierEra && entry.incarnation == target.entry.incarnation
        && entry.sequence <= target.entry.sequence;
    if (!isNew && fromCopy && !entry.draining)
        return false;
    target.ofEarlierEra = false;
    const std::string before = target.entry.address;
    const bool newIncarnation = isNew || entry.incarnation > target.entry.incarnation;
    const bool changed = newIncarnation || !target.listed || !sameButSequence(target.entry, entry);
    if (newIncarnation) {
        target = Target{};
        target.knownSince = now;
    }
    if (newIncarnation || entry.warmupLeft != target.entry.warmupLeft)
        target.coldUntil = now + entry.warmupLeft;
    if (isNew || before != entry.address) {
        if (!isNew)
            unindex(before, entry.id);
        m_byAddress.emplace(entry.address, entry.id);
    }
    target.entry = entry;
    target.listed = true;
    target.missingSince.reset();
    if (!entry.draining)
        target.leavingSince = target.saidLeavingSince;
    else if (!target.leavingSince)
        target.leavingSince = since;
    if (changed)
        ++m_version;
    return changed;
}

void TargetDirectory::putIfNew(const TargetEntry &entry, TimePoint now)
{
    const Target *known = find(entry.id);
    if (known == nullptr || known->entry.incarnation < entry.incarnation)
        put(entry, now, now - unknownSince);
}

bool TargetDirectory::saidLeaving(std::string_view id, std::int64_t incarnation, TimePoint now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || found->second.entry.incarnation != incarnation
        || found->second.saidLeavingSince)
        return false;
    Target &target = found->second;
    target.saidLeavingSince = now;
    if (!target.leavingSince)
        target.leavingSince = now;
    ++m_version;
    return true;
}

void TargetDirectory::remove(std::string_view id, TimePoint now, TimePoint since)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || !found->second.listed)
        return;
    if (now < m_graceUntil) {
        m_missing.try_emplace(std::string(id), m_graceUntil);
        if (!found->second.missingSince)
            found->second.missingSince = now < m_lapseUntil ? now : since;
        return;
    }
    found->second.listed = false;
    if (!found->second.leavingSince)
        found->second.leavingSince = since;
    ++m_version;
}

void TargetDirectory::replaceAll(const std::vector<TargetEntry> &entries, TimePoint now,
                                 TimePoint since)
{
    std::set<std::string_view> present;
    for (const TargetEntry &entry : entries) {
        present.insert(entry.id);
        put(entry, now, since);
    }
    for (const auto &[id, target] : m_targets) {
        if (target.listed && !present.contains(id))
            remove(id, now, since);
    }
}

bool TargetDirectory::tick(TimePoint now)
{
    bool changed = false;
    for (auto missing = m_missing.begin(); missing != m_missing.end();) {
        if (now < std::max(missing->second, m_graceUntil)) {
            ++missing;
            continue;
        }
        const std::string id = missing->first;
        missing = m_missing.erase(missing);
        remove(id, now, now);
        changed = true;
    }
    std::erase_if(m_targets, [this, now](const auto &item) {
        const Target &target = item.second;
        const bool forgotten = !target.listed && now - *target.leavingSince > retentionTime;
        if (forgotten)
            unindex(target.entry.address, item.first);
        return forgotten;
    });
    return changed;
}

void TargetDirectory::unindex(const std::string &address, std::string_view id)
{
    const auto [first, last] = m_byAddress.equal_range(address);
    const auto found =
        std::find_if(first, last, [id](const auto &item) { return item.second == id; });
    if (found != last)
        m_byAddress.erase(found);
}

void TargetDirectory::storeUnavailable(TimePoint now) noexcept
{
    m_graceUntil = std::max(m_graceUntil, now + relistGrace);
}

void TargetDirectory::storeAway(TimePoint now) noexcept
{
    storeUnavailable(now);
    m_lapseUntil = std::max(m_lapseUntil, now + relistGrace);
}

void TargetDirectory::enterEra(TimePoint now) noexcept
{
    storeAway(now);
    for (auto &[id, target] : m_targets)
        target.ofEarlierEra = true;
}

void TargetDirectory::setEvacuated(const std::vector<std::string> &zones, TimePoint since)
{
    std::map<std::string, TimePoint, std::less<>> evacuated;
    for (const std::string &zone : zones) {
        const auto known = m_evacuated.find(zone);
        evacuated.emplace(zone, known == m_evacuated.end() ? since : known->second);
    }
    if (evacuated == m_evacuated)
        return;
    m_evacuated = std::move(evacuated);
    ++m_version;
}

const Target *TargetDirectory::find(std::string_view id) const noexcept
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

const Target *TargetDirectory::findAddress(std::string_view address) const noexcept
{
    const Target *latest = nullptr;
    const auto [first, last] = m_byAddress.equal_range(address);
    for (auto item = first; item != last; ++item) {
        const Target *target = find(item->second);
        if (target == nullptr || !target->listed)
            continue;
        if (latest == nullptr || latest->entry.incarnation < target->entry.incarnation)
            latest = target;
    }
    return latest;
}

bool TargetDirectory::evacuated(std::string_view zone) const noexcept
{
    return m_evacuated.contains(zone);
}

std::optional<TimePoint> TargetDirectory::unwantedSince(const Target &target) const noexcept
{
    std::optional<TimePoint> since = target.leavingSince;
    if (target.missingSince && (!since || *target.missingSince < *since))
        since = target.missingSince;
    const auto zone = m_evacuated.find(target.entry.zone);
    if (zone != m_evacuated.end() && (!since || zone->second < *since))
        since = zone->second;
    return since;
}

bool TargetDirectory::usable(const Target &target) const noexcept
{
    return target.ready() && !evacuated(target.entry.zone);
}

} // namespace yuccaspan::gateway

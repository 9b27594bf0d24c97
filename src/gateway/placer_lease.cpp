#include "gateway/placer_lease.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace yuccaspan::gateway {

std::string encodeLease(const LeaseRecord &record)
{
    nlohmann::json root{
        {"holder", record.holder}, {"start", record.start}, {"renewal", record.renewal}};
    if (record.era != 0)
        root["era"] = record.era;
    return root.dump();
}

Result<LeaseRecord> decodeLease(std::string_view text)
{
    try {
        const auto root = nlohmann::json::parse(text);
        return LeaseRecord{
            root.at("holder").get<std::string>(), root.at("start").get<std::string>(),
            root.at("renewal").get<std::uint64_t>(), root.value("era", std::uint64_t{0})};
    } catch (const nlohmann::json::exception &failure) {
        return Error{ErrorCode::ParseFailed, failure.what(), {}};
    }
}

PlacerLease::PlacerLease(std::string name, std::string start, LeaseTiming timing)
    : m_name(std::move(name)), m_start(std::move(start)), m_timing(timing)
{ }

bool PlacerLease::ours(const LeaseRecord &record) const noexcept
{
    return record.holder == m_name && record.start == m_start;
}

LeaseStep PlacerLease::step(TimePoint now) const noexcept
{
    if (held(now))
        return now - m_renewedAt >= m_timing.renewInterval ? LeaseStep::Renew : LeaseStep::Nothing;
    if (m_wasRead && mayAcquire(m_revision, now))
        return LeaseStep::Acquire;
    if (!m_wasRead || now - m_readAt >= m_timing.readInterval)
        return LeaseStep::Read;
    return LeaseStep::Nothing;
}

void PlacerLease::enterEra(std::uint64_t era, TimePoint now) noexcept
{
    if (era <= m_era)
        return;
    m_heldIntoEra = held(now);
    m_era = era;
    m_eraSince = now;
    m_heldUntil = TimePoint{};
    m_seen = {};
    m_revision = {};
    m_wasRead = false;
}

void PlacerLease::observed(const std::optional<LeaseRecord> &record, StoreRevision revision,
                           TimePoint now)
{
    enterEra(revision.era, now);
    m_readAt = now;
    if (revision.known() && revision.era < m_era)
        return;
    // A stale answer with an earlier revision says nothing about the current holder.
    const bool changed = !m_wasRead || revision > m_revision;
    m_wasRead = true;
    if (!changed)
        return;
    m_revision = revision;
    m_seen = record.value_or(LeaseRecord{});
    m_seenSince = now;
}

bool PlacerLease::mayAcquire(StoreRevision revision, TimePoint now) const noexcept
{
    if (revision != m_revision)
        return false;
    if (m_seen.era != m_era) {
        const Duration standby = m_heldIntoEra ? Duration{} : m_timing.standbyDelay;
        return now - m_seenSince >= m_timing.length
            && now - m_eraSince >= m_timing.length + standby;
    }
    const bool ownFormerStart = m_seen.holder == m_name;
    const bool free = m_seen.holder.empty();
    return free || ownFormerStart || now - m_seenSince >= m_timing.length;
}

LeaseRecord PlacerLease::next() const
{
    return {m_name, m_start, m_seen.renewal + 1, m_era};
}

void PlacerLease::stored(const LeaseRecord &record, StoreRevision revision, TimePoint sentAt)
{
    if (revision.era != record.era || record.era != m_era)
        return;
    m_seen = record;
    m_revision = revision;
    m_wasRead = true;
    m_renewedAt = sentAt;
    m_heldUntil = sentAt + m_timing.length;
}

} // namespace yuccaspan::gateway

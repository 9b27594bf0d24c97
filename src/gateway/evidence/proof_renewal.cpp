#include "gateway/evidence/proof_renewal.hpp"

#include "gateway/news/news_tree.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace yuccaspan::gateway {

namespace {

/// Interval of the placer's checks of targets, on which the shortest bound depends.
constexpr Duration targetsInterval = std::chrono::milliseconds(400);
/// Interval of its checks of evacuations.
constexpr Duration evacuationsInterval = std::chrono::milliseconds(800);

// Ages, as parts of the time for which a proof lasts. Usual ages of proofs from the placer are
// below the first; a check and the answers to the others fit between the last and the end.
constexpr double placerChecksSettings = 0.32;
constexpr double firstDeputyChecks = 0.5;
constexpr double deputyStep = 0.07;
constexpr double peersAsked = 0.62;
constexpr double othersCheck = 0.7;
constexpr double morePeersAsked = 0.85;
constexpr double othersSpread = 0.15;

Duration part(Duration whole, double fraction)
{
    return std::chrono::duration_cast<Duration>(whole * fraction);
}

/// Instances other than deputies that are asked at a time when a proof nears its end.
constexpr std::size_t maxOthersAsked = 4;

} // namespace

ProofRenewal::ProofRenewal(std::string self, std::map<ObjectKind, Duration> limits)
    : m_self(std::move(self)), m_limits(std::move(limits))
{ }

void ProofRenewal::setInstances(std::vector<std::string> names)
{
    std::ranges::sort(names, {},
                      [](const std::string &name) { return std::tuple(newsHash(name), name); });
    m_names = std::move(names);
    const auto own = std::ranges::find(m_names, m_self);
    m_rank = own == m_names.end() ? deputies : static_cast<std::size_t>(own - m_names.begin());
}

std::vector<std::string> ProofRenewal::peersToAsk(const StoreEvidence &evidence, TimePoint now)
{
    // Of the oldest proof, as part of the time for which it lasts.
    double age = 0;
    for (const auto &[kind, limit] : m_limits) {
        const Duration since = now - evidence.provenAt(kind);
        age = std::max(age,
                       std::chrono::duration<double>(since) / std::chrono::duration<double>(limit));
    }
    std::vector<std::string> peers;
    if (age < peersAsked || m_names.empty())
        return peers;
    const std::size_t first = std::min(deputies, m_names.size());
    peers.assign(m_names.begin(), m_names.begin() + static_cast<std::ptrdiff_t>(first));
    const std::size_t others = m_names.size() - first;
    const std::size_t more = age < morePeersAsked ? 1 : maxOthersAsked;
    for (std::size_t count = 0; count < std::min(more, others); ++count)
        peers.push_back(m_names[first + m_nextPeer++ % others]);
    std::erase(peers, m_self);
    return peers;
}

/// Age of a proof from which an instance checks the kind.
Duration ProofRenewal::checkFrom(ObjectKind kind, bool placing) const
{
    const Duration limit = m_limits.at(kind);
    if (placing && kind == ObjectKind::Settings)
        return part(limit, placerChecksSettings);
    if (placing)
        return kind == ObjectKind::Targets ? targetsInterval : evacuationsInterval;
    if (isDeputy())
        return part(limit, firstDeputyChecks + deputyStep * static_cast<double>(m_rank));
    constexpr std::size_t steps = 64;
    const auto step = static_cast<double>(newsHash(m_self) % steps);
    return part(limit, othersCheck + othersSpread * step / steps);
}

std::optional<ObjectKind> ProofRenewal::checkDue(const StoreEvidence &evidence, bool placing,
                                                 TimePoint now) const
{
    if (now < m_nextCheck || now - m_lastCheck < checkInterval)
        return std::nullopt;
    std::optional<ObjectKind> due;
    double mostOverdue = 1;
    for (const auto &[kind, limit] : m_limits) {
        const Duration from = checkFrom(kind, placing);
        const double overdue = std::chrono::duration<double>(now - evidence.provenAt(kind))
            / std::chrono::duration<double>(from);
        if (overdue < mostOverdue)
            continue;
        mostOverdue = overdue;
        due = kind;
    }
    return due;
}

void ProofRenewal::storeAnswered() noexcept
{
    m_failedAt.reset();
    m_nextCheck = {};
    m_pause = firstPause;
}

void ProofRenewal::storeFailed(const StoreEvidence &evidence, TimePoint now)
{
    if (!m_failedAt || evidence.provenAt(ObjectKind::Targets) >= *m_failedAt)
        m_failedAt = now;
    m_nextCheck = now + m_pause;
    m_pause = std::min(m_pause * 2, maxPause);
}

bool ProofRenewal::unprovable(ObjectKind kind, const StoreEvidence &evidence, TimePoint now) const
{
    const TimePoint provenAt = evidence.provenAt(kind);
    const bool targetsProven =
        now - evidence.provenAt(ObjectKind::Targets) < m_limits.at(ObjectKind::Targets);
    return m_failedAt && provenAt < *m_failedAt && !targetsProven && !evidence.behind(kind)
        && now - provenAt >= m_limits.at(kind) + answerTime;
}

} // namespace yuccaspan::gateway

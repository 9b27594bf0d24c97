#include "target_model.hpp"

#include <algorithm>

namespace yuccaspan::standins {

namespace {

/// Service times lie within this share below and above the mean.
constexpr double serviceSpread = 0.2;
/// A request beyond what a cold target bears takes this many times longer.
constexpr double coldOverloadFactor = 10;
/// Clock origins differ between targets and starts by up to this many seconds.
constexpr std::uint64_t maxClockOffsetSeconds = 1000;

std::string makeStartId(const TargetOptions &options, TimePoint now, std::uint64_t starts)
{
    return options.id + '#' + std::to_string(now.time_since_epoch().count()) + '.'
        + std::to_string(starts);
}

TimePoint makeOrigin(const std::string &startId, TimePoint now)
{
    return now - std::chrono::seconds(1 + hashKey(startId) % maxClockOffsetSeconds);
}

} // namespace

TargetModel::TargetModel(TargetOptions options, TimePoint now)
    : m_options(std::move(options)),
      m_grants(makeStartId(m_options, now, m_starts)),
      m_random(m_options.seed)
{
    m_origin = makeOrigin(startId(), now);
    turnCold(now);
}

std::optional<Refusal> TargetModel::arrive(Work work, TimePoint now)
{
    if (const auto refusal = refusalOf(work, now))
        return count(*refusal);
    if (m_draining)
        return count(Refusal::Draining);
    if (m_queue.size() >= m_options.queueLimit)
        return count(isCold(now) ? Refusal::Cold : Refusal::Shed);
    m_queue.push_back(std::move(work));
    return std::nullopt;
}

std::vector<WorkStep> TargetModel::next(TimePoint now, const GoneCheck &gone)
{
    std::vector<WorkStep> steps;
    while (!m_queue.empty() && m_running.size() < m_options.slots) {
        const Work work = std::move(m_queue.front());
        m_queue.pop_front();
        if (gone(work.handle)) {
            ++m_counts.dropped;
            continue;
        }
        // Time may have passed in the queue, so the grant is checked again.
        if (const auto refusal = refusalOf(work, now))
            steps.push_back({work.handle, count(*refusal), {}});
        else
            steps.push_back(begin(work, now));
    }
    return steps;
}

void TargetModel::finished(std::uint64_t handle)
{
    m_running.erase(handle);
}

bool TargetModel::idle(const ServiceName &service, const KeyRange &range) const
{
    return std::none_of(m_running.begin(), m_running.end(), [&](const auto &entry) {
        return entry.second.service == service && range.contains(entry.second.hash);
    });
}

void TargetModel::restart(TimePoint now)
{
    m_earlierHolds = holdHistory();
    for (HoldInterval &hold : m_earlierHolds)
        hold.until = std::min(hold.until, now.time_since_epoch());
    ++m_starts;
    m_grants = GrantTable(makeStartId(m_options, now, m_starts));
    m_origin = makeOrigin(startId(), now);
    m_queue.clear();
    m_running.clear();
    m_draining = false;
    turnCold(now);
}

void TargetModel::turnCold(TimePoint now)
{
    m_coldUntil = now + m_options.cold;
}

TargetState TargetModel::state(TimePoint now) const
{
    if (m_draining)
        return TargetState::Draining;
    return isCold(now) ? TargetState::Cold : TargetState::Warm;
}

std::vector<HoldInterval> TargetModel::holdHistory() const
{
    std::vector<HoldInterval> all = m_earlierHolds;
    for (HoldInterval hold : m_grants.history()) {
        hold.from += m_origin.time_since_epoch();
        hold.until += m_origin.time_since_epoch();
        all.push_back(std::move(hold));
    }
    return all;
}

std::optional<Refusal> TargetModel::refusalOf(const Work &work, TimePoint now) const
{
    if (m_options.checksGrants) {
        const auto check = m_grants.check(work.service, work.hash, work.token, clock(now));
        if (check == GrantCheck::NoGrant)
            return Refusal::NoGrant;
        if (check == GrantCheck::StaleToken)
            return Refusal::StaleToken;
    }
    if (work.deadline && *work.deadline <= now)
        return Refusal::Late;
    return std::nullopt;
}

Refusal TargetModel::count(Refusal refusal)
{
    ++m_counts.refused.at(static_cast<std::size_t>(refusal));
    return refusal;
}

WorkStep TargetModel::begin(const Work &work, TimePoint now)
{
    std::uniform_real_distribution<double> spread(1 - serviceSpread, 1 + serviceSpread);
    double factor = m_slowFactor * spread(m_random);
    m_running.emplace(work.handle, work);
    if (isCold(now) && m_running.size() > m_options.coldSlots) {
        ++m_counts.coldOverload;
        factor *= coldOverloadFactor;
    }
    m_counts.maxRunning =
        std::max(m_counts.maxRunning, static_cast<std::uint32_t>(m_running.size()));
    record(work, now);
    const double micros = static_cast<double>(m_options.service.count()) * factor;
    return {work.handle, std::nullopt, Duration(static_cast<Duration::rep>(micros))};
}

void TargetModel::record(const Work &work, TimePoint now)
{
    ++m_counts.runs;
    if (!m_options.keepLedger || work.requestId.empty())
        return;
    LedgerRow &row = m_ledger[work.requestId];
    row.service = work.service;
    row.hash = work.hash;
    row.began = now;
    row.token = work.token;
    ++row.count;
    if (row.count == 2)
        ++m_counts.runTwice;
}

} // namespace yuccaspan::standins

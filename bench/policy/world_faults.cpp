/// Faults of the simulated world, and its records by the second.
#include "world.hpp"

#include <cmath>

namespace yuccaspan::bench {

namespace {
/// Time after which the platform's balancer notices that an instance froze or came back.
constexpr Duration platformNotice = std::chrono::seconds(1);
constexpr std::uint64_t thawed = 1;
} // namespace

void World::applyFault(const Fault &fault)
{
    fault.apply(*this);
    if (fault.isShift)
        m_record.shifts.push_back({now() - m_start, targetLoads()});
}

void World::stopTarget(std::uint32_t index)
{
    FakeTarget &target = m_targets[index];
    target.up = false;
    target.granted = false;
    std::vector<Work> lost = std::move(target.running);
    lost.insert(lost.end(), target.queue.begin(), target.queue.end());
    target.running.clear();
    target.queue.clear();
    for (const Work &work : lost) {
        if (!work.isProbe)
            reply(work.request, work.attempt, FinishKind::Failed, true);
    }
}

void World::startTarget(std::uint32_t index, bool saysWarm)
{
    FakeTarget &target = m_targets[index];
    target.up = true;
    target.cold = true;
    target.saysWarm = saysWarm;
    target.startedAt = now();
    ++target.starts;
}

void World::setZoneOut(std::uint32_t zone, bool out)
{
    m_zoneOut[zone] = out;
    m_zoneOutSince[zone] = now();
}

void World::freezeEntry(std::uint32_t entry, Duration span)
{
    m_entries[entry].frozen = true;
    // The platform notices after a while; `detail` 1 ends the freeze.
    m_events.schedule(now() + platformNotice, WorldEvent::Thaw, entry, 0);
    m_events.schedule(now() + span, WorldEvent::Thaw, entry, thawed);
}

void World::thaw(std::uint32_t index, bool ends)
{
    SimEntry &entry = m_entries[index];
    if (!ends) {
        entry.removed = entry.frozen;
        if (!entry.frozen)
            return;
        return;
    }
    entry.frozen = false;
    entry.removed = false;
    for (const auto &[id, detail] : std::exchange(entry.replies, {}))
        deliverReply(id, detail);
    for (const std::uint64_t id : std::exchange(entry.backlog, {})) {
        if (m_requests[id].live && m_requests[id].deadline > now())
            m_policy->arrived(id);
    }
    for (std::uint64_t id = 0; id < m_requests.size(); ++id) {
        if (m_requests[id].entry == index && m_requests[id].deadline <= now())
            deadline(id);
    }
}

void World::replaceConnections()
{
    m_policy->connectionsClosed();
}

void World::markKeysOf(std::uint32_t target)
{
    for (std::uint32_t key = 0; key < m_keys.size(); ++key) {
        const auto owner = m_policy->ownerOf(m_keys.hash(key));
        if (owner && *owner == target)
            m_marked[key] = true;
    }
}

double World::possibleWorth() const
{
    double capacity = 0;
    double reachableSlots = 0;
    double allSlots = 0;
    for (const FakeTarget &target : m_targets) {
        for (const SimEntry &entry : m_entries) {
            allSlots += target.settings.slots;
            reachableSlots += reachable(entry.zone, target.zone) ? target.settings.slots : 0;
        }
        if (!target.up || m_zoneOut[target.zone])
            continue;
        const double part = target.bearingPart(m_shape.service.coldAllowance, now());
        capacity += target.settings.slots * part / target.slowness;
    }
    // Kinds in the order of worth by slot time take the capacity first.
    std::vector<const KindShape *> kinds;
    double weight = 0;
    for (const KindShape &kind : m_shape.kinds) {
        kinds.push_back(&kind);
        weight += kind.part * kind.rule.worth;
    }
    std::sort(kinds.begin(), kinds.end(), [](const KindShape *left, const KindShape *right) {
        return left->rule.worth / static_cast<double>(left->serviceTime.count())
            > right->rule.worth / static_cast<double>(right->serviceTime.count());
    });
    const double requests = m_second.worthOffered / weight;
    double possible = 0;
    for (const KindShape *kind : kinds) {
        const double cost = std::chrono::duration<double>(kind->serviceTime).count();
        const double served = std::min(requests * kind->part, capacity / cost);
        possible += served * kind->rule.worth;
        capacity -= served * cost;
    }
    return possible * reachableSlots / allSlots;
}

std::vector<TargetLoad> World::targetLoads() const
{
    std::vector<TargetLoad> loads(m_targets.size());
    for (std::size_t index = 0; index < m_targets.size(); ++index) {
        const FakeTarget &target = m_targets[index];
        const bool usable = target.up && !m_zoneOut[target.zone];
        loads[index].capacity = usable
            ? target.settings.slots * target.bearingPart(m_shape.service.coldAllowance, now())
            : 0;
    }
    for (std::uint32_t key = 0; key < m_keys.size(); ++key) {
        const auto owner = m_policy->ownerOf(m_keys.hash(key));
        if (owner)
            loads[*owner].load += m_keys.part(key);
    }
    return loads;
}

void World::endSecond()
{
    m_events.schedule(now() + std::chrono::seconds(1), WorldEvent::EndOfSecond);
    m_second.worthPossible = possibleWorth();
    m_second.loads = targetLoads();
    m_second.imbalance = imbalanceOf(m_second.loads);
    if (!m_secondLatencies.empty()) {
        constexpr double quantile = 0.99;
        constexpr double microsPerMilli = 1000;
        const auto rank = static_cast<std::ptrdiff_t>(
            quantile * static_cast<double>(m_secondLatencies.size() - 1));
        std::nth_element(m_secondLatencies.begin(), m_secondLatencies.begin() + rank,
                         m_secondLatencies.end());
        m_second.p99 = m_secondLatencies[static_cast<std::size_t>(rank)] / microsPerMilli;
    }
    m_secondLatencies.clear();
    m_record.seconds.push_back(std::exchange(m_second, {}));
}

} // namespace yuccaspan::bench

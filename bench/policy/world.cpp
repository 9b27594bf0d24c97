#include "world.hpp"

#include <cmath>
#include <numeric>

namespace yuccaspan::bench {

namespace {

/// One way between callers and entry instances.
constexpr Duration clientLink = std::chrono::milliseconds(1);
/// One way within a zone.
constexpr Duration localLink = Duration(100);
/// Time after which a connection attempt into the void fails.
constexpr Duration connectTimeout = std::chrono::milliseconds(100);
/// Span between the probes of one target by one instance.
constexpr Duration probeInterval = std::chrono::seconds(1);
/// Instances of the system; differs by seed between 4 and 6.
constexpr std::uint32_t minEntries = 4;
constexpr std::uint32_t entryVariants = 3;
/// Time after which no new work may reach a leaving target.
constexpr Duration leavingLimit = std::chrono::seconds(3);

constexpr std::uint64_t kindShift = 1;
constexpr std::uint64_t attemptShift = 8;

} // namespace

World::World(const Shape &shape, const Scenario &scenario, std::uint64_t seed)
    : m_shape(shape),
      m_scenario(scenario),
      m_start(m_clock.now()),
      m_loadRandom(seed * 4 + 1),
      m_serviceRandom(seed * 4 + 2),
      m_policyRandom(seed * 4 + 3),
      m_faultRandom(seed * 4 + 4),
      m_keys(shape.keys, shape.zipfExponent, seed),
      m_zoneOut(shape.zones),
      m_zoneOutSince(shape.zones),
      m_zoneCut(shape.zones),
      m_marked(shape.keys)
{
    for (const TargetSettings &settings : shape.service.targets) {
        FakeTarget target;
        target.settings = settings;
        target.zone = static_cast<std::uint32_t>(m_targets.size()) % shape.zones;
        target.startedAt = m_start;
        m_targets.push_back(target);
    }
    const auto count = minEntries + static_cast<std::uint32_t>(seed % entryVariants);
    for (std::uint32_t index = 0; index < count; ++index) {
        SimEntry entry;
        entry.id = InstanceId("entry-" + std::to_string(index) + "#1");
        entry.zone = index % shape.zones;
        m_entries.push_back(entry);
    }
}

RunRecord World::run(RoutingPolicy &policy)
{
    m_policy = &policy;
    m_record.start = m_start;
    policy.begin(*this);
    schedulePeriodic();
    while (!m_events.empty()) {
        const TimedEvent<WorldEvent> event = m_events.pop(m_clock);
        if (event.kind == WorldEvent::End)
            break;
        handle(event);
    }
    for (const FakeTarget &target : m_targets)
        m_record.coldExcess = std::max(m_record.coldExcess, target.worstColdExcess);
    return std::move(m_record);
}

void World::schedulePeriodic()
{
    m_events.schedule(m_start, WorldEvent::Arrival);
    for (std::uint32_t entry = 0; entry < m_entries.size(); ++entry)
        m_events.schedule(m_start + tickInterval + Duration(entry), WorldEvent::Tick, entry);
    for (std::uint32_t target = 0; target < m_targets.size(); ++target) {
        const Duration offset =
            probeInterval * target / static_cast<Duration::rep>(m_targets.size());
        m_events.schedule(m_start + offset, WorldEvent::Probe, target);
    }
    for (std::size_t index = 0; index < m_scenario.faults.size(); ++index)
        m_events.schedule(m_start + m_scenario.faults[index].at, WorldEvent::Fault, index);
    m_events.schedule(m_start + std::chrono::seconds(1), WorldEvent::EndOfSecond);
    m_events.schedule(m_start + m_scenario.length, WorldEvent::End);
}

void World::handle(const TimedEvent<WorldEvent> &event)
{
    switch (event.kind) {
    case WorldEvent::Arrival:
        return arrive();
    case WorldEvent::Delivered:
        return deliver(event.subject);
    case WorldEvent::AtTarget:
        return atTarget(event.subject, static_cast<std::uint32_t>(event.detail));
    case WorldEvent::WorkDone:
        return workDone(static_cast<std::uint32_t>(event.subject), event.detail);
    case WorldEvent::Reply:
        return deliverReply(event.subject, event.detail);
    case WorldEvent::Deadline:
        return deadline(event.subject);
    case WorldEvent::Cancel:
        return cancelAt(event.subject);
    case WorldEvent::Tick:
        if (!m_entries[event.subject].frozen)
            m_policy->tick(static_cast<std::uint32_t>(event.subject));
        return m_events.schedule(now() + tickInterval, WorldEvent::Tick, event.subject);
    case WorldEvent::Probe:
        return probe(static_cast<std::uint32_t>(event.subject));
    case WorldEvent::Wake:
        return m_policy->wake(event.subject);
    case WorldEvent::Fault:
        return applyFault(m_scenario.faults[event.subject]);
    case WorldEvent::Thaw:
        return thaw(static_cast<std::uint32_t>(event.subject), event.detail != 0);
    case WorldEvent::EndOfSecond:
        return endSecond();
    case WorldEvent::End:
        return;
    }
}

void World::arrive()
{
    const double rate =
        m_shape.slots() * m_scenario.load * m_loadFactor / m_shape.meanServiceSeconds();
    constexpr double microsPerSecond = 1e6;
    const double gap = m_loadRandom.exponential(microsPerSecond / rate);
    m_events.schedule(now() + Duration(static_cast<Duration::rep>(std::max(1.0, gap))),
                      WorldEvent::Arrival);

    SimRequest request;
    request.key = m_keys.draw(m_loadRandom);
    request.hash = m_keys.hash(request.key);
    double pick = m_loadRandom.uniform();
    while (pick >= m_shape.kinds[request.kind].part && request.kind + 1U < m_shape.kinds.size())
        pick -= m_shape.kinds[request.kind++].part;
    do {
        request.entry = static_cast<std::uint16_t>(m_loadRandom.below(m_entries.size()));
    } while (m_entries[request.entry].removed);
    request.arrived = now();
    request.deadline = now() + m_shape.kinds[request.kind].rule.deadline - 2 * clientLink;
    request.counted = !m_entries[request.entry].frozen;
    request.live = true;
    if (request.counted)
        m_second.worthOffered += m_shape.kinds[request.kind].rule.worth;
    m_requests.push_back(request);
    m_events.schedule(now() + clientLink, WorldEvent::Delivered, m_requests.size() - 1);
}

void World::deliver(std::uint64_t id)
{
    SimRequest &request = m_requests[id];
    m_events.schedule(request.deadline, WorldEvent::Deadline, id);
    SimEntry &entry = m_entries[request.entry];
    if (entry.frozen)
        entry.backlog.push_back(id);
    else
        m_policy->arrived(id);
}

bool World::reachable(std::uint32_t zone, std::uint32_t other) const noexcept
{
    return zone == other || (!m_zoneCut[zone] && !m_zoneCut[other]);
}

Duration World::link(std::uint32_t zone, std::uint32_t other) const noexcept
{
    return zone == other ? localLink : m_shape.zoneLink;
}

void World::send(std::uint64_t id, std::uint32_t target, bool newConnection)
{
    SimRequest &request = m_requests[id];
    const SimEntry &entry = m_entries[request.entry];
    const FakeTarget &to = m_targets[target];
    ++request.attempt;
    request.target = target;
    request.underWay = true;
    request.sentAt = now();
    request.newConnection = newConnection;
    ++m_second.sent;
    m_record.connections += newConnection ? 1 : 0;
    if (request.attempt == 1) {
        ++m_record.firstTries;
        ++m_second.firstTries;
    } else {
        ++m_record.repeats;
    }
    m_record.sentAfterDeadline += now() > request.deadline ? 1 : 0;
    if (m_zoneOut[to.zone] && now() > m_zoneOutSince[to.zone] + leavingLimit)
        ++m_record.lateToLeaving;
    if (!reachable(entry.zone, to.zone)) {
        const auto kind = static_cast<std::uint64_t>(FinishKind::Failed);
        return m_events.schedule(now() + connectTimeout, WorldEvent::Reply, id,
                                 request.attempt << attemptShift | kind << kindShift);
    }
    const Duration handshake = newConnection ? 2 * link(entry.zone, to.zone) : Duration(0);
    m_events.schedule(now() + handshake + link(entry.zone, to.zone), WorldEvent::AtTarget, id,
                      request.attempt);
}

void World::atTarget(std::uint64_t id, std::uint32_t attempt)
{
    SimRequest &request = m_requests[id];
    if (!request.live || request.attempt != attempt || !request.underWay)
        return;
    FakeTarget &target = m_targets[request.target];
    if (!target.up)
        return reply(id, attempt, FinishKind::Failed, false);
    if (!target.granted)
        return reply(id, attempt, FinishKind::Refused, false);
    const KindShape &kind = m_shape.kinds[request.kind];
    constexpr double microsPerSecond = 1e6;
    const double mean = std::chrono::duration<double>(kind.serviceTime).count() * microsPerSecond;
    Work work;
    work.request = id;
    work.attempt = attempt;
    work.cost = Duration(static_cast<Duration::rep>(m_serviceRandom.gamma4(mean)));
    work.cost += request.newConnection ? m_shape.connectCost : Duration(0);
    work.arrivedAt = now();
    target.queue.push_back(work);
    noteColdLoad(target);
    const std::uint32_t load = target.load();
    if (load > target.settings.slots)
        m_record.mostOverSlots = std::max(m_record.mostOverSlots, load - target.settings.slots);
    fillSlots(target);
}

void World::noteColdLoad(FakeTarget &target)
{
    if (target.cold && now() - target.startedAt >= coldTime)
        target.cold = false;
    if (!target.cold)
        return;
    const std::uint32_t limit = target.bearingLimit(m_shape.service.coldAllowance, now());
    const std::uint32_t load = target.load();
    const std::uint32_t excess = load > limit ? load - limit : 0;
    target.worstColdExcess = std::max(target.worstColdExcess, excess);
    m_second.coldExcess = std::max(m_second.coldExcess, excess);
}

void World::fillSlots(FakeTarget &target)
{
    while (target.up && !target.queue.empty() && target.running.size() < target.settings.slots) {
        const Work work = target.queue.front();
        target.queue.pop_front();
        if (!work.isProbe) {
            SimRequest &request = m_requests[work.request];
            if (!request.live || request.attempt != work.attempt || request.deadline < now())
                continue;
            ++request.runs;
            if (request.runs == 2 && !m_shape.kinds[request.kind].rule.repeatable)
                ++m_record.ranTwice;
        }
        startWork(target, work);
    }
}

void World::startWork(FakeTarget &target, const Work &work)
{
    double factor = work.isProbe && target.probesLie ? 1 : target.slowness;
    if (target.cold) {
        const double limit = target.bearingLimit(m_shape.service.coldAllowance, now());
        const double over = std::max(1.0, target.load() / limit);
        factor *= over * over;
    }
    Work started = work;
    started.token = ++m_workTokens;
    target.running.push_back(started);
    const auto span = static_cast<Duration::rep>(static_cast<double>(work.cost.count()) * factor);
    const auto index = static_cast<std::uint64_t>(&target - m_targets.data());
    m_events.schedule(now() + Duration(span), WorldEvent::WorkDone, index, started.token);
}

void World::workDone(std::uint32_t index, std::uint64_t token)
{
    FakeTarget &target = m_targets[index];
    const auto found = std::find_if(target.running.begin(), target.running.end(),
                                    [token](const Work &work) { return work.token == token; });
    if (found == target.running.end())
        return;
    const Work work = *found;
    target.running.erase(found);
    noteColdLoad(target);
    if (work.isProbe) {
        const auto entry = static_cast<std::uint32_t>(work.request);
        if (!m_entries[entry].frozen)
            m_policy->probed(entry, index, now() - work.arrivedAt);
    } else {
        reply(work.request, work.attempt, FinishKind::Answered, true);
    }
    fillSlots(target);
}

void World::cancelAt(std::uint64_t id)
{
    const SimRequest &request = m_requests[id];
    FakeTarget &target = m_targets[request.target];
    const auto isIt = [id](const Work &work) { return !work.isProbe && work.request == id; };
    std::erase_if(target.queue, isIt);
    std::erase_if(target.running, isIt);
    fillSlots(target);
}

void World::reply(std::uint64_t id, std::uint32_t attempt, FinishKind kind, bool accepted)
{
    const SimRequest &request = m_requests[id];
    const Duration back = link(m_entries[request.entry].zone, m_targets[request.target].zone);
    const std::uint64_t mayHaveRun = accepted ? 1 : 0;
    m_events.schedule(now() + back, WorldEvent::Reply, id,
                      static_cast<std::uint64_t>(attempt) << attemptShift
                          | static_cast<std::uint64_t>(kind) << kindShift | mayHaveRun);
}

void World::deliverReply(std::uint64_t id, std::uint64_t detail)
{
    SimRequest &request = m_requests[id];
    if (!request.live || request.attempt != detail >> attemptShift || !request.underWay)
        return;
    SimEntry &entry = m_entries[request.entry];
    if (entry.frozen) {
        entry.replies.emplace_back(id, detail);
        return;
    }
    request.underWay = false;
    constexpr std::uint64_t kindMask = 0x7f;
    const auto kind = static_cast<FinishKind>((detail >> kindShift) & kindMask);
    m_policy->replied(id, kind, (detail & 1U) != 0);
}

void World::deadline(std::uint64_t id)
{
    SimRequest &request = m_requests[id];
    if (!request.live || m_entries[request.entry].frozen)
        return;
    if (request.underWay) {
        const std::uint32_t zone = m_targets[request.target].zone;
        m_events.schedule(now() + link(m_entries[request.entry].zone, zone), WorldEvent::Cancel,
                          id);
    }
    m_policy->expired(id);
}

void World::complete(std::uint64_t id, Outcome outcome)
{
    SimRequest &request = m_requests[id];
    if (!request.live)
        return;
    request.live = false;
    request.underWay = false;
    const KindShape &kind = m_shape.kinds[request.kind];
    m_record.unknown += outcome == Outcome::Unknown ? 1 : 0;
    m_record.notRunButRan += outcome == Outcome::NotRun && request.runs > 0 ? 1 : 0;
    if (!request.counted)
        return;
    const bool done = outcome == Outcome::Done && now() <= request.deadline;
    const Duration latency = done ? now() + clientLink - request.arrived : kind.rule.deadline;
    if (done)
        m_second.worthDone += kind.rule.worth;
    const auto micros = static_cast<std::uint32_t>(latency.count());
    m_secondLatencies.push_back(micros);
    m_record.samples.push_back(
        {request.arrived, micros, done, m_marked[request.key], request.entry});
}

void World::grantTarget(std::uint32_t target)
{
    m_targets[target].granted = m_targets[target].up;
}

void World::callPolicyAt(TimePoint at, std::uint64_t tag)
{
    m_events.schedule(at, WorldEvent::Wake, tag);
}

void World::noteMove(KeyRange range, bool planned, Duration closed)
{
    constexpr double microsPerMilli = 1000;
    const double millis = static_cast<double>(closed.count()) / microsPerMilli;
    double &longest = planned ? m_record.longestClosedMs : m_record.longestLostMs;
    longest = std::max(longest, millis);
    m_second.loadMoved += m_keys.partIn(range);
    ++m_second.moves;
}

void World::probe(std::uint32_t index)
{
    m_events.schedule(now() + probeInterval, WorldEvent::Probe, index);
    FakeTarget &target = m_targets[index];
    for (std::uint32_t entry = 0; entry < m_entries.size(); ++entry) {
        if (!target.up || !reachable(m_entries[entry].zone, target.zone))
            continue;
        Work work;
        work.request = entry;
        work.isProbe = true;
        work.cost = m_shape.probeCost;
        work.arrivedAt = now();
        target.queue.push_back(work);
    }
    fillSlots(target);
}

} // namespace yuccaspan::bench

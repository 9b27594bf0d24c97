#include "cluster.hpp"

#include <algorithm>
#include <sstream>

namespace yuccaspan::test {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr Duration tickInterval = milliseconds(40);
constexpr std::size_t traceLength = 120;

Heartbeat firstHeartbeat(const ZoneId &zone)
{
    Heartbeat heartbeat;
    heartbeat.zone = zone;
    return heartbeat;
}

class SimpleBalancer final : public Balancer
{
public:
    std::vector<PlannedChange> plan(const BalanceInput &input, TimePoint) override
    {
        std::vector<PlannedChange> changes;
        std::map<TargetId, int> count;
        for (const SliceRecord &slice : input.record->slices)
            ++count[slice.owner];
        for (const SliceRecord &slice : input.record->slices) {
            const auto owner = std::ranges::find(input.targets, slice.owner, &BalanceTarget::id);
            if (owner == input.targets.end() || owner->usable)
                continue;
            const BalanceTarget *best = nullptr;
            for (const BalanceTarget &target : input.targets) {
                if (target.usable && (best == nullptr || count[target.id] < count[best->id]))
                    best = &target;
            }
            if (best != nullptr) {
                ++count[best->id];
                changes.push_back(PlannedMove{slice.range, best->id, "owner is not usable"});
            }
        }
        return changes;
    }
};

} // namespace

impl::PlacementPolicy simplePolicy()
{
    return {[] { return std::make_unique<SimpleBalancer>(); }, initialSlices, {}};
}

Cluster::Cluster(const ClusterPlan &plan)
    : m_plan(plan), m_random(plan.seed), m_zoneCut(plan.zones, false)
{
    auto settings = std::make_shared<Settings>();
    settings->version = {1};
    ServiceSettings service;
    service.name = ServiceName("s");
    service.slicesPerTarget = plan.slicesPerTarget;
    service.whenCutOff = plan.policy;
    const auto makeClock = [&] {
        const double part = static_cast<double>(draw(2001)) / 2000.0 - 0.5;
        return DriftingClock{milliseconds(1000 + draw(100000)), 1 + part * plan.drift};
    };
    for (int zone = 0; zone < plan.zones; ++zone) {
        const ZoneId id("z" + std::to_string(zone));
        settings->zones.push_back({id, RegionId("r"), false, false});
        for (int i = 0; i < plan.targetsPerZone; ++i) {
            FakeTarget target;
            target.id = TargetId("t" + std::to_string(m_targets.size()));
            target.zone = id;
            target.checks = !plan.uncheckedTargets || i % 2 == 0;
            target.acceptsLateGrants = plan.lateGrants;
            target.clock = makeClock();
            service.targets.push_back(
                {target.id, id, "127.0.0.1", 1, 4, 100, target.checks, false});
            m_targets.push_back(std::move(target));
        }
    }
    settings->services.push_back(service);
    m_settings = settings;
    m_nodes.resize(plan.instances);
    for (int i = 0; i < plan.instances; ++i) {
        m_nodes[i].name = "n" + std::to_string(i);
        m_nodes[i].zoneIndex = i % plan.zones;
        m_nodes[i].zone = ZoneId("z" + std::to_string(i % plan.zones));
        m_nodes[i].clock = makeClock();
    }
    for (int i = 0; i < plan.instances; ++i)
        restart(i);
}

bool Cluster::chance(double share)
{
    return static_cast<double>(m_random() >> 11U) * 0x1.0p-53 < share;
}

std::uint64_t Cluster::draw(std::uint64_t below)
{
    return m_random() % below;
}

void Cluster::schedule(Duration delay, std::function<void()> work)
{
    m_queue.push({m_now + delay, ++m_steps, std::move(work)});
}

InstanceId Cluster::idOf(int index) const
{
    return InstanceId(m_nodes[index].name + "#" + std::to_string(m_nodes[index].start));
}

int Cluster::findInstance(const InstanceId &id) const
{
    for (int i = 0; i < static_cast<int>(m_nodes.size()); ++i) {
        if (m_nodes[i].up && idOf(i) == id)
            return i;
    }
    return -1;
}

TimePoint Cluster::localNow(int index) const
{
    return TimePoint(m_nodes[index].clock.at(m_now));
}

// Work for a paused instance is queued until it resumes; work for one that ended is
// dropped.
void Cluster::runOnInstance(int index, int start, std::function<void()> work)
{
    Instance &instance = m_nodes[index];
    if (!instance.up || instance.start != start)
        return;
    if (instance.pausedUntil > m_now)
        instance.backlog.push_back(std::move(work));
    else
        work();
}

void Cluster::restart(int index)
{
    Instance &instance = m_nodes[index];
    ++instance.start;
    instance.up = true;
    instance.leaving = false;
    instance.pausedUntil = {};
    instance.backlog.clear();
    instance.paths.clear();
    instance.seenVersions.clear();
    instance.lastTick = m_now;
    instance.core = std::move(impl::makeNode({idOf(index), instance.zone, m_random()}, {},
                                             simplePolicy(), m_plan.mutation)
                                  .value());
    instance.membership = Membership::create(idOf(index), instance.zone, {}).value();
    appendTrace("start " + idOf(index).text());
    handle(index, SettingsEvent{m_settings});
    const int start = instance.start;
    schedule(microseconds(draw(40000)), [=, this] { tick(index, start); });
    listInstances(index);
    // An instance has the addresses of its peers in its settings, so it can reach them immediately.
    for (int other = 0; other < static_cast<int>(m_nodes.size()); ++other) {
        if (other != index && m_nodes[other].up)
            sendPeer(index, idOf(other), firstHeartbeat(instance.zone));
    }
    for (const auto &[path, object] : m_objects)
        watch(index, start, path);
}

void Cluster::kill(int index)
{
    appendTrace("kill " + idOf(index).text());
    m_nodes[index].up = false;
    m_nodes[index].core.reset();
    m_nodes[index].paths.clear();
}

void Cluster::pause(int index, Duration length)
{
    appendTrace("pause " + idOf(index).text() + " for " + std::to_string(length.count() / 1000));
    m_nodes[index].pausedUntil = m_now + length;
    const int start = m_nodes[index].start;
    schedule(length, [=, this] {
        Instance &instance = m_nodes[index];
        if (!instance.up || instance.start != start || instance.pausedUntil > m_now)
            return;
        appendTrace("resume " + idOf(index).text());
        handle(index, ClockJumpEvent{length});
        instance.membership->clockJumped(localNow(index));
        while (!instance.backlog.empty() && instance.up) {
            auto work = std::move(instance.backlog.front());
            instance.backlog.pop_front();
            work();
        }
    });
}

void Cluster::leave(int index)
{
    m_nodes[index].leaving = true;
    m_nodes[index].membership->leave();
    handle(index, LeaveEvent{});
}

void Cluster::tick(int index, int start)
{
    runOnInstance(index, start, [=, this] {
        Instance &instance = m_nodes[index];
        schedule(tickInterval, [=, this] { tick(index, start); });
        MembershipStatus status;
        applyMembershipOutput(index, instance.membership->tick(status, localNow(index)));
        if (draw(8) == 0)
            listInstances(index);
        handle(index, TickEvent{});
    });
}

void Cluster::listInstances(int index)
{
    if (!reachesStore(index))
        return;
    std::vector<ListedInstance> list;
    for (int i = 0; i < static_cast<int>(m_nodes.size()); ++i) {
        if (m_nodes[i].up)
            list.push_back({idOf(i).text(), "entry", m_nodes[i].zone, "", m_nodes[i].leaving});
    }
    const int start = m_nodes[index].start;
    schedule(milliseconds(2 + draw(400)), [=, this] {
        runOnInstance(index, start, [=, this] {
            applyMembershipOutput(index, m_nodes[index].membership->listed(list, localNow(index)));
        });
    });
}

void Cluster::applyMembershipOutput(int index, MembershipOutput output)
{
    if (output.members)
        handle(index, *output.members);
    for (HeartbeatSend &send : output.send)
        sendPeer(index, send.to, std::move(send.heartbeat));
}

void Cluster::handle(int index, const PlacementEvent &event)
{
    if (!m_violation.empty())
        return;
    for (PlacementAction &action : m_nodes[index].core->handle(event, localNow(index)))
        execute(index, std::move(action));
}

void Cluster::execute(int index, PlacementAction action)
{
    if (auto *log = std::get_if<LogAction>(&action))
        appendTrace(idOf(index).text() + " " + log->part + ": " + log->text);
    else if (auto *send = std::get_if<SendPeerAction>(&action))
        sendPeer(index, send->to, std::move(send->message));
    else if (auto *order = std::get_if<SendOrderAction>(&action))
        sendOrder(index, *order);
    else if (auto *writing = std::get_if<WriteAction>(&action))
        write(index, *writing);
    else if (auto *reading = std::get_if<ReadAction>(&action))
        readObject(index, *reading);
    else if (auto *routes = std::get_if<RoutesAction>(&action))
        installRoutes(index, *routes);
}

Duration Cluster::linkDelay()
{
    return m_plan.loss > 0 && chance(0.02) ? Duration(milliseconds(draw(800)))
                                           : microseconds(300 + draw(2500));
}

bool Cluster::isCut(int zoneA, int zoneB) const
{
    return zoneA != zoneB && (m_zoneCut[zoneA] || m_zoneCut[zoneB]);
}

void Cluster::sendPeer(int from, const InstanceId &to, PeerMessage message)
{
    const auto envelope = std::make_shared<PeerEnvelope>(PeerEnvelope{idOf(from), message});
    const int fromZone = m_nodes[from].zoneIndex;
    const int copies = chance(m_plan.loss) ? 0 : (chance(0.01) ? 2 : 1);
    for (int copy = 0; copy < copies; ++copy) {
        schedule(linkDelay(), [=, this] {
            const int index = findInstance(to);
            if (index < 0 || isCut(fromZone, m_nodes[index].zoneIndex))
                return;
            runOnInstance(index, m_nodes[index].start, [=, this] {
                if (const auto *beat = std::get_if<Heartbeat>(&envelope->message))
                    applyMembershipOutput(index,
                                          m_nodes[index].membership->received(envelope->from, *beat,
                                                                              localNow(index)));
                else
                    handle(index, PeerEvent{*envelope});
            });
        });
    }
}

void Cluster::sendOrder(int index, const SendOrderAction &action)
{
    checkOrder(index, action);
    const int start = m_nodes[index].start;
    const auto found = std::ranges::find(m_targets, action.target, &FakeTarget::id);
    const int target = static_cast<int>(found - m_targets.begin());
    const int targetZone = std::stoi(found->zone.text().substr(1));
    const int fromZone = m_nodes[index].zoneIndex;
    const auto scheduleAnswer = [=, this](Duration delay, const TargetAnswer &answer) {
        schedule(delay, [=, this] {
            runOnInstance(index, start, [=, this] {
                handle(index, TargetAnswerEvent{action.target, answer});
            });
        });
    };
    TargetAnswer noAnswer;
    noAnswer.orderId = action.orderId;
    scheduleAnswer(milliseconds(150), noAnswer);
    if (chance(m_plan.loss) || isCut(fromZone, targetZone))
        return;
    const auto deliver = std::make_shared<std::function<void()>>();
    *deliver = [=, this, self = std::weak_ptr(deliver)] {
        FakeTarget &receiver = m_targets[target];
        if (!receiver.up)
            return;
        if (receiver.frozenUntil > m_now) {
            schedule(receiver.frozenUntil - m_now, [retry = self.lock()] { (*retry)(); });
            return;
        }
        const TargetAnswer answer = receiver.applyOrder(action.orderId, action.order, m_now);
        checkGrants();
        if (!chance(m_plan.loss) && !isCut(fromZone, targetZone))
            scheduleAnswer(linkDelay(), answer);
    };
    schedule(linkDelay(), [deliver] { (*deliver)(); });
    if (chance(0.01))
        schedule(linkDelay(), [deliver] { (*deliver)(); });
}

// The fake data path always has a request in flight on every open slice. The request ends
// requestLength after the route changes, or with the view lease if that is earlier.
void Cluster::installRoutes(int index, const RoutesAction &action)
{
    DataPath &path = m_nodes[index].paths[action.routes->cell];
    const TimePoint now = localNow(index);
    if (path.routes) {
        for (const Route &old : path.routes->routes) {
            const TimePoint end = std::min(now + m_plan.requestLength, path.routes->viewLeaseEnd);
            if (old.state == RouteState::Open && end > now)
                path.inFlight.push_back({old.range, {old.owner, end}});
        }
    }
    std::erase_if(path.inFlight, [&](const auto &item) {
        return item.second.second <= now
            || std::ranges::any_of(action.routes->routes, [&](const Route &route) {
                   return route.state == RouteState::Open && route.range.contains(item.first)
                       && route.owner == item.second.first;
               });
    });
    path.routes = action.routes;
    for (const KeyRange &range : action.reportIdle) {
        const auto route = std::ranges::find(path.routes->routes, range, &Route::range);
        reportIdle(index, m_nodes[index].start, {action.routes->cell, range, route->token});
    }
    checkUncheckedTargets();
}

void Cluster::reportIdle(int index, int start, const SliceIdleEvent &event)
{
    schedule(milliseconds(1), [=, this] {
        runOnInstance(index, start, [=, this] {
            const DataPath &path = m_nodes[index].paths[event.cell];
            const bool isHeld = std::ranges::any_of(path.routes->routes, [&](const Route &route) {
                return route.range == event.range && route.token == event.token
                    && route.state == RouteState::Held;
            });
            const bool isBusy = std::ranges::any_of(path.inFlight, [&](const auto &item) {
                return item.first.overlaps(event.range) && item.second.second > localNow(index);
            });
            if (isHeld && isBusy)
                reportIdle(index, start, event);
            else if (isHeld)
                handle(index, event);
        });
    });
}

void Cluster::applySettings(const std::function<void(Settings &)> &change)
{
    auto settings = std::make_shared<Settings>(*m_settings);
    settings->version = settings->version.next();
    change(*settings);
    m_settings = settings;
    for (int i = 0; i < static_cast<int>(m_nodes.size()); ++i) {
        const int start = m_nodes[i].start;
        schedule(milliseconds(draw(500)), [=, this] {
            runOnInstance(i, start, [=, this] { handle(i, SettingsEvent{settings}); });
        });
    }
}

void Cluster::run(Duration length)
{
    const Duration end = m_now + length;
    while (m_violation.empty() && !m_queue.empty() && m_queue.top().at <= end) {
        const Step step = m_queue.top();
        m_queue.pop();
        m_now = step.at;
        step.work();
    }
    m_now = std::max(m_now, end);
}

bool Cluster::runUntilServing(Duration limit)
{
    const Duration end = m_now + limit;
    while (m_violation.empty() && m_now < end) {
        run(milliseconds(200));
        if (m_violation.empty() && isServing())
            return true;
    }
    return false;
}

std::string Cluster::trace() const
{
    std::string text;
    for (const std::string &line : m_trace)
        text += line + "\n";
    return text;
}

void Cluster::appendTrace(const std::string &line)
{
    m_trace.push_back(std::to_string(m_now.count()) + " " + line);
    if (m_trace.size() > traceLength)
        m_trace.pop_front();
}

} // namespace yuccaspan::test

// Faults, invariants and the liveness check of the cluster under test.
#include "cluster.hpp"

#include <algorithm>
#include <sstream>

namespace yuccaspan::test {

using std::chrono::milliseconds;

void Cluster::fail(const std::string &what)
{
    if (!m_violation.empty())
        return;
    m_violation = what;
    appendTrace("VIOLATION: " + what);
}

// At most one target has an unexpired grant for a key.
void Cluster::checkGrants()
{
    std::vector<std::pair<KeyRange, const FakeTarget *>> all;
    std::vector<GrantedSlice> held;
    for (const FakeTarget &target : m_targets) {
        if (!target.up)
            continue;
        held.clear();
        target.appendHeldSlices(m_now, held);
        for (const GrantedSlice &slice : held)
            all.emplace_back(slice.range, &target);
    }
    std::ranges::sort(all, {}, [](const auto &item) { return item.first; });
    KeyHash highest = 0;
    const FakeTarget *owner = nullptr;
    for (const auto &[range, target] : all) {
        if (owner != nullptr && range.first <= highest && owner != target)
            fail("targets " + owner->id.text() + " and " + target->id.text()
                 + " hold grants for the same key");
        if (owner == nullptr || range.last >= highest) {
            highest = range.last;
            owner = target;
        }
    }
}

TargetId Cluster::uncheckedTargetInUse(const Instance &instance, const DataPath &path,
                                       KeyHash hash) const
{
    const TimePoint now(instance.clock.at(m_now));
    const auto isUnchecked = [&](const TargetId &id) {
        const auto found = std::ranges::find(m_targets, id, &FakeTarget::id);
        return found != m_targets.end() && !found->checks;
    };
    for (const auto &[range, use] : path.inFlight) {
        if (range.contains(hash) && use.second > now && isUnchecked(use.first))
            return use.first;
    }
    if (!path.routes || path.routes->viewLeaseEnd <= now)
        return {};
    for (const Route &route : path.routes->routes) {
        if (route.range.contains(hash) && route.state == RouteState::Open
            && isUnchecked(route.owner))
            return route.owner;
    }
    return {};
}

// Instances must not use different unchecked targets for the same key, nor an unchecked target
// for a key for which another target holds a grant.
void Cluster::checkUncheckedTargets()
{
    if (!m_plan.uncheckedTargets || !m_violation.empty())
        return;
    std::vector<std::pair<GrantedSlice, TargetId>> grants;
    for (const FakeTarget &target : m_targets) {
        std::vector<GrantedSlice> held;
        if (target.up)
            target.appendHeldSlices(m_now, held);
        for (const GrantedSlice &slice : held)
            grants.emplace_back(slice, target.id);
    }
    std::map<KeyHash, TargetId> users;
    for (const Instance &instance : m_nodes) {
        for (const auto &[cell, path] : instance.paths) {
            if (!path.routes)
                continue;
            for (const Route &route : path.routes->routes) {
                const TargetId user = uncheckedTargetInUse(instance, path, route.range.last);
                if (user.empty())
                    continue;
                const auto [known, isNew] = users.try_emplace(route.range.last, user);
                if (known->second != user)
                    fail("targets " + user.text() + " and " + known->second.text()
                         + " are used for the same key");
                for (const auto &[slice, holder] : grants) {
                    if (slice.range.contains(route.range.last))
                        fail("target " + user.text() + " is used while " + holder.text()
                             + " holds a grant");
                }
            }
        }
    }
}

// Terms and tokens never decrease, and a slice changes its owner only by a move whose intent was
// committed before.
void Cluster::checkWrite(const std::string &path, const std::string &before,
                         const std::string &after)
{
    const auto next = decodeCellRecord(after);
    const auto old = decodeCellRecord(before);
    if (next) {
        appendTrace("commit " + path + " term " + std::to_string(next->term.value) + " by "
                    + next->placer.text());
    }
    if (!next || !old)
        return;
    if (next->term < old->term || next->lastToken < old->lastToken)
        fail("the term or the last token of " + path + " decreased");
    if (next->term == old->term && next->placer != old->placer)
        fail("two instances wrote " + path + " in one term");
    for (const SliceRecord &slice : next->slices) {
        for (const SliceRecord &was : old->slices) {
            if (!was.range.overlaps(slice.range))
                continue;
            if (slice.token < was.token)
                fail("a token decreased in " + path);
            const bool isIntended = was.phase == SlicePhase::Moving && slice.owner == was.nextOwner
                && slice.token == was.nextToken;
            if (slice.owner != was.owner && !isIntended)
                fail("an owner changed without a committed move in " + path);
        }
    }
}

// A grant must not expire later than the authority of the placer that sends it.
void Cluster::checkOrder(int index, const SendOrderAction &action)
{
    const auto *grant = std::get_if<GrantOrder>(&action.order);
    if (grant == nullptr)
        return;
    const auto target = std::ranges::find(m_targets, action.target, &FakeTarget::id);
    for (const CellStatus &status : m_nodes[index].core->status(localNow(index))) {
        if (status.cell != grant->cell)
            continue;
        if (!status.isPlacer)
            return;
        const double until = static_cast<double>((grant->validUntil - target->clock.origin).count())
            / target->clock.rate;
        const double authority = static_cast<double>(m_now.count())
            + static_cast<double>(status.authorityLeft.count()) / m_nodes[index].clock.rate;
        if (grant->startId == target->startId() && until > authority + 2)
            fail("a grant outlasts the authority of " + idOf(index).text());
    }
}

std::vector<CellRecord> Cluster::records() const
{
    std::vector<CellRecord> list;
    for (const auto &[path, object] : m_objects) {
        if (const auto record = decodeCellRecord(object.value))
            list.push_back(*record);
    }
    return list;
}

int Cluster::placerOf(const CellId &cell) const
{
    for (int i = 0; i < static_cast<int>(m_nodes.size()); ++i) {
        if (!m_nodes[i].up)
            continue;
        for (const CellStatus &status : m_nodes[i].core->status(localNow(i))) {
            if (status.cell == cell && status.isPlacer && status.authorityLeft > Duration::zero())
                return i;
        }
    }
    return -1;
}

bool Cluster::isServing(std::string *reason) const
{
    const auto report = [&](const std::string &text) {
        if (reason != nullptr)
            *reason = text;
        return false;
    };
    const std::vector<CellRecord> all = records();
    if (static_cast<int>(all.size()) != m_plan.zones)
        return report("a record is missing");
    for (const Instance &instance : m_nodes) {
        if (!instance.up)
            continue;
        for (const CellRecord &record : all) {
            const auto path = instance.paths.find(record.cell);
            if (path == instance.paths.end() || !path->second.routes)
                return report("no routes at instance " + instance.name);
            for (const Route &route : path->second.routes->routes) {
                const auto target = std::ranges::find(m_targets, route.owner, &FakeTarget::id);
                if (route.state != RouteState::Open || target == m_targets.end())
                    return report("a route is not open at instance " + instance.name);
                const bool serves = target->checks
                    ? target->serves(route.range.first, route.token, m_now)
                    : path->second.routes->viewLeaseEnd > TimePoint(instance.clock.at(m_now));
                if (!target->up || !serves)
                    return report("a key is not served by target " + route.owner.text());
            }
        }
    }
    return true;
}

bool Cluster::isAnySliceHeld() const
{
    return std::ranges::any_of(m_nodes, [](const Instance &instance) {
        return std::ranges::any_of(instance.paths, [](const auto &item) {
            const auto &routes = item.second.routes;
            return routes && std::ranges::any_of(routes->routes, [](const Route &route) {
                       return route.state == RouteState::Held;
                   });
        });
    });
}

void Cluster::requestMove(std::uint64_t pick)
{
    const std::vector<CellRecord> all = records();
    if (all.empty())
        return;
    const CellRecord &record = all[pick % all.size()];
    const SliceRecord &slice = record.slices[pick / 7 % record.slices.size()];
    const TargetId to = m_targets[pick / 97 % m_targets.size()].id;
    const int placer = placerOf(record.cell);
    if (placer >= 0 && m_nodes[placer].pausedUntil <= m_now)
        handle(placer, MoveRequestEvent{record.cell, slice.range, to, "requested by the test"});
}

void Cluster::requestSplitOrMerge(std::uint64_t pick)
{
    const std::vector<CellRecord> all = records();
    if (all.empty())
        return;
    const CellRecord &record = all[pick % all.size()];
    const std::size_t at = pick / 7 % record.slices.size();
    const KeyRange range = record.slices[at].range;
    const int placer = placerOf(record.cell);
    if (placer < 0 || m_nodes[placer].pausedUntil > m_now)
        return;
    if (pick / 97 % 2 == 0)
        handle(placer,
               SplitRequestEvent{record.cell, range,
                                 range.first + (range.last - range.first) / 2 + 1});
    else if (at + 1 < record.slices.size())
        handle(placer, MergeRequestEvent{record.cell, range, record.slices[at + 1].range});
}

void Cluster::faultStep(Fault fault)
{
    const int instance = static_cast<int>(draw(m_nodes.size()));
    FakeTarget &target = m_targets[draw(m_targets.size())];
    const int zone = static_cast<int>(draw(m_zoneCut.size()));
    switch (fault) {
    case Fault::KillInstance:
        if (m_nodes[instance].up && std::ranges::count_if(m_nodes, &Instance::up) > 2)
            kill(instance);
        break;
    case Fault::RestartInstance:
        if (!m_nodes[instance].up)
            restart(instance);
        break;
    case Fault::PauseInstance:
        if (m_nodes[instance].up && m_nodes[instance].pausedUntil <= m_now)
            pause(instance, milliseconds(100 + draw(2500)));
        break;
    case Fault::FreezeTarget:
        appendTrace("freeze " + target.id.text());
        target.frozenUntil = m_now + milliseconds(100 + draw(2500));
        break;
    case Fault::ToggleTarget:
        appendTrace("toggle " + target.id.text());
        if (target.up)
            target.up = false;
        else
            target.restart();
        break;
    case Fault::ToggleZoneCut:
        m_zoneCut[zone] = !m_zoneCut[zone];
        appendTrace("cut of zone " + std::to_string(zone) + " " + (m_zoneCut[zone] ? "on" : "off"));
        break;
    case Fault::ToggleStore:
        m_storeUp = !m_storeUp;
        appendTrace(m_storeUp ? "store up" : "store down");
        break;
    case Fault::ToggleStoreCut:
        m_nodes[instance].storeCut = !m_nodes[instance].storeCut;
        appendTrace(std::string("store cut ") + (m_nodes[instance].storeCut ? "on " : "off ")
                    + m_nodes[instance].name);
        break;
    case Fault::LoseWriteAnswers:
        m_answersToLose = static_cast<int>(1 + draw(3));
        break;
    case Fault::ToggleZoneOut:
        applySettings(
            [&](Settings &settings) { settings.zones[zone].out = !settings.zones[zone].out; });
        break;
    case Fault::SplitOrMerge:
        requestSplitOrMerge(m_random());
        break;
    case Fault::MoveSlice:
        requestMove(m_random());
        break;
    }
}

void Cluster::endAllFaults()
{
    appendTrace("end all faults");
    m_storeUp = true;
    m_answersToLose = 0;
    m_plan.loss = 0;
    std::fill(m_zoneCut.begin(), m_zoneCut.end(), false);
    applySettings([](Settings &settings) {
        for (ZoneSettings &zone : settings.zones)
            zone.out = false;
    });
    for (FakeTarget &target : m_targets) {
        if (!target.up)
            target.restart();
    }
    for (int i = 0; i < static_cast<int>(m_nodes.size()); ++i) {
        m_nodes[i].storeCut = false;
        if (!m_nodes[i].up)
            restart(i);
    }
}

} // namespace yuccaspan::test

// Plans changes: evacuating lost targets, the balancer's plan, operator requests.
#include "placement/placer.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace yuccaspan::impl {

namespace {
constexpr Duration planInterval = std::chrono::milliseconds(100);
/// Maximum number of splits and merges that wait for a write.
constexpr std::size_t maxShapeChanges = 64;
} // namespace

std::string sliceName(const KeyRange &range)
{
    std::ostringstream text;
    text << "slice " << range;
    return text.str();
}

void Placer::plan(Context &context, TimePoint now)
{
    m_nextPlanAt = now + planInterval;
    if (context.findService(m_record.cell.service) == nullptr)
        return;
    watchTargets(context);
    evacuateLostTargets(context, now);
    if (m_life.phase() == PlacerPhase::Active)
        planByBalancer(context, now);
    shareCapacities(context, now);
}

void Placer::watchTargets(Context &context)
{
    const ServiceSettings &service = *context.findService(m_record.cell.service);
    for (const TargetSettings &target : service.targets) {
        if (!target.checksGrants)
            m_unchecked.insert(target.id);
    }
    const bool homeZoneServes = std::ranges::any_of(service.targets, [&](const auto &target) {
        return target.zone == m_record.cell.zone && isUsable(context, target)
            && m_book.phase(target.id) == TargetPhase::Serving;
    });
    std::set<TargetId> watched;
    for (const TargetSettings &target : service.targets) {
        if (!homeZoneServes || target.zone == m_record.cell.zone)
            watched.insert(target.id);
    }
    for (const SliceRun &run : m_runs) {
        if (!run.record.owner.empty())
            watched.insert(run.record.owner);
        if (run.move)
            watched.insert(run.move->to);
    }
    for (const TargetId &target : watched)
        m_book.watch(target);
    m_book.keepOnly([&](const TargetId &target) { return watched.contains(target); });
}

bool Placer::isUsable(const Context &context, const TargetSettings &target) const
{
    const TargetEntry *entry = m_book.find(target.id);
    const bool isDraining = entry != nullptr && entry->state == TargetState::Draining;
    return context.settings->mayReceiveWork(target) && !isDraining
        && m_book.phase(target.id) != TargetPhase::Lost;
}

std::vector<BalanceTarget> Placer::balanceTargets(const Context &context, TimePoint now) const
{
    std::vector<BalanceTarget> targets;
    for (const TargetSettings &target : context.findService(m_record.cell.service)->targets) {
        const TargetEntry *entry = m_book.find(target.id);
        BalanceTarget item;
        item.id = target.id;
        item.zone = target.zone;
        item.capacity = target.slots;
        item.usable = isUsable(context, target);
        item.cold = entry != nullptr && entry->state == TargetState::Cold;
        item.slowdown = m_loads.slowdown(target.id, now);
        item.slowFor = m_loads.slowFor(target.id, now);
        targets.push_back(std::move(item));
    }
    return targets;
}

void Placer::evacuateLostTargets(Context &context, TimePoint now)
{
    const ServiceSettings &service = *context.findService(m_record.cell.service);
    std::map<TargetId, double> slices;
    for (const SliceRun &run : m_runs)
        ++slices[run.move ? run.move->to : run.record.owner];
    const auto score = [&](const TargetSettings &target) {
        const bool isOtherZone = target.zone != m_record.cell.zone;
        return std::pair(isOtherZone, (slices[target.id] + 1) / std::max(target.slots, 1U));
    };
    for (SliceRun &run : m_runs) {
        const TargetId &owner = run.record.owner;
        const bool isLost = owner.empty() || m_book.phase(owner) == TargetPhase::Lost
            || context.findTarget(m_record.cell.service, owner) == nullptr;
        if (run.move || !isLost)
            continue;
        const TargetSettings *best = nullptr;
        for (const TargetSettings &target : service.targets) {
            if (target.id == owner || !isUsable(context, target)
                || m_book.phase(target.id) != TargetPhase::Serving)
                continue;
            if (best == nullptr || score(target) < score(*best))
                best = &target;
        }
        if (best != nullptr && startMove(context, run, best->id, "the owner is lost", now))
            ++slices[best->id];
    }
}

void Placer::planByBalancer(Context &context, TimePoint now)
{
    const ServiceSettings &service = *context.findService(m_record.cell.service);
    BalanceInput input;
    input.record = &m_record;
    input.targets = balanceTargets(context, now);
    input.loads = m_loads.sliceLoads(now);
    input.movesUnderWay = movesUnderWay();
    input.maxMoves = context.timing.maxConcurrentMoves;
    input.maxSlices = service.maxSlicesPerCell;
    for (const PlannedChange &change : m_balancer->plan(input, now)) {
        if (const auto *move = std::get_if<PlannedMove>(&change)) {
            SliceRun *run = findRun(move->range);
            if (run != nullptr && movesUnderWay() < input.maxMoves)
                (void)startMove(context, *run, move->to, move->why, now);
        } else if (const auto *split = std::get_if<PlannedSplit>(&change)) {
            onSplitRequest({m_record.cell, split->range, split->secondFirst});
        } else {
            const auto &merge = std::get<PlannedMerge>(change);
            onMergeRequest({m_record.cell, merge.lower, merge.upper});
        }
    }
}

bool Placer::startMove(Context &context, SliceRun &run, const TargetId &to,
                       const std::string &reason, TimePoint now)
{
    const TargetSettings *target = context.findTarget(m_record.cell.service, to);
    const bool isPossible =
        target != nullptr && !run.move && run.record.owner != to && isUsable(context, *target);
    if (!isPossible)
        return false;
    m_book.watch(to);
    run.move.emplace();
    run.move->to = to;
    run.move->why = reason;
    run.move->since = now;
    const std::string from = run.record.owner.empty() ? "nobody" : run.record.owner.text();
    context.log("placement",
                "Moves " + sliceName(run.record.range) + " from " + from + " to " + to.text() + ": "
                    + reason + ".");
    return true;
}

void Placer::onMoveRequest(Context &context, const MoveRequestEvent &request, TimePoint now)
{
    SliceRun *run = findRun(request.range);
    const bool isStarted = !isRetired() && m_life.phase() != PlacerPhase::HandingOver
        && run != nullptr && startMove(context, *run, request.to, request.why, now);
    if (isStarted)
        progress(context, now);
    else
        context.log("placement",
                    "Rejects the request to move " + sliceName(request.range) + " to "
                        + request.to.text() + ".");
}

void Placer::onSplitRequest(const SplitRequestEvent &request)
{
    if (m_shapeChanges.size() < maxShapeChanges)
        m_shapeChanges.push_back({PlannedSplit{request.range, request.secondFirst}});
}

void Placer::onMergeRequest(const MergeRequestEvent &request)
{
    if (m_shapeChanges.size() < maxShapeChanges)
        m_shapeChanges.push_back({PlannedMerge{request.lower, request.upper}});
}

std::uint32_t Placer::movesUnderWay() const
{
    return static_cast<std::uint32_t>(
        std::ranges::count_if(m_runs, [](const SliceRun &run) { return run.move.has_value(); }));
}

void Placer::shareCapacities(Context &context, TimePoint now)
{
    // Only one placer divides a target's slots: that of the first cell of the target's zone,
    // whichever cells own slices there. An instance without a share uses its minimum.
    if (!context.policy.shareCapacity || m_record.cell.index != 0)
        return;
    std::map<InstanceId, std::vector<CapacityShare>> shares;
    for (const TargetSettings &target : context.findService(m_record.cell.service)->targets) {
        if (target.zone != m_record.cell.zone)
            continue;
        std::map<InstanceId, double> demand = m_loads.demand(target.id, now);
        for (const Member &member : context.members) {
            if (member.alive)
                demand.try_emplace(member.id, 0.0);
        }
        for (const auto &[entry, share] : context.policy.shareCapacity(target, demand))
            shares[entry].push_back(share);
    }
    for (auto &[entry, list] : shares)
        m_publisher.setShares(entry, std::move(list));
}

} // namespace yuccaspan::impl

// Moves, grants and routes of a placer.
#include "placement/placer.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace yuccaspan::impl {

namespace {
/// Longest wait for entry instances to finish requests before a revoke is sent to a target that
/// checks grants.
constexpr Duration drainTimeout = std::chrono::milliseconds(300);
} // namespace

SliceRun *Placer::findRun(const KeyRange &range)
{
    const auto found = std::ranges::find_if(
        m_runs, [&](const SliceRun &run) { return run.record.range == range; });
    return found == m_runs.end() ? nullptr : &*found;
}

void Placer::advanceMoves(Context &context, TimePoint now)
{
    const bool expired = earlierTermsExpired(context, now);
    for (SliceRun &run : m_runs) {
        run.removeExpired(expired, now);
        while (run.move && advance(context, run, now))
            run.move->since = now;
    }
}

bool Placer::advance(Context &context, SliceRun &run, TimePoint now)
{
    switch (run.move->life.phase()) {
    case MovePhase::Draining:
        return drain(context, run, now);
    case MovePhase::Revoking:
        return release(context, run, now);
    case MovePhase::Granting:
        return confirm(context, run, now);
    case MovePhase::Planned:
    case MovePhase::Settling:
    case MovePhase::Settled:
        return false;
    }
    return false;
}

bool Placer::drain(Context &context, SliceRun &run, TimePoint now)
{
    Move &move = *run.move;
    if (move.heldSince == 0)
        return false;
    const TargetId &owner = run.record.owner;
    const bool isUnchecked = m_unchecked.contains(owner);
    bool isDone = owner.empty()
        || m_publisher.isIdleEverywhere(context, run.record.range, move.heldSince, isUnchecked,
                                        now);
    if (!isUnchecked) {
        isDone =
            isDone || now - move.since >= drainTimeout || m_book.phase(owner) == TargetPhase::Lost;
    }
    if (isDone)
        move.life.handle(MoveSignal::Drained);
    return isDone;
}

bool Placer::release(Context &context, SliceRun &run, TimePoint now)
{
    Move &move = *run.move;
    const bool expired = earlierTermsExpired(context, now);
    const bool skipsRevoke = context.mutation == ProtocolMutation::SettleBeforeRevoke;
    if (!run.isHeldByOthers(move.to, expired, now) || skipsRevoke) {
        move.life.handle(MoveSignal::Released);
        return true;
    }
    const TargetId &owner = run.record.owner;
    const bool answers = m_book.phase(owner) != TargetPhase::Lost;
    if (answers && context.checksGrants(m_record.cell.service, owner))
        m_book.revoke(context, owner, {run.record.range, run.record.token}, now);
    return false;
}

bool Placer::confirm(Context &context, SliceRun &run, TimePoint now)
{
    Move &move = *run.move;
    const bool checks = context.checksGrants(m_record.cell.service, move.to);
    if (!checks || m_book.isConfirmed(move.to, run.record.range, now)) {
        move.opened = true;
        move.life.handle(MoveSignal::Granted);
        context.log("placement",
                    "Opens " + sliceName(run.record.range) + " at " + move.to.text() + ".");
        return true;
    }
    if (m_book.phase(move.to) != TargetPhase::Lost)
        return false;
    move.life.handle(MoveSignal::Abandoned);
    return true;
}

void Placer::assignGrants(Context &context, TimePoint now)
{
    const bool expired = earlierTermsExpired(context, now);
    const bool skipsRevoke = context.mutation == ProtocolMutation::SettleBeforeRevoke;
    std::map<TargetId, std::vector<GrantedSlice>> sets;
    std::map<TargetId, std::vector<SliceRun *>> granted;
    for (SliceRun &run : m_runs) {
        const TargetId grantee = run.grantee();
        if (grantee.empty() || (run.isHeldByOthers(grantee, expired, now) && !skipsRevoke))
            continue;
        if (!context.checksGrants(m_record.cell.service, grantee))
            continue;
        sets[grantee].push_back({run.record.range, run.granteeToken()});
        granted[grantee].push_back(&run);
    }
    m_book.assignAll(std::move(sets));
    for (const auto &extension : m_book.step(context, authorityUntil(now), now)) {
        for (SliceRun *run : granted[extension.target])
            run->extend(extension.target, extension.startId, extension.until);
    }
}

void Placer::updateRoutes()
{
    std::vector<Route> routes;
    routes.reserve(m_runs.size());
    for (const SliceRun &run : m_runs)
        routes.push_back(routeOf(run));
    m_publisher.setRoutes(std::move(routes));
    for (SliceRun &run : m_runs) {
        if (run.move && run.move->heldSince == 0 && run.move->life.phase() == MovePhase::Draining)
            run.move->heldSince = m_publisher.sequence();
    }
}

Route Placer::routeOf(const SliceRun &run) const
{
    const SliceRecord &slice = run.record;
    Route route{slice.range, slice.owner, slice.token, RouteState::Open};
    if (!run.move || run.move->life.phase() == MovePhase::Planned) {
        if (slice.owner.empty())
            route.state = RouteState::Unowned;
        else if (m_book.phase(slice.owner) == TargetPhase::Lost)
            route.state = RouteState::Held;
        return route;
    }
    if (!run.move->opened) {
        route.state = RouteState::Held;
        return route;
    }
    return {slice.range, run.move->to, slice.nextToken, RouteState::Open};
}

} // namespace yuccaspan::impl

#include "placement/slice_run.hpp"

#include <algorithm>

namespace yuccaspan::impl {

namespace {

bool isInForce(const Hold &hold, bool earlierTermsExpired, TimePoint now)
{
    return hold.earlierTerm ? !earlierTermsExpired : hold.until > now;
}

} // namespace

bool SliceRun::isHeldByOthers(const TargetId &target, bool earlierTermsExpired, TimePoint now) const
{
    return std::ranges::any_of(holds, [&](const Hold &hold) {
        return hold.target != target && isInForce(hold, earlierTermsExpired, now);
    });
}

void SliceRun::extend(const TargetId &target, const std::string &startId, TimePoint until)
{
    const auto found = std::ranges::find_if(holds, [&](const Hold &hold) {
        return !hold.earlierTerm && hold.target == target && hold.startId == startId;
    });
    if (found == holds.end())
        holds.push_back({target, startId, until, false});
    else
        found->until = std::max(found->until, until);
}

void SliceRun::release(const TargetId &target, const std::string &startId)
{
    std::erase_if(holds, [&](const Hold &hold) {
        return !hold.earlierTerm && hold.target == target && hold.startId == startId;
    });
}

void SliceRun::removeExpired(bool earlierTermsExpired, TimePoint now)
{
    std::erase_if(holds,
                  [&](const Hold &hold) { return !isInForce(hold, earlierTermsExpired, now); });
}

TargetId SliceRun::grantee() const
{
    if (!move)
        return record.owner;
    switch (move->life.phase()) {
    case MovePhase::Planned:
    case MovePhase::Draining:
        return record.owner;
    case MovePhase::Revoking:
        return {};
    case MovePhase::Granting:
    case MovePhase::Settling:
    case MovePhase::Settled:
        return move->to;
    }
    return {};
}

FencingToken SliceRun::granteeToken() const
{
    const bool usesNextToken = move && move->life.phase() >= MovePhase::Granting;
    return usesNextToken ? record.nextToken : record.token;
}

} // namespace yuccaspan::impl

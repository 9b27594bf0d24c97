#include "ownership/grant_book.hpp"

#include <algorithm>
#include <utility>

namespace yuccaspan::impl {

namespace {
/// Interval between probes of targets that hold no slice.
constexpr Duration idleProbeInterval = std::chrono::seconds(1);
/// Delay of a grant after a revoke: sent together, the grant could overtake the revoke, which the
/// target would then refuse.
constexpr Duration grantDelayAfterRevoke = std::chrono::milliseconds(50);
/// An order whose result the daemon never reported is dropped after this many timeouts.
constexpr int maxOverdueTimeouts = 3;
} // namespace

GrantBook::GrantBook(CellId cell, Term term) : m_cell(std::move(cell)), m_term(term)
{ }

void GrantBook::assignAll(std::map<TargetId, std::vector<GrantedSlice>> sets)
{
    for (auto &[target, entry] : m_targets) {
        const auto found = sets.find(target);
        assign(entry, found == sets.end() ? std::vector<GrantedSlice>() : std::move(found->second));
        if (found != sets.end())
            sets.erase(found);
    }
    for (auto &[target, set] : sets)
        assign(m_targets[target], std::move(set));
}

void GrantBook::assign(TargetEntry &entry, std::vector<GrantedSlice> set)
{
    if (entry.set == set)
        return;
    entry.set = std::move(set);
    ++entry.setVersion;
}

bool GrantBook::isConfirmed(const TargetId &target, TimePoint now) const
{
    const TargetEntry *entry = find(target);
    return entry != nullptr && !entry->set.empty() && entry->ackedSetVersion == entry->setVersion
        && now < entry->ackedUntil;
}

bool GrantBook::isConfirmed(const TargetId &target, const KeyRange &range, TimePoint now) const
{
    const TargetEntry *entry = find(target);
    return isConfirmed(target, now)
        && std::ranges::any_of(entry->set,
                               [&](const GrantedSlice &slice) { return slice.range == range; });
}

std::vector<GrantBook::Extension> GrantBook::step(Context &context, TimePoint authorityUntil,
                                                  TimePoint now)
{
    std::vector<Extension> extensions;
    expireOrders(context.timing, now);
    for (auto &[target, entry] : m_targets) {
        if (entry.order || !isDue(entry, now) || isRevoking(target, now))
            continue;
        const bool checks = context.checksGrants(m_cell.service, target);
        if (checks && entry.lastAnswered && !entry.set.empty()) {
            if (auto extension = grant(context, target, entry, authorityUntil, now))
                extensions.push_back(std::move(*extension));
        } else {
            probe(context, target, entry, now);
        }
    }
    return extensions;
}

bool GrantBook::isRevoking(const TargetId &target, TimePoint now) const
{
    return std::ranges::any_of(m_revokes, [&](const auto &item) {
        return item.second.target == target && now - item.second.sentAt < grantDelayAfterRevoke;
    });
}

bool GrantBook::isDue(const TargetEntry &entry, TimePoint now) const
{
    const bool setChanged =
        entry.lastAnswered && !entry.set.empty() && entry.setVersion != entry.ackedSetVersion;
    return now >= entry.nextAt || setChanged;
}

void GrantBook::expireOrders(const PlacementTiming &timing, TimePoint now)
{
    const Duration limit = timing.orderTimeout * maxOverdueTimeouts;
    for (auto &[target, entry] : m_targets) {
        if (entry.order && now - entry.order->sentAt > limit) {
            entry.order.reset();
            AnswerEffect ignored;
            recordNoAnswer(entry, ignored, timing, now);
        }
    }
    std::erase_if(m_revokes, [&](const auto &item) { return now - item.second.sentAt > limit; });
}

std::optional<GrantBook::Extension> GrantBook::grant(Context &context, const TargetId &target,
                                                     TargetEntry &entry, TimePoint authorityUntil,
                                                     TimePoint now)
{
    const TimePoint until = std::min(now + context.timing.grantLength, authorityUntil);
    if (until <= now)
        return std::nullopt;
    GrantOrder order;
    order.cell = m_cell;
    order.term = m_term;
    order.sequence = ++m_sequence;
    order.startId = entry.startId;
    order.validUntil = entry.clock + context.shrunk(until - entry.clockAt);
    order.setVersion = entry.setVersion;
    order.full = entry.ackedSetVersion != entry.setVersion;
    if (order.full)
        order.slices = entry.set;
    entry.order = OrderInFlight{context.nextId(), now, entry.setVersion, entry.startId};
    entry.orderUntil = now + context.shrunk(context.shrunk(until - now));
    entry.nextAt = now + context.timing.renewInterval;
    context.actions.push_back(SendOrderAction{entry.order->orderId, target, std::move(order)});
    return Extension{target, entry.startId, until};
}

void GrantBook::probe(Context &context, const TargetId &target, TargetEntry &entry, TimePoint now)
{
    entry.order = OrderInFlight{context.nextId(), now, 0, entry.startId};
    const bool isIdle = entry.set.empty() && entry.lastAnswered;
    entry.nextAt = now + (isIdle ? idleProbeInterval : context.timing.renewInterval);
    context.actions.push_back(SendOrderAction{entry.order->orderId, target, ProbeOrder{m_cell}});
}

void GrantBook::revoke(Context &context, const TargetId &target, const GrantedSlice &slice,
                       TimePoint now)
{
    const TargetEntry &entry = m_targets[target];
    const bool isUnderWay = std::ranges::any_of(m_revokes, [&](const auto &item) {
        return item.second.target == target && item.second.range == slice.range;
    });
    if (isUnderWay || entry.startId.empty())
        return;
    RevokeOrder order{m_cell, m_term, ++m_sequence, entry.startId, slice.range, slice.token};
    const std::uint64_t orderId = context.nextId();
    m_revokes[orderId] = RevokeInFlight{target, entry.startId, slice.range, slice.token, now};
    context.actions.push_back(SendOrderAction{orderId, target, std::move(order)});
}

AnswerEffect GrantBook::onAnswer(const TargetId &target, const TargetAnswer &answer,
                                 const PlacementTiming &timing, TimePoint now)
{
    AnswerEffect effect;
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return effect;
    TargetEntry &entry = found->second;
    const auto revoke = m_revokes.find(answer.orderId);
    if (revoke != m_revokes.end()) {
        if (answer.verdict == TargetVerdict::Accepted && answer.startId == revoke->second.startId)
            effect.revoked = revoke->second;
        m_revokes.erase(revoke);
        effect.hasChanges = true;
        if (answer.verdict != TargetVerdict::NoAnswer)
            recordAnswer(entry, answer, effect, now);
        return effect;
    }
    if (!entry.order || entry.order->orderId != answer.orderId)
        return effect;
    const OrderInFlight order = *entry.order;
    entry.order.reset();
    if (answer.verdict == TargetVerdict::NoAnswer) {
        recordNoAnswer(entry, effect, timing, now);
        effect.hasChanges = true;
        entry.nextAt = std::min(entry.nextAt, now + timing.tickInterval);
        return effect;
    }
    recordAnswer(entry, answer, effect, now);
    const bool isRenewal = answer.verdict == TargetVerdict::Accepted && order.setVersion != 0
        && entry.ackedSetVersion == order.setVersion;
    effect.hasChanges = !isRenewal || effect.hasRecovered;
    if (order.setVersion == 0)
        entry.nextAt = entry.set.empty() ? entry.nextAt : now;
    if (answer.verdict == TargetVerdict::Accepted && order.setVersion != 0
        && answer.startId == order.startId) {
        entry.ackedSetVersion = order.setVersion;
        entry.ackedUntil = entry.orderUntil;
    }
    if (answer.verdict == TargetVerdict::NeedFull)
        entry.ackedSetVersion = 0;
    return effect;
}

void GrantBook::recordAnswer(TargetEntry &entry, const TargetAnswer &answer, AnswerEffect &effect,
                             TimePoint now)
{
    effect.knownTerm = answer.knownTerm;
    effect.hasRestarted = !entry.startId.empty() && entry.startId != answer.startId;
    if (entry.startId != answer.startId)
        entry.ackedSetVersion = 0;
    entry.startId = answer.startId;
    entry.clock = answer.clock;
    entry.clockAt = now;
    entry.state = answer.state;
    entry.lastAnswered = true;
    const TargetPhase before = entry.life.phase();
    entry.life.handle(TargetSignal::Answered);
    effect.hasRecovered = before == TargetPhase::Unknown || before == TargetPhase::Lost;
}

void GrantBook::recordNoAnswer(TargetEntry &entry, AnswerEffect &effect,
                               const PlacementTiming &timing, TimePoint now)
{
    entry.lastAnswered = false;
    const TargetPhase before = entry.life.phase();
    const bool isBelowLostLimit = now - entry.clockAt < timing.targetLostAfter;
    if (before == TargetPhase::Silent && isBelowLostLimit)
        return;
    const TargetPhase after = entry.life.handle(TargetSignal::Unanswered);
    effect.isLost = before != TargetPhase::Lost && after == TargetPhase::Lost;
}

const TargetEntry *GrantBook::find(const TargetId &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? nullptr : &found->second;
}

TargetPhase GrantBook::phase(const TargetId &target) const
{
    const TargetEntry *entry = find(target);
    return entry == nullptr ? TargetPhase::Unknown : entry->life.phase();
}

void GrantBook::watch(const TargetId &target)
{
    m_targets.try_emplace(target);
}

} // namespace yuccaspan::impl

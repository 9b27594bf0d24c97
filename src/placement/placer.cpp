// Authority of a placer and handling of committed records.
#include "placement/placer.hpp"

#include <algorithm>
#include <utility>

namespace yuccaspan::impl {

namespace {

/// Number of promise requests whose send time is kept.
constexpr std::size_t maxTrackedPromises = 32;

std::string cellPath(const CellRecord &record)
{
    return record.cell.path();
}

} // namespace

Placer::Placer(Context &context, TermStart start, TimePoint now)
    : m_record(std::move(start.record)),
      m_version(start.version),
      m_authority(context.self.id, context.timing.authorityLength),
      m_earlierTerms(std::move(start.earlierTerms)),
      m_book(m_record.cell, m_record.term),
      m_publisher(m_record.cell, m_record.range, m_record.term),
      m_balancer(context.policy.makeBalancer()),
      m_dropsUnion(context.mutation == ProtocolMutation::UnionDropped)
{
    m_authority.recordConfirmation(start.confirmedAt);
    loadSlices(!m_earlierTerms.hasEnded());
    context.log("placement",
                "Places " + cellPath(m_record) + " in term " + std::to_string(m_record.term.value)
                    + ".");
    requestPromises(context, now);
    progress(context, now);
}

void Placer::loadSlices(bool earlierTerms)
{
    for (const SliceRecord &slice : m_record.slices) {
        SliceRun run;
        run.record = slice;
        if (earlierTerms && !slice.owner.empty())
            run.holds.push_back({slice.owner, {}, {}, true});
        if (slice.phase == SlicePhase::Moving) {
            if (earlierTerms)
                run.holds.push_back({slice.nextOwner, {}, {}, true});
            run.move.emplace();
            run.move->to = slice.nextOwner;
            run.move->why = "started by an earlier placer";
            run.move->life.handle(MoveSignal::IntentCommitted);
            run.move->life.handle(MoveSignal::Drained);
        }
        m_runs.push_back(std::move(run));
    }
}

TimePoint Placer::authorityUntil(TimePoint now) const
{
    const CellRecord *pending = m_writer.pending();
    if (m_dropsUnion && pending != nullptr)
        return m_authority.until(pending->candidates, nullptr, now);
    return m_authority.until(m_record.candidates,
                             pending == nullptr ? nullptr : &pending->candidates, now);
}

bool Placer::earlierTermsExpired(const Context &context, TimePoint now)
{
    if (context.mutation == ProtocolMutation::NoWaitBeforeTakeover)
        return true;
    return m_earlierTerms.isOver([&](const InstanceId &id) { return isGone(context, id); }, now);
}

void Placer::tick(Context &context, TimePoint now)
{
    if (isRetired())
        return;
    m_writer.tick(context, now);
    if (m_life.phase() == PlacerPhase::Waiting && earlierTermsExpired(context, now)) {
        m_life.handle(PlacerSignal::EarlierTermsLapsed);
        context.log("ownership", "Earlier terms of " + cellPath(m_record) + " have expired.");
    }
    endHandOver(context, now);
    if (now >= m_nextPromiseAt)
        requestPromises(context, now);
    if (now >= m_nextPlanAt)
        plan(context, now);
    progress(context, now);
}

void Placer::progress(Context &context, TimePoint now)
{
    if (isRetired())
        return;
    const bool hasAuthority = authorityUntil(now) > now;
    if (hasAuthority != m_hadAuthority) {
        context.log("ownership",
                    std::string(hasAuthority ? "Regained" : "Lost") + " authority over "
                        + cellPath(m_record) + ".");
    }
    m_hadAuthority = hasAuthority;
    if (hasAuthority) {
        advanceMoves(context, now);
        assignGrants(context, now);
        updateRoutes();
        m_publisher.step(context, authorityUntil(now), now);
    }
    writeIfNeeded(context, now);
}

void Placer::requestPromises(Context &context, TimePoint now)
{
    m_nextPromiseAt = now + context.timing.promiseInterval;
    PromiseRequest request{m_record.cell, m_record.term, ++m_promiseSequence,
                           context.timing.authorityLength};
    m_promiseSentAt[request.sequence] = now;
    if (m_promiseSentAt.size() > maxTrackedPromises)
        m_promiseSentAt.erase(m_promiseSentAt.begin());
    std::set<InstanceId> receivers(m_record.candidates.begin(), m_record.candidates.end());
    if (const CellRecord *pending = m_writer.pending())
        receivers.insert(pending->candidates.begin(), pending->candidates.end());
    if (!m_earlierTerms.hasEnded())
        receivers.insert(m_earlierTerms.candidates().begin(), m_earlierTerms.candidates().end());
    receivers.erase(context.self.id);
    for (const InstanceId &receiver : receivers)
        context.send(receiver, request);
}

void Placer::onPromiseAnswer(Context &context, const InstanceId &from, const PromiseAnswer &answer,
                             TimePoint now)
{
    if (isRetired())
        return;
    if (answer.knownTerm > m_record.term) {
        retire(context, "instance " + from.text() + " knows a higher term");
        return;
    }
    const auto sent = m_promiseSentAt.find(answer.sequence);
    if (!answer.granted || answer.term != m_record.term || sent == m_promiseSentAt.end())
        return;
    m_authority.recordPromise(from, sent->second);
    const bool waitsForEarlierTerms = !m_earlierTerms.hasEnded();
    if (waitsForEarlierTerms)
        m_earlierTerms.recordRefusal(from, now);
    // While the placer has authority, another promise only extends it; the next tick handles that.
    if (waitsForEarlierTerms || !m_hadAuthority)
        progress(context, now);
}

void Placer::onAcknowledged(Context &context, const InstanceId &from, const RouteAck &ack,
                            TimePoint now)
{
    if (isRetired())
        return;
    if (m_publisher.onAcknowledged(from, ack, now))
        progress(context, now);
}

void Placer::onTargetAnswer(Context &context, const TargetAnswerEvent &event, TimePoint now)
{
    if (isRetired())
        return;
    const AnswerEffect effect = m_book.onAnswer(event.target, event.answer, context.timing, now);
    if (effect.knownTerm > m_record.term) {
        retire(context, "target " + event.target.text() + " knows a higher term");
        return;
    }
    if (effect.revoked) {
        // A late answer must not end a grant that was issued after the revoke was sent.
        SliceRun *run = findRun(effect.revoked->range);
        const bool isAwaited = run != nullptr && run->move
            && run->move->life.phase() == MovePhase::Revoking
            && run->record.token == effect.revoked->token;
        if (isAwaited)
            run->release(event.target, effect.revoked->startId);
    }
    if (effect.hasRestarted)
        context.log("ownership", "Target " + event.target.text() + " has a new start id.");
    if (effect.isLost)
        context.log("ownership", "Target " + event.target.text() + " does not answer.");
    if (effect.isLost || effect.hasRecovered)
        m_nextPlanAt = std::min(m_nextPlanAt, now);
    // Renewing an unchanged set advances no move; the next tick handles it.
    if (effect.hasChanges)
        progress(context, now);
}

void Placer::onWritten(Context &context, const StoreWrittenEvent &event, TimePoint now)
{
    if (!m_writer.owns(event.writeId))
        return;
    const CellRecord *pending = m_writer.pending();
    CellRecord record = *pending;
    const auto outcome = m_writer.onWritten(context, event, now);
    if (outcome && outcome->committed)
        adopt(context, std::move(record), outcome->version, now);
    finishWrite(context, outcome, now);
}

void Placer::onObserved(Context &context, const CellRecord &record, ObjectVersion version,
                        TimePoint now)
{
    if (version <= m_version)
        return;
    const auto outcome = m_writer.onObserved(record, version);
    if (record.term != m_record.term || record.placer != m_record.placer) {
        retire(context, "term " + std::to_string(record.term.value) + " is in the store");
        return;
    }
    adopt(context, record, version, now);
    finishWrite(context, outcome, now);
}

void Placer::finishWrite(Context &context, const std::optional<WriteOutcome> &outcome,
                         TimePoint now)
{
    if (isRetired())
        return;
    if (outcome && outcome->committed)
        m_authority.recordConfirmation(outcome->sentAt);
    progress(context, now);
}

void Placer::adopt(Context &context, CellRecord record, ObjectVersion version, TimePoint now)
{
    const bool wasHandedOver = record.placer != context.self.id;
    std::vector<SliceRun> runs;
    for (const SliceRecord &slice : record.slices) {
        SliceRun run;
        for (SliceRun &old : m_runs) {
            if (!old.record.range.overlaps(slice.range))
                continue;
            if (old.record.range == slice.range)
                run.move = std::move(old.move);
            run.holds.insert(run.holds.end(), old.holds.begin(), old.holds.end());
        }
        run.record = slice;
        if (run.move && slice.phase == SlicePhase::Moving
            && run.move->life.phase() == MovePhase::Planned) {
            run.move->life.handle(MoveSignal::IntentCommitted);
            run.move->since = now;
        }
        if (run.move && slice.phase == SlicePhase::Settled
            && run.move->life.handle(MoveSignal::SettleCommitted) == MovePhase::Settled) {
            context.log("placement",
                        "Settled " + sliceName(slice.range) + " at " + slice.owner.text() + ".");
            run.move.reset();
        }
        runs.push_back(std::move(run));
    }
    m_runs = std::move(runs);
    m_record = std::move(record);
    m_version = version;
    if (wasHandedOver)
        retire(context, "instance " + m_record.placer.text() + " takes over the cell");
}

void Placer::onLoadReport(const InstanceId &from, const LoadReport &report, TimePoint now)
{
    m_loads.add(from, report, now);
}

void Placer::leave(Context &context, TimePoint now)
{
    if (m_life.phase() == PlacerPhase::HandingOver)
        return;
    m_life.handle(PlacerSignal::LeaveRequested);
    m_leavingSince = now;
    context.log("placement", "Hands over " + cellPath(m_record) + ".");
}

void Placer::retire(Context &context, const std::string &reason)
{
    if (isRetired())
        return;
    m_life.handle(PlacerSignal::TermLost);
    context.log("placement", "Stops placing " + cellPath(m_record) + ": " + reason + ".");
}

void Placer::describe(CellStatus &status, TimePoint now) const
{
    status.isPlacer = !isRetired();
    const TimePoint until = std::min(authorityUntil(now), now + std::chrono::hours(1));
    status.authorityLeft = std::max(Duration::zero(), until - now);
    status.movesUnderWay = movesUnderWay();
    std::set<TargetId> unconfirmed;
    for (const SliceRun &run : m_runs) {
        const TargetId grantee = run.grantee();
        if (!grantee.empty() && !m_book.isConfirmed(grantee, now) && !m_unchecked.contains(grantee))
            unconfirmed.insert(grantee);
    }
    status.targetsWithoutGrant = static_cast<std::uint32_t>(unconfirmed.size());
}

} // namespace yuccaspan::impl

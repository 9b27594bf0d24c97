#include "placement/cell.hpp"

#include <algorithm>
#include <utility>

namespace yuccaspan::impl {

namespace {

/// Interval between reads of a record that is known to be stale.
constexpr Duration readInterval = std::chrono::milliseconds(500);

std::vector<BalanceTarget> targetsOf(const Context &context, const ServiceSettings &service)
{
    std::vector<BalanceTarget> targets;
    for (const TargetSettings &target : service.targets) {
        BalanceTarget item;
        item.id = target.id;
        item.zone = target.zone;
        item.capacity = target.slots;
        item.usable = context.settings->mayReceiveWork(target);
        targets.push_back(std::move(item));
    }
    return targets;
}

} // namespace

Cell::Cell(CellId id, TimePoint now) : m_id(std::move(id)), m_candidate(now), m_entry(m_id)
{ }

bool Cell::owns(std::uint64_t writeId) const noexcept
{
    return m_claim.owns(writeId) || (m_placer && m_placer->owns(writeId));
}

void Cell::adopt(const CellRecord &record, ObjectVersion version)
{
    m_record = record;
    m_version = version;
}

void Cell::tick(Context &context, TimePoint now)
{
    m_claim.tick(context, now);
    if (m_placer) {
        m_placer->tick(context, now);
        dropRetired(context, now);
        return;
    }
    if (!hasRecord() || !m_claim.canStart(now))
        return;
    if (m_candidate.knownTerm() > m_record.term && now >= m_nextReadAt) {
        m_nextReadAt = now + readInterval;
        context.actions.push_back(ReadAction{context.nextId(), m_id.path()});
    }
    const Member *self = context.findMember(context.self.id);
    if (self != nullptr && self->leaving)
        return;
    if (m_record.placer == context.self.id && m_record.term > m_retiredTerm)
        confirmHandover(context, now);
    else if (m_candidate.shouldTakeOver(context, m_record, now) && isStoreReachable(context, now))
        takeOver(context, now);
}

bool Cell::isStoreReachable(Context &context, TimePoint now)
{
    // This instance promises nothing while the result of its own write is pending. It first checks
    // that the store answers; otherwise a store outage would cost the placer its authority.
    if (m_readAnsweredAt && now - *m_readAnsweredAt < readInterval)
        return true;
    if (now >= m_nextReadAt) {
        m_nextReadAt = now + readInterval;
        context.actions.push_back(ReadAction{context.nextId(), m_id.path()});
    }
    return false;
}

void Cell::onClockJump(Context &context, TimePoint now)
{
    m_candidate.onClockJump(now);
    if (m_placer) {
        m_placer->tick(context, now);
        dropRetired(context, now);
    }
}

void Cell::onObserved(Context &context, const CellRecord &record, ObjectVersion version,
                      TimePoint now)
{
    if (version <= m_version || record.cell != m_id)
        return;
    adopt(record, version);
    m_candidate.onObserved(record, now);
    m_entry.onRecordObserved(context, record, now);
    if (m_placer) {
        m_placer->onObserved(context, record, version, now);
        dropRetired(context, now);
    }
    if (const auto outcome = m_claim.onObserved(record, version))
        finishClaim(context, record, *outcome, now);
}

void Cell::onWritten(Context &context, const StoreWrittenEvent &event, TimePoint now)
{
    if (m_claim.owns(event.writeId)) {
        const CellRecord record = *m_claim.pending();
        if (const auto outcome = m_claim.onWritten(context, event, now))
            finishClaim(context, record, *outcome, now);
        return;
    }
    if (!m_placer)
        return;
    m_placer->onWritten(context, event, now);
    if (m_placer->version() > m_version) {
        adopt(m_placer->record(), m_placer->version());
        m_candidate.onObserved(m_record, now);
    }
    dropRetired(context, now);
}

void Cell::finishClaim(Context &context, const CellRecord &record, const WriteOutcome &outcome,
                       TimePoint now)
{
    if (!outcome.committed) {
        const std::string reason = outcome.version.value == 0 ? "the store rejected the write"
                                                              : "another write was committed first";
        context.log("placement", "Does not place " + m_id.path() + ": " + reason + ".");
        return;
    }
    if (outcome.version > m_version)
        adopt(record, outcome.version);
    m_candidate.onObserved(record, now);
    // Promises given while the write was in flight count too, so the wait starts only now.
    const bool forgetsPromises = context.mutation == ProtocolMutation::PromiseForgotten;
    const TimePoint waitStart = forgetsPromises ? outcome.sentAt : now;
    LapseWait wait = LapseWait::none();
    if (!m_claimedFrom.empty())
        wait = LapseWait(context.self.id, m_claimedFrom, waitStart,
                         context.stretched(context.timing.authorityLength));
    m_retiredTerm = record.term;
    m_placer = std::make_unique<Placer>(
        context, TermStart{record, outcome.version, outcome.sentAt, std::move(wait)}, now);
}

void Cell::dropRetired(Context &context, TimePoint now)
{
    if (!m_placer || !m_placer->isRetired())
        return;
    m_placer.reset();
    m_candidate.onClockJump(now);
    m_nextReadAt = now;
    (void)context;
}

void Cell::claim(Context &context, CellRecord record, ObjectVersion expected, TimePoint now)
{
    Result<std::string> text = encodeCellRecord(record);
    if (!text) {
        context.log("placement", "Cannot commit: " + text.error().text + ".");
        return;
    }
    m_claim.start(context, std::move(record), std::move(text.value()), expected, now);
}

void Cell::takeOver(Context &context, TimePoint now)
{
    context.log("placement",
                "Takes over " + m_id.path() + " from unresponsive instance "
                    + m_record.placer.text() + ".");
    CellRecord record = m_record;
    record.term = std::max(record.term, m_candidate.knownTerm()).next();
    record.placer = context.self.id;
    m_claimedFrom = record.candidates;
    if (std::ranges::find(record.candidates, context.self.id) == record.candidates.end())
        record.candidates = {context.self.id};
    claim(context, std::move(record), m_version, now);
}

void Cell::confirmHandover(Context &context, TimePoint now)
{
    context.log("placement", "Confirms the handover of " + m_id.path() + ".");
    m_claimedFrom = m_record.candidates;
    claim(context, m_record, m_version, now);
}

void Cell::create(Context &context, const KeyRange &range, TimePoint now)
{
    const ServiceSettings *service = context.findService(m_id.service);
    if (service == nullptr || hasRecord() || !m_claim.canStart(now))
        return;
    CellRecord record;
    record.cell = m_id;
    record.range = range;
    record.term = Term{1};
    record.placer = context.self.id;
    record.candidates = {context.self.id};
    record.settingsVersion = context.settings->version;
    record.slices = context.policy.initialSlices(range, m_id.zone, targetsOf(context, *service),
                                                 service->slicesPerTarget);
    for (SliceRecord &slice : record.slices) {
        record.lastToken = record.lastToken.next();
        slice.token = record.lastToken;
    }
    context.log("placement", "Creates " + m_id.path() + ".");
    m_claimedFrom.clear();
    claim(context, std::move(record), ObjectVersion{0}, now);
}

void Cell::onMessage(Context &context, const InstanceId &from, const PeerMessage &message,
                     TimePoint now)
{
    if (const auto *request = std::get_if<PromiseRequest>(&message))
        answerPromise(context, from, *request, now);
    else if (const auto *update = std::get_if<RouteUpdate>(&message))
        m_entry.onUpdate(context, from, *update, now);
    if (!m_placer)
        return;
    if (const auto *answer = std::get_if<PromiseAnswer>(&message))
        m_placer->onPromiseAnswer(context, from, *answer, now);
    else if (const auto *ack = std::get_if<RouteAck>(&message))
        m_placer->onAcknowledged(context, from, *ack, now);
    else if (const auto *report = std::get_if<LoadReport>(&message))
        m_placer->onLoadReport(from, *report, now);
    dropRetired(context, now);
}

void Cell::answerPromise(Context &context, const InstanceId &from, const PromiseRequest &request,
                         TimePoint now)
{
    const bool forgetsPromises = context.mutation == ProtocolMutation::PromiseForgotten;
    const bool isTakingOver = m_claim.isBusy() && !forgetsPromises;
    PromiseAnswer answer = m_candidate.answer(request, isTakingOver, now);
    if (forgetsPromises) {
        answer.granted = true;
        answer.knownTerm = request.term;
    }
    context.send(from, answer);
    if (m_placer && answer.granted && request.term > m_placer->record().term) {
        m_placer->retire(context, "instance " + from.text() + " has a higher term");
        dropRetired(context, now);
    }
}

void Cell::onTargetAnswer(Context &context, const TargetAnswerEvent &event, TimePoint now)
{
    if (!m_placer)
        return;
    m_placer->onTargetAnswer(context, event, now);
    dropRetired(context, now);
}

void Cell::onSliceIdle(Context &context, const SliceIdleEvent &event, TimePoint now)
{
    m_entry.onSliceIdle(context, event.range, event.token, now);
}

void Cell::onLoadMeasured(Context &context, const LoadReport &report)
{
    const InstanceId &placer = m_entry.placer().empty() ? m_record.placer : m_entry.placer();
    if (placer.empty())
        return;
    LoadReport numbered = report;
    numbered.sequence = ++m_loadSequence;
    context.send(placer, std::move(numbered));
}

CellStatus Cell::status(TimePoint now) const
{
    CellStatus status;
    status.cell = m_id;
    status.record = m_record;
    status.version = m_version;
    if (m_placer)
        m_placer->describe(status, now);
    return status;
}

} // namespace yuccaspan::impl

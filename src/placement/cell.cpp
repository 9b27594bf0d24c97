#include "placement/cell.hpp"

#include <algorithm>
#include <utility>

namespace yuccaspan::impl {

namespace {

/// Between reads of a record that is known to be out of date.
constexpr Duration readSpacing = std::chrono::milliseconds(500);

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
    if (!hasRecord() || !m_claim.mayStart(now))
        return;
    if (m_candidate.knownTerm() > m_record.term && now >= m_nextReadAt) {
        m_nextReadAt = now + readSpacing;
        context.actions.push_back(ReadAction{context.nextId(), m_id.path()});
    }
    const Member *self = context.findMember(context.self.id);
    if (self != nullptr && self->leaving)
        return;
    if (m_record.placer == context.self.id && m_record.term > m_retiredTerm)
        confirmNamed(context, now);
    else if (m_candidate.shouldTakeOver(context, m_record, now) && isStoreReachable(context, now))
        takeOver(context, now);
}

bool Cell::isStoreReachable(Context &context, TimePoint now)
{
    // While its write is not resolved, this instance promises nothing. So it first makes sure that
    // the store answers, or else an outage would take the placer's authority away.
    if (m_readAnsweredAt && now - *m_readAnsweredAt < readSpacing)
        return true;
    if (now >= m_nextReadAt) {
        m_nextReadAt = now + readSpacing;
        context.actions.push_back(ReadAction{context.nextId(), m_id.path()});
    }
    return false;
}

void Cell::clockJumped(Context &context, TimePoint now)
{
    m_candidate.clockJumped(now);
    if (m_placer) {
        m_placer->tick(context, now);
        dropRetired(context, now);
    }
}

void Cell::observed(Context &context, const CellRecord &record, ObjectVersion version,
                    TimePoint now)
{
    if (version <= m_version || record.cell != m_id)
        return;
    adopt(record, version);
    m_candidate.observed(record, now);
    m_entry.observedRecord(context, record, now);
    if (m_placer) {
        m_placer->observed(context, record, version, now);
        dropRetired(context, now);
    }
    if (const auto outcome = m_claim.observed(record, version))
        finishClaim(context, record, *outcome, now);
}

void Cell::written(Context &context, const StoreWrittenEvent &event, TimePoint now)
{
    if (m_claim.owns(event.writeId)) {
        const CellRecord record = *m_claim.pending();
        if (const auto outcome = m_claim.written(context, event, now))
            finishClaim(context, record, *outcome, now);
        return;
    }
    if (!m_placer)
        return;
    m_placer->written(context, event, now);
    if (m_placer->version() > m_version) {
        adopt(m_placer->record(), m_placer->version());
        m_candidate.observed(m_record, now);
    }
    dropRetired(context, now);
}

void Cell::finishClaim(Context &context, const CellRecord &record, const WriteOutcome &outcome,
                       TimePoint now)
{
    if (!outcome.committed) {
        const std::string why =
            outcome.version.value == 0 ? "the store refused the write" : "another write came first";
        context.log("placement", "Does not place " + m_id.path() + ": " + why + ".");
        return;
    }
    if (outcome.version > m_version)
        adopt(record, outcome.version);
    m_candidate.observed(record, now);
    // Promises given while the write was under way count too, so the wait begins only now.
    const bool forgets = context.mutation == ProtocolMutation::PromiseForgotten;
    const TimePoint waitsFrom = forgets ? outcome.sentAt : now;
    LapseWait wait = LapseWait::none();
    if (!m_claimedFrom.empty())
        wait = LapseWait(context.self.id, m_claimedFrom, waitsFrom,
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
    m_candidate.clockJumped(now);
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
                "Takes over " + m_id.path() + " from silent instance " + m_record.placer.text()
                    + ".");
    CellRecord record = m_record;
    record.term = std::max(record.term, m_candidate.knownTerm()).next();
    record.placer = context.self.id;
    m_claimedFrom = record.candidates;
    if (std::ranges::find(record.candidates, context.self.id) == record.candidates.end())
        record.candidates = {context.self.id};
    claim(context, std::move(record), m_version, now);
}

void Cell::confirmNamed(Context &context, TimePoint now)
{
    context.log("placement", "Confirms the hand-over of " + m_id.path() + ".");
    m_claimedFrom = m_record.candidates;
    claim(context, m_record, m_version, now);
}

void Cell::create(Context &context, const KeyRange &range, TimePoint now)
{
    const ServiceSettings *service = context.findService(m_id.service);
    if (service == nullptr || hasRecord() || !m_claim.mayStart(now))
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

void Cell::received(Context &context, const InstanceId &from, const PeerMessage &message,
                    TimePoint now)
{
    if (const auto *request = std::get_if<PromiseRequest>(&message))
        answerPromise(context, from, *request, now);
    else if (const auto *update = std::get_if<RouteUpdate>(&message))
        m_entry.updated(context, from, *update, now);
    if (!m_placer)
        return;
    if (const auto *answer = std::get_if<PromiseAnswer>(&message))
        m_placer->promiseAnswered(context, from, *answer, now);
    else if (const auto *ack = std::get_if<RouteAck>(&message))
        m_placer->acknowledged(context, from, *ack, now);
    else if (const auto *report = std::get_if<LoadReport>(&message))
        m_placer->loadReported(from, *report, now);
    dropRetired(context, now);
}

void Cell::answerPromise(Context &context, const InstanceId &from, const PromiseRequest &request,
                         TimePoint now)
{
    const bool forgets = context.mutation == ProtocolMutation::PromiseForgotten;
    const bool isTakingOver = m_claim.isBusy() && !forgets;
    PromiseAnswer answer = m_candidate.answer(request, isTakingOver, now);
    if (forgets) {
        answer.granted = true;
        answer.knownTerm = request.term;
    }
    context.send(from, answer);
    if (m_placer && answer.granted && request.term > m_placer->record().term) {
        m_placer->retire(context, "instance " + from.text() + " has a higher term");
        dropRetired(context, now);
    }
}

void Cell::targetAnswered(Context &context, const TargetAnswerEvent &event, TimePoint now)
{
    if (!m_placer)
        return;
    m_placer->targetAnswered(context, event, now);
    dropRetired(context, now);
}

void Cell::becameIdle(Context &context, const SliceIdleEvent &event, TimePoint now)
{
    m_entry.becameIdle(context, event.range, event.token, now);
}

void Cell::loadMeasured(Context &context, const LoadReport &report)
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

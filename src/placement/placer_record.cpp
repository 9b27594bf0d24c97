// Builds the next record to commit: moves, splits, merges, candidates, handover.
#include "placement/candidate_choice.hpp"
#include "placement/placer.hpp"

#include <algorithm>
#include <utility>

namespace yuccaspan::impl {

namespace {

/// Minimum interval between writes that only confirm the term.
constexpr Duration minConfirmInterval = std::chrono::milliseconds(250);
/// A leaving placer without a successor retires after this time.
constexpr Duration handoverTimeout = std::chrono::seconds(2);

std::vector<SliceRecord>::iterator findSlice(CellRecord &record, const KeyRange &range)
{
    return std::ranges::find(record.slices, range, &SliceRecord::range);
}

// Whether the slice is settled in the committed record and unchanged in the next one.
bool isSettled(const CellRecord &committed, CellRecord &next, const KeyRange &range)
{
    const auto before = std::ranges::find(committed.slices, range, &SliceRecord::range);
    const auto after = findSlice(next, range);
    return before != committed.slices.end() && after != next.slices.end() && *before == *after
        && after->phase == SlicePhase::Settled;
}

bool split(const CellRecord &committed, CellRecord &record, const PlannedSplit &change,
           std::size_t maxSlices)
{
    const auto found = findSlice(record, change.range);
    if (!isSettled(committed, record, change.range) || record.slices.size() >= maxSlices)
        return false;
    if (change.secondFirst <= change.range.first || change.secondFirst > change.range.last)
        return false;
    SliceRecord upper = *found;
    upper.range.first = change.secondFirst;
    found->range.last = change.secondFirst - 1;
    record.slices.insert(std::next(found), std::move(upper));
    return true;
}

bool merge(const CellRecord &committed, CellRecord &record, const PlannedMerge &change)
{
    const auto lower = findSlice(record, change.lower);
    const auto upper = findSlice(record, change.upper);
    if (!isSettled(committed, record, change.lower) || !isSettled(committed, record, change.upper)
        || std::next(lower) != upper || lower->owner != upper->owner)
        return false;
    lower->range.last = upper->range.last;
    lower->token = std::max(lower->token, upper->token);
    record.slices.erase(upper);
    return true;
}

} // namespace

void Placer::writeIfNeeded(Context &context, TimePoint now)
{
    if (isRetired() || !m_writer.canStart(now))
        return;
    bool changed = false;
    CellRecord next = nextRecord(context, now, changed);
    const bool isConfirmation = !changed && isConfirmationDue(now);
    if (!changed && !isConfirmation)
        return;
    Result<std::string> text = encodeCellRecord(next);
    if (!text) {
        if (!m_isRecordTooLarge)
            context.log("placement", "Cannot commit: " + text.error().text + ".");
        m_isRecordTooLarge = true;
        return;
    }
    m_isRecordTooLarge = false;
    if (next.candidates != m_record.candidates) {
        m_authority.extendUntil(authorityUntil(now));
        m_nextPromiseAt = now;
    }
    m_nextWriteAt = now + minConfirmInterval;
    m_writer.start(context, std::move(next), std::move(text.value()), m_version, now);
}

bool Placer::isConfirmationDue(TimePoint now) const
{
    constexpr Duration margin = std::chrono::milliseconds(500);
    return authorityUntil(now) - now < margin && now >= m_nextWriteAt;
}

CellRecord Placer::nextRecord(Context &context, TimePoint now, bool &changed)
{
    CellRecord next = m_record;
    changed = applyMoves(next);
    changed = applyShapeChanges(context, next) || changed;
    changed = applyCandidates(context, next, now) || changed;
    if (m_life.phase() == PlacerPhase::HandingOver && movesUnderWay() == 0)
        changed = applyHandOver(context, next) || changed;
    if (changed && context.settings != nullptr)
        next.settingsVersion = std::max(next.settingsVersion, context.settings->version);
    return next;
}

bool Placer::applyMoves(CellRecord &record) const
{
    bool changed = false;
    for (std::size_t i = 0; i < m_runs.size(); ++i) {
        const SliceRun &run = m_runs[i];
        SliceRecord &slice = record.slices[i];
        if (!run.move)
            continue;
        if (run.move->life.phase() == MovePhase::Planned) {
            record.lastToken = record.lastToken.next();
            slice.phase = SlicePhase::Moving;
            slice.nextOwner = run.move->to;
            slice.nextToken = record.lastToken;
            changed = true;
        } else if (run.move->life.phase() == MovePhase::Settling) {
            slice = {slice.range, run.move->to, slice.nextToken, SlicePhase::Settled, {}, {}};
            changed = true;
        }
    }
    return changed;
}

bool Placer::applyShapeChanges(Context &context, CellRecord &record)
{
    const ServiceSettings *service = context.findService(record.cell.service);
    const std::size_t maxSlices = service == nullptr ? 0 : service->maxSlicesPerCell;
    bool changed = false;
    for (const PlannedSplitOrMerge &item : m_shapeChanges) {
        bool isApplied = false;
        if (const auto *wanted = std::get_if<PlannedSplit>(&item.change))
            isApplied = split(m_record, record, *wanted, maxSlices);
        else
            isApplied = merge(m_record, record, std::get<PlannedMerge>(item.change));
        if (!isApplied)
            context.log("placement", "Ignores a split or merge that no longer matches the slices.");
        changed = changed || isApplied;
    }
    m_shapeChanges.clear();
    return changed;
}

bool Placer::applyCandidates(const Context &context, CellRecord &record, TimePoint now)
{
    if (!m_earlierTerms.hasEnded())
        return false;
    const Duration promiseTimeout = 2 * context.timing.suspectAfter;
    std::vector<InstanceId> unsuitable;
    for (const InstanceId &candidate : record.candidates) {
        if (candidate == context.self.id)
            continue;
        const TimePoint since = m_candidateSince.try_emplace(candidate, now).first->second;
        const TimePoint heard = m_authority.lastPromise(candidate).value_or(since);
        const Member *member = context.findMember(candidate);
        const bool isLeaving = member != nullptr && member->leaving;
        if (isLeaving || now - std::max(since, heard) > promiseTimeout)
            unsuitable.push_back(candidate);
    }
    const bool changed = improveCandidates(context, record, unsuitable);
    std::erase_if(m_candidateSince, [&](const auto &item) {
        return std::ranges::find(record.candidates, item.first) == record.candidates.end();
    });
    return changed;
}

bool Placer::applyHandOver(const Context &context, CellRecord &record) const
{
    const auto successor = chooseSuccessor(context, record);
    if (!successor)
        return false;
    record.placer = *successor;
    record.term = record.term.next();
    return true;
}

void Placer::endHandOver(Context &context, TimePoint now)
{
    if (m_life.phase() != PlacerPhase::HandingOver || m_writer.isBusy())
        return;
    const bool isAlone = std::ranges::none_of(context.members, [&](const Member &member) {
        return member.alive && !member.leaving && member.id != context.self.id;
    });
    if (isAlone && now - m_leavingSince > handoverTimeout)
        retire(context, "no other instance can take over the cell");
}

} // namespace yuccaspan::impl

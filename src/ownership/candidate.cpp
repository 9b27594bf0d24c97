#include "ownership/candidate.hpp"

#include "placement/candidate_choice.hpp"

#include <algorithm>

namespace yuccaspan::impl {

namespace {

/// Live candidates try to take over one after the other, in the order of the record.
constexpr Duration delayPerRank = std::chrono::milliseconds(60);

bool isCandidate(const CellRecord &record, const InstanceId &id)
{
    return std::ranges::find(record.candidates, id) != record.candidates.end();
}

} // namespace

PromiseAnswer Candidate::answer(const PromiseRequest &request, bool isTakingOver, TimePoint now)
{
    PromiseAnswer answer{request.cell, request.term, request.sequence, false, m_knownTerm};
    if (request.term < m_knownTerm || isTakingOver)
        return answer;
    m_knownTerm = request.term;
    m_heardAt = now;
    answer.granted = true;
    answer.knownTerm = m_knownTerm;
    return answer;
}

void Candidate::onObserved(const CellRecord &record, TimePoint now)
{
    m_recordChangedAt = now;
    if (record.term <= m_knownTerm)
        return;
    m_knownTerm = record.term;
    m_heardAt = now;
}

bool Candidate::shouldTakeOver(const Context &context, const CellRecord &record,
                               TimePoint now) const
{
    // A process that has just started may have missed messages; it first listens for a while.
    if (now - m_knownSince < context.timing.authorityLength)
        return false;
    const bool isListed = isCandidate(record, context.self.id);
    if (!isListed && !mayTakeOverFromOutside(context, record))
        return false;
    if (now - m_heardAt < context.timing.suspectAfter + rankDelay(context, record))
        return false;
    // A placer that still writes to the store is alive. It is replaced only if it is partitioned
    // from a majority of the candidates that can reach each other; otherwise two instances would
    // keep taking the cell from each other.
    if (now - m_recordChangedAt <= context.timing.authorityLength)
        return isPlacerIsolated(context, record);
    return hearsFromHalf(context, record.cell);
}

bool Candidate::isPlacerIsolated(const Context &context, const CellRecord &record) const
{
    std::size_t agreeing = 0;
    for (const InstanceId &candidate : record.candidates) {
        const Member *member = context.findMember(candidate);
        if (member == nullptr || !member->alive || candidate == record.placer)
            continue;
        const bool hearsPlacer =
            std::ranges::find(member->hears, record.placer) != member->hears.end();
        agreeing += hearsPlacer ? 0 : 1;
    }
    return 2 * agreeing > record.candidates.size();
}

Duration Candidate::rankDelay(const Context &context, const CellRecord &record) const
{
    int rank = 0;
    for (const InstanceId &candidate : record.candidates) {
        if (candidate == context.self.id)
            break;
        if (candidate != record.placer && context.isAlive(candidate))
            ++rank;
    }
    return rank * delayPerRank;
}

bool mayTakeOverFromOutside(const Context &context, const CellRecord &record)
{
    return std::ranges::all_of(record.candidates,
                               [&](const InstanceId &id) { return isGone(context, id); });
}

} // namespace yuccaspan::impl

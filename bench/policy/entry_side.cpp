#include "entry_side.hpp"

#include <utility>

namespace yuccaspan::bench {

void EntrySide::begin(PolicyHost &host, SliceTable &table)
{
    m_host = &host;
    m_table = &table;
    m_targets = host.targets().size();
    const auto entries = static_cast<std::uint32_t>(host.entries().size());
    m_lanes.resize(entries * m_targets);
    for (std::uint32_t entry = 0; entry < entries; ++entry) {
        for (std::uint32_t target = 0; target < m_targets; ++target)
            lane(entry, target).gate =
                makeTargetGate(host.targets()[target].settings, host.shape().service, entries);
        for (const CellRecord &cell : table.cells())
            m_meters.emplace_back(cell.range);
        m_budgets.emplace_back(host.shape().service.repeatBudget);
    }
}

void EntrySide::arrived(std::uint64_t id)
{
    const SimRequest &request = m_host->request(id);
    meter(request.entry, m_table->cellOf(request.hash)).arrived(request.hash, m_host->now());
    route(id);
}

void EntrySide::route(std::uint64_t id)
{
    const SimRequest &request = m_host->request(id);
    const SliceRecord &slice = m_table->slice(request.hash);
    if (slice.phase == SlicePhase::Moving || slice.owner.empty()) {
        m_held.push_back(id);
        return;
    }
    const std::uint32_t target = m_table->indexOf(slice.owner);
    Lane &to = lane(request.entry, target);
    const double worth = m_host->shape().kinds[request.kind].rule.worth;
    const GateAnswer answer = to.gate->arrive({id, worth, request.deadline}, m_host->now());
    switch (answer.decision) {
    case GateDecision::Send:
        return sendNow(id, target);
    case GateDecision::Wait:
        to.waiting.insert(id);
        return;
    case GateDecision::Refuse:
        return giveUp(id);
    }
}

void EntrySide::giveUp(std::uint64_t id)
{
    m_host->complete(id, m_host->request(id).mayHaveRun ? Outcome::Unknown : Outcome::NotRun);
}

void EntrySide::sendNow(std::uint64_t id, std::uint32_t target)
{
    const SimRequest &request = m_host->request(id);
    Lane &to = lane(request.entry, target);
    if (request.attempt == 0)
        m_budgets[request.entry].recordFirstAttempt();
    const bool opens = to.idleConnections == 0;
    to.idleConnections -= opens ? 0 : 1;
    to.sent.insert(id);
    m_host->send(id, target, opens);
}

void EntrySide::apply(std::uint32_t entry, std::uint32_t target, const GateRelease &release)
{
    Lane &from = lane(entry, target);
    for (const RefusedTicket &refused : release.refuse) {
        from.waiting.erase(refused.id);
        giveUp(refused.id);
    }
    for (const std::uint64_t id : release.send) {
        from.waiting.erase(id);
        sendNow(id, target);
    }
}

void EntrySide::replied(std::uint64_t id, FinishKind kind, bool mayHaveRun)
{
    SimRequest &request = m_host->request(id);
    request.mayHaveRun = request.mayHaveRun || mayHaveRun;
    const std::uint32_t entry = request.entry;
    const std::uint32_t target = request.target;
    const Duration latency = m_host->now() - request.sentAt;
    Lane &to = lane(entry, target);
    to.sent.erase(id);
    if (kind == FinishKind::Failed)
        to.idleConnections = 0;
    else
        ++to.idleConnections;
    if (kind == FinishKind::Answered) {
        const FakeTarget &from = m_host->targets()[target];
        to.gate->recordTargetState(from.startId(), from.state(), m_host->now());
        meter(entry, m_table->cellOf(request.hash))
            .recordSlotTime(request.hash, latency, m_host->now());
        m_host->complete(id, Outcome::Done);
    }
    const GateRelease release = to.gate->finished(id, kind, latency, m_host->now());
    if (kind != FinishKind::Answered)
        tryAgain(id);
    apply(entry, target, release);
}

void EntrySide::tryAgain(std::uint64_t id)
{
    const SimRequest &request = m_host->request(id);
    const bool repeatable = m_host->shape().kinds[request.kind].rule.repeatable;
    if ((request.mayHaveRun && !repeatable) || !m_budgets[request.entry].tryConsumeRepeat())
        return giveUp(id);
    route(id);
}

void EntrySide::expired(std::uint64_t id)
{
    const SimRequest &request = m_host->request(id);
    if (request.underWay) {
        const std::uint32_t entry = request.entry;
        const std::uint32_t target = request.target;
        Lane &to = lane(entry, target);
        to.sent.erase(id);
        const Duration latency = m_host->now() - request.sentAt;
        const GateRelease release =
            to.gate->finished(id, FinishKind::Cancelled, latency, m_host->now());
        m_host->complete(id, Outcome::Unknown);
        return apply(entry, target, release);
    }
    for (std::uint32_t target = 0; target < m_targets; ++target) {
        Lane &to = lane(request.entry, target);
        if (to.waiting.erase(id) != 0)
            to.gate->withdrawn(id);
    }
    std::erase(m_held, id);
    giveUp(id);
}

void EntrySide::probed(std::uint32_t entry, std::uint32_t target, Duration latency)
{
    static_cast<void>(latency);
    const FakeTarget &from = m_host->targets()[target];
    lane(entry, target).gate->recordTargetState(from.startId(), from.state(), m_host->now());
}

void EntrySide::tick(std::uint32_t entry)
{
    for (std::uint32_t target = 0; target < m_targets; ++target)
        apply(entry, target, lane(entry, target).gate->tick(m_host->now()));
}

void EntrySide::connectionsClosed()
{
    for (Lane &each : m_lanes)
        each.idleConnections = 0;
}

void EntrySide::sliceClosed(const KeyRange &range, std::uint32_t owner)
{
    for (std::uint32_t entry = 0; entry < m_host->entries().size(); ++entry) {
        Lane &from = lane(entry, owner);
        std::vector<std::uint64_t> leaving;
        for (const std::uint64_t id : from.waiting) {
            if (range.contains(m_host->request(id).hash))
                leaving.push_back(id);
        }
        std::sort(leaving.begin(), leaving.end());
        for (const std::uint64_t id : leaving) {
            from.waiting.erase(id);
            from.gate->withdrawn(id);
            m_held.push_back(id);
        }
    }
}

void EntrySide::sliceOpened(const KeyRange &range)
{
    std::vector<std::uint64_t> ready;
    std::erase_if(m_held, [&](std::uint64_t id) {
        const bool opens = range.contains(m_host->request(id).hash);
        if (opens)
            ready.push_back(id);
        return opens;
    });
    for (const std::uint64_t id : ready) {
        if (m_host->request(id).live)
            route(id);
    }
}

std::size_t EntrySide::inFlight(const KeyRange &range, std::uint32_t target) const
{
    std::size_t count = 0;
    for (std::size_t entry = 0; entry < m_host->entries().size(); ++entry) {
        for (const std::uint64_t id : m_lanes[entry * m_targets + target].sent)
            count += range.contains(m_host->request(id).hash) ? 1 : 0;
    }
    return count;
}

void EntrySide::setShare(std::uint32_t entry, std::uint32_t target, const CapacityShare &share,
                         TimePoint validUntil)
{
    lane(entry, target).gate->setShare(share, validUntil);
}

TargetObservation EntrySide::observe(std::uint32_t entry, std::uint32_t target)
{
    return lane(entry, target).gate->observe(m_host->now());
}

std::vector<SliceLoad> EntrySide::loads(std::uint32_t entry, std::size_t cell)
{
    std::vector<KeyRange> ranges;
    for (const SliceRecord &slice : m_table->cells()[cell].slices)
        ranges.push_back(slice.range);
    return meter(entry, cell).report(ranges, m_host->now());
}

} // namespace yuccaspan::bench

#include "placer_side.hpp"

namespace yuccaspan::bench {

namespace {

using std::chrono::milliseconds;

/// Tags of wake-ups; a move's tag is its index plus firstMoveTag.
constexpr std::uint64_t renewTag = 0;
constexpr std::uint64_t reportTag = 1;
constexpr std::uint64_t shareTag = 2;
constexpr std::uint64_t planTag = 3;
constexpr std::uint64_t firstMoveTag = 4;

/// Intervals of the placer's work, and leases, as in PlacementTiming.
constexpr Duration renewInterval = milliseconds(200);
constexpr Duration reportInterval = milliseconds(200);
constexpr Duration shareInterval = milliseconds(200);
constexpr Duration planInterval = milliseconds(100);
constexpr Duration suspectAfter = milliseconds(450);
constexpr Duration grantLength = milliseconds(1000);
constexpr Duration shareLength = milliseconds(1000);
/// A restarted target counts as cold at least this long, whatever it says of itself.
constexpr Duration minColdTime = milliseconds(3000);
/// Pause before a move that waits for requests in flight looks again.
constexpr Duration drainPoll = milliseconds(1);
/// Slot time of a request by which loads of other cells are turned into slots.
constexpr std::uint32_t maxMoves = 8;

} // namespace

void PlacerSide::begin(PolicyHost &host, SliceTable &table, EntrySide &entries)
{
    m_host = &host;
    m_table = &table;
    m_entries = &entries;
    m_views.resize(host.targets().size());
    for (std::size_t index = 0; index < m_views.size(); ++index) {
        m_views[index].renewedAt = host.now();
        m_views[index].startId = host.targets()[index].startId();
    }
    m_cells.resize(table.cells().size());
    for (std::size_t cell = 0; cell < m_cells.size(); ++cell) {
        m_cells[cell].balancer = makeBalancer();
        CellRecord &record = table.cells()[cell];
        record.slices = initialSlices(record.range, record.cell.zone, balanceTargets(cell),
                                      host.shape().service.slicesPerTarget);
    }
    handOutShares();
    for (std::uint64_t tag = renewTag; tag <= planTag; ++tag)
        host.callPolicyAt(host.now() + milliseconds(10 + tag), tag);
}

void PlacerSide::wake(std::uint64_t tag)
{
    const TimePoint now = m_host->now();
    switch (tag) {
    case renewTag:
        renew();
        return m_host->callPolicyAt(now + renewInterval, tag);
    case reportTag:
        collectReports();
        return m_host->callPolicyAt(now + reportInterval, tag);
    case shareTag:
        handOutShares();
        return m_host->callPolicyAt(now + shareInterval, tag);
    case planTag:
        for (std::size_t cell = 0; cell < m_cells.size(); ++cell)
            planCell(cell);
        return m_host->callPolicyAt(now + planInterval, tag);
    default:
        return finishMove(tag - firstMoveTag);
    }
}

void PlacerSide::renew()
{
    bool anyRestarted = false;
    for (std::uint32_t index = 0; index < m_views.size(); ++index) {
        const FakeTarget &target = m_host->targets()[index];
        TargetView &view = m_views[index];
        view.restarted = false;
        if (!target.up)
            continue;
        view.renewedAt = m_host->now();
        view.state = target.state();
        if (view.startId != target.startId()) {
            view.startId = target.startId();
            view.startSeenAt = m_host->now();
            view.restarted = true;
            anyRestarted = true;
        }
    }
    for (std::size_t cell = 0; anyRestarted && cell < m_cells.size(); ++cell)
        planCell(cell);
    for (std::uint32_t index = 0; index < m_views.size(); ++index) {
        if (m_host->targets()[index].up && !m_host->targets()[index].granted)
            m_host->grantTarget(index);
    }
}

bool PlacerSide::isAlive(std::uint32_t entry) const
{
    return !m_host->entries()[entry].frozen;
}

bool PlacerSide::isAnswering(std::uint32_t target) const
{
    return m_host->now() - m_views[target].renewedAt < suspectAfter;
}

std::uint32_t PlacerSide::zoneOf(std::size_t cell) const
{
    return static_cast<std::uint32_t>(cell);
}

void PlacerSide::collectReports()
{
    for (std::size_t cell = 0; cell < m_cells.size(); ++cell) {
        std::map<KeyRange, SliceLoad> &loads = m_cells[cell].loads;
        loads.clear();
        for (std::uint32_t entry = 0; entry < m_host->entries().size(); ++entry) {
            const std::uint32_t zone = m_host->entries()[entry].zone;
            if (!isAlive(entry) || !m_host->reachable(zone, zoneOf(cell)))
                continue;
            for (const SliceLoad &load : m_entries->loads(entry, cell)) {
                SliceLoad &sum = loads[load.range];
                sum.range = load.range;
                sum.requestsPerSecond += load.requestsPerSecond;
                sum.busySlots += load.busySlots;
            }
        }
    }
    for (std::uint32_t entry = 0; entry < m_host->entries().size(); ++entry) {
        if (!isAlive(entry))
            continue;
        const InstanceId &id = m_host->entries()[entry].id;
        for (std::uint32_t target = 0; target < m_views.size(); ++target)
            m_slowness.report(id, m_entries->observe(entry, target), m_host->now());
    }
}

void PlacerSide::handOutShares()
{
    for (std::uint32_t target = 0; target < m_views.size(); ++target) {
        const std::uint32_t zone = m_host->targets()[target].zone;
        std::map<InstanceId, double> demand;
        for (std::uint32_t entry = 0; entry < m_host->entries().size(); ++entry) {
            if (isAlive(entry) && m_host->reachable(m_host->entries()[entry].zone, zone))
                demand[m_host->entries()[entry].id] = m_entries->observe(entry, target).demandSlots;
        }
        const auto shares = shareCapacity(m_host->targets()[target].settings, demand);
        for (std::uint32_t entry = 0; entry < m_host->entries().size(); ++entry) {
            const auto share = shares.find(m_host->entries()[entry].id);
            if (share != shares.end())
                m_entries->setShare(entry, target, share->second, m_host->now() + shareLength);
        }
    }
}

std::vector<double> PlacerSide::loadByTarget(std::size_t exceptCell) const
{
    std::vector<double> sums(m_views.size());
    const double seconds = m_host->shape().meanServiceSeconds();
    for (std::size_t cell = 0; cell < m_cells.size(); ++cell) {
        if (cell == exceptCell)
            continue;
        for (const SliceRecord &slice : m_table->cells()[cell].slices) {
            const auto load = m_cells[cell].loads.find(slice.range);
            if (load != m_cells[cell].loads.end() && !slice.owner.empty())
                sums[m_table->indexOf(slice.owner)] += load->second.requestsPerSecond * seconds;
        }
    }
    return sums;
}

std::vector<BalanceTarget> PlacerSide::balanceTargets(std::size_t cell)
{
    const std::vector<double> others = loadByTarget(cell);
    std::vector<BalanceTarget> targets;
    for (std::uint32_t index = 0; index < m_views.size(); ++index) {
        const FakeTarget &target = m_host->targets()[index];
        const TargetView &view = m_views[index];
        const auto agreed = m_slowness.agreed(target.settings.id, m_host->now());
        BalanceTarget seen;
        seen.id = target.settings.id;
        seen.zone = target.settings.zone;
        seen.capacity = target.settings.slots;
        seen.usable = isAnswering(index) && !m_host->zonesOut()[target.zone]
            && m_host->reachable(zoneOf(cell), target.zone);
        const bool young =
            view.startSeenAt != TimePoint() && m_host->now() - view.startSeenAt < minColdTime;
        seen.cold = young || view.state == TargetState::Cold;
        seen.slowdown = agreed.slowdown;
        seen.slowFor = agreed.slowFor;
        seen.otherLoad = others[index];
        targets.push_back(seen);
    }
    return targets;
}

void PlacerSide::planCell(std::size_t cell)
{
    Cell &state = m_cells[cell];
    if (state.plannedAt == m_host->now())
        return;
    state.plannedAt = m_host->now();
    BalanceInput input;
    input.record = &m_table->cells()[cell];
    input.targets = balanceTargets(cell);
    for (const auto &[range, load] : state.loads)
        input.loads.push_back(load);
    input.movesUnderWay = state.movesUnderWay;
    input.maxMoves = maxMoves;
    input.maxSlices = m_host->shape().service.maxSlicesPerCell;
    for (const PlannedChange &change : state.balancer->plan(input, m_host->now()))
        carryOut(cell, change);
}

void PlacerSide::carryOut(std::size_t cell, const PlannedChange &change)
{
    if (const auto *move = std::get_if<PlannedMove>(&change))
        return startMove(cell, *move);
    if (const auto *split = std::get_if<PlannedSplit>(&change))
        return m_table->split(cell, split->range, split->secondFirst);
    const auto &merge = std::get<PlannedMerge>(change);
    m_table->merge(cell, merge.lower, merge.upper);
}

void PlacerSide::startMove(std::size_t cell, const PlannedMove &move)
{
    SliceRecord *slice = m_table->exact(cell, move.range);
    if (slice == nullptr || slice->phase == SlicePhase::Moving)
        return;
    slice->phase = SlicePhase::Moving;
    slice->nextOwner = move.to;
    const std::uint32_t owner = m_table->indexOf(slice->owner);
    constexpr int linksOfTwoRoundTrips = 4;
    const TimePoint now = m_host->now();
    const bool lost = !isAnswering(owner) && !m_views[owner].restarted;
    Duration closed = linksOfTwoRoundTrips * m_host->shape().zoneLink;
    if (lost)
        closed = std::max(closed, m_views[owner].renewedAt + grantLength - now);
    ++m_cells[cell].movesUnderWay;
    m_moves.push_back({cell, move.range, now, !lost});
    m_entries->sliceClosed(move.range, owner);
    m_host->callPolicyAt(now + closed, firstMoveTag + m_moves.size() - 1);
}

void PlacerSide::finishMove(std::size_t index)
{
    const Move move = m_moves[index];
    SliceRecord *slice = m_table->exact(move.cell, move.range);
    const std::uint32_t owner = m_table->indexOf(slice->owner);
    if (m_host->targets()[owner].up && m_entries->inFlight(move.range, owner) > 0)
        return m_host->callPolicyAt(m_host->now() + drainPoll, firstMoveTag + index);
    slice->owner = slice->nextOwner;
    slice->nextOwner = TargetId();
    slice->phase = SlicePhase::Settled;
    --m_cells[move.cell].movesUnderWay;
    m_host->noteMove(move.range, move.planned, m_host->now() - move.closedAt);
    m_entries->sliceOpened(move.range);
}

} // namespace yuccaspan::bench

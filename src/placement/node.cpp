#include "placement/node.hpp"

#include <algorithm>
#include <utility>

namespace yuccaspan {

Result<std::unique_ptr<PlacementNode>> makePlacementNode(PlacementSelf self, PlacementTiming timing)
{
    return impl::makeNode(std::move(self), timing, impl::defaultPolicy(),
                          impl::ProtocolMutation::None);
}

namespace impl {

namespace {
/// Largest difference of clock rates for which lease expiry is still bounded.
constexpr double maxDrift = 0.1;
} // namespace

PlacementPolicy defaultPolicy()
{
    return {makeBalancer, initialSlices, shareCapacity};
}

Status checkTiming(const PlacementTiming &timing)
{
    const auto fail = [](const char *text) {
        return Status(Error{ErrorCode::InvalidArgument, text, {}});
    };
    if (timing.tickInterval <= Duration::zero() || timing.renewInterval <= Duration::zero()
        || timing.promiseInterval <= Duration::zero() || timing.orderTimeout <= Duration::zero())
        return fail("placement intervals must be positive");
    if (timing.grantLength < 2 * timing.renewInterval
        || timing.viewLeaseLength < 2 * timing.renewInterval)
        return fail("a grant must outlast two renewals");
    if (timing.authorityLength < 2 * timing.promiseInterval
        || timing.suspectAfter < 2 * timing.promiseInterval)
        return fail("authority must outlast two promise intervals");
    if (timing.maxDriftRate < 0 || timing.maxDriftRate > maxDrift)
        return fail("the clock drift rate must be between 0 and 0.1");
    if (timing.maxCandidates == 0)
        return fail("a cell needs at least one candidate");
    return ok();
}

Result<std::unique_ptr<PlacementNode>> makeNode(PlacementSelf self, PlacementTiming timing,
                                                PlacementPolicy policy, ProtocolMutation mutation)
{
    if (self.id.empty())
        return Error{ErrorCode::InvalidArgument, "the instance has no name", {}};
    const Status checked = checkTiming(timing);
    if (!checked)
        return checked.error();
    return std::unique_ptr<PlacementNode>(
        std::make_unique<Node>(std::move(self), timing, std::move(policy), mutation));
}

Node::Node(PlacementSelf self, PlacementTiming timing, PlacementPolicy policy,
           ProtocolMutation mutation)
{
    m_context.random.seed(self.seed);
    m_context.self = std::move(self);
    m_context.timing = timing;
    m_context.policy = std::move(policy);
    m_context.mutation = mutation;
}

PlacementActions Node::handle(const PlacementEvent &event, TimePoint now)
{
    m_context.now = now;
    if (m_context.startedAt == TimePoint())
        m_context.startedAt = now;
    m_context.updateLastSeen();
    std::visit([&](const auto &value) { process(value, now); }, event);
    while (!m_context.loopback.empty()) {
        const PeerEnvelope envelope = std::move(m_context.loopback.front());
        m_context.loopback.pop_front();
        deliver(envelope, now);
    }
    collectReads();
    return std::exchange(m_context.actions, {});
}

void Node::collectReads()
{
    for (const PlacementAction &action : m_context.actions) {
        if (const auto *read = std::get_if<ReadAction>(&action))
            m_reads[read->readId] = read->path;
    }
}

std::vector<CellStatus> Node::status(TimePoint now) const
{
    std::vector<CellStatus> list;
    for (const auto &[id, state] : m_cells) {
        if (state.cell->hasRecord())
            list.push_back(state.cell->status(now));
    }
    return list;
}

bool Node::mayStop() const noexcept
{
    return std::ranges::all_of(m_cells,
                               [](const auto &item) { return item.second.cell->isIdle(); });
}

Node::CellState &Node::cellState(const CellId &id, TimePoint now)
{
    CellState &state = m_cells[id];
    if (!state.cell)
        state.cell = std::make_unique<Cell>(id, now);
    return state;
}

Cell *Node::findCell(const CellId &id)
{
    const auto found = m_cells.find(id);
    return found == m_cells.end() ? nullptr : found->second.cell.get();
}

void Node::process(const TickEvent &, TimePoint now)
{
    if (m_context.settings != nullptr) {
        for (const ServiceSettings &service : m_context.settings->services)
            findOrCreateDirectory(service, m_services[service.name], now);
    }
    for (auto &[id, state] : m_cells) {
        findOrCreateRecord(state, now);
        state.cell->tick(m_context, now);
        if (m_leaving && state.cell->placer() != nullptr)
            state.cell->placer()->leave(m_context, now);
    }
    requestState(now);
}

void Node::process(const ClockJumpEvent &event, TimePoint now)
{
    m_context.log("ownership",
                  "The clock jumped by " + std::to_string(event.gap.count() / 1000)
                      + " ms; checking leases.");
    for (auto &[id, state] : m_cells)
        state.cell->onClockJump(m_context, now);
}

void Node::process(const SettingsEvent &event, TimePoint)
{
    const bool isOlder =
        m_context.settings != nullptr && event.settings->version < m_context.settings->version;
    if (!isOlder)
        m_context.settings = event.settings;
}

void Node::process(const MembersEvent &event, TimePoint)
{
    m_context.members = event.members;
}

void Node::process(const StoreValueEvent &event, TimePoint now)
{
    observeObject(event.path, event.version, event.value, now);
}

void Node::process(const StoreReadEvent &event, TimePoint now)
{
    const auto read = m_reads.find(event.readId);
    if (read == m_reads.end())
        return;
    const std::string path = read->second;
    m_reads.erase(read);
    if (!event.answered)
        return;
    if (const auto id = cellOfPath(path); id && findCell(*id) != nullptr)
        findCell(*id)->onReadAnswered(now);
    if (event.version.value != 0) {
        observeObject(path, event.version, event.value, now);
        return;
    }
    if (const auto cell = cellOfPath(path); cell && findCell(*cell) != nullptr) {
        std::optional<TimePoint> &since = m_cells[*cell].absentSince;
        since = since.value_or(now);
    } else if (const auto service = directoryOfPath(path)) {
        std::optional<TimePoint> &since = m_services[*service].absentSince;
        since = since.value_or(now);
    }
}

void Node::process(const StoreWrittenEvent &event, TimePoint now)
{
    for (auto &[id, state] : m_cells) {
        if (state.cell->owns(event.writeId)) {
            state.cell->onWritten(m_context, event, now);
            return;
        }
    }
    for (auto &[name, state] : m_services) {
        if (state.writeId != event.writeId || event.writeId == 0)
            continue;
        state.writeId = 0;
        state.nextReadAt = now;
    }
}

void Node::process(const PeerEvent &event, TimePoint now)
{
    deliver(event.envelope, now);
}

void Node::process(const TargetAnswerEvent &event, TimePoint now)
{
    for (auto &[id, state] : m_cells)
        state.cell->onTargetAnswer(m_context, event, now);
}

void Node::process(const SliceIdleEvent &event, TimePoint now)
{
    if (Cell *cell = findCell(event.cell))
        cell->onSliceIdle(m_context, event, now);
}

void Node::process(const LocalLoadEvent &event, TimePoint)
{
    for (const LoadReport &report : event.reports) {
        if (Cell *cell = findCell(report.cell))
            cell->onLoadMeasured(m_context, report);
    }
}

void Node::process(const MoveRequestEvent &event, TimePoint now)
{
    Cell *cell = findCell(event.cell);
    if (cell != nullptr && cell->placer() != nullptr)
        cell->placer()->onMoveRequest(m_context, event, now);
    else
        m_context.log("placement",
                      "Rejects a move request: this instance is not the placer of the cell.");
}

void Node::process(const SplitRequestEvent &event, TimePoint)
{
    Cell *cell = findCell(event.cell);
    if (cell != nullptr && cell->placer() != nullptr)
        cell->placer()->onSplitRequest(event);
}

void Node::process(const MergeRequestEvent &event, TimePoint)
{
    Cell *cell = findCell(event.cell);
    if (cell != nullptr && cell->placer() != nullptr)
        cell->placer()->onMergeRequest(event);
}

void Node::process(const LeaveEvent &, TimePoint now)
{
    m_leaving = true;
    for (auto &[id, state] : m_cells) {
        if (state.cell->placer() != nullptr)
            state.cell->placer()->leave(m_context, now);
    }
}

} // namespace impl
} // namespace yuccaspan

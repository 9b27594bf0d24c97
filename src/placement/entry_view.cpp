#include "placement/entry_view.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace yuccaspan::impl {

namespace {
/// Number of acknowledgements whose send time is kept.
constexpr std::size_t maxTrackedAcks = 64;
} // namespace

void overlayRoutes(std::vector<Route> &routes, const std::vector<Route> &changes)
{
    std::vector<Route> merged;
    merged.reserve(routes.size() + changes.size());
    auto change = changes.begin();
    for (Route &route : routes) {
        while (change != changes.end() && change->range.last < route.range.first)
            merged.push_back(*change++);
        const bool isReplaced = change != changes.end() && change->range.overlaps(route.range);
        const bool wasReplaced = !merged.empty() && merged.back().range.overlaps(route.range);
        if (!isReplaced && !wasReplaced)
            merged.push_back(std::move(route));
    }
    std::copy(change, changes.end(), std::back_inserter(merged));
    routes = std::move(merged);
}

std::vector<Route> routesOfRecord(const CellRecord &record)
{
    std::vector<Route> routes;
    routes.reserve(record.slices.size());
    for (const SliceRecord &slice : record.slices) {
        RouteState state = RouteState::Open;
        if (slice.owner.empty())
            state = RouteState::Unowned;
        else if (slice.phase == SlicePhase::Moving)
            state = RouteState::Held;
        routes.push_back({slice.range, slice.owner, slice.token, state});
    }
    return routes;
}

EntryView::EntryView(CellId cell) : m_cell(std::move(cell))
{ }

void EntryView::onUpdate(Context &context, const InstanceId &from, const RouteUpdate &update,
                         TimePoint now)
{
    if (update.term < m_term)
        return;
    if (update.term == m_term && update.sequence < m_highestSequence)
        return;
    const bool isNewTerm = update.term > m_term;
    const bool isApplied = apply(update);
    if (!isApplied && isNewTerm)
        return;
    m_placer = from;
    if (!isApplied) {
        acknowledge(context, now);
        return;
    }
    m_lastUpdateAt = now;
    m_leaseSequence = std::max(m_leaseSequence, update.leaseSequence);
    extendLease(context, update, now);
    removeStaleIdle();
    publish(context);
    if (!update.shares.empty())
        context.actions.push_back(
            SharesAction{m_cell, update.shares, now + context.timing.viewLeaseLength});
    acknowledge(context, now);
}

bool EntryView::apply(const RouteUpdate &update)
{
    const bool isNewTerm = update.term > m_term;
    if (!update.full && (isNewTerm || update.baseSequence > m_sequence || m_sequence == 0))
        return false;
    if (update.full) {
        m_routes = update.routes;
        m_range = update.range;
    } else {
        overlayRoutes(m_routes, update.routes);
    }
    if (isNewTerm) {
        m_acks.clear();
        m_leaseSequence = 0;
    }
    m_term = update.term;
    m_sequence = update.sequence;
    m_highestSequence = update.sequence;
    return true;
}

void EntryView::extendLease(const Context &context, const RouteUpdate &update, TimePoint now)
{
    const auto ack = std::ranges::find(m_acks, update.echoSequence, &SentAck::sequence);
    if (ack == m_acks.end() || update.viewLease <= Duration::zero())
        return;
    const bool countsFromReceipt = context.mutation == ProtocolMutation::LeaseCountedFromReceipt;
    m_leaseEnd = std::max(m_leaseEnd, (countsFromReceipt ? now : ack->sentAt) + update.viewLease);
}

void EntryView::onSliceIdle(Context &context, const KeyRange &range, FencingToken token,
                            TimePoint now)
{
    const GrantedSlice idle{range, token};
    const bool isHeld = std::ranges::any_of(m_routes, [&](const Route &route) {
        return route.state == RouteState::Held && route.range == range && route.token == token;
    });
    if (!isHeld || std::ranges::find(m_idle, idle) != m_idle.end())
        return;
    m_idle.push_back(idle);
    if (!m_placer.empty())
        acknowledge(context, now);
}

void EntryView::onRecordObserved(Context &context, const CellRecord &record, TimePoint now)
{
    const bool isNewer = record.term > m_term;
    const bool isPlacerUnresponsive = now - m_lastUpdateAt > 2 * context.timing.viewLeaseLength;
    if (!isNewer && !(record.term == m_term && isPlacerUnresponsive))
        return;
    std::vector<Route> routes = routesOfRecord(record);
    if (routes == m_routes && !isNewer)
        return;
    // The view lease covers only routes sent by a placer, so that targets that do not check grants
    // receive no requests under routes taken from the record.
    m_leaseEnd = TimePoint();
    m_routes = std::move(routes);
    m_range = record.range;
    if (isNewer)
        m_highestSequence = 0;
    m_term = record.term;
    m_sequence = 0;
    m_placer = InstanceId();
    m_acks.clear();
    removeStaleIdle();
    publish(context);
}

void EntryView::acknowledge(Context &context, TimePoint now)
{
    RouteAck ack;
    ack.cell = m_cell;
    ack.term = m_term;
    ack.sequence = m_sequence;
    ack.leaseSequence = m_leaseSequence;
    ack.ackSequence = ++m_ackSequence;
    for (const GrantedSlice &idle : m_idle)
        ack.idle.push_back(idle.range);
    m_acks.push_back({ack.ackSequence, now});
    if (m_acks.size() > maxTrackedAcks)
        m_acks.pop_front();
    context.send(m_placer, std::move(ack));
}

void EntryView::removeStaleIdle()
{
    std::erase_if(m_idle, [&](const GrantedSlice &idle) {
        return std::ranges::none_of(m_routes, [&](const Route &route) {
            return route.state == RouteState::Held && route.range == idle.range
                && route.token == idle.token;
        });
    });
}

void EntryView::publish(Context &context)
{
    auto routes = std::make_shared<CellRoutes>();
    routes->cell = m_cell;
    routes->range = m_range;
    routes->term = m_term;
    routes->sequence = m_sequence;
    routes->viewLeaseEnd = m_leaseEnd;
    routes->routes = m_routes;
    std::vector<KeyRange> reportIdle;
    for (const Route &route : m_routes) {
        const GrantedSlice slice{route.range, route.token};
        if (route.state == RouteState::Held && std::ranges::find(m_idle, slice) == m_idle.end())
            reportIdle.push_back(route.range);
    }
    context.actions.push_back(RoutesAction{std::move(routes), std::move(reportIdle)});
}

} // namespace yuccaspan::impl

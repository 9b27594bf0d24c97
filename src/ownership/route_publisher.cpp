#include "ownership/route_publisher.hpp"

#include <algorithm>
#include <utility>

namespace yuccaspan::impl {

namespace {
/// An update with new routes is resent if it is not acknowledged within this time.
constexpr Duration resendInterval = std::chrono::milliseconds(60);
} // namespace

RoutePublisher::RoutePublisher(CellId cell, KeyRange range, Term term)
    : m_cell(std::move(cell)), m_range(range), m_term(term)
{ }

void RoutePublisher::setRoutes(std::vector<Route> routes)
{
    std::vector<Published> published;
    published.reserve(routes.size());
    const std::uint64_t next = m_sequence + 1;
    bool changed = routes.size() != m_routes.size();
    auto old = m_routes.begin();
    for (Route &route : routes) {
        while (old != m_routes.end() && old->route.range.first < route.range.first)
            ++old;
        const bool isSame = old != m_routes.end() && old->route == route;
        published.push_back({std::move(route), isSame ? old->changedAt : next});
        changed = changed || !isSame;
    }
    if (!changed)
        return;
    m_sequence = next;
    m_routes = std::move(published);
}

void RoutePublisher::setShares(const InstanceId &entry, std::vector<CapacityShare> shares)
{
    const auto found = m_entries.find(entry);
    if (found != m_entries.end())
        found->second.shares = std::move(shares);
}

bool RoutePublisher::onAcknowledged(const InstanceId &entry, const RouteAck &ack, TimePoint now)
{
    const auto found = m_entries.find(entry);
    if (found == m_entries.end() || ack.term != m_term || ack.ackSequence <= found->second.echo)
        return false;
    Entry &state = found->second;
    state.echo = ack.ackSequence;
    state.echoAt = now;
    const std::uint64_t acked = std::min(ack.sequence, m_sequence);
    const bool isFirst = state.leaseBound == TimePoint();
    const bool changed = isFirst || acked != state.acked || ack.idle != state.idle;
    state.acked = acked;
    state.idle = ack.idle;
    return changed;
}

void RoutePublisher::step(Context &context, TimePoint authorityUntil, TimePoint now)
{
    if (authorityUntil <= now)
        return;
    for (const Member &member : context.members) {
        if (member.alive)
            m_entries.try_emplace(member.id);
    }
    m_entries.try_emplace(context.self.id);
    std::erase_if(m_entries, [&](const auto &item) {
        return !context.isAlive(item.first) && item.second.leaseBound <= now;
    });
    for (auto &[id, entry] : m_entries) {
        if (context.isAlive(id) && isDue(context, entry, now))
            send(context, id, entry, authorityUntil, now);
    }
}

bool RoutePublisher::isDue(const Context &context, const Entry &entry, TimePoint now) const
{
    if (entry.sentSequence < m_sequence)
        return true;
    const Duration since = now - entry.sentAt;
    if (entry.acked < m_sequence || entry.leaseBound == TimePoint())
        return since >= resendInterval;
    return since >= context.timing.renewInterval;
}

void RoutePublisher::send(Context &context, const InstanceId &to, Entry &entry,
                          TimePoint authorityUntil, TimePoint now)
{
    RouteUpdate update;
    update.cell = m_cell;
    update.range = m_range;
    update.term = m_term;
    update.sequence = m_sequence;
    update.full = entry.acked == 0;
    update.baseSequence = entry.acked;
    update.leaseSequence = ++entry.leaseSequence;
    update.echoSequence = entry.echo;
    update.viewLease = leaseFor(context, entry, authorityUntil);
    update.shares = entry.shares;
    for (const Published &published : m_routes) {
        if (published.changedAt > entry.acked)
            update.routes.push_back(published.route);
    }
    if (update.viewLease > Duration::zero()) {
        const TimePoint bound = entry.echoAt + context.stretched(update.viewLease);
        entry.leaseBound = std::max(entry.leaseBound, bound);
    }
    entry.sentAt = now;
    entry.sentSequence = m_sequence;
    context.send(to, std::move(update));
}

Duration RoutePublisher::leaseFor(const Context &context, const Entry &entry,
                                  TimePoint authorityUntil) const
{
    if (entry.echo == 0 || authorityUntil <= entry.echoAt)
        return Duration::zero();
    const Duration authority = context.shrunk(
        std::min<Duration>(authorityUntil - entry.echoAt, context.timing.viewLeaseLength * 2));
    return std::min(context.timing.viewLeaseLength, authority);
}

bool RoutePublisher::isIdleEverywhere(const Context &context, const KeyRange &range,
                                      std::uint64_t since, bool waitForLeases, TimePoint now) const
{
    return std::ranges::all_of(m_entries, [&](const auto &item) {
        const Entry &entry = item.second;
        if (entry.acked >= since && std::ranges::find(entry.idle, range) != entry.idle.end())
            return true;
        if (waitForLeases)
            return entry.leaseBound <= now;
        return !context.isAlive(item.first);
    });
}

} // namespace yuccaspan::impl

#include "grant_table.hpp"

#include <algorithm>

namespace yuccaspan::standins {

namespace {

/// Finished holds kept for checks of exclusivity; the oldest go first.
constexpr std::size_t maxFinishedHolds = 100000;

FencingToken floorAt(const std::map<KeyHash, FencingToken> &floor, KeyHash hash)
{
    const auto after = floor.upper_bound(hash);
    return after == floor.begin() ? FencingToken{} : std::prev(after)->second;
}

} // namespace

GrantTable::GrantTable(std::string startId) : m_startId(std::move(startId))
{ }

OrderVerdict GrantTable::grant(const GrantOrder &order, Duration clock)
{
    if (order.startId != m_startId)
        return {TargetVerdict::Refused, knownTerm(order.cell)};
    Cell &cell = m_cells[order.cell];
    const bool sameTerm = cell.term == order.term;
    if (!takeTurn(cell, order.term, order.sequence))
        return {TargetVerdict::Refused, cell.term};
    if (!sameTerm)
        cell.setVersion.reset();
    if (order.validUntil <= clock || !tokensMayRise(order.cell.service, order.slices))
        return {TargetVerdict::Refused, cell.term};
    if (!order.full && cell.setVersion != order.setVersion)
        return {TargetVerdict::NeedFull, cell.term};
    replaceSlices(order.cell, cell, order, clock);
    return {TargetVerdict::Accepted, cell.term};
}

OrderVerdict GrantTable::revoke(const RevokeOrder &order, Duration clock)
{
    if (order.startId != m_startId)
        return {TargetVerdict::Refused, knownTerm(order.cell)};
    Cell &cell = m_cells[order.cell];
    if (!takeTurn(cell, order.term, order.sequence))
        return {TargetVerdict::Refused, cell.term};
    const auto ends = [&order](const Held &held) {
        return held.slice.range.overlaps(order.range) && held.slice.token <= order.token;
    };
    for (const Held &held : cell.slices) {
        if (ends(held))
            finish(order.cell, held, std::min(clock, cell.validUntil));
    }
    std::erase_if(cell.slices, ends);
    // The set no longer is the one that the placer knows by its version.
    cell.setVersion.reset();
    raiseFloor(order.cell.service, {order.range, order.token});
    return {TargetVerdict::Accepted, cell.term};
}

GrantCheck GrantTable::check(const ServiceName &service, KeyHash hash, FencingToken token,
                             Duration clock) const
{
    for (const auto &[id, cell] : m_cells) {
        if (id.service != service || cell.validUntil <= clock)
            continue;
        for (const Held &held : cell.slices) {
            if (!held.slice.range.contains(hash))
                continue;
            if (held.slice.token == token)
                return GrantCheck::Covered;
            return token < held.slice.token ? GrantCheck::StaleToken : GrantCheck::NoGrant;
        }
    }
    return GrantCheck::NoGrant;
}

std::vector<GrantedSlice> GrantTable::holds(const CellId &cell, Duration clock) const
{
    std::vector<GrantedSlice> slices;
    const auto found = m_cells.find(cell);
    if (found == m_cells.end() || found->second.validUntil <= clock)
        return slices;
    for (const Held &held : found->second.slices)
        slices.push_back(held.slice);
    return slices;
}

std::vector<HoldInterval> GrantTable::holds(Duration clock) const
{
    std::vector<HoldInterval> present;
    for (const auto &[id, cell] : m_cells) {
        if (cell.validUntil <= clock)
            continue;
        for (const Held &held : cell.slices)
            present.push_back(
                {id.service, held.slice.range, held.slice.token, held.from, cell.validUntil});
    }
    return present;
}

Term GrantTable::knownTerm(const CellId &cell) const
{
    const auto found = m_cells.find(cell);
    return found == m_cells.end() ? Term{} : found->second.term;
}

std::vector<HoldInterval> GrantTable::history() const
{
    std::vector<HoldInterval> all = m_finished;
    for (const auto &[id, cell] : m_cells) {
        for (const Held &held : cell.slices)
            all.push_back(
                {id.service, held.slice.range, held.slice.token, held.from, cell.validUntil});
    }
    return all;
}

bool GrantTable::takeTurn(Cell &cell, Term term, std::uint64_t sequence)
{
    if (term < cell.term || (term == cell.term && sequence <= cell.sequence))
        return false;
    cell.term = term;
    cell.sequence = sequence;
    return true;
}

bool GrantTable::tokensMayRise(const ServiceName &service,
                               const std::vector<GrantedSlice> &slices) const
{
    const auto found = m_floors.find(service);
    if (found == m_floors.end())
        return true;
    const TokenFloor &floor = found->second;
    for (const GrantedSlice &slice : slices) {
        if (slice.token < floorAt(floor, slice.range.first))
            return false;
        const auto end = floor.upper_bound(slice.range.last);
        for (auto step = floor.upper_bound(slice.range.first); step != end; ++step) {
            if (slice.token < step->second)
                return false;
        }
    }
    return true;
}

void GrantTable::raiseFloor(const ServiceName &service, const GrantedSlice &slice)
{
    TokenFloor &floor = m_floors[service];
    const bool hasEnd = slice.range.last != ~KeyHash{0};
    if (hasEnd)
        floor.emplace(slice.range.last + 1, floorAt(floor, slice.range.last + 1));
    floor.emplace(slice.range.first, floorAt(floor, slice.range.first));
    const auto end = floor.upper_bound(slice.range.last);
    for (auto step = floor.lower_bound(slice.range.first); step != end; ++step)
        step->second = std::max(step->second, slice.token);
}

void GrantTable::replaceSlices(const CellId &id, Cell &cell, const GrantOrder &order,
                               Duration clock)
{
    const bool lapsed = cell.validUntil <= clock;
    const Duration ended = std::min(cell.validUntil, clock);
    std::vector<Held> next;
    if (!order.full) {
        for (const Held &held : cell.slices)
            next.push_back({held.slice, clock});
    }
    for (const GrantedSlice &slice : order.slices) {
        if (order.full)
            next.push_back({slice, clock});
    }
    for (const Held &held : cell.slices) {
        const auto same = std::find_if(next.begin(), next.end(), [&held](const Held &other) {
            return other.slice == held.slice;
        });
        if (same != next.end() && !lapsed)
            same->from = held.from;
        else
            finish(id, held, ended);
    }
    cell.slices = std::move(next);
    cell.setVersion = order.setVersion;
    cell.validUntil = order.validUntil;
    for (const Held &held : cell.slices)
        raiseFloor(id.service, held.slice);
}

void GrantTable::finish(const CellId &id, const Held &held, Duration until)
{
    if (m_finished.size() >= maxFinishedHolds)
        m_finished.erase(m_finished.begin(), m_finished.begin() + maxFinishedHolds / 2);
    m_finished.push_back({id.service, held.slice.range, held.slice.token, held.from, until});
}

} // namespace yuccaspan::standins

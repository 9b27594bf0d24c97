/// \file
/// \brief A target with the grant semantics of docs/TARGET-API.md, and a drifting clock.
#pragma once

#include "yuccaspan/target_order.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace yuccaspan::test {

/// \brief A clock with its own origin and rate.
struct DriftingClock
{
    Duration origin{};
    double rate = 1;

    [[nodiscard]] Duration at(Duration trueTime) const
    {
        return origin
            + Duration(static_cast<Duration::rep>(static_cast<double>(trueTime.count()) * rate));
    }
};

/// \brief A target that keeps its grants in memory and loses them on a restart.
class FakeTarget
{
public:
    TargetId id;
    ZoneId zone;
    bool checks = true;
    bool up = true;
    bool acceptsLateGrants = false; ///< Fault: accepts expired grants.
    Duration frozenUntil{};
    DriftingClock clock;
    int start = 1;

    [[nodiscard]] std::string startId() const { return id.text() + "@" + std::to_string(start); }

    void restart()
    {
        ++start;
        m_cells.clear();
        up = true;
    }

    TargetAnswer applyOrder(std::uint64_t orderId, const TargetOrder &order, Duration trueTime)
    {
        TargetAnswer answer;
        answer.orderId = orderId;
        answer.startId = startId();
        answer.clock = clock.at(trueTime);
        answer.verdict = std::visit([&](const auto &kind) { return apply(kind, answer); }, order);
        answer.knownTerm =
            std::visit([&](const auto &kind) { return m_cells[kind.cell].term; }, order);
        return answer;
    }

    /// \brief Appends the slices with an unexpired grant, from all cells.
    void appendHeldSlices(Duration trueTime, std::vector<GrantedSlice> &list) const
    {
        for (const auto &[cell, state] : m_cells) {
            if (state.validUntil > clock.at(trueTime))
                list.insert(list.end(), state.slices.begin(), state.slices.end());
        }
    }

    [[nodiscard]] bool serves(KeyHash hash, FencingToken token, Duration trueTime) const
    {
        std::vector<GrantedSlice> held;
        appendHeldSlices(trueTime, held);
        return std::ranges::any_of(held, [&](const GrantedSlice &slice) {
            return slice.range.contains(hash) && slice.token == token;
        });
    }

private:
    struct State
    {
        Term term;
        std::uint64_t sequence = 0;
        std::uint64_t setVersion = 0;
        Duration validUntil{};
        std::vector<GrantedSlice> slices;
    };

    bool isStale(State &state, Term term, std::uint64_t sequence, const std::string &start)
    {
        if (start != startId() || term < state.term)
            return true;
        if (term == state.term && sequence <= state.sequence)
            return true;
        if (term > state.term)
            state.setVersion = 0;
        state.term = term;
        state.sequence = sequence;
        return false;
    }

    TargetVerdict apply(const GrantOrder &order, const TargetAnswer &answer)
    {
        State &state = m_cells[order.cell];
        const bool isLate = order.validUntil <= answer.clock;
        if (!checks || (isLate && !acceptsLateGrants)
            || isStale(state, order.term, order.sequence, order.startId))
            return TargetVerdict::Refused;
        if (!order.full && state.setVersion != order.setVersion)
            return TargetVerdict::NeedFull;
        if (order.full)
            state.slices = order.slices;
        state.setVersion = order.setVersion;
        state.validUntil = order.validUntil;
        if (isLate)
            state.validUntil = answer.clock + std::chrono::milliseconds(500);
        return TargetVerdict::Accepted;
    }

    TargetVerdict apply(const RevokeOrder &order, const TargetAnswer &)
    {
        State &state = m_cells[order.cell];
        if (!checks || isStale(state, order.term, order.sequence, order.startId))
            return TargetVerdict::Refused;
        std::erase_if(state.slices, [&](const GrantedSlice &slice) {
            return slice.range.overlaps(order.range) && slice.token <= order.token;
        });
        state.setVersion = 0;
        return TargetVerdict::Accepted;
    }

    TargetVerdict apply(const ProbeOrder &order, TargetAnswer &answer)
    {
        const State &state = m_cells[order.cell];
        if (state.validUntil > answer.clock)
            answer.holds = state.slices;
        return TargetVerdict::Accepted;
    }

    std::map<CellId, State> m_cells;
};

} // namespace yuccaspan::test

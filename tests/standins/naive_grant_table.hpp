// A grant table over a handful of hashes that keeps every rule per hash, without ranges.
#pragma once

#include "yuccaspan/target_order.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <string>

namespace yuccaspan::tests {

/// Number of hashes in the naive key space.
inline constexpr KeyHash naiveHashes = 8;

class NaiveGrantTable
{
public:
    explicit NaiveGrantTable(std::string startId) : m_startId(std::move(startId)) { }

    TargetVerdict grant(const GrantOrder &order, Duration clock)
    {
        const bool newTerm = order.term != m_term;
        if (!accepts(order.startId, order.term, order.sequence))
            return TargetVerdict::Refused;
        if (newTerm)
            m_knownSet.reset();
        if (order.validUntil <= clock)
            return TargetVerdict::Refused;
        for (const GrantedSlice &slice : order.slices) {
            for (KeyHash hash = slice.range.first; hash <= slice.range.last; ++hash) {
                if (slice.token < m_highest[hash])
                    return TargetVerdict::Refused;
            }
        }
        if (!order.full && m_knownSet != order.setVersion)
            return TargetVerdict::NeedFull;
        m_validUntil = order.validUntil;
        m_knownSet = order.setVersion;
        if (order.full)
            take(order);
        return TargetVerdict::Accepted;
    }

    TargetVerdict revoke(const RevokeOrder &order)
    {
        if (!accepts(order.startId, order.term, order.sequence))
            return TargetVerdict::Refused;
        // A slice that overlaps the range ends as a whole.
        for (KeyHash hash = order.range.first; hash <= order.range.last; ++hash) {
            const auto held = m_held[hash];
            if (held && held->token <= order.token)
                end(*held);
            m_highest[hash] = std::max(m_highest[hash], order.token);
        }
        m_knownSet.reset();
        return TargetVerdict::Accepted;
    }

    [[nodiscard]] std::optional<FencingToken> tokenAt(KeyHash hash, Duration clock) const
    {
        if (m_validUntil <= clock || !m_held[hash])
            return std::nullopt;
        return m_held[hash]->token;
    }

private:
    bool accepts(const std::string &startId, Term term, std::uint64_t sequence)
    {
        if (startId != m_startId || term < m_term)
            return false;
        if (term == m_term && sequence <= m_sequence)
            return false;
        m_term = term;
        m_sequence = sequence;
        return true;
    }

    void take(const GrantOrder &order)
    {
        m_held = {};
        for (const GrantedSlice &slice : order.slices) {
            for (KeyHash hash = slice.range.first; hash <= slice.range.last; ++hash) {
                m_held[hash] = slice;
                m_highest[hash] = slice.token;
            }
        }
    }

    void end(const GrantedSlice slice)
    {
        for (auto &held : m_held) {
            if (held == slice)
                held.reset();
        }
    }

    std::string m_startId;
    Term m_term;
    std::uint64_t m_sequence = 0;
    std::optional<std::uint64_t> m_knownSet;
    Duration m_validUntil{};
    std::array<std::optional<GrantedSlice>, naiveHashes> m_held{};
    std::array<FencingToken, naiveHashes> m_highest{};
};

} // namespace yuccaspan::tests

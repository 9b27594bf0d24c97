/// \file
/// \brief Keys, their hashes, and how often each is asked for.
#pragma once

#include "common/random.hpp"

#include "yuccaspan/key_range.hpp"

#include <cstdint>
#include <utility>
#include <vector>

namespace yuccaspan::bench {

/// \brief Zipf-distributed load over a fixed set of keys.
class KeyLoad
{
public:
    /// \brief Creates the keys; which key has which rank depends on the seed.
    KeyLoad(std::uint32_t keys, double exponent, std::uint64_t seed);

    /// \brief Draws a key.
    [[nodiscard]] std::uint32_t draw(Random &random) const;
    /// \brief Gives the ranks of the hottest part of the keys to other keys.
    /// \param part Part of the keys, 0 to 1.
    /// \param random Source of the choice.
    void moveHottest(double part, Random &random);
    /// \brief Hash of a key.
    [[nodiscard]] KeyHash hash(std::uint32_t key) const { return m_hashes[key]; }
    /// \brief Part of all requests that ask for a key.
    [[nodiscard]] double part(std::uint32_t key) const { return m_partOfRank[m_rankOf[key]]; }
    /// \brief Part of all requests that ask for keys in a range.
    [[nodiscard]] double partIn(const KeyRange &range) const;
    /// \brief Number of keys.
    [[nodiscard]] std::uint32_t size() const noexcept
    {
        return static_cast<std::uint32_t>(m_hashes.size());
    }

private:
    std::vector<KeyHash> m_hashes;
    std::vector<std::uint32_t> m_keyOf; ///< By rank.
    std::vector<std::uint32_t> m_rankOf; ///< By key.
    std::vector<std::pair<KeyHash, std::uint32_t>> m_byHash; ///< Hashes in order, with keys.
    std::vector<double> m_partOfRank;
    std::vector<double> m_cumulative; ///< By rank.
};

} // namespace yuccaspan::bench

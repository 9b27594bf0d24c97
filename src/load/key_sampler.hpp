/// \file
/// \brief Draws keys with a Zipf or uniform distribution.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

namespace yuccaspan::load {

/// \brief Draws key numbers. The rank of a key is fixed by the seed and changes with the epoch.
class KeySampler
{
public:
    /// \brief Creates a sampler.
    /// \param keys Number of keys, at least 1.
    /// \param exponent Zipf exponent; 0 is uniform.
    /// \param seed Decides which keys are popular.
    KeySampler(std::uint32_t keys, double exponent, std::uint64_t seed);

    /// \brief Draws a key.
    /// \param random Source of randomness.
    /// \param epoch With another epoch, other keys are popular.
    /// \returns A number below the number of keys.
    [[nodiscard]] std::uint32_t draw(std::mt19937_64 &random, std::uint32_t epoch) const;

private:
    std::vector<double> m_cumulative; ///< Cumulative weight by rank.
    std::vector<std::uint32_t> m_keyOfRank;
};

} // namespace yuccaspan::load

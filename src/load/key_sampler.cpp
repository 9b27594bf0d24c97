#include "load/key_sampler.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace yuccaspan::load {

namespace {

/// The ranks move on by this share of the keys with each epoch.
constexpr double epochStep = 0.381966;

} // namespace

KeySampler::KeySampler(std::uint32_t keys, double exponent, std::uint64_t seed)
    : m_cumulative(keys), m_keyOfRank(keys)
{
    double sum = 0;
    for (std::uint32_t rank = 0; rank < keys; ++rank) {
        sum += std::pow(static_cast<double>(rank) + 1, -exponent);
        m_cumulative[rank] = sum;
    }
    std::iota(m_keyOfRank.begin(), m_keyOfRank.end(), 0U);
    std::mt19937_64 random(seed);
    std::shuffle(m_keyOfRank.begin(), m_keyOfRank.end(), random);
}

std::uint32_t KeySampler::draw(std::mt19937_64 &random, std::uint32_t epoch) const
{
    std::uniform_real_distribution<double> uniform(0, m_cumulative.back());
    const auto found = std::upper_bound(m_cumulative.begin(), m_cumulative.end(), uniform(random));
    const auto keys = m_cumulative.size();
    const auto rank = std::min<std::size_t>(found - m_cumulative.begin(), keys - 1);
    const auto shift = static_cast<std::size_t>(epochStep * static_cast<double>(keys)) * epoch;
    return m_keyOfRank[(rank + shift) % keys];
}

} // namespace yuccaspan::load

#include "key_load.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>

namespace yuccaspan::bench {

KeyLoad::KeyLoad(std::uint32_t keys, double exponent, std::uint64_t seed)
    : m_keyOf(keys), m_rankOf(keys)
{
    double total = 0;
    for (std::uint32_t index = 0; index < keys; ++index) {
        m_hashes.push_back(hashKey("key-" + std::to_string(index)));
        m_partOfRank.push_back(std::pow(index + 1.0, -exponent));
        total += m_partOfRank.back();
        m_cumulative.push_back(total);
    }
    for (double &part : m_partOfRank)
        part /= total;
    for (double &sum : m_cumulative)
        sum /= total;
    std::iota(m_keyOf.begin(), m_keyOf.end(), 0U);
    Random random(seed);
    for (std::uint32_t index = keys - 1; index > 0; --index)
        std::swap(m_keyOf[index], m_keyOf[random.below(index + 1)]);
    for (std::uint32_t rank = 0; rank < keys; ++rank)
        m_rankOf[m_keyOf[rank]] = rank;
    for (std::uint32_t key = 0; key < keys; ++key)
        m_byHash.emplace_back(m_hashes[key], key);
    std::sort(m_byHash.begin(), m_byHash.end());
}

double KeyLoad::partIn(const KeyRange &range) const
{
    double sum = 0;
    for (auto next = std::lower_bound(m_byHash.begin(), m_byHash.end(),
                                      std::pair<KeyHash, std::uint32_t>(range.first, 0));
         next != m_byHash.end() && next->first <= range.last; ++next)
        sum += part(next->second);
    return sum;
}

std::uint32_t KeyLoad::draw(Random &random) const
{
    const auto found = std::upper_bound(m_cumulative.begin(), m_cumulative.end(), random.uniform());
    const auto rank = std::min<std::size_t>(found - m_cumulative.begin(), m_keyOf.size() - 1);
    return m_keyOf[rank];
}

void KeyLoad::moveHottest(double part, Random &random)
{
    const auto count = static_cast<std::uint32_t>(part * m_keyOf.size());
    for (std::uint32_t rank = 0; rank < count; ++rank) {
        const auto other = static_cast<std::uint32_t>(count + random.below(m_keyOf.size() - count));
        std::swap(m_keyOf[rank], m_keyOf[other]);
        m_rankOf[m_keyOf[rank]] = rank;
        m_rankOf[m_keyOf[other]] = other;
    }
}

} // namespace yuccaspan::bench

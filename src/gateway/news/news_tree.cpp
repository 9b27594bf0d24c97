#include "gateway/news/news_tree.hpp"

#include <xxhash.h>

#include <algorithm>

namespace yuccaspan::gateway {

std::size_t newsHash(const std::string &name) noexcept
{
    return XXH3_64bits(name.data(), name.size());
}

NewsPlace newsPlace(std::vector<std::string> zone, const std::string &self)
{
    std::ranges::sort(zone, {},
                      [](const std::string &name) { return std::pair(newsHash(name), name); });
    const auto found = std::ranges::find(zone, self);
    const auto rank = static_cast<std::size_t>(std::distance(zone.begin(), found));
    if (found == zone.end() || zone.size() < newsReadersPerZone)
        return {};
    if (rank < newsReadersPerZone)
        return {true, {zone[(rank + 1) % newsReadersPerZone]}};
    std::size_t above = 0;
    std::size_t aboveCount = newsReadersPerZone;
    while (rank >= above + aboveCount + aboveCount * newsFanOut) {
        above += aboveCount;
        aboveCount *= newsFanOut;
    }
    const std::size_t index = rank - above - aboveCount;
    return {false, {zone[above + index % aboveCount], zone[above + (index + 1) % aboveCount]}};
}

} // namespace yuccaspan::gateway

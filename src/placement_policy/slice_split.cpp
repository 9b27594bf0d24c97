#include "placement_policy/slice_split.hpp"

#include <algorithm>

namespace yuccaspan::impl {

namespace {

/// A key is isolated if it carries this fraction of its slice's load.
constexpr double isolateFraction = 0.4;
/// Each side of the split keeps at least this fraction of the range.
constexpr double minRangeFraction = 0.1;

[[nodiscard]] const HotKey *hottest(const ModelSlice &slice)
{
    const auto less = [](const HotKey &left, const HotKey &right) {
        return left.load < right.load;
    };
    const auto found = std::max_element(slice.hotKeys.begin(), slice.hotKeys.end(), less);
    return found == slice.hotKeys.end() ? nullptr : &*found;
}

/// \brief The split point that leaves the wanted fraction of an evenly spread load below it.
[[nodiscard]] KeyHash evenSplit(const ModelSlice &slice, double wanted)
{
    const double fraction =
        std::clamp(wanted / std::max(slice.load, 1e-9), minRangeFraction, 1 - minRangeFraction);
    const auto width = static_cast<double>(slice.range.last - slice.range.first);
    const auto offset = static_cast<KeyHash>(width * fraction);
    return slice.range.first + std::max<KeyHash>(1, offset);
}

} // namespace

std::optional<KeyHash> splitPosition(const ModelSlice &slice, double wanted)
{
    if (slice.range.first == slice.range.last)
        return std::nullopt;
    const HotKey *key = hottest(slice);
    if (key == nullptr || key->load < isolateFraction * slice.load)
        return evenSplit(slice, wanted);
    return key->hash > slice.range.first ? key->hash : key->hash + 1;
}

} // namespace yuccaspan::impl

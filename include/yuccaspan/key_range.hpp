/// \file
/// \brief Key hashes and ranges of them.
#pragma once

#include <compare>
#include <cstdint>
#include <limits>
#include <ostream>
#include <string>
#include <string_view>

namespace yuccaspan {

/// \brief Position of a key in its service's 64-bit hash space.
using KeyHash = std::uint64_t;

/// \brief The XXH3 64-bit hash of a key.
/// \param key The key's bytes.
[[nodiscard]] KeyHash hashKey(std::string_view key) noexcept;

/// \brief Writes a hash as 16 hexadecimal digits.
[[nodiscard]] std::string keyHashText(KeyHash hash);

/// \brief An inclusive range of key hashes.
struct KeyRange
{
    KeyHash first = 0; ///< Lowest hash in the range.
    KeyHash last = std::numeric_limits<KeyHash>::max(); ///< Highest hash in the range.

    /// \brief Whether a hash lies in the range.
    [[nodiscard]] constexpr bool contains(KeyHash hash) const noexcept
    {
        return first <= hash && hash <= last;
    }
    /// \brief Whether another range lies wholly in this one.
    [[nodiscard]] constexpr bool contains(const KeyRange &other) const noexcept
    {
        return first <= other.first && other.last <= last;
    }
    /// \brief Whether two ranges share a hash.
    [[nodiscard]] constexpr bool overlaps(const KeyRange &other) const noexcept
    {
        return first <= other.last && other.first <= last;
    }
    /// \brief Share of the whole hash space, 0 to 1.
    [[nodiscard]] constexpr double share() const noexcept
    {
        constexpr double spaceSize = 18446744073709551616.0;
        return (static_cast<double>(last - first) + 1.0) / spaceSize;
    }

    [[nodiscard]] friend constexpr bool operator==(const KeyRange &, const KeyRange &) = default;
    [[nodiscard]] friend constexpr auto operator<=>(const KeyRange &, const KeyRange &) = default;
};

/// \brief Writes the range as two 16-digit hexadecimal numbers, "first-last".
std::ostream &operator<<(std::ostream &stream, const KeyRange &range);

} // namespace yuccaspan

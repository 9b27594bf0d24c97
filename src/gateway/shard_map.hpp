/// \file
/// \brief The stored record of key ownership of a service.
#pragma once

#include "yuccaspan/result.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaspan::gateway {

/// \brief Largest key number.
constexpr std::uint32_t lastKey = 65535;

/// \brief Keys from first to last, both inclusive.
struct KeySpan
{
    std::uint32_t first = 0;
    std::uint32_t last = lastKey;

    /// \brief Number of keys.
    [[nodiscard]] constexpr std::uint32_t size() const noexcept { return last - first + 1; }
    /// \brief Whether the span contains the key.
    [[nodiscard]] constexpr bool contains(std::uint32_t key) const noexcept
    {
        return key >= first && key <= last;
    }
    [[nodiscard]] friend constexpr bool operator==(const KeySpan &, const KeySpan &) = default;
};

/// \brief A target that holds keys, or is about to, under a fencing token.
struct Holder
{
    std::string target; ///< Id of the target.
    std::int64_t incarnation = 0; ///< Identifies one start of the target.
    std::uint64_t fence = 0; ///< Fencing token; increases with each owner of a key.

    /// \brief Whether both are the same incarnation of the same target.
    [[nodiscard]] bool sameIncarnation(const Holder &other) const noexcept
    {
        return target == other.target && incarnation == other.incarnation;
    }
    [[nodiscard]] friend bool operator==(const Holder &, const Holder &) = default;
};

/// \brief A span of keys with its owner.
///
/// Settled: only an owner. Moving: the next owner is granted the keys once the present one no
/// longer holds them. Without an owner: the keys were never held, or the last holder is gone.
struct ShardRange
{
    KeySpan keys;
    std::optional<Holder> owner;
    std::optional<Holder> next;

    /// \brief Whether the owner only gets a higher fencing token; it keeps serving meanwhile.
    [[nodiscard]] bool refencing() const noexcept
    {
        return owner && next && owner->sameIncarnation(*next);
    }
    /// \brief Whether the keys go to another incarnation of their owner; the two can't hold them at
    /// the same time.
    [[nodiscard]] bool toRestartedOwner() const noexcept
    {
        return owner && next && owner->target == next->target && !refencing();
    }
    [[nodiscard]] friend bool operator==(const ShardRange &, const ShardRange &) = default;
};

/// \brief All ranges of a service, in order and without gaps.
struct ShardMap
{
    std::string service;
    std::string placer; ///< Instance that wrote it, with its start: "name/start".
    std::uint64_t term = 0; ///< Increases with each placer.
    std::uint64_t write = 0; ///< Increases with each write; identifies the write in an object.
    std::uint64_t lastFence = 0; ///< Largest fencing token in use.
    std::vector<ShardRange> ranges;

    /// \brief The range of a key, or null if the map is empty.
    [[nodiscard]] const ShardRange *find(std::uint32_t key) const noexcept;
};

/// \brief Largest term before those of an era of the store. Each record of an era has a higher one.
[[nodiscard]] constexpr std::uint64_t termFloor(std::uint64_t era) noexcept
{
    constexpr unsigned termBits = 20;
    return era << termBits;
}
/// \brief Largest fencing token before those of an era of the store; tokens that a lost record gave
/// out are below. Tokens stay whole numbers in JSON (below 2^53) for 8191 eras.
[[nodiscard]] constexpr std::uint64_t fenceFloor(std::uint64_t era) noexcept
{
    constexpr unsigned fenceBits = 40;
    return era << fenceBits;
}
/// \brief Whether the first record is older than the second, whatever revisions they were read at.
[[nodiscard]] bool isOlder(const ShardMap &first, const ShardMap &second) noexcept;
/// \brief Whether the ranges are in order and cover all keys without gaps.
[[nodiscard]] bool coverAllKeys(const std::vector<ShardRange> &ranges) noexcept;
/// \brief Converts a range to JSON.
[[nodiscard]] nlohmann::json rangeJson(const ShardRange &range);
/// \brief Reads a range; throws nlohmann::json::exception if it is malformed.
[[nodiscard]] ShardRange rangeOf(const nlohmann::json &value);
/// \brief Writes the map as JSON text.
[[nodiscard]] std::string encodeShardMap(const ShardMap &map);
/// \brief Reads a map.
/// \returns The map, or ParseFailed or SchemaViolation if the ranges have gaps or overlap.
[[nodiscard]] Result<ShardMap> decodeShardMap(std::string_view text);

} // namespace yuccaspan::gateway

/// \file
/// \brief The changes of one shard map write, small enough for a datagram.
#pragma once

#include "gateway/shard_map.hpp"
#include "gateway/store_revision.hpp"
#include "gateway/target_directory.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace yuccaspan::gateway {

/// \brief The ranges that one write of a shard map changed.
///
/// The placer sends it to its peers so that they need not call the store for every write.
struct ShardDelta
{
    std::string service;
    std::string placer;
    std::uint64_t term = 0;
    std::uint64_t before = 0; ///< Write that the delta applies to.
    std::uint64_t write = 0; ///< Write that it results in.
    StoreRevision revision; ///< Of the resulting write.
    std::vector<ShardRange> changed; ///< In order.
    std::vector<TargetEntry> targets; ///< New targets among the owners.
};

/// \brief Computes the changes between two successive maps of the same service.
[[nodiscard]] ShardDelta shardDelta(const ShardMap &before, const ShardMap &after,
                                    StoreRevision revision);
/// \brief Applies a delta.
/// \returns The resulting map, or nothing if the delta is based on another one.
[[nodiscard]] std::optional<ShardMap> applyDelta(const ShardMap &map, const ShardDelta &delta);

/// \brief Adds the entries of owners that peers may not have read from the store yet.
void addNewTargets(ShardDelta &delta, const TargetDirectory &directory, TimePoint now);

/// \brief Writes a delta as CBOR.
[[nodiscard]] std::vector<std::uint8_t> encodeShardDelta(const ShardDelta &delta);
/// \brief Reads a delta.
[[nodiscard]] Result<ShardDelta> decodeShardDelta(const std::vector<std::uint8_t> &bytes);

} // namespace yuccaspan::gateway

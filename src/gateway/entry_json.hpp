/// \file
/// \brief JSON form of target entries in messages between instances.
#pragma once

#include "gateway/target_directory.hpp"

#include <nlohmann/json_fwd.hpp>

namespace yuccaspan::gateway {

/// \brief The entry of a target, with the remaining warm-up time as of now.
[[nodiscard]] TargetEntry currentEntry(const Target &target, TimePoint now);
/// \brief Writes an entry.
[[nodiscard]] nlohmann::json encodeEntry(const TargetEntry &entry);
/// \brief Reads an entry; throws nlohmann::json::exception if it is malformed.
[[nodiscard]] TargetEntry decodeEntry(const nlohmann::json &value);

} // namespace yuccaspan::gateway

/// \file
/// \brief Entries of targets as instances tell them to each other.
#pragma once

#include "gateway/target_directory.hpp"

#include <nlohmann/json_fwd.hpp>

namespace yuccaspan::gateway {

/// \brief The entry of a target, with what is left of its cold span now.
[[nodiscard]] TargetEntry entryNow(const Target &target, TimePoint now);
/// \brief Writes an entry.
[[nodiscard]] nlohmann::json entryJson(const TargetEntry &entry);
/// \brief Reads an entry; throws nlohmann::json::exception where it is malformed.
[[nodiscard]] TargetEntry entryOf(const nlohmann::json &value);

} // namespace yuccaspan::gateway

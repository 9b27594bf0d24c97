/// \file
/// \brief Store objects in messages between instances.
#pragma once

#include "gateway/platform.hpp"

#include <nlohmann/json.hpp>

namespace yuccaspan::gateway {

/// \brief Writes an object. What lies too deep in it is left out: others may have written it.
[[nodiscard]] nlohmann::json storedObjectJson(const StoredObject &object);
/// \brief Reads an object; throws an exception of the JSON library if it is malformed.
[[nodiscard]] StoredObject storedObjectOf(const nlohmann::json &value);
/// \brief Writes changes of a kind, or a list of it, with the revision up to which all are there.
[[nodiscard]] nlohmann::json storedObjectsJson(const StoredObjects &objects);
/// \brief Reads what storedObjectsJson() wrote; throws an exception of the JSON library if it is
/// malformed.
[[nodiscard]] StoredObjects storedObjectsOf(const nlohmann::json &value);

} // namespace yuccaspan::gateway

/// \file
/// \brief Decodes HTTP responses of the store.
#pragma once

#include "store/http_connection.hpp"
#include "yuccaspan/store.hpp"

namespace yuccaspan::impl {

/// \brief Longest value that the store accepts.
inline constexpr std::size_t maxValueBytes = 1000000;

/// \name Results of calls
/// @{
/// \brief Result of reading an object.
[[nodiscard]] Result<StoreObject> readObject(const std::string &path, const HttpResult &result);
/// \brief Result of a conditional update.
[[nodiscard]] Result<ObjectVersion> readPutResult(const HttpResult &result);
/// \brief Result of a watch.
[[nodiscard]] Result<StoreChanges> readChanges(const HttpResult &result);
/// \brief Result of reading the list of instances.
[[nodiscard]] Result<std::vector<ListedInstance>> readInstances(const HttpResult &result);
/// @}

} // namespace yuccaspan::impl

/// \file
/// \brief Checks a document against the JSON Schema of the settings.
#pragma once

#include "settings/json_reader.hpp"

namespace yuccaspan::impl {

/// \brief Checks a document.
/// \param document The merged document.
/// \returns One error for each value that does not match; places hold pointers only.
[[nodiscard]] std::vector<Error> checkSchema(const Json &document);

} // namespace yuccaspan::impl

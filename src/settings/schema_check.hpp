/// \file
/// \brief Validates a document against the JSON Schema of the settings.
#pragma once

#include "settings/json_reader.hpp"

namespace yuccaspan::impl {

/// \brief Validates a document.
/// \param document The merged document.
/// \returns The errors of all invalid values. Their locations contain only JSON pointers.
[[nodiscard]] std::vector<Error> checkSchema(const Json &document);

} // namespace yuccaspan::impl

/// \file
/// \brief Validation rules that a JSON Schema cannot express.
#pragma once

#include "settings/json_reader.hpp"
#include "yuccaspan/settings.hpp"

namespace yuccaspan::impl {

/// \brief Validates settings against all rules.
/// \param settings The settings read from the document.
/// \param document The document, for the names of request rules.
/// \returns All errors. Their locations contain only JSON pointers.
[[nodiscard]] std::vector<Error> checkRules(const Settings &settings, const Json &document);

} // namespace yuccaspan::impl

/// \file
/// \brief Rules on settings that a schema cannot express.
#pragma once

#include "settings/json_reader.hpp"
#include "yuccaspan/settings.hpp"

namespace yuccaspan::impl {

/// \brief Checks settings by all rules.
/// \param settings The settings, as read from the document.
/// \param document The document, for the names of request rules.
/// \returns All errors; places hold pointers only.
[[nodiscard]] std::vector<Error> checkRules(const Settings &settings, const Json &document);

} // namespace yuccaspan::impl

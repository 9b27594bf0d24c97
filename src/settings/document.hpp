/// \file
/// \brief Converts between settings documents and Settings, driven by tables of fields.
#pragma once

#include "settings/json_reader.hpp"
#include "yuccaspan/settings.hpp"

namespace yuccaspan::impl {

/// \brief Reads a document. Values that are absent or of the wrong type keep their defaults, so
/// that the rules can also check a document that does not match the schema.
[[nodiscard]] Settings settingsFromJson(const Json &document);

/// \brief Writes a document with every field. Rules are named by their position.
[[nodiscard]] Json settingsToJson(const Settings &settings);

} // namespace yuccaspan::impl

/// \file
/// \brief Reads, merges, validates and writes settings as JSON.
///
/// Operators keep settings in a folder of JSON files, which are merged in the order of their names
/// as JSON Merge Patches (RFC 7396). The merged document is checked against a JSON Schema and then
/// by rules that a schema cannot express. docs/SETTINGS.md describes every key.
#pragma once

#include "yuccaspan/result.hpp"
#include "yuccaspan/settings.hpp"

#include <filesystem>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace yuccaspan {

/// \brief Path of the object in the store that holds the settings in force.
inline constexpr std::string_view settingsObjectPath = "settings";

/// \brief One file of a settings folder.
struct SettingsFile
{
    std::string name; ///< File name without its folder.
    std::string text; ///< Content of the file.
};

/// \brief Valid settings and the merged document from which they were read.
struct LoadedSettings
{
    Settings settings; ///< The settings; their version is 0.
    std::string document; ///< The merged document, with sorted keys.
};

/// \brief Valid settings, or all errors found.
using SettingsResult = std::variant<LoadedSettings, std::vector<Error>>;

/// \name Folders of settings
/// @{
/// \brief Merges files in the order of their names and checks the result.
/// \param files The files, in any order.
/// \returns The settings, or all errors. Each error names the file that last set the value.
[[nodiscard]] SettingsResult mergeSettings(std::vector<SettingsFile> files);

/// \brief Reads the files `*.json` of a folder, merges them and checks the result.
/// \param folder The folder.
/// \returns The settings, or all errors.
[[nodiscard]] SettingsResult readSettingsFolder(const std::filesystem::path &folder);
/// @}

/// \name The merged document
/// @{
/// \brief Checks a merged document.
/// \param document The document, as found in the store.
/// \returns The settings, or all errors.
[[nodiscard]] SettingsResult checkSettings(std::string_view document);

/// \brief Reads a merged document.
/// \param mergedJson The document, as found in the store.
/// \returns The settings with version 0, or the first error.
[[nodiscard]] Result<Settings> parseSettings(std::string_view mergedJson);

/// \brief Writes settings as a merged document. Rules are named by their position.
/// \param settings The settings; their version is not written.
/// \returns The document, with sorted keys.
[[nodiscard]] std::string writeSettings(const Settings &settings);

/// \brief The JSON Schema (draft-07) of the merged document.
[[nodiscard]] std::string_view settingsSchema() noexcept;
/// @}

} // namespace yuccaspan

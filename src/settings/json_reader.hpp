/// \file
/// \brief Parses JSON and records the source location of each value.
#pragma once

#include "yuccaspan/error.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaspan::impl {

using Json = nlohmann::json;

/// \brief Maximum nesting depth of a document.
inline constexpr std::size_t maxJsonDepth = 32;
/// \brief Maximum length of a string in a document, in bytes.
inline constexpr std::size_t maxJsonStringBytes = 4096;
/// \brief Maximum size of a document, in bytes. The store accepts values up to this size.
inline constexpr std::size_t maxDocumentBytes = 1000000;

/// \brief Source locations of values by JSON pointer.
using PlaceMap = std::map<std::string, SourcePlace>;

/// \brief A document with the source locations of its values, or errors.
struct ParsedJson
{
    Json value; ///< The document; null if there are errors.
    PlaceMap places; ///< Location of the root and of each object member.
    std::vector<Error> errors; ///< All errors in the text.
};

/// \brief Parses a document. Duplicate keys are errors.
/// \param file File name for the source locations; may be empty.
/// \param text The text.
[[nodiscard]] ParsedJson parseJson(const std::string &file, std::string_view text);

/// \brief Appends a key to a JSON pointer and escapes it.
[[nodiscard]] std::string childPointer(const std::string &parent, std::string_view key);

} // namespace yuccaspan::impl

/// \file
/// \brief Reads JSON and remembers where each value stands.
#pragma once

#include "yuccaspan/error.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaspan::impl {

using Json = nlohmann::json;

/// \brief Deepest nesting of a document.
inline constexpr std::size_t maxJsonDepth = 32;
/// \brief Longest string of a document, in bytes.
inline constexpr std::size_t maxJsonStringBytes = 4096;
/// \brief Longest document, in bytes; the store holds up to a megabyte.
inline constexpr std::size_t maxDocumentBytes = 1000000;

/// \brief Places of values by JSON pointer.
using PlaceMap = std::map<std::string, SourcePlace>;

/// \brief A document with the places of its values, or errors.
struct ParsedJson
{
    Json value; ///< The document; null if there are errors.
    PlaceMap places; ///< Place of each member of an object, and of the root.
    std::vector<Error> errors; ///< Everything that is wrong with the text.
};

/// \brief Reads a document. Duplicate keys are errors.
/// \param file File name for the places; may be empty.
/// \param text The text.
[[nodiscard]] ParsedJson parseJson(const std::string &file, std::string_view text);

/// \brief A JSON pointer one step longer.
[[nodiscard]] std::string childPointer(const std::string &parent, std::string_view key);

} // namespace yuccaspan::impl

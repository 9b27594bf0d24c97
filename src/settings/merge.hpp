/// \file
/// \brief Merges documents by RFC 7396 and remembers which file set each value last.
#pragma once

#include "settings/json_reader.hpp"

namespace yuccaspan::impl {

/// \brief A document under construction.
struct MergedJson
{
    Json value = Json::object(); ///< The merged document.
    PlaceMap places; ///< Where each member was set last.
};

/// \brief Applies a patch.
/// \param merged The document so far.
/// \param patch The next document, which must be an object.
void applyPatch(MergedJson &merged, const ParsedJson &patch);

/// \brief The place of a value, or of the nearest value around it that has a place.
/// \param places Known places.
/// \param pointer JSON pointer of the value.
/// \returns The place, with `pointer` as its pointer.
[[nodiscard]] SourcePlace placeOfPointer(const PlaceMap &places, const std::string &pointer);

} // namespace yuccaspan::impl

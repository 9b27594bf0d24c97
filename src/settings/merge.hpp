/// \file
/// \brief Merges documents by RFC 7396 and records which file last set each value.
#pragma once

#include "settings/json_reader.hpp"

namespace yuccaspan::impl {

/// \brief A partially merged document.
struct MergedJson
{
    Json value = Json::object(); ///< The merged document.
    PlaceMap places; ///< Location at which each member was last set.
};

/// \brief Applies a merge patch.
/// \param merged The document so far.
/// \param patch The next document, which must be an object.
void applyPatch(MergedJson &merged, const ParsedJson &patch);

/// \brief The location of a value, or of its nearest ancestor with a known location.
/// \param places Known locations.
/// \param pointer JSON pointer of the value.
/// \returns The location, with `pointer` as its pointer.
[[nodiscard]] SourcePlace placeOfPointer(const PlaceMap &places, const std::string &pointer);

} // namespace yuccaspan::impl

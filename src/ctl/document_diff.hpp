/// \file
/// \brief Differences between two settings documents.
#pragma once

#include "settings/json_reader.hpp"

namespace yuccaspan::impl {

/// \brief One difference.
struct DocumentChange
{
    std::string pointer; ///< JSON pointer.
    Json before; ///< Null if the member is added.
    Json after; ///< Null if the member is removed.
};

/// \brief Lists the differences; objects are compared member by member.
[[nodiscard]] std::vector<DocumentChange> diffDocuments(const Json &before, const Json &after);

/// \brief Copies the operational fields `out`, `stopped` and `drain` from the stored document
/// where the folder does not set them, so that applying a folder does not undo `zone out` or
/// `drain`.
/// \param folder Document of the folder.
/// \param stored Document in the store, or null.
[[nodiscard]] Json keepOperationalFields(Json folder, const Json &stored);

} // namespace yuccaspan::impl

/// \file
/// \brief Publishes settings by conditional update, so that racing operators cannot overwrite each
/// other unseen.
#pragma once

#include "ctl/store_session.hpp"
#include "settings/json_reader.hpp"

#include <functional>

namespace yuccaspan::impl {

/// \brief The settings document that is in the store.
struct StoredSettings
{
    ObjectVersion version; ///< Its version; 0 if there is none.
    Json document; ///< The document; null if there is none.
};

/// \brief Reads the settings from the store.
/// \returns The settings; ParseFailed or UnsupportedSchema if the value is not ours.
[[nodiscard]] Result<StoredSettings> readStored(StoreSession &store);

/// \brief Reads the settings and waits for a lagging read to reach a version.
/// \param store The store.
/// \param expected Version that the operator saw.
/// \returns The settings at that version, or Conflict if there is a later one.
[[nodiscard]] Result<StoredSettings> readStoredAt(StoreSession &store, ObjectVersion expected);

/// \brief Writes a document if the version is as expected. After an answer that was lost, finds out
/// what happened before it returns.
/// \returns The version of the document; Conflict if another one is in the store; UnknownResult if
/// the store did not answer to the end; Unavailable if nothing was written.
[[nodiscard]] Result<ObjectVersion> publish(StoreSession &store, ObjectVersion expected,
                                            const Json &document);

/// \brief A change of the stored document by one operator's command.
struct SettingsEdit
{
    std::string pointer; ///< JSON pointer of the member that the change is about.
    Json patch; ///< Merge patch for that member.
};

/// \brief How an edit ended.
struct EditResult
{
    ObjectVersion version; ///< Version with the change.
    bool changed = false; ///< Whether the document had to be changed.
};

/// \brief Applies an edit. When another operator was faster, tries again, unless the other one
/// changed the same member.
/// \returns The result; NotFound if there is no such member; Conflict; as publish() besides.
[[nodiscard]] Result<EditResult> editStored(StoreSession &store, const SettingsEdit &edit);

} // namespace yuccaspan::impl

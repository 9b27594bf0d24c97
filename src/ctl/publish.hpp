/// \file
/// \brief Publishes settings by conditional update, so that concurrent operators cannot silently
/// overwrite each other's changes.
#pragma once

#include "ctl/store_session.hpp"
#include "settings/json_reader.hpp"

#include <functional>

namespace yuccaspan::impl {

/// \brief The settings document in the store.
struct StoredSettings
{
    ObjectVersion version; ///< Its version; 0 if there is none.
    Json document; ///< The document; null if there is none.
};

/// \brief Reads the settings from the store.
/// \returns The settings; ParseFailed or UnsupportedSchema if the value is not a settings document
/// of this schema version.
[[nodiscard]] Result<StoredSettings> readStored(StoreSession &store);

/// \brief Reads the settings, retrying while stale reads return an earlier version than expected.
/// \param store The store.
/// \param expected Version that the operator expects.
/// \returns The settings at that version, or Conflict if there is a later one.
[[nodiscard]] Result<StoredSettings> readStoredAt(StoreSession &store, ObjectVersion expected);

/// \brief Writes a document if the version is as expected. If an answer is lost, determines whether
/// the write took effect before returning.
/// \returns The version of the document; Conflict if another one is in the store; UnknownResult if
/// the outcome of the write could not be determined; Unavailable if nothing was written.
[[nodiscard]] Result<ObjectVersion> publish(StoreSession &store, ObjectVersion expected,
                                            const Json &document);

/// \brief A change to the stored document made by an operator's command.
struct SettingsEdit
{
    std::string pointer; ///< JSON pointer of the member to change.
    Json patch; ///< Merge patch for that member.
};

/// \brief Result of an edit.
struct EditResult
{
    ObjectVersion version; ///< Version with the change.
    bool changed = false; ///< Whether the document had to be changed.
};

/// \brief Applies an edit. Retries after a conflict with another operator, unless that operator
/// changed the same member.
/// \returns The result; NotFound if there is no such member; Conflict; otherwise as publish().
[[nodiscard]] Result<EditResult> editStored(StoreSession &store, const SettingsEdit &edit);

} // namespace yuccaspan::impl

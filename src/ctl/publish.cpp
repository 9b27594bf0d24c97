#include "ctl/publish.hpp"

#include "yuccaspan/backoff.hpp"
#include "yuccaspan/settings_io.hpp"

#include <optional>
#include <random>

namespace yuccaspan::impl {

namespace {

constexpr int maxAttempts = 8;
constexpr Duration initialDelay = std::chrono::milliseconds(100);
constexpr Duration maxDelay = std::chrono::seconds(2);

Backoff makeBackoff()
{
    return {initialDelay, maxDelay, std::random_device()()};
}

std::string versionText(ObjectVersion version)
{
    return "version " + std::to_string(version.value);
}

Error conflictWith(ObjectVersion present, ObjectVersion expected)
{
    return {ErrorCode::Conflict,
            "the store holds " + versionText(present) + ", not " + versionText(expected)
                + "; nothing was changed by this command",
            {}};
}

/// Retries until a read returns a later version than the given one, since reads may be stale.
Result<StoredSettings> readLaterThan(StoreSession &store, ObjectVersion version)
{
    Backoff backoff = makeBackoff();
    Result<StoredSettings> stored = readStored(store);
    for (int attempt = 1; attempt < maxAttempts; ++attempt) {
        if (stored && stored->version > version)
            break;
        store.sleep(backoff.failed());
        stored = readStored(store);
    }
    return stored;
}

/// Determines which document the store holds after a conditional update failed with a conflict.
Result<ObjectVersion> resolveConflict(StoreSession &store, ObjectVersion expected,
                                      const Json &document, bool maybeWritten)
{
    if (!maybeWritten) {
        const Result<StoredSettings> stored = readLaterThan(store, expected);
        return conflictWith(stored ? stored->version : ObjectVersion{}, expected);
    }
    const Result<StoredSettings> stored = readLaterThan(store, expected);
    if (!stored || stored->version <= expected)
        return Error{ErrorCode::UnknownResult,
                     "the store's answer was lost and the current settings cannot be read",
                     {}};
    if (stored->document == document)
        return stored->version;
    return Error{ErrorCode::Conflict,
                 "the store holds " + versionText(stored->version)
                     + " of another operator; an answer was lost, so this command's settings may "
                       "have been in force before that version",
                 {}};
}

/// Applies an edit to a document and validates the result.
Result<Json> applyEdit(const StoredSettings &stored, const SettingsEdit &edit)
{
    const Json::json_pointer pointer(edit.pointer);
    if (!stored.document.contains(pointer))
        return Error{ErrorCode::NotFound,
                     "no member " + edit.pointer + " in settings " + versionText(stored.version),
                     {}};
    Json changed = stored.document;
    changed[pointer].merge_patch(edit.patch);
    const SettingsResult checked = checkSettings(changed.dump());
    if (const auto *errors = std::get_if<std::vector<Error>>(&checked))
        return errors->front();
    return changed;
}

Error memberConflict(const SettingsEdit &edit)
{
    return {ErrorCode::Conflict,
            "another operator has changed " + edit.pointer
                + "; nothing was changed by this command",
            {}};
}

} // namespace

Result<StoredSettings> readStored(StoreSession &store)
{
    const Result<StoreObject> object = store.read(std::string(settingsObjectPath));
    if (!object)
        return object.error();
    if (object->version.value == 0)
        return StoredSettings{};
    ParsedJson parsed = parseJson("settings in the store", object->value);
    if (!parsed.errors.empty())
        return parsed.errors.front();
    const auto schema = parsed.value.find("schema");
    if (!parsed.value.is_object() || schema == parsed.value.end()
        || *schema != settingsSchemaVersion)
        return Error{ErrorCode::UnsupportedSchema,
                     "expected schema 1; another program wrote the settings",
                     {"settings in the store", "/schema", 0, 0}};
    return StoredSettings{object->version, std::move(parsed.value)};
}

Result<StoredSettings> readStoredAt(StoreSession &store, ObjectVersion expected)
{
    Backoff backoff = makeBackoff();
    Result<StoredSettings> stored = readStored(store);
    for (int attempt = 1; attempt < maxAttempts; ++attempt) {
        if (!stored || stored->version >= expected)
            break;
        store.sleep(backoff.failed());
        stored = readStored(store);
    }
    if (stored && stored->version != expected)
        return conflictWith(stored->version, expected);
    return stored;
}

Result<ObjectVersion> publish(StoreSession &store, ObjectVersion expected, const Json &document)
{
    const std::string path(settingsObjectPath);
    const std::string value = document.dump();
    Backoff backoff = makeBackoff();
    bool maybeWritten = false;
    Result<ObjectVersion> written = store.write(path, expected, value);
    for (int attempt = 1; attempt < maxAttempts; ++attempt) {
        if (written)
            return written;
        if (written.error().code == ErrorCode::Conflict)
            return resolveConflict(store, expected, document, maybeWritten);
        maybeWritten = maybeWritten || written.error().code == ErrorCode::UnknownResult;
        if (!maybeWritten)
            return written;
        // Retrying is safe: at most one of the identical conditional updates can take effect.
        store.sleep(backoff.failed());
        written = store.write(path, expected, value);
    }
    if (written)
        return written;
    return Error{ErrorCode::UnknownResult,
                 "it is unknown whether the store wrote the settings: " + written.error().text,
                 {}};
}

Result<EditResult> editStored(StoreSession &store, const SettingsEdit &edit)
{
    const Json::json_pointer pointer(edit.pointer);
    Result<StoredSettings> stored = readStored(store);
    std::optional<Json> memberBefore;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        if (!stored)
            return stored.error();
        const Result<Json> changed = applyEdit(*stored, edit);
        if (!changed)
            return changed.error();
        if (*changed == stored->document)
            return EditResult{stored->version, false};
        const Json member = stored->document.at(pointer);
        if (memberBefore && member != *memberBefore)
            return memberConflict(edit);
        memberBefore = member;
        const Result<ObjectVersion> version = publish(store, stored->version, *changed);
        if (version)
            return EditResult{*version, true};
        if (version.error().code != ErrorCode::Conflict)
            return version.error();
        stored = readLaterThan(store, stored->version);
    }
    return Error{ErrorCode::Conflict,
                 "too many conflicts with other operators' changes to the settings",
                 {}};
}

} // namespace yuccaspan::impl

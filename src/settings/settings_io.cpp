#include "yuccaspan/settings_io.hpp"

#include "settings/document.hpp"
#include "settings/merge.hpp"
#include "settings/rules.hpp"
#include "settings/schema_check.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace yuccaspan {

namespace impl {

namespace {

/// Returns an error if the document uses a newer schema version.
std::vector<Error> checkSchemaVersion(const Json &document)
{
    const auto schema = document.find("schema");
    const bool isNewer = schema != document.end() && schema->is_number_integer()
        && schema->is_number_unsigned() && schema->get<std::uint64_t>() > settingsSchemaVersion;
    if (!isNewer)
        return {};
    return {{ErrorCode::UnsupportedSchema,
             "schema " + schema->dump() + " is newer than this program supports: expected 1",
             {"", "/schema", 0, 0}}};
}

/// Whether an error is located at or below the value of another error.
bool isInside(const Error &inner, const Error &outer)
{
    const std::string &pointer = outer.place.pointer;
    if (!inner.place.pointer.starts_with(pointer))
        return false;
    return inner.place.pointer.size() == pointer.size()
        || inner.place.pointer[pointer.size()] == '/';
}

/// Adds errors that are not caused by those already found.
void addIndependent(std::vector<Error> &errors, std::vector<Error> more)
{
    const std::vector<Error> known = errors;
    for (Error &error : more) {
        const bool isConsequence = std::ranges::any_of(known, [&](const Error &outer) {
            return !outer.place.pointer.empty() && isInside(error, outer);
        });
        if (!isConsequence)
            errors.push_back(std::move(error));
    }
}

/// Validates a merged document and adds source locations to the errors.
SettingsResult checkMerged(const MergedJson &merged)
{
    std::vector<Error> errors = checkSchemaVersion(merged.value);
    Settings settings;
    if (errors.empty()) {
        errors = checkSchema(merged.value);
        settings = settingsFromJson(merged.value);
        addIndependent(errors, checkRules(settings, merged.value));
    }
    if (errors.empty())
        return LoadedSettings{std::move(settings), merged.value.dump()};
    for (Error &error : errors)
        error.place = placeOfPointer(merged.places, error.place.pointer);
    return errors;
}

/// Reads a whole file.
Result<SettingsFile> readFile(const std::filesystem::path &path)
{
    std::ifstream stream(path, std::ios::binary);
    SettingsFile file{path.filename().string(), {}};
    if (stream)
        file.text.assign(std::istreambuf_iterator<char>(stream), {});
    if (!stream || stream.bad())
        return Error{ErrorCode::NotFound, "cannot read the file", {file.name, "", 0, 0}};
    return file;
}

/// Whether a folder's entry is a settings file.
bool isSettingsFile(const std::filesystem::directory_entry &entry)
{
    std::error_code failure;
    const bool isHidden = entry.path().filename().string().starts_with('.');
    return entry.is_regular_file(failure) && entry.path().extension() == ".json" && !isHidden;
}

} // namespace

} // namespace impl

SettingsResult mergeSettings(std::vector<SettingsFile> files)
{
    std::ranges::sort(files, {}, &SettingsFile::name);
    impl::MergedJson merged;
    std::vector<Error> errors;
    for (const SettingsFile &file : files) {
        impl::ParsedJson parsed = impl::parseJson(file.name, file.text);
        if (parsed.errors.empty() && !parsed.value.is_object())
            parsed.errors.push_back({ErrorCode::SchemaViolation,
                                     "expected a JSON object as the document's root",
                                     {file.name, "", 1, 1}});
        errors.insert(errors.end(), parsed.errors.begin(), parsed.errors.end());
        if (parsed.errors.empty())
            impl::applyPatch(merged, parsed);
    }
    if (!errors.empty())
        return errors;
    return impl::checkMerged(merged);
}

SettingsResult readSettingsFolder(const std::filesystem::path &folder)
{
    std::vector<SettingsFile> files;
    std::vector<Error> errors;
    std::error_code failure;
    for (const auto &entry : std::filesystem::directory_iterator(folder, failure)) {
        if (!impl::isSettingsFile(entry))
            continue;
        Result<SettingsFile> file = impl::readFile(entry.path());
        if (file)
            files.push_back(std::move(*file));
        else
            errors.push_back(file.error());
    }
    if (failure)
        return std::vector<Error>{
            {ErrorCode::NotFound, failure.message(), {folder.string(), "", 0, 0}}};
    if (!errors.empty())
        return errors;
    if (files.empty())
        return std::vector<Error>{{ErrorCode::NotFound,
                                   "the folder contains no *.json files",
                                   {folder.string(), "", 0, 0}}};
    return mergeSettings(std::move(files));
}

SettingsResult checkSettings(std::string_view document)
{
    return mergeSettings({{"", std::string(document)}});
}

Result<Settings> parseSettings(std::string_view mergedJson)
{
    SettingsResult checked = checkSettings(mergedJson);
    if (auto *loaded = std::get_if<LoadedSettings>(&checked))
        return std::move(loaded->settings);
    return std::get<std::vector<Error>>(checked).front();
}

std::string writeSettings(const Settings &settings)
{
    return impl::settingsToJson(settings).dump();
}

} // namespace yuccaspan

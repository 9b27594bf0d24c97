#include "placement/directory.hpp"

#include "placement/record_json.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>

namespace yuccaspan::impl {

namespace {

constexpr std::uint64_t directorySchema = 1;
constexpr std::string_view pathPrefix = "placement/";
constexpr std::string_view directoryName = "directory";

std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> parts;
    if (!path.starts_with(pathPrefix))
        return parts;
    path.remove_prefix(pathPrefix.size());
    for (;;) {
        const std::size_t slash = path.find('/');
        parts.emplace_back(path.substr(0, slash));
        if (slash == std::string_view::npos)
            return parts;
        path.remove_prefix(slash + 1);
    }
}

bool coversKeySpace(const Directory &directory)
{
    KeyHash next = 0;
    for (const DirectoryEntry &entry : directory.cells) {
        const bool isFirst = &entry == &directory.cells.front();
        if (entry.range.first != next || (!isFirst && next == 0))
            return false;
        next = entry.range.last + 1;
    }
    return !directory.cells.empty() && next == 0;
}

} // namespace

std::string directoryPath(const ServiceName &service)
{
    return std::string(pathPrefix) + service.text() + "/" + std::string(directoryName);
}

std::optional<ServiceName> directoryOfPath(std::string_view path)
{
    const auto parts = splitPath(path);
    if (parts.size() != 2 || parts[1] != directoryName)
        return std::nullopt;
    return ServiceName(parts[0]);
}

std::optional<CellId> cellOfPath(std::string_view path)
{
    const auto parts = splitPath(path);
    constexpr std::size_t partCount = 3;
    if (parts.size() != partCount || parts[2].empty())
        return std::nullopt;
    std::uint32_t index = 0;
    const char *end = parts[2].data() + parts[2].size();
    const auto parsed = std::from_chars(parts[2].data(), end, index);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return CellId{ServiceName(parts[0]), ZoneId(parts[1]), index};
}

Directory planDirectory(const ServiceSettings &service, const std::vector<ZoneSettings> &zones)
{
    Directory directory{service.name, {}};
    const std::uint64_t count = zones.size() * std::max<std::uint64_t>(service.cellsPerZone, 1);
    if (count == 0)
        return directory;
    const KeyHash width = std::numeric_limits<KeyHash>::max() / count;
    KeyHash first = 0;
    for (const ZoneSettings &zone : zones) {
        for (std::uint32_t index = 0; index < std::max(service.cellsPerZone, 1U); ++index) {
            const bool isLast = directory.cells.size() + 1 == count;
            const KeyHash last = isLast ? std::numeric_limits<KeyHash>::max() : first + (width - 1);
            directory.cells.push_back({{service.name, zone.id, index}, {first, last}});
            first = last + 1;
        }
    }
    return directory;
}

std::string encodeDirectory(const Directory &directory)
{
    nlohmann::json json{{"schema", directorySchema},
                        {"service", directory.service.text()},
                        {"cells", nlohmann::json::array()}};
    for (const DirectoryEntry &entry : directory.cells) {
        nlohmann::json cell = cellIdToJson(entry.cell);
        cell["first"] = keyHashText(entry.range.first);
        cell["last"] = keyHashText(entry.range.last);
        json["cells"].push_back(std::move(cell));
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<Directory> decodeDirectory(std::string_view text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded())
        return Error{ErrorCode::ParseFailed, "the directory is not valid JSON", {}};
    std::uint64_t schema = 0;
    std::string service;
    if (!json.is_object() || !readNumber(json, "schema", schema)
        || !readText(json, "service", service) || !json.contains("cells")
        || !json["cells"].is_array())
        return Error{ErrorCode::SchemaViolation, "a field of the directory is invalid", {}};
    if (schema > directorySchema)
        return Error{ErrorCode::UnsupportedSchema, "the directory has a newer schema", {}};
    Directory directory{ServiceName(service), {}};
    for (const nlohmann::json &cell : json["cells"]) {
        DirectoryEntry entry;
        if (!cell.is_object() || !readCellId(cell, entry.cell) || !readRange(cell, entry.range)
            || entry.cell.service != directory.service)
            return Error{ErrorCode::SchemaViolation, "a cell of the directory is invalid", {}};
        directory.cells.push_back(std::move(entry));
    }
    if (!coversKeySpace(directory))
        return Error{ErrorCode::SchemaViolation,
                     "the cells of the directory do not cover the key space",
                     {}};
    return directory;
}

} // namespace yuccaspan::impl

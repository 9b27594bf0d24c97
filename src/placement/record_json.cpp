#include "placement/record_json.hpp"

#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>

namespace yuccaspan::impl {

namespace {
constexpr int hexBase = 16;
constexpr std::size_t hexDigits = 16;
} // namespace

bool readText(const nlohmann::json &json, const char *name, std::string &text)
{
    const auto found = json.find(name);
    if (found == json.end() || !found->is_string())
        return false;
    text = found->get<std::string>();
    return true;
}

bool readNumber(const nlohmann::json &json, const char *name, std::uint64_t &number)
{
    const auto found = json.find(name);
    if (found == json.end() || !found->is_number_unsigned())
        return false;
    number = found->get<std::uint64_t>();
    return true;
}

bool readHash(const nlohmann::json &json, const char *name, KeyHash &hash)
{
    std::string text;
    if (!readText(json, name, text) || text.size() != hexDigits)
        return false;
    const auto [end, error] = std::from_chars(text.data(), text.data() + hexDigits, hash, hexBase);
    return error == std::errc() && end == text.data() + hexDigits;
}

bool readRange(const nlohmann::json &json, KeyRange &range)
{
    return readHash(json, "first", range.first) && readHash(json, "last", range.last)
        && range.first <= range.last;
}

bool readCellId(const nlohmann::json &json, CellId &cell)
{
    std::string service;
    std::string zone;
    std::uint64_t index = 0;
    if (!readText(json, "service", service) || !readText(json, "zone", zone)
        || !readNumber(json, "index", index) || index > std::numeric_limits<std::uint32_t>::max())
        return false;
    cell = {ServiceName(service), ZoneId(zone), static_cast<std::uint32_t>(index)};
    return true;
}

nlohmann::json cellIdToJson(const CellId &cell)
{
    return {{"service", cell.service.text()}, {"zone", cell.zone.text()}, {"index", cell.index}};
}

} // namespace yuccaspan::impl

#include "yuccaspan/instance_status.hpp"

#include <nlohmann/json.hpp>

namespace yuccaspan {

std::string instanceStatusPath(const InstanceId &id)
{
    // The path has no start id, so a restarted instance overwrites its previous record.
    const std::string &text = id.text();
    return "status/" + text.substr(0, text.find('#'));
}

std::string encodeInstanceStatus(const InstanceStatusRecord &record)
{
    const nlohmann::json json{{"schema", 1},
                              {"instance", record.id.text()},
                              {"zone", record.zone.text()},
                              {"settingsVersion", record.settingsVersion.value},
                              {"leaving", record.leaving}};
    return json.dump();
}

Result<InstanceStatusRecord> decodeInstanceStatus(std::string_view text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded())
        return Error{ErrorCode::ParseFailed, "the instance status is not valid JSON", {}};
    try {
        InstanceStatusRecord record;
        record.id = InstanceId(json.at("instance").get<std::string>());
        record.zone = ZoneId(json.at("zone").get<std::string>());
        record.settingsVersion = {json.at("settingsVersion").get<std::uint64_t>()};
        record.leaving = json.at("leaving").get<bool>();
        return record;
    } catch (const nlohmann::json::exception &) {
        return Error{
            ErrorCode::SchemaViolation, "the instance status has missing or invalid fields", {}};
    }
}

} // namespace yuccaspan

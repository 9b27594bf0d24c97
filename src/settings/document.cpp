#include "settings/document.hpp"

#include <array>
#include <cmath>
#include <cstdio>
#include <limits>
#include <type_traits>
#include <variant>

namespace yuccaspan::impl {

namespace {

constexpr double microsecondsPerMillisecond = 1000;

/// JSON name and member pointer of a field.
template <typename Record>
struct Field
{
    using Member = std::variant<bool Record::*, std::uint16_t Record::*, std::uint32_t Record::*,
                                std::uint64_t Record::*, double Record::*, std::string Record::*,
                                ZoneId Record::*, RegionId Record::*, Duration Record::*,
                                CutOffPolicy Record::*, KeySource Record::*>;
    const char *name;
    Member member;
};

template <typename Record>
struct Fields;

template <>
struct Fields<ZoneSettings>
{
    static constexpr std::array<Field<ZoneSettings>, 3> table{{
        {"region", &ZoneSettings::region},
        {"out", &ZoneSettings::out},
        {"stopped", &ZoneSettings::stopped},
    }};
};

template <>
struct Fields<TargetSettings>
{
    static constexpr std::array<Field<TargetSettings>, 7> table{{
        {"zone", &TargetSettings::zone},
        {"address", &TargetSettings::address},
        {"port", &TargetSettings::port},
        {"slots", &TargetSettings::slots},
        {"connections", &TargetSettings::connections},
        {"checksGrants", &TargetSettings::checksGrants},
        {"drain", &TargetSettings::drain},
    }};
};

template <>
struct Fields<RequestRule>
{
    static constexpr std::array<Field<RequestRule>, 9> table{{
        {"kind", &RequestRule::kind},
        {"method", &RequestRule::method},
        {"path", &RequestRule::path},
        {"repeatable", &RequestRule::repeatable},
        {"worth", &RequestRule::worth},
        {"deadlineMs", &RequestRule::deadline},
        {"keySource", &RequestRule::keySource},
        {"keyName", &RequestRule::keyName},
        {"keySegment", &RequestRule::keySegment},
    }};
};

template <>
struct Fields<ServiceSettings>
{
    static constexpr std::array<Field<ServiceSettings>, 10> table{{
        {"pathPrefix", &ServiceSettings::pathPrefix},
        {"whenCutOff", &ServiceSettings::whenCutOff},
        {"cellsPerZone", &ServiceSettings::cellsPerZone},
        {"slicesPerTarget", &ServiceSettings::slicesPerTarget},
        {"maxSlicesPerCell", &ServiceSettings::maxSlicesPerCell},
        {"requestLimitBytes", &ServiceSettings::requestLimitBytes},
        {"answerLimitBytes", &ServiceSettings::answerLimitBytes},
        {"queueLimit", &ServiceSettings::queueLimit},
        {"repeatBudget", &ServiceSettings::repeatBudget},
        {"coldAllowance", &ServiceSettings::coldAllowance},
    }};
};

/// \name Reading one value; values of the wrong type are ignored
/// @{
void readValue(const Json &json, bool &value)
{
    if (json.is_boolean())
        value = json.get<bool>();
}

template <std::unsigned_integral Integer>
void readValue(const Json &json, Integer &value)
{
    if (!json.is_number_unsigned())
        return;
    const std::uint64_t number = json.get<std::uint64_t>();
    if (number <= std::numeric_limits<Integer>::max())
        value = static_cast<Integer>(number);
}

void readValue(const Json &json, double &value)
{
    if (json.is_number())
        value = json.get<double>();
}

void readValue(const Json &json, std::string &value)
{
    if (json.is_string())
        value = json.get<std::string>();
}

template <typename Tag>
void readValue(const Json &json, Name<Tag> &value)
{
    if (json.is_string())
        value = Name<Tag>(json.get<std::string>());
}

void readValue(const Json &json, Duration &value)
{
    constexpr double maxMs = 1e9;
    if (!json.is_number() || std::abs(json.get<double>()) > maxMs)
        return;
    value = Duration(std::llround(json.get<double>() * microsecondsPerMillisecond));
}

template <NamedEnum E>
void readValue(const Json &json, E &value)
{
    if (json.is_string())
        value = fromString<E>(json.get<std::string>()).value_or(value);
}
/// @}

/// \name Writing one value
/// @{
template <typename Value>
Json writeValue(const Value &value)
{
    if constexpr (NamedEnum<Value>)
        return std::string(toString(value));
    else
        return value;
}

template <typename Tag>
Json writeValue(const Name<Tag> &value)
{
    return value.text();
}

Json writeValue(const Duration &value)
{
    if (value.count() % 1000 == 0)
        return value.count() / 1000;
    return static_cast<double>(value.count()) / microsecondsPerMillisecond;
}
/// @}

template <typename Record>
void readFields(const Json &json, Record &record)
{
    if (!json.is_object())
        return;
    for (const Field<Record> &field : Fields<Record>::table) {
        const auto found = json.find(field.name);
        if (found == json.end())
            continue;
        std::visit([&](auto member) { readValue(*found, record.*member); }, field.member);
    }
}

template <typename Record>
Json writeFields(const Record &record)
{
    Json json = Json::object();
    for (const Field<Record> &field : Fields<Record>::table)
        json[field.name] =
            std::visit([&](auto member) { return writeValue(record.*member); }, field.member);
    return json;
}

/// Calls a function for each member of an object, ordered by name.
template <typename Function>
void forEachMember(const Json &json, const char *name, Function function)
{
    if (!json.is_object() || !json.contains(name) || !json.at(name).is_object())
        return;
    for (const auto &[key, value] : json.at(name).items())
        function(key, value);
}

ServiceSettings readService(const std::string &name, const Json &json)
{
    ServiceSettings service;
    service.name = ServiceName(name);
    readFields(json, service);
    forEachMember(json, "targets", [&](const std::string &id, const Json &value) {
        TargetSettings &target = service.targets.emplace_back();
        target.id = TargetId(id);
        readFields(value, target);
    });
    forEachMember(json, "rules", [&](const std::string & /*name*/, const Json &value) {
        readFields(value, service.rules.emplace_back());
    });
    return service;
}

Json writeService(const ServiceSettings &service)
{
    Json json = writeFields(service);
    json["targets"] = Json::object();
    for (const TargetSettings &target : service.targets)
        json["targets"][target.id.text()] = writeFields(target);
    json["rules"] = Json::object();
    for (std::size_t index = 0; index < service.rules.size(); ++index) {
        std::array<char, 24> name{};
        std::snprintf(name.data(), name.size(), "%04zu", index);
        json["rules"][name.data()] = writeFields(service.rules[index]);
    }
    return json;
}

} // namespace

Settings settingsFromJson(const Json &document)
{
    Settings settings;
    forEachMember(document, "zones", [&](const std::string &id, const Json &value) {
        ZoneSettings &zone = settings.zones.emplace_back();
        zone.id = ZoneId(id);
        readFields(value, zone);
    });
    forEachMember(document, "services", [&](const std::string &name, const Json &value) {
        settings.services.push_back(readService(name, value));
    });
    return settings;
}

Json settingsToJson(const Settings &settings)
{
    Json document = Json::object();
    document["schema"] = settingsSchemaVersion;
    document["zones"] = Json::object();
    for (const ZoneSettings &zone : settings.zones)
        document["zones"][zone.id.text()] = writeFields(zone);
    document["services"] = Json::object();
    for (const ServiceSettings &service : settings.services)
        document["services"][service.name.text()] = writeService(service);
    return document;
}

} // namespace yuccaspan::impl

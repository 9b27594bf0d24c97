/// \file
/// \brief Reference implementation of merging, reading and rule matching, for differential tests.
#pragma once

#include "yuccaspan/settings_io.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace yuccaspan::naive {

using Json = nlohmann::json;

/// The MergePatch function of RFC 7396, section 2.
inline Json mergePatch(Json target, const Json &patch)
{
    if (!patch.is_object())
        return patch;
    if (!target.is_object())
        target = Json::object();
    for (const auto &[name, value] : patch.items()) {
        if (value.is_null())
            target.erase(name);
        else
            target[name] = mergePatch(target.contains(name) ? target[name] : Json(), value);
    }
    return target;
}

/// Index of the last document that sets a member.
inline std::optional<std::size_t> lastSetter(const std::vector<Json> &documents,
                                             const Json::json_pointer &pointer)
{
    for (std::size_t index = documents.size(); index > 0; --index) {
        const Json &document = documents[index - 1];
        if (document.contains(pointer) && !document[pointer].is_null())
            return index - 1;
    }
    return std::nullopt;
}

inline TargetSettings readTarget(const std::string &name, const Json &json)
{
    TargetSettings target;
    target.id = TargetId(name);
    target.zone = ZoneId(json.at("zone").get<std::string>());
    target.address = json.at("address").get<std::string>();
    target.port = json.at("port").get<std::uint16_t>();
    target.slots = json.at("slots").get<std::uint32_t>();
    target.connections = json.value("connections", 100U);
    target.checksGrants = json.value("checksGrants", true);
    target.drain = json.value("drain", false);
    return target;
}

inline RequestRule readRule(const Json &json)
{
    RequestRule rule;
    rule.kind = json.at("kind").get<std::string>();
    rule.method = json.value("method", "");
    rule.path = json.value("path", "");
    rule.repeatable = json.value("repeatable", false);
    rule.worth = json.value("worth", 1.0);
    rule.deadline = Duration(static_cast<long>(json.value("deadlineMs", 1000.0) * 1000 + 0.5));
    const std::string source = json.at("keySource").get<std::string>();
    rule.keySource = source == "header" ? KeySource::Header
        : source == "query"             ? KeySource::Query
                                        : KeySource::PathSegment;
    rule.keyName = json.value("keyName", "");
    rule.keySegment = json.value("keySegment", 0U);
    return rule;
}

inline ServiceSettings readService(const std::string &name, const Json &json)
{
    ServiceSettings service;
    service.name = ServiceName(name);
    service.pathPrefix = json.at("pathPrefix").get<std::string>();
    service.whenCutOff =
        json.value("whenCutOff", "move") == "hold" ? CutOffPolicy::Hold : CutOffPolicy::Move;
    service.cellsPerZone = json.value("cellsPerZone", 1U);
    service.slicesPerTarget = json.value("slicesPerTarget", 8U);
    service.maxSlicesPerCell = json.value("maxSlicesPerCell", 4096U);
    service.requestLimitBytes = json.value("requestLimitBytes", std::uint64_t{1048576});
    service.answerLimitBytes = json.value("answerLimitBytes", std::uint64_t{4194304});
    service.queueLimit = json.value("queueLimit", 64U);
    service.repeatBudget = json.value("repeatBudget", 0.1);
    service.coldAllowance = json.value("coldAllowance", 0.1);
    for (const auto &[id, target] : json.at("targets").items())
        service.targets.push_back(readTarget(id, target));
    for (const auto &[id, rule] : json.at("rules").items())
        service.rules.push_back(readRule(rule));
    return service;
}

/// Reads a valid document.
inline Settings readSettings(const Json &document)
{
    Settings settings;
    for (const auto &[name, zone] : document.at("zones").items())
        settings.zones.push_back({ZoneId(name), RegionId(zone.at("region").get<std::string>()),
                                  zone.value("out", false), zone.value("stopped", false)});
    for (const auto &[name, service] : document.at("services").items())
        settings.services.push_back(readService(name, service));
    return settings;
}

/// The segments of a path.
inline std::vector<std::string> segments(const std::string &path)
{
    std::vector<std::string> result;
    for (const char character : path) {
        if (character == '/')
            result.emplace_back();
        else
            result.back() += character;
    }
    return result;
}

/// Index of the first matching rule, comparing segment by segment.
inline std::optional<std::size_t> findRule(const ServiceSettings &service,
                                           const std::string &method, const std::string &path)
{
    const std::vector<std::string> pathSegments = segments(path);
    for (std::size_t index = 0; index < service.rules.size(); ++index) {
        const RequestRule &rule = service.rules[index];
        const std::vector<std::string> prefix = segments(rule.path);
        bool matches = prefix.size() <= pathSegments.size();
        for (std::size_t at = 0; matches && at < prefix.size(); ++at)
            matches = prefix[at] == pathSegments[at];
        if (matches && (rule.method.empty() || rule.method == method))
            return index;
    }
    return std::nullopt;
}

} // namespace yuccaspan::naive

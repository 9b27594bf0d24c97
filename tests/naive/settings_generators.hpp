/// \file
/// \brief Generators of random settings and documents.
#pragma once

#include "yuccaspan/settings.hpp"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

namespace yuccaspan {

/// Generates one of the given values.
template <typename T>
T pick(std::initializer_list<T> values)
{
    return *rc::gen::elementOf(std::vector<T>(values));
}

template <typename T>
T between(T low, T high)
{
    return *rc::gen::inRange<T>(low, high + 1);
}

inline RequestRule anyRule(std::size_t index)
{
    RequestRule rule;
    rule.kind = "kind-" + std::to_string(index);
    rule.method = pick<std::string>({"", "GET", "POST"});
    rule.path = "/path-" + std::to_string(index) + pick<std::string>({"", "/x", "/x/y.z~"});
    rule.repeatable = *rc::gen::arbitrary<bool>();
    rule.worth = between(0, 1000) / 8.0;
    rule.deadline = Duration(between<std::int64_t>(1, 600000000));
    rule.keySource = pick({KeySource::Header, KeySource::PathSegment, KeySource::Query});
    rule.keyName = pick<std::string>({"X-Key", "depot_id"});
    rule.keySegment = between(4U, 64U);
    return rule;
}

inline TargetSettings anyTarget(const std::string &name, std::uint16_t port,
                                const Settings &settings)
{
    TargetSettings target;
    target.id = TargetId(name);
    const std::size_t zone = between<std::size_t>(0, settings.zones.size() - 1);
    target.zone = settings.zones[zone].id;
    target.address = pick<std::string>({"127.0.0.1", "::1", "10.9.8.7"});
    target.port = port;
    target.slots = between(1U, 100U);
    target.connections = target.slots + between(0U, 100U);
    target.checksGrants = *rc::gen::arbitrary<bool>();
    target.drain = *rc::gen::arbitrary<bool>();
    return target;
}

inline ServiceSettings anyService(std::size_t index, const Settings &settings)
{
    ServiceSettings service;
    service.name = ServiceName("service-" + std::to_string(index));
    service.pathPrefix = "/prefix-" + std::to_string(index);
    service.whenCutOff = pick({CutOffPolicy::Move, CutOffPolicy::Hold});
    service.cellsPerZone = between(1U, 16U);
    service.slicesPerTarget = between(1U, 256U);
    service.requestLimitBytes = between<std::uint64_t>(0, 1U << 26U);
    service.answerLimitBytes = between<std::uint64_t>(0, 1U << 26U);
    service.queueLimit = between(0U, 65536U);
    service.repeatBudget = between(0, 64) / 64.0;
    service.coldAllowance = between(0, 64) / 64.0;
    const std::size_t targets = between<std::size_t>(1, 4);
    for (std::size_t number = 0; number < targets; ++number) {
        const auto port = static_cast<std::uint16_t>(1000 * (index + 1) + number);
        service.targets.push_back(
            anyTarget("t-" + std::to_string(index) + std::to_string(number), port, settings));
    }
    service.targets.front().drain = false;
    service.targets.front().zone = settings.zones.front().id;
    const std::size_t rules = between<std::size_t>(1, 4);
    for (std::size_t number = 0; number < rules; ++number)
        service.rules.push_back(anyRule(number));
    return service;
}

/// Valid settings; the first zone is not out.
inline Settings anySettings()
{
    Settings settings;
    const std::size_t zones = between<std::size_t>(1, 3);
    for (std::size_t index = 0; index < zones; ++index) {
        const bool out = index > 0 && *rc::gen::arbitrary<bool>();
        settings.zones.push_back({ZoneId("zone-" + std::to_string(index)),
                                  RegionId(pick<std::string>({"north", "south"})), out,
                                  out && *rc::gen::arbitrary<bool>()});
    }
    const std::size_t services = between<std::size_t>(1, 3);
    for (std::size_t index = 0; index < services; ++index)
        settings.services.push_back(anyService(index, settings));
    return settings;
}

/// A random JSON value with few distinct keys, so that documents overlap.
inline nlohmann::json anyJson(int depth)
{
    const int kind = between(0, depth > 0 ? 6 : 3);
    if (kind == 0)
        return nullptr;
    if (kind == 1)
        return between(-2, 2);
    if (kind == 2)
        return pick<std::string>({"", "text", "a/b~c"});
    if (kind == 3)
        return nlohmann::json::array({between(0, 1), nullptr});
    nlohmann::json object = nlohmann::json::object();
    const int members = between(0, 4);
    for (int member = 0; member < members; ++member)
        object[pick<std::string>({"a", "b", "c/d", "e~f"})] = anyJson(depth - 1);
    return object;
}

} // namespace yuccaspan

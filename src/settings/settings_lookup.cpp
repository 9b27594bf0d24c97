#include "yuccaspan/settings.hpp"

#include <algorithm>

namespace yuccaspan {

namespace impl {

/// Whether a path starts with a prefix that ends at a segment boundary.
bool hasPathPrefix(std::string_view path, std::string_view prefix) noexcept
{
    if (!path.starts_with(prefix))
        return false;
    if (prefix.empty())
        return true;
    return path.size() == prefix.size() || path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

} // namespace impl

const RequestRule *ServiceSettings::findRule(std::string_view method,
                                             std::string_view path) const noexcept
{
    const auto found = std::ranges::find_if(rules, [&](const RequestRule &rule) {
        const bool methodMatches = rule.method.empty() || rule.method == method;
        return methodMatches && impl::hasPathPrefix(path, rule.path);
    });
    return found == rules.end() ? nullptr : &*found;
}

const ZoneSettings *Settings::findZone(const ZoneId &id) const noexcept
{
    const auto found = std::ranges::find(zones, id, &ZoneSettings::id);
    return found == zones.end() ? nullptr : &*found;
}

const ServiceSettings *Settings::findService(const ServiceName &name) const noexcept
{
    const auto found = std::ranges::find(services, name, &ServiceSettings::name);
    return found == services.end() ? nullptr : &*found;
}

const ServiceSettings *Settings::findServiceByPath(std::string_view path) const noexcept
{
    const ServiceSettings *best = nullptr;
    for (const ServiceSettings &service : services) {
        if (!impl::hasPathPrefix(path, service.pathPrefix))
            continue;
        if (best == nullptr || service.pathPrefix.size() > best->pathPrefix.size())
            best = &service;
    }
    return best;
}

const TargetSettings *Settings::findTarget(const TargetId &id) const noexcept
{
    for (const ServiceSettings &service : services) {
        const auto found = std::ranges::find(service.targets, id, &TargetSettings::id);
        if (found != service.targets.end())
            return &*found;
    }
    return nullptr;
}

bool Settings::mayReceiveWork(const TargetSettings &target) const noexcept
{
    const ZoneSettings *zone = findZone(target.zone);
    const bool zoneIsIn = zone != nullptr && !zone->out;
    return zoneIsIn && !target.drain;
}

} // namespace yuccaspan

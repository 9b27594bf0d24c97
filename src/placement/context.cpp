#include "placement/context.hpp"

#include "yuccaspan/membership.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccaspan::impl {

void Context::log(std::string_view part, std::string text)
{
    actions.push_back(LogAction{std::string(part), std::move(text)});
}

void Context::send(const InstanceId &to, PeerMessage message)
{
    if (to == self.id)
        loopback.push_back({to, std::move(message)});
    else
        actions.push_back(SendPeerAction{to, std::move(message)});
}

const Member *Context::findMember(const InstanceId &id) const noexcept
{
    const auto found = std::ranges::find(members, id, &Member::id);
    return found == members.end() ? nullptr : &*found;
}

bool Context::isAlive(const InstanceId &id) const noexcept
{
    const Member *member = findMember(id);
    return id == self.id || (member != nullptr && member->alive);
}

const ServiceSettings *Context::findService(const ServiceName &name) const noexcept
{
    return settings == nullptr ? nullptr : settings->findService(name);
}

const TargetSettings *Context::findTarget(const ServiceName &service,
                                          const TargetId &id) const noexcept
{
    const ServiceSettings *found = findService(service);
    if (found == nullptr)
        return nullptr;
    const auto target = std::ranges::find(found->targets, id, &TargetSettings::id);
    return target == found->targets.end() ? nullptr : &*target;
}

bool Context::checksGrants(const ServiceName &service, const TargetId &id) const noexcept
{
    const TargetSettings *target = findTarget(service, id);
    return target == nullptr || target->checksGrants;
}

Duration Context::stretched(Duration span) const noexcept
{
    const double factor = 1 + 2 * timing.maxDriftRate;
    return Duration(
        static_cast<Duration::rep>(std::ceil(static_cast<double>(span.count()) * factor)));
}

Duration Context::shrunk(Duration span) const noexcept
{
    const double factor = 1 - 2 * timing.maxDriftRate;
    return Duration(
        static_cast<Duration::rep>(std::floor(static_cast<double>(span.count()) * factor)));
}

namespace {

const ZoneSettings *findZone(const Context &context, const ZoneId &zone)
{
    return context.settings == nullptr ? nullptr : context.settings->findZone(zone);
}

} // namespace

void Context::updateLastSeen()
{
    for (const Member &member : members) {
        if (member.alive || member.knownToStore)
            lastSeen[member.id] = now;
    }
}

bool isGone(const Context &context, const InstanceId &id)
{
    const Member *self = context.findMember(context.self.id);
    if (self == nullptr || !self->knownToStore || context.isAlive(id))
        return false;
    const Member *member = context.findMember(id);
    const ZoneSettings *zone = member == nullptr ? nullptr : findZone(context, member->zone);
    if (zone != nullptr && zone->out && zone->stopped)
        return true;
    const bool isReplaced = std::ranges::any_of(context.members, [&](const Member &other) {
        return other.alive && other.id != id && instanceName(other.id) == instanceName(id);
    });
    if (isReplaced)
        return true;
    const auto seen = context.lastSeen.find(id);
    const TimePoint last = seen == context.lastSeen.end() ? context.startedAt : seen->second;
    return context.now - last >= goneAfter;
}

} // namespace yuccaspan::impl

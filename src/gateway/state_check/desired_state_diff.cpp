#include "gateway/state_check/desired_state_diff.hpp"

#include "gateway/state_check/desired_state_check.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <set>
#include <sstream>
#include <utility>

namespace yuccaspan::gateway {

namespace {

using Changes = std::vector<StateChange>;
/// Values of an entry by their names, in a form that is equal if their effects are.
using Values = std::map<std::string, std::string>;

template <typename Number>
std::string numberText(Number value, const char *unit = "")
{
    std::ostringstream text;
    text << value << unit;
    return text.str();
}

std::string secondsText(Duration span)
{
    return numberText(std::chrono::duration<double>(span).count(), " s");
}

/// The services with their weights in lowest terms, in the order of their names.
std::string servicesText(const Route &route)
{
    std::map<std::string, std::uint64_t> weights;
    std::uint64_t divisor = 0;
    for (const WeightedService &part : route.services) {
        weights[part.service] += part.weight;
        divisor = std::gcd(divisor, std::uint64_t{part.weight});
    }
    std::string text;
    for (const auto &[service, weight] : weights) {
        if (weight == 0)
            continue;
        text += (text.empty() ? "" : ", ") + service;
        if (weights.size() > 1)
            text += " " + numberText(weight / std::max<std::uint64_t>(divisor, 1));
    }
    return text;
}

Values valuesOf(const Route &route)
{
    return {{"services", servicesText(route)},
            {"timeout", secondsText(route.timeout)},
            {"latency target", secondsText(route.latencyTarget)},
            {"priority", numberText(route.priority)},
            {"attempts", numberText(route.maxAttempts)},
            {"may be repeated", route.idempotent ? "yes" : "no"},
            {"needs a key", route.anonymous ? "no" : "yes"}};
}

Values valuesOf(const Service &service)
{
    return {{"connections", numberText(service.maxConnections)},
            {"rate of cold targets", numberText(service.coldRate, "/s")},
            {"warm-up", secondsText(service.warmup)},
            {"divided by key", service.keyed ? "yes" : "no"}};
}

Values valuesOf(const CallerLimits &limits)
{
    return {{"head", numberText(limits.headerBytes, " bytes")},
            {"body", numberText(limits.bodyBytes, " bytes")},
            {"time for a head", secondsText(limits.headerTimeout)},
            {"idle time", secondsText(limits.idleTimeout)}};
}

Values valuesOf(const Workspace &workspace)
{
    return {{"priority", workspace.priority ? numberText(*workspace.priority) : "of the route"},
            {"rate", workspace.perSecond > 0 ? numberText(workspace.perSecond, "/s") : "unlimited"},
            {"burst", numberText(workspace.burst)}};
}

void compare(const std::string &entry, const Values &before, const Values &after, Changes &changes)
{
    for (const auto &[name, value] : after) {
        const std::string &old = before.at(name);
        if (old == value)
            continue;
        std::ostringstream text;
        text << name << ' ' << old << " -> " << value;
        changes.push_back({entry, text.str()});
    }
}

/// Compares the entries of a kind, each under its title.
template <typename Entry>
void compareAll(const std::map<std::string, const Entry *> &before,
                const std::map<std::string, const Entry *> &after, Changes &changes)
{
    for (const auto &[title, entry] : before) {
        if (!after.contains(title))
            changes.push_back({title, "removed"});
    }
    for (const auto &[title, entry] : after) {
        const auto known = before.find(title);
        if (known == before.end())
            changes.push_back({title, "added"});
        else
            compare(title, valuesOf(*known->second), valuesOf(*entry), changes);
    }
}

std::map<std::string, const Route *> routesOf(const DesiredState &state)
{
    std::map<std::string, const Route *> found;
    for (const Route &route : state.routes)
        found[routeTitle(route)] = &route;
    return found;
}

std::map<std::string, const Service *> servicesOf(const DesiredState &state)
{
    std::map<std::string, const Service *> found;
    for (const auto &[name, service] : state.services)
        found["service " + name] = &service;
    return found;
}

std::map<std::string, const Workspace *> workspacesOf(const DesiredState &state)
{
    std::map<std::string, const Workspace *> found;
    for (const Workspace &workspace : state.workspaces)
        found["workspace " + workspace.name] = &workspace;
    return found;
}

/// Counts the keys that come and go; the keys themselves are secret.
void compareKeys(const DesiredState &before, const DesiredState &after, Changes &changes)
{
    const auto known = workspacesOf(before);
    for (const auto &[title, workspace] : workspacesOf(after)) {
        const auto old = known.find(title);
        if (old == known.end())
            continue;
        const std::set<std::string> had(old->second->keys.begin(), old->second->keys.end());
        const std::set<std::string> has(workspace->keys.begin(), workspace->keys.end());
        const auto added =
            std::ranges::count_if(has, [&](const std::string &key) { return !had.contains(key); });
        const auto revoked =
            std::ranges::count_if(had, [&](const std::string &key) { return !has.contains(key); });
        if (added != 0)
            changes.push_back({title, "keys added: " + numberText(added)});
        if (revoked != 0)
            changes.push_back({title, "keys revoked: " + numberText(revoked)});
    }
}

} // namespace

std::vector<StateChange> changesBetween(const DesiredState &before, const DesiredState &after)
{
    Changes changes;
    compareAll(routesOf(before), routesOf(after), changes);
    compareAll(servicesOf(before), servicesOf(after), changes);
    compare("limits", valuesOf(before.limits), valuesOf(after.limits), changes);
    compareAll(workspacesOf(before), workspacesOf(after), changes);
    compareKeys(before, after, changes);
    return changes;
}

} // namespace yuccaspan::gateway

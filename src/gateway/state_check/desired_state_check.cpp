#include "gateway/state_check/desired_state_check.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

namespace yuccaspan::gateway {

namespace {

using Findings = std::vector<Finding>;

std::string secondsText(Duration span)
{
    std::ostringstream text;
    text << std::chrono::duration<double>(span).count() << " s";
    return text.str();
}

/// Collects the findings of one entry.
class EntryFindings
{
public:
    EntryFindings(Findings &all, std::string entry) : m_all(all), m_entry(std::move(entry)) { }
    void add(FindingKind kind, std::string text)
    {
        m_all.push_back({kind, m_entry, std::move(text)});
    }

private:
    Findings &m_all;
    std::string m_entry;
};

void checkPlace(const Route &route, EntryFindings &found)
{
    if (route.host.empty())
        found.add(FindingKind::NeverMatches, "has no host");
    if (route.host.find(':') != std::string::npos)
        found.add(FindingKind::NeverMatches,
                  "the port of a Host field is ignored; expected a host without one");
    const bool slashes = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    if (!slashes)
        found.add(FindingKind::NeverMatches, "expected a prefix that begins and ends with a slash");
    if (route.prefix.find_first_of("?# ") != std::string::npos)
        found.add(FindingKind::NeverMatches,
                  "paths are compared without a query; expected no '?', '#' or space");
}

void checkServices(const DesiredState &state, const Route &route, EntryFindings &found)
{
    std::uint64_t weights = 0;
    std::set<std::string_view> names;
    for (const WeightedService &part : route.services) {
        weights += part.weight;
        if (state.findService(part.service) == nullptr)
            found.add(FindingKind::Invalid,
                      "service \"" + part.service + "\" is not among the services");
        if (!names.insert(part.service).second)
            found.add(FindingKind::Contradicts,
                      "service \"" + part.service + "\" has two weights; expected one");
        if (part.weight == 0 && route.services.size() > 1)
            found.add(FindingKind::NeverMatches,
                      "service \"" + part.service + "\" has the weight 0 and gets no request");
    }
    if (weights == 0)
        found.add(FindingKind::Invalid, "has no service with a weight above 0");
}

void checkTimes(const Route &route, EntryFindings &found)
{
    if (route.maxAttempts == 0)
        found.add(FindingKind::Invalid, "allows no attempt; expected at least 1");
    if (route.timeout > Duration::zero() && route.latencyTarget > route.timeout)
        found.add(FindingKind::Contradicts,
                  "the latency target of " + secondsText(route.latencyTarget)
                      + " is above the timeout of " + secondsText(route.timeout)
                      + ", which ends the request before");
}

void checkRoutes(const DesiredState &state, Findings &all)
{
    std::map<std::pair<std::string_view, std::string_view>, const Route *> places;
    std::set<std::string_view> names;
    for (const Route &route : state.routes) {
        EntryFindings found(all, routeTitle(route));
        if (!names.insert(route.name).second)
            found.add(FindingKind::Invalid, "the name \"" + route.name + "\" is used twice");
        checkPlace(route, found);
        const auto [place, isNew] = places.try_emplace({route.host, route.prefix}, &route);
        if (!isNew)
            found.add(FindingKind::NeverMatches,
                      "routes \"" + place->second->name + "\" and \"" + route.name
                          + "\" have the same host and prefix; one of them gets no request");
        checkServices(state, route, found);
        checkTimes(route, found);
        if (route.anonymous && state.workspaces.empty())
            found.add(FindingKind::Ineffective,
                      "is anonymous, but without workspaces no route needs a key");
    }
}

void checkServiceLimits(const DesiredState &state, Findings &all)
{
    std::set<std::string_view> used;
    for (const Route &route : state.routes) {
        for (const WeightedService &part : route.services)
            used.insert(part.service);
    }
    for (const auto &[name, service] : state.services) {
        EntryFindings found(all, "service " + name);
        if (!used.contains(name))
            found.add(FindingKind::NeverMatches, "no route leads to it");
        if (service.coldRate < 0)
            found.add(FindingKind::Invalid, "the rate of cold targets is below 0");
        if (service.coldRate > 0 && service.warmup <= Duration::zero())
            found.add(FindingKind::Contradicts,
                      "has a rate for cold targets, but a warm-up of 0 s: no target is ever cold");
    }
}

void checkCallerLimits(const DesiredState &state, Findings &all)
{
    EntryFindings found(all, "limits");
    const CallerLimits &limits = state.limits;
    if (limits.headerBytes == 0)
        found.add(FindingKind::Invalid, "a request head of 0 bytes admits no request");
    if (limits.headerTimeout <= Duration::zero() || limits.idleTimeout <= Duration::zero())
        found.add(FindingKind::Invalid, "expected timeouts above 0 s");
    else if (limits.headerTimeout > limits.idleTimeout)
        found.add(FindingKind::Contradicts,
                  "the time for a request head, " + secondsText(limits.headerTimeout)
                      + ", is above that of an idle connection, "
                      + secondsText(limits.idleTimeout));
}

void checkAllowance(const Workspace &workspace, EntryFindings &found)
{
    if (workspace.perSecond < 0 || workspace.burst < 0)
        found.add(FindingKind::Invalid, "the allowance is below 0");
    else if (workspace.perSecond == 0 && workspace.burst > 0)
        found.add(FindingKind::Ineffective, "has a burst, but no rate: nothing is limited");
    else if (workspace.perSecond > 0 && workspace.burst < 1)
        found.add(FindingKind::Contradicts,
                  "a burst below 1 never admits a whole request; expected at least 1");
}

void checkWorkspaces(const DesiredState &state, Findings &all)
{
    std::set<std::string_view> names;
    std::map<std::string_view, std::string_view> holders;
    for (const Workspace &workspace : state.workspaces) {
        EntryFindings found(all, "workspace " + workspace.name);
        if (workspace.name.empty())
            found.add(FindingKind::Invalid, "has no name");
        if (!names.insert(workspace.name).second)
            found.add(FindingKind::Invalid, "the name is used twice");
        if (workspace.keys.empty())
            found.add(FindingKind::NeverMatches, "has no key: none of its callers is known");
        for (const std::string &key : workspace.keys) {
            const auto [holder, isNew] = holders.try_emplace(key, workspace.name);
            if (key.empty())
                found.add(FindingKind::NeverMatches, "a key is empty");
            else if (!isNew && holder->second == workspace.name)
                found.add(FindingKind::Ineffective, "holds a key twice");
            else if (!isNew)
                found.add(FindingKind::Invalid,
                          "holds a key that workspace " + std::string(holder->second)
                              + " holds too");
        }
        checkAllowance(workspace, found);
    }
}

} // namespace

std::string routeTitle(const Route &route)
{
    return "route " + route.host + route.prefix;
}

std::vector<Finding> checkDesiredState(const DesiredState &state)
{
    static constexpr std::array<void (*)(const DesiredState &, Findings &), 4> checks{
        &checkRoutes, &checkServiceLimits, &checkCallerLimits, &checkWorkspaces};
    Findings all;
    for (const auto check : checks)
        check(state, all);
    return all;
}

} // namespace yuccaspan::gateway

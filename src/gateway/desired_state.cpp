#include "gateway/desired_state.hpp"

#include <algorithm>
#include <numeric>

namespace yuccaspan::gateway {

const Service *DesiredState::findService(std::string_view name) const noexcept
{
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

RouteIndex::RouteIndex(const DesiredState &state)
{
    for (const Route &route : state.routes)
        m_hosts[route.host][route.prefix] = &route;
}

const Route *RouteIndex::find(std::string_view host, std::string_view path) const
{
    const auto byHost = m_hosts.find(host.substr(0, host.find(':')));
    if (byHost == m_hosts.end())
        return nullptr;
    // Prefixes end with a slash, so only parts of the path that end with one can match.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto found = byHost->second.find(path.substr(0, slash + 1));
        if (found != byHost->second.end())
            return found->second;
    }
    return nullptr;
}

const std::string &WeightedDealer::next(const Route &route)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    RouteCredits &credits = m_credits[route.name];
    if (credits.services != route.services) {
        credits.services = route.services;
        credits.credit.assign(route.services.size(), 0);
    }
    std::int64_t total = 0;
    for (std::size_t index = 0; index < route.services.size(); ++index) {
        credits.credit[index] += route.services[index].weight;
        total += route.services[index].weight;
    }
    const auto chosen = std::ranges::max_element(credits.credit);
    *chosen -= total;
    return route.services[static_cast<std::size_t>(chosen - credits.credit.begin())].service;
}

} // namespace yuccaspan::gateway

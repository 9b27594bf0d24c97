#include "gateway/workspaces/caller_admission.hpp"

#include <utility>

namespace yuccaspan::gateway {

namespace {

/// Interval at which other instances are asked for newer keys.
constexpr Duration outdatedRetryDelay = std::chrono::milliseconds(250);

} // namespace

std::optional<Rejection> admitCaller(Gateway &gateway, Flow &flow)
{
    const std::string key = std::exchange(flow.facts.credential, {});
    if (flow.state->workspaces.empty())
        return std::nullopt;
    gateway.protocol.identify(flow.request, {});
    if (flow.route->anonymous)
        return std::nullopt;
    if (!gateway.keysCurrent())
        return Rejection{http::status::service_unavailable, EndReason::KeysOutdated,
                         outdatedRetryDelay};
    flow.workspace = gateway.keys.find(key);
    if (flow.workspace == nullptr)
        return Rejection{http::status::unauthorized, EndReason::UnknownKey, {}};
    gateway.protocol.identify(flow.request, flow.workspace->name);
    flow.priority = flow.workspace->priority.value_or(flow.priority);
    const Duration wait = gateway.allowances.take(flow.workspace->name, gateway.now());
    if (wait > Duration::zero())
        return Rejection{http::status::too_many_requests, EndReason::OverAllowance, wait};
    return std::nullopt;
}

} // namespace yuccaspan::gateway

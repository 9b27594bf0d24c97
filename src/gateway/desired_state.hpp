/// \file
/// \brief The desired state: routes, services and limits, and the choice of a route for a request.
#pragma once

#include "yuccaspan/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaspan::gateway {

/// \brief A service that receives a share of a route's requests.
struct WeightedService
{
    std::string service; ///< Name of the service.
    std::uint32_t weight = 1; ///< Share of the requests, relative to the route's other services.

    [[nodiscard]] friend bool operator==(const WeightedService &,
                                         const WeightedService &) = default;
};

/// \brief A route: the requests that it matches and the rules for them.
struct Route
{
    std::string name; ///< Unique among the routes.
    std::string host; ///< Value of the Host header, without a port.
    std::string prefix; ///< Begins and ends with a slash.
    bool idempotent = false; ///< Whether a request may run more than once.
    Duration timeout{}; ///< Maximum duration of a request; zero for no limit.
    Duration latencyTarget{}; ///< Latency up to which an answer has its full worth.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; ///< Maximum number of targets that a request is sent to.
    bool anonymous = false; ///< Whether requests need no key of a workspace.
    std::vector<WeightedService> services; ///< At least one.
};

/// \brief A workspace, whose callers are known by their keys.
struct Workspace
{
    std::string name; ///< Unique among the workspaces.
    std::vector<std::string> keys; ///< Secret; a key belongs to one workspace.
    std::optional<std::uint32_t> priority; ///< Takes precedence over that of the route.
    double perSecond = 0; ///< Most requests a second, at all instances together; 0: no limit.
    double burst = 0; ///< Further requests after a pause.
};

/// \brief A service and the limits of its targets.
struct Service
{
    std::string name; ///< Unique among the services.
    std::uint32_t maxConnections = 0; ///< Per target, from all instances; 0: unknown.
    double coldRate = 0; ///< Maximum requests per second to a cold target; 0: no limit.
    Duration warmup{}; ///< Time for which a target is cold after its start.
    bool keyed = false; ///< Whether each key is owned by one target.
};

/// \brief Limits on what callers may send.
struct CallerLimits
{
    std::uint32_t headerBytes = 16384; ///< Maximum size of a request head.
    std::uint64_t bodyBytes = 67108864; ///< Maximum size of a request body.
    Duration headerTimeout = std::chrono::seconds(3); ///< Maximum time to receive a head.
    Duration idleTimeout = std::chrono::seconds(15); ///< Maximum idle time of a connection.
};

/// \brief One version of the desired state.
struct DesiredState
{
    std::uint64_t version = 0; ///< Increases with each change; 0 before the first.
    std::vector<Route> routes;
    std::map<std::string, Service, std::less<>> services;
    CallerLimits limits;
    std::vector<Workspace> workspaces; ///< If empty, requests need no key.

    /// \brief The service of that name, or null.
    [[nodiscard]] const Service *findService(std::string_view name) const noexcept;
};

/// \brief Finds the route of a request by host and longest prefix.
class RouteIndex
{
public:
    RouteIndex() = default;
    /// \brief Indexes the routes of a desired state, which must outlive the index.
    explicit RouteIndex(const DesiredState &state);

    /// \brief The route with the longest prefix of the path, or null.
    /// \param host Host header; a port is ignored.
    /// \param path Path without the query.
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const;

private:
    std::map<std::string, std::map<std::string, const Route *, std::less<>>, std::less<>> m_hosts;
};

/// \brief Distributes requests among the services of a route in proportion to their weights.
///
/// Smooth weighted round robin: the number of requests per service stays within one request of its
/// share. A random choice would deviate more over few requests.
class WeightedDealer
{
public:
    /// \brief Picks the service of the next request.
    /// \param route A route with at least one service.
    [[nodiscard]] const std::string &next(const Route &route);

private:
    struct RouteCredits
    {
        std::vector<WeightedService> services;
        std::vector<std::int64_t> credit;
    };
    std::map<std::string, RouteCredits, std::less<>> m_credits;
};

} // namespace yuccaspan::gateway

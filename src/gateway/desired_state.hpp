/// \file
/// \brief The desired state: routes, services and limits, and the choice of a route for a request.
#pragma once

#include "yuccaspan/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaspan::gateway {

/// \brief A service that receives part of a route's requests.
struct WeightedService
{
    std::string service; ///< Name of the service.
    std::uint32_t weight = 1; ///< Part of the requests, relative to the others of the route.

    [[nodiscard]] friend bool operator==(const WeightedService &,
                                         const WeightedService &) = default;
};

/// \brief A route: which requests it takes and what holds for them.
struct Route
{
    std::string name; ///< Unique among the routes.
    std::string host; ///< Value of the Host header, without a port.
    std::string prefix; ///< Begins and ends with a slash.
    bool idempotent = false; ///< Whether a request may run more than once.
    Duration timeout{}; ///< Longest time that a request is kept; zero for no limit.
    Duration latencyTarget{}; ///< Time within which an answer has its full worth.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; ///< Most targets that one request may be sent to.
    std::vector<WeightedService> services; ///< At least one.
};

/// \brief A service and what its targets bear.
struct Service
{
    std::string name; ///< Unique among the services.
    std::uint32_t maxConnections = 0; ///< Connections to one target from all instances; 0: unknown.
    double coldRate = 0; ///< Requests per second that a cold target bears; 0: not limited.
    bool keyed = false; ///< Whether each key has one owner.
};

/// \brief Limits on what callers may send.
struct CallerLimits
{
    std::uint32_t headerBytes = 16384; ///< Largest request head, in bytes.
    std::uint64_t bodyBytes = 67108864; ///< Largest request body, in bytes.
    Duration headerTimeout = std::chrono::seconds(3); ///< Longest time to send a request head.
    Duration idleTimeout = std::chrono::seconds(15); ///< Longest idle time of a connection.
};

/// \brief One version of the desired state.
struct DesiredState
{
    std::uint64_t version = 0; ///< Grows with each change; 0 before the first.
    std::vector<Route> routes;
    std::map<std::string, Service, std::less<>> services;
    CallerLimits limits;

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

/// \brief Deals requests to the services of a route in proportion to their weights.
///
/// Smooth weighted round robin: over any span of requests the shares stay within one request of
/// the weights, which a random choice would miss on short spans.
class WeightedDealer
{
public:
    /// \brief Picks the service of the next request.
    /// \param route A route with at least one service.
    [[nodiscard]] const std::string &next(const Route &route);

private:
    struct Standing
    {
        std::vector<WeightedService> services;
        std::vector<std::int64_t> credit;
    };
    std::map<std::string, Standing, std::less<>> m_standing;
};

} // namespace yuccaspan::gateway

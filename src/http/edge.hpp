/// \file
/// \brief The data path: accepts requests from callers and forwards them to the owners of their
/// keys.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/decision_log.hpp"
#include "yuccaspan/result.hpp"
#include "yuccaspan/route_table.hpp"
#include "yuccaspan/settings.hpp"

#include "http/edge_metrics.hpp"
#include "http/in_flight.hpp"
#include "http/snapshot.hpp"
#include "http/target_hub.hpp"
#include "http/worker_load.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace yuccaspan::impl {

/// \brief State shared by the data path's threads and the control thread.
struct EdgeShared
{
    /// \brief Creates the initial state.
    /// \param runtimeClock Must outlive this object.
    /// \param decisionLog Must outlive this object.
    EdgeShared(const Clock &runtimeClock, DecisionLog &decisionLog)
        : clock(runtimeClock), log(decisionLog)
    { }

    const Clock &clock; ///< The runtime's clock.
    DecisionLog &log; ///< The decision log.
    Published<Settings> settings{std::make_shared<const Settings>()}; ///< Current settings.
    Published<RouteTable> routes{std::make_shared<const RouteTable>()}; ///< Current routes.
    TargetHub targets; ///< Targets and their admission gates.
    InFlightTable inFlight; ///< Requests in flight at targets.
    EdgeMetrics metrics; ///< Counters.
    std::atomic<std::uint32_t> sessions{0}; ///< Open connections of callers.
    std::atomic<std::uint32_t> active{0}; ///< Requests from callers that are not answered yet.
    std::atomic<bool> closing{false}; ///< Whether connections close after their current request.
};

/// \brief Listen address and limits of the data path.
struct EdgeOptions
{
    std::string address = "127.0.0.1"; ///< IP address to listen on.
    std::uint16_t port = 0; ///< TCP port; 0 for an ephemeral port.
    std::uint32_t workers = 2; ///< Threads that serve callers.
    std::uint32_t maxSessions =
        20000; ///< Maximum open connections; further ones are closed at once.
    std::uint32_t headerLimitBytes = 16384; ///< Maximum size of a request head.
    Duration idleTimeout =
        std::chrono::seconds(60); ///< Time after which idle connections from callers are closed.
    std::string instanceId; ///< Prefix of request ids.
};

/// \brief The running data path. Its destructor stops the threads.
class Edge
{
public:
    Edge() = default;
    Edge(const Edge &) = delete;
    Edge &operator=(const Edge &) = delete;
    virtual ~Edge() = default;

    /// \brief The listening port.
    [[nodiscard]] virtual std::uint16_t port() const noexcept = 0;
    /// \brief Wakes requests that wait for a change of the routes.
    virtual void routesChanged() = 0;
    /// \brief Stops accepting connections; requests in flight continue.
    virtual void stopAccepting() = 0;
    /// \brief The load measured by all workers, as one report per cell.
    /// \param routes Routes by cell; they define the slices.
    /// \param sequence Sequence number of the reports.
    /// \param now The current time.
    [[nodiscard]] virtual std::vector<LoadReport>
    reportLoad(const CellRoutesMap &routes, std::uint64_t sequence, TimePoint now) = 0;
};

/// \brief Starts the data path.
/// \param options Listen address and limits.
/// \param shared Shared state; must outlive the data path.
/// \returns The data path, or an error if it cannot listen.
[[nodiscard]] Result<std::unique_ptr<Edge>> makeEdge(const EdgeOptions &options,
                                                     EdgeShared &shared);

} // namespace yuccaspan::impl

/// \file
/// \brief The data path: takes requests of callers and sends them to the owners of their keys.
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

/// \brief What the threads of the data path share with each other and with control.
struct EdgeShared
{
    /// \brief Creates empty state.
    /// \param runtimeClock Must outlive this object, as must the log.
    EdgeShared(const Clock &runtimeClock, DecisionLog &decisionLog)
        : clock(runtimeClock), log(decisionLog)
    { }

    const Clock &clock; ///< The runtime's clock.
    DecisionLog &log; ///< The decision log.
    Published<Settings> settings{std::make_shared<const Settings>()}; ///< Settings in force.
    Published<RouteTable> routes{std::make_shared<const RouteTable>()}; ///< Routes in force.
    TargetHub targets; ///< Targets with their gates.
    InFlightTable inFlight; ///< Requests at targets.
    EdgeMetrics metrics; ///< Counters.
    std::atomic<std::uint32_t> sessions{0}; ///< Open connections of callers.
    std::atomic<std::uint32_t> active{0}; ///< Requests of callers that are not answered.
    std::atomic<bool> closing{false}; ///< Whether connections close after the present request.
};

/// \brief Where the data path listens, and its limits.
struct EdgeOptions
{
    std::string address = "127.0.0.1"; ///< IP address to listen on.
    std::uint16_t port = 0; ///< TCP port; 0 lets the system choose.
    std::uint32_t workers = 2; ///< Threads for callers' input and output.
    std::uint32_t maxSessions = 20000; ///< Further connections are closed at once.
    std::uint32_t headerLimitBytes = 16384; ///< Longest request head.
    Duration idleTimeout = std::chrono::seconds(60); ///< Idle connections of callers are closed.
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

    /// \brief The port it listens on.
    [[nodiscard]] virtual std::uint16_t port() const noexcept = 0;
    /// \brief Tells waiting requests that the routes changed.
    virtual void routesChanged() = 0;
    /// \brief Stops accepting connections; the requests under way go on.
    virtual void stopAccepting() = 0;
    /// \brief The load that all workers measured, as one report for each cell.
    /// \param routes Routes by cell, which say what the slices are.
    /// \param sequence Sequence of the reports.
    /// \param now The current time.
    [[nodiscard]] virtual std::vector<LoadReport>
    reportLoad(const CellRoutesMap &routes, std::uint64_t sequence, TimePoint now) = 0;
};

/// \brief Starts the data path.
/// \param options Where it listens.
/// \param shared What it shares; must outlive it.
/// \returns The data path, or Unavailable if the port cannot be had.
[[nodiscard]] Result<std::unique_ptr<Edge>> makeEdge(const EdgeOptions &options,
                                                     EdgeShared &shared);

} // namespace yuccaspan::impl

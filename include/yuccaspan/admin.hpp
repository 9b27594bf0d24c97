/// \file
/// \brief The administration API: HTTP and JSON on a separate port, described by
/// docs/openapi.json.
#pragma once

#include "yuccaspan/cell_record.hpp"
#include "yuccaspan/clock.hpp"
#include "yuccaspan/placement.hpp"
#include "yuccaspan/result.hpp"
#include "yuccaspan/route_table.hpp"
#include "yuccaspan/settings.hpp"
#include "yuccaspan/store_http.hpp"
#include "yuccaspan/target_order.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace yuccaspan {

/// \brief Data of `/v1/status`.
struct InstanceReport
{
    InstanceId id; ///< Name with start id.
    ZoneId zone; ///< Availability zone.
    ObjectVersion settingsVersion; ///< Version of the settings in force.
    bool ready = false; ///< Whether it accepts requests from callers.
    bool leaving = false; ///< Whether it is shutting down.
    bool storeReachable = false; ///< Whether the store answered the latest call.
    Duration uptime{}; ///< Time since the start.
    std::vector<Member> members; ///< Instances known to membership.
    StoreCounters storeCalls; ///< Calls to the store.
};

/// \brief Data of `/v1/targets` for a target, in addition to its settings.
struct TargetReport
{
    TargetId id; ///< Its name.
    std::string startId; ///< Last observed start id; empty if never observed.
    TargetState state = TargetState::Warm; ///< Last observed state.
    std::uint32_t running = 0; ///< Requests from this instance that run at the target.
    std::uint32_t waiting = 0; ///< Requests queued at this instance.
    double allowance = 0; ///< Maximum number of concurrent requests from this instance.
    double slowdown = 1; ///< Measured slowdown factor; 1 is normal.
    std::uint32_t connections = 0; ///< Open connections from this instance.
};

/// \brief Data of `/v1/explain`: how and why this instance routes a key.
struct Explanation
{
    KeyHash hash = 0; ///< Hash of the key.
    CellId cell; ///< The cell; without a service name if none covers the hash.
    Route route; ///< The slice, its owner, its token and state.
    Duration
        viewLeaseLeft{}; ///< Remaining time in which targets that don't check grants may be used.
    TargetReport target; ///< The owner, with this instance's allowance.
    std::vector<std::string> reasons; ///< Human-readable sentences, in routing order.
};

/// \brief A move requested by an operator.
struct MoveOrder
{
    ServiceName service; ///< The service.
    KeyHash hash = 0; ///< A hash in the slice to move.
    TargetId to; ///< The next owner.
    std::string why; ///< Reason, for the log.
};

/// \brief Provides the data of the administration API. Called on the server's thread.
/// \warning Implementations must be thread-safe and must not block for long.
class AdminSource
{
public:
    AdminSource() = default;
    AdminSource(const AdminSource &) = delete;
    AdminSource &operator=(const AdminSource &) = delete;
    virtual ~AdminSource() = default;

    /// \name Reading
    /// @{
    /// \brief Status of this instance.
    [[nodiscard]] virtual InstanceReport status() const = 0;
    /// \brief The settings in force, or null if there are none yet.
    [[nodiscard]] virtual std::shared_ptr<const Settings> settings() const = 0;
    /// \brief All targets as observed by this instance.
    [[nodiscard]] virtual std::vector<TargetReport> targets() const = 0;
    /// \brief All cells known to this instance.
    [[nodiscard]] virtual std::vector<CellStatus> cells() const = 0;
    /// \brief Explains how a key is routed.
    /// \returns The explanation, or NotFound for an unknown service.
    [[nodiscard]] virtual Result<Explanation> explain(const ServiceName &service,
                                                      const std::string &key) const = 0;
    /// \brief Metrics in the Prometheus text format.
    [[nodiscard]] virtual std::string metrics() const = 0;
    /// \brief Liveness of the process.
    [[nodiscard]] virtual Status health() const = 0;
    /// \brief Whether callers should be sent to this instance; the error gives the reason if not.
    [[nodiscard]] virtual Status readiness() const = 0;
    /// @}

    /// \name Orders
    /// @{
    /// \brief Requests a move from the slice's placer.
    /// \returns Conflict if this instance is not the placer.
    [[nodiscard]] virtual Status requestMove(const MoveOrder &order) = 0;
    /// @}
};

/// \brief Listen address and limits of the administration API.
struct AdminOptions
{
    std::string address = "127.0.0.1"; ///< IP address to listen on.
    std::uint16_t port = 0; ///< TCP port; 0 lets the system choose.
    std::uint32_t maxConnections = 64; ///< Connections over the limit are closed immediately.
    Duration requestTimeout =
        std::chrono::seconds(10); ///< Timeout for reading a request and for writing its answer.
};

/// \brief The server of the administration API. Runs its own thread.
class AdminServer
{
public:
    AdminServer() = default;
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;
    virtual ~AdminServer() = default;

    /// \brief The port it listens on.
    [[nodiscard]] virtual std::uint16_t port() const noexcept = 0;
    /// \brief Closes all connections and joins the thread.
    virtual void stop() = 0;
};

/// \brief Starts the server.
/// \param options Listen address and limits.
/// \param source Provides the data; must outlive the server.
/// \returns The server, Unavailable if it cannot listen on the port, or InvalidArgument for an
/// invalid address.
[[nodiscard]] Result<std::unique_ptr<AdminServer>> makeAdminServer(const AdminOptions &options,
                                                                   AdminSource &source);

} // namespace yuccaspan

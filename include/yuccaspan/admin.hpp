/// \file
/// \brief The administration API: HTTP and JSON on a port of its own. docs/openapi.json describes
/// it.
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

/// \brief What `/v1/status` shows.
struct InstanceReport
{
    InstanceId id; ///< Name with start id.
    ZoneId zone; ///< Availability zone.
    ObjectVersion settingsVersion; ///< Version of the settings in force.
    bool ready = false; ///< Whether it takes requests of callers.
    bool leaving = false; ///< Whether it is stopping.
    bool storeReachable = false; ///< Whether the store answered its latest call.
    Duration uptime{}; ///< Since the start.
    std::vector<Member> members; ///< Instances as membership sees them.
    StoreCounters storeCalls; ///< Calls to the store.
};

/// \brief What `/v1/targets` shows of a target, besides its settings.
struct TargetReport
{
    TargetId id; ///< Its name.
    std::string startId; ///< As last seen; empty if never seen.
    TargetState state = TargetState::Warm; ///< As last seen.
    std::uint32_t running = 0; ///< Requests of this instance at the target.
    std::uint32_t waiting = 0; ///< Requests that wait at this instance.
    double allowance = 0; ///< Requests this instance may have there at once.
    double slowdown = 1; ///< Measured; 1 is usual.
    std::uint32_t connections = 0; ///< Open connections of this instance.
};

/// \brief What `/v1/explain` shows: how a key is routed at this instance, and why.
struct Explanation
{
    KeyHash hash = 0; ///< Hash of the key.
    CellId cell; ///< The cell; without a service name if none covers the hash.
    Route route; ///< The slice, its owner, its token and state.
    Duration viewLeaseLeft{}; ///< Time left in which targets that check no grants may be used.
    TargetReport target; ///< The owner, with this instance's allowance.
    std::vector<std::string> reasons; ///< Sentences for a person, in order of the path.
};

/// \brief A move that an operator asks for.
struct MoveOrder
{
    ServiceName service; ///< The service.
    KeyHash hash = 0; ///< A hash in the slice to move.
    TargetId to; ///< The next owner.
    std::string why; ///< Said in the log.
};

/// \brief What the administration API shows. Called on the server's thread.
/// \warning Implementations synchronise with their own threads and must not block for long.
class AdminSource
{
public:
    AdminSource() = default;
    AdminSource(const AdminSource &) = delete;
    AdminSource &operator=(const AdminSource &) = delete;
    virtual ~AdminSource() = default;

    /// \name Reading
    /// @{
    /// \brief This instance.
    [[nodiscard]] virtual InstanceReport status() const = 0;
    /// \brief The settings in force, or null before the first.
    [[nodiscard]] virtual std::shared_ptr<const Settings> settings() const = 0;
    /// \brief Every target as this instance sees it.
    [[nodiscard]] virtual std::vector<TargetReport> targets() const = 0;
    /// \brief Every cell that this instance knows.
    [[nodiscard]] virtual std::vector<CellStatus> cells() const = 0;
    /// \brief How a key is routed.
    /// \returns The explanation, or NotFound for an unknown service.
    [[nodiscard]] virtual Result<Explanation> explain(const ServiceName &service,
                                                      const std::string &key) const = 0;
    /// \brief Metrics in the text format of Prometheus.
    [[nodiscard]] virtual std::string metrics() const = 0;
    /// \brief Whether the process works at all.
    [[nodiscard]] virtual Status health() const = 0;
    /// \brief Whether callers should be sent here; the error says why not.
    [[nodiscard]] virtual Status readiness() const = 0;
    /// @}

    /// \name Orders
    /// @{
    /// \brief Asks the slice's placer for a move, or Conflict if this instance is not the placer.
    [[nodiscard]] virtual Status requestMove(const MoveOrder &order) = 0;
    /// @}
};

/// \brief Where the administration API listens, and its limits.
struct AdminOptions
{
    std::string address = "127.0.0.1"; ///< IP address to listen on.
    std::uint16_t port = 0; ///< TCP port; 0 lets the system choose.
    std::uint32_t maxConnections = 64; ///< Further connections are closed at once.
    Duration requestTimeout = std::chrono::seconds(10); ///< Longest wait for a request.
};

/// \brief The server of the administration API. Runs a thread of its own.
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
/// \param options Where it listens.
/// \param source What it shows; must outlive the server.
/// \returns The server, or Unavailable if the port cannot be had.
[[nodiscard]] Result<std::unique_ptr<AdminServer>> makeAdminServer(const AdminOptions &options,
                                                                   AdminSource &source);

} // namespace yuccaspan

/// \file
/// \brief One entry instance: its components and threads, startup and graceful shutdown.
#pragma once

#include "yuccaspan/admin.hpp"
#include "yuccaspan/clock.hpp"
#include "yuccaspan/result.hpp"

#include "daemon/control.hpp"
#include "daemon/instance_settings.hpp"

#include <atomic>
#include <cstdint>
#include <memory>

namespace yuccaspan::impl {

/// \brief Listening ports of an instance.
struct DaemonPorts
{
    std::uint16_t callers = 0; ///< Port for callers.
    std::uint16_t peers = 0; ///< Port for other instances.
    std::uint16_t admin = 0; ///< Port of the admin API.
};

/// \brief A running entry instance.
class Daemon final : public AdminSource
{
public:
    /// \brief Starts an instance.
    /// \param settings Settings of the instance.
    /// \returns The running instance, or the error that prevented its start.
    [[nodiscard]] static Result<std::unique_ptr<Daemon>> start(const InstanceSettings &settings);
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;
    ~Daemon() override;

    /// \brief The listening ports.
    [[nodiscard]] const DaemonPorts &ports() const noexcept { return m_ports; }
    /// \brief Shuts down gracefully: becomes unready, waits for the load balancer, hands over its
    /// cells and finishes the requests in flight.
    /// \returns Timeout if requests were still in flight at the stop limit.
    [[nodiscard]] Status stop();

    /// \name AdminSource
    /// @{
    [[nodiscard]] InstanceReport status() const override;
    [[nodiscard]] std::shared_ptr<const Settings> settings() const override;
    [[nodiscard]] std::vector<TargetReport> targets() const override;
    [[nodiscard]] std::vector<CellStatus> cells() const override;
    [[nodiscard]] Result<Explanation> explain(const ServiceName &service,
                                              const std::string &key) const override;
    [[nodiscard]] std::string metrics() const override;
    [[nodiscard]] Status health() const override;
    [[nodiscard]] Status readiness() const override;
    [[nodiscard]] Status requestMove(const MoveOrder &order) override;
    /// @}

private:
    explicit Daemon(const InstanceSettings &settings);
    [[nodiscard]] Status open();
    [[nodiscard]] Status startStore();
    [[nodiscard]] Status startEdge();
    [[nodiscard]] Status startControl();
    [[nodiscard]] TargetReport reportTarget(SharedTarget &target) const;
    void receivePeer(const std::string &bytes);
    void setGauges() const;
    [[nodiscard]] bool waitUntilIdle(TimePoint limit) const;

    const InstanceSettings m_settings;
    const SystemClock m_clock;
    const TimePoint m_startedAt;
    const InstanceId m_id;
    DaemonPorts m_ports;
    std::unique_ptr<DecisionLog> m_log;
    std::unique_ptr<EdgeShared> m_shared;
    std::unique_ptr<HttpStore> m_store;
    std::unique_ptr<PeerLink> m_peers;
    std::unique_ptr<OrderSender> m_orders;
    std::unique_ptr<Edge> m_edge;
    std::unique_ptr<Control> m_control;
    std::unique_ptr<AdminServer> m_admin;
    std::atomic<bool> m_controlRunning{false};
    std::atomic<bool> m_leaving{false};
};

} // namespace yuccaspan::impl

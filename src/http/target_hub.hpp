/// \file
/// \brief The targets, shared by all threads of the data path.
#pragma once

#include "yuccaspan/admission.hpp"
#include "yuccaspan/clock.hpp"
#include "yuccaspan/settings.hpp"

#include "http/snapshot.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace yuccaspan::impl {

/// \brief A target and its admission gate. The gate is only used with the mutex held.
class SharedTarget
{
public:
    /// \brief Creates the shared state of a target.
    SharedTarget(const TargetSettings &target, const ServiceSettings &service,
                 std::uint32_t instances);

    /// \brief Calls a function on the gate with the mutex held and returns its result.
    template <typename F>
    auto withGate(F &&function)
    {
        const std::lock_guard lock(m_mutex);
        return function(*m_gate);
    }
    /// \brief The target's settings at the creation of this object.
    [[nodiscard]] const TargetSettings &settings() const noexcept { return m_settings; }
    /// \brief The service that the target belongs to.
    [[nodiscard]] const ServiceName &service() const noexcept { return m_service; }

    /// \name Connections
    /// @{
    /// \brief Reserves one connection of this instance's share.
    /// \returns Whether the share had one left.
    [[nodiscard]] bool reserveConnection() noexcept;
    /// \brief Releases a reserved connection.
    void releaseConnection() noexcept { --m_connections; }
    /// \brief Number of connections that this instance has reserved.
    [[nodiscard]] std::uint32_t connections() const noexcept { return m_connections; }
    /// \brief Sets this instance's share of connections.
    void setConnectionLimit(std::uint32_t limit) noexcept { m_connectionLimit = limit; }
    /// @}

    /// \name Observed target state
    /// @{
    /// \brief Records a start id and state seen in an answer.
    void recordAnswer(const std::string &startId, TargetState state, TimePoint now);
    /// \brief Records the answer to an order or probe. Answers of a warm target raise its gate's
    /// limit even if this instance may not send requests that would do so.
    void recordProbe(const std::string &startId, TargetState state, TimePoint now);
    /// \brief The most recent start id and state.
    [[nodiscard]] std::pair<std::string, TargetState> lastSeen() const;
    /// @}

private:
    /// Call with the mutex held.
    void updateGate(const std::string &startId, TargetState state, TimePoint now);

    TargetSettings m_settings;
    ServiceName m_service;
    mutable std::mutex m_mutex;
    std::unique_ptr<TargetGate> m_gate;
    std::string m_startId;
    TargetState m_state = TargetState::Warm;
    std::atomic<std::uint32_t> m_connections{0};
    std::atomic<std::uint32_t> m_connectionLimit;
};

/// \brief All targets by id. Immutable; replaced when settings change.
using TargetMap = std::map<TargetId, std::shared_ptr<SharedTarget>>;

/// \brief Keeps the target map in sync with the settings.
class TargetHub
{
public:
    /// \brief Receives gate releases and passes them to the waiting threads.
    using ReleaseHandler =
        std::function<void(const std::shared_ptr<SharedTarget> &, const GateRelease &)>;

    TargetHub();

    /// \brief Applies settings; keeps the gates of unchanged targets.
    /// \param settings The settings.
    /// \param instances Number of live instances, at least 1.
    void apply(const Settings &settings, std::uint32_t instances);
    /// \brief Applies shares of targets until the given time.
    void setShares(const std::vector<CapacityShare> &shares, TimePoint validUntil);
    /// \brief Calls tick() on every gate.
    void tick(TimePoint now, const ReleaseHandler &handler);
    /// \brief The published map of targets.
    [[nodiscard]] const Published<TargetMap> &map() const noexcept { return m_map; }

private:
    Published<TargetMap> m_map;
};

} // namespace yuccaspan::impl

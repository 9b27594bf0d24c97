/// \file
/// \brief The targets as all threads of the data path share them.
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

/// \brief A target with its gate. The gate is used under the mutex only.
class SharedTarget
{
public:
    /// \brief Creates the shared state of a target.
    SharedTarget(const TargetSettings &target, const ServiceSettings &service,
                 std::uint32_t instances);

    /// \brief Runs a function on the gate under the mutex and returns its result.
    template <typename F>
    auto withGate(F &&function)
    {
        const std::lock_guard lock(m_mutex);
        return function(*m_gate);
    }
    /// \brief The target's settings when this object was made.
    [[nodiscard]] const TargetSettings &settings() const noexcept { return m_settings; }
    /// \brief The service that the target belongs to.
    [[nodiscard]] const ServiceName &service() const noexcept { return m_service; }

    /// \name Connections
    /// @{
    /// \brief Takes one connection from the share.
    /// \returns Whether there was one left.
    [[nodiscard]] bool takeConnection() noexcept;
    /// \brief Gives a connection back.
    void returnConnection() noexcept { --m_connections; }
    /// \brief Open connections of this instance.
    [[nodiscard]] std::uint32_t connections() const noexcept { return m_connections; }
    /// \brief Sets the share of connections.
    void setConnectionLimit(std::uint32_t limit) noexcept { m_connectionLimit = limit; }
    /// @}

    /// \name What the target showed
    /// @{
    /// \brief Records a start id seen in an answer.
    void sawStart(const std::string &startId, TargetState state, TimePoint now);
    /// \brief Records the answer to an order or probe; one of a warm target lets its gate open
    /// further even where no request of this instance can show that the target is well.
    void sawProbe(const std::string &startId, TargetState state, TimePoint now);
    /// \brief The start id and state seen last.
    [[nodiscard]] std::pair<std::string, TargetState> lastSeen() const;
    /// @}

private:
    /// Call with the mutex held.
    void tellGate(const std::string &startId, TargetState state, TimePoint now);

    TargetSettings m_settings;
    ServiceName m_service;
    mutable std::mutex m_mutex;
    std::unique_ptr<TargetGate> m_gate;
    std::string m_startId;
    TargetState m_state = TargetState::Warm;
    std::atomic<std::uint32_t> m_connections{0};
    std::atomic<std::uint32_t> m_connectionLimit;
};

/// \brief All targets by name. Immutable; replaced when settings change.
using TargetMap = std::map<TargetId, std::shared_ptr<SharedTarget>>;

/// \brief Keeps the target map in step with the settings.
class TargetHub
{
public:
    /// \brief Receives the releases of gates, to pass them to the threads that wait.
    using ReleaseHandler =
        std::function<void(const std::shared_ptr<SharedTarget> &, const GateRelease &)>;

    TargetHub();

    /// \brief Puts settings in force; gates of targets that stay are kept.
    /// \param settings The settings.
    /// \param instances Number of live instances, at least 1.
    void apply(const Settings &settings, std::uint32_t instances);
    /// \brief Puts shares of targets in force until the given instant.
    void setShares(const std::vector<CapacityShare> &shares, TimePoint validUntil);
    /// \brief Lets every gate notice that time has passed.
    void tick(TimePoint now, const ReleaseHandler &handler);
    /// \brief The map of targets, for readers.
    [[nodiscard]] const Published<TargetMap> &map() const noexcept { return m_map; }

private:
    Published<TargetMap> m_map;
};

} // namespace yuccaspan::impl

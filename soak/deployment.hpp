/// \file
/// \brief Gateways as processes, with the stand-ins that they work with, on one machine.
#pragma once

#include "fault_proxy.hpp"
#include "ledger.hpp"
#include "process.hpp"
#include "store_standin.hpp"
#include "target_standin.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace yuccaspan::soak {

/// \brief Size of a deployment.
struct DeploymentOptions
{
    std::uint64_t seed = 1;
    std::uint32_t instances = 4; ///< Gateways, dealt to three zones.
    std::uint32_t keyedTargets = 9;
    std::uint32_t anyTargets = 4; ///< Targets of the service without keys.
    std::string folder; ///< For settings and logs.
    std::string program; ///< Path of yuccaspan-gateway.
};

/// \brief A gateway process.
struct Instance
{
    std::string name;
    std::string zone;
    std::string ip; ///< A loopback address of its own.
    std::unique_ptr<FaultProxy> storeLink; ///< Its way to the store.
    std::unique_ptr<standins::Process> process; ///< Null while it is down.
    int starts = 0;
    bool busy = false; ///< A fault concerns it.

    [[nodiscard]] std::string callers() const { return ip + ":8161"; }
    [[nodiscard]] std::string readiness() const { return ip + ":8167"; }
    [[nodiscard]] std::string peers() const { return ip + ":7720"; }
};

/// \brief A place for a target, whose life may change.
struct TargetPlace
{
    platform_standins::TargetTraits traits; ///< Of the present life.
    std::unique_ptr<FaultProxy> link; ///< The way of all gateways to it.
    std::unique_ptr<platform_standins::TargetStandin> target; ///< Null while it is down.
    bool busy = false; ///< A fault concerns it.
};

/// \brief A route of the deployment.
struct RoutePlan
{
    std::string name;
    std::string prefix;
    bool idempotent = false;
    double timeoutS = 1;
    std::uint32_t priority = 0;
    std::string service;
};

/// \brief The whole deployment. Used on the loop's thread alone.
class Deployment
{
public:
    /// \brief Names of the services.
    static constexpr const char *keyedService = "stock";
    static constexpr const char *anyService = "dispatch";
    static constexpr const char *spareService = "dispatch-two"; ///< Routes are moved to it.

    /// \brief Starts everything.
    [[nodiscard]] static Result<std::unique_ptr<Deployment>>
    start(standins::EventLoop &loop, Ledger &ledger, DeploymentOptions options);

    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;
    ~Deployment();

    /// \name Parts
    /// @{
    [[nodiscard]] platform_standins::StoreStandin &store() noexcept { return *m_store; }
    [[nodiscard]] std::vector<Instance> &instances() noexcept { return m_instances; }
    [[nodiscard]] std::vector<TargetPlace> &targets() noexcept { return m_targets; }
    [[nodiscard]] const std::vector<RoutePlan> &routes() const noexcept { return m_routes; }
    [[nodiscard]] const std::vector<std::string> &zones() const noexcept { return m_zones; }
    [[nodiscard]] standins::EventLoop &loop() noexcept { return m_loop; }
    [[nodiscard]] Ledger &ledger() noexcept { return m_ledger; }
    [[nodiscard]] std::mt19937_64 &random() noexcept { return m_random; }
    /// @}

    /// \name Changes
    /// @{
    /// \brief Starts an instance's process.
    [[nodiscard]] Status startInstance(Instance &instance);
    /// \brief Starts a target's next life and registers it.
    /// \param newId Whether it gets a new id.
    [[nodiscard]] Status startTarget(TargetPlace &place, bool newId);
    /// \brief Writes a target's entry.
    void registerTarget(const TargetPlace &place, bool draining);
    /// \brief Takes a target's entry out of the store.
    void removeEntry(const std::string &id);
    /// \brief Publishes the routes as a new version.
    void publish(std::vector<RoutePlan> routes);
    /// \brief Name of the instance that the store shows as the placer.
    [[nodiscard]] std::string placer();
    /// @}

private:
    Deployment(standins::EventLoop &loop, Ledger &ledger, DeploymentOptions options);
    [[nodiscard]] Status startParts();
    [[nodiscard]] std::string writeSettings(const Instance &instance) const;
    void addTargets(const char *service, std::uint32_t count, bool keyed);

    standins::EventLoop &m_loop;
    Ledger &m_ledger;
    DeploymentOptions m_options;
    std::mt19937_64 m_random;
    std::vector<std::string> m_zones{"a", "b", "c"};
    std::vector<RoutePlan> m_routes;
    std::uint32_t m_version = 0;
    std::int64_t m_nextIncarnation = 1000;
    std::unique_ptr<platform_standins::StoreStandin> m_store;
    std::vector<TargetPlace> m_targets;
    std::vector<Instance> m_instances;
};

} // namespace yuccaspan::soak

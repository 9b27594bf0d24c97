/// \file
/// \brief A store, targets and entry instances as processes on this machine.
#pragma once

#include "process.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace yuccaspan::standins {

/// \brief A service and its targets. Requests carry their key in the second path segment.
struct ClusterService
{
    std::string name; ///< Name; its path prefix is "/name".
    std::uint32_t targetsPerZone = 2; ///< Targets in each zone.
    std::uint32_t slots = 6; ///< Slots of each.
    std::uint32_t connections = 100; ///< Connections of each.
    std::uint32_t serviceUs = 2000; ///< Mean service time.
    bool checksGrants = true; ///< Whether they check grants.
    bool keepLedger = true; ///< Whether they keep runs by request id.
};

/// \brief What is to be started.
struct ClusterOptions
{
    std::vector<std::string> zones{"a", "b", "c"}; ///< Availability zones.
    std::uint32_t instancesPerZone = 1; ///< Entry instances in each.
    std::vector<ClusterService> services; ///< Services.
    std::uint32_t callerThreads = 2; ///< Threads of each instance for callers.
    std::uint32_t balancerWaitMs = 500; ///< From a stop signal to the end of accepting.
    bool logDecisions = true; ///< Whether instances log a line for each decision.
};

/// \brief A process with its addresses.
struct Member
{
    std::string id; ///< Name.
    std::string zone; ///< Availability zone.
    std::string service; ///< Of a target.
    std::string address; ///< For callers, "ip:port".
    std::string peers; ///< Of an instance: for other instances.
    std::string admin; ///< Of an instance: administration API.
    std::unique_ptr<Process> process; ///< Null once it was killed.
};

/// \brief A cluster. Everything it started ends with it.
class Cluster
{
public:
    /// \brief Starts the processes, publishes settings, and waits until every key is served.
    [[nodiscard]] static Result<std::unique_ptr<Cluster>> start(ClusterOptions options);

    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;
    ~Cluster();

    /// \name Members
    /// @{
    /// \brief Folder for the files of this run.
    [[nodiscard]] const std::string &folder() const noexcept { return m_folder; }
    /// \brief The store's address.
    [[nodiscard]] const std::string &store() const noexcept { return m_store.address; }
    /// \brief Entry instances.
    [[nodiscard]] std::vector<Member> &instances() noexcept { return m_instances; }
    /// \brief Targets.
    [[nodiscard]] std::vector<Member> &targets() noexcept { return m_targets; }
    /// \brief Starts an instance that was killed again, with the same addresses.
    [[nodiscard]] Status startInstance(Member &instance);
    /// @}

    /// \name Settings and faults
    /// @{
    /// \brief The merged settings document.
    [[nodiscard]] const nlohmann::json &settings() const noexcept { return *m_settings; }
    /// \brief Publishes changed settings by conditional update.
    [[nodiscard]] Status publish(const nlohmann::json &settings);
    /// \brief Waits until an instance has the latest settings in force.
    [[nodiscard]] bool inForce(const Member &instance, Duration timeout) const;
    /// \brief Switches faults of the store or of a target.
    [[nodiscard]] Status setFaults(const std::string &address, const std::string &faults) const;
    /// \brief Waits until an instance answers a request for each of some keys of each service.
    [[nodiscard]] bool serves(const Member &instance, Duration timeout) const;
    /// @}

    /// \name Load
    /// @{
    /// \brief Starts yuccaspan-load against all instances; files load.json, ledger.txt.
    /// \param arguments Further arguments.
    [[nodiscard]] Result<std::unique_ptr<Process>>
    startLoad(const std::vector<std::string> &arguments) const;
    /// @}

private:
    explicit Cluster(ClusterOptions options);
    [[nodiscard]] Status startStore();
    [[nodiscard]] Status startTargets();
    [[nodiscard]] Status startTarget(const ClusterService &service, const std::string &zone,
                                     std::uint32_t index);
    [[nodiscard]] Status startInstances();
    [[nodiscard]] Status registerInstance(const Member &instance) const;
    [[nodiscard]] nlohmann::json makeSettings() const;
    void writeMix() const;

    ClusterOptions m_options;
    std::string m_folder;
    Member m_store;
    std::vector<Member> m_targets;
    std::vector<Member> m_instances;
    std::unique_ptr<nlohmann::json> m_settings;
    std::uint64_t m_settingsVersion = 0;
};

} // namespace yuccaspan::standins

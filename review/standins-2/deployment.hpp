/// \file
/// \brief A small deployment of one service: a store, targets and gateways in three zones.
#pragma once

#include "cases.hpp"

#include <atomic>
#include <deque>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace yuccaspan::review {

inline constexpr const char *hostName = "review.example";
inline constexpr const char *zoneNames[] = {"a", "b", "c"};

/// \brief Counts of what the callers sent and were answered.
struct CallerCounts
{
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> served{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> failed{0};
};

/// \brief What a deployment is made of.
struct DeploymentPlan
{
    std::size_t targets = 5;
    bool keyed = true; ///< Whether the service is sharded.
    bool idempotent = true; ///< Whether requests may run more than once.
    std::size_t callersPerGateway = 1; ///< Each sends 15 requests a second at most.
};

/// \brief All parts of it. Ends them with itself.
class LabDeployment
{
public:
    LabDeployment(const CaseOptions &options, Record &record, DeploymentPlan plan);
    ~LabDeployment();

    /// \brief Waits until every gateway is ready and some requests were served.
    [[nodiscard]] bool settled(std::chrono::seconds timeout);
    /// \brief Writes the entry of a target; its life is the given one.
    void registerTarget(std::size_t index, std::int64_t life);
    /// \brief The store answers 503 to all calls, or is well again.
    void setStoreBusy(bool busy);
    /// \brief Asks to send nothing more to the targets of a zone.
    void evacuate(const std::string &zone);
    [[nodiscard]] bool gatewaysRun();

    [[nodiscard]] KeyJudge &judge() noexcept { return m_judge; }
    [[nodiscard]] TargetCounts &counts() noexcept { return m_counts; }
    [[nodiscard]] LabTarget &target(std::size_t index) { return m_targets[index]; }
    /// \brief The address of a gateway for callers.
    [[nodiscard]] const std::string &callers(std::size_t gateway) const
    {
        return m_gateways[gateway].callers();
    }
    [[nodiscard]] std::string summary() const;

private:
    void publish();
    void startCallers();
    void call(std::size_t gateway, std::size_t caller);

    Record &m_record;
    DeploymentPlan m_plan;
    KeyJudge m_judge;
    TargetCounts m_counts;
    CallerCounts m_callers;
    StoreThread m_store;
    std::deque<LabTarget> m_targets;
    std::deque<GatewayProcess> m_gateways;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_stopped{false};
};

} // namespace yuccaspan::review

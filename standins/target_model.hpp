/// \file
/// \brief Slots, queue, cold start and ledger of a target. Does no input or output.
#pragma once

#include "grant_table.hpp"

#include "yuccaspan/enum_names.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace yuccaspan::standins {

/// \brief Why a target did not run a request. Shown in the header `Yuccaspan-Refused`.
enum class Refusal {
    NoGrant, ///< No grant covers the key.
    StaleToken, ///< The request's token is older than the grant's.
    Shed, ///< The queue is full.
    Draining, ///< The target is leaving.
    Cold, ///< The target is starting and its queue is full.
    Late, ///< The deadline passed before the request began.
};

/// \brief Number of Refusal enumerators.
inline constexpr std::size_t refusalCount = 6;

/// \brief What a target is like.
struct TargetOptions
{
    std::string id; ///< Name.
    std::string zone; ///< Availability zone; shown only.
    std::uint32_t slots = 6; ///< Requests run at once.
    std::uint32_t connections = 100; ///< Connections accepted; 0: no limit.
    std::uint32_t queueLimit = 64; ///< Requests that may wait for a slot.
    Duration service{2000}; ///< Mean service time.
    bool checksGrants = true; ///< Whether it refuses requests without a grant.
    Duration cold{}; ///< How long it is cold after its start.
    std::uint32_t coldSlots = 1; ///< Requests it bears at once while cold.
    bool keepLedger = true; ///< Whether runs are kept by request id.
    std::uint64_t seed = 1; ///< Seed of the spread of service times.
};

/// \brief A request as the model sees it.
struct Work
{
    std::uint64_t handle = 0; ///< Unique at this target.
    std::string requestId; ///< May be empty.
    ServiceName service; ///< Service.
    KeyHash hash = 0; ///< Hash of the key.
    FencingToken token; ///< Token of the slice.
    std::optional<TimePoint> deadline; ///< When the answer is due.
};

/// \brief A request that leaves the queue.
struct WorkStep
{
    std::uint64_t handle = 0; ///< Which.
    std::optional<Refusal> refusal; ///< Set if it is not run.
    Duration service{}; ///< How long it runs.
};

/// \brief Runs of one request id.
struct LedgerRow
{
    ServiceName service; ///< Service.
    KeyHash hash = 0; ///< Hash of the key.
    FencingToken token; ///< Token of the latest run.
    TimePoint began; ///< When the latest run began.
    std::uint32_t count = 0; ///< Number of runs.
};

/// \brief What a target has counted since its process started.
struct TargetCounts
{
    std::uint64_t runs = 0; ///< Requests run.
    std::uint64_t runTwice = 0; ///< Request ids run more than once.
    std::uint64_t dropped = 0; ///< Requests whose caller left before they began.
    std::uint32_t maxRunning = 0; ///< Most requests run at once.
    std::uint64_t coldOverload = 0; ///< Requests begun beyond what the cold target bears.
    std::array<std::uint64_t, refusalCount> refused{}; ///< By Refusal.
};

/// \brief Decides which requests a target runs and when.
class TargetModel
{
public:
    /// \brief Tells whether the caller of a request has gone.
    using GoneCheck = std::function<bool(std::uint64_t handle)>;

    /// \brief Starts the target.
    TargetModel(TargetOptions options, TimePoint now);

    /// \name Requests
    /// @{
    /// \brief A request arrives.
    /// \returns Why it is refused, or nothing if it joins the queue.
    [[nodiscard]] std::optional<Refusal> arrive(Work work, TimePoint now);
    /// \brief Takes from the queue what is to run or to be refused now.
    [[nodiscard]] std::vector<WorkStep> next(TimePoint now, const GoneCheck &gone);
    /// \brief A running request has ended.
    void finished(std::uint64_t handle);
    /// \brief Whether no request in the range runs.
    [[nodiscard]] bool idle(const ServiceName &service, const KeyRange &range) const;
    /// @}

    /// \name Start and state
    /// @{
    /// \brief Starts anew: another start id, another clock origin, no grants, no requests, cold.
    void restart(TimePoint now);
    /// \brief Turns cold without a restart.
    void turnCold(TimePoint now);
    /// \brief The target's clock.
    [[nodiscard]] Duration clock(TimePoint now) const { return now - m_origin; }
    /// \brief The start id.
    [[nodiscard]] const std::string &startId() const { return m_grants.startId(); }
    /// \brief How the target is.
    [[nodiscard]] TargetState state(TimePoint now) const;
    /// \brief Sets whether it refuses new requests since it is leaving.
    void setDraining(bool draining) { m_draining = draining; }
    /// \brief Multiplies service times.
    void setSlowFactor(double factor) { m_slowFactor = factor; }
    /// @}

    /// \name Measurements
    /// @{
    /// \brief Requests running now.
    [[nodiscard]] std::size_t running() const { return m_running.size(); }
    /// \brief Requests waiting now.
    [[nodiscard]] std::size_t queued() const { return m_queue.size(); }
    /// \brief Counts.
    [[nodiscard]] const TargetCounts &counts() const { return m_counts; }
    /// \brief Runs by request id.
    [[nodiscard]] const std::unordered_map<std::string, LedgerRow> &ledger() const
    {
        return m_ledger;
    }
    /// \brief Holds of earlier starts and of this one, on the clock of the process.
    [[nodiscard]] std::vector<HoldInterval> holdHistory() const;
    /// \brief Its options.
    [[nodiscard]] const TargetOptions &options() const { return m_options; }
    /// \brief Its grants.
    [[nodiscard]] GrantTable &grants() { return m_grants; }
    /// \copydoc grants()
    [[nodiscard]] const GrantTable &grants() const { return m_grants; }
    /// @}

private:
    [[nodiscard]] std::optional<Refusal> refusalOf(const Work &work, TimePoint now) const;
    [[nodiscard]] Refusal count(Refusal refusal);
    [[nodiscard]] WorkStep begin(const Work &work, TimePoint now);
    [[nodiscard]] bool isCold(TimePoint now) const { return now < m_coldUntil; }
    void record(const Work &work, TimePoint now);

    TargetOptions m_options;
    TimePoint m_origin;
    std::uint64_t m_starts = 0;
    GrantTable m_grants;
    TimePoint m_coldUntil;
    bool m_draining = false;
    double m_slowFactor = 1;
    std::mt19937_64 m_random;
    std::deque<Work> m_queue;
    std::unordered_map<std::uint64_t, Work> m_running;
    TargetCounts m_counts;
    std::unordered_map<std::string, LedgerRow> m_ledger;
    std::vector<HoldInterval> m_earlierHolds;
};

} // namespace yuccaspan::standins

namespace yuccaspan {

template <>
struct EnumNames<standins::Refusal>
{
    static constexpr std::array<EnumName<standins::Refusal>, standins::refusalCount> table{{
        {standins::Refusal::NoGrant, "no-grant"},
        {standins::Refusal::StaleToken, "stale-token"},
        {standins::Refusal::Shed, "shed"},
        {standins::Refusal::Draining, "draining"},
        {standins::Refusal::Cold, "cold"},
        {standins::Refusal::Late, "late"},
    }};
};

} // namespace yuccaspan

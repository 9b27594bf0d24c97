/// \file
/// \brief State of an instance, shared by the request path and the control tasks.
#pragma once

#include "gateway/caller_connections.hpp"
#include "gateway/event_log.hpp"
#include "gateway/evidence/store_evidence.hpp"
#include "gateway/gateway_metrics.hpp"
#include "gateway/http_call.hpp"
#include "gateway/key_load.hpp"
#include "gateway/load_message.hpp"
#include "gateway/loop_watch.hpp"
#include "gateway/message_memory.hpp"
#include "gateway/platform.hpp"
#include "gateway/repeat_budget.hpp"
#include "gateway/shard_map.hpp"
#include "gateway/shared_rate.hpp"
#include "gateway/waiting_lane.hpp"
#include "gateway/workspaces/allowance_exchange.hpp"
#include "gateway/workspaces/key_freshness.hpp"
#include "gateway/workspaces/key_table.hpp"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace yuccaspan::gateway {

/// \brief Sending to a target that leaves or may have left ends this long before the bound, so that
/// sent requests arrive in time.
inline constexpr Duration sendStopMargin = std::chrono::milliseconds(200);

/// \brief Startup options of an instance.
struct GatewayOptions
{
    std::string name; ///< Name of the instance.
    std::string zone; ///< Its availability zone.
    std::string callerAddress; ///< "IP:port" for callers.
    std::string readinessAddress; ///< "IP:port" for the load balancer's readiness check.
    std::string peerAddress; ///< "IP:port" for other instances and metrics scrapes.
    double repeatRatio = 0.2; ///< Retries per request, all instances together.
    double repeatSlack = 20; ///< Further retries, all instances together.
    double coldFactor = 1.5; ///< Factor on a cold target's rate for the most requests in a second.
    double coldSlack = 5; ///< Further requests in a second, all instances together.
    Duration drainWithin =
        std::chrono::seconds(2); ///< Time until a leaving target gets no more requests.
    Duration evacuateWithin =
        std::chrono::seconds(5); ///< Time until an evacuated zone gets no more requests.
    Duration applyWithin = std::chrono::seconds(2); ///< Time until new settings are in force.
    Duration stopWithin = std::chrono::seconds(6); ///< From SIGTERM to the end of the process.
    Duration allowanceWindow =
        std::chrono::seconds(5); ///< In which the platform counts a workspace's requests.
    double allowanceOverrun = 0; ///< Tolerated beyond the allowance, as a fraction of it.
    double allowanceSlack = 0; ///< Further requests in a window, all instances together.
    Duration revokeWithin{}; ///< Time until a taken key is refused everywhere; 0: no bound.
    Duration maxHold = std::chrono::seconds(10); ///< Longest grant that targets accept.
    bool competingCallers = false; ///< Whether callers often compete for too little room.
    WaitingOrder waitingOrder = WaitingOrder::Urgency; ///< Of requests that wait for room.
    std::size_t pipelineDepth = 1; ///< Requests of one connection that are in progress at a time.
    std::size_t pipelineBytes = 262144; ///< Answers that wait on a connection before reading stops.
    /// Number of known instances from which most hear of changes from others; 0: never.
    std::uint32_t newsFromInstances = 0;
    std::size_t bodyMemory = defaultBodyMemory(); ///< For all buffered bodies together, in bytes.
};

/// \brief A target with its connections and the local state about it.
struct LiveTarget
{
    TargetEntry entry;
    TargetGate gate;
    TargetSignals signals; ///< What it said of itself, as it is in force.
    TimePoint namedAt{}; ///< Last answer that named a rate.
    bool unreadableLogged = false; ///< That a signal was unreadable has been logged.
    std::shared_ptr<ClientPool> requests;
    std::shared_ptr<ClientPool> orders;
    WaitingLane lane;
};

/// \brief Local state of a service.
struct LiveService
{
    RepeatBudget budget;
    std::shared_ptr<KeyLoad> load; ///< Of keyed services; null for others.
    WaitingLane lane;
};

/// \brief A shard map with its store revision and the start times of its moves.
struct KnownShardMap
{
    ShardMap map;
    StoreRevision revision;
    std::map<std::uint32_t, TimePoint> movingSince; ///< By first key of the moving ranges.
};

/// \brief The state of an instance. Used only on the event loop's thread.
struct Gateway
{
    Gateway(asio::io_context &loop, const Clock &clock, EventLog &log, TargetProtocol &protocol,
            MetadataStore &store, PlatformCodec &codec, GatewayOptions options);

    asio::io_context &loop;
    const Clock &clock;
    EventLog &log;
    TargetProtocol &protocol;
    MetadataStore &store;
    PlatformCodec &codec;
    const GatewayOptions options;
    const RoomOrder &roomOrder; ///< Of the requests that wait.
    GatewayMetrics metrics;
    const std::shared_ptr<MessageMemory> bodies; ///< Memory of the buffered bodies.

    StoreEvidence evidence; ///< What the answers of the store prove.
    bool storeAway = false; ///< Neither the store nor another instance can prove anything.
    bool settingsUnprovable = false; ///< The same of the settings, and none are known to lack.
    bool proofAwaited = false; ///< Requests wait for a proof of the targets.
    TargetDirectory directory;
    std::shared_ptr<const DesiredState> desired;
    RouteIndex routes;
    KeyTable keys; ///< Of the desired state.
    KeyFreshness keyFreshness; ///< Of those keys.
    AllowanceExchange allowances; ///< Of the workspaces.
    WeightedDealer dealer;
    std::map<std::string, KnownShardMap, std::less<>> shardMaps;
    std::map<std::string, std::shared_ptr<LiveTarget>, std::less<>> live;
    std::map<std::string, LiveService, std::less<>> services;
    std::map<std::string, double, std::less<>>
        averageRouteSeconds; ///< Moving average of a route's latency.
    std::map<std::string, double, std::less<>>
        slowness; ///< Of targets, as measured by all instances.
    LoadMessage unreportedLoad; ///< Load since the last report.
    LoopWatch loopWatch;
    InstanceShare share; ///< Place of this instance among the known ones.
    Duration commonOffset{}; ///< Wall-clock time less the time of the clock.
    bool stopping = false;
    bool closingCallers = false; ///< While stopping: no further callers are expected.
    TimePoint stopAt = TimePoint::max(); ///< End of the process.
    TimePoint rejectFrom = TimePoint::max(); ///< While stopping: what was not sent yet is rejected.
    bool targetsKnown = false;
    bool instancesKnown =
        false; ///< Until then, this instance's parts of shared limits are too large.
    bool shardMapsStale =
        false; ///< A target did not hold a key, or a change of a shard map was missed.
    const std::uint64_t keySeed = std::random_device{}(); ///< Of the table of keys.
    const std::shared_ptr<CallerConnections> callers = std::make_shared<CallerConnections>();
    std::uint64_t active = 0; ///< Requests that were read and not yet answered.

    [[nodiscard]] TimePoint now() const noexcept { return clock.now(); }
    /// \brief Whether all that requests depend on has been read.
    [[nodiscard]] bool informed() const noexcept
    {
        return desired && targetsKnown && instancesKnown;
    }
    /// \brief Whether callers can be served.
    [[nodiscard]] bool ready() const noexcept { return !stopping && informed() && keysCurrent(); }
    /// \brief Whether callers' keys may be admitted, as far as there are any.
    [[nodiscard]] bool keysCurrent() const noexcept
    {
        return desired && (desired->workspaces.empty() || keyFreshness.fresh(now()));
    }
    /// \brief Until when requests may be sent by what is proven of targets and evacuations.
    ///
    /// A target may have left since the proof, and nothing more may reach it once its bound ends.
    /// While the store is away for all, nothing can be proven and there is no limit.
    [[nodiscard]] TimePoint provenSendLimit() const;
    /// \brief Whether no settings can be missing that must be in force for a request.
    /// \param arrived Arrival of the request; it was sent before.
    [[nodiscard]] bool settingsProven(TimePoint arrived) const
    {
        return evidence.provenAt(ObjectKind::Settings) + options.applyWithin >= arrived;
    }
    /// \brief Whether a request may be handled by the settings in force.
    ///
    /// While the store is away for all, nothing can be proven, and callers are served on unless
    /// newer settings are known to exist.
    /// \param arrived Arrival of the request.
    [[nodiscard]] bool mayRoute(TimePoint arrived) const
    {
        return settingsProven(arrived) || settingsUnprovable
            || (storeAway && !evidence.behind(ObjectKind::Settings));
    }
    /// \brief Whether a request may still be in progress at the end of the process.
    /// \param deadline Of the request, which has just been read.
    [[nodiscard]] bool mayOutlastStop(TimePoint deadline) const noexcept
    {
        return closingCallers && deadline > stopAt;
    }
    /// \brief The local state of a target, created on first use.
    [[nodiscard]] std::shared_ptr<LiveTarget> liveTarget(const Target &target);
    /// \brief The local state of a service, created on first use.
    [[nodiscard]] LiveService &liveService(const std::string &name);
    /// \brief Takes in what a target says of itself in an answer.
    void learn(LiveTarget &target, const AnswerFacts &facts, AnswerSource source);
    /// \brief Moving average of a route's latency, in seconds.
    /// \param otherwise Value while none was measured.
    [[nodiscard]] double averageSeconds(const std::string &route, double otherwise) const;
    /// \brief Requests of this instance in flight at the targets of a service.
    [[nodiscard]] double inFlight(std::string_view service) const;
    /// \brief Applies a newer desired state.
    void apply(std::shared_ptr<const DesiredState> state);
    /// \brief Applies a shard map unless the known one is as new or newer.
    void apply(ShardMap map, StoreRevision revision);
    /// \brief Sets the known instances, by name.
    void setInstances(const std::vector<std::string> &names);
    /// \brief Wakes all waiting requests after a change of their possible targets.
    void wakeAll();
    /// \brief Sets this instance's share of a target's capacity.
    void configure(LiveTarget &target);
    /// \brief Sends nothing more to a target that said that it leaves.
    void learnLeaving(LiveTarget &target, AnswerSource source);
    /// \brief Sends nothing to a target for as long as it asked.
    void learnPause(LiveTarget &target, Duration pause, AnswerSource source);
    /// \brief Applies the rate that a target named to its gate.
    void applyNamedRate(LiveTarget &target) const;
    /// \brief Sets the limits of the workspaces' allowances.
    void configureAllowances();
    /// \brief Drops the local state of removed targets.
    void forgetTargets();
};

/// \brief Adds the time of a scope to that of a duty.
class DutyTimer
{
public:
    DutyTimer(Gateway &gateway, Duty duty) noexcept
        : m_gateway(gateway), m_duty(duty), m_from(gateway.now())
    { }
    DutyTimer(const DutyTimer &) = delete;
    DutyTimer &operator=(const DutyTimer &) = delete;
    ~DutyTimer() { m_gateway.loopWatch.spent(m_duty, m_gateway.now() - m_from); }

private:
    Gateway &m_gateway;
    const Duty m_duty;
    const TimePoint m_from;
};

} // namespace yuccaspan::gateway

/// \file
/// \brief State of an instance that the path of requests and the control tasks share.
#pragma once

#include "gateway/event_log.hpp"
#include "gateway/gateway_metrics.hpp"
#include "gateway/http_call.hpp"
#include "gateway/key_load.hpp"
#include "gateway/load_message.hpp"
#include "gateway/loop_watch.hpp"
#include "gateway/platform.hpp"
#include "gateway/repeat_budget.hpp"
#include "gateway/shard_map.hpp"
#include "gateway/waiting_lane.hpp"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>

namespace yuccaspan::gateway {

/// \brief What an instance is told when it starts.
struct GatewayOptions
{
    std::string name; ///< Name of the instance.
    std::string zone; ///< Its availability zone.
    std::string callerAddress; ///< "IP:port" for callers.
    std::string readinessAddress; ///< "IP:port" for the balancer's question.
    std::string peerAddress; ///< "IP:port" for other instances and for readers of the metrics.
    double repeatRatio = 0.2; ///< Repeats for each request, all instances together.
    double repeatSlack = 20; ///< Repeats beyond that, all instances together.
    Duration drainWithin = std::chrono::seconds(2); ///< A leaving target gets nothing later.
    Duration evacuateWithin = std::chrono::seconds(5); ///< A zone that is out gets nothing later.
    Duration stopWithin = std::chrono::seconds(6); ///< From SIGTERM to the end of the process.
    Duration holdMost = std::chrono::seconds(10); ///< Longest grant that targets take.
};

/// \brief A target with what this instance knows and uses of it.
struct LiveTarget
{
    TargetEntry entry;
    TargetGate gate;
    std::shared_ptr<ClientPool> requests;
    std::shared_ptr<ClientPool> orders;
    WaitingLane lane;
};

/// \brief A service with what this instance knows of its load.
struct LiveService
{
    RepeatBudget budget;
    std::shared_ptr<KeyLoad> load; ///< Of keyed services; null for others.
    WaitingLane lane;
};

/// \brief A shard map with the time it was learned.
struct KnownShardMap
{
    ShardMap map;
    std::uint64_t revision = 0;
    std::map<std::uint32_t, TimePoint> movingSince; ///< By first key, for ranges that move.
};

/// \brief The whole state of an instance. Used on the loop's thread alone.
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
    GatewayMetrics metrics;

    TargetDirectory directory;
    std::shared_ptr<const DesiredState> desired;
    RouteIndex routes;
    WeightedDealer dealer;
    std::map<std::string, KnownShardMap, std::less<>> shardMaps;
    std::map<std::string, std::shared_ptr<LiveTarget>, std::less<>> live;
    std::map<std::string, LiveService, std::less<>> services;
    std::map<std::string, double, std::less<>> routeSeconds; ///< Usual time of a route's requests.
    std::map<std::string, double, std::less<>> slowness; ///< Of targets, as all instances see it.
    LoadMessage seenLoad; ///< Load since the last report.
    LoopWatch loopWatch;
    std::uint32_t instances = 1; ///< Instances that are known, this one included.
    bool stopping = false;
    bool targetsKnown = false;
    bool mapDoubted = false; ///< A target disowned a key, or a change of a shard map was missed.
    std::uint64_t sessions = 0;
    std::uint64_t active = 0; ///< Requests that were read and are not answered.

    [[nodiscard]] TimePoint now() const noexcept { return clock.now(); }
    /// \brief Whether callers can be served.
    [[nodiscard]] bool ready() const noexcept { return !stopping && desired && targetsKnown; }
    /// \brief The live state of a target, made on first use.
    [[nodiscard]] std::shared_ptr<LiveTarget> liveTarget(const Target &target);
    /// \brief The live state of a service, made on first use.
    [[nodiscard]] LiveService &liveService(const std::string &name);
    /// \brief Usual time of a route's requests, in seconds.
    /// \param otherwise While none was seen.
    [[nodiscard]] double usualSeconds(const std::string &route, double otherwise) const;
    /// \brief Puts a newer desired state in force.
    void apply(std::shared_ptr<const DesiredState> state);
    /// \brief Takes over a shard map unless it is older than the known one.
    void apply(ShardMap map, std::uint64_t revision);
    /// \brief Takes over the number of instances.
    void setInstances(std::uint32_t count);
    /// \brief Lets all waiting requests look again, after a change of where they may go.
    void wakeAll();
    /// \brief Divides what a target bears among the instances.
    void configure(LiveTarget &target);
    /// \brief Drops the live state of targets that are no longer known.
    void forgetTargets();
};

/// \brief Counts the time of a scope as that of a duty.
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

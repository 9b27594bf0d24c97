/// \file
/// \brief Handles one request: choice of a target, waiting, sending and retries.
#pragma once

#include "gateway/gateway.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace yuccaspan::gateway {

/// \brief How a request ended.
enum class EndReason {
    Answered, ///< The response of a target is delivered.
    NotReady, ///< This instance has not yet read the desired state, the targets or the instances.
    NoRoute, ///< No route matches the request.
    SettingsUnproven, ///< Newer settings may be in force without this instance knowing them.
    NoOwner, ///< The key has no owner now.
    KeyMoving, ///< The move of the key to another owner takes too long.
    NoTarget, ///< The service has no usable target.
    TargetsUnproven, ///< Targets may have left without this instance knowing it.
    OwnerLeaves, ///< The owner of the key is leaving and may get no new requests.
    TargetPaused, ///< The target asked for no requests for a time.
    TargetLost, ///< The target cannot be reached.
    KeysOutdated, ///< The known keys may be too old to admit callers.
    UnknownKey, ///< No workspace holds the caller's key.
    OverAllowance, ///< The workspace has used up its allowance.
    Overloaded, ///< The request would miss its deadline, or missed it while waiting.
    TargetFull, ///< The target rejected the request and no retry is allowed.
    Misdirected, ///< The target does not hold the key and no retry is allowed.
    Broken, ///< The response of the target was lost or is invalid.
    TimedOut, ///< The target did not respond in time.
    CallerGone, ///< The caller closed its connection.
    NoMemory, ///< The memory for bodies is used up.
    Stopping, ///< This instance ends before the request can be answered.
};

/// \brief A request in progress.
struct Flow
{
    HttpRequest request;
    CallerFacts facts;
    std::shared_ptr<const DesiredState>
        state; ///< Desired state in force when the request was read; owns route.
    const Route *route = nullptr;
    std::string service;
    TimePoint arrived;
    TimePoint deadline; ///< The earlier of the caller's and the route's deadline.
    const Workspace *workspace = nullptr; ///< Of the caller; null without a key.
    std::uint32_t priority = 0; ///< Of the workspace or else the route; 0 is the most urgent.
    Urgency urgency; ///< Its order among waiting requests.
    bool callerGone = false;
    std::function<bool()> callerClosed; ///< Checks whether the caller has closed its connection.
    std::function<void()> cancel; ///< Cancels the pending operation; may be empty.

    std::uint32_t sends = 0; ///< Attempts that were sent to a target.
    Duration waited{}; ///< Time spent waiting for capacity.
    std::string target; ///< Last target.
    bool sentCold = false; ///< Whether the last target counted as cold when it was sent there.
    std::uint64_t fence = 0; ///< Fencing token of the key's owner.
    std::uint64_t mapWrite = 0; ///< Version of the shard map.
    Duration settingsAge{}; ///< Time since all changes of settings were known, when it was routed.
    bool settingsBehind = false; ///< Whether a newer version was known to exist, then.
    Duration proofAge{}; ///< Time since all changes of targets were known, at the last sending.
    std::optional<Duration> unwantedFor; ///< How long the last target was to get nothing, then.
};

/// \brief The result of a request.
struct FlowResult
{
    EndReason reason = EndReason::NotReady;
    HttpResponse response;
    MessageMemory::Share memory; ///< Of the response.
};

/// \brief Handles a request until it is answered or abandoned.
[[nodiscard]] asio::awaitable<FlowResult> runFlow(Gateway &gateway, std::shared_ptr<Flow> flow);

/// \brief Retry delay that is sent by an instance that stops: other instances are ready.
constexpr Duration stoppingRetryDelay = std::chrono::milliseconds(50);

/// \brief Creates a response of the gateway itself.
/// \param retryDelay Time after which the caller may retry; zero to leave it out.
[[nodiscard]] HttpResponse ownAnswer(const Gateway &gateway, http::status status, EndReason reason,
                                     Duration retryDelay = {});

} // namespace yuccaspan::gateway

/// \brief Names of the reasons, as logged and sent to callers.
template <>
struct yuccaspan::EnumNames<yuccaspan::gateway::EndReason>
{
    using Reason = yuccaspan::gateway::EndReason;
    static constexpr std::array<EnumName<Reason>, 22> table{{
        {Reason::Answered, "answered"},
        {Reason::NotReady, "not-ready"},
        {Reason::NoRoute, "no-route"},
        {Reason::NoOwner, "no-owner"},
        {Reason::KeyMoving, "key-moving"},
        {Reason::NoTarget, "no-target"},
        {Reason::OwnerLeaves, "owner-leaves"},
        {Reason::TargetPaused, "target-paused"},
        {Reason::TargetLost, "target-lost"},
        {Reason::KeysOutdated, "keys-outdated"},
        {Reason::UnknownKey, "unknown-key"},
        {Reason::OverAllowance, "over-allowance"},
        {Reason::Overloaded, "overloaded"},
        {Reason::TargetFull, "target-full"},
        {Reason::Misdirected, "misdirected"},
        {Reason::Broken, "broken"},
        {Reason::TimedOut, "timed-out"},
        {Reason::CallerGone, "caller-gone"},
        {Reason::NoMemory, "no-memory"},
        {Reason::Stopping, "stopping"},
        {Reason::TargetsUnproven, "targets-unproven"},
        {Reason::SettingsUnproven, "settings-unproven"},
    }};
};

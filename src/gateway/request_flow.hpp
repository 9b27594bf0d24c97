/// \file
/// \brief The way of one request: choice of a target, waiting, sending, repeating.
#pragma once

#include "gateway/gateway.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace yuccaspan::gateway {

/// \brief Why a request ended as it did.
enum class EndReason {
    Answered, ///< A target's answer is delivered.
    NotReady, ///< This instance knows no desired state or no targets yet.
    NoRoute, ///< No route takes the request.
    NoOwner, ///< Nobody owns the key now.
    KeyMoving, ///< The key is between two owners for too long.
    NoTarget, ///< No target of the service can be used.
    OwnerLeaves, ///< The owner of the key must get nothing any more.
    TargetLost, ///< The target cannot be reached.
    Overloaded, ///< It would not be served in time, or was not.
    TargetFull, ///< The target rejected it and it may not be sent again.
    Misdirected, ///< The target does not hold the key and it may not be sent again.
    Broken, ///< The target's answer is lost or damaged.
    TimedOut, ///< The target did not answer in time.
    CallerGone, ///< The caller left.
};

/// \brief A request on its way.
struct Flow
{
    HttpRequest request;
    CallerFacts facts;
    std::shared_ptr<const DesiredState> state; ///< Under which it was read; keeps route valid.
    const Route *route = nullptr;
    std::string service;
    TimePoint arrived;
    TimePoint deadline; ///< The caller's or the route's, whichever is first.
    Urgency urgency; ///< Its place among waiting requests.
    bool callerGone = false;
    std::function<bool()> callerClosed; ///< Looks whether the caller has closed its connection.
    std::function<void()> cancel; ///< Ends what it waits for; may be empty.

    std::uint32_t sends = 0; ///< Requests that left for a target.
    Duration waited{}; ///< Time spent waiting for room.
    std::string target; ///< Last target.
    std::uint64_t fence = 0; ///< Fencing token of the key's owner.
    std::uint64_t mapWrite = 0; ///< Version of the shard map.
};

/// \brief The end of a request.
struct FlowEnd
{
    EndReason reason = EndReason::NotReady;
    HttpResponse response;
};

/// \brief Takes a request to its end.
[[nodiscard]] asio::awaitable<FlowEnd> runFlow(Gateway &gateway, std::shared_ptr<Flow> flow);

/// \brief An answer of our own.
/// \param pause When to come back; zero to say nothing of it.
[[nodiscard]] HttpResponse ownAnswer(const Gateway &gateway, http::status status, EndReason reason,
                                     Duration pause = {});

} // namespace yuccaspan::gateway

/// \brief Names of the reasons.
template <>
struct yuccaspan::EnumNames<yuccaspan::gateway::EndReason>
{
    using Reason = yuccaspan::gateway::EndReason;
    static constexpr std::array<EnumName<Reason>, 14> table{{
        {Reason::Answered, "answered"},
        {Reason::NotReady, "not-ready"},
        {Reason::NoRoute, "no-route"},
        {Reason::NoOwner, "no-owner"},
        {Reason::KeyMoving, "key-moving"},
        {Reason::NoTarget, "no-target"},
        {Reason::OwnerLeaves, "owner-leaves"},
        {Reason::TargetLost, "target-lost"},
        {Reason::Overloaded, "overloaded"},
        {Reason::TargetFull, "target-full"},
        {Reason::Misdirected, "misdirected"},
        {Reason::Broken, "broken"},
        {Reason::TimedOut, "timed-out"},
        {Reason::CallerGone, "caller-gone"},
    }};
};

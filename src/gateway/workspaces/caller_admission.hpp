/// \file
/// \brief Decides whether a caller's key admits its request.
#pragma once

#include "gateway/request_flow.hpp"

#include <optional>

namespace yuccaspan::gateway {

/// \brief A rejection of a request before a target is chosen.
struct Rejection
{
    http::status status = http::status::service_unavailable;
    EndReason reason = EndReason::NotReady;
    Duration retryDelay{}; ///< Zero: the caller should not retry.
};

/// \brief Finds the workspace of a request by its key, and takes the request from its allowance.
///
/// Does nothing if the desired state has no workspaces. Otherwise the key does not leave this
/// instance: the target gets the name of the workspace in its place.
/// \param flow Request with a route; gets its workspace and priority.
/// \returns The rejection, or nothing if the request may go on.
[[nodiscard]] std::optional<Rejection> admitCaller(Gateway &gateway, Flow &flow);

} // namespace yuccaspan::gateway

/// \file
/// \brief Selects the target of a request.
#pragma once

#include "gateway/request_flow.hpp"

#include <memory>
#include <vector>

namespace yuccaspan::gateway {

/// \brief The decision to send, wait or reject.
struct TargetChoice
{
    enum class Kind {
        Send, ///< Send to target now.
        Wait, ///< Wait in the target's or service's lane for capacity or a change of the shard map.
        Reject, ///< The request cannot be served in time.
    };
    Kind kind = Kind::Reject;
    std::shared_ptr<LiveTarget> target; ///< Target to send to, or whose lane to wait in.
    EndReason reason = EndReason::NoTarget; ///< Why the request waits or is rejected.
    Duration retryDelay{}; ///< Retry delay for the caller after a rejection.
    Duration recheckAfter{}; ///< Longest wait until the next choice.
    TimePoint sendBefore = TimePoint::max(); ///< Latest time of sending.
};

/// \brief Chooses a target from the current state of the instance.
/// \param tried Targets that already failed this request; used only if no other has room.
[[nodiscard]] TargetChoice chooseTarget(Gateway &gateway, Flow &flow,
                                        const std::vector<std::string> &tried);

} // namespace yuccaspan::gateway

/// \file
/// \brief Where a request may be sent now.
#pragma once

#include "gateway/request_flow.hpp"

#include <memory>
#include <vector>

namespace yuccaspan::gateway {

/// \brief A target to send to, a wait, or a rejection.
struct TargetChoice
{
    enum class Kind {
        Send, ///< Send to target now.
        Wait, ///< Wait in the lane, or for a change of the map.
        Reject, ///< It cannot be served in time.
    };
    Kind kind = Kind::Reject;
    std::shared_ptr<LiveTarget> target; ///< To send to, or whose lane to wait in.
    EndReason reason = EndReason::NoTarget; ///< Why it waits or is rejected.
    Duration pause{}; ///< When to come back after a rejection.
    Duration lookAgain{}; ///< Longest wait until the next look.
    TimePoint sendBefore = TimePoint::max(); ///< It must not be sent later.
};

/// \brief Chooses by the facts that the instance has now.
/// \param tried Targets that did not take the request; passed over where any other will do.
[[nodiscard]] TargetChoice chooseTarget(Gateway &gateway, Flow &flow,
                                        const std::vector<std::string> &tried);

} // namespace yuccaspan::gateway

/// \file
/// \brief What a target says of itself in its answers.
#pragma once

#include <optional>

namespace yuccaspan::gateway {

/// \brief What a target asks of its callers in one answer.
struct TargetSignals
{
    /// Most requests a second that it takes, from all instances together; as long as it says so.
    std::optional<double> maxPerSecond;
    bool unreadable = false; ///< A field was sent more than once or with an invalid value.

    [[nodiscard]] friend bool operator==(const TargetSignals &, const TargetSignals &) = default;
};

} // namespace yuccaspan::gateway

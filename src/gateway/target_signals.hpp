/// \file
/// \brief What a target says of itself in its answers.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/enum_names.hpp"

#include <array>
#include <optional>

namespace yuccaspan::gateway {

/// \brief What a target answered.
enum class AnswerSource {
    Request, ///< A request of a caller.
    Order, ///< A grant or a release.
};

/// \brief What a target asks of its callers in one answer.
struct TargetSignals
{
    bool leaving = false; ///< It shuts down soon and must get no new request.
    std::optional<Duration> pause; ///< It takes no request from this instance for so long.
    /// Most requests a second that it takes, from all instances together; as long as it says so.
    std::optional<double> maxPerSecond;
    bool unreadable = false; ///< A field was sent more than once or with an invalid value.

    [[nodiscard]] friend bool operator==(const TargetSignals &, const TargetSignals &) = default;
};

} // namespace yuccaspan::gateway

/// \brief Names of the sources, as logged.
template <>
struct yuccaspan::EnumNames<yuccaspan::gateway::AnswerSource>
{
    using Source = yuccaspan::gateway::AnswerSource;
    static constexpr std::array<EnumName<Source>, 2> table{{
        {Source::Request, "request"},
        {Source::Order, "order"},
    }};
};

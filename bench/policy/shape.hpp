/// \file
/// \brief The users' deployments, one service at a time.
#pragma once

#include "yuccaspan/settings.hpp"

#include <string>
#include <vector>

namespace yuccaspan::bench {

/// \brief A kind of request and its share of the arrivals.
struct KindShape
{
    RequestRule rule; ///< Repeatable, worth and deadline.
    double part = 1; ///< Part of all requests.
    Duration serviceTime{}; ///< Mean slot time.
};

/// \brief A service of one user, with the platform around it.
struct Shape
{
    std::string name; ///< As in "kigali/depot-stock".
    std::uint32_t zones = 3; ///< Availability zones.
    Duration zoneLink{}; ///< One way between zones.
    ServiceSettings service; ///< Targets and limits.
    std::vector<KindShape> kinds; ///< Mix of requests.
    Duration connectCost{}; ///< Slot time of a new connection.
    Duration probeCost{}; ///< Slot time of a probe.
    std::uint32_t keys = 0; ///< Number of keys.
    double zipfExponent = 0; ///< Exponent of the key load.

    /// \brief Name of a zone by index.
    [[nodiscard]] static ZoneId zoneId(std::uint32_t index)
    {
        return ZoneId("zone-" + std::to_string(index));
    }
    /// \brief Slots of all targets.
    [[nodiscard]] double slots() const;
    /// \brief Mean slot time of a request, in seconds.
    [[nodiscard]] double meanServiceSeconds() const;
};

/// \brief Every shape: both services of both users.
[[nodiscard]] const std::vector<Shape> &allShapes();

} // namespace yuccaspan::bench

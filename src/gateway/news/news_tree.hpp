/// \file
/// \brief Who follows the store itself, and who hears its news from whom.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace yuccaspan::gateway {

/// \brief Instances of each availability zone that follow the store themselves.
inline constexpr std::size_t newsReadersPerZone = 2;
/// \brief Instances that hear from one instance while all are well.
inline constexpr std::size_t newsFanOut = 8;

/// \brief Place of an instance in the tree of its availability zone.
struct NewsPlace
{
    bool reader = true; ///< Follows the store itself.
    std::vector<std::string> parents; ///< Whom it asks, in this order.
};

/// \brief The place of an instance among those of its availability zone.
///
/// Follows from the names alone, so that nothing is elected. Each layer has `newsFanOut` times the
/// places of the one above, dealt evenly; both parents are of the layer above, so that one view
/// has no cycle but that of the readers. These ask each other, so that one that is cut from the
/// store still has news for its children. Two views may have one; the age of the news grows in it
/// until it is left.
/// \param zone Names of the instances of the zone, in any order.
[[nodiscard]] NewsPlace newsPlace(std::vector<std::string> zone, const std::string &self);

/// \brief A hash of a name, equal in all instances.
[[nodiscard]] std::size_t newsHash(const std::string &name) noexcept;

} // namespace yuccaspan::gateway

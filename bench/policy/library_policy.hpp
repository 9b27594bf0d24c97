/// \file
/// \brief The policy of the library: gates, budgets, balancer, shares.
#pragma once

#include "routing_policy.hpp"

#include <memory>

namespace yuccaspan::bench {

/// \brief Creates the library's policy.
[[nodiscard]] std::unique_ptr<RoutingPolicy> makeLibraryPolicy();

} // namespace yuccaspan::bench

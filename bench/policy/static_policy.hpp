/// \file
/// \brief The baseline: static hashing with fixed timeouts.
#pragma once

#include "routing_policy.hpp"

#include <memory>

namespace yuccaspan::bench {

/// \brief Creates the baseline policy.
///
/// A key's target is its hash modulo the number of targets that the settings allow. Attempts time
/// out after a fixed span; repeatable requests are tried up to three times.
[[nodiscard]] std::unique_ptr<RoutingPolicy> makeStaticPolicy();

} // namespace yuccaspan::bench

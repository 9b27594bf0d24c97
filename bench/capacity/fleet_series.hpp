/// \file
/// \brief Series about placement cores at work.
#pragma once

#include "capacity/series.hpp"

#include <vector>

namespace yuccaspan::bench {

/// \brief Measures processor time, messages and store calls as targets and instances grow.
[[nodiscard]] std::vector<Series> measureFleet();

} // namespace yuccaspan::bench

/// \file
/// \brief Series about records, messages, routes, gates and settings.
#pragma once

#include "capacity/series.hpp"

#include <vector>

namespace yuccaspan::bench {

/// \brief Measures the sizes and costs of data that grows with slices, members and targets.
[[nodiscard]] std::vector<Series> measureData();

} // namespace yuccaspan::bench

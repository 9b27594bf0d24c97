/// \file
/// \brief Chooses where to split a slice.
#pragma once

#include "placement_policy/cell_model.hpp"

#include <optional>

namespace yuccaspan::impl {

/// \brief Chooses a split point so that one part carries about the wanted load.
///
/// Known hot keys are split off first, so that a hot key gets its own slice; the rest of the load
/// is assumed to be spread evenly.
/// \param slice The slice.
/// \param wanted Load of one part, in slots.
/// \returns First hash of the upper part, or nothing if the slice is a single key.
[[nodiscard]] std::optional<KeyHash> splitPosition(const ModelSlice &slice, double wanted);

} // namespace yuccaspan::impl

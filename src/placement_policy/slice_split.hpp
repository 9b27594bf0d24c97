/// \file
/// \brief Chooses where to cut a slice.
#pragma once

#include "placement_policy/cell_model.hpp"

#include <optional>

namespace yuccaspan::impl {

/// \brief Chooses a cut so that one part carries about the wanted load.
///
/// Known hot keys are cut off first, so that a hot key ends up in a slice of its own; the rest of
/// the load is taken to be spread evenly.
/// \param slice The slice.
/// \param wanted Load of one part, in slots.
/// \returns First hash of the upper part, or nothing if the slice is one key.
[[nodiscard]] std::optional<KeyHash> splitPosition(const ModelSlice &slice, double wanted);

} // namespace yuccaspan::impl

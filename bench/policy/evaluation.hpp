/// \file
/// \brief Turns a run's record into figures and holds them against their bounds.
#pragma once

#include "measures.hpp"
#include "scenario.hpp"
#include "shape.hpp"

#include <string>
#include <vector>

namespace yuccaspan::bench {

/// \brief How a figure is held against its bound.
enum class BoundKind {
    None, ///< Reported only.
    AtMost, ///< Must not be larger.
    AtLeast, ///< Must not be smaller.
};

/// \brief One measured figure.
struct Figure
{
    std::string name; ///< What it is.
    double value = 0; ///< Its value.
    BoundKind kind = BoundKind::None; ///< How it is judged.
    double bound = 0; ///< The bound.

    /// \brief Whether the bound is kept.
    [[nodiscard]] bool isMet() const noexcept
    {
        return kind == BoundKind::None
            || (kind == BoundKind::AtMost ? value <= bound : value >= bound);
    }
    /// \brief Whether this value is worse than another of the same figure.
    [[nodiscard]] bool isWorseThan(const Figure &other) const noexcept
    {
        return kind == BoundKind::AtLeast ? value < other.value : value > other.value;
    }
};

/// \brief Takes the figures of one run.
[[nodiscard]] std::vector<Figure> evaluate(const Shape &shape, const Scenario &scenario,
                                           const RunRecord &record);

} // namespace yuccaspan::bench

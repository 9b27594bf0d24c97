/// \file
/// \brief Reports of all runs: a table, JSON, an SVG picture of the time lines.
#pragma once

#include "evaluation.hpp"

#include <ostream>
#include <string>
#include <vector>

namespace yuccaspan::bench {

/// \brief A run under the library's policy and the same run under the baseline.
struct RunPair
{
    std::string shape; ///< Name of the shape.
    std::string scenario; ///< Name of the scenario.
    std::string title; ///< Title of the scenario.
    std::uint64_t seed = 0; ///< Seed of both runs.
    std::vector<Figure> figures; ///< Of the library's policy.
    std::vector<Figure> baseline; ///< Of the baseline.
    std::vector<SecondRecord> seconds; ///< Time line of the library's policy.
    std::vector<SecondRecord> baselineSeconds; ///< Time line of the baseline.
};

/// \brief Writes the worst figures over all seeds as a table.
/// \returns Number of figures that miss their bound at some seed.
[[nodiscard]] std::size_t writeTable(std::ostream &out, const std::vector<RunPair> &pairs);
/// \brief Writes every figure of every run as JSON.
void writeJson(std::ostream &out, const std::vector<RunPair> &pairs);
/// \brief Draws the time lines of the first seed.
void writeSvg(std::ostream &out, const std::vector<RunPair> &pairs);

} // namespace yuccaspan::bench

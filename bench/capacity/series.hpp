/// \file
/// \brief A measured quantity at several sizes, and the line fitted through it.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace yuccaspan::bench {

/// \brief One measured point.
struct Point
{
    double size = 0; ///< What was varied.
    double value = 0; ///< What was measured.
};

/// \brief A line value = intercept + slope * size.
struct Fit
{
    double intercept = 0; ///< Value at size 0.
    double slope = 0; ///< Growth for each unit of size.
    double rSquared = 0; ///< Share of the variance explained, 0 to 1.
};

/// \brief A quantity measured at several sizes.
struct Series
{
    std::string name; ///< What is measured.
    std::string sizeUnit; ///< Unit of the sizes.
    std::string valueUnit; ///< Unit of the values.
    std::vector<Point> points; ///< At three sizes or more.
};

/// \brief Fits a line by least squares.
/// \param points At least two points with different sizes.
[[nodiscard]] Fit fitLine(const std::vector<Point> &points);

/// \brief Measures the processor time of this thread, in microseconds, that a function takes.
template <typename F>
[[nodiscard]] double processorMicroseconds(F &&function);

/// \brief Processor time of this thread in microseconds.
[[nodiscard]] double threadMicroseconds();

/// \brief Bytes that are allocated on the heap now.
[[nodiscard]] double heapBytes();

template <typename F>
double processorMicroseconds(F &&function)
{
    const double before = threadMicroseconds();
    function();
    return threadMicroseconds() - before;
}

} // namespace yuccaspan::bench

#include "capacity/series.hpp"

#include <malloc.h>
#include <time.h>

namespace yuccaspan::bench {

Fit fitLine(const std::vector<Point> &points)
{
    const auto count = static_cast<double>(points.size());
    double meanSize = 0;
    double meanValue = 0;
    for (const Point &point : points) {
        meanSize += point.size / count;
        meanValue += point.value / count;
    }
    double sizeVariance = 0;
    double valueVariance = 0;
    double covariance = 0;
    for (const Point &point : points) {
        const double size = point.size - meanSize;
        const double value = point.value - meanValue;
        sizeVariance += size * size;
        valueVariance += value * value;
        covariance += size * value;
    }
    Fit fit;
    fit.slope = covariance / sizeVariance;
    fit.intercept = meanValue - fit.slope * meanSize;
    const bool flat = valueVariance == 0;
    fit.rSquared = flat ? 1 : covariance * covariance / (sizeVariance * valueVariance);
    return fit;
}

double threadMicroseconds()
{
    constexpr double microsecondsPerSecond = 1e6;
    constexpr double nanosecondsPerMicrosecond = 1e3;
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * microsecondsPerSecond
        + static_cast<double>(time.tv_nsec) / nanosecondsPerMicrosecond;
}

double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace yuccaspan::bench

#include "measures.hpp"

namespace yuccaspan::bench {

namespace {

/// \brief Mean load to capacity.
double meanRatio(const std::vector<TargetLoad> &loads)
{
    double load = 0;
    double capacity = 0;
    for (const TargetLoad &target : loads) {
        load += target.load;
        capacity += target.capacity;
    }
    return capacity > 0 ? load / capacity : 0;
}

} // namespace

double imbalanceOf(const std::vector<TargetLoad> &loads)
{
    const double mean = meanRatio(loads);
    double most = 0;
    for (const TargetLoad &target : loads) {
        if (target.capacity > 0)
            most = std::max(most, target.load / target.capacity);
    }
    return mean > 0 ? most / mean : 1;
}

double leastChurn(const std::vector<TargetLoad> &before, double imbalance)
{
    const double mean = meanRatio(before);
    double least = 0;
    for (const TargetLoad &target : before)
        least += std::max(0.0, target.load - imbalance * mean * target.capacity);
    return least;
}

} // namespace yuccaspan::bench

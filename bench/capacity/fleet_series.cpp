#include "capacity/fleet_series.hpp"

#include "capacity/fleet.hpp"

namespace yuccaspan::bench {

namespace {

constexpr Duration settleTime = std::chrono::seconds(5);
constexpr Duration calmTime = std::chrono::seconds(10);

FleetUse calmUse(const FleetSize &size)
{
    Fleet fleet(size);
    static_cast<void>(fleet.run(settleTime));
    return fleet.run(calmTime);
}

void addUse(std::vector<Series> &series, double size, const FleetUse &use)
{
    series[0].points.push_back({size, use.processorMicroseconds / use.seconds});
    series[1].points.push_back({size, use.peerMessages / use.seconds});
    series[2].points.push_back({size, use.peerBytes / use.seconds});
    series[3].points.push_back({size, use.orders / use.seconds});
    series[4].points.push_back({size, use.storeCalls / use.seconds});
}

std::vector<Series> emptySeries(const std::string &what, const std::string &unit)
{
    return {{"placement cores, processor time, " + what, unit, "microseconds a second", {}},
            {"messages between instances, " + what, unit, "messages a second", {}},
            {"bytes between instances, " + what, unit, "bytes a second", {}},
            {"orders to targets, " + what, unit, "orders a second", {}},
            {"store calls in calm, " + what, unit, "calls a second", {}}};
}

} // namespace

std::vector<Series> measureFleet()
{
    std::vector<Series> byTargets = emptySeries("3 instances", "targets");
    for (const std::uint32_t targets : {10U, 40U, 100U, 200U})
        addUse(byTargets, targets, calmUse({3, targets, 8, 1}));
    std::vector<Series> byInstances = emptySeries("40 targets", "instances");
    for (const std::uint32_t instances : {2U, 3U, 5U, 10U, 20U})
        addUse(byInstances, instances, calmUse({instances, 40, 8, 1}));
    byTargets.insert(byTargets.end(), byInstances.begin(), byInstances.end());
    return byTargets;
}

} // namespace yuccaspan::bench

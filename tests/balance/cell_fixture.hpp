/// \file
/// \brief Fixture with one cell whose planned changes take effect at once.
#pragma once

#include "naive/balance_reference.hpp"

#include "yuccaspan/balancer.hpp"

#include <string>
#include <vector>

namespace yuccaspan::test {

/// \brief A cell in zone "home", its targets, and a load that does not change with splits.
class CellFixture
{
public:
    CellFixture(std::uint32_t homeTargets, std::uint32_t otherTargets,
                std::uint32_t slicesPerTarget)
        : m_balancer(makeBalancer())
    {
        for (std::uint32_t index = 0; index < homeTargets + otherTargets; ++index) {
            BalanceTarget target;
            target.id = TargetId("t" + std::to_string(index));
            target.zone = ZoneId(index < homeTargets ? "home" : "other");
            target.capacity = 6;
            target.otherLoad = 0;
            targets.push_back(target);
        }
        record.cell = {ServiceName("s"), ZoneId("home"), 0};
        record.slices = initialSlices(record.range, ZoneId("home"), targets, slicesPerTarget);
    }

    /// \brief Sets the requests per second of each slice, in order; missing ones are 0.
    void setLoads(const std::vector<double> &rates)
    {
        loads.clear();
        for (std::size_t index = 0; index < record.slices.size(); ++index) {
            const double rate = index < rates.size() ? rates[index] : 0;
            loads.push_back({record.slices[index].range, rate, rate * 0.01});
        }
    }
    [[nodiscard]] BalanceInput input() const
    {
        BalanceInput result;
        result.record = &record;
        result.targets = targets;
        result.loads = loads;
        return result;
    }
    /// \brief Plans once and applies all changes; returns the plan.
    std::vector<PlannedChange> step()
    {
        now += std::chrono::milliseconds(100);
        const auto changes = m_balancer->plan(input(), now);
        for (const PlannedChange &change : changes)
            apply(change);
        return changes;
    }
    /// \brief Runs several planning steps; returns the number of moves.
    std::size_t run(int steps)
    {
        std::size_t moves = 0;
        for (int index = 0; index < steps; ++index) {
            for (const PlannedChange &change : step())
                moves += std::holds_alternative<PlannedMove>(change) ? 1 : 0;
        }
        return moves;
    }
    [[nodiscard]] std::size_t ownedBy(std::size_t target) const
    {
        return static_cast<std::size_t>(
            std::count_if(record.slices.begin(), record.slices.end(),
                          [&](const auto &slice) { return slice.owner == targets[target].id; }));
    }
    /// \brief Highest utilization of the usable targets, relative to their mean.
    [[nodiscard]] double imbalance() const
    {
        const auto byTarget = naive::loadOfTargets(input());
        double worst = 0;
        double total = 0;
        double capacity = 0;
        for (const BalanceTarget &target : targets) {
            const double load = byTarget.at(target.id);
            total += load;
            capacity += target.usable ? target.capacity : 0;
            worst = std::max(worst, load / target.capacity);
        }
        return total > 0 ? worst / (total / capacity) : 1;
    }

    CellRecord record;
    std::vector<BalanceTarget> targets;
    std::vector<SliceLoad> loads;
    TimePoint now{std::chrono::seconds(1)};

private:
    void apply(const PlannedChange &change)
    {
        if (const auto *move = std::get_if<PlannedMove>(&change)) {
            for (SliceRecord &slice : record.slices) {
                if (slice.range == move->range)
                    slice.owner = move->to;
            }
            return;
        }
        if (const auto *split = std::get_if<PlannedSplit>(&change))
            return splitSlice(*split);
        const auto &merge = std::get<PlannedMerge>(change);
        for (std::size_t index = 0; index + 1 < record.slices.size(); ++index) {
            if (record.slices[index].range != merge.lower)
                continue;
            record.slices[index].range.last = merge.upper.last;
            loads[index].range.last = merge.upper.last;
            loads[index].requestsPerSecond += loads[index + 1].requestsPerSecond;
            loads[index].busySlots += loads[index + 1].busySlots;
            record.slices.erase(record.slices.begin() + static_cast<std::ptrdiff_t>(index) + 1);
            loads.erase(loads.begin() + static_cast<std::ptrdiff_t>(index) + 1);
        }
    }
    // The load is spread evenly over the range of a slice.
    void splitSlice(const PlannedSplit &split)
    {
        for (std::size_t index = 0; index < record.slices.size(); ++index) {
            if (record.slices[index].range != split.range)
                continue;
            SliceRecord upper = record.slices[index];
            SliceLoad upperLoad = loads[index];
            const double part =
                KeyRange{split.range.first, split.secondFirst - 1}.share() / split.range.share();
            record.slices[index].range.last = split.secondFirst - 1;
            upper.range.first = split.secondFirst;
            upperLoad.range = upper.range;
            upperLoad.requestsPerSecond *= 1 - part;
            upperLoad.busySlots *= 1 - part;
            loads[index].range = record.slices[index].range;
            loads[index].requestsPerSecond *= part;
            loads[index].busySlots *= part;
            const auto next = static_cast<std::ptrdiff_t>(index) + 1;
            record.slices.insert(record.slices.begin() + next, upper);
            loads.insert(loads.begin() + next, upperLoad);
            return;
        }
    }

    std::unique_ptr<Balancer> m_balancer;
};

} // namespace yuccaspan::test

// Lays out a new cell over two targets, loads one slice, and prints what the balancer plans.
#include <yuccaspan/balancer.hpp>

#include <iostream>
#include <variant>

namespace {

using namespace yuccaspan;

BalanceTarget makeTarget(const char *name)
{
    BalanceTarget target;
    target.id = TargetId(name);
    target.zone = ZoneId("a");
    target.capacity = 6;
    return target;
}

void print(const PlannedChange &change)
{
    if (const auto *move = std::get_if<PlannedMove>(&change))
        std::cout << "move " << move->range << " to " << move->to << ": " << move->why << '\n';
    else if (const auto *split = std::get_if<PlannedSplit>(&change))
        std::cout << "split " << split->range << '\n';
    else
        std::cout << "merge\n";
}

/// The first target's slices are to move once it can no longer be used.
bool movesOffUnusableTarget(const CellRecord &record, std::vector<BalanceTarget> targets)
{
    targets.front().usable = false;
    BalanceInput input;
    input.record = &record;
    input.targets = targets;
    const auto changes = makeBalancer()->plan(input, TimePoint(std::chrono::seconds(1)));
    for (const PlannedChange &change : changes)
        print(change);
    const auto *move = changes.empty() ? nullptr : std::get_if<PlannedMove>(&changes.front());
    return move != nullptr && move->to == targets.back().id;
}

} // namespace

int main()
{
    const std::vector<BalanceTarget> targets{makeTarget("peg-1"), makeTarget("peg-2")};
    CellRecord record;
    record.cell = {ServiceName("peg-ledger"), ZoneId("a"), 0};
    record.slices = initialSlices(record.range, ZoneId("a"), targets, 4);
    if (record.slices.empty() || record.slices.front().owner.empty())
        return 1;
    std::cout << record.slices.size() << " slices\n";
    return movesOffUnusableTarget(record, targets) ? 0 : 1;
}

#include "placement_policy/cell_model.hpp"

#include <algorithm>

namespace yuccaspan::impl {

namespace {

/// Assumed slot time of a request before any is measured, in seconds.
constexpr double assumedSecondsPerRequest = 0.01;
/// Load of the whole key space that is added, so that idle slices are spread as well.
constexpr double idleLoad = 0.01;
/// Lowest capacity in the model, to keep ratios finite.
constexpr double minCapacity = 0.01;

/// \brief Slot time of a request: the lower quartile over slices, which slow targets hardly affect.
[[nodiscard]] double typicalSecondsPerRequest(const std::vector<SliceLoad> &loads)
{
    std::vector<double> samples;
    for (const SliceLoad &load : loads) {
        if (load.requestsPerSecond > 0 && load.busySlots > 0)
            samples.push_back(load.busySlots / load.requestsPerSecond);
    }
    if (samples.empty())
        return assumedSecondsPerRequest;
    constexpr std::size_t quartile = 4;
    const auto middle = samples.begin() + static_cast<std::ptrdiff_t>(samples.size() / quartile);
    std::nth_element(samples.begin(), middle, samples.end());
    return *middle;
}

} // namespace

CellModel::CellModel(const BalanceInput &input, const std::vector<double> &capacity)
{
    addTargets(input, capacity);
    addSlices(*input.record);
    addLoads(input);
    for (const ModelSlice &slice : slices) {
        totalLoad += slice.load;
        if (slice.owner != noTarget)
            targets[slice.owner].load += slice.load;
    }
}

void CellModel::addTargets(const BalanceInput &input, const std::vector<double> &capacity)
{
    for (std::size_t index = 0; index < input.targets.size(); ++index) {
        const BalanceTarget &source = input.targets[index];
        ModelTarget target;
        target.id = source.id;
        target.home = source.zone == input.record->cell.zone;
        target.usable = source.usable;
        target.warm = !source.cold;
        target.capacity = std::max(minCapacity, capacity[index]);
        target.otherLoad = source.otherLoad.value_or(0);
        target.otherLoadKnown = source.otherLoad.has_value();
        target.load = target.otherLoad;
        targets.push_back(target);
        m_indexes.emplace(source.id, index);
    }
}

void CellModel::addSlices(const CellRecord &record)
{
    for (const SliceRecord &source : record.slices) {
        ModelSlice slice;
        slice.range = source.range;
        slice.moving = source.phase == SlicePhase::Moving;
        slice.owner = indexOf(slice.moving ? source.nextOwner : source.owner);
        slices.push_back(slice);
    }
}

void CellModel::addLoads(const BalanceInput &input)
{
    secondsPerRequest = typicalSecondsPerRequest(input.loads);
    for (ModelSlice &slice : slices)
        slice.load = idleLoad * slice.range.share();
    for (const SliceLoad &load : input.loads) {
        ModelSlice *slice = sliceOf(load.range);
        if (slice == nullptr)
            continue;
        const double slots = load.requestsPerSecond * secondsPerRequest;
        const bool isKey = load.range.first == load.range.last;
        if (isKey)
            slice->hotKeys.push_back({load.range.first, slots});
        if (!isKey || slice->range == load.range)
            slice->load += slots;
    }
    const auto before = [](const HotKey &left, const HotKey &right) {
        return left.hash < right.hash;
    };
    for (ModelSlice &slice : slices)
        std::sort(slice.hotKeys.begin(), slice.hotKeys.end(), before);
}

std::size_t CellModel::indexOf(const TargetId &id) const
{
    const auto found = m_indexes.find(id);
    return found == m_indexes.end() ? noTarget : found->second;
}

ModelSlice *CellModel::sliceOf(const KeyRange &range) noexcept
{
    const auto after = std::upper_bound(
        slices.begin(), slices.end(), range.first,
        [](KeyHash hash, const ModelSlice &slice) { return hash < slice.range.first; });
    if (after == slices.begin())
        return nullptr;
    ModelSlice &slice = *std::prev(after);
    return slice.range.contains(range.first) ? &slice : nullptr;
}

void CellModel::move(std::size_t slice, std::size_t target) noexcept
{
    ModelSlice &moved = slices[slice];
    if (moved.owner != noTarget)
        targets[moved.owner].load -= moved.load;
    moved.owner = target;
    moved.moving = true;
    targets[target].load += moved.load;
}

std::size_t CellModel::leastLoaded(double load, bool onlyHome) const noexcept
{
    std::size_t best = noTarget;
    double bestRatio = 0;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const ModelTarget &target = targets[index];
        const double ratio = (target.load + load) / target.capacity;
        if (target.eligible && (target.home || !onlyHome)
            && (best == noTarget || ratio < bestRatio)) {
            best = index;
            bestRatio = ratio;
        }
    }
    return best;
}

double CellModel::meanRatio() const noexcept
{
    double load = 0;
    double capacity = 0;
    for (const ModelTarget &target : targets) {
        load += target.eligible ? target.load : 0;
        capacity += target.eligible ? target.capacity : 0;
    }
    return capacity > 0 ? load / capacity : 0;
}

} // namespace yuccaspan::impl

/// Plans the changes of one cell: unusable owners first, then imbalance, then merges.
#include "placement_policy/capacity_tracker.hpp"
#include "placement_policy/cell_model.hpp"
#include "placement_policy/slice_split.hpp"

#include "yuccaspan/balancer.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace yuccaspan {

namespace impl {

namespace {

/// Rebalancing starts when a target's utilization exceeds the mean by this factor.
constexpr double rebalanceTrigger = 1.2;
/// Rebalancing continues until no target exceeds the mean by this factor.
constexpr double rebalanceGoal = 1.12;
/// Time that an overload must last before rebalancing, to ignore noise and partly reported shifts.
constexpr Duration rebalanceDelay = std::chrono::milliseconds(2000);
/// Cells rebalance in turns, so that they do not all choose the same new owner at once.
constexpr Duration turnLength = std::chrono::milliseconds(250);
constexpr std::size_t turns = 6;
/// A target receives no slice that would raise it above the mean by this factor.
constexpr double receiverLimit = 1.08;
/// A slice that exceeds the load to be moved by this factor is split first.
constexpr double splitFactor = 1.4;
/// A move of less than this fraction of the excess is skipped if a slice can be split instead.
constexpr double minMoveFraction = 0.5;
/// Minimum time between two moves of a slice for balance.
constexpr Duration moveCooldown = std::chrono::seconds(5);
/// Smallest excess load that justifies a move, in slots.
constexpr double minRebalanceLoad = 0.2;
/// Slices are merged when there are more than this many per target.
constexpr std::size_t mergeSlicesPerTarget = 24;
/// Slices below this fraction of the mean slice load are merged.
constexpr double mergeLoadFactor = 0.5;
/// Other zones help when the home zone's utilization exceeds that of all zones by this factor.
constexpr double spilloverTrigger = 1.15;
/// The same while a target of the home zone is lost, slow or starting.
constexpr double spilloverTriggerUnhealthy = 1.08;
/// Help from other zones ends below this factor.
constexpr double spilloverEnd = 1.03;
/// While other zones help, slices return to home targets that stay below the mean by this factor.
constexpr double returnLimit = 0.95;
/// They return once a home target's utilization is below the mean by this factor.
constexpr double idleFactor = 0.5;
/// Time that the home zone must need no help before slices return.
constexpr Duration spilloverEndDelay = std::chrono::seconds(2);
/// Utilization up to which the home zone needs no help.
constexpr double spilloverMinRatio = 0.5;

} // namespace

/// \brief The plan under construction.
struct PlanDraft
{
    const BalanceInput &input;
    CellModel model;
    TimePoint now;
    std::vector<PlannedChange> changes;
    std::uint32_t movesLeft = 0;
    std::size_t slicesLeft = 0;
    std::set<std::size_t> resized; ///< Slices that are split or merged in this plan.
};

class CellBalancer final : public Balancer
{
public:
    [[nodiscard]] std::vector<PlannedChange> plan(const BalanceInput &input,
                                                  TimePoint now) override;

private:
    void chooseEligible(CellModel &model, TimePoint now);
    [[nodiscard]] bool shouldSpillOver(const CellModel &model, TimePoint now);
    void evacuate(PlanDraft &draft);
    [[nodiscard]] static std::string evacuationReason(const CellModel &model, std::size_t slice);
    void returnHome(PlanDraft &draft);
    void rebalance(PlanDraft &draft);
    [[nodiscard]] static bool isTurnOf(const CellId &cell, TimePoint now);
    [[nodiscard]] bool shouldRebalance(double excessFactor, TimePoint now);
    [[nodiscard]] bool rebalanceOnce(PlanDraft &draft, std::size_t hottest, double mean);
    [[nodiscard]] static double largestHeadroom(const CellModel &model, std::size_t except,
                                                double mean);
    [[nodiscard]] static bool fits(const CellModel &model, std::size_t slice, double mean);
    [[nodiscard]] bool splitToFit(PlanDraft &draft, std::size_t slice, double wanted);
    void merge(PlanDraft &draft) const;
    void planMove(PlanDraft &draft, std::size_t slice, std::size_t target, std::string why);
    [[nodiscard]] bool recentlyMoved(const KeyRange &range, TimePoint now) const;
    void forgetOldMoves(TimePoint now);

    CapacityTracker m_capacity;
    std::map<KeyRange, TimePoint> m_moved;
    bool m_rebalancing = false;
    bool m_spillingOver = false;
    bool m_returning = false; ///< Whether slices are returning to an idle home zone.
    TimePoint m_helpNeededAt; ///< When the home zone last needed other zones.
    TimePoint m_balancedAt; ///< When last no target was overloaded.
};

std::vector<PlannedChange> CellBalancer::plan(const BalanceInput &input, TimePoint now)
{
    forgetOldMoves(now);
    PlanDraft draft{input, CellModel(input, m_capacity.update(input.targets, now)), now, {}, 0, 0,
                    {}};
    draft.movesLeft =
        input.maxMoves > input.movesUnderWay ? input.maxMoves - input.movesUnderWay : 0;
    const std::size_t slices = input.record->slices.size();
    draft.slicesLeft = input.maxSlices > slices ? input.maxSlices - slices : 0;
    for (ModelTarget &target : draft.model.targets) {
        target.warm = !m_capacity.isCold(target.id);
        target.slow = m_capacity.isSlow(target.id);
    }
    chooseEligible(draft.model, now);
    evacuate(draft);
    returnHome(draft);
    rebalance(draft);
    merge(draft);
    return std::move(draft.changes);
}

bool CellBalancer::shouldSpillOver(const CellModel &model, TimePoint now)
{
    // Load of the home zone if it kept all slices; target health only limits the capacity.
    double homeLoad = model.totalLoad;
    double homeCapacity = 0;
    double allLoad = model.totalLoad;
    double allCapacity = 0;
    bool homeIsHealthy = true;
    bool othersAreKnown = true;
    for (const ModelTarget &target : model.targets) {
        if (!target.usable || !target.isHealthy()) {
            homeIsHealthy = homeIsHealthy && !target.home;
            continue;
        }
        othersAreKnown = othersAreKnown && (target.home || target.otherLoadKnown);
        allLoad += target.otherLoad;
        allCapacity += target.capacity;
        homeLoad += target.home ? target.otherLoad : 0;
        homeCapacity += target.home ? target.capacity : 0;
    }
    const double begin = homeIsHealthy ? spilloverTrigger : spilloverTriggerUnhealthy;
    const double factor = m_spillingOver ? spilloverEnd : begin;
    const double homeRatio = homeCapacity > 0 ? homeLoad / homeCapacity : HUGE_VAL;
    // Targets of unknown load are used only if the home zone has no healthy one.
    const bool mayHelp = allCapacity > 0 && (othersAreKnown || homeCapacity <= 0);
    const bool needsHelp =
        mayHelp && homeRatio > spilloverMinRatio && homeRatio > factor * allLoad / allCapacity;
    if (needsHelp)
        m_helpNeededAt = now;
    return needsHelp || (m_spillingOver && now - m_helpNeededAt < spilloverEndDelay);
}

void CellBalancer::chooseEligible(CellModel &model, TimePoint now)
{
    const auto mark = [&](auto accept) {
        bool any = false;
        for (ModelTarget &target : model.targets) {
            target.eligible = target.usable && accept(target);
            any = any || target.eligible;
        }
        return any;
    };
    m_spillingOver = shouldSpillOver(model, now);
    const auto warmHome = [](const ModelTarget &target) {
        return target.isHealthy() && target.home;
    };
    const auto warm = [](const ModelTarget &target) { return target.isHealthy(); };
    const auto home = [](const ModelTarget &target) { return target.home; };
    if (!m_spillingOver && mark(warmHome))
        return;
    if (mark(warm) || mark(home))
        return;
    mark([](const ModelTarget &) { return true; });
}

void CellBalancer::planMove(PlanDraft &draft, std::size_t slice, std::size_t target,
                            std::string why)
{
    const KeyRange range = draft.model.slices[slice].range;
    draft.changes.emplace_back(PlannedMove{range, draft.model.targets[target].id, std::move(why)});
    draft.model.move(slice, target);
    --draft.movesLeft;
    m_moved[range] = draft.now;
}

std::string CellBalancer::evacuationReason(const CellModel &model, std::size_t slice)
{
    const std::size_t owner = model.slices[slice].owner;
    if (owner == noTarget)
        return "slice has no owner";
    if (!model.targets[owner].usable)
        return "owner is not usable";
    return model.targets[owner].warm ? "owner is slow" : "owner is starting";
}

void CellBalancer::evacuate(PlanDraft &draft)
{
    CellModel &model = draft.model;
    std::vector<std::size_t> leaving;
    for (std::size_t index = 0; index < model.slices.size(); ++index) {
        const ModelSlice &slice = model.slices[index];
        const bool stays = slice.owner != noTarget && model.targets[slice.owner].usable
            && (model.targets[slice.owner].isHealthy() || model.targets[slice.owner].eligible);
        if (!stays && !slice.moving)
            leaving.push_back(index);
    }
    std::stable_sort(leaving.begin(), leaving.end(), [&](std::size_t left, std::size_t right) {
        return model.slices[left].load > model.slices[right].load;
    });
    for (const std::size_t slice : leaving) {
        const std::size_t target = model.leastLoaded(model.slices[slice].load);
        if (draft.movesLeft == 0 || target == noTarget)
            return;
        planMove(draft, slice, target, evacuationReason(model, slice));
    }
}

void CellBalancer::returnHome(PlanDraft &draft)
{
    CellModel &model = draft.model;
    const double mean = model.meanRatio();
    const bool homeIsIdle =
        std::any_of(model.targets.begin(), model.targets.end(), [&](const ModelTarget &target) {
            return target.eligible && target.home && target.ratio() < idleFactor * mean;
        });
    m_returning = homeIsIdle || (m_returning && draft.movesLeft < draft.input.maxMoves);
    if (m_spillingOver && !m_returning)
        return;
    for (std::size_t index = 0; index < model.slices.size(); ++index) {
        const ModelSlice &slice = model.slices[index];
        if (slice.moving || slice.owner == noTarget || model.targets[slice.owner].home
            || recentlyMoved(slice.range, draft.now))
            continue;
        const std::size_t target = model.leastLoaded(slice.load, true);
        if (draft.movesLeft == 0 || target == noTarget)
            return;
        const ModelTarget &home = model.targets[target];
        if (m_spillingOver && home.load + slice.load > returnLimit * mean * home.capacity)
            continue;
        planMove(draft, index, target, "home zone is back");
    }
}

bool CellBalancer::isTurnOf(const CellId &cell, TimePoint now)
{
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / turnLength) % turns;
    return hashKey(cell.zone.text() + '/' + std::to_string(cell.index)) % turns == turn;
}

void CellBalancer::rebalance(PlanDraft &draft)
{
    CellModel &model = draft.model;
    if (model.totalLoad < minRebalanceLoad)
        return;
    const double mean = model.meanRatio();
    while (draft.movesLeft > 0) {
        std::size_t hottest = noTarget;
        for (std::size_t index = 0; index < model.targets.size(); ++index) {
            const bool hotter = hottest == noTarget
                || model.targets[index].ratio() > model.targets[hottest].ratio();
            if (model.targets[index].eligible && hotter)
                hottest = index;
        }
        if (hottest == noTarget)
            return;
        if (!shouldRebalance(model.targets[hottest].ratio() / mean, draft.now)
            || !isTurnOf(draft.input.record->cell, draft.now)
            || !rebalanceOnce(draft, hottest, mean))
            return;
    }
}

bool CellBalancer::shouldRebalance(double excessFactor, TimePoint now)
{
    if (m_rebalancing) {
        m_rebalancing = excessFactor > rebalanceGoal;
        if (!m_rebalancing)
            m_balancedAt = now;
        return m_rebalancing;
    }
    if (excessFactor <= rebalanceTrigger)
        m_balancedAt = now;
    m_rebalancing = now - m_balancedAt >= rebalanceDelay;
    return m_rebalancing;
}

bool CellBalancer::rebalanceOnce(PlanDraft &draft, std::size_t hottest, double mean)
{
    CellModel &model = draft.model;
    const ModelTarget &source = model.targets[hottest];
    const double excess = source.load - rebalanceGoal * mean * source.capacity;
    const double wanted = std::min(excess, largestHeadroom(model, hottest, mean));
    if (wanted <= 0)
        return false;
    std::size_t best = noTarget; // the slice whose load is closest to the wanted load
    std::size_t smallestLarger = noTarget;
    const auto distance = [&](std::size_t which) {
        return std::abs(model.slices[which].load - wanted);
    };
    for (std::size_t index = 0; index < model.slices.size(); ++index) {
        const ModelSlice &slice = model.slices[index];
        if (slice.owner != hottest || slice.moving || draft.resized.contains(index)
            || recentlyMoved(slice.range, draft.now))
            continue;
        const bool larger = slice.load > splitFactor * wanted || !fits(model, index, mean);
        if (!larger && (best == noTarget || distance(index) < distance(best)))
            best = index;
        if (larger && slice.range.first != slice.range.last
            && (smallestLarger == noTarget || slice.load < model.slices[smallestLarger].load))
            smallestLarger = index;
    }
    const double fraction = best == noTarget ? 0 : model.slices[best].load / wanted;
    if (fraction < minMoveFraction && smallestLarger != noTarget
        && splitToFit(draft, smallestLarger, wanted))
        return false;
    if (best == noTarget)
        return false;
    planMove(draft, best, model.leastLoaded(model.slices[best].load), "target is overloaded");
    return true;
}

double CellBalancer::largestHeadroom(const CellModel &model, std::size_t except, double mean)
{
    double largest = 0;
    for (std::size_t index = 0; index < model.targets.size(); ++index) {
        const ModelTarget &target = model.targets[index];
        if (target.eligible && index != except)
            largest = std::max(largest, receiverLimit * mean * target.capacity - target.load);
    }
    return largest;
}

bool CellBalancer::fits(const CellModel &model, std::size_t slice, double mean)
{
    const double load = model.slices[slice].load;
    const std::size_t cool = model.leastLoaded(load);
    if (cool == noTarget || cool == model.slices[slice].owner)
        return false;
    const ModelTarget &target = model.targets[cool];
    return target.load + load <= receiverLimit * mean * target.capacity;
}

bool CellBalancer::splitToFit(PlanDraft &draft, std::size_t slice, double wanted)
{
    if (draft.slicesLeft == 0 || wanted <= 0)
        return false;
    const std::optional<KeyHash> position = splitPosition(draft.model.slices[slice], wanted);
    if (!position)
        return false;
    draft.changes.emplace_back(PlannedSplit{draft.model.slices[slice].range, *position});
    draft.resized.insert(slice);
    --draft.slicesLeft;
    return true;
}

void CellBalancer::merge(PlanDraft &draft) const
{
    const CellModel &model = draft.model;
    const std::size_t usable =
        std::count_if(model.targets.begin(), model.targets.end(),
                      [](const ModelTarget &target) { return target.eligible; });
    if (model.slices.size() <= mergeSlicesPerTarget * std::max<std::size_t>(1, usable))
        return;
    const double small =
        mergeLoadFactor * model.totalLoad / static_cast<double>(model.slices.size());
    for (std::size_t index = 0; index + 1 < model.slices.size(); ++index) {
        const ModelSlice &lower = model.slices[index];
        const ModelSlice &upper = model.slices[index + 1];
        const bool busy = lower.moving || upper.moving || draft.resized.contains(index)
            || draft.resized.contains(index + 1);
        if (busy || lower.owner != upper.owner || lower.load + upper.load > small)
            continue;
        draft.changes.emplace_back(PlannedMerge{lower.range, upper.range});
        return;
    }
}

bool CellBalancer::recentlyMoved(const KeyRange &range, TimePoint now) const
{
    const auto found = m_moved.find(range);
    return found != m_moved.end() && now - found->second < moveCooldown;
}

void CellBalancer::forgetOldMoves(TimePoint now)
{
    std::erase_if(m_moved, [&](const auto &entry) { return now - entry.second >= moveCooldown; });
}

} // namespace impl

std::unique_ptr<Balancer> makeBalancer()
{
    return std::make_unique<impl::CellBalancer>();
}

} // namespace yuccaspan

/// \file
/// \brief Plans moves, splits and merges of slices, and shares capacity between instances.
#pragma once

#include "yuccaspan/cell_record.hpp"
#include "yuccaspan/clock.hpp"
#include "yuccaspan/peer_message.hpp"
#include "yuccaspan/settings.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace yuccaspan {

/// \brief A target as the balancer sees it.
struct BalanceTarget
{
    TargetId id; ///< Its name.
    ZoneId zone; ///< Its availability zone.
    double capacity = 1; ///< Slots.
    bool usable = true; ///< May own slices: alive, not draining, zone in.
    bool cold = false; ///< Has just started.
    double slowdown = 1; ///< Worst slowdown that instances agree on; 1 is usual.
    Duration slowFor{}; ///< For how long it has been slow.
    std::optional<double> otherLoad; ///< Busy slots for other cells' slices, if known.
};

/// \brief Everything that a plan depends on.
struct BalanceInput
{
    const CellRecord *record = nullptr; ///< The cell; never null.
    std::vector<BalanceTarget> targets; ///< All targets of the service.
    std::vector<SliceLoad> loads; ///< Summed over instances; hot keys have first equal to last.
    std::uint32_t movesUnderWay = 0; ///< Moves that are not settled.
    std::uint32_t maxMoves = 8; ///< Bound on moves under way.
    std::uint32_t maxSlices = 4096; ///< Bound on slices.
};

/// \brief Give a slice another owner.
struct PlannedMove
{
    KeyRange range; ///< Which slice.
    TargetId to; ///< The next owner.
    std::string why; ///< Said in the log.
};

/// \brief Cut a slice in two.
struct PlannedSplit
{
    KeyRange range; ///< Which slice.
    KeyHash secondFirst = 0; ///< First hash of the upper part.
};

/// \brief Join two neighbouring slices of one owner.
struct PlannedMerge
{
    KeyRange lower; ///< The lower slice.
    KeyRange upper; ///< The upper slice.
};

/// \brief One planned change.
using PlannedChange = std::variant<PlannedMove, PlannedSplit, PlannedMerge>;

/// \brief Plans changes of one cell. Keeps a churn budget and hysteresis between calls.
class Balancer
{
public:
    Balancer() = default;
    Balancer(const Balancer &) = delete;
    Balancer &operator=(const Balancer &) = delete;
    virtual ~Balancer() = default;

    /// \brief Plans the next changes.
    /// \param input The present state.
    /// \param now The current time.
    /// \returns Changes, most urgent first: owners that are not usable come before imbalance.
    [[nodiscard]] virtual std::vector<PlannedChange> plan(const BalanceInput &input,
                                                          TimePoint now) = 0;
};

/// \brief Creates the balancer.
[[nodiscard]] std::unique_ptr<Balancer> makeBalancer();

/// \brief Cuts a cell's range into slices and gives each an owner, for a new cell.
/// \param range Range of the cell.
/// \param homeZone Preferred zone of the owners.
/// \param targets Targets of the service.
/// \param slicesPerTarget Slices for each target used.
/// \returns Slices in order, without tokens; without owners if no target is usable.
[[nodiscard]] std::vector<SliceRecord> initialSlices(KeyRange range, const ZoneId &homeZone,
                                                     const std::vector<BalanceTarget> &targets,
                                                     std::uint32_t slicesPerTarget);

/// \brief Divides one target's capacity between instances by their demand.
/// \param target The target.
/// \param demand Slots that each instance would use, by instance.
/// \returns A share for each instance named in `demand`; together at most the target's capacity.
[[nodiscard]] std::map<InstanceId, CapacityShare>
shareCapacity(const TargetSettings &target, const std::map<InstanceId, double> &demand);

} // namespace yuccaspan

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

/// \brief State of a target, as input of the balancer.
struct BalanceTarget
{
    TargetId id; ///< Its name.
    ZoneId zone; ///< Its availability zone.
    double capacity = 1; ///< Slots.
    bool usable = true; ///< May own slices: alive, not draining, zone in.
    bool cold = false; ///< Started recently.
    double slowdown = 1; ///< Highest slowdown that the instances agree on; 1 is usual.
    Duration slowFor{}; ///< How long it has been slow.
    std::optional<double> otherLoad; ///< Busy slots for other cells' slices, if known.
};

/// \brief Input of a plan.
struct BalanceInput
{
    const CellRecord *record = nullptr; ///< The cell; never null.
    std::vector<BalanceTarget> targets; ///< All targets of the service.
    std::vector<SliceLoad> loads; ///< Summed over instances; hot keys have first equal to last.
    std::uint32_t movesUnderWay = 0; ///< Moves in progress.
    std::uint32_t maxMoves = 8; ///< Limit of moves in progress.
    std::uint32_t maxSlices = 4096; ///< Limit of slices.
};

/// \brief Moves a slice to another owner.
struct PlannedMove
{
    KeyRange range; ///< The slice.
    TargetId to; ///< The next owner.
    std::string why; ///< Reason, for the log.
};

/// \brief Splits a slice in two.
struct PlannedSplit
{
    KeyRange range; ///< The slice.
    KeyHash secondFirst = 0; ///< First hash of the upper part.
};

/// \brief Merges two adjacent slices of one owner.
struct PlannedMerge
{
    KeyRange lower; ///< The lower slice.
    KeyRange upper; ///< The upper slice.
};

/// \brief One planned change.
using PlannedChange = std::variant<PlannedMove, PlannedSplit, PlannedMerge>;

/// \brief Plans changes of one cell. Keeps a churn budget and hysteresis state between calls.
class Balancer
{
public:
    Balancer() = default;
    Balancer(const Balancer &) = delete;
    Balancer &operator=(const Balancer &) = delete;
    virtual ~Balancer() = default;

    /// \brief Plans the next changes.
    /// \param input The current state.
    /// \param now The current time.
    /// \returns Changes, most urgent first: unusable owners come before imbalance.
    [[nodiscard]] virtual std::vector<PlannedChange> plan(const BalanceInput &input,
                                                          TimePoint now) = 0;
};

/// \brief Creates the balancer.
[[nodiscard]] std::unique_ptr<Balancer> makeBalancer();

/// \brief Divides the range of a new cell into slices and assigns their owners.
/// \param range Range of the cell.
/// \param homeZone Preferred zone of the owners.
/// \param targets Targets of the service.
/// \param slicesPerTarget Slices per target used.
/// \returns Slices in order, without tokens; without owners if no target is usable.
[[nodiscard]] std::vector<SliceRecord> initialSlices(KeyRange range, const ZoneId &homeZone,
                                                     const std::vector<BalanceTarget> &targets,
                                                     std::uint32_t slicesPerTarget);

/// \brief Divides a target's capacity between instances by their demand.
/// \param target The target.
/// \param demand Slots that each instance would use, by instance.
/// \returns A share for each instance in `demand`; in sum at most the target's capacity.
[[nodiscard]] std::map<InstanceId, CapacityShare>
shareCapacity(const TargetSettings &target, const std::map<InstanceId, double> &demand);

} // namespace yuccaspan

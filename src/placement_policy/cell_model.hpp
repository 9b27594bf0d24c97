/// \file
/// \brief Working copy of a cell, to evaluate planned changes.
#pragma once

#include "yuccaspan/balancer.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace yuccaspan::impl {

/// \brief Index value for "no target in the model".
inline constexpr std::size_t noTarget = static_cast<std::size_t>(-1);

/// \brief A key with a high load of its own.
struct HotKey
{
    KeyHash hash = 0; ///< Its position.
    double load = 0; ///< Its load, in slots.
};

/// \brief A slice with its load.
struct ModelSlice
{
    KeyRange range; ///< The slice.
    std::size_t owner = noTarget; ///< Index of the owner, or of the next owner of a move.
    bool moving = false; ///< Whether a move is in progress.
    double load = 0; ///< Load, in slots.
    std::vector<HotKey> hotKeys; ///< Ordered by hash.
};

/// \brief A target with its load.
struct ModelTarget
{
    TargetId id; ///< Its name.
    bool home = false; ///< Whether it is in the cell's home zone.
    bool usable = false; ///< Whether it may own slices.
    bool warm = false; ///< Whether it can carry more than a starting target.
    bool slow = false; ///< Whether it is a straggler.
    bool eligible = false; ///< Whether the plan may give it slices.
    double capacity = 1; ///< Currently usable slots, reduced while slow or starting.
    double otherLoad = 0; ///< Load of its slices in other cells, in slots.
    bool otherLoadKnown = false; ///< Whether that load is known.
    double load = 0; ///< Load of all its slices, in slots.

    /// \brief Whether it can carry its full load.
    [[nodiscard]] bool isHealthy() const noexcept { return warm && !slow; }
    /// \brief Utilization: load divided by capacity.
    [[nodiscard]] double ratio() const noexcept { return load / capacity; }
};

/// \brief The slices and targets of one cell.
class CellModel
{
public:
    /// \brief Builds the model.
    /// \param input The state of the cell.
    /// \param capacity Currently usable slots of each target, in the order of the input.
    CellModel(const BalanceInput &input, const std::vector<double> &capacity);

    std::vector<ModelTarget> targets; ///< In input order.
    std::vector<ModelSlice> slices; ///< Ordered by range.
    double totalLoad = 0; ///< Load of all slices.
    double secondsPerRequest = 0; ///< Slot time of one request; 0 while unknown.

    /// \brief Moves a slice to another owner.
    void move(std::size_t slice, std::size_t target) noexcept;
    /// \brief The eligible target with the lowest utilization after adding the load.
    /// \param load The load to add.
    /// \param onlyHome Whether it must be in the home zone.
    [[nodiscard]] std::size_t leastLoaded(double load, bool onlyHome = false) const noexcept;
    /// \brief Mean utilization of the eligible targets.
    [[nodiscard]] double meanRatio() const noexcept;

private:
    void addTargets(const BalanceInput &input, const std::vector<double> &capacity);
    void addSlices(const CellRecord &record);
    void addLoads(const BalanceInput &input);
    [[nodiscard]] std::size_t indexOf(const TargetId &id) const;
    [[nodiscard]] ModelSlice *sliceOf(const KeyRange &range) noexcept;

    std::map<TargetId, std::size_t> m_indexes;
};

} // namespace yuccaspan::impl

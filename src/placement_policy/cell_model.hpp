/// \file
/// \brief A working copy of one cell on which a plan is tried out.
#pragma once

#include "yuccaspan/balancer.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace yuccaspan::impl {

/// \brief Index of a target that is not in the model.
inline constexpr std::size_t noTarget = static_cast<std::size_t>(-1);

/// \brief A key that carries much load of its own.
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
    bool moving = false; ///< Whether a move is under way.
    double load = 0; ///< Load, in slots.
    std::vector<HotKey> hotKeys; ///< In the order of their hashes.
};

/// \brief A target with its load.
struct ModelTarget
{
    TargetId id; ///< Its name.
    bool home = false; ///< Whether it is in the cell's home zone.
    bool usable = false; ///< Whether it may own slices.
    bool warm = false; ///< Whether it bears more than a starting target.
    bool slow = false; ///< Whether it is a straggler.
    bool eligible = false; ///< Whether the plan may give it slices.
    double capacity = 1; ///< Slots that it can use at present, with slowness and start allowed for.
    double otherLoad = 0; ///< Load of its slices of other cells, in slots.
    bool otherLoadKnown = false; ///< Whether that load is known.
    double load = 0; ///< Load of all its slices, in slots.

    /// \brief Whether it bears a full load.
    [[nodiscard]] bool isSound() const noexcept { return warm && !slow; }
    /// \brief Load to capacity.
    [[nodiscard]] double ratio() const noexcept { return load / capacity; }
};

/// \brief The slices and targets of one cell.
class CellModel
{
public:
    /// \brief Builds the model.
    /// \param input The state of the cell.
    /// \param capacity Slots that each target can use at present, in the order of the input.
    CellModel(const BalanceInput &input, const std::vector<double> &capacity);

    std::vector<ModelTarget> targets; ///< In the order of the input.
    std::vector<ModelSlice> slices; ///< In the order of their ranges.
    double totalLoad = 0; ///< Load of all slices.
    double secondsPerRequest = 0; ///< Slot time of one request; 0 while unknown.

    /// \brief Gives a slice another owner.
    void move(std::size_t slice, std::size_t target) noexcept;
    /// \brief The eligible target with the lowest load to capacity after taking the load.
    /// \param load The load that it is to take.
    /// \param onlyHome Whether it must be in the home zone.
    [[nodiscard]] std::size_t coolest(double load, bool onlyHome = false) const noexcept;
    /// \brief Mean load to capacity of the eligible targets.
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

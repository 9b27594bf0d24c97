/// \file
/// \brief The slices of all cells of a service, as placers and instances see them.
#pragma once

#include "routing_policy.hpp"

#include "yuccaspan/cell_record.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace yuccaspan::bench {

/// \brief The cells, one a zone.
class SliceTable
{
public:
    /// \brief Cuts the key space evenly into one cell a zone.
    void create(const ServiceName &service, std::uint32_t zones,
                const std::vector<TargetSettings> &targets)
    {
        const KeyHash width = ~0ULL / zones;
        for (std::uint32_t zone = 0; zone < zones; ++zone) {
            CellRecord record;
            record.cell = {service, Shape::zoneId(zone), 0};
            record.range = {zone * width, zone + 1 == zones ? ~0ULL : (zone + 1) * width - 1};
            m_cells.push_back(record);
        }
        for (std::uint32_t index = 0; index < targets.size(); ++index)
            m_indexes.emplace(targets[index].id, index);
    }

    /// \name Look-up
    /// @{
    [[nodiscard]] std::vector<CellRecord> &cells() noexcept { return m_cells; }
    /// \brief Index of the cell that covers a hash.
    [[nodiscard]] std::size_t cellOf(KeyHash hash) const noexcept
    {
        const auto after = std::upper_bound(
            m_cells.begin(), m_cells.end(), hash,
            [](KeyHash value, const CellRecord &cell) { return value < cell.range.first; });
        return static_cast<std::size_t>(after - m_cells.begin()) - 1;
    }
    /// \brief The slice that covers a hash.
    [[nodiscard]] const SliceRecord &slice(KeyHash hash) const noexcept
    {
        const std::vector<SliceRecord> &slices = m_cells[cellOf(hash)].slices;
        const auto after = std::upper_bound(
            slices.begin(), slices.end(), hash,
            [](KeyHash value, const SliceRecord &slice) { return value < slice.range.first; });
        return *std::prev(after);
    }
    /// \brief Index of a target.
    [[nodiscard]] std::uint32_t indexOf(const TargetId &id) const { return m_indexes.at(id); }
    /// @}

    /// \name Changes
    /// @{
    /// \brief The slice of a cell with exactly this range, or null.
    [[nodiscard]] SliceRecord *exact(std::size_t cell, const KeyRange &range) noexcept
    {
        for (SliceRecord &slice : m_cells[cell].slices) {
            if (slice.range == range)
                return &slice;
        }
        return nullptr;
    }
    /// \brief Cuts a slice in two.
    void split(std::size_t cell, const KeyRange &range, KeyHash secondFirst)
    {
        SliceRecord *slice = exact(cell, range);
        if (slice == nullptr || secondFirst <= range.first || secondFirst > range.last)
            return;
        SliceRecord upper = *slice;
        slice->range.last = secondFirst - 1;
        upper.range.first = secondFirst;
        std::vector<SliceRecord> &slices = m_cells[cell].slices;
        slices.insert(slices.begin() + (slice - slices.data()) + 1, upper);
    }
    /// \brief Joins two neighbouring slices.
    void merge(std::size_t cell, const KeyRange &lower, const KeyRange &upper)
    {
        SliceRecord *slice = exact(cell, lower);
        if (slice == nullptr || exact(cell, upper) == nullptr)
            return;
        slice->range.last = upper.last;
        std::erase_if(m_cells[cell].slices,
                      [&](const SliceRecord &other) { return other.range == upper; });
    }
    /// @}

private:
    std::vector<CellRecord> m_cells;
    std::map<TargetId, std::uint32_t> m_indexes;
};

} // namespace yuccaspan::bench

/// \file
/// \brief The durable record of who owns the slices of one cell.
///
/// A cell is a fixed range of a service's key space with a home zone. Its record is one object in
/// the platform's store, `placement/<service>/<zone>/<index>`, changed by conditional update only.
/// Its slices are normally owned by targets of the home zone, and lent to targets of other zones
/// while the home zone is out, so that no ownership ever passes between two records.
#pragma once

#include "yuccaspan/enum_names.hpp"
#include "yuccaspan/ids.hpp"
#include "yuccaspan/key_range.hpp"
#include "yuccaspan/result.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaspan {

/// \brief Largest record that is committed, in bytes; the store holds up to a megabyte.
inline constexpr std::size_t maxCellRecordBytes = 1000000;

/// \brief Identifies a cell.
struct CellId
{
    ServiceName service; ///< The service.
    ZoneId zone; ///< The home zone.
    std::uint32_t index = 0; ///< Index among the service's cells in one zone, from 0.

    /// \brief Path of the record in the store.
    [[nodiscard]] std::string path() const;

    [[nodiscard]] friend bool operator==(const CellId &, const CellId &) = default;
    [[nodiscard]] friend auto operator<=>(const CellId &, const CellId &) = default;
    friend std::ostream &operator<<(std::ostream &stream, const CellId &cell)
    {
        return stream << cell.service << '/' << cell.zone << '/' << cell.index;
    }
};

/// \brief Recorded state of a slice's ownership.
enum class SlicePhase {
    Settled, ///< The owner holds the slice.
    Moving, ///< An intent: the owner or the next owner may hold the slice.
};

template <>
struct EnumNames<SlicePhase>
{
    static constexpr std::array<EnumName<SlicePhase>, 2> table{{
        {SlicePhase::Settled, "settled"},
        {SlicePhase::Moving, "moving"},
    }};
};

/// \brief One slice of a cell.
struct SliceRecord
{
    KeyRange range; ///< The key hashes in the slice.
    TargetId owner; ///< Its owner; empty if it has none yet.
    FencingToken token; ///< Token of the owner's grant.
    SlicePhase phase = SlicePhase::Settled; ///< Whether a move is under way.
    TargetId nextOwner; ///< With Moving: the next owner.
    FencingToken nextToken; ///< With Moving: the token reserved for the next owner.

    [[nodiscard]] friend bool operator==(const SliceRecord &, const SliceRecord &) = default;
};

/// \brief The record of one cell.
struct CellRecord
{
    CellId cell; ///< Which cell.
    KeyRange range; ///< The fixed range of the cell.
    Term term; ///< Changes with the placer.
    InstanceId placer; ///< The only instance that may act under the term.
    std::vector<InstanceId> candidates; ///< Instances that may take over; includes the placer.
    FencingToken lastToken; ///< Highest token ever issued in the cell.
    ObjectVersion settingsVersion; ///< Settings version that the record was last checked against.
    std::vector<SliceRecord> slices; ///< In the order of their ranges, without gaps.

    [[nodiscard]] friend bool operator==(const CellRecord &, const CellRecord &) = default;
};

/// \brief Writes a record as JSON.
/// \param record The record.
/// \returns The text, or LimitExceeded if it is longer than maxCellRecordBytes.
[[nodiscard]] Result<std::string> encodeCellRecord(const CellRecord &record);

/// \brief Reads a record from JSON and checks it.
/// \param text The text.
/// \returns The record; ParseFailed, SchemaViolation or UnsupportedSchema otherwise.
[[nodiscard]] Result<CellRecord> decodeCellRecord(std::string_view text);

} // namespace yuccaspan

template <>
struct std::hash<yuccaspan::CellId>
{
    std::size_t operator()(const yuccaspan::CellId &cell) const noexcept
    {
        constexpr std::size_t factor = 1000003;
        const std::size_t service = std::hash<yuccaspan::ServiceName>()(cell.service);
        const std::size_t zone = std::hash<yuccaspan::ZoneId>()(cell.zone);
        return (service * factor + zone) * factor + cell.index;
    }
};

/// \file
/// \brief Chooses the candidates of a cell, a placer's successor, and who creates a record.
#pragma once

#include "placement/context.hpp"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace yuccaspan::impl {

/// \brief Whether an instance may be a candidate of a cell.
///
/// With CutOffPolicy::Hold only instances of the home zone may, unless the platform lists none
/// there or operators have declared the zone stopped.
[[nodiscard]] bool mayBeCandidate(const Context &context, const CellId &cell, const Member &member);

/// \brief Whether this instance hears from more than half of the instances that the platform lists.
/// With CutOffPolicy::Hold only the cell's home zone counts.
[[nodiscard]] bool hearsFromMajority(const Context &context, const CellId &cell);

/// \brief Like hearsFromMajority(), but exactly half is sufficient.
[[nodiscard]] bool hearsFromHalf(const Context &context, const CellId &cell);

/// \brief Replaces, removes or adds one candidate.
/// \param context Members and settings.
/// \param record The record; changed in place.
/// \param unsuitable Candidates that should be removed.
/// \returns Whether the record was changed.
[[nodiscard]] bool improveCandidates(const Context &context, CellRecord &record,
                                     const std::vector<InstanceId> &unsuitable);

/// \brief A live candidate for the handover, preferably in the cell's home zone.
[[nodiscard]] std::optional<InstanceId> chooseSuccessor(const Context &context,
                                                        const CellRecord &record);

/// \brief Position of this instance among those that may create an object, by rendezvous hash,
/// instances of the preferred zone first.
[[nodiscard]] std::size_t creationRank(const Context &context, std::string_view path,
                                       const ZoneId &preferredZone);

} // namespace yuccaspan::impl

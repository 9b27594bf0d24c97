/// \file
/// \brief Readers of JSON fields shared by the codecs of cell records and directories.
#pragma once

#include "yuccaspan/cell_record.hpp"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace yuccaspan::impl {

/// \name Readers
/// Each returns false, and leaves the result unspecified, if the field is missing or has
/// another type.
/// @{
[[nodiscard]] bool readText(const nlohmann::json &json, const char *name, std::string &text);
[[nodiscard]] bool readNumber(const nlohmann::json &json, const char *name, std::uint64_t &number);
[[nodiscard]] bool readHash(const nlohmann::json &json, const char *name, KeyHash &hash);
[[nodiscard]] bool readRange(const nlohmann::json &json, KeyRange &range);
[[nodiscard]] bool readCellId(const nlohmann::json &json, CellId &cell);
/// @}

/// \brief The fields `service`, `zone` and `index`.
[[nodiscard]] nlohmann::json cellIdToJson(const CellId &cell);

/// \brief Whether the slices are contiguous and cover the cell's range.
[[nodiscard]] bool coversWithoutGaps(const CellRecord &record);

} // namespace yuccaspan::impl

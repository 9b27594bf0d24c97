/// \file
/// \brief The directory of a service: the range of each cell, fixed at creation.
///
/// Its object is `placement/<service>/directory`. It is created once, if absent, so that instances
/// with different settings cannot partition one key space in different ways.
#pragma once

#include "yuccaspan/cell_record.hpp"
#include "yuccaspan/settings.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaspan::impl {

/// \brief One cell and its range.
struct DirectoryEntry
{
    CellId cell; ///< The cell.
    KeyRange range; ///< Its range.

    [[nodiscard]] friend bool operator==(const DirectoryEntry &, const DirectoryEntry &) = default;
};

/// \brief All cells of a service, in the order of their ranges.
struct Directory
{
    ServiceName service; ///< The service.
    std::vector<DirectoryEntry> cells; ///< Cover the whole key space.

    [[nodiscard]] friend bool operator==(const Directory &, const Directory &) = default;
};

/// \brief Path of a service's directory.
[[nodiscard]] std::string directoryPath(const ServiceName &service);

/// \brief The service whose directory is stored at the path, if any.
[[nodiscard]] std::optional<ServiceName> directoryOfPath(std::string_view path);

/// \brief The cell whose record is stored at the path, if any.
[[nodiscard]] std::optional<CellId> cellOfPath(std::string_view path);

/// \brief Divides the key space into equal ranges, `cellsPerZone` for each zone.
[[nodiscard]] Directory planDirectory(const ServiceSettings &service,
                                      const std::vector<ZoneSettings> &zones);

/// \brief Writes a directory as JSON.
[[nodiscard]] std::string encodeDirectory(const Directory &directory);

/// \brief Reads a directory and checks that it covers the key space.
[[nodiscard]] Result<Directory> decodeDirectory(std::string_view text);

} // namespace yuccaspan::impl

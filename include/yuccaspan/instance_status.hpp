/// \file
/// \brief Status record that each instance writes to the store at `status/<instance>`.
#pragma once

#include "yuccaspan/ids.hpp"
#include "yuccaspan/result.hpp"

#include <string>
#include <string_view>

namespace yuccaspan {

/// \brief Status of an instance. Written only when it changes.
struct InstanceStatusRecord
{
    InstanceId id; ///< The instance id, including the start id.
    ZoneId zone; ///< Its availability zone.
    ObjectVersion settingsVersion; ///< Version of the settings in force.
    bool leaving = false; ///< Whether it is stopping.

    [[nodiscard]] friend bool operator==(const InstanceStatusRecord &,
                                         const InstanceStatusRecord &) = default;
};

/// \brief Path of an instance's record in the store.
[[nodiscard]] std::string instanceStatusPath(const InstanceId &id);
/// \brief Serializes a record as JSON.
[[nodiscard]] std::string encodeInstanceStatus(const InstanceStatusRecord &record);
/// \brief Parses a record from JSON.
/// \returns The record, ParseFailed or SchemaViolation.
[[nodiscard]] Result<InstanceStatusRecord> decodeInstanceStatus(std::string_view text);

} // namespace yuccaspan

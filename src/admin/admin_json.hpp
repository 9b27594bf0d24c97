/// \file
/// \brief JSON conversions of the administration API.
#pragma once

#include "yuccaspan/admin.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace yuccaspan::impl {

/// \name Documents of the endpoints
/// @{
[[nodiscard]] nlohmann::json statusJson(const InstanceReport &report);
[[nodiscard]] nlohmann::json servicesJson(const Settings &settings);
[[nodiscard]] nlohmann::json targetsJson(const Settings &settings,
                                         const std::vector<TargetReport> &reports);
[[nodiscard]] nlohmann::json zonesJson(const Settings &settings);
[[nodiscard]] nlohmann::json assignmentJson(const std::vector<CellStatus> &cells);
[[nodiscard]] nlohmann::json movesJson(const std::vector<CellStatus> &cells);
[[nodiscard]] nlohmann::json explainJson(const Settings &settings, const ServiceName &service,
                                         const std::string &key, const Explanation &explanation);
[[nodiscard]] nlohmann::json errorJson(const Error &error);
/// @}

/// \brief Parses the body of `POST /v1/moves`.
/// \returns The order, ParseFailed or SchemaViolation.
[[nodiscard]] Result<MoveOrder> readMoveOrder(const std::string &body);

} // namespace yuccaspan::impl

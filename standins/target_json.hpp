/// \file
/// \brief JSON forms of orders to a target, of its answers and of its measurements.
#pragma once

#include "json_fields.hpp"
#include "target_model.hpp"

#include <optional>
#include <string>

namespace yuccaspan::standins {

/// \brief Reads the body of a grant; nothing if it is malformed.
[[nodiscard]] std::optional<GrantOrder> parseGrant(const std::string &body);
/// \brief Reads the body of a revoke; nothing if it is malformed.
[[nodiscard]] std::optional<RevokeOrder> parseRevoke(const std::string &body);
/// \brief Reads the body of a probe; nothing if it is malformed.
[[nodiscard]] std::optional<ProbeOrder> parseProbe(const std::string &body);

/// \brief Slices as `{"first","last","token"}`.
[[nodiscard]] Json slicesJson(const std::vector<GrantedSlice> &slices);
/// \brief Holds as `{"service","first","last","token","fromUs","untilUs"}`.
[[nodiscard]] Json holdsJson(const std::vector<HoldInterval> &holds);
/// \brief The ledger's figures.
[[nodiscard]] Json summaryJson(const TargetModel &model);
/// \brief The ledger's rows.
[[nodiscard]] Json runsJson(const TargetModel &model);

} // namespace yuccaspan::standins

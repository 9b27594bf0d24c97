/// \file
/// \brief The HTTP form of orders to targets, as docs/TARGET-API.md describes it.
#pragma once

#include "yuccaspan/result.hpp"
#include "yuccaspan/target_order.hpp"

#include <string>
#include <string_view>

namespace yuccaspan::impl {

/// \brief An order as an HTTP request.
struct EncodedOrder
{
    std::string path; ///< Path to post to.
    std::string body; ///< JSON.
};

/// \brief Writes an order.
[[nodiscard]] EncodedOrder encodeOrder(const TargetOrder &order);

/// \brief Reads an answer.
/// \param text JSON.
/// \returns The answer without its order id, or ParseFailed or SchemaViolation.
[[nodiscard]] Result<TargetAnswer> decodeAnswer(std::string_view text);

} // namespace yuccaspan::impl

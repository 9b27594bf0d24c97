/// \file
/// \brief HTTP encoding of orders to targets, as specified in docs/TARGET-API.md.
#pragma once

#include "yuccaspan/result.hpp"
#include "yuccaspan/target_order.hpp"

#include <string>
#include <string_view>

namespace yuccaspan::impl {

/// \brief An order as an HTTP request.
struct EncodedOrder
{
    std::string path; ///< Request path for POST.
    std::string body; ///< JSON body.
};

/// \brief Encodes an order.
[[nodiscard]] EncodedOrder encodeOrder(const TargetOrder &order);

/// \brief Decodes an answer.
/// \param text JSON.
/// \returns The answer without its order id, or ParseFailed or SchemaViolation.
[[nodiscard]] Result<TargetAnswer> decodeAnswer(std::string_view text);

} // namespace yuccaspan::impl

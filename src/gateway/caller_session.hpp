/// \file
/// \brief Serves the requests on one caller connection.
#pragma once

#include "gateway/gateway.hpp"

namespace yuccaspan::gateway {

/// \brief Serves requests sequentially until the connection ends.
[[nodiscard]] asio::awaitable<void> serveCaller(Gateway &gateway, tcp::socket socket);

} // namespace yuccaspan::gateway

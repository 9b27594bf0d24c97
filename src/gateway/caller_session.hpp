/// \file
/// \brief Serves the requests on one caller connection.
#pragma once

#include "gateway/gateway.hpp"

namespace yuccaspan::gateway {

/// \brief Serves requests until the connection ends; answers leave in the order of the requests.
[[nodiscard]] asio::awaitable<void> serveCaller(Gateway &gateway, tcp::socket socket);

} // namespace yuccaspan::gateway

/// \file
/// \brief Serves the requests of one caller's connection.
#pragma once

#include "gateway/gateway.hpp"

namespace yuccaspan::gateway {

/// \brief Serves requests one after the other until the connection ends.
[[nodiscard]] asio::awaitable<void> serveCaller(Gateway &gateway, tcp::socket socket);

} // namespace yuccaspan::gateway

/// \file
/// \brief Settings of one instance, such as name, zone and addresses; read from the --settings
/// file.
#pragma once

#include "yuccaspan/decision_log.hpp"
#include "yuccaspan/ids.hpp"
#include "yuccaspan/result.hpp"
#include "yuccaspan/store_http.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace yuccaspan::impl {

/// \brief A TCP address to listen on.
struct ListenAddress
{
    std::string address = "127.0.0.1"; ///< IP address.
    std::uint16_t port = 0; ///< Port; 0 for an ephemeral port.
};

/// \brief Settings of one instance.
struct InstanceSettings
{
    std::string name; ///< Name of the instance; the start id is added at start.
    ZoneId zone; ///< Availability zone.
    ListenAddress callers; ///< Address for callers.
    ListenAddress peers; ///< Address for other instances.
    ListenAddress admin; ///< Address of the admin API.
    std::uint32_t workers = 2; ///< Threads that serve callers.
    HostPort store; ///< Address of the platform's store.
    std::vector<HostPort> seeds; ///< Peers to ask for state while the store is unreachable.
    LogOptions log; ///< The decision log.
    Duration balancerWait = std::chrono::milliseconds(
        500); ///< Delay at shutdown between becoming unready and closing the port.
    Duration stopLimit = std::chrono::seconds(30); ///< Maximum duration of a graceful shutdown.
};

/// \brief Reads the settings of an instance from JSON text.
/// \param text JSON text.
/// \param file File name for error messages.
/// \returns The settings, or all errors found.
[[nodiscard]] std::variant<InstanceSettings, std::vector<Error>>
parseInstanceSettings(const std::string &text, const std::string &file);

/// \brief Reads the settings of an instance from a file.
[[nodiscard]] std::variant<InstanceSettings, std::vector<Error>>
readInstanceSettings(const std::string &file);

} // namespace yuccaspan::impl

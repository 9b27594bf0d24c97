/// \file
/// \brief What one instance is: its name, zone, addresses. Read from the file given by --settings.
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
    std::uint16_t port = 0; ///< Port; 0 lets the system choose.
};

/// \brief Settings of one instance.
struct InstanceSettings
{
    std::string name; ///< Name of the instance; the start id is added at start.
    ZoneId zone; ///< Availability zone.
    ListenAddress callers; ///< For callers.
    ListenAddress peers; ///< For other instances.
    ListenAddress admin; ///< For operators.
    std::uint32_t workers = 2; ///< Threads for callers.
    HostPort store; ///< Address of the platform's store.
    std::vector<HostPort> seeds; ///< Peers to ask while the store is down.
    LogOptions log; ///< The decision log.
    Duration balancerWait = std::chrono::milliseconds(500); ///< From unready to closed, at a stop.
    Duration stopLimit = std::chrono::seconds(30); ///< Longest graceful stop.
};

/// \brief Reads the settings of an instance from JSON text.
/// \param text The text.
/// \param file Name of the file, for errors.
/// \returns The settings, or every error found.
[[nodiscard]] std::variant<InstanceSettings, std::vector<Error>>
parseInstanceSettings(const std::string &text, const std::string &file);

/// \brief Reads the settings of an instance from a file.
[[nodiscard]] std::variant<InstanceSettings, std::vector<Error>>
readInstanceSettings(const std::string &file);

} // namespace yuccaspan::impl

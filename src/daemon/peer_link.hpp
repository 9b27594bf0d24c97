/// \file
/// \brief Carries messages between entry instances over TCP, one frame per message.
///
/// Delivery is not guaranteed: a full outbox drops its oldest message, and a write timeout closes
/// and reopens the connection to the peer. The protocol tolerates lost messages.
#pragma once

#include "yuccaspan/result.hpp"
#include "yuccaspan/store_http.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace yuccaspan::impl {

/// \brief Maximum message size in bytes.
inline constexpr std::size_t maxPeerFrameBytes = 4U << 20U;

/// \brief Message counters since the start.
struct PeerCounters
{
    std::uint64_t sent = 0; ///< Messages written.
    std::uint64_t received = 0; ///< Messages read.
    std::uint64_t dropped = 0; ///< Messages dropped from a full outbox or a broken connection.
    std::uint64_t bytesSent = 0; ///< Bytes written.
    std::uint64_t bytesReceived = 0; ///< Bytes read.
};

/// \brief The link to the other instances. Runs on a dedicated thread.
class PeerLink
{
public:
    /// \brief Receives each message, on the link's thread.
    using Receiver = std::function<void(std::string)>;

    PeerLink() = default;
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;
    virtual ~PeerLink() = default;

    /// \brief The listening port.
    [[nodiscard]] virtual std::uint16_t port() const noexcept = 0;
    /// \brief Sets the addresses of the peers by name; disconnects all others.
    virtual void setAddresses(std::map<std::string, HostPort> addresses) = 0;
    /// \brief Sends a message to a peer; ignored if the name is unknown.
    virtual void send(const std::string &name, std::string bytes) = 0;
    /// \brief The counters. Thread-safe.
    [[nodiscard]] virtual PeerCounters counters() const noexcept = 0;
};

/// \brief Starts the link.
/// \param address IP address to listen on.
/// \param port TCP port; 0 for an ephemeral port.
/// \param receiver Receives the messages.
/// \returns The link, or an error if it cannot listen.
[[nodiscard]] Result<std::unique_ptr<PeerLink>>
makePeerLink(const std::string &address, std::uint16_t port, PeerLink::Receiver receiver);

} // namespace yuccaspan::impl

/// \file
/// \brief A loopback proxy that harms the connections that pass through it.
#pragma once

#include "event_loop.hpp"
#include "yuccaspan/result.hpp"

#include <memory>
#include <string>

namespace yuccaspan::soak {

/// \brief What happens to the bytes of one direction.
enum class Passage {
    Open, ///< They pass after the delay.
    Held, ///< They wait until the direction is open again, as in a cut.
};

/// \brief Faults of a proxy.
struct ProxyFaults
{
    Passage toServer = Passage::Open;
    Passage toClient = Passage::Open;
    Duration delay{}; ///< Of each direction.
    bool refuses = false; ///< New connections are reset.
    std::string heldRequests; ///< Answers to requests whose head contains this wait; empty: none.
};

/// \brief Passes connections on to a server.
class FaultProxy
{
public:
    /// \brief Opens a port of the loopback address.
    /// \param server "ip:port" to pass connections on to.
    [[nodiscard]] static Result<std::unique_ptr<FaultProxy>> create(standins::EventLoop &loop,
                                                                    const std::string &server);

    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;
    ~FaultProxy();

    [[nodiscard]] std::string address() const;
    /// \brief Sets where new connections are passed on to.
    void setServer(const std::string &server);
    /// \brief Sets the faults of all connections, open and new.
    void setFaults(ProxyFaults faults);
    /// \brief Resets all open connections.
    void resetAll();

private:
    struct Impl;
    explicit FaultProxy(std::shared_ptr<Impl> impl);

    std::shared_ptr<Impl> m_impl;
};

} // namespace yuccaspan::soak

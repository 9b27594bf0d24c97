/// \file
/// \brief Serves the stand-in for the platform's store over HTTP, as docs/STORE-API.md says.
#pragma once

#include "http_server.hpp"

#include <memory>
#include <string>

namespace yuccaspan::standins {

/// \brief The store on a port of its own.
class StoreServer
{
public:
    /// \brief Opens the port and begins to serve.
    /// \param loop Runs the store; must outlive it.
    /// \param listen "ip:port"; port 0 is chosen by the system.
    [[nodiscard]] static Result<std::unique_ptr<StoreServer>> create(EventLoop &loop,
                                                                     const std::string &listen);

    StoreServer(const StoreServer &) = delete;
    StoreServer &operator=(const StoreServer &) = delete;
    ~StoreServer();

    /// \brief The address, as "ip:port".
    [[nodiscard]] std::string address() const;

private:
    struct Impl;
    explicit StoreServer(std::shared_ptr<Impl> impl);

    std::shared_ptr<Impl> m_impl;
};

} // namespace yuccaspan::standins

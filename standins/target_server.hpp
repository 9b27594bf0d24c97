/// \file
/// \brief Serves one target over HTTP, as docs/TARGET-API.md says.
#pragma once

#include "http_server.hpp"
#include "target_model.hpp"

#include <memory>
#include <string>

namespace yuccaspan::standins {

/// \brief A target on a port of its own.
class TargetServer
{
public:
    /// \brief Opens the port and begins to serve.
    /// \param loop Runs the target; must outlive it.
    /// \param listen "ip:port"; port 0 is chosen by the system.
    /// \param options What the target is like.
    [[nodiscard]] static Result<std::unique_ptr<TargetServer>>
    create(EventLoop &loop, const std::string &listen, TargetOptions options);

    TargetServer(const TargetServer &) = delete;
    TargetServer &operator=(const TargetServer &) = delete;
    ~TargetServer();

    /// \brief The address, as "ip:port".
    [[nodiscard]] std::string address() const;

private:
    struct Impl;
    explicit TargetServer(std::shared_ptr<Impl> impl);

    std::shared_ptr<Impl> m_impl;
};

} // namespace yuccaspan::standins

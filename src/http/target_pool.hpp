/// \file
/// \brief Connection pool of one worker for one target.
#pragma once

#include "http/target_hub.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <vector>

namespace yuccaspan::impl {

/// \brief A connection to a target. Releases its reservation when destroyed.
class TargetConnection
{
public:
    /// \brief Takes over a connection that was reserved with SharedTarget::reserveConnection().
    TargetConnection(boost::asio::io_context &loop, std::shared_ptr<SharedTarget> target);
    TargetConnection(const TargetConnection &) = delete;
    TargetConnection &operator=(const TargetConnection &) = delete;
    ~TargetConnection();

    boost::beast::tcp_stream stream; ///< The connection.
    boost::beast::flat_buffer buffer; ///< Read buffer.
    TimePoint idleSince; ///< Time when the connection became idle.

    /// \brief Whether the connection can be reused: it is open and has no unexpected bytes to read.
    [[nodiscard]] bool usable();

private:
    std::shared_ptr<SharedTarget> m_target;
};

/// \brief Idle connections of one worker to one target.
class TargetPool
{
public:
    /// \brief Creates an empty pool.
    TargetPool(boost::asio::io_context &loop, std::shared_ptr<SharedTarget> target);

    /// \brief The target.
    [[nodiscard]] const std::shared_ptr<SharedTarget> &target() const noexcept { return m_target; }
    /// \brief Returns an idle connection that is usable, or null.
    [[nodiscard]] std::unique_ptr<TargetConnection> takeIdle(TimePoint now);
    /// \brief Returns a new, unconnected connection, or null if the share is used up.
    [[nodiscard]] std::unique_ptr<TargetConnection> open();
    /// \brief Returns a connection to the pool for reuse.
    void returnIdle(std::unique_ptr<TargetConnection> connection, TimePoint now);
    /// \brief Closes connections that exceeded the idle timeout.
    void closeIdle(TimePoint now);

private:
    boost::asio::io_context &m_loop;
    std::shared_ptr<SharedTarget> m_target;
    std::vector<std::unique_ptr<TargetConnection>> m_idle;
};

} // namespace yuccaspan::impl

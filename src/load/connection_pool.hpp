/// \file
/// \brief Connections to one endpoint, and calls that wait for one.
#pragma once

#include "load/caller_connection.hpp"

#include "yuccaspan/clock.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace yuccaspan::load {

/// \brief A request that is due.
struct DueCall
{
    std::string id; ///< Request id.
    std::size_t kind = 0; ///< Index of its kind.
    std::uint32_t key = 0; ///< Number of its key.
    TimePoint scheduled; ///< When it was due.
    std::size_t tries = 0; ///< Endpoints that could not be reached.
};

/// \brief What a pool needs of the run.
struct PoolHooks
{
    std::function<CallRequest(const DueCall &)> makeRequest; ///< Builds a request.
    std::function<void(const DueCall &, const CallAnswer &)>
        answered; ///< A call was sent and ended.
    std::function<void(DueCall)> unreachable; ///< A call could not be sent here.
    std::function<void(const DueCall &)> expired; ///< A call waited too long for a connection.
};

/// \brief Connections to one endpoint. Used on its io_context's thread only.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
    /// \brief Creates an empty pool.
    /// \param io Runs the connections.
    /// \param endpoint Where they go.
    /// \param maxConnections Most connections at once.
    /// \param hooks What the pool needs of the run.
    ConnectionPool(boost::asio::io_context &io, Endpoint endpoint, std::size_t maxConnections,
                   PoolHooks hooks);

    /// \brief Sends a call as soon as a connection is free.
    void submit(DueCall call);
    /// \brief Gives up calls that were due before a time.
    void expire(TimePoint dueBefore);
    /// \brief Whether the endpoint may be tried.
    [[nodiscard]] bool available(TimePoint now) const { return m_downUntil <= now; }
    /// \brief Closes all connections.
    void closeAll();

private:
    using ConnectionPtr = std::shared_ptr<CallerConnection>;

    struct Busy
    {
        ConnectionPtr connection;
        TimePoint scheduled;
    };

    void openOne();
    void onOpened(const ConnectionPtr &connection, bool opened);
    void use(const ConnectionPtr &connection, DueCall call);
    void release(const ConnectionPtr &connection);
    void passOver(Duration duration);

    boost::asio::io_context &m_io;
    Endpoint m_endpoint;
    std::size_t m_maxConnections;
    PoolHooks m_hooks;
    std::vector<ConnectionPtr> m_idle;
    std::vector<Busy> m_busy;
    std::size_t m_opening = 0;
    std::deque<DueCall> m_waiting;
    TimePoint m_downUntil{};
};

} // namespace yuccaspan::load

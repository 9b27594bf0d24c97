#include "load/connection_pool.hpp"

#include <algorithm>

namespace yuccaspan::load {

namespace {

/// An endpoint that refused a connection is passed over for this long, as a balancer would.
constexpr std::chrono::milliseconds downTime{200};
/// An endpoint that announced the end of a connection is passed over for this long, and its idle
/// connections are dropped: it may be about to stop.
constexpr std::chrono::milliseconds leavingTime{1000};

} // namespace

ConnectionPool::ConnectionPool(boost::asio::io_context &io, Endpoint endpoint,
                               std::size_t maxConnections, PoolHooks hooks)
    : m_io(io),
      m_endpoint(std::move(endpoint)),
      m_maxConnections(maxConnections),
      m_hooks(std::move(hooks))
{ }

void ConnectionPool::submit(DueCall call)
{
    while (!m_idle.empty()) {
        const ConnectionPtr connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (!connection->usable())
            continue;
        use(connection, std::move(call));
        return;
    }
    m_waiting.push_back(std::move(call));
    if (m_busy.size() + m_opening < m_maxConnections && m_opening < m_waiting.size())
        openOne();
}

void ConnectionPool::openOne()
{
    ++m_opening;
    const ConnectionPtr connection = makeCallerConnection(m_io, m_endpoint);
    connection->open([self = shared_from_this(), connection](bool opened) {
        self->onOpened(connection, opened);
    });
}

void ConnectionPool::onOpened(const ConnectionPtr &connection, bool opened)
{
    --m_opening;
    if (opened) {
        release(connection);
        return;
    }
    passOver(downTime);
    if (!m_busy.empty() || m_opening > 0)
        return;
    // Nothing here will free a connection for the waiting calls.
    std::deque<DueCall> waiting;
    waiting.swap(m_waiting);
    for (DueCall &call : waiting) {
        ++call.tries;
        m_hooks.unreachable(std::move(call));
    }
}

void ConnectionPool::use(const ConnectionPtr &connection, DueCall call)
{
    m_busy.push_back({connection, call.scheduled});
    const CallRequest request = m_hooks.makeRequest(call);
    connection->send(
        request,
        [self = shared_from_this(), connection, call = std::move(call)](const CallAnswer &answer) {
            std::erase_if(self->m_busy,
                          [&](const Busy &busy) { return busy.connection == connection; });
            self->m_hooks.answered(call, answer);
            if (answer.closing) {
                self->passOver(leavingTime);
                self->closeAll();
            }
            self->release(connection);
        });
}

void ConnectionPool::release(const ConnectionPtr &connection)
{
    if (!connection->usable()) {
        if (!m_waiting.empty() && m_busy.size() + m_opening < m_maxConnections)
            openOne();
        return;
    }
    if (m_waiting.empty()) {
        m_idle.push_back(connection);
        return;
    }
    DueCall call = std::move(m_waiting.front());
    m_waiting.pop_front();
    use(connection, std::move(call));
}

void ConnectionPool::passOver(Duration duration)
{
    m_downUntil = SystemClock().now() + duration;
}

void ConnectionPool::expire(TimePoint dueBefore)
{
    while (!m_waiting.empty() && m_waiting.front().scheduled < dueBefore) {
        const DueCall call = std::move(m_waiting.front());
        m_waiting.pop_front();
        m_hooks.expired(call);
    }
    std::vector<ConnectionPtr> overdue;
    for (const Busy &busy : m_busy) {
        if (busy.scheduled < dueBefore)
            overdue.push_back(busy.connection);
    }
    for (const ConnectionPtr &connection : overdue)
        connection->close();
}

void ConnectionPool::closeAll()
{
    for (const ConnectionPtr &connection : m_idle)
        connection->close();
    m_idle.clear();
}

} // namespace yuccaspan::load

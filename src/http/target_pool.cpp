#include "http/target_pool.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace yuccaspan::impl {

namespace {

constexpr Duration idleTimeout = std::chrono::seconds(30);

} // namespace

TargetConnection::TargetConnection(boost::asio::io_context &loop,
                                   std::shared_ptr<SharedTarget> target)
    : stream(loop), m_target(std::move(target))
{ }

TargetConnection::~TargetConnection()
{
    m_target->releaseConnection();
}

bool TargetConnection::usable()
{
    if (!stream.socket().is_open() || buffer.size() != 0)
        return false;
    char byte = 0;
    const int handle = stream.socket().native_handle();
    const ssize_t count = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

TargetPool::TargetPool(boost::asio::io_context &loop, std::shared_ptr<SharedTarget> target)
    : m_loop(loop), m_target(std::move(target))
{ }

std::unique_ptr<TargetConnection> TargetPool::takeIdle(TimePoint now)
{
    closeIdle(now);
    while (!m_idle.empty()) {
        std::unique_ptr<TargetConnection> connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (connection->usable())
            return connection;
    }
    return nullptr;
}

std::unique_ptr<TargetConnection> TargetPool::open()
{
    if (!m_target->reserveConnection())
        return nullptr;
    return std::make_unique<TargetConnection>(m_loop, m_target);
}

void TargetPool::returnIdle(std::unique_ptr<TargetConnection> connection, TimePoint now)
{
    connection->idleSince = now;
    m_idle.push_back(std::move(connection));
}

void TargetPool::closeIdle(TimePoint now)
{
    std::erase_if(m_idle, [now](const auto &connection) {
        return now - connection->idleSince > idleTimeout;
    });
}

} // namespace yuccaspan::impl

/// \file
/// \brief The open connections of callers and their pending reads.
#pragma once

#include <cstdint>
#include <functional>
#include <iterator>
#include <list>
#include <memory>
#include <utility>

namespace yuccaspan::gateway {

/// \brief What is read from a caller.
enum class ReadPhase {
    Idle, ///< No byte of the next request has arrived.
    Request, ///< A part of a request has arrived.
};

/// \brief Counts the connections of callers and cancels their reads when the instance stops.
///
/// Shared with the connections, which may outlive the instance's other state when the event loop is
/// destroyed. Used on the event loop's thread.
class CallerConnections : public std::enable_shared_from_this<CallerConnections>
{
    struct Pending
    {
        ReadPhase phase;
        std::function<void()> cancel;
    };

public:
    /// \brief A pending read, for as long as this object exists.
    class Read
    {
    public:
        Read(std::shared_ptr<CallerConnections> connections, std::list<Pending>::iterator place)
            : m_connections(std::move(connections)), m_place(place)
        { }
        Read(const Read &) = delete;
        Read &operator=(const Read &) = delete;
        ~Read() { m_connections->m_reads.erase(m_place); }

    private:
        std::shared_ptr<CallerConnections> m_connections;
        std::list<Pending>::iterator m_place;
    };

    /// \brief Counts a connection.
    void opened() noexcept { ++m_open; }
    /// \brief Counts the end of a connection.
    void closed() noexcept { --m_open; }
    /// \brief Number of open connections.
    [[nodiscard]] std::uint64_t open() const noexcept { return m_open; }

    /// \brief Registers a read.
    /// \param cancel Makes it fail; called at most once.
    [[nodiscard]] Read reading(ReadPhase phase, std::function<void()> cancel)
    {
        m_reads.push_back({phase, std::move(cancel)});
        return {shared_from_this(), std::prev(m_reads.end())};
    }
    /// \brief Cancels the pending reads in a phase.
    void cancel(ReadPhase phase)
    {
        for (Pending &read : m_reads) {
            if (read.phase == phase && read.cancel)
                std::exchange(read.cancel, {})();
        }
    }

private:
    std::uint64_t m_open = 0;
    std::list<Pending> m_reads;
};

} // namespace yuccaspan::gateway

/// \file
/// \brief Limits the memory of all buffered message bodies together.
#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory>

namespace yuccaspan::gateway {

/// \brief What a body belongs to.
enum class BodyOwner {
    Request,
    Response,
};

/// \brief The memory for the bodies of requests and responses.
///
/// A limit for each message is none for the process, since many may arrive at once. When the bodies
/// need more than the limit, the largest one is given up, so that an endless body does not displace
/// the others. Requests use a part of the memory and displace requests alone, so that those that
/// were passed on can be answered. Used on the event loop's thread.
class MessageMemory : public std::enable_shared_from_this<MessageMemory>
{
    struct Entry
    {
        BodyOwner owner = BodyOwner::Request;
        std::size_t bytes = 0;
        bool givenUp = false;
        std::function<void()> giveUp;
    };
    using Place = std::list<Entry>::iterator;

public:
    /// \brief The memory of one message, given back when this object ends.
    class Share
    {
    public:
        /// \brief A share of no memory, which is not limited.
        Share() = default;
        Share(Share &&other) noexcept;
        Share &operator=(Share &&other) noexcept;
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;
        ~Share();

        /// \brief Sets what the message needs.
        /// \param bodyBytes Size of its body so far.
        /// \returns False if this message has to be given up.
        [[nodiscard]] bool resize(std::size_t bodyBytes);
        /// \brief Sets how the message is given up; while empty, it can't be.
        void setGiveUp(std::function<void()> giveUp);

    private:
        friend class MessageMemory;
        Share(std::shared_ptr<MessageMemory> memory, Place place);

        std::shared_ptr<MessageMemory> m_memory;
        Place m_place{};
    };

    /// \brief Creates a memory.
    /// \param limit Bytes that all messages may need.
    [[nodiscard]] static std::shared_ptr<MessageMemory> create(std::size_t limit);

    /// \brief A share for one message.
    [[nodiscard]] Share share(BodyOwner owner);
    /// \brief What all messages need, in bytes.
    [[nodiscard]] std::size_t used() const noexcept { return m_used; }
    /// \brief Number of messages that were given up.
    [[nodiscard]] std::size_t givenUp() const noexcept { return m_givenUp; }

private:
    explicit MessageMemory(std::size_t limit) noexcept : m_limit(limit) { }
    void remove(Place place) noexcept;
    void setBytes(Entry &entry, std::size_t bytes) noexcept;
    bool makeRoom(const Entry &keeper);

    const std::size_t m_limit;
    std::size_t m_used = 0;
    std::size_t m_givenUp = 0;
    std::list<Entry> m_entries;
};

/// \brief Memory for bodies that suits the machine, in bytes: a half of what it has, up to a limit.
[[nodiscard]] std::size_t defaultBodyMemory() noexcept;

} // namespace yuccaspan::gateway

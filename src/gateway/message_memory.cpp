#include "gateway/message_memory.hpp"

#include <unistd.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace yuccaspan::gateway {

namespace {

/// Bytes needed per byte of a body: a growing string reserves up to twice its size, and a request
/// is copied when it is sent to a target.
constexpr std::size_t bytesPerBodyByte = 2;
/// Part of the memory that requests may use.
constexpr double requestPart = 0.75;
/// Largest default, in bytes; a request of 64 MB still fits, since that is what callers may send.
constexpr std::size_t maxDefaultBytes = std::size_t{192} << 20;

} // namespace

MessageMemory::Share::Share(std::shared_ptr<MessageMemory> memory, Place place)
    : m_memory(std::move(memory)), m_place(place)
{ }

MessageMemory::Share::Share(Share &&other) noexcept
    : m_memory(std::move(other.m_memory)), m_place(other.m_place)
{ }

MessageMemory::Share &MessageMemory::Share::operator=(Share &&other) noexcept
{
    std::swap(m_memory, other.m_memory);
    std::swap(m_place, other.m_place);
    return *this;
}

MessageMemory::Share::~Share()
{
    if (m_memory)
        m_memory->remove(m_place);
}

bool MessageMemory::Share::resize(std::size_t bodyBytes)
{
    if (!m_memory)
        return true;
    if (m_place->givenUp)
        return false;
    m_memory->setBytes(*m_place, bodyBytes * bytesPerBodyByte);
    return m_memory->makeRoom(*m_place);
}

void MessageMemory::Share::setGiveUp(std::function<void()> giveUp)
{
    if (m_memory)
        m_place->giveUp = std::move(giveUp);
}

std::shared_ptr<MessageMemory> MessageMemory::create(std::size_t limit)
{
    return std::shared_ptr<MessageMemory>(new MessageMemory(limit));
}

MessageMemory::Share MessageMemory::share(BodyOwner owner)
{
    m_entries.push_back({owner, 0, false, {}});
    return {shared_from_this(), std::prev(m_entries.end())};
}

void MessageMemory::remove(Place place) noexcept
{
    setBytes(*place, 0);
    m_entries.erase(place);
}

void MessageMemory::setBytes(Entry &entry, std::size_t bytes) noexcept
{
    m_used = m_used - entry.bytes + bytes;
    entry.bytes = bytes;
}

/// Gives up the largest messages until the limit is kept.
/// \param keeper The message that grew, which its owner gives up itself.
/// \returns Whether the keeper may stay.
bool MessageMemory::makeRoom(const Entry &keeper)
{
    const bool isRequest = keeper.owner == BodyOwner::Request;
    const auto limit =
        isRequest ? static_cast<std::size_t>(static_cast<double>(m_limit) * requestPart) : m_limit;
    const auto size = [&keeper, isRequest](const Entry &entry) -> std::size_t {
        const bool mayDisplace = !isRequest || entry.owner == BodyOwner::Request;
        return &entry == &keeper || (entry.giveUp && mayDisplace) ? entry.bytes : 0;
    };
    while (m_used > limit) {
        Entry &largest = *std::ranges::max_element(m_entries, {}, size);
        if (size(largest) == 0)
            return true;
        ++m_givenUp;
        setBytes(largest, 0);
        largest.givenUp = true;
        if (&largest == &keeper)
            return false;
        std::exchange(largest.giveUp, {})();
    }
    return true;
}

std::size_t defaultBodyMemory() noexcept
{
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long pageBytes = ::sysconf(_SC_PAGESIZE);
    if (pages <= 0 || pageBytes <= 0)
        return maxDefaultBytes;
    const auto machine = static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageBytes);
    return std::min(machine / 2, maxDefaultBytes);
}

} // namespace yuccaspan::gateway

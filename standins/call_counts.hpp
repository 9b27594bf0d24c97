/// \file
/// \brief Counts the calls to the store by kind and by second.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/enum_names.hpp"

#include <algorithm>
#include <array>
#include <cstdint>

namespace yuccaspan::standins {

/// \brief Kind of a call to the store.
enum class CallKind {
    Read, ///< Reads one object.
    Write, ///< Writes or deletes one object.
    Watch, ///< Waits for changes.
    List, ///< Reads the list of instances.
};

/// \brief Calls of each kind, and the highest number in any one second.
class CallCounts
{
public:
    /// \brief Counts a call.
    /// \returns The number of calls in this second; watches and lists count as reads.
    std::uint64_t count(CallKind kind, TimePoint now)
    {
        const auto second = std::chrono::floor<std::chrono::seconds>(now);
        if (second != m_second) {
            m_second = second;
            m_readsThisSecond = 0;
            m_writesThisSecond = 0;
        }
        ++m_total.at(static_cast<std::size_t>(kind));
        const bool write = kind == CallKind::Write;
        std::uint64_t &inSecond = write ? m_writesThisSecond : m_readsThisSecond;
        std::uint64_t &peak = write ? m_peakWrites : m_peakReads;
        peak = std::max(peak, ++inSecond);
        return inSecond;
    }
    /// \brief Calls of one kind.
    [[nodiscard]] std::uint64_t total(CallKind kind) const
    {
        return m_total.at(static_cast<std::size_t>(kind));
    }
    /// \brief Highest number of reads in one second.
    [[nodiscard]] std::uint64_t peakReads() const noexcept { return m_peakReads; }
    /// \brief Highest number of writes in one second.
    [[nodiscard]] std::uint64_t peakWrites() const noexcept { return m_peakWrites; }

private:
    std::array<std::uint64_t, 4> m_total{};
    std::chrono::time_point<RuntimeClock, std::chrono::seconds> m_second{};
    std::uint64_t m_readsThisSecond = 0;
    std::uint64_t m_writesThisSecond = 0;
    std::uint64_t m_peakReads = 0;
    std::uint64_t m_peakWrites = 0;
};

} // namespace yuccaspan::standins

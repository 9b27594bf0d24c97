/// \file
/// \brief Rate limits and counters of the store calls of one instance.
#pragma once

#include "store/token_bucket.hpp"
#include "yuccaspan/store_http.hpp"

#include <array>
#include <atomic>

namespace yuccaspan::impl {

/// \brief Kinds of calls. The values index the arrays of token buckets and counters.
enum class CallKind {
    Read, ///< Read of one object.
    Write, ///< Conditional update.
    Watch, ///< Wait for changes.
    List, ///< Read of the list of instances; shares the token bucket of reads.
};

/// \brief Rate limiter with token buckets for reads, writes and watches.
class CallBudget
{
public:
    explicit CallBudget(const StoreBudget &budget) noexcept
        : m_reads(budget.readsPerSecond, budget.readsPerSecond * budget.burstSeconds),
          m_writes(budget.writesPerSecond, budget.writesPerSecond * budget.burstSeconds),
          m_watches(budget.watchesPerSecond, budget.watchesPerSecond * budget.burstSeconds)
    { }

    /// \brief Takes a token for one call.
    /// \returns Whether the call may be made.
    [[nodiscard]] bool tryTake(CallKind kind, TimePoint now) noexcept
    {
        const std::array<TokenBucket *, 4> buckets{&m_reads, &m_writes, &m_watches, &m_reads};
        return buckets[static_cast<std::size_t>(kind)]->tryTake(now);
    }

private:
    TokenBucket m_reads;
    TokenBucket m_writes;
    TokenBucket m_watches;
};

/// \brief Counters that may be updated and read concurrently.
class AtomicCounters
{
public:
    /// \brief Increments a counter.
    void increment(std::uint64_t StoreCounters::*counter) noexcept
    {
        for (std::size_t index = 0; index < members.size(); ++index) {
            if (members[index] == counter)
                m_values[index].fetch_add(1, std::memory_order_relaxed);
        }
    }

    /// \brief A copy of all counters.
    [[nodiscard]] StoreCounters snapshot() const noexcept
    {
        StoreCounters counters;
        for (std::size_t index = 0; index < members.size(); ++index)
            counters.*members[index] = m_values[index].load(std::memory_order_relaxed);
        return counters;
    }

private:
    static constexpr std::array members{
        &StoreCounters::reads,          &StoreCounters::writes,    &StoreCounters::watches,
        &StoreCounters::lists,          &StoreCounters::conflicts, &StoreCounters::unavailable,
        &StoreCounters::unknownResults, &StoreCounters::limited,   &StoreCounters::connects,
    };
    std::array<std::atomic<std::uint64_t>, members.size()> m_values{};
};

} // namespace yuccaspan::impl

/// \file
/// \brief The call budget of one instance and the counts of its calls.
#pragma once

#include "store/token_bucket.hpp"
#include "yuccaspan/store_http.hpp"

#include <array>
#include <atomic>

namespace yuccaspan::impl {

/// \brief Kinds of calls, in the order of their token buckets.
enum class CallKind {
    Read, ///< Reads one object.
    Write, ///< Conditional update.
    Watch, ///< Waits for changes.
    List, ///< Reads the list of instances; draws on the bucket of reads.
};

/// \brief One token bucket for each kind of call.
class CallBudget
{
public:
    explicit CallBudget(const StoreBudget &budget) noexcept
        : m_reads(budget.readsPerSecond, budget.readsPerSecond * budget.burstSeconds),
          m_writes(budget.writesPerSecond, budget.writesPerSecond * budget.burstSeconds),
          m_watches(budget.watchesPerSecond, budget.watchesPerSecond * budget.burstSeconds)
    { }

    /// \brief Takes one call from the budget.
    /// \returns Whether the call may be made.
    [[nodiscard]] bool take(CallKind kind, TimePoint now) noexcept
    {
        const std::array<TokenBucket *, 4> buckets{&m_reads, &m_writes, &m_watches, &m_reads};
        return buckets[static_cast<std::size_t>(kind)]->take(now);
    }

private:
    TokenBucket m_reads;
    TokenBucket m_writes;
    TokenBucket m_watches;
};

/// \brief Counts that one thread writes and others read.
class AtomicCounters
{
public:
    /// \brief Adds one to a count.
    void add(std::uint64_t StoreCounters::*counter) noexcept
    {
        for (std::size_t index = 0; index < members.size(); ++index) {
            if (members[index] == counter)
                m_values[index].fetch_add(1, std::memory_order_relaxed);
        }
    }

    /// \brief A copy of all counts.
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

/// \file
/// \brief Exponential backoff with full jitter.
#pragma once

#include "yuccaspan/clock.hpp"

#include <cstdint>
#include <random>

namespace yuccaspan {

/// \brief Delays between attempts, each uniformly random between zero and a bound that doubles with
/// each failure, so that callers that failed together do not retry at the same time.
class Backoff
{
public:
    /// \brief Creates a backoff with no failures recorded.
    /// \param initial Bound of the first delay.
    /// \param limit Maximum bound.
    /// \param seed Seed of the random number generator; should differ between instances.
    Backoff(Duration initial, Duration limit, std::uint64_t seed) noexcept;

    /// \brief Records a failed attempt.
    /// \returns How long to wait before the next attempt.
    [[nodiscard]] Duration failed() noexcept;
    /// \brief Records a success: resets the bound to its initial value.
    void succeeded() noexcept { m_bound = m_initial; }

private:
    Duration m_initial;
    Duration m_limit;
    Duration m_bound;
    std::mt19937_64 m_random;
};

} // namespace yuccaspan

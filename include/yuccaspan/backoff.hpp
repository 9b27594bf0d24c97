/// \file
/// \brief Exponential back-off with full jitter.
#pragma once

#include "yuccaspan/clock.hpp"

#include <cstdint>
#include <random>

namespace yuccaspan {

/// \brief Delays between attempts. Each is drawn evenly from zero to a bound that doubles with each
/// failure, so that callers which failed together do not return together.
class Backoff
{
public:
    /// \brief Creates a helper without failures.
    /// \param initial Bound of the first delay.
    /// \param limit Highest bound.
    /// \param seed Seed of the random choice; should differ between instances.
    Backoff(Duration initial, Duration limit, std::uint64_t seed) noexcept;

    /// \brief An attempt failed.
    /// \returns How long to wait before the next attempt.
    [[nodiscard]] Duration failed() noexcept;
    /// \brief An attempt succeeded: the next delay starts from the first bound.
    void succeeded() noexcept { m_bound = m_initial; }

private:
    Duration m_initial;
    Duration m_limit;
    Duration m_bound;
    std::mt19937_64 m_random;
};

} // namespace yuccaspan

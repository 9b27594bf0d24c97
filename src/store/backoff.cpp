#include "yuccaspan/backoff.hpp"

#include <algorithm>

namespace yuccaspan {

Backoff::Backoff(Duration initial, Duration limit, std::uint64_t seed) noexcept
    : m_initial(initial), m_limit(std::max(initial, limit)), m_bound(initial), m_random(seed)
{ }

Duration Backoff::failed() noexcept
{
    std::uniform_int_distribution<Duration::rep> uniform(0, m_bound.count());
    const Duration delay(uniform(m_random));
    m_bound = std::min(m_limit, m_bound * 2);
    return delay;
}

} // namespace yuccaspan

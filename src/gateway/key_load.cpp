#include "gateway/key_load.hpp"

#include "gateway/time_span.hpp"

#include <algorithm>
#include <cmath>

namespace yuccaspan::gateway {

namespace {

/// A third of the 4 to 5 s that hot spans last (deployment sheets), to follow them in time.
constexpr double decaySeconds = 1.5;
/// Time constants after which the stored values are rescaled, before they lose precision.
constexpr double maxTimeConstants = 20.0;

} // namespace

double KeyLoad::scale(TimePoint now) const
{
    return std::exp(secondsBetween(m_base, now) / decaySeconds);
}

void KeyLoad::rebase(TimePoint now)
{
    const double factor = 1.0 / scale(now);
    for (double &work : m_work)
        work *= factor;
    m_base = now;
}

void KeyLoad::add(std::uint32_t key, double work, TimePoint now)
{
    if (secondsBetween(m_base, now) > maxTimeConstants * decaySeconds)
        rebase(now);
    m_work[std::min<std::size_t>(key / keysPerBucket, buckets - 1)] += work * scale(now);
}

double KeyLoad::rate(const KeySpan &keys, TimePoint now) const
{
    double sum = 0;
    for (std::size_t bucket = keys.first / keysPerBucket; bucket <= keys.last / keysPerBucket;
         ++bucket)
        sum += m_work[bucket];
    return sum / scale(now) / decaySeconds;
}

KeySpan KeyLoad::hottest(const KeySpan &keys) const
{
    const auto begin = m_work.begin();
    const auto found =
        std::max_element(begin + keys.first / keysPerBucket, begin + keys.last / keysPerBucket + 1);
    const auto first = static_cast<std::uint32_t>(found - begin) * keysPerBucket;
    return {std::max(first, keys.first), std::min(first + keysPerBucket - 1, keys.last)};
}

std::uint32_t KeyLoad::cut(const KeySpan &keys, double share) const
{
    double total = 0;
    const std::size_t from = keys.first / keysPerBucket;
    const std::size_t to = keys.last / keysPerBucket;
    for (std::size_t bucket = from; bucket <= to; ++bucket)
        total += m_work[bucket];
    double sum = 0;
    std::size_t bucket = from;
    while (bucket < to && sum + m_work[bucket] / 2 < total * share)
        sum += m_work[bucket++];
    const auto first = static_cast<std::uint32_t>(bucket) * keysPerBucket;
    return first > keys.first && first <= keys.last ? first : keys.first;
}

} // namespace yuccaspan::gateway

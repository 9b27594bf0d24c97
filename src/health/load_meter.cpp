#include "yuccaspan/load_meter.hpp"

#include <algorithm>
#include <cmath>

namespace yuccaspan {

namespace {

/// Number of buckets that a cell's range is divided into.
constexpr std::size_t bucketCount = 2048;
/// Maximum number of keys tracked at once.
constexpr std::size_t maxKeys = 64;
/// Time constant of the exponential decay.
constexpr Duration timeConstant = std::chrono::seconds(2);
/// Counts decay in steps of this length.
constexpr Duration decayStep = std::chrono::milliseconds(100);
/// A key is reported as hot from this fraction of the cell's requests.
constexpr double hotKeyFraction = 0.005;

[[nodiscard]] double seconds(Duration span) noexcept
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

LoadMeter::LoadMeter(KeyRange range)
    : m_range(range),
      m_bucketWidth((range.last - range.first) / bucketCount + 1),
      m_buckets(bucketCount),
      m_hotPart(bucketCount)
{ }

void LoadMeter::arrived(KeyHash hash, TimePoint now)
{
    decayTo(now);
    m_buckets[bucketOf(hash)].requests += 1;
    countKey(hash);
}

void LoadMeter::recordSlotTime(KeyHash hash, Duration held, TimePoint now)
{
    decayTo(now);
    m_buckets[bucketOf(hash)].slotSeconds += seconds(held);
}

void LoadMeter::countKey(KeyHash hash)
{
    const auto found = m_keys.find(hash);
    if (found != m_keys.end()) {
        found->second.requests += 1;
        return;
    }
    if (m_keys.size() < maxKeys) {
        m_keys.emplace(hash, KeyCount{1, 0});
        return;
    }
    const auto least =
        std::min_element(m_keys.begin(), m_keys.end(), [](const auto &left, const auto &right) {
            return left.second.requests < right.second.requests;
        });
    const double inherited = least->second.requests;
    m_keys.erase(least);
    m_keys.emplace(hash, KeyCount{inherited + 1, inherited});
}

void LoadMeter::decayTo(TimePoint now)
{
    if (m_start == TimePoint()) {
        m_start = now;
        m_decayedTo = now;
    }
    if (now - m_decayedTo < decayStep)
        return;
    const double factor = std::exp(-seconds(now - m_decayedTo) / seconds(timeConstant));
    m_decayedTo = now;
    for (Bucket &bucket : m_buckets) {
        bucket.requests *= factor;
        bucket.slotSeconds *= factor;
    }
    for (auto &[hash, count] : m_keys) {
        count.requests *= factor;
        count.overcount *= factor;
    }
}

std::size_t LoadMeter::bucketOf(KeyHash hash) const noexcept
{
    return std::min<std::size_t>((hash - m_range.first) / m_bucketWidth, bucketCount - 1);
}

KeyRange LoadMeter::rangeOf(std::size_t bucket) const noexcept
{
    const KeyHash first = m_range.first + bucket * m_bucketWidth;
    const bool isLast = bucket + 1 == bucketCount;
    return {first, isLast ? m_range.last : first + (m_bucketWidth - 1)};
}

LoadMeter::Bucket LoadMeter::sumOver(const KeyRange &range) const noexcept
{
    Bucket sum;
    for (std::size_t index = bucketOf(range.first); index <= bucketOf(range.last); ++index) {
        const KeyRange bucket = rangeOf(index);
        const KeyRange common{std::max(bucket.first, range.first),
                              std::min(bucket.last, range.last)};
        const double part = common.share() / bucket.share();
        const double even = m_buckets[index].requests - m_hotPart[index].requests;
        sum.requests += std::max(0.0, even) * part;
        const double whole = std::max(m_buckets[index].requests, 1e-9);
        sum.slotSeconds += m_buckets[index].slotSeconds * std::max(0.0, even) / whole * part;
    }
    return sum;
}

std::vector<SliceLoad> LoadMeter::report(const std::vector<KeyRange> &slices, TimePoint now)
{
    decayTo(now);
    // At a steady rate, a decaying count converges to the rate times this span.
    const double span = seconds(timeConstant)
        * (1 - std::exp(-std::max(0.05, seconds(now - m_start)) / seconds(timeConstant)));
    double total = 0;
    for (const Bucket &bucket : m_buckets)
        total += bucket.requests;
    std::fill(m_hotPart.begin(), m_hotPart.end(), Bucket());
    std::vector<SliceLoad> loads;
    std::vector<std::pair<KeyHash, Bucket>> hot;
    for (const auto &[hash, count] : m_keys) {
        const double certain = count.requests - count.overcount;
        if (certain < hotKeyFraction * total || certain <= 0)
            continue;
        const Bucket &bucket = m_buckets[bucketOf(hash)];
        const double part = std::min(1.0, certain / std::max(bucket.requests, 1e-9));
        hot.push_back({hash, {certain, bucket.slotSeconds * part}});
        m_hotPart[bucketOf(hash)].requests += certain;
    }
    std::sort(hot.begin(), hot.end(),
              [](const auto &left, const auto &right) { return left.first < right.first; });
    for (const KeyRange &slice : slices) {
        Bucket sum = sumOver(slice);
        for (const auto &[hash, part] : hot) {
            if (!slice.contains(hash))
                continue;
            sum.requests += part.requests;
            sum.slotSeconds += part.slotSeconds;
            if (slice.first != slice.last)
                loads.push_back({{hash, hash}, part.requests / span, part.slotSeconds / span});
        }
        loads.push_back({slice, sum.requests / span, sum.slotSeconds / span});
    }
    return loads;
}

} // namespace yuccaspan

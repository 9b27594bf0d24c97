/// \file
/// \brief Work per part of the key space, weighted towards recent requests.
#pragma once

#include "gateway/shard_map.hpp"
#include "yuccaspan/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace yuccaspan::gateway {

/// \brief Decayed work for each bucket of neighbouring keys.
///
/// Designed for hot keys that are close together and change within seconds: a span loses its weight
/// soon after it is no longer hot, and buckets are narrow enough to split it.
class KeyLoad
{
public:
    static constexpr std::uint32_t keysPerBucket = 8; ///< Hot spans have at least 60 keys.
    static constexpr std::size_t buckets = (lastKey + 1) / keysPerBucket;

    /// \brief Adds the work of a request.
    /// \param key Key of the request.
    /// \param work Expected slot time in seconds.
    void add(std::uint32_t key, double work, TimePoint now);
    /// \brief Decayed work on the keys, in slot seconds per second.
    [[nodiscard]] double rate(const KeySpan &keys, TimePoint now) const;
    /// \brief The bucket with the most work among those of the keys.
    /// \returns Its keys, as far as they are in the span.
    [[nodiscard]] KeySpan hottest(const KeySpan &keys) const;
    /// \brief Finds the bucket boundary that splits the span so that the first part has that share
    /// of the work.
    /// \returns The first key of the second part, or keys.first if the span can't be split.
    [[nodiscard]] std::uint32_t cut(const KeySpan &keys, double share) const;

private:
    [[nodiscard]] double scale(TimePoint now) const;
    void rebase(TimePoint now);

    /// Work is scaled to the time m_base, so that decay needs no pass over the buckets.
    std::array<double, buckets> m_work{};
    TimePoint m_base{};
};

} // namespace yuccaspan::gateway

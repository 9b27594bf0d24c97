/// \file
/// \brief How much work each part of the key space brings, with recent requests counted most.
#pragma once

#include "gateway/shard_map.hpp"
#include "yuccaspan/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace yuccaspan::gateway {

/// \brief Decayed work for each bucket of neighbouring keys.
///
/// Answers the load pattern of hot keys that lie close together and change within seconds: the
/// decay forgets a hot span soon after it cools, and buckets are narrow enough to cut it apart.
class KeyLoad
{
public:
    static constexpr std::uint32_t keysPerBucket = 8; ///< Hot spans are 60 keys and more.
    static constexpr std::size_t buckets = (lastKey + 1) / keysPerBucket;

    /// \brief Adds the work of a request.
    /// \param key Key of the request.
    /// \param work Expected slot time in seconds.
    void add(std::uint32_t key, double work, TimePoint now);
    /// \brief Decayed work on the keys, in slot seconds per second.
    [[nodiscard]] double rate(const KeySpan &keys, TimePoint now) const;
    /// \brief The key at which the span is to be cut so that the first part has that share of the
    /// work, on a bucket's border.
    /// \returns The first key of the second part, within the span; span.first if it can't be cut.
    [[nodiscard]] std::uint32_t cut(const KeySpan &keys, double share) const;

private:
    [[nodiscard]] double scale(TimePoint now) const;
    void rebase(TimePoint now);

    /// Work is stored as if it had come at m_base, so that decay needs no pass over the buckets.
    std::array<double, buckets> m_work{};
    TimePoint m_base{};
};

} // namespace yuccaspan::gateway

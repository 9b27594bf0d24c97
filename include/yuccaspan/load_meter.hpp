/// \file
/// \brief Measures the load of a cell's slices, and its hot keys, at one instance.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/key_range.hpp"
#include "yuccaspan/peer_message.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace yuccaspan {

/// \brief Exponentially decaying counts of requests over a cell's range. Not thread-safe.
///
/// The range is divided into buckets that do not depend on the slices, so that the measurement
/// goes on when slices are split or merged. Hot keys are followed by the Space-Saving algorithm.
class LoadMeter
{
public:
    /// \brief Creates a meter.
    /// \param range Range of the cell.
    explicit LoadMeter(KeyRange range);

    /// \brief A request arrived.
    void arrived(KeyHash hash, TimePoint now);
    /// \brief A request held a slot of its target for this long.
    void heldSlot(KeyHash hash, Duration held, TimePoint now);
    /// \brief Loads of the given slices, and of hot keys in them.
    /// \param slices Ranges in order.
    /// \param now The current time.
    [[nodiscard]] std::vector<SliceLoad> report(const std::vector<KeyRange> &slices, TimePoint now);

private:
    struct Bucket
    {
        double requests = 0;
        double heldSeconds = 0;
    };
    struct KeyCount
    {
        double requests = 0;
        double overcount = 0; ///< Most of the count that may belong to other keys.
    };

    void decayTo(TimePoint now);
    void countKey(KeyHash hash);
    [[nodiscard]] std::size_t bucketOf(KeyHash hash) const noexcept;
    [[nodiscard]] Bucket sumOver(const KeyRange &range) const noexcept;
    [[nodiscard]] KeyRange rangeOf(std::size_t bucket) const noexcept;

    KeyRange m_range;
    KeyHash m_bucketWidth;
    std::vector<Bucket> m_buckets;
    std::vector<Bucket> m_hotPart; ///< Part of each bucket that belongs to reported keys.
    std::unordered_map<KeyHash, KeyCount> m_keys;
    TimePoint m_start;
    TimePoint m_decayedTo;
};

} // namespace yuccaspan

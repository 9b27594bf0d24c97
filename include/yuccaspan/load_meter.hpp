/// \file
/// \brief Measures the load of a cell's slices and hot keys at one instance.
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
/// The range is divided into buckets independent of the slices, so that measurements survive slice
/// splits and merges. The Space-Saving algorithm tracks hot keys.
class LoadMeter
{
public:
    /// \brief Creates a meter.
    /// \param range Key range of the cell.
    explicit LoadMeter(KeyRange range);

    /// \brief Counts an arrived request.
    void arrived(KeyHash hash, TimePoint now);
    /// \brief Adds the time for which a request held a slot of its target.
    void recordSlotTime(KeyHash hash, Duration held, TimePoint now);
    /// \brief Returns the load of the given slices and of the hot keys in them.
    /// \param slices Slice ranges in ascending order.
    /// \param now The current time.
    [[nodiscard]] std::vector<SliceLoad> report(const std::vector<KeyRange> &slices, TimePoint now);

private:
    struct Bucket
    {
        double requests = 0;
        double slotSeconds = 0;
    };
    struct KeyCount
    {
        double requests = 0;
        double overcount = 0; ///< Upper bound of the count that may belong to other keys.
    };

    void decayTo(TimePoint now);
    void countKey(KeyHash hash);
    [[nodiscard]] std::size_t bucketOf(KeyHash hash) const noexcept;
    [[nodiscard]] Bucket sumOver(const KeyRange &range) const noexcept;
    [[nodiscard]] KeyRange rangeOf(std::size_t bucket) const noexcept;

    KeyRange m_range;
    KeyHash m_bucketWidth;
    std::vector<Bucket> m_buckets;
    std::vector<Bucket> m_hotPart; ///< Portion of each bucket that belongs to reported keys.
    std::unordered_map<KeyHash, KeyCount> m_keys;
    TimePoint m_start;
    TimePoint m_decayedTo;
};

} // namespace yuccaspan

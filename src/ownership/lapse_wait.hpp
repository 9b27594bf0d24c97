/// \file
/// \brief Determines when all grants of earlier terms have expired.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/ids.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace yuccaspan::impl {

/// \brief The wait of a new placer for the authority of earlier placers to end.
///
/// An earlier placer extends its authority by a committed write, which the new term rules out, or
/// by promises. Once enough of the old candidates know the new term, it can no longer obtain the
/// promises that it needs; its remaining authority ends within one authority length.
class LapseWait
{
public:
    /// \brief A wait that is already over, for a cell without an earlier term.
    [[nodiscard]] static LapseWait none();
    /// \brief Waits for the terms before the newly committed one.
    /// \param self The new placer, which promises nothing to an earlier one.
    /// \param oldCandidates Candidates of the record that was replaced.
    /// \param confirmedAt When the commit of the new term became known.
    /// \param length Longest authority, measured on the slowest clock.
    LapseWait(InstanceId self, std::vector<InstanceId> oldCandidates, TimePoint confirmedAt,
              Duration length);

    /// \brief Records that a candidate promised the new term, so that it refuses earlier ones.
    void recordRefusal(const InstanceId &candidate, TimePoint at);
    /// \brief When earlier terms expire; empty while too few refusals are known.
    /// \param isGone Whether an instance no longer runs.
    [[nodiscard]] std::optional<TimePoint>
    end(const std::function<bool(const InstanceId &)> &isGone) const;
    /// \brief Whether the wait is over. Remains true from then on.
    [[nodiscard]] bool isOver(const std::function<bool(const InstanceId &)> &isGone, TimePoint now);
    /// \brief Candidates whose refusals count.
    [[nodiscard]] const std::vector<InstanceId> &candidates() const noexcept
    {
        return m_candidates;
    }
    /// \brief Whether isOver() has returned true before.
    [[nodiscard]] bool hasEnded() const noexcept { return m_over; }

private:
    LapseWait() = default;

    InstanceId m_self;
    std::vector<InstanceId> m_candidates;
    TimePoint m_confirmedAt;
    Duration m_length{};
    std::map<InstanceId, TimePoint> m_refusals;
    bool m_over = false;
};

} // namespace yuccaspan::impl

/// \file
/// \brief When everything that earlier terms may have granted has lapsed.
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
/// An earlier placer extends its authority by a committed write, which the new term excludes, or by
/// promises. Once enough of the old candidates know the new term, it can gather them no more; what
/// it had then ends within one authority length.
class LapseWait
{
public:
    /// \brief Nothing to wait for: the cell had no earlier term.
    [[nodiscard]] static LapseWait none();
    /// \brief Waits for the terms before the one committed now.
    /// \param self The new placer, which promises nobody.
    /// \param oldCandidates Candidates of the record that was replaced.
    /// \param confirmedAt When the new term was known to be committed.
    /// \param length Longest authority on the slowest clock.
    LapseWait(InstanceId self, std::vector<InstanceId> oldCandidates, TimePoint confirmedAt,
              Duration length);

    /// \brief A candidate promised the new term, and so promises no earlier one any more.
    void refused(const InstanceId &candidate, TimePoint at);
    /// \brief The instant at which earlier terms have lapsed; nothing while too few are known.
    /// \param isGone Whether an instance no longer runs.
    [[nodiscard]] std::optional<TimePoint>
    end(const std::function<bool(const InstanceId &)> &isGone) const;
    /// \brief Whether the wait is over. Stays true once it was.
    [[nodiscard]] bool isOver(const std::function<bool(const InstanceId &)> &isGone, TimePoint now);
    /// \brief The candidates whose refusal counts.
    [[nodiscard]] const std::vector<InstanceId> &candidates() const noexcept
    {
        return m_candidates;
    }
    /// \brief Whether isOver() was true.
    [[nodiscard]] bool wasOver() const noexcept { return m_over; }

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

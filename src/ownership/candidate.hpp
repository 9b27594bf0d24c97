/// \file
/// \brief The role of an instance that may take over a cell.
#pragma once

#include "placement/context.hpp"

namespace yuccaspan::impl {

/// \brief Keeps the promises of one instance for one cell and detects an unresponsive placer.
class Candidate
{
public:
    /// \param now When the cell became known.
    explicit Candidate(TimePoint now) : m_knownSince(now), m_heardAt(now) { }

    /// \brief Answers a placer's request for a promise.
    /// \param request The request.
    /// \param isTakingOver Whether the result of this instance's own takeover write is pending.
    /// \param now The current time.
    [[nodiscard]] PromiseAnswer answer(const PromiseRequest &request, bool isTakingOver,
                                       TimePoint now);
    /// \brief Handles a record that was read from the store.
    void onObserved(const CellRecord &record, TimePoint now);
    /// \brief Restarts the wait for the placer: a pause of this process must not count against it.
    void onClockJump(TimePoint now) { m_heardAt = now; }
    /// \brief Whether this instance should take over the cell now.
    /// \param context Members.
    /// \param record The record as this instance knows it.
    /// \param now The current time.
    [[nodiscard]] bool shouldTakeOver(const Context &context, const CellRecord &record,
                                      TimePoint now) const;
    /// \brief The highest known term.
    [[nodiscard]] Term knownTerm() const noexcept { return m_knownTerm; }

private:
    [[nodiscard]] bool isPlacerIsolated(const Context &context, const CellRecord &record) const;
    [[nodiscard]] Duration rankDelay(const Context &context, const CellRecord &record) const;

    Term m_knownTerm;
    TimePoint m_knownSince;
    TimePoint m_heardAt;
    TimePoint m_recordChangedAt;
};

/// \brief Whether an instance that is not a candidate may take over the cell, which is the case
/// once all candidates are gone.
[[nodiscard]] bool mayTakeOverFromOutside(const Context &context, const CellRecord &record);

} // namespace yuccaspan::impl

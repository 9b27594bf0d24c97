/// \file
/// \brief An instance as one of those that may take a cell over.
#pragma once

#include "placement/context.hpp"

namespace yuccaspan::impl {

/// \brief Keeps the promises of one instance for one cell, and suspects a silent placer.
class Candidate
{
public:
    /// \param now When the cell became known.
    explicit Candidate(TimePoint now) : m_knownSince(now), m_heardAt(now) { }

    /// \brief A placer asks for a promise.
    /// \param request The request.
    /// \param isTakingOver Whether this instance's own write of a term is not resolved.
    /// \param now The current time.
    [[nodiscard]] PromiseAnswer answer(const PromiseRequest &request, bool isTakingOver,
                                       TimePoint now);
    /// \brief A record was seen in the store.
    void observed(const CellRecord &record, TimePoint now);
    /// \brief This process was stopped: its own pause is no silence of the placer.
    void clockJumped(TimePoint now) { m_heardAt = now; }
    /// \brief Whether this instance should take the cell over now.
    /// \param context Members.
    /// \param record The record as known here.
    /// \param now The current time.
    [[nodiscard]] bool shouldTakeOver(const Context &context, const CellRecord &record,
                                      TimePoint now) const;
    /// \brief The highest term known.
    [[nodiscard]] Term knownTerm() const noexcept { return m_knownTerm; }

private:
    [[nodiscard]] bool isPlacerIsolated(const Context &context, const CellRecord &record) const;
    [[nodiscard]] Duration rankDelay(const Context &context, const CellRecord &record) const;

    Term m_knownTerm;
    TimePoint m_knownSince;
    TimePoint m_heardAt;
    TimePoint m_recordChangedAt;
};

/// \brief Whether an instance that is no candidate may take the cell over: all candidates are gone.
[[nodiscard]] bool mayTakeOverFromOutside(const Context &context, const CellRecord &record);

} // namespace yuccaspan::impl

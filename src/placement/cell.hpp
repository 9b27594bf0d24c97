/// \file
/// \brief One cell at one instance in the roles of entry, candidate and placer.
#pragma once

#include "ownership/candidate.hpp"
#include "ownership/record_writer.hpp"
#include "placement/context.hpp"
#include "placement/entry_view.hpp"
#include "placement/placer.hpp"

#include <memory>
#include <optional>

namespace yuccaspan::impl {

/// \brief All roles of this instance in one cell.
class Cell
{
public:
    /// \param id The cell.
    /// \param now When the cell became known.
    Cell(CellId id, TimePoint now);

    /// \name Events
    /// @{
    void tick(Context &context, TimePoint now);
    void onClockJump(Context &context, TimePoint now);
    /// \brief Handles a record from the store or a peer; lower versions are ignored.
    void onObserved(Context &context, const CellRecord &record, ObjectVersion version,
                    TimePoint now);
    /// \brief Handles the store's answer to a read of the record.
    void onReadAnswered(TimePoint now) { m_readAnsweredAt = now; }
    void onWritten(Context &context, const StoreWrittenEvent &event, TimePoint now);
    void onMessage(Context &context, const InstanceId &from, const PeerMessage &message,
                   TimePoint now);
    void onTargetAnswer(Context &context, const TargetAnswerEvent &event, TimePoint now);
    void onSliceIdle(Context &context, const SliceIdleEvent &event, TimePoint now);
    void onLoadMeasured(Context &context, const LoadReport &report);
    /// \brief Creates the record.
    /// \param context Receives the action.
    /// \param range Range of the cell.
    /// \param now The current time.
    void create(Context &context, const KeyRange &range, TimePoint now);
    /// @}

    /// \name State
    /// @{
    [[nodiscard]] const CellId &id() const noexcept { return m_id; }
    [[nodiscard]] bool hasRecord() const noexcept { return m_version.value != 0; }
    [[nodiscard]] const CellRecord &record() const noexcept { return m_record; }
    [[nodiscard]] ObjectVersion version() const noexcept { return m_version; }
    [[nodiscard]] Placer *placer() noexcept { return m_placer.get(); }
    [[nodiscard]] bool isClaiming() const noexcept { return m_claim.isBusy(); }
    [[nodiscard]] bool owns(std::uint64_t writeId) const noexcept;
    [[nodiscard]] bool isIdle() const noexcept { return !m_placer && !m_claim.isBusy(); }
    [[nodiscard]] CellStatus status(TimePoint now) const;
    /// @}

private:
    void takeOver(Context &context, TimePoint now);
    [[nodiscard]] bool isStoreReachable(Context &context, TimePoint now);
    void confirmHandover(Context &context, TimePoint now);
    void claim(Context &context, CellRecord record, ObjectVersion expected, TimePoint now);
    void finishClaim(Context &context, const CellRecord &record, const WriteOutcome &outcome,
                     TimePoint now);
    void dropRetired(Context &context, TimePoint now);
    void answerPromise(Context &context, const InstanceId &from, const PromiseRequest &request,
                       TimePoint now);
    void adopt(const CellRecord &record, ObjectVersion version);

    CellId m_id;
    CellRecord m_record;
    ObjectVersion m_version;
    Candidate m_candidate;
    EntryView m_entry;
    RecordWriter m_claim;
    std::vector<InstanceId> m_claimedFrom;
    std::unique_ptr<Placer> m_placer;
    Term m_retiredTerm;
    std::uint64_t m_loadSequence = 0;
    TimePoint m_nextReadAt;
    std::optional<TimePoint> m_readAnsweredAt;
};

} // namespace yuccaspan::impl

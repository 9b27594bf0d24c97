/// \file
/// \brief An instance as the placer of one cell in one term.
#pragma once

#include "ownership/authority.hpp"
#include "ownership/grant_book.hpp"
#include "ownership/lapse_wait.hpp"
#include "ownership/lifecycles.hpp"
#include "ownership/record_writer.hpp"
#include "ownership/route_publisher.hpp"
#include "placement/context.hpp"
#include "placement/load_summary.hpp"
#include "placement/slice_run.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace yuccaspan::impl {

/// \brief Describes a slice for the log.
[[nodiscard]] std::string sliceName(const KeyRange &range);

/// \brief The committed term in which a placer starts.
struct TermStart
{
    CellRecord record; ///< The record that names the placer.
    ObjectVersion version; ///< Version of the record.
    TimePoint confirmedAt; ///< When the write that confirmed it was sent.
    LapseWait earlierTerms; ///< The wait for earlier terms to expire.
};

/// \brief Manages authority, grants, routes and moves of one cell.
class Placer
{
public:
    Placer(Context &context, TermStart start, TimePoint now);

    /// \name Events
    /// @{
    void tick(Context &context, TimePoint now);
    void onWritten(Context &context, const StoreWrittenEvent &event, TimePoint now);
    /// \brief Handles a record from the store, of at least the version known here.
    void onObserved(Context &context, const CellRecord &record, ObjectVersion version,
                    TimePoint now);
    void onPromiseAnswer(Context &context, const InstanceId &from, const PromiseAnswer &answer,
                         TimePoint now);
    void onAcknowledged(Context &context, const InstanceId &from, const RouteAck &ack,
                        TimePoint now);
    void onTargetAnswer(Context &context, const TargetAnswerEvent &event, TimePoint now);
    void onLoadReport(const InstanceId &from, const LoadReport &report, TimePoint now);
    void onMoveRequest(Context &context, const MoveRequestEvent &request, TimePoint now);
    void onSplitRequest(const SplitRequestEvent &request);
    void onMergeRequest(const MergeRequestEvent &request);
    void leave(Context &context, TimePoint now);
    /// \brief Ends this term because a higher one is known.
    void retire(Context &context, const std::string &reason);
    /// @}

    /// \name State
    /// @{
    [[nodiscard]] const CellRecord &record() const noexcept { return m_record; }
    [[nodiscard]] ObjectVersion version() const noexcept { return m_version; }
    [[nodiscard]] bool isRetired() const noexcept { return m_life.phase() == PlacerPhase::Retired; }
    [[nodiscard]] bool owns(std::uint64_t writeId) const noexcept { return m_writer.owns(writeId); }
    [[nodiscard]] TimePoint authorityUntil(TimePoint now) const;
    void describe(CellStatus &status, TimePoint now) const;
    /// @}

private:
    struct PlannedSplitOrMerge
    {
        std::variant<PlannedSplit, PlannedMerge> change;
    };

    // placer.cpp: authority and record.
    void requestPromises(Context &context, TimePoint now);
    void progress(Context &context, TimePoint now);
    void finishWrite(Context &context, const std::optional<WriteOutcome> &outcome, TimePoint now);
    void adopt(Context &context, CellRecord record, ObjectVersion version, TimePoint now);
    void loadSlices(bool earlierTerms);
    [[nodiscard]] bool earlierTermsExpired(const Context &context, TimePoint now);

    // placer_record.cpp: the next record.
    void writeIfNeeded(Context &context, TimePoint now);
    [[nodiscard]] CellRecord nextRecord(Context &context, TimePoint now, bool &changed);
    [[nodiscard]] bool applyMoves(CellRecord &record) const;
    [[nodiscard]] bool applyShapeChanges(Context &context, CellRecord &record);
    [[nodiscard]] bool applyCandidates(const Context &context, CellRecord &record, TimePoint now);
    [[nodiscard]] bool applyHandOver(const Context &context, CellRecord &record) const;
    [[nodiscard]] bool isConfirmationDue(TimePoint now) const;
    void endHandOver(Context &context, TimePoint now);

    // placer_moves.cpp: moves, grants and routes.
    void advanceMoves(Context &context, TimePoint now);
    [[nodiscard]] bool advance(Context &context, SliceRun &run, TimePoint now);
    [[nodiscard]] bool drain(Context &context, SliceRun &run, TimePoint now);
    [[nodiscard]] bool release(Context &context, SliceRun &run, TimePoint now);
    [[nodiscard]] bool confirm(Context &context, SliceRun &run, TimePoint now);
    void assignGrants(Context &context, TimePoint now);
    void updateRoutes();
    [[nodiscard]] Route routeOf(const SliceRun &run) const;
    [[nodiscard]] SliceRun *findRun(const KeyRange &range);

    // placer_plan.cpp: what to change.
    void plan(Context &context, TimePoint now);
    void watchTargets(Context &context);
    void evacuateLostTargets(Context &context, TimePoint now);
    void planByBalancer(Context &context, TimePoint now);
    [[nodiscard]] std::vector<BalanceTarget> balanceTargets(const Context &context,
                                                            TimePoint now) const;
    [[nodiscard]] bool startMove(Context &context, SliceRun &run, const TargetId &to,
                                 const std::string &reason, TimePoint now);
    [[nodiscard]] bool isUsable(const Context &context, const TargetSettings &target) const;
    [[nodiscard]] std::uint32_t movesUnderWay() const;
    void shareCapacities(Context &context, TimePoint now);

    CellRecord m_record;
    ObjectVersion m_version;
    PlacerLifecycle m_life;
    RecordWriter m_writer;
    Authority m_authority;
    LapseWait m_earlierTerms;
    GrantBook m_book;
    RoutePublisher m_publisher;
    std::vector<SliceRun> m_runs;
    std::deque<PlannedSplitOrMerge> m_shapeChanges;
    std::unique_ptr<Balancer> m_balancer;
    LoadSummary m_loads;
    std::set<TargetId> m_unchecked;
    std::map<std::uint64_t, TimePoint> m_promiseSentAt;
    std::map<InstanceId, TimePoint> m_candidateSince;
    std::uint64_t m_promiseSequence = 0;
    TimePoint m_nextPromiseAt;
    TimePoint m_nextPlanAt;
    TimePoint m_leavingSince;
    TimePoint m_nextWriteAt;
    bool m_hadAuthority = true;
    bool m_isRecordTooLarge = false;
    bool m_dropsUnion = false;
};

} // namespace yuccaspan::impl

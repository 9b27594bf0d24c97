/// \file
/// \brief What the answers of the store prove about the age of what an instance knows.
#pragma once

#include "gateway/evidence/store_mark.hpp"
#include "yuccaspan/clock.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace yuccaspan::gateway {

/// \brief Dates changes of the store by what was proven before they were known. Sans-IO.
///
/// The time at which an answer arrives proves nothing about the time of the changes in it: a watch
/// may have been silent, an answer delayed, an instance frozen. A change is therefore dated from
/// the latest time at which the store is known not to have had it, and an instance without proofs
/// dates its changes early.
///
/// Also notices that a change which another instance knows does not arrive, however fresh the
/// instance's own sources seem.
class StoreEvidence
{
public:
    /// \brief Least time between two recorded revisions of the store.
    static constexpr Duration revisionInterval = std::chrono::milliseconds(100);
    /// \brief Number of recorded revisions.
    static constexpr std::size_t maxRevisions = 32;
    /// \brief Usual time until a change that another instance knows has arrived here.
    static constexpr Duration arrivalTime = std::chrono::milliseconds(400);
    /// \brief Least time between two reports that the same kind is overdue.
    static constexpr Duration overdueInterval = std::chrono::milliseconds(1000);

    /// \brief The store had no later revision at a time: changes with later ones came after it.
    /// \param asOf When the call was sent that was answered with the revision, or later.
    void observed(StoreRevision revision, TimePoint asOf);
    /// \brief All changes of a kind up to a revision of the store are in force.
    /// \param lastChange The last of them; none if there were no new ones.
    void applied(ObjectKind kind, StoreRevision upTo, StoreRevision lastChange);
    /// \brief A list of a kind as of a revision of the store is in force.
    ///
    /// It doesn't show the revisions of deletions; they may be as late as the list's.
    /// \param lastObject The last revision of an object in it.
    void listed(ObjectKind kind, StoreRevision revision, StoreRevision lastObject);
    /// \brief All changes of a kind up to a time are in force.
    void proven(ObjectKind kind, TimePoint asOf);

    /// \brief Up to when all changes of a kind are in force; the start of the clock if unknown.
    [[nodiscard]] TimePoint provenAt(ObjectKind kind) const;
    /// \brief Earliest time at which the store can have made a change that was unknown so far.
    /// \param change Revision of the change; one that isn't newer than what is in force is ignored.
    [[nodiscard]] TimePoint changedSince(ObjectKind kind, StoreRevision change) const;

    /// \brief A change exists, in force here or not.
    void told(ObjectKind kind, StoreRevision change, TimePoint now);
    /// \brief Whether a change that was told is not in force.
    [[nodiscard]] bool behind(ObjectKind kind) const;
    /// \brief Since when a change that was told is not in force; nothing if all are.
    [[nodiscard]] std::optional<TimePoint> behindSince(ObjectKind kind) const;
    /// \brief Up to which revision of the store all changes of a kind are in force.
    [[nodiscard]] StoreRevision upTo(ObjectKind kind) const;
    /// \brief Kinds of which a change that was told has not come into force in its time.
    [[nodiscard]] std::vector<ObjectKind> overdue(TimePoint now);

    /// \brief What this instance can prove to others.
    [[nodiscard]] StoreMark mark(TimePoint now) const;
    /// \brief Takes in the proofs of another instance.
    /// \param askedAt When it was asked; its ages count from there at the latest.
    void take(const StoreMark &mark, TimePoint askedAt, TimePoint now);

private:
    struct Kind
    {
        StoreRevision upTo; ///< Everything up to this revision of the store is in force.
        StoreRevision lastChange;
        StoreRevision lastList;
        TimePoint provenAt{};
        StoreRevision told; ///< First change that was told and may not be in force.
        TimePoint toldAt{};
        TimePoint overdueFrom{};
    };
    struct Revision
    {
        StoreRevision revision;
        TimePoint asOf;
    };

    std::map<ObjectKind, Kind> m_kinds;
    std::deque<Revision> m_revisions; ///< In the order of both members.
};

} // namespace yuccaspan::gateway

/// \file
/// \brief State of a slice at its placer: its record, its possible holders, and its move.
#pragma once

#include "ownership/lifecycles.hpp"
#include "yuccaspan/cell_record.hpp"
#include "yuccaspan/clock.hpp"

#include <optional>
#include <string>
#include <vector>

namespace yuccaspan::impl {

/// \brief A target that may hold a slice until a given time.
struct Hold
{
    TargetId target; ///< The target.
    std::string startId; ///< Start id that was granted; empty with earlierTerm.
    TimePoint until; ///< Expiry on the placer's clock; unused with earlierTerm.
    bool earlierTerm = false; ///< Granted in an earlier term; lasts until those expire.
};

/// \brief A move in progress.
struct Move
{
    MoveLifecycle life; ///< State of the move.
    TargetId to; ///< The next owner.
    std::string why; ///< Reason, for the log.
    std::uint64_t heldSince = 0; ///< First route sequence in which the slice is held.
    TimePoint since; ///< When the move entered its state.
    bool opened = false; ///< Whether the next owner confirmed.
};

/// \brief One slice at its placer.
struct SliceRun
{
    SliceRecord record; ///< As committed.
    std::vector<Hold> holds; ///< Who may hold it.
    std::optional<Move> move; ///< Its move, if any.

    /// \brief Whether a target other than `target` may hold the slice.
    /// \param target The target that should hold it.
    /// \param earlierTermsExpired Whether earlier terms have expired.
    /// \param now The current time.
    [[nodiscard]] bool isHeldByOthers(const TargetId &target, bool earlierTermsExpired,
                                      TimePoint now) const;
    /// \brief Records that a grant was sent to a target.
    void extend(const TargetId &target, const std::string &startId, TimePoint until);
    /// \brief Notes that a target gave the slice back.
    void release(const TargetId &target, const std::string &startId);
    /// \brief Forgets holds that have ended.
    void removeExpired(bool earlierTermsExpired, TimePoint now);
    /// \brief The target that is granted the slice at this point, or an empty id.
    [[nodiscard]] TargetId grantee() const;
    /// \brief The token that goes with grantee().
    [[nodiscard]] FencingToken granteeToken() const;
};

} // namespace yuccaspan::impl

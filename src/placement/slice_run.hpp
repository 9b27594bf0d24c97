/// \file
/// \brief A slice as its placer handles it: its record, who may hold it, and its move.
#pragma once

#include "ownership/lifecycles.hpp"
#include "yuccaspan/cell_record.hpp"
#include "yuccaspan/clock.hpp"

#include <optional>
#include <string>
#include <vector>

namespace yuccaspan::impl {

/// \brief A target that may hold a slice until an instant.
struct Hold
{
    TargetId target; ///< The target.
    std::string startId; ///< Start id that was granted; empty with earlierTerm.
    TimePoint until; ///< The instant on the placer's clock; unused with earlierTerm.
    bool earlierTerm = false; ///< Granted in an earlier term: lasts until those have lapsed.
};

/// \brief A move under way.
struct Move
{
    MoveLifecycle life; ///< How far it has come.
    TargetId to; ///< The next owner.
    std::string why; ///< Said in the log.
    std::uint64_t heldSince = 0; ///< Route sequence since which entries hold the slice.
    TimePoint since; ///< When it entered its state.
    bool opened = false; ///< Whether the next owner confirmed.
};

/// \brief One slice at its placer.
struct SliceRun
{
    SliceRecord record; ///< As committed.
    std::vector<Hold> holds; ///< Who may hold it.
    std::optional<Move> move; ///< Its move, if any.

    /// \brief Whether a target other than `target` may hold the slice.
    /// \param target The target that is to hold it.
    /// \param earlierLapsed Whether earlier terms have lapsed.
    /// \param now The current time.
    [[nodiscard]] bool isHeldByOthers(const TargetId &target, bool earlierLapsed,
                                      TimePoint now) const;
    /// \brief Notes that a target was sent a grant.
    void extend(const TargetId &target, const std::string &startId, TimePoint until);
    /// \brief Notes that a target gave the slice back.
    void release(const TargetId &target, const std::string &startId);
    /// \brief Forgets holds that have ended.
    void forgetLapsed(bool earlierLapsed, TimePoint now);
    /// \brief The target that is granted the slice at this point, or an empty id.
    [[nodiscard]] TargetId grantee() const;
    /// \brief The token that goes with grantee().
    [[nodiscard]] FencingToken granteeToken() const;
};

} // namespace yuccaspan::impl

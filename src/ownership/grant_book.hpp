/// \file
/// \brief Target states known to the placer of one cell, and the orders that it sends.
#pragma once

#include "ownership/lifecycles.hpp"
#include "placement/context.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccaspan::impl {

/// \brief A grant or probe that awaits its answer.
struct OrderInFlight
{
    std::uint64_t orderId = 0; ///< Id of the order.
    TimePoint sentAt; ///< When it was sent.
    std::uint64_t setVersion = 0; ///< Version of the granted set; 0 for a probe.
    std::string startId; ///< Start id that the order was addressed to.
};

/// \brief A revoke that awaits its answer.
struct RevokeInFlight
{
    TargetId target; ///< The receiver.
    std::string startId; ///< Start id that the revoke was addressed to.
    KeyRange range; ///< The slice.
    FencingToken token; ///< Fencing token of the slice.
    TimePoint sentAt; ///< When it was sent.
};

/// \brief What the placer knows about one target.
struct TargetEntry
{
    TargetLifecycle life; ///< Whether the target answers.
    std::string startId; ///< Empty until the first answer.
    Duration clock{}; ///< The target's clock as last reported.
    TimePoint clockAt; ///< Local time at or after the target read its clock.
    TargetState state = TargetState::Warm; ///< State that the target reported.
    std::vector<GrantedSlice> set; ///< Slices that the target should hold.
    std::uint64_t setVersion = 0; ///< Incremented on each change of the set.
    std::uint64_t ackedSetVersion = 0; ///< Set version confirmed under the current start id.
    TimePoint ackedUntil; ///< Lower bound of the confirmed grant's expiry.
    std::optional<OrderInFlight> order; ///< Grant or probe in flight.
    TimePoint orderUntil; ///< Expiry of the grant in flight.
    bool lastAnswered = false; ///< Whether the last order was answered.
    TimePoint nextAt; ///< When the next order is due.
};

/// \brief What changed through an answer.
struct AnswerEffect
{
    Term knownTerm; ///< Highest term known to the target.
    bool hasRestarted = false; ///< The target has restarted.
    bool isLost = false; ///< The target has just been declared lost.
    bool hasRecovered = false; ///< The target answers again or for the first time.
    bool hasChanges = false; ///< Anything but the renewal of an unchanged set.
    std::optional<RevokeInFlight> revoked; ///< The revoke that the target accepted.
};

/// \brief Tracks the targets of one cell and sends them the orders of one term.
class GrantBook
{
public:
    /// \param cell The cell.
    /// \param term The placer's term.
    GrantBook(CellId cell, Term term);

    /// \name Sets
    /// @{
    /// \brief Sets the slices that each target should hold; targets that are not named hold none.
    /// Changes are sent at the next step.
    void assignAll(std::map<TargetId, std::vector<GrantedSlice>> sets);
    /// \brief Whether the target confirmed its current set and the grant has not expired.
    [[nodiscard]] bool isConfirmed(const TargetId &target, TimePoint now) const;
    /// \brief Whether the target confirmed a set that contains the slice and the grant has not
    /// expired.
    [[nodiscard]] bool isConfirmed(const TargetId &target, const KeyRange &range,
                                   TimePoint now) const;
    /// @}

    /// \name Orders
    /// @{
    /// \brief Sends the orders that are due.
    /// \param context Receives the actions.
    /// \param authorityUntil Latest expiry of any grant.
    /// \param now The current time.
    /// \returns Targets that were sent a grant, with its expiry and start id.
    struct Extension
    {
        TargetId target;
        std::string startId;
        TimePoint until;
    };
    [[nodiscard]] std::vector<Extension> step(Context &context, TimePoint authorityUntil,
                                              TimePoint now);
    /// \brief Sends a revoke for a slice, unless one is in flight.
    void revoke(Context &context, const TargetId &target, const GrantedSlice &slice, TimePoint now);
    /// \brief Handles a target's answer or the timeout of an order.
    [[nodiscard]] AnswerEffect onAnswer(const TargetId &target, const TargetAnswer &answer,
                                        const PlacementTiming &timing, TimePoint now);
    /// @}

    /// \name Targets
    /// @{
    /// \brief The target, or null if it is unknown.
    [[nodiscard]] const TargetEntry *find(const TargetId &target) const;
    /// \brief State of a target's lifecycle.
    [[nodiscard]] TargetPhase phase(const TargetId &target) const;
    /// \brief Starts probing a target.
    void watch(const TargetId &target);
    /// \brief Removes targets that hold no slice and that the predicate does not keep.
    template <typename Predicate>
    void keepOnly(Predicate keep)
    {
        std::erase_if(m_targets, [&](const auto &entry) {
            return entry.second.set.empty() && !keep(entry.first);
        });
    }
    /// @}

private:
    static void assign(TargetEntry &entry, std::vector<GrantedSlice> set);
    [[nodiscard]] bool isRevoking(const TargetId &target, TimePoint now) const;
    [[nodiscard]] bool isDue(const TargetEntry &entry, TimePoint now) const;
    void expireOrders(const PlacementTiming &timing, TimePoint now);
    void recordAnswer(TargetEntry &entry, const TargetAnswer &answer, AnswerEffect &effect,
                      TimePoint now);
    void recordNoAnswer(TargetEntry &entry, AnswerEffect &effect, const PlacementTiming &timing,
                        TimePoint now);
    [[nodiscard]] std::optional<Extension> grant(Context &context, const TargetId &target,
                                                 TargetEntry &entry, TimePoint authorityUntil,
                                                 TimePoint now);
    void probe(Context &context, const TargetId &target, TargetEntry &entry, TimePoint now);

    CellId m_cell;
    Term m_term;
    std::uint64_t m_sequence = 0;
    std::map<TargetId, TargetEntry> m_targets;
    std::map<std::uint64_t, RevokeInFlight> m_revokes;
};

} // namespace yuccaspan::impl

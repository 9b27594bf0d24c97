/// \file
/// \brief What the placer of one cell knows of the targets, and the orders it sends them.
#pragma once

#include "ownership/lifecycles.hpp"
#include "placement/context.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccaspan::impl {

/// \brief An order that waits for its answer.
struct OrderInFlight
{
    std::uint64_t orderId = 0; ///< Its id.
    TimePoint sentAt; ///< When it was sent.
    std::uint64_t setVersion = 0; ///< With a grant: version of the set; 0 for a probe.
    std::string startId; ///< Start id that it names.
};

/// \brief A revoke that waits for its answer.
struct RevokeInFlight
{
    TargetId target; ///< The receiver.
    std::string startId; ///< Start id that it names.
    KeyRange range; ///< The slice.
    FencingToken token; ///< Its token.
    TimePoint sentAt; ///< When it was sent.
};

/// \brief What is known of one target.
struct TargetEntry
{
    TargetLifecycle life; ///< Whether it answers.
    std::string startId; ///< Empty until it answered.
    Duration clock{}; ///< A reading of its clock.
    TimePoint clockAt; ///< An instant no earlier than the reading.
    TargetState state = TargetState::Warm; ///< As it describes itself.
    std::vector<GrantedSlice> set; ///< Slices it is to hold.
    std::uint64_t setVersion = 0; ///< Grows with each change of the set.
    std::uint64_t ackedSetVersion = 0; ///< Version that it confirmed with its present start id.
    TimePoint ackedUntil; ///< An instant up to which the confirmed grant lasts at the least.
    std::optional<OrderInFlight> order; ///< Grant or probe under way.
    TimePoint orderUntil; ///< Expiry of the grant under way.
    bool lastAnswered = false; ///< Whether the last order was answered.
    TimePoint nextAt; ///< When the next order is due.
};

/// \brief What an answer showed.
struct AnswerEffect
{
    Term knownTerm; ///< Highest term the target knows.
    bool isNewStart = false; ///< The target was restarted.
    bool isLost = false; ///< The target has just been given up.
    bool isBack = false; ///< The target answers again, or for the first time.
    bool isChange = false; ///< More than the renewal of an unchanged set came of it.
    std::optional<RevokeInFlight> revoked; ///< A revoke that was accepted.
};

/// \brief Targets of one cell, and the orders of one term to them.
class GrantBook
{
public:
    /// \param cell The cell.
    /// \param term The placer's term.
    GrantBook(CellId cell, Term term);

    /// \name Sets
    /// @{
    /// \brief Sets which slices each target is to hold, none if it is not named; a change is
    /// ordered at the next step.
    void assignAll(std::map<TargetId, std::vector<GrantedSlice>> sets);
    /// \brief Whether the target confirmed its present set, and holds it now.
    [[nodiscard]] bool isConfirmed(const TargetId &target, TimePoint now) const;
    /// \brief Whether the target confirmed a set with the slice, and holds it now.
    [[nodiscard]] bool isConfirmed(const TargetId &target, const KeyRange &range,
                                   TimePoint now) const;
    /// @}

    /// \name Orders
    /// @{
    /// \brief Sends the orders that are due.
    /// \param context Receives the actions.
    /// \param authorityUntil No grant lasts longer.
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
    /// \brief Asks a target to give a slice back, unless that is under way.
    void revoke(Context &context, const TargetId &target, const GrantedSlice &slice, TimePoint now);
    /// \brief A target answered, or the wait for its answer ended.
    [[nodiscard]] AnswerEffect answered(const TargetId &target, const TargetAnswer &answer,
                                        const PlacementTiming &timing, TimePoint now);
    /// @}

    /// \name Targets
    /// @{
    /// \brief The target, or null if it is not known here.
    [[nodiscard]] const TargetEntry *find(const TargetId &target) const;
    /// \brief State of a target's lifecycle.
    [[nodiscard]] TargetPhase phase(const TargetId &target) const;
    /// \brief Makes sure that a target is asked how it is.
    void watch(const TargetId &target);
    /// \brief Forgets targets that the predicate does not keep and that hold nothing.
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
    void noteAnswer(TargetEntry &entry, const TargetAnswer &answer, AnswerEffect &effect,
                    TimePoint now);
    void noteSilence(TargetEntry &entry, AnswerEffect &effect, const PlacementTiming &timing,
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

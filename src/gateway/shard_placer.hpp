/// \file
/// \brief Assigns the keys of one service to targets and issues the orders that move them.
#pragma once

#include "gateway/key_load.hpp"
#include "gateway/shard_map.hpp"
#include "gateway/target_directory.hpp"
#include "yuccaspan/enum_names.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccaspan::gateway {

/// \brief What an order asks of a target.
enum class OrderKind {
    Grant, ///< Hold the keys for a span of time from the order's arrival.
    Release, ///< Accept no new work on the keys; answered when work in progress has ended.
};

/// \brief Result of an order, as seen by its sender.
enum class OrderOutcome {
    Done, ///< The target executed it.
    Refused, ///< The target has seen a higher fencing token.
    WrongTarget, ///< A different target listens at the address; the intended one has ended.
    NotSent, ///< No part of it left this process.
    /// It may have been executed, or may still be, by the intended incarnation or a later one: the
    /// directory may lag behind a restart, and answers don't name the incarnation.
    NoAnswer,
};

/// \brief An order to a target.
struct ShardOrder
{
    std::uint64_t id = 0; ///< Unique within a placer.
    OrderKind kind = OrderKind::Grant;
    Holder holder;
    std::string address; ///< "IP:port" of the target.
    KeySpan keys;
    Duration hold{}; ///< Duration of a grant.
    std::string handover; ///< Handover from the previous holder, for a grant; may be empty.
    TimePoint sendBefore{}; ///< Latest time at which it may leave the process.
    Duration answerTimeout{}; ///< Then the connection is reset, so the order can't arrive later.
};

/// \brief A decision of the placer, for the log.
struct PlacementNote
{
    std::string_view event; ///< What was decided.
    KeySpan keys;
    std::string from; ///< Previous owner, or empty.
    std::string to; ///< New owner, or empty.
    std::uint64_t fence = 0;
    std::string_view reason; ///< Also a label value of the metrics.
    /// For how long unanswered grants to the previous owner may still take effect.
    Duration uncertain{};
};

/// \brief Actions that a placer requests.
struct PlacerOutput
{
    std::vector<ShardOrder> orders;
    std::optional<ShardMap> write; ///< Replaces the stored record.
    std::vector<PlacementNote> notes;
};

/// \brief Timing of the ownership protocol.
struct PlacerTiming
{
    /// Duration of a grant. An unresponsive target keeps its keys for this long; an outage of the
    /// placer that is shorter has no effect.
    Duration hold = std::chrono::milliseconds(5000);
    /// Interval between renewals of a grant; three may be lost within a grant.
    Duration renewInterval = std::chrono::milliseconds(1000);
    /// Maximum time that an order waits in this process before it is dropped.
    Duration sendWindow = std::chrono::milliseconds(300);
    /// Maximum time from sending a grant to its arrival; an answer takes a few milliseconds.
    Duration grantTimeout = std::chrono::milliseconds(800);
    /// A release is answered when work in progress has ended, at most a request's longest work.
    Duration releaseTimeout = std::chrono::milliseconds(3000);
    /// Interval between attempts of an order that failed.
    Duration retryInterval = std::chrono::milliseconds(300);
    /// Maximum time that a move away from a leaving owner, which keeps serving, waits for
    /// unanswered grants to expire.
    Duration maxLeaveDelay = std::chrono::milliseconds(1200);
};

/// \brief Input of a placement decision.
struct PlacementView
{
    const TargetDirectory &directory;
    const KeyLoad &load;
    /// Service time at a target relative to normal, where 1 is normal.
    std::function<double(const Target &)> slowness;
};

/// \brief Assigns the keys of one service to its targets. Sans-IO.
///
/// Each step that another placer must know about is recorded before it is executed. A target is
/// granted keys only after the record names it as the next owner, and only if the previous owner
/// has answered a release while no unanswered grant can still take effect, has ended, or its last
/// grant has expired. An owner that restarted under its id may have accepted renewals before the
/// directory showed the restart, so its new incarnation is asked for a release too.
class ShardPlacer
{
public:
    /// \brief Creates a placer that has not adopted a record yet.
    /// \param service Name of the keyed service.
    /// \param self Name and start of this instance, "name/start".
    [[nodiscard]] static ShardPlacer create(std::string service, std::string self,
                                            PlacerTiming timing = {});

    /// \brief Resumes from the record of the previous placer.
    /// \param stored The record in the store, or nothing if none was ever written.
    /// \param era Of the store; raises the term and the fencing tokens above those of earlier eras.
    void adopt(const std::optional<ShardMap> &stored, TimePoint now, std::uint64_t era = 0);
    /// \brief Resumes from a record that may lack the last writes of the previous placer, once all
    /// grants have expired. No owner is renewed, as others may have held its keys since under
    /// higher tokens: each gets its keys again under a new one.
    void adoptAfterLoss(const std::optional<ShardMap> &known, TimePoint now, std::uint64_t era);
    /// \brief Time after which a grant sent now is certain to have expired, whenever it arrives.
    [[nodiscard]] static Duration longestHold(const PlacerTiming &timing) noexcept;
    /// \brief Makes placement decisions and issues what is due. Its cost grows with the number of
    /// targets and ranges, so call it periodically, not after each completed order.
    [[nodiscard]] PlacerOutput tick(const PlacementView &view, TimePoint now);
    /// \brief Advances the moves in progress without making new decisions.
    [[nodiscard]] PlacerOutput proceed(const PlacementView &view, TimePoint now);
    /// \brief Handles the completion of an order.
    /// \param handover Handover returned by a release, or empty.
    void orderDone(std::uint64_t order, OrderOutcome outcome, const std::string &handover,
                   TimePoint now);
    /// \brief Handles the successful write of the last record that was returned.
    void writeDone(TimePoint now);
    /// \brief The current record, including changes that are not stored yet.
    [[nodiscard]] ShardMap record() const;
    /// \brief Whether no move is in progress.
    [[nodiscard]] bool settled() const noexcept;

private:
    enum class Stage { Settled, AwaitIntent, Releasing, Granting, AwaitSettle };

    /// Reason of a move back to an owner that has restarted.
    static constexpr std::string_view ownerRestarted = "owner started again";

    /// Bounds on how long grants entitle a holder to the keys.
    struct Hold
    {
        TimePoint until{}; ///< It may hold the keys until then.
        /// An unanswered grant may still take effect until then, also at a later incarnation.
        TimePoint uncertainUntil{};

        /// Extends each bound to the later of the two.
        void include(const Hold &other) noexcept
        {
            until = std::max(until, other.until);
            uncertainUntil = std::max(uncertainUntil, other.uncertainUntil);
        }
    };

    struct Slot
    {
        ShardRange range;
        Stage stage = Stage::Settled;
        Hold hold; ///< Of the owner.
        Hold nextHold; ///< Of the next owner.
        TimePoint dueAt{}; ///< When the next order is due.
        TimePoint settledAt{};
        std::uint64_t orderInFlight = 0;
        std::uint64_t pendingWrite = 0; ///< Write that must succeed before the next step.
        std::uint32_t failedGrants = 0;
        bool needsWrite = false;
        bool released = false;
        bool ownerUnresponsive = false; ///< The last order to the owner was not answered.
        std::string handover;
        double work = 0; ///< Work on the keys at the last tick.

        [[nodiscard]] std::uint32_t firstKey() const noexcept { return range.keys.first; }
    };

    struct PendingOrder
    {
        ShardOrder order;
        TimePoint holdBefore{};
        TimePoint holdAfter{};
    };

    /// Work and keys of a target once the planned moves are done.
    struct PlannedLoad
    {
        double work = 0;
        std::uint32_t keys = 0;
        double capacity = 1; ///< Desired share of the work, relative to other targets.
        double slots = 1;
        double slowness = 1;
        bool cold = false;
        [[nodiscard]] double load() const noexcept { return work / capacity; }
    };
    using PlannedLoads = std::map<std::string, PlannedLoad, std::less<>>;

    /// A range that can be split to give keys to a target without any.
    struct Donor
    {
        std::uint32_t firstKey = 0;
        PlannedLoad *ownerLoad = nullptr; ///< Its owner.
        double work = 0;
        std::uint32_t keys = 0;

        /// Load of the owner plus the range's own part of it; key counts break ties without work.
        [[nodiscard]] double score() const noexcept
        {
            constexpr double perKey = 1e-6;
            return keys < 2 ? 0 : ownerLoad->load() + (work + perKey * keys) / ownerLoad->capacity;
        }
    };

    ShardPlacer(std::string service, std::string self, PlacerTiming timing);

    [[nodiscard]] Duration maxHoldAfterArrival() const noexcept;
    [[nodiscard]] Duration maxHoldAfterSending() const noexcept;
    [[nodiscard]] Duration renewalDelay(const KeySpan &keys) const noexcept;
    [[nodiscard]] PlannedLoads plannedLoads(const PlacementView &view, TimePoint now);
    void advanceAll(const PlacementView &view, PlacerOutput &out, TimePoint now);
    void preferFastTargets(PlannedLoads &plannedLoads) const;
    [[nodiscard]] std::optional<std::string> chooseReceiver(const PlannedLoads &plannedLoads,
                                                            double work) const;
    void createInitialRanges(const PlannedLoads &plannedLoads);
    void reassignUnusable(const PlacementView &view, PlannedLoads &plannedLoads, PlacerOutput &out,
                          TimePoint now);
    [[nodiscard]] std::vector<Donor> donors(PlannedLoads &plannedLoads, TimePoint now) const;
    void fillEmptyTargets(const PlacementView &view, PlannedLoads &plannedLoads, PlacerOutput &out,
                          TimePoint now);
    void rebalance(const PlacementView &view, PlannedLoads &plannedLoads, PlacerOutput &out,
                   TimePoint now);
    bool moveSurplus(const std::string &ownerId, double mean, const PlacementView &view,
                     PlannedLoads &plannedLoads, PlacerOutput &out, TimePoint now);
    bool moveKeysBeside(const std::string &ownerId, const KeySpan &hot, const PlacementView &view,
                        PlannedLoads &plannedLoads, PlacerOutput &out, TimePoint now);
    [[nodiscard]] bool isMovable(const Slot &slot, const std::string &owner, TimePoint now) const;
    [[nodiscard]] std::optional<std::size_t> heaviestMovable(const std::string &owner,
                                                             TimePoint now) const;
    void beginMove(std::size_t slot, const Target &receiver, std::string_view reason,
                   PlacerOutput &out, TimePoint now);
    void assignTo(const std::string &receiver, std::size_t slot, double work,
                  std::string_view reason, const PlacementView &view, PlannedLoads &plannedLoads,
                  PlacerOutput &out, TimePoint now);
    void splitSlot(std::size_t slot, std::uint32_t firstOfSecond, const PlacementView &view,
                   TimePoint now);
    void mergeNeighbours();
    void refenceNeighbours(PlacerOutput &out, TimePoint now);
    [[nodiscard]] std::size_t pieceCount(double work, const PlannedLoads &plannedLoads) const;
    void advance(Slot &slot, const PlacementView &view, PlacerOutput &out, TimePoint now);
    void advanceRelease(Slot &slot, const PlacementView &view, PlacerOutput &out, TimePoint now);
    void advanceGrant(Slot &slot, const PlacementView &view, PlacerOutput &out, TimePoint now);
    void renew(Slot &slot, const PlacementView &view, PlacerOutput &out, TimePoint now);
    void replaceNext(Slot &slot, const PlacementView &view, PlacerOutput &out, TimePoint now);
    void sendGrant(Slot &slot, const Holder &holder, const Target &target, PlacerOutput &out,
                   TimePoint now);
    void handleGrantResult(Slot &slot, const PendingOrder &pendingOrder, OrderOutcome outcome,
                           TimePoint now);
    void handleReleaseResult(Slot &slot, OrderOutcome outcome, const std::string &handover,
                             TimePoint now);
    [[nodiscard]] bool hasRestarted(const Holder &holder, const TargetDirectory &directory) const;
    [[nodiscard]] bool isReplaced(const Holder &holder, const TargetDirectory &directory) const;
    [[nodiscard]] bool hasEnded(const Holder &holder, const TargetDirectory &directory) const;
    [[nodiscard]] TimePoint uncertaintyEnd(const Holder &holder, const Hold &hold,
                                           const TargetDirectory &directory) const;
    [[nodiscard]] std::size_t activeMoves() const noexcept;

    std::string m_service;
    std::string m_self;
    PlacerTiming m_timing;
    std::uint64_t m_term = 0;
    std::uint64_t m_write = 0;
    std::uint64_t m_writeInFlight = 0;
    std::uint64_t m_lastFence = 0;
    std::uint64_t m_nextOrder = 1;
    bool m_takeoverStored = false;
    bool m_needsWrite = false;
    TimePoint m_lastRebalance{};
    TimePoint m_lastRefence{};
    std::vector<Slot> m_slots;
    std::map<std::uint64_t, PendingOrder> m_pendingOrders;
};

} // namespace yuccaspan::gateway

/// \brief Names of the kinds of order.
template <>
struct yuccaspan::EnumNames<yuccaspan::gateway::OrderKind>
{
    using Kind = yuccaspan::gateway::OrderKind;
    static constexpr std::array<EnumName<Kind>, 2> table{{
        {Kind::Grant, "grant"},
        {Kind::Release, "release"},
    }};
};

/// \brief Names of the ends of an order.
template <>
struct yuccaspan::EnumNames<yuccaspan::gateway::OrderOutcome>
{
    using Outcome = yuccaspan::gateway::OrderOutcome;
    static constexpr std::array<EnumName<Outcome>, 5> table{{
        {Outcome::Done, "done"},
        {Outcome::Refused, "refused"},
        {Outcome::WrongTarget, "wrong-target"},
        {Outcome::NotSent, "not-sent"},
        {Outcome::NoAnswer, "no-answer"},
    }};
};

/// \file
/// \brief Decides who owns which keys of one service, and the orders that bring it about.
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
    Release, ///< Take no new work on the keys; answered when the work under way has ended.
};

/// \brief How an order ended, as far as its sender can tell.
enum class OrderOutcome {
    Done, ///< The target carried it out.
    Refused, ///< The target has seen a higher fencing token.
    WrongTarget, ///< Another target listens at the address; the ordered one has ended.
    NotSent, ///< Nothing of it left this process.
    NoAnswer, ///< It may be carried out, now or later.
    BrokenOff, ///< As NoAnswer, but no later life of the target can carry it out: the connection
               ///< had been answered on before.
};

/// \brief An order to a target.
struct ShardOrder
{
    std::uint64_t id = 0; ///< Unique within a placer.
    OrderKind kind = OrderKind::Grant;
    Holder holder;
    std::string address; ///< "IP:port" of the target.
    KeySpan keys;
    Duration hold{}; ///< Length of a grant.
    std::string handover; ///< Handover of the last holder, for a grant; may be empty.
    TimePoint sendBefore{}; ///< It must not leave the process later.
    Duration answerWithin{}; ///< After that its connection is reset, so it arrives no later.
};

/// \brief A decision of the placer, for the log.
struct PlacementNote
{
    std::string_view event; ///< What was decided.
    KeySpan keys;
    std::string from; ///< Owner before, or empty.
    std::string to; ///< Owner after, or empty.
    std::uint64_t fence = 0;
    std::string_view reason; ///< Why.
};

/// \brief What a placer wants done.
struct PlacerOutput
{
    std::vector<ShardOrder> orders;
    std::optional<ShardMap> write; ///< To be stored in place of the last record.
    std::vector<PlacementNote> notes;
};

/// \brief Time spans of the ownership protocol.
struct PlacerTiming
{
    /// Length of a grant. A target that fell silent keeps its keys that long; a placer that is away
    /// for less costs nothing.
    Duration hold = std::chrono::milliseconds(5000);
    /// Between renewals of a grant; three may be lost within a grant.
    Duration renewEvery = std::chrono::milliseconds(1000);
    /// How long an order may wait in this process before it is dropped.
    Duration sendWindow = std::chrono::milliseconds(300);
    /// How long a grant may be on its way; an answer takes a few milliseconds.
    Duration grantTimeout = std::chrono::milliseconds(800);
    /// A release is answered when the work under way has ended, at most a request's longest work.
    Duration releaseTimeout = std::chrono::milliseconds(3000);
    /// Between tries of an order that was not carried out.
    Duration retryEvery = std::chrono::milliseconds(300);
    /// A leaving owner goes on serving; how long a move may wait for unanswered grants to lapse.
    Duration leaveWithin = std::chrono::milliseconds(1200);
};

/// \brief What a placement decision is based on.
struct PlacementView
{
    const TargetDirectory &directory;
    const KeyLoad &load;
    /// How long work takes at a target, 1 as usual.
    std::function<double(const Target &)> slowness;
};

/// \brief Assigns the keys of one service to its targets. Sans-IO.
///
/// Each step that another placer must know of is in the record before it is acted on: a target is
/// granted keys only after the record names it as the next owner, and only when the owner before it
/// answered a release with no grant in doubt, has ended, or has outlived its last grant. An owner
/// that started again under its id may have taken renewals before the directory told of it: its
/// later life is asked for a release too.
class ShardPlacer
{
public:
    /// \brief A placer that has adopted nothing yet.
    /// \param service Name of the keyed service.
    /// \param self This instance with its start, "name/start".
    [[nodiscard]] static ShardPlacer create(std::string service, std::string self,
                                            PlacerTiming timing = {});

    /// \brief Takes over from the record of the last placer.
    /// \param stored The record as it lies in the store, or nothing if there never was one.
    void adopt(const std::optional<ShardMap> &stored, TimePoint now);
    /// \brief Decides where keys are to lie and does what is due. Its time grows with the targets
    /// and the ranges; not meant for each end of an order.
    [[nodiscard]] PlacerOutput tick(const PlacementView &view, TimePoint now);
    /// \brief Takes the next steps of the moves under way, and no decision.
    [[nodiscard]] PlacerOutput proceed(const PlacementView &view, TimePoint now);
    /// \brief Takes the end of an order.
    /// \param handover Handover that a release brought, or empty.
    void orderDone(std::uint64_t order, OrderOutcome outcome, const std::string &handover,
                   TimePoint now);
    /// \brief The record of the last tick's write lies in the store.
    void writeDone(TimePoint now);
    /// \brief The record as the placer wants it now.
    [[nodiscard]] ShardMap record() const;
    /// \brief Whether all ranges are settled.
    [[nodiscard]] bool settled() const noexcept;

private:
    enum class Stage { Settled, AwaitIntent, Releasing, Granting, AwaitSettle };

    /// How long the grants to a holder may keep the keys with it.
    struct Hold
    {
        TimePoint until{}; ///< It may hold the keys until then.
        TimePoint doubtUntil{}; ///< Until then an unanswered grant may still take effect.
        /// The same for unanswered grants that may have reached a later life under its id.
        TimePoint laterLifeDoubtUntil{};

        /// Lasts as long as the longer of both in each respect.
        void include(const Hold &other) noexcept
        {
            until = std::max(until, other.until);
            doubtUntil = std::max(doubtUntil, other.doubtUntil);
            laterLifeDoubtUntil = std::max(laterLifeDoubtUntil, other.laterLifeDoubtUntil);
        }
    };

    struct Slot
    {
        ShardRange range;
        Stage stage = Stage::Settled;
        Hold hold; ///< Of the owner.
        Hold nextHold; ///< Of the next.
        TimePoint dueAt{}; ///< When the next order is due.
        TimePoint settledAt{};
        std::uint64_t orderInFlight = 0;
        std::uint64_t pendingWrite = 0; ///< Write that must be stored before the next step.
        std::uint32_t failedGrants = 0;
        bool needsWrite = false;
        bool released = false;
        bool silent = false; ///< The last order to the owner was not answered.
        std::string handover;
        double work = 0; ///< Work on the keys, as of the last tick.

        [[nodiscard]] std::uint32_t firstKey() const noexcept { return range.keys.first; }
    };

    struct Flight
    {
        ShardOrder order;
        TimePoint holdBefore{};
        TimePoint holdAfter{};
    };

    /// Work and keys of each target, as planned.
    struct Standing
    {
        double work = 0;
        std::uint32_t keys = 0;
        double capacity = 1; ///< Work that it is to have, relative to others.
        double slots = 1;
        double slowness = 1;
        bool cold = false;
        [[nodiscard]] double load() const noexcept { return work / capacity; }
    };
    using Standings = std::map<std::string, Standing, std::less<>>;

    /// A range that may be cut in two for a target without keys.
    struct Donor
    {
        std::uint32_t firstKey = 0;
        Standing *giver = nullptr; ///< Its owner.
        double work = 0;
        std::uint32_t keys = 0;

        /// Work of its owner for its size, and the range's own; by keys while there is no work.
        [[nodiscard]] double score() const noexcept
        {
            constexpr double perKey = 1e-6;
            return keys < 2 ? 0 : giver->load() + (work + perKey * keys) / giver->capacity;
        }
    };

    ShardPlacer(std::string service, std::string self, PlacerTiming timing);

    [[nodiscard]] Duration heldFromArrival() const noexcept;
    [[nodiscard]] Duration lapseAfter() const noexcept;
    [[nodiscard]] Duration renewAfter(const KeySpan &keys) const noexcept;
    [[nodiscard]] Standings standings(const PlacementView &view, TimePoint now);
    void takeSteps(const PlacementView &view, PlacerOutput &out, TimePoint now);
    void preferFast(Standings &standings) const;
    [[nodiscard]] std::optional<std::string> chooseReceiver(const Standings &standings,
                                                            double work) const;
    void startRecord(const Standings &standings);
    void reassignUnusable(const PlacementView &view, Standings &standings, PlacerOutput &out,
                          TimePoint now);
    [[nodiscard]] std::vector<Donor> donors(Standings &standings, TimePoint now) const;
    void fillEmpty(const PlacementView &view, Standings &standings, PlacerOutput &out,
                   TimePoint now);
    void spreadHot(const PlacementView &view, Standings &standings, PlacerOutput &out,
                   TimePoint now);
    bool relieve(const std::string &giver, double mean, const PlacementView &view,
                 Standings &standings, PlacerOutput &out, TimePoint now);
    [[nodiscard]] std::optional<std::size_t> heaviestMovable(const std::string &owner,
                                                             TimePoint now) const;
    void beginMove(std::size_t slot, const Target &receiver, std::string_view reason,
                   PlacerOutput &out);
    void giveTo(const std::string &receiver, std::size_t slot, double work, std::string_view reason,
                const PlacementView &view, Standings &standings, PlacerOutput &out);
    void splitSlot(std::size_t slot, std::uint32_t firstOfSecond, const PlacementView &view,
                   TimePoint now);
    void mergeNeighbours();
    void refenceNeighbours(PlacerOutput &out, TimePoint now);
    [[nodiscard]] std::size_t piecesFor(double work, const Standings &standings) const;
    void advance(Slot &slot, const PlacementView &view, PlacerOutput &out, TimePoint now);
    void advanceRelease(Slot &slot, const PlacementView &view, PlacerOutput &out, TimePoint now);
    void advanceGrant(Slot &slot, const PlacementView &view, PlacerOutput &out, TimePoint now);
    void renew(Slot &slot, const PlacementView &view, PlacerOutput &out, TimePoint now);
    void replaceNext(Slot &slot, const PlacementView &view, PlacerOutput &out, TimePoint now);
    void sendGrant(Slot &slot, const Holder &holder, const Target &target, PlacerOutput &out,
                   TimePoint now);
    void noteGrant(Slot &slot, const Flight &flight, OrderOutcome outcome, TimePoint now);
    void noteRelease(Slot &slot, OrderOutcome outcome, const std::string &handover, TimePoint now);
    [[nodiscard]] bool hasLaterLife(const Holder &holder, const TargetDirectory &directory) const;
    [[nodiscard]] bool isReplaced(const Holder &holder, const TargetDirectory &directory) const;
    [[nodiscard]] bool hasEnded(const Holder &holder, const TargetDirectory &directory) const;
    [[nodiscard]] TimePoint doubtEnd(const Holder &holder, const Hold &hold,
                                     const TargetDirectory &directory) const;
    [[nodiscard]] std::size_t movesUnderWay() const noexcept;

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
    TimePoint m_lastSpread{};
    TimePoint m_lastRefence{};
    std::vector<Slot> m_slots;
    std::map<std::uint64_t, Flight> m_flights;
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
    static constexpr std::array<EnumName<Outcome>, 6> table{{
        {Outcome::Done, "done"},
        {Outcome::Refused, "refused"},
        {Outcome::WrongTarget, "wrong-target"},
        {Outcome::NotSent, "not-sent"},
        {Outcome::NoAnswer, "no-answer"},
        {Outcome::BrokenOff, "broken-off"},
    }};
};

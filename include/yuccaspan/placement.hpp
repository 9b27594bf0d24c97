/// \file
/// \brief The events that the placement core takes and the actions that it returns.
///
/// The core does no input or output, reads no clock, takes no lock. A daemon or a test feeds it
/// events with the current time and carries out the actions it returns, in order.
///
/// The protocol rests on these duties of the daemon:
/// - The time handed in goes on while the process is stopped. After a gap longer than
///   PlacementTiming::pauseLimit, ClockJumpEvent is the first event.
/// - A write is reported as Unknown whenever it may take effect later, and as NotDone only if it
///   cannot. An order's end is reported within orderTimeout, by its answer or as NoAnswer.
/// - TargetAnswerEvent carries the time at which, or after which, the target read its clock.
/// - SliceIdleEvent is sent for each range in RoutesAction::reportIdle once no request of the range
///   is in flight, never before the routes of that action are in force in every data-path thread.
/// - To a target that does not check grants, a request is sent only before
///   CellRoutes::viewLeaseEnd, and its deadline is cut to that instant.
/// - Objects under `placement/` that a watch or a peer's StateOffer shows are passed on as they
/// are;
///   the core keeps the highest version.
/// - Two processes of one instance name never run at the same time, and the platform's list shows a
///   running instance within ten seconds.
#pragma once

#include "yuccaspan/cell_record.hpp"
#include "yuccaspan/clock.hpp"
#include "yuccaspan/ids.hpp"
#include "yuccaspan/peer_message.hpp"
#include "yuccaspan/result.hpp"
#include "yuccaspan/route_table.hpp"
#include "yuccaspan/settings.hpp"
#include "yuccaspan/target_order.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace yuccaspan {

/// \name Events
/// @{

/// \brief Time has passed. Sent every tickInterval.
struct TickEvent
{ };

/// \brief The process was stopped or starved: the clock jumped by more than the pause limit.
struct ClockJumpEvent
{
    Duration gap{}; ///< How far.
};

/// \brief New settings are in force at this instance.
struct SettingsEvent
{
    std::shared_ptr<const Settings> settings; ///< Never null.
};

/// \brief An entry instance as membership sees it.
struct Member
{
    InstanceId id; ///< Its name with start id.
    ZoneId zone; ///< Its availability zone.
    bool alive = false; ///< Whether its heartbeats arrive.
    bool leaving = false; ///< Whether it is stopping.
    bool knownToStore = false; ///< Whether the platform's list shows it.
    std::vector<InstanceId> hears; ///< Instances that it reports hearing from.

    [[nodiscard]] friend bool operator==(const Member &, const Member &) = default;
};

/// \brief Membership changed. Includes this instance.
struct MembersEvent
{
    std::vector<Member> members; ///< In the order of their ids.
};

/// \brief An object was read from the store, or its watch reported it.
struct StoreValueEvent
{
    std::string path; ///< Path of the object.
    ObjectVersion version; ///< Its version; 0 if the object is absent.
    std::string value; ///< Its value.
};

/// \brief How a write to the store ended.
enum class WriteResult {
    Committed, ///< The write took effect.
    Conflict, ///< The object had another version; nothing changed.
    Unknown, ///< No answer came; the write may take effect, now or later.
    NotDone, ///< The store refused the call, or it was never sent: nothing took effect.
};

template <>
struct EnumNames<WriteResult>
{
    static constexpr std::array<EnumName<WriteResult>, 4> table{{
        {WriteResult::Committed, "committed"},
        {WriteResult::Conflict, "conflict"},
        {WriteResult::Unknown, "unknown"},
        {WriteResult::NotDone, "not-done"},
    }};
};

/// \brief A WriteAction ended.
struct StoreWrittenEvent
{
    std::uint64_t writeId = 0; ///< Id of the action.
    WriteResult result = WriteResult::Unknown; ///< How it ended.
    ObjectVersion version; ///< With Committed: the new version. With Conflict: the present one.
};

/// \brief A ReadAction ended.
struct StoreReadEvent
{
    std::uint64_t readId = 0; ///< Id of the action.
    bool answered = false; ///< Whether the store answered.
    ObjectVersion version; ///< Version of the object; 0 if it is absent.
    std::string value; ///< Its value.
};

/// \brief A message from another instance arrived.
struct PeerEvent
{
    PeerEnvelope envelope; ///< The message and its sender.
};

/// \brief A target answered an order, or the wait for its answer ended.
struct TargetAnswerEvent
{
    TargetId target; ///< Which target.
    TargetAnswer answer; ///< Its answer.
};

/// \brief This instance's data path has no request of a slice in flight any more.
struct SliceIdleEvent
{
    CellId cell; ///< Which cell.
    KeyRange range; ///< Which slice.
    FencingToken token; ///< Token under which the requests were sent.
};

/// \brief Measurements of this instance's own data path, for its own cells and for other placers.
struct LocalLoadEvent
{
    std::vector<LoadReport> reports; ///< One for each cell with load.
};

/// \brief An operator or the balancer requests a move.
struct MoveRequestEvent
{
    CellId cell; ///< Which cell.
    KeyRange range; ///< Which slice.
    TargetId to; ///< The next owner.
    std::string why; ///< Reason, for the log.
};

/// \brief The balancer requests to split a slice.
struct SplitRequestEvent
{
    CellId cell; ///< Which cell.
    KeyRange range; ///< Which slice.
    KeyHash secondFirst = 0; ///< First hash of the upper part.
};

/// \brief The balancer requests to merge two adjacent slices of one owner.
struct MergeRequestEvent
{
    CellId cell; ///< Which cell.
    KeyRange lower; ///< The lower slice.
    KeyRange upper; ///< The upper slice.
};

/// \brief This instance is stopping and hands over the cells that it places.
struct LeaveEvent
{ };

/// \brief Any event.
using PlacementEvent =
    std::variant<TickEvent, ClockJumpEvent, SettingsEvent, MembersEvent, StoreValueEvent,
                 StoreWrittenEvent, StoreReadEvent, PeerEvent, TargetAnswerEvent, SliceIdleEvent,
                 LocalLoadEvent, MoveRequestEvent, SplitRequestEvent, MergeRequestEvent,
                 LeaveEvent>;
/// @}

/// \name Actions
/// @{

/// \brief Write an object by conditional update.
struct WriteAction
{
    std::uint64_t writeId = 0; ///< Returned in StoreWrittenEvent.
    std::string path; ///< Path of the object.
    ObjectVersion expected; ///< Version it must have; 0: it must be absent.
    std::string value; ///< The new value.
};

/// \brief Read an object.
struct ReadAction
{
    std::uint64_t readId = 0; ///< Returned in StoreReadEvent.
    std::string path; ///< Path of the object.
};

/// \brief Send a message to an instance.
struct SendPeerAction
{
    InstanceId to; ///< The receiver.
    PeerMessage message; ///< The message.
};

/// \brief Send an order to a target.
struct SendOrderAction
{
    std::uint64_t orderId = 0; ///< Returned in TargetAnswer.
    TargetId target; ///< The receiver.
    TargetOrder order; ///< The order.
};

/// \brief Put new routes of a cell in force in this instance's data path.
struct RoutesAction
{
    std::shared_ptr<const CellRoutes> routes; ///< The routes.
    std::vector<KeyRange> reportIdle; ///< Slices to report by SliceIdleEvent once idle.
};

/// \brief Put new capacity shares in force in this instance's data path.
struct SharesAction
{
    CellId cell; ///< Which cell.
    std::vector<CapacityShare> shares; ///< Shares of the cell's targets.
    TimePoint validUntil; ///< Until when.
};

/// \brief Write a line to the decision log.
struct LogAction
{
    std::string part; ///< Prefix of the line.
    std::string text; ///< The line: one short sentence.
};

/// \brief Any action.
using PlacementAction = std::variant<WriteAction, ReadAction, SendPeerAction, SendOrderAction,
                                     RoutesAction, SharesAction, LogAction>;

/// \brief Actions in the order in which they are to be carried out.
using PlacementActions = std::vector<PlacementAction>;
/// @}

/// \brief Timing of the ownership protocol. All spans are on the local clock.
struct PlacementTiming
{
    Duration tickInterval = std::chrono::milliseconds(20); ///< Between TickEvents.
    Duration renewInterval = std::chrono::milliseconds(200); ///< Between renewals of a grant.
    Duration grantLength = std::chrono::milliseconds(1000); ///< Longest grant.
    Duration authorityLength = std::chrono::milliseconds(1000); ///< Authority after a confirmation.
    Duration promiseInterval = std::chrono::milliseconds(200); ///< Between requests for promises.
    Duration suspectAfter = std::chrono::milliseconds(450); ///< Silence before a takeover.
    Duration orderTimeout = std::chrono::milliseconds(150); ///< Wait for a target's answer.
    Duration targetLostAfter = std::chrono::milliseconds(600); ///< Silence before a target is lost.
    Duration viewLeaseLength = std::chrono::milliseconds(1000); ///< Longest view lease.
    Duration pauseLimit = std::chrono::milliseconds(200); ///< A larger gap is a ClockJumpEvent.
    double maxDriftRate = 0.001; ///< Largest difference of two clocks' rates.
    std::uint32_t maxCandidates = 5; ///< Candidates of a cell.
    std::uint32_t maxConcurrentMoves = 8; ///< Moves under way in a cell.
};

/// \brief Identity of this instance.
struct PlacementSelf
{
    InstanceId id; ///< Name with start id.
    ZoneId zone; ///< Availability zone.
    std::uint64_t seed = 0; ///< Seed of all random choices.
};

/// \brief What the administration API shows of one cell.
struct CellStatus
{
    CellId cell; ///< Which cell.
    CellRecord record; ///< The record as this instance knows it.
    ObjectVersion version; ///< Its version in the store.
    bool isPlacer = false; ///< Whether this instance places the cell.
    Duration authorityLeft{}; ///< As placer: authority that is left.
    std::uint32_t movesUnderWay = 0; ///< As placer: moves under way.
    std::uint32_t targetsWithoutGrant = 0; ///< As placer: owners whose grant is not confirmed.
};

/// \brief The placement core of one instance: all cells that it knows, as entry, candidate or
/// placer.
class PlacementNode
{
public:
    PlacementNode() = default;
    PlacementNode(const PlacementNode &) = delete;
    PlacementNode &operator=(const PlacementNode &) = delete;
    virtual ~PlacementNode() = default;

    /// \brief Handles one event.
    /// \param event The event.
    /// \param now The current time; never lower than in an earlier call.
    /// \returns Actions to carry out, in order.
    [[nodiscard]] virtual PlacementActions handle(const PlacementEvent &event, TimePoint now) = 0;

    /// \brief Describes the cells that this instance knows.
    /// \param now The current time.
    [[nodiscard]] virtual std::vector<CellStatus> status(TimePoint now) const = 0;

    /// \brief Whether this instance places no cell and has no write under way, so that it may stop.
    [[nodiscard]] virtual bool mayStop() const noexcept = 0;
};

/// \brief Creates the placement core.
/// \param self Identity of this instance.
/// \param timing Timing of the protocol.
/// \returns The core, or InvalidArgument if the timing violates the protocol's constraints.
[[nodiscard]] Result<std::unique_ptr<PlacementNode>> makePlacementNode(PlacementSelf self,
                                                                       PlacementTiming timing);

} // namespace yuccaspan

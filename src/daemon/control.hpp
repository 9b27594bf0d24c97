/// \file
/// \brief The control thread: feeds events to the placement and membership cores and executes the
/// actions that they return.
#pragma once

#include "yuccaspan/admin.hpp"
#include "yuccaspan/clock.hpp"
#include "yuccaspan/instance_status.hpp"
#include "yuccaspan/membership.hpp"
#include "yuccaspan/placement.hpp"
#include "yuccaspan/store_http.hpp"

#include "daemon/instance_settings.hpp"
#include "daemon/order_sender.hpp"
#include "daemon/peer_link.hpp"
#include "http/edge.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace yuccaspan::impl {

/// \brief The components that Control uses. All must outlive it.
struct ControlParts
{
    EdgeShared &shared; ///< State shared with the data path.
    Edge &edge; ///< The data path.
    HttpStore &store; ///< The platform's store.
    PeerLink &peers; ///< The link to other instances.
    OrderSender &orders; ///< Sender of orders to targets.
};

/// \brief Snapshot of the control state for other threads.
struct ControlView
{
    std::vector<CellStatus> cells; ///< Cells that this instance knows.
    std::vector<Member> members; ///< Instances according to membership.
    ObjectVersion settingsVersion; ///< Version of the current settings.
    bool storeReachable = false; ///< Whether the latest watch of the store succeeded.
    bool mayStop = false; ///< Whether every handover is complete, so that the process may stop.
};

/// \brief Applies settings, maintains membership and runs the placement core.
class Control
{
public:
    /// \brief Creates the control object; start() starts its thread.
    /// \param settings Settings of the instance.
    /// \param id Instance name with start id.
    /// \param timing Timing of the ownership protocol.
    /// \param parts Components that it uses.
    /// \returns Control, or InvalidArgument if the timing violates the protocol's guarantees.
    [[nodiscard]] static Result<std::unique_ptr<Control>> create(const InstanceSettings &settings,
                                                                 const InstanceId &id,
                                                                 const PlacementTiming &timing,
                                                                 ControlParts parts);
    Control(const Control &) = delete;
    Control &operator=(const Control &) = delete;
    ~Control();

    /// \name Thread-safe
    /// @{
    /// \brief Starts the thread.
    void start();
    /// \brief Stops the thread.
    void stop();
    /// \brief Starts to hand over the cells that this instance places.
    void leave();
    /// \brief Queues an event for the placement core.
    void post(PlacementEvent event);
    /// \brief Processes a target's answer to an order or probe.
    void receiveAnswer(TargetAnswerEvent event);
    /// \brief Processes one message from another instance.
    void receivePeer(const std::string &bytes);
    /// \brief The latest snapshot.
    [[nodiscard]] std::shared_ptr<const ControlView> view() const { return m_view.get(); }
    /// \brief Number of events dropped because the queue was full.
    [[nodiscard]] std::uint64_t droppedEvents() const noexcept { return m_droppedEvents; }
    /// @}

private:
    /// A held slice that waits until it has no requests in flight.
    struct IdleWatch
    {
        CellId cell;
        KeyRange range;
        FencingToken token;
    };

    Control(const InstanceSettings &settings, InstanceId id, const PlacementTiming &timing,
            ControlParts parts, std::unique_ptr<PlacementNode> node, Membership membership);

    /// Order id of this instance's own probes; the placement core never uses this id.
    static constexpr std::uint64_t probeOrderId = 0;

    /// \name Events
    /// @{
    void armTick();
    void tick();
    void handle(const PlacementEvent &event);
    void checkForPause(TimePoint now);
    void onPeerMessage(const PeerEnvelope &envelope);
    void onStoreChanges(const Result<StoreChanges> &changes);
    void onListed(const Result<std::vector<ListedInstance>> &list);
    void onStatusObject(const StoreObject &object);
    void onStateRequest(const InstanceId &from, const StateRequest &request);
    /// @}

    /// \name Actions
    /// @{
    void execute(const PlacementActions &actions);
    void execute(const WriteAction &action);
    void execute(const ReadAction &action);
    void execute(const SendPeerAction &action);
    void execute(const SendOrderAction &action);
    void execute(const RoutesAction &action);
    void execute(const SharesAction &action);
    void execute(const LogAction &action);
    void execute(const MembershipOutput &output);
    /// @}

    /// \name Settings and state
    /// @{
    void offerSettings(ObjectVersion version, const std::string &text);
    void applySettings();
    void writeStatus();
    void readStatusVersion();
    void pollList();
    void askPeersForState();
    void reportIdle();
    void reportLoad();
    void probeColdTargets();
    void publishView();
    void updateAddresses();
    void sendPeer(const InstanceId &to, const PeerMessage &message);
    [[nodiscard]] std::vector<TargetObservation> observeTargets(const CellId &cell);
    [[nodiscard]] std::uint32_t liveInstances() const noexcept;
    /// @}

    const InstanceSettings m_instance;
    const InstanceId m_id;
    const PlacementTiming m_timing;
    ControlParts m_parts;
    std::unique_ptr<PlacementNode> m_node;
    Membership m_membership;
    boost::asio::io_context m_loop{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::steady_timer m_tick;
    TimePoint m_lastEventTime;
    TimePoint m_nextList;
    TimePoint m_nextLoad;
    TimePoint m_nextView;
    TimePoint m_nextProbe;
    TimePoint m_nextStateRequest;
    std::shared_ptr<const Settings> m_settings;
    std::string m_settingsText;
    std::set<TargetId> m_leavingTargets;
    std::vector<ListedInstance> m_listed;
    std::map<std::string, InstanceStatusRecord> m_statuses;
    std::vector<Member> m_members;
    std::vector<IdleWatch> m_idleWatches;
    CellRoutesMap m_cellRoutes;
    ObjectVersion m_statusVersion;
    InstanceStatusRecord m_statusWritten;
    bool m_statusWriteRunning = false;
    bool m_storeReachable = false;
    bool m_leaving = false;
    std::uint64_t m_loadSequence = 0;
    std::atomic<std::uint32_t> m_queuedEvents{0};
    std::atomic<std::uint64_t> m_droppedEvents{0};
    Published<ControlView> m_view{std::make_shared<const ControlView>()};
    std::thread m_thread;
};

} // namespace yuccaspan::impl

/// \file
/// \brief Runs several placement cores with a fake store, network, targets and data paths in
/// virtual time.
#pragma once

#include "fake_target.hpp"
#include "placement/node.hpp"
#include "yuccaspan/membership.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace yuccaspan::test {

/// \brief Parameters of a schedule.
struct ClusterPlan
{
    std::uint64_t seed = 1;
    int zones = 2;
    int instances = 4;
    int targetsPerZone = 2;
    int slicesPerTarget = 2;
    CutOffPolicy policy = CutOffPolicy::Move;
    bool uncheckedTargets = false; ///< Whether every second target does not check grants.
    double loss = 0.02; ///< Share of messages that are lost.
    double drift = 0.001; ///< Twice the largest deviation of a clock's rate.
    impl::ProtocolMutation mutation = impl::ProtocolMutation::None;
    Duration requestLength = std::chrono::milliseconds(30); ///< Duration of requests in flight.
    bool lateGrants = false; ///< Whether targets accept expired grants.
};

/// \brief Faults and requests of a schedule, each on a randomly drawn instance, target or zone.
enum class Fault {
    KillInstance,
    RestartInstance,
    PauseInstance,
    FreezeTarget,
    ToggleTarget,
    ToggleZoneCut,
    ToggleStore,
    ToggleStoreCut,
    LoseWriteAnswers,
    ToggleZoneOut,
    SplitOrMerge,
    MoveSlice,
};

/// \brief The cluster under test. Invariants are checked after every step.
class Cluster
{
public:
    explicit Cluster(const ClusterPlan &plan);

    /// \name Running
    /// @{
    void run(Duration length); ///< Stops early when an invariant is violated.
    bool runUntilServing(Duration limit); ///< Until every instance can reach every key.
    void faultStep(Fault fault); ///< Starts or ends a fault on a randomly drawn part.
    void endAllFaults(); ///< Also restarts dead instances, under a new start id.
    /// @}

    /// \name Faults
    /// @{
    void kill(int instance);
    void restart(int instance);
    void pause(int instance, Duration length);
    void cutZone(int zone, bool cut) { m_zoneCut[zone] = cut; }
    void cutStore(int instance, bool cut) { m_nodes[instance].storeCut = cut; }
    void setStoreUp(bool up) { m_storeUp = up; }
    void loseWriteAnswers(int count) { m_answersToLose = count; }
    void applySettings(const std::function<void(Settings &)> &change);
    void requestMove(std::uint64_t pick);
    void requestSplitOrMerge(std::uint64_t pick);
    void leave(int instance);
    /// @}

    /// \name State
    /// @{
    [[nodiscard]] const std::string &violation() const { return m_violation; }
    [[nodiscard]] std::string trace() const;
    [[nodiscard]] bool isServing(std::string *reason = nullptr) const;
    [[nodiscard]] FakeTarget &target(int index) { return m_targets[index]; }
    [[nodiscard]] PlacementNode *node(int index) { return m_nodes[index].core.get(); }
    [[nodiscard]] TimePoint localNow(int index) const;
    [[nodiscard]] int
    placerOf(const CellId &cell) const; ///< -1 if the cell has no placer with authority.
    [[nodiscard]] std::vector<CellRecord> records() const;
    [[nodiscard]] std::uint64_t storeWrites() const { return m_storeWrites; }
    [[nodiscard]] bool isAnySliceHeld() const; ///< Whether an instance holds requests for a slice.
    [[nodiscard]] std::uint64_t storeReads() const { return m_storeReads; }
    [[nodiscard]] Duration now() const { return m_now; }
    [[nodiscard]] bool mayStop(int instance) const { return m_nodes[instance].core->mayStop(); }
    /// @}

private:
    struct DataPath
    {
        std::shared_ptr<const CellRoutes> routes;
        std::vector<std::pair<KeyRange, std::pair<TargetId, TimePoint>>> inFlight;
    };
    struct Instance
    {
        std::string name;
        ZoneId zone;
        int zoneIndex = 0;
        int start = 0;
        bool up = false;
        bool leaving = false;
        bool storeCut = false;
        Duration pausedUntil{};
        Duration lastTick{};
        DriftingClock clock;
        std::unique_ptr<PlacementNode> core;
        std::optional<Membership> membership;
        std::deque<std::function<void()>> backlog;
        std::map<CellId, DataPath> paths;
        std::map<std::string, ObjectVersion> seenVersions;
    };
    struct Object
    {
        ObjectVersion version;
        std::string value;
    };
    struct Step
    {
        Duration at;
        std::uint64_t order;
        std::function<void()> work;
        bool operator<(const Step &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void schedule(Duration delay, std::function<void()> work);
    void runOnInstance(int index, int start, std::function<void()> work);
    void tick(int index, int start);
    void handle(int index, const PlacementEvent &event);
    void execute(int index, PlacementAction action);
    void applyMembershipOutput(int index, MembershipOutput output);
    void sendPeer(int from, const InstanceId &to, PeerMessage message);
    void sendOrder(int index, const SendOrderAction &action);
    void write(int index, const WriteAction &action);
    void applyWrite(int index, const WriteAction &action, bool answered);
    void readObject(int index, const ReadAction &action);
    void notifyWatchers(const std::string &path);
    void watch(int index, int start, const std::string &path);
    void installRoutes(int index, const RoutesAction &action);
    void reportIdle(int index, int start, const SliceIdleEvent &event);
    void listInstances(int index);
    [[nodiscard]] bool reachesStore(int index) const;
    [[nodiscard]] bool isCut(int zoneA, int zoneB) const;
    [[nodiscard]] Duration linkDelay();
    [[nodiscard]] int findInstance(const InstanceId &id) const;
    [[nodiscard]] InstanceId idOf(int index) const;
    [[nodiscard]] bool chance(double share);
    [[nodiscard]] std::uint64_t draw(std::uint64_t below);
    [[nodiscard]] TargetId uncheckedTargetInUse(const Instance &instance, const DataPath &path,
                                                KeyHash hash) const;

    void checkWrite(const std::string &path, const std::string &before, const std::string &after);
    void checkGrants();
    void checkUncheckedTargets();
    void checkOrder(int index, const SendOrderAction &action);
    void fail(const std::string &what);
    void appendTrace(const std::string &line);

    ClusterPlan m_plan;
    std::mt19937_64 m_random;
    Duration m_now{};
    std::uint64_t m_steps = 0;
    std::priority_queue<Step> m_queue;
    std::vector<Instance> m_nodes;
    std::vector<FakeTarget> m_targets;
    std::vector<bool> m_zoneCut;
    std::map<std::string, Object> m_objects;
    std::uint64_t m_revision = 0;
    std::uint64_t m_storeWrites = 0;
    std::uint64_t m_storeReads = 0;
    bool m_storeUp = true;
    int m_answersToLose = 0;
    std::shared_ptr<const Settings> m_settings;
    std::string m_violation;
    std::deque<std::string> m_trace;
};

/// \brief A policy whose balancer only moves slices off unusable targets.
[[nodiscard]] impl::PlacementPolicy simplePolicy();

} // namespace yuccaspan::test

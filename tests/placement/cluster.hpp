/// \file
/// \brief Several placement cores with fake store, network, targets and data paths, in virtual
/// time.
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

/// \brief What a schedule is made of.
struct ClusterPlan
{
    std::uint64_t seed = 1;
    int zones = 2;
    int instances = 4;
    int targetsPerZone = 2;
    int slicesPerTarget = 2;
    CutOffPolicy policy = CutOffPolicy::Move;
    bool uncheckedTargets = false; ///< Every second target does not check grants.
    double loss = 0.02; ///< Share of messages lost.
    double drift = 0.001; ///< Largest deviation of a clock's rate is half of this.
    impl::ProtocolMutation mutation = impl::ProtocolMutation::None;
    Duration requestLength = std::chrono::milliseconds(30); ///< Of requests in flight.
    bool lateGrants = false; ///< Targets accept orders past their expiry.
};

/// \brief What a step of a schedule does, at a place drawn at random.
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
    void run(Duration length); ///< Until then, or until an invariant is broken.
    bool runUntilServing(Duration limit); ///< Until every key is served at every instance.
    void faultStep(Fault fault); ///< Starts or ends a fault at a random place.
    void heal(); ///< Ends all faults; dead instances come back with a new start id.
    /// @}

    /// \name Faults
    /// @{
    void kill(int instance);
    void restart(int instance);
    void pause(int instance, Duration length);
    void cutZone(int zone, bool cut) { m_zoneCut[zone] = cut; }
    void cutStore(int instance, bool cut) { m_nodes[instance].storeCut = cut; }
    void setStoreUp(bool up) { m_storeUp = up; }
    void loseWriteAnswers(int count) { m_loseAnswers = count; }
    void applySettings(const std::function<void(Settings &)> &change);
    void requestMove(std::uint64_t pick);
    void requestShapeChange(std::uint64_t pick);
    void leave(int instance);
    /// @}

    /// \name State
    /// @{
    [[nodiscard]] const std::string &violation() const { return m_violation; }
    [[nodiscard]] std::string trace() const;
    [[nodiscard]] bool isServing(std::string *why = nullptr) const;
    [[nodiscard]] FakeTarget &target(int index) { return m_targets[index]; }
    [[nodiscard]] PlacementNode *node(int index) { return m_nodes[index].core.get(); }
    [[nodiscard]] TimePoint localNow(int index) const;
    [[nodiscard]] int placerOf(const CellId &cell) const; ///< -1 if nobody places it.
    [[nodiscard]] std::vector<CellRecord> records() const;
    [[nodiscard]] std::uint64_t storeWrites() const { return m_storeWrites; }
    [[nodiscard]] bool isAnyHeld() const; ///< Whether an instance holds requests for a slice.
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
    void toInstance(int index, int start, std::function<void()> work);
    void tick(int index, int start);
    void handle(int index, const PlacementEvent &event);
    void carryOut(int index, PlacementAction action);
    void membershipOutput(int index, MembershipOutput output);
    void sendPeer(int from, const InstanceId &to, PeerMessage message);
    void sendOrder(int index, const SendOrderAction &action);
    void write(int index, const WriteAction &action);
    void applyWrite(int index, const WriteAction &action, bool answered);
    void readObject(int index, const ReadAction &action);
    void notifyWatchers(const std::string &path);
    void watch(int index, int start, const std::string &path);
    void newRoutes(int index, const RoutesAction &action);
    void reportIdle(int index, int start, const SliceIdleEvent &event);
    void list(int index);
    [[nodiscard]] bool reachesStore(int index) const;
    [[nodiscard]] bool isCut(int zoneA, int zoneB) const;
    [[nodiscard]] Duration linkDelay();
    [[nodiscard]] int findInstance(const InstanceId &id) const;
    [[nodiscard]] InstanceId idOf(int index) const;
    [[nodiscard]] bool chance(double share);
    [[nodiscard]] std::uint64_t draw(std::uint64_t below);
    [[nodiscard]] TargetId userOf(const Instance &instance, const DataPath &path,
                                  KeyHash hash) const;

    void checkWrite(const std::string &path, const std::string &before, const std::string &after);
    void checkGrants();
    void checkUnchecked();
    void checkOrder(int index, const SendOrderAction &action);
    void fail(const std::string &what);
    void note(const std::string &line);

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
    int m_loseAnswers = 0;
    std::shared_ptr<const Settings> m_settings;
    std::string m_violation;
    std::deque<std::string> m_trace;
};

/// \brief A small balancer: moves slices off targets that are not usable, one plan at a time.
[[nodiscard]] impl::PlacementPolicy simplePolicy();

} // namespace yuccaspan::test

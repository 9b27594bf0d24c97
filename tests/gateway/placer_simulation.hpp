/// \file
/// \brief Simulates targets, a store and placers with random faults, and checks that each key has
/// at most one owner.
#pragma once

#include "gateway/shard_placer.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace yuccaspan::gateway::test {

/// \brief Probability of each fault, in thousandths, per order or per step.
struct SimulatedFaults
{
    std::uint32_t lostAnswer = 0; ///< An order is applied, but its answer is lost.
    std::uint32_t lateGrant =
        0; ///< A grant is applied 2 to 5 s late; its hold time counts from its arrival.
    std::uint32_t notSent = 0; ///< An order is not sent.
    std::uint32_t crash = 0; ///< A target crashes and restarts; per step.
    std::uint32_t drain = 0; ///< A target drains; per step.
    std::uint32_t takeover = 0; ///< Another placer takes over; per step.
    std::uint32_t storeDown = 0; ///< The store is unavailable for 2 s; per step.
    /// The directory learns of a restarted target up to 3 s late; per restart. Orders name only the
    /// target's id, so the new incarnation executes them.
    std::uint32_t lateDiscovery = 0;
};

/// \brief Simulation of one keyed service.
class PlacerSimulation
{
public:
    PlacerSimulation(std::uint64_t seed, std::uint32_t targets, SimulatedFaults faults);

    /// \brief Advances the time in steps of 20 ms.
    void run(Duration span);
    /// \brief Sets the faults to inject from now on.
    void setFaults(SimulatedFaults faults) noexcept { m_faults = faults; }
    /// \brief Stops injecting faults.
    void stopFaults() noexcept { m_faults = {}; }
    /// \brief First violation found, or empty.
    [[nodiscard]] const std::string &violation() const noexcept { return m_violation; }
    /// \brief Number of sampled keys that have an owner now.
    [[nodiscard]] std::size_t heldKeys() const;
    /// \brief Number of sampled keys.
    [[nodiscard]] static std::size_t sampledKeys() noexcept;
    /// \brief Number of ranges in the stored shard map.
    [[nodiscard]] std::size_t ranges() const noexcept
    {
        return m_stored ? m_stored->ranges.size() : 0;
    }
    /// \brief Id of the target that holds the key, or empty.
    [[nodiscard]] std::string holderOf(std::uint32_t key) const;
    /// \brief Adds load on keys.
    void load(const KeySpan &keys, double slotsBusy) { m_loads.push_back({keys, slotsBusy}); }
    void clearLoad() { m_loads.clear(); }
    /// \brief Lets requests queue at targets with more work than slots, so that these answer late.
    void letRequestsQueue() noexcept { m_queueing = true; }
    /// \brief Sets the slots of each target.
    void setSlots(std::uint32_t slots);
    /// \brief Highest work per slot of a target.
    [[nodiscard]] double maxLoad() const;
    [[nodiscard]] double meanLoad() const;
    /// \brief Share of the load on spans of keys that lies on the holder of a key.
    [[nodiscard]] double loadBeside(std::uint32_t key) const;
    /// \brief Fraction of the keys that changed owners; counts each change.
    [[nodiscard]] double moved() const noexcept { return m_moved; }
    void drainTarget(std::size_t index);
    void crashTarget(std::size_t index, bool comesBack);
    /// \brief Crashes a target, which restarts under the same id.
    /// \param down Time until the new incarnation answers.
    /// \param discoveryDelay Time from then until it is in the directory.
    void restartTarget(std::size_t index, Duration down, Duration discoveryDelay);
    /// \brief Lets another placer take over.
    /// \param adoptDelay Time until it has read the stored shard map.
    void replacePlacer(Duration adoptDelay);
    void addTarget();
    [[nodiscard]] TimePoint now() const noexcept { return m_now; }
    /// \brief The shard map and the targets as text, to debug a failed run.
    [[nodiscard]] std::string describe() const;
    [[nodiscard]] std::string targetId(std::size_t index) const
    {
        return m_targets[index].entry.id;
    }

private:
    struct Grant
    {
        KeySpan keys;
        std::uint64_t fence;
        TimePoint until;
    };
    struct SimTarget
    {
        TargetEntry entry;
        bool alive = true;
        bool listed = true;
        TimePoint unlistAt = TimePoint::max();
        TimePoint endAt = TimePoint::max();
        TimePoint backAt = TimePoint::max();
        Duration discoveryDelay{};
        TimePoint discoveredAt = TimePoint::max();
        std::vector<Grant> grants;
    };
    struct Message
    {
        TimePoint at;
        ShardOrder order;
        TimePoint arrived;
        bool answered;
        std::uint64_t placer;
        std::int64_t incarnation; ///< Incarnation of the target that it was sent to.
    };
    struct Answer
    {
        TimePoint at;
        std::uint64_t order;
        OrderOutcome outcome;
        std::uint64_t placer;
    };
    struct Load
    {
        KeySpan keys;
        double slotsBusy;
    };

    bool chance(std::uint32_t perThousand);
    void step();
    void faults();
    void deliver();
    void apply(SimTarget &target, const Message &message);
    void send(const ShardOrder &order);
    void place();
    void takeOver();
    void check();
    void measureLatency();
    SimTarget *find(const std::string &id);
    [[nodiscard]] const SimTarget *holder(std::uint32_t key) const;

    std::mt19937_64 m_random;
    SimulatedFaults m_faults;
    TimePoint m_now{std::chrono::seconds(1000)};
    TargetDirectory m_directory;
    KeyLoad m_load;
    bool m_queueing = false;
    std::map<std::string, double> m_slowness; ///< By target.
    std::vector<SimTarget> m_targets;
    std::vector<Message> m_messages;
    std::vector<Answer> m_answers;
    std::vector<Load> m_loads;
    std::optional<ShardMap> m_stored;
    std::optional<ShardMap> m_writing;
    TimePoint m_writtenAt{};
    TimePoint m_storeBackAt{};
    std::uint64_t m_placerId = 1;
    std::unique_ptr<ShardPlacer> m_placer;
    TimePoint m_adoptAt{};
    std::map<std::uint32_t, std::pair<std::string, std::uint64_t>> m_lastHolder;
    std::map<std::uint64_t, Holder>
        m_tokenHolders; ///< Holder that each fencing token was issued for.
    std::int64_t m_nextIncarnation = 1;
    double m_moved = 0;
    std::string m_violation;
};

} // namespace yuccaspan::gateway::test

/// \file
/// \brief Targets, a store and placers under random faults, with a check of who holds what.
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

/// \brief Faults of a run, each as a chance in a thousand for one order or one step.
struct WorldFaults
{
    std::uint32_t lostAnswer = 0; ///< A grant is applied and its answer is lost.
    std::uint32_t lateGrant =
        0; ///< A grant is applied 2 to 5 s later; its time counts from arrival.
    std::uint32_t notSent = 0; ///< An order does not leave the placer.
    std::uint32_t crash = 0; ///< A target crashes, in each step; another life follows.
    std::uint32_t drain = 0; ///< A target drains, in each step.
    std::uint32_t takeover = 0; ///< The placer is replaced by another, in each step.
    std::uint32_t storeDown = 0; ///< The store is away for 2 s, in each step.
    /// News of a target's later life comes up to 3 s after it answers, for each restart. Orders
    /// name the target's id alone, so the later life carries them out.
    std::uint32_t lateNews = 0;
};

/// \brief The world of one keyed service.
class PlacerWorld
{
public:
    PlacerWorld(std::uint64_t seed, std::uint32_t targets, WorldFaults faults);

    /// \brief Lets time pass in steps of 20 ms.
    void run(Duration span);
    /// \brief Ends all faults.
    void calm() noexcept { m_faults = {}; }
    /// \brief First violation that was seen, or empty.
    [[nodiscard]] const std::string &violation() const noexcept { return m_violation; }
    /// \brief Keys of the sample that a live target holds now.
    [[nodiscard]] std::size_t heldKeys() const;
    /// \brief Keys that are sampled.
    [[nodiscard]] static std::size_t sampledKeys() noexcept;
    /// \brief Ranges of the stored record.
    [[nodiscard]] std::size_t ranges() const noexcept
    {
        return m_stored ? m_stored->ranges.size() : 0;
    }
    /// \brief Target that holds the key, or empty.
    [[nodiscard]] std::string holderOf(std::uint32_t key) const;
    /// \brief Adds work on keys, as requests would.
    void load(const KeySpan &keys, double slotsBusy) { m_loads.push_back({keys, slotsBusy}); }
    void clearLoad() { m_loads.clear(); }
    /// \brief Work on the keys that a target holds, per slot.
    [[nodiscard]] double busiest() const;
    [[nodiscard]] double meanLoad() const;
    /// \brief Share of all keys that changed hands.
    [[nodiscard]] double moved() const noexcept { return m_moved; }
    void drainTarget(std::size_t index);
    void crashTarget(std::size_t index, bool comesBack);
    /// \brief A target crashes and starts again under its id.
    /// \param down Until its later life answers.
    /// \param news From then until the directory knows of it.
    void restartTarget(std::size_t index, Duration down, Duration news);
    /// \brief Another placer takes over.
    /// \param adoptsIn Until it has read the record.
    void replacePlacer(Duration adoptsIn);
    void addTarget();
    [[nodiscard]] TimePoint now() const noexcept { return m_now; }
    /// \brief The stored record and the targets as text, for a failed run.
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
        Duration newsDelay{};
        TimePoint newsAt = TimePoint::max();
        std::vector<Grant> grants;
    };
    struct Message
    {
        TimePoint at;
        ShardOrder order;
        TimePoint arrived;
        bool answered;
        std::uint64_t placer;
        std::int64_t life; ///< Which life of the target its connection leads to.
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
    SimTarget *find(const std::string &id);
    [[nodiscard]] bool known(const SimTarget &target) const;
    [[nodiscard]] const SimTarget *holder(std::uint32_t key) const;

    std::mt19937_64 m_random;
    WorldFaults m_faults;
    TimePoint m_now{std::chrono::seconds(1000)};
    TargetDirectory m_directory;
    KeyLoad m_load;
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
    std::map<std::uint64_t, Holder> m_meant; ///< Whom each token was ordered for.
    std::int64_t m_lives = 1;
    double m_moved = 0;
    std::string m_violation;
};

} // namespace yuccaspan::gateway::test

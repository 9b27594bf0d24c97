/// \file
/// \brief The control tasks of an instance: it follows the store, and places while it holds the
/// lease.
#pragma once

#include "gateway/gateway.hpp"
#include "gateway/peer_link.hpp"
#include "gateway/placer_lease.hpp"
#include "gateway/shard_placer.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace yuccaspan::gateway {

/// \brief Follows the store and places.
class Control
{
public:
    /// \param start Distinguishes this start of the instance from others.
    Control(Gateway &gateway, std::string start);

    /// \brief Starts the tasks.
    Status start();
    /// \brief Answers a peer that asks for what it has missed.
    [[nodiscard]] std::string answerState(const std::string &request) const
    {
        return m_peers.answerState(request);
    }
    /// \brief Whether this instance places now.
    [[nodiscard]] bool placing() const noexcept;
    /// \brief Gives the lease up and takes this instance's object out of the store.
    asio::awaitable<void> leave();

private:
    /// Pause after a call to the store that failed.
    static constexpr Duration storePause = std::chrono::milliseconds(250);

    using Objects = std::vector<StoredObject>;
    /// What a change of a kind of object means.
    struct Follower
    {
        ObjectKind kind;
        void (Control::*all)(const Objects &);
        void (Control::*change)(const StoredObject &);
        Duration gather; ///< Pause between watches, in which changes gather; each watch is a call.
    };

    /// Placing one service under one hold of the lease.
    struct Placing
    {
        std::uint64_t id = 0; ///< Unique; what an earlier one began must not act on a later one.
        std::optional<ShardPlacer> placer;
        std::uint64_t revision = 0; ///< Of the record in the store.
    };

    asio::awaitable<void> follow(Follower follower);
    asio::awaitable<bool> listAll(const Follower &follower, std::uint64_t &revision);
    void noteChanged(ObjectKind kind, TimePoint askedAt);
    asio::awaitable<void> gather(const Follower &follower);
    asio::awaitable<bool> gatherMaps(std::size_t changes);
    [[nodiscard]] std::uint64_t newestMap() const noexcept;
    [[nodiscard]] Duration gatherFor(const Follower &follower) const noexcept;
    asio::awaitable<void> registerInstance();
    asio::awaitable<void> keepLease();
    asio::awaitable<void> look(bool maybeOld);
    asio::awaitable<void> take();
    asio::awaitable<void> renew();
    asio::awaitable<void> tickLoop();
    asio::awaitable<void> adopt(std::string service, std::uint64_t id);
    asio::awaitable<void> store(std::string service, std::uint64_t id, ShardMap map);
    asio::awaitable<void> carryOut(std::string service, std::uint64_t id, ShardOrder order);
    [[nodiscard]] Placing *findPlacing(const std::string &service, std::uint64_t id);
    asio::awaitable<void> pause(Duration span);

    void allTargets(const Objects &objects);
    void changeTarget(const StoredObject &object);
    void allSettings(const Objects &objects);
    void changeSettings(const StoredObject &object);
    void takeTargets(const std::vector<TargetEntry> &entries);
    void takeEvacuations();
    void takeInstances();
    void allEvacuations(const Objects &objects);
    void changeEvacuation(const StoredObject &object);
    void allInstances(const Objects &objects);
    void changeInstance(const StoredObject &object);
    void allShardMaps(const Objects &objects);
    void changeShardMap(const StoredObject &object);

    void decide(const std::string &service, Placing &placing);
    void proceed(const std::string &service, Placing &placing);
    [[nodiscard]] PlacementView viewOf(const LiveService &service) const;
    void carryOutAll(const std::string &service, const Placing &placing, PlacerOutput out);
    void stepDown(std::string_view why);
    void watchLoop(TimePoint due);
    void storeAnswered(bool answered, std::string_view call);
    void restartWatches();
    [[nodiscard]] PeerLink::Hooks peerHooks();
    [[nodiscard]] SharedState sharedState() const;
    [[nodiscard]] double slowness(const Target &target) const;

    Gateway &m_gateway;
    std::string m_start;
    PlacerLease m_lease;
    std::uint64_t m_renewal = 0; ///< Number of the renewal that was tried last.
    TimePoint m_renewalSince{}; ///< First try of it.
    bool m_wasPlacing = false;
    bool m_storeAway = false;
    std::map<ObjectKind, std::function<void()>> m_watchCancels; ///< Of the watches that wait.
    std::map<ObjectKind, bool> m_watchRestarted; ///< Whether the last one was ended by us.
    std::map<std::string, Placing, std::less<>> m_placing;
    std::uint64_t m_lastPlacing = 0; ///< Id of the placing that was begun last.
    std::set<std::string, std::less<>> m_evacuated;
    std::map<std::string, std::string> m_instances; ///< Where they listen, by name.
    std::map<ObjectKind, std::uint64_t> m_revisions; ///< Of the store, that a kind was read at.
    std::map<ObjectKind, TimePoint> m_answeredAt; ///< Last answer about a kind.
    TimePoint m_changedSince{}; ///< Earliest time of the changes that are being taken over.
    StoredObject m_settings; ///< The desired state in force, as the store sent it.
    PeerLink m_peers;
};

} // namespace yuccaspan::gateway

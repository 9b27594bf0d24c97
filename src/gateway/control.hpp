/// \file
/// \brief The control tasks of an instance: following the store, and placing keys while it holds
/// the placer lease.
#pragma once

#include "gateway/evidence/proof_renewal.hpp"
#include "gateway/gateway.hpp"
#include "gateway/news/news_log.hpp"
#include "gateway/peer_link.hpp"
#include "gateway/placer_lease.hpp"
#include "gateway/shard_placer.hpp"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace yuccaspan::gateway {

/// \brief How an instance learned of a change.
enum class ChangeOrigin {
    StoreList,
    StoreWatch,
    PeerNews, ///< News of a peer, or the log that holds them.
    ProofAnswer, ///< An answer to a question for proofs, or to a check of the store.
    PeerState, ///< State of a peer, requested while the store is unavailable.
};

/// \brief Follows the store and, with the placer lease, places keys.
class Control
{
public:
    /// \param start Identifies this start of the instance.
    Control(Gateway &gateway, std::string start);

    /// \brief Starts the tasks.
    Status start();
    /// \brief Answers a peer's request for state that it is missing.
    [[nodiscard]] std::string answerState(const std::string &request) const
    {
        return m_peers.answerState(request);
    }
    /// \brief Whether this instance is the placer now.
    [[nodiscard]] bool placing() const noexcept;
    /// \brief Gives up the placer lease if this instance holds it.
    asio::awaitable<void> leave();

private:
    static constexpr std::array followedKinds{ObjectKind::Settings, ObjectKind::Targets,
                                              ObjectKind::Evacuations, ObjectKind::ShardMaps,
                                              ObjectKind::Instances};
    /// Kinds that callers depend on within seconds.
    static constexpr std::array checkedKinds{ObjectKind::Settings, ObjectKind::Targets,
                                             ObjectKind::Evacuations};
    /// Delay after a failed call to the store.
    static constexpr Duration storePause = std::chrono::milliseconds(250);

    using Objects = std::vector<StoredObject>;
    /// Handlers for the changes of one kind of object.
    struct Follower
    {
        ObjectKind kind;
        void (Control::*onListed)(const Objects &);
        void (Control::*onChanged)(const StoredObject &);
        Duration batchDelay; ///< Delay between watches that batches changes; each watch is a call.
    };

    /// An entry of a target whose service is not in the desired state.
    struct UnnamedTarget
    {
        TargetEntry entry;
        TimePoint since; ///< Earliest time at which the store can have accepted it.
    };

    /// Placement state of one service during one tenure of the lease.
    struct Placing
    {
        std::uint64_t id = 0; ///< Unique; tasks of an earlier one must not affect a later one.
        std::optional<ShardPlacer> placer;
        StoreRevision revision; ///< Of the stored record.
    };

    [[nodiscard]] static const Follower &followerOf(ObjectKind kind);
    asio::awaitable<void> follow(Follower follower);
    asio::awaitable<bool> listAll(const Follower &follower, StoreRevision &revision);
    void logUnreadable(ObjectKind kind, std::size_t count);
    void logChange(std::string_view part, std::string_view event, nlohmann::json fields);
    void dateChanges(TimePoint since);
    void applyList(const Follower &follower, StoredObjects list, TimePoint askedAt);
    void applyChanges(const Follower &follower, const StoredObjects &changes, StoreRevision from);
    [[nodiscard]] static bool isChecked(ObjectKind kind) noexcept;
    asio::awaitable<void> renewProofs();
    asio::awaitable<void> checkKind(ObjectKind kind);
    asio::awaitable<void> listSilentKind(ObjectKind kind);
    [[nodiscard]] std::vector<std::string> proofPeers();
    [[nodiscard]] MarkQuestion markQuestion() const;
    [[nodiscard]] MarkAnswer answerMark(const MarkQuestion &question) const;
    void takeMark(const MarkAnswer &answer);
    void takeChanges(ObjectKind kind, const StoredObjects &changes);
    [[nodiscard]] bool lacksSettings() const;
    [[nodiscard]] std::optional<SettingsUpdate> settingsAfter(StoreRevision upTo) const;
    void takeSettings(const SettingsUpdate &update);
    void updateProofs();
    void catchUp();
    enum class AnswerForm { List, Changes, ChangesOfPeer };
    void recordAnswer(ObjectKind kind, AnswerForm form, const StoredObjects &answer,
                      TimePoint asOf);
    asio::awaitable<void> batchChanges(const Follower &follower);
    asio::awaitable<bool> batchMapChanges(std::size_t changes);
    [[nodiscard]] StoreRevision newestMap() const noexcept;
    [[nodiscard]] Duration batchDelayFor(const Follower &follower) const noexcept;
    [[nodiscard]] bool takeEra(std::uint64_t era);
    void enterEra(std::uint64_t era);
    [[nodiscard]] Duration delayOfInstance(Duration most) const;
    asio::awaitable<void> endEraGrace(std::uint64_t era);
    [[nodiscard]] bool inEraGrace() const noexcept { return m_gateway.now() < m_eraGraceUntil; }
    [[nodiscard]] bool storedInEra(const WriteResult &written, std::uint64_t sentEra);
    asio::awaitable<void> registerInstance();
    asio::awaitable<void> keepLease();
    asio::awaitable<bool> readLease(bool allowStale);
    asio::awaitable<void> acquireLease();
    asio::awaitable<void> renew();
    asio::awaitable<void> tickLoop();
    asio::awaitable<void> adopt(std::string service, std::uint64_t id);
    asio::awaitable<void> store(std::string service, std::uint64_t id, ShardMap map);
    asio::awaitable<void> executeOrder(std::string service, std::uint64_t id, ShardOrder order);
    [[nodiscard]] Placing *findPlacing(const std::string &service, std::uint64_t id);
    asio::awaitable<void> pause(Duration span);

    void onTargetsListed(const Objects &objects);
    void onTargetChanged(const StoredObject &object);
    void onSettingsListed(const Objects &objects);
    void onSettingsChanged(const StoredObject &object);
    void applyTargets(const std::vector<TargetEntry> &entries);
    [[nodiscard]] bool isNamed(const TargetEntry &entry) const noexcept;
    void adoptNamedTargets();
    void setListedEvacuations(std::set<std::string, std::less<>> zones);
    void setEvacuated(std::set<std::string, std::less<>> zones);
    void applyEvacuations();
    void relist(ObjectKind kind);
    void applyInstances();
    void onEvacuationsListed(const Objects &objects);
    void onEvacuationChanged(const StoredObject &object);
    void onInstancesListed(const Objects &objects);
    void onInstanceChanged(const StoredObject &object);
    void onShardMapsListed(const Objects &objects);
    void onShardMapChanged(const StoredObject &object);

    [[nodiscard]] std::optional<ShardMap> newestRecord(const std::string &service,
                                                       std::optional<ShardMap> stored) const;
    void decide(const std::string &service, Placing &placing);
    void proceed(const std::string &service, Placing &placing);
    [[nodiscard]] PlacementView viewOf(const LiveService &service) const;
    void applyOutput(const std::string &service, const Placing &placing, PlacerOutput out);
    void stepDown(std::string_view reason);
    void measureLoopLag(TimePoint due);
    void recordStoreCall(bool answered, std::string_view call);
    void restartWatches();
    void checkWatchWasReceived();
    asio::awaitable<void> readUntilAnswered();
    [[nodiscard]] PeerLink::Hooks peerHooks();
    [[nodiscard]] SharedState sharedState() const;
    bool acceptFromPeer(ObjectKind kind, StoreRevision revision);
    [[nodiscard]] double slowness(const Target &target) const;

    Gateway &m_gateway;
    std::string m_start;
    PlacerLease m_lease;
    std::optional<std::uint64_t> m_era; ///< Of the store, once it has answered.
    TimePoint m_eraGraceUntil{}; ///< Until then, what the store lacks isn't gone.
    TimePoint m_eraListsFrom{}; ///< When this instance lists the objects of a new era.
    std::uint64_t m_renewal = 0; ///< Number of the last attempted renewal.
    TimePoint m_renewalSince{}; ///< Its first attempt.
    bool m_wasPlacing = false;
    bool m_storeUnavailable = false;
    std::map<ObjectKind, std::function<void()>> m_watchCancels; ///< Of pending watches.
    std::map<ObjectKind, bool> m_watchRestarted; ///< Whether we cancelled the last one.
    bool m_watchCheckQueued = false; ///< A check covers all watches sent before it runs.
    bool m_awaitingStore = false; ///< Whether reads are repeated until the store answers.
    std::map<std::string, Placing, std::less<>> m_placing;
    std::uint64_t m_lastPlacing = 0; ///< Id of the last Placing.
    std::map<std::string, UnnamedTarget, std::less<>> m_unnamedTargets; ///< By id.
    std::set<std::string, std::less<>> m_evacuated;
    std::map<std::string, StoreRevision> m_returning; ///< Zones taken back, by store revision.
    std::set<ObjectKind> m_relist; ///< Kinds to list before they are watched again.
    std::map<std::string, std::string> m_instances; ///< Peer address by name.
    std::map<ObjectKind, StoreRevision> m_revisions; ///< Store revision last read, by kind.
    std::map<ObjectKind, NewsLog> m_known; ///< Targets and evacuations, whatever brought them.
    ProofRenewal m_proofs;
    TimePoint m_placerAskedAt{}; ///< For a proof.
    TimePoint m_changedSince{}; ///< Earliest time of the changes being applied.
    ChangeOrigin m_changeOrigin = ChangeOrigin::StoreList; ///< Of the changes being applied.
    StoredObject m_settings; ///< The desired state in force, as stored.
    PeerLink m_peers;
};

} // namespace yuccaspan::gateway

/// \brief Names of the origins in logs and metrics.
template <>
struct yuccaspan::EnumNames<yuccaspan::gateway::ChangeOrigin>
{
    static constexpr std::array<EnumName<gateway::ChangeOrigin>, 5> table{{
        {gateway::ChangeOrigin::StoreList, "store-list"},
        {gateway::ChangeOrigin::StoreWatch, "store-watch"},
        {gateway::ChangeOrigin::PeerNews, "peer-news"},
        {gateway::ChangeOrigin::ProofAnswer, "proof-answer"},
        {gateway::ChangeOrigin::PeerState, "peer-state"},
    }};
};

/// \file
/// \brief Messages between instances: load reports to the placer, shard map changes from it, and
/// state for instances that can't reach the store.
#pragma once

#include "gateway/evidence/store_mark.hpp"
#include "gateway/gateway.hpp"
#include "gateway/shard_delta.hpp"

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccaspan::gateway {

/// \brief State that an instance has read from the store, with its revisions.
///
/// An instance that can't reach the store gets it from its peers, so that it routes requests to the
/// owners that they know. Placement decisions are never based on it.
struct SharedState
{
    StoreRevision targetsRevision;
    StoreRevision evacuationsRevision;
    StoredObject settings; ///< The desired state, as stored.
    std::vector<std::string> evacuated;
};

/// \brief Settings that an instance lacks, from another.
struct SettingsUpdate
{
    StoredObjects objects; ///< All of them, or the changes after what the instance has.
    bool whole = false; ///< Whether they are all of them.
};

/// \brief Exchanges messages with the other instances.
class PeerLink
{
public:
    /// \brief Callbacks into Control.
    struct Hooks
    {
        std::function<std::string()> placer; ///< Name of the placer instance, or empty.
        std::function<bool()> isPlacer;
        std::function<bool()> storeUnavailable;
        std::function<SharedState()> state;
        /// Applies settings, targets and evacuations that are newer than the known ones.
        std::function<void(const StoredObject &)> settings;
        std::function<void(const std::vector<TargetEntry> &, StoreRevision)> targets;
        std::function<void(const std::vector<std::string> &, StoreRevision)> evacuated;
        /// Answers a question with what this instance can prove of the store.
        std::function<MarkAnswer(const MarkQuestion &)> mark;
        std::function<void(const MarkAnswer &)> takeMark;
        /// Instances to ask for proofs now, and the question.
        std::function<std::vector<std::string>()> proofPeers;
        std::function<MarkQuestion()> markQuestion;
        /// Whether newer settings are known to exist and don't arrive, so that they are asked for.
        std::function<bool()> lacksSettings;
        /// Up to which revision of the store the settings are in force.
        std::function<StoreRevision()> settingsUpTo;
        /// The settings that an instance lacks; nothing if this one has no newer ones.
        std::function<std::optional<SettingsUpdate>(StoreRevision upTo)> settingsAfter;
        std::function<void(const SettingsUpdate &)> takeSettings;
    };

    PeerLink(Gateway &gateway, Hooks hooks);

    /// \brief Starts the tasks.
    Status start();
    /// \brief Sets the addresses of the peers, by name.
    void setPeers(std::map<std::string, std::string> peers) { m_peers = std::move(peers); }
    /// \brief Sends the changes of a shard map write to all peers.
    void sendToPeers(const ShardDelta &delta);
    /// \brief Answers a peer's request for state that it is missing.
    [[nodiscard]] std::string answerState(const std::string &request) const;

private:
    asio::awaitable<void> reportLoad();
    asio::awaitable<void> receiveMessages();
    asio::awaitable<void> queryPeers();
    asio::awaitable<void> queryPeer(std::string address);
    asio::awaitable<std::optional<std::string>> askForState(std::string address,
                                                            nlohmann::json question);
    asio::awaitable<void> fetchSettings(std::string address, MarkAnswer mark);
    void answerSettings(const nlohmann::json &query, nlohmann::json &answer) const;
    void takeSettings(const nlohmann::json &answer);
    void applyAnswer(const std::string &answer, TimePoint askedAt);
    void addLoad(const LoadMessage &message);
    void receiveDelta(const ShardDelta &delta);
    asio::awaitable<void> askForMarks();
    void answerMark(const MarkQuestion &question, const asio::ip::udp::endpoint &from);
    void takeMark(const std::vector<std::uint8_t> &bytes, const asio::ip::udp::endpoint &from);
    asio::awaitable<void> lendAllowances();
    void receiveAllowances(const std::vector<std::uint8_t> &bytes);
    void send(const AllowanceExchange::Outgoing &messages);
    bool sendTo(const std::string &peer, const std::vector<std::uint8_t> &bytes);

    Gateway &m_gateway;
    Hooks m_hooks;
    asio::ip::udp::socket m_socket;
    std::map<std::string, std::string> m_peers; ///< Address by name.
    std::size_t m_nextPeer = 0;
    bool m_fetchingSettings = false;
};

} // namespace yuccaspan::gateway

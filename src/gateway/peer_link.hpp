/// \file
/// \brief Messages between instances: load for the placer, changes of shard maps from it, and state
/// for those that the store turns away.
#pragma once

#include "gateway/gateway.hpp"
#include "gateway/shard_delta.hpp"

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace yuccaspan::gateway {

/// \brief What an instance has learned from the store, with the revisions that it shows.
///
/// An instance that the store turns away asks its peers for it, so that it sends requests to the
/// owners that the others know. It is never a base for placing.
struct SharedState
{
    std::uint64_t targetsRevision = 0;
    std::uint64_t evacuationsRevision = 0;
    StoredObject settings; ///< The desired state as the store sent it.
    std::vector<std::string> evacuated;
};

/// \brief Sends and takes messages of instances.
class PeerLink
{
public:
    /// \brief What the link needs of control.
    struct Hooks
    {
        std::function<std::string()> placer; ///< Name of the instance that places, or empty.
        std::function<bool()> placesHere;
        std::function<bool()> storeAway;
        std::function<SharedState()> state;
        /// Takes over settings, targets and evacuations that are newer than the known ones.
        std::function<void(const StoredObject &)> settings;
        std::function<void(const std::vector<TargetEntry> &, std::uint64_t)> targets;
        std::function<void(const std::vector<std::string> &, std::uint64_t)> evacuated;
    };

    PeerLink(Gateway &gateway, Hooks hooks);

    /// \brief Starts the tasks.
    Status start();
    /// \brief Takes over where peers listen, by name.
    void setPeers(std::map<std::string, std::string> peers) { m_peers = std::move(peers); }
    /// \brief Tells all peers what a write of a shard map has changed.
    void tellPeers(const ShardDelta &delta);
    /// \brief Answers a peer that asks for what it has missed.
    [[nodiscard]] std::string answerState(const std::string &request) const;

private:
    asio::awaitable<void> reportLoad();
    asio::awaitable<void> takeMessages();
    asio::awaitable<void> askPeers();
    asio::awaitable<void> ask(std::string address);
    void learn(const std::string &answer);
    void note(const LoadMessage &message);
    void takeDelta(const ShardDelta &delta);
    bool sendTo(const std::string &peer, const std::vector<std::uint8_t> &bytes);

    Gateway &m_gateway;
    Hooks m_hooks;
    asio::ip::udp::socket m_socket;
    std::map<std::string, std::string> m_peers; ///< Address by name.
    std::size_t m_nextPeer = 0;
};

} // namespace yuccaspan::gateway

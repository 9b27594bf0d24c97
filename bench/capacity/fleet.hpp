/// \file
/// \brief Several real placement cores with a store, targets and links that never fail.
#pragma once

#include "yuccaspan/placement.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace yuccaspan::bench {

/// \brief Size of a fleet.
struct FleetSize
{
    std::uint32_t instances = 3; ///< Entry instances.
    std::uint32_t targets = 20; ///< Targets of the one service.
    std::uint32_t slicesPerTarget = 8; ///< Slices for each target.
    std::uint32_t zones = 1; ///< Availability zones, over which instances and targets are spread.
};

/// \brief What a fleet used while it ran.
struct FleetUse
{
    double seconds = 0; ///< Time on the runtime's clock.
    double processorMicroseconds = 0; ///< Processor time of all placement cores.
    double peerMessages = 0; ///< Messages between instances.
    double peerBytes = 0; ///< Their bytes as encoded.
    double orders = 0; ///< Orders to targets.
    double storeCalls = 0; ///< Reads and writes of the store.
    double slices = 0; ///< Slices of all cells at the end.
    double unownedSlices = 0; ///< Slices without an owner at the end.
};

/// \brief A fleet in one process, driven by the runtime's clock.
class Fleet
{
public:
    /// \brief Creates a fleet whose instances know the settings and each other.
    explicit Fleet(const FleetSize &size);

    /// \brief Lets time pass.
    /// \param span How long.
    /// \returns What was used in that time.
    [[nodiscard]] FleetUse run(Duration span);

private:
    struct Node
    {
        InstanceId id;
        std::unique_ptr<PlacementNode> core;
        std::deque<PlacementEvent> inbox;
    };
    struct StoredObject
    {
        ObjectVersion version;
        std::string value;
    };

    void deliverAll();
    void handle(Node &node, const PlacementEvent &event);
    void carryOut(Node &node, const PlacementAction &action);
    void write(Node &node, const WriteAction &action);
    void read(Node &node, const ReadAction &action);
    void sendPeer(const Node &node, const SendPeerAction &action);
    void answerOrder(Node &node, const SendOrderAction &action);
    void countSlices();

    PlacementTiming m_timing;
    TimePoint m_now{std::chrono::seconds(10)};
    std::vector<Node> m_nodes;
    std::map<std::string, StoredObject> m_objects;
    std::uint64_t m_revision = 1;
    FleetUse m_use;
};

} // namespace yuccaspan::bench

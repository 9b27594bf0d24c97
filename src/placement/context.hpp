/// \file
/// \brief State shared by all parts of one placement core while it handles an event.
#pragma once

#include "yuccaspan/balancer.hpp"
#include "yuccaspan/placement.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace yuccaspan::impl {

/// \brief Time without heartbeats and without being listed by the platform after which an instance
/// counts as gone. The platform must list a running instance within this time.
inline constexpr Duration goneAfter = std::chrono::seconds(10);

/// \brief Faults that tests inject to verify that their invariant checks detect them.
enum class ProtocolMutation {
    None, ///< The correct protocol.
    NoWaitBeforeTakeover, ///< A new placer does not wait for earlier terms to expire.
    PromiseForgotten, ///< A candidate forgets promises made during its takeover.
    UnionDropped, ///< A pending candidate list replaces the committed one at once.
    LeaseCountedFromReceipt, ///< A view lease starts when the update arrives.
    SettleBeforeRevoke, ///< The next owner is granted before the owner's grant has ended.
};

/// \brief Policy of the placer, replaced in tests.
struct PlacementPolicy
{
    /// Creates the balancer of one cell.
    std::function<std::unique_ptr<Balancer>()> makeBalancer;
    /// See yuccaspan::initialSlices.
    std::function<std::vector<SliceRecord>(KeyRange, const ZoneId &,
                                           const std::vector<BalanceTarget> &, std::uint32_t)>
        initialSlices;
    /// See yuccaspan::shareCapacity.
    std::function<std::map<InstanceId, CapacityShare>(const TargetSettings &,
                                                      const std::map<InstanceId, double> &)>
        shareCapacity;
};

/// \brief Identity, timing, settings and members, and the actions collected so far.
struct Context
{
    PlacementSelf self; ///< Who this instance is.
    PlacementTiming timing; ///< Timing of the protocol.
    ProtocolMutation mutation = ProtocolMutation::None; ///< Fault under test.
    PlacementPolicy policy; ///< Balancing and sharing.
    std::shared_ptr<const Settings> settings; ///< Settings in force; null until received.
    std::vector<Member> members; ///< In the order of their ids.
    TimePoint now; ///< Time of the current event.
    TimePoint startedAt; ///< Time of the first event.
    std::map<InstanceId, TimePoint> lastSeen; ///< When members were last alive or listed.
    PlacementActions actions; ///< Collected while an event is handled.
    std::deque<PeerEnvelope> loopback; ///< Messages of this instance to itself.
    std::mt19937_64 random; ///< Source of random delays.
    std::uint64_t lastId = 0; ///< Last id given to an order, write or read.

    /// \name Output
    /// @{
    /// \brief Adds a line to the decision log.
    void log(std::string_view part, std::string text);
    /// \brief Sends a message; one to this instance itself is delivered before handle() returns.
    void send(const InstanceId &to, PeerMessage message);
    /// \brief A new id for an order, write or read.
    [[nodiscard]] std::uint64_t nextId() noexcept { return ++lastId; }
    /// @}

    /// \name Look-up
    /// @{
    /// \brief The member with the id, or null.
    [[nodiscard]] const Member *findMember(const InstanceId &id) const noexcept;
    /// \brief Whether heartbeats of the instance arrive.
    [[nodiscard]] bool isAlive(const InstanceId &id) const noexcept;
    /// \brief Settings of a service, or null.
    [[nodiscard]] const ServiceSettings *findService(const ServiceName &name) const noexcept;
    /// \brief Settings of a target of a service, or null.
    [[nodiscard]] const TargetSettings *findTarget(const ServiceName &service,
                                                   const TargetId &id) const noexcept;
    /// \brief Whether the target checks grants; true for an unknown target.
    [[nodiscard]] bool checksGrants(const ServiceName &service, const TargetId &id) const noexcept;
    /// @}

    /// \brief Updates the last-seen times of members that are alive or listed.
    void updateLastSeen();

    /// \name Clock drift
    /// @{
    /// \brief A span that is at least as long as `span` on any other clock.
    [[nodiscard]] Duration stretched(Duration span) const noexcept;
    /// \brief A span that is at most as long as `span` on any other clock.
    [[nodiscard]] Duration shrunk(Duration span) const noexcept;
    /// @}
};

/// \brief Whether an instance is known to have ended.
///
/// It has sent no heartbeat and has not been listed for goneAfter, or a later start of it was
/// heard, or operators have declared its zone stopped.
[[nodiscard]] bool isGone(const Context &context, const InstanceId &id);

} // namespace yuccaspan::impl

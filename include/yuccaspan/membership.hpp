/// \file
/// \brief Membership of the entry instances, from their heartbeats and the platform's delayed list.
///
/// Does no I/O and reads no clock. It returns heartbeats for the instances that it knows from the
/// list or from their heartbeats; the daemon sends them, passes received heartbeats in, and
/// forwards each MembersEvent to the placement core. While the list cannot be read, the daemon of a
/// new instance sends a first heartbeat, with sequence 0, to the peer addresses in its settings.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/ids.hpp"
#include "yuccaspan/peer_message.hpp"
#include "yuccaspan/placement.hpp"
#include "yuccaspan/result.hpp"
#include "yuccaspan/store.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccaspan {

/// \brief Timing of membership.
struct MembershipTiming
{
    Duration heartbeatInterval = std::chrono::milliseconds(100); ///< Interval between heartbeats.
    Duration heartbeatTimeout = std::chrono::milliseconds(
        450); ///< Time without a heartbeat until an instance counts as not alive.
    Duration forgetAfter =
        std::chrono::seconds(30); ///< Time without a heartbeat until it is removed.
};

/// \brief State of an instance that its heartbeats carry.
struct MembershipStatus
{
    ObjectVersion settingsVersion; ///< Settings in force.
    bool storeReachable = false; ///< Whether the last store call succeeded.
    std::vector<CellId> places; ///< Cells of which it is the placer.
};

/// \brief A heartbeat to send.
struct HeartbeatSend
{
    InstanceId to; ///< The receiver.
    Heartbeat heartbeat; ///< The message.
};

/// \brief Actions that result from a call of Membership.
struct MembershipOutput
{
    std::vector<HeartbeatSend> send; ///< Heartbeats to send.
    std::optional<MembersEvent> members; ///< The new member list, if it changed.
    std::vector<LogAction> logs; ///< Lines for the decision log.
};

/// \brief Name of an instance without its start id: the part before '#'.
[[nodiscard]] std::string instanceName(const InstanceId &id);

/// \brief Tracks the entry instances and whether each is alive.
class Membership
{
public:
    /// \name Construction
    /// @{
    /// \brief Creates the membership of one instance, which knows no others at first.
    /// \param self Name with start id.
    /// \param zone Its availability zone.
    /// \param timing Timing; heartbeatTimeout must be at least two heartbeat intervals.
    [[nodiscard]] static Result<Membership> create(InstanceId self, ZoneId zone,
                                                   MembershipTiming timing);
    /// @}

    /// \name Events
    /// @{
    /// \brief Sends heartbeats and detects failed instances; call it regularly.
    /// \param status State to send in heartbeats.
    /// \param now The current time.
    [[nodiscard]] MembershipOutput tick(const MembershipStatus &status, TimePoint now);
    /// \brief Handles a received heartbeat. Those older than the last one are dropped.
    [[nodiscard]] MembershipOutput received(const InstanceId &from, const Heartbeat &heartbeat,
                                            TimePoint now);
    /// \brief Handles a newly read list of the platform. Targets in it are ignored.
    [[nodiscard]] MembershipOutput listed(const std::vector<ListedInstance> &list, TimePoint now);
    /// \brief Handles a pause of this process, which must not count as missed heartbeats of the
    /// others.
    void clockJumped(TimePoint now);
    /// \brief Announces in heartbeats that this instance is stopping.
    void leave() noexcept { m_leaving = true; }
    /// @}

private:
    struct Peer
    {
        ZoneId zone;
        TimePoint lastHeard;
        TimePoint firstSeen;
        std::uint64_t lastSequence = 0;
        bool heard = false;
        bool leaving = false;
        bool listed = false;
        std::vector<InstanceId> hears;
    };

    Membership(InstanceId self, ZoneId zone, MembershipTiming timing);
    [[nodiscard]] Peer &findOrAdd(const InstanceId &id, TimePoint now);
    [[nodiscard]] bool isAlive(const Peer &peer, TimePoint now) const;
    [[nodiscard]] Heartbeat makeHeartbeat(const MembershipStatus &status, TimePoint now);
    [[nodiscard]] std::vector<Member> currentMembers(TimePoint now) const;
    void removeExpired(TimePoint now);
    void reportChanges(MembershipOutput &output, TimePoint now);

    InstanceId m_self;
    ZoneId m_zone;
    MembershipTiming m_timing;
    std::map<InstanceId, Peer> m_peers;
    std::vector<Member> m_reported;
    std::optional<TimePoint> m_lastSent;
    std::uint64_t m_sequence = 0;
    bool m_selfListed = false;
    bool m_leaving = false;
};

} // namespace yuccaspan

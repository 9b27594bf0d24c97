/// \file
/// \brief Membership of the entry instances, from their heartbeats and the platform's lagging list.
///
/// Does no input or output and reads no clock. It sends to instances that it heard of, by the list
/// or by their heartbeats; while the list cannot be read, the daemon of a fresh instance sends a
/// first heartbeat, with sequence 0, to the peers' addresses in its settings. The daemon sends the
/// heartbeats it returns, hands it those that arrive, and passes each MembersEvent on to the
/// placement core.
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
    Duration heartbeatInterval = std::chrono::milliseconds(100); ///< Between heartbeats.
    Duration silentAfter =
        std::chrono::milliseconds(450); ///< Silence after which one is not alive.
    Duration forgetAfter = std::chrono::seconds(30); ///< Silence after which one is dropped.
};

/// \brief What an instance says of itself in its heartbeats.
struct MembershipStatus
{
    ObjectVersion settingsVersion; ///< Settings in force.
    bool storeReachable = false; ///< Whether the last store call succeeded.
    std::vector<CellId> places; ///< Cells that it places.
};

/// \brief A heartbeat to send.
struct HeartbeatSend
{
    InstanceId to; ///< The receiver.
    Heartbeat heartbeat; ///< The message.
};

/// \brief What a call of Membership asks to be done.
struct MembershipOutput
{
    std::vector<HeartbeatSend> send; ///< Heartbeats to send.
    std::optional<MembersEvent> members; ///< The new members, if anything changed.
    std::vector<LogAction> logs; ///< Lines for the decision log.
};

/// \brief Name of an instance without its start id: the part before '#'.
[[nodiscard]] std::string instanceName(const InstanceId &id);

/// \brief Keeps the list of entry instances and whether each is alive.
class Membership
{
public:
    /// \name Construction
    /// @{
    /// \brief Creates the membership of one instance, which starts alone.
    /// \param self Name with start id.
    /// \param zone Its availability zone.
    /// \param timing Timing; the silence limit must be at least two heartbeats.
    [[nodiscard]] static Result<Membership> create(InstanceId self, ZoneId zone,
                                                   MembershipTiming timing);
    /// @}

    /// \name Events
    /// @{
    /// \brief Time has passed.
    /// \param status What to say in heartbeats.
    /// \param now The current time.
    [[nodiscard]] MembershipOutput tick(const MembershipStatus &status, TimePoint now);
    /// \brief A heartbeat arrived. Older ones than the last are dropped.
    [[nodiscard]] MembershipOutput received(const InstanceId &from, const Heartbeat &heartbeat,
                                            TimePoint now);
    /// \brief The platform's list was read. Targets in it are passed over.
    [[nodiscard]] MembershipOutput listed(const std::vector<ListedInstance> &list, TimePoint now);
    /// \brief The process was stopped: its own pause is no silence of the others.
    void clockJumped(TimePoint now);
    /// \brief This instance is stopping.
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
    void forgetSilent(TimePoint now);
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

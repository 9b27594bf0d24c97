#include "yuccaspan/membership.hpp"

#include <algorithm>
#include <utility>

namespace yuccaspan {

std::string instanceName(const InstanceId &id)
{
    return id.text().substr(0, id.text().find('#'));
}

Result<Membership> Membership::create(InstanceId self, ZoneId zone, MembershipTiming timing)
{
    if (self.empty())
        return Error{ErrorCode::InvalidArgument, "instance name is empty", {}};
    if (timing.heartbeatInterval <= Duration::zero())
        return Error{ErrorCode::InvalidArgument, "the heartbeat interval must be positive", {}};
    if (timing.heartbeatTimeout < 2 * timing.heartbeatInterval)
        return Error{
            ErrorCode::InvalidArgument, "the silence limit must be at least two heartbeats", {}};
    return Membership(std::move(self), std::move(zone), timing);
}

Membership::Membership(InstanceId self, ZoneId zone, MembershipTiming timing)
    : m_self(std::move(self)), m_zone(std::move(zone)), m_timing(timing)
{ }

MembershipOutput Membership::tick(const MembershipStatus &status, TimePoint now)
{
    MembershipOutput output;
    removeExpired(now);
    if (!m_lastSent || now - *m_lastSent >= m_timing.heartbeatInterval) {
        m_lastSent = now;
        const Heartbeat heartbeat = makeHeartbeat(status, now);
        for (const auto &[id, peer] : m_peers)
            output.send.push_back({id, heartbeat});
    }
    reportChanges(output, now);
    return output;
}

MembershipOutput Membership::received(const InstanceId &from, const Heartbeat &heartbeat,
                                      TimePoint now)
{
    MembershipOutput output;
    if (from == m_self)
        return output;
    Peer &peer = findOrAdd(from, now);
    if (peer.heard && heartbeat.sequence <= peer.lastSequence)
        return output;
    peer.heard = true;
    peer.lastHeard = now;
    peer.lastSequence = heartbeat.sequence;
    peer.zone = heartbeat.zone;
    peer.leaving = heartbeat.leaving;
    peer.hears = heartbeat.hears;
    reportChanges(output, now);
    return output;
}

MembershipOutput Membership::listed(const std::vector<ListedInstance> &list, TimePoint now)
{
    MembershipOutput output;
    m_selfListed = false;
    for (auto &[id, peer] : m_peers)
        peer.listed = false;
    for (const ListedInstance &entry : list) {
        if (entry.role != "entry")
            continue;
        const InstanceId id(entry.id);
        if (id == m_self) {
            m_selfListed = true;
            continue;
        }
        Peer &peer = findOrAdd(id, now);
        peer.listed = true;
        if (!peer.heard)
            peer.zone = entry.zone;
        peer.leaving = peer.leaving || entry.leaving;
    }
    reportChanges(output, now);
    return output;
}

void Membership::clockJumped(TimePoint now)
{
    for (auto &[id, peer] : m_peers) {
        if (peer.heard)
            peer.lastHeard = now;
    }
}

Membership::Peer &Membership::findOrAdd(const InstanceId &id, TimePoint now)
{
    const auto [found, isNew] = m_peers.try_emplace(id);
    if (isNew)
        found->second.firstSeen = now;
    return found->second;
}

bool Membership::isAlive(const Peer &peer, TimePoint now) const
{
    return peer.heard && now - peer.lastHeard < m_timing.heartbeatTimeout;
}

Heartbeat Membership::makeHeartbeat(const MembershipStatus &status, TimePoint now)
{
    Heartbeat heartbeat;
    heartbeat.zone = m_zone;
    heartbeat.sequence = ++m_sequence;
    heartbeat.leaving = m_leaving;
    heartbeat.settingsVersion = status.settingsVersion;
    heartbeat.storeReachable = status.storeReachable;
    heartbeat.places = status.places;
    for (const auto &[id, peer] : m_peers) {
        if (isAlive(peer, now))
            heartbeat.hears.push_back(id);
    }
    return heartbeat;
}

std::vector<Member> Membership::currentMembers(TimePoint now) const
{
    std::vector<Member> members;
    Member self{m_self, m_zone, true, m_leaving, m_selfListed, {}};
    for (const auto &[id, peer] : m_peers) {
        members.push_back(
            {id, peer.zone, isAlive(peer, now), peer.leaving, peer.listed, peer.hears});
        if (members.back().alive)
            self.hears.push_back(id);
    }
    const auto place = std::ranges::lower_bound(members, self.id, {}, &Member::id);
    members.insert(place, std::move(self));
    return members;
}

void Membership::removeExpired(TimePoint now)
{
    std::erase_if(m_peers, [&](const auto &entry) {
        const Peer &peer = entry.second;
        const TimePoint last = peer.heard ? peer.lastHeard : peer.firstSeen;
        return !peer.listed && now - last > m_timing.forgetAfter;
    });
}

void Membership::reportChanges(MembershipOutput &output, TimePoint now)
{
    std::vector<Member> members = currentMembers(now);
    if (members == m_reported)
        return;
    for (const Member &member : members) {
        const auto before = std::ranges::find(m_reported, member.id, &Member::id);
        const bool wasAlive = before != m_reported.end() && before->alive;
        if (member.alive != wasAlive) {
            output.logs.push_back(
                {"membership",
                 "Instance " + member.id.text()
                     + (member.alive ? " is alive." : " timed out: no heartbeat.")});
        }
    }
    m_reported = members;
    output.members = MembersEvent{std::move(members)};
}

} // namespace yuccaspan

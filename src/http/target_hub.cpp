#include "http/target_hub.hpp"

#include <algorithm>

namespace yuccaspan::impl {

SharedTarget::SharedTarget(const TargetSettings &target, const ServiceSettings &service,
                           std::uint32_t instances)
    : m_settings(target),
      m_service(service.name),
      m_gate(makeTargetGate(target, service, instances)),
      m_connectionLimit(std::max(1U, target.connections / std::max(1U, instances)))
{ }

bool SharedTarget::reserveConnection() noexcept
{
    std::uint32_t open = m_connections;
    while (open < m_connectionLimit) {
        if (m_connections.compare_exchange_weak(open, open + 1))
            return true;
    }
    return false;
}

void SharedTarget::recordAnswer(const std::string &startId, TargetState state, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (startId != m_startId || state != m_state)
        updateGate(startId, state, now);
}

void SharedTarget::recordProbe(const std::string &startId, TargetState state, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const bool changed = startId != m_startId || state != m_state;
    const bool confirmsWarm = state == TargetState::Warm && m_gate->isCold();
    if (changed || confirmsWarm)
        updateGate(startId, state, now);
}

void SharedTarget::updateGate(const std::string &startId, TargetState state, TimePoint now)
{
    m_startId = startId;
    m_state = state;
    m_gate->recordTargetState(startId, state, now);
}

std::pair<std::string, TargetState> SharedTarget::lastSeen() const
{
    const std::lock_guard lock(m_mutex);
    return {m_startId, m_state};
}

TargetHub::TargetHub() : m_map(std::make_shared<const TargetMap>())
{ }

void TargetHub::apply(const Settings &settings, std::uint32_t instances)
{
    const std::shared_ptr<const TargetMap> before = m_map.get();
    auto after = std::make_shared<TargetMap>();
    for (const ServiceSettings &service : settings.services) {
        for (const TargetSettings &target : service.targets) {
            const auto known = before->find(target.id);
            const bool keep = known != before->end() && known->second->settings() == target;
            auto shared =
                keep ? known->second : std::make_shared<SharedTarget>(target, service, instances);
            shared->withGate([&](TargetGate &gate) { gate.setTarget(target, service); });
            after->emplace(target.id, std::move(shared));
        }
    }
    m_map.publish(std::move(after));
}

void TargetHub::setShares(const std::vector<CapacityShare> &shares, TimePoint validUntil)
{
    const std::shared_ptr<const TargetMap> map = m_map.get();
    for (const CapacityShare &share : shares) {
        const auto found = map->find(share.target);
        if (found == map->end())
            continue;
        found->second->withGate([&](TargetGate &gate) { gate.setShare(share, validUntil); });
        found->second->setConnectionLimit(std::max(1U, share.connections));
    }
}

void TargetHub::tick(TimePoint now, const ReleaseHandler &handler)
{
    const std::shared_ptr<const TargetMap> map = m_map.get();
    for (const auto &[id, target] : *map) {
        const GateRelease release =
            target->withGate([&](TargetGate &gate) { return gate.tick(now); });
        if (!release.send.empty() || !release.refuse.empty())
            handler(target, release);
    }
}

} // namespace yuccaspan::impl

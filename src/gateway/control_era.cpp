// Reaction of Control to a store that came back from a copy.

#include "gateway/control.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>
#include <utility>

namespace yuccaspan::gateway {

namespace {

/// Time for the operator and the targets to write again what the copy lacks (about 2 s), and for
/// the watches to deliver it.
constexpr Duration eraGrace = std::chrono::milliseconds(2300);
/// Maximum delay of an instance's lists, so that those of all instances don't come at once.
constexpr Duration maxListDelay = std::chrono::milliseconds(300);

} // namespace

/// Part of a maximum delay that falls to this instance.
Duration Control::delayOfInstance(Duration most) const
{
    constexpr std::size_t steps = 64;
    const std::size_t hash = std::hash<std::string>{}(m_gateway.options.name);
    return most * static_cast<Duration::rep>(hash % steps) / static_cast<Duration::rep>(steps);
}

/// Compares the era of an answer with the known one, and reacts to a higher one.
/// \returns Whether the answer may be used; one of an earlier era may not.
bool Control::takeEra(std::uint64_t era)
{
    if (m_era && era < *m_era) {
        m_gateway.metrics.count("store-era", "old-answer");
        return false;
    }
    if (m_era != era)
        enterEra(era);
    return true;
}

void Control::enterEra(std::uint64_t era)
{
    const std::optional<std::uint64_t> before = std::exchange(m_era, era);
    const TimePoint now = m_gateway.now();
    m_lease.enterEra(era, now);
    if (!before)
        return;
    m_gateway.metrics.count("store-era", "entered");
    m_gateway.log.write("store", "came-back",
                        {{"era", era},
                         {"before", *before},
                         {"heldLease", m_lease.heldIntoEra()},
                         {"targets", m_gateway.directory.targets().size()},
                         {"instances", m_instances.size()},
                         {"evacuated", m_evacuated.size()}});
    if (m_wasPlacing)
        stepDown("the store came back from a copy");
    m_eraGraceUntil = now + eraGrace;
    m_eraListsFrom = now + delayOfInstance(maxListDelay);
    m_gateway.directory.enterEra(now);
    m_relist.insert(followedKinds.begin(), followedKinds.end());
    restartWatches();
    asio::co_spawn(m_gateway.loop, registerInstance(), asio::detached);
    asio::co_spawn(m_gateway.loop, endEraGrace(era), asio::detached);
}

/// Reads what was kept in the grace period although the store lacks it.
asio::awaitable<void> Control::endEraGrace(std::uint64_t era)
{
    co_await pause(m_eraGraceUntil - m_gateway.now());
    if (m_era != era || m_gateway.stopping)
        co_return;
    relist(ObjectKind::Evacuations);
    relist(ObjectKind::Instances);
}

/// Whether the store took a write in the era in which it was sent. A condition on a revision of
/// another era proves nothing: the number may have been given out again.
bool Control::storedInEra(const WriteResult &written, std::uint64_t sentEra)
{
    if (written.end != WriteEnd::Stored && written.end != WriteEnd::Conflict)
        return true;
    const bool current = takeEra(written.object.revision.era);
    if (current && written.object.revision.era == sentEra)
        return true;
    m_gateway.metrics.count("store-era", "write-across");
    return false;
}

/// The newest of the stored record of a service and the one that this instance knows.
std::optional<ShardMap> Control::newestRecord(const std::string &service,
                                              std::optional<ShardMap> stored) const
{
    const auto known = m_gateway.shardMaps.find(service);
    if (known == m_gateway.shardMaps.end() || known->second.map.ranges.empty()
        || (stored && !isOlder(*stored, known->second.map)))
        return stored;
    return known->second.map;
}

} // namespace yuccaspan::gateway

// Placement tasks of Control: the placer lease, and executing the output of each service's placer.

#include "gateway/control.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace yuccaspan::gateway {

namespace {

/// Interval of placement decisions.
constexpr Duration tickInterval = std::chrono::milliseconds(100);
/// Interval of lease checks.
constexpr Duration leaseCheckInterval = std::chrono::milliseconds(200);
/// Largest body of a target's response to an order, in bytes; what it says is in the head.
constexpr std::uint64_t orderBodyLimit = 65536;
constexpr const char *leaseName = "placer";

OrderOutcome outcomeOf(const CallResult &result)
{
    if (result.end == CallEnd::NotSent || result.end == CallEnd::Withheld)
        return OrderOutcome::NotSent;
    if (result.end != CallEnd::Answered)
        return OrderOutcome::NoAnswer;
    switch (result.response.result()) {
    case http::status::ok:
        return OrderOutcome::Done;
    case http::status::conflict:
        return OrderOutcome::Refused;
    case http::status::misdirected_request:
        return OrderOutcome::WrongTarget;
    default:
        return OrderOutcome::NoAnswer;
    }
}

/// Wall-clock time less the given time. The wall clocks of the instances differ little, but jump.
Duration wallClockOffset(TimePoint now)
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Duration>(wall) - now.time_since_epoch();
}

double milliseconds(Duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

nlohmann::json keysJson(const KeySpan &keys)
{
    return nlohmann::json::array({keys.first, keys.last});
}

} // namespace

asio::awaitable<void> Control::keepLease()
{
    while (!m_gateway.stopping) {
        switch (m_lease.step(m_gateway.now())) {
        case LeaseStep::Nothing:
            break;
        case LeaseStep::Read:
            co_await readLease(true);
            break;
        case LeaseStep::Acquire:
            co_await acquireLease();
            break;
        case LeaseStep::Renew:
            co_await renew();
            break;
        }
        if (m_wasPlacing && !placing())
            stepDown("lease ended");
        co_await pause(leaseCheckInterval);
    }
}

/// \returns Whether the store answered.
asio::awaitable<bool> Control::readLease(bool allowStale)
{
    const Result<StoredObject> found =
        co_await m_gateway.store.get(ObjectKind::Leases, leaseName, allowStale);
    const bool absent = !found && found.error().code == ErrorCode::NotFound;
    recordStoreCall(found.hasValue() || absent, "get");
    if (found && !takeEra(found->revision.era))
        co_return true;
    // The holder knows its own last write, which is newer than what a read returns.
    if (m_lease.held(m_gateway.now()))
        co_return found.hasValue() || absent;
    if (absent) {
        m_lease.observed(std::nullopt, {}, m_gateway.now());
    } else if (found) {
        const Result<LeaseRecord> record = decodeLease(found->text);
        m_lease.observed(record ? std::optional(*record) : std::nullopt, found->revision,
                         m_gateway.now());
    }
    co_return found.hasValue() || absent;
}

asio::awaitable<void> Control::acquireLease()
{
    if (!m_gateway.desired || !m_gateway.targetsKnown)
        co_return;
    co_await readLease(false);
    if (m_lease.step(m_gateway.now()) != LeaseStep::Acquire)
        co_return;
    const TimePoint sentAt = m_gateway.now();
    const LeaseRecord record = m_lease.next();
    const std::string before = m_lease.holder();
    const WriteResult written = co_await m_gateway.store.put(
        ObjectKind::Leases, leaseName, encodeLease(record), m_lease.revision());
    if (!storedInEra(written, record.era))
        co_return;
    if (written.end == WriteEnd::Stored) {
        m_lease.stored(record, written.object.revision, sentAt);
        m_gateway.evidence.observed(written.object.revision, sentAt);
        m_wasPlacing = true;
        m_gateway.log.write(
            "placement", "lease-taken",
            {{"before", before}, {"revision", revisionJson(written.object.revision)}});
    } else if (written.end == WriteEnd::Conflict) {
        const Result<LeaseRecord> current = decodeLease(written.object.text);
        m_lease.observed(current ? std::optional(*current) : std::nullopt, written.object.revision,
                         m_gateway.now());
    }
}

asio::awaitable<void> Control::renew()
{
    const TimePoint sentAt = m_gateway.now();
    const LeaseRecord record = m_lease.next();
    if (std::exchange(m_renewal, record.renewal) != record.renewal)
        m_renewalSince = sentAt;
    const WriteResult written = co_await m_gateway.store.put(
        ObjectKind::Leases, leaseName, encodeLease(record), m_lease.revision());
    recordStoreCall(written.end == WriteEnd::Stored || written.end == WriteEnd::Conflict, "renew");
    if (!storedInEra(written, record.era))
        co_return;
    if (written.end == WriteEnd::Stored) {
        m_lease.stored(record, written.object.revision, sentAt);
        m_gateway.evidence.observed(written.object.revision, sentAt);
        co_return;
    }
    if (written.end != WriteEnd::Conflict)
        co_return;
    const Result<LeaseRecord> current = decodeLease(written.object.text);
    if (current && m_lease.ours(*current) && current->era == record.era) {
        // An earlier attempt of this renewal succeeded, but its answer was lost.
        m_lease.stored(*current, written.object.revision, m_renewalSince);
        co_return;
    }
    m_lease.drop();
    m_lease.observed(current ? std::optional(*current) : std::nullopt, written.object.revision,
                     m_gateway.now());
    stepDown("another instance holds the lease");
}

void Control::stepDown(std::string_view reason)
{
    m_wasPlacing = false;
    m_lease.drop();
    m_placing.clear();
    m_gateway.log.write("placement", "lease-lost", {{"why", reason}});
}

asio::awaitable<void> Control::leave()
{
    if (m_lease.held(m_gateway.now())) {
        LeaseRecord record = m_lease.next();
        record.holder.clear();
        m_placing.clear();
        co_await m_gateway.store.put(ObjectKind::Leases, leaseName, encodeLease(record),
                                     m_lease.revision());
        stepDown("instance is stopping");
    }
}

double Control::slowness(const Target &target) const
{
    const auto found = m_gateway.slowness.find(target.entry.id);
    return found == m_gateway.slowness.end() ? 1.0 : found->second;
}

asio::awaitable<void> Control::tickLoop()
{
    while (true) {
        const TimePoint now = m_gateway.now();
        m_gateway.commonOffset = wallClockOffset(now);
        if (m_gateway.directory.tick(now))
            m_gateway.wakeAll();
        m_gateway.forgetTargets();
        catchUp();
        if (placing() && m_gateway.desired) {
            for (const auto &[name, service] : m_gateway.desired->services) {
                if (!service.keyed)
                    continue;
                const auto [found, isNew] = m_placing.try_emplace(name);
                if (isNew) {
                    found->second.id = ++m_lastPlacing;
                    asio::co_spawn(m_gateway.loop, adopt(name, found->second.id), asio::detached);
                } else if (found->second.placer) {
                    decide(name, found->second);
                }
            }
        }
        const TimePoint due = m_gateway.now() + tickInterval;
        co_await pause(tickInterval);
        measureLoopLag(due);
    }
}

/// Measures the lag of the event loop, and logs a high lag with the time spent per duty.
void Control::measureLoopLag(TimePoint due)
{
    const TimePoint now = m_gateway.now();
    m_gateway.loopWatch.ran(due, now);
    m_gateway.metrics.loopLag(m_gateway.loopWatch.lag());
    const std::optional<LoopReport> report = m_gateway.loopWatch.takeReport(now);
    if (!report)
        return;
    nlohmann::json spent = nlohmann::json::object();
    for (const auto &[duty, name] : EnumNames<Duty>::table)
        spent[std::string(name)] = milliseconds(report->spent[static_cast<std::size_t>(duty)]);
    m_gateway.log.write("lifecycle", "loop-late",
                        {{"lagMs", milliseconds(report->lag)},
                         {"spentMs", std::move(spent)},
                         {"active", m_gateway.active},
                         {"sessions", m_gateway.callers->open()}});
}

/// The placement state of a service, or null if the lease was lost since it was created.
Control::Placing *Control::findPlacing(const std::string &service, std::uint64_t id)
{
    const auto found = m_placing.find(service);
    return found != m_placing.end() && found->second.id == id ? &found->second : nullptr;
}

asio::awaitable<void> Control::adopt(std::string service, std::uint64_t id)
{
    const Result<StoredObject> found =
        co_await m_gateway.store.get(ObjectKind::ShardMaps, service, false);
    // Ends this tenure if the era is new.
    const bool usable = !found || takeEra(found->revision.era);
    Placing *const placing = findPlacing(service, id);
    if (placing == nullptr)
        co_return;
    const bool absent = !found && found.error().code == ErrorCode::NotFound;
    if ((!found && !absent) || !usable) {
        // The next tick retries.
        m_placing.erase(service);
        co_return;
    }
    std::optional<ShardMap> stored;
    if (found) {
        Result<ShardMap> map = decodeShardMap(found->text);
        if (!map) {
            m_gateway.log.write("placement", "bad-map", {{"error", map.error().text}});
            m_placing.erase(service);
            co_return;
        }
        stored = std::move(*map);
    }
    PlacerTiming timing;
    timing.hold = std::min(timing.hold, m_gateway.options.maxHold);
    const std::uint64_t era = m_era.value_or(0);
    // A record of this era was written by a placer that had waited; one of an earlier era may lack
    // the last moves.
    const bool mayLackMoves = era != 0 && (!stored || stored->term <= termFloor(era));
    const bool lost = mayLackMoves && !m_lease.heldIntoEra();
    if (mayLackMoves)
        stored = newestRecord(service, std::move(stored));
    const TimePoint grantsEnd = m_lease.earlierLeasesEnd() + ShardPlacer::longestHold(timing);
    if (lost && m_gateway.now() < grantsEnd) {
        m_gateway.metrics.count("store-era", "await-grants");
        co_await pause(grantsEnd - m_gateway.now());
        if (findPlacing(service, id) != nullptr)
            m_placing.erase(service);
        co_return;
    }
    placing->revision = found ? found->revision : StoreRevision{};
    placing->placer = ShardPlacer::create(service, m_gateway.options.name + "/" + m_start, timing);
    if (lost)
        placing->placer->adoptAfterLoss(stored, m_gateway.now(), era);
    else
        placing->placer->adopt(stored, m_gateway.now(), era);
    m_gateway.log.write("placement", "adopted",
                        {{"service", service},
                         {"revision", revisionJson(placing->revision)},
                         {"mayLackMoves", mayLackMoves},
                         {"grantsAnew", lost},
                         {"ranges", stored ? stored->ranges.size() : 0}});
    decide(service, *placing);
}

PlacementView Control::viewOf(const LiveService &service) const
{
    return {m_gateway.directory, *service.load,
            [this](const Target &target) { return slowness(target); }};
}

/// Makes placement decisions. Called at each tick, not after each order.
void Control::decide(const std::string &service, Placing &placing)
{
    const LiveService &live = m_gateway.liveService(service);
    if (live.load == nullptr || !this->placing())
        return;
    m_gateway.metrics.count("placer", "decide");
    const DutyTimer timer(m_gateway, Duty::Place);
    applyOutput(service, placing, placing.placer->tick(viewOf(live), m_gateway.now()));
}

/// Advances the moves after an order or a write has completed.
void Control::proceed(const std::string &service, Placing &placing)
{
    const LiveService &live = m_gateway.liveService(service);
    if (live.load == nullptr || !this->placing())
        return;
    m_gateway.metrics.count("placer", "proceed");
    const DutyTimer timer(m_gateway, Duty::Place);
    applyOutput(service, placing, placing.placer->proceed(viewOf(live), m_gateway.now()));
}

void Control::applyOutput(const std::string &service, const Placing &placing, PlacerOutput out)
{
    for (const PlacementNote &note : out.notes) {
        m_gateway.metrics.count("move", note.reason);
        m_gateway.log.write("placement", note.event,
                            {{"service", service},
                             {"keys", keysJson(note.keys)},
                             {"from", note.from},
                             {"to", note.to},
                             {"fence", note.fence},
                             {"directory", m_gateway.directory.version()},
                             {"reason", note.reason},
                             {"uncertainMs", milliseconds(note.uncertain)}});
    }
    for (ShardOrder &order : out.orders)
        asio::co_spawn(m_gateway.loop, executeOrder(service, placing.id, std::move(order)),
                       asio::detached);
    if (out.write)
        asio::co_spawn(m_gateway.loop, store(service, placing.id, std::move(*out.write)),
                       asio::detached);
}

asio::awaitable<void> Control::store(std::string service, std::uint64_t id, ShardMap map)
{
    const std::string text = encodeShardMap(map);
    while (placing()) {
        Placing *placing = findPlacing(service, id);
        if (placing == nullptr)
            co_return;
        const std::uint64_t era = m_era.value_or(0);
        const TimePoint sentAt = m_gateway.now();
        const WriteResult written =
            co_await m_gateway.store.put(ObjectKind::ShardMaps, service, text, placing->revision);
        if (!storedInEra(written, era)) {
            co_await pause(storePause);
            continue;
        }
        if (written.end == WriteEnd::Stored)
            m_gateway.evidence.observed(written.object.revision, sentAt);
        placing = findPlacing(service, id);
        if (placing == nullptr)
            co_return;
        bool stored = written.end == WriteEnd::Stored;
        if (written.end == WriteEnd::Conflict) {
            const Result<ShardMap> current = decodeShardMap(written.object.text);
            stored = current && current->placer == map.placer && current->write == map.write;
            if (!stored) {
                stepDown("another instance wrote the shard map");
                co_return;
            }
        }
        if (stored) {
            placing->revision = written.object.revision;
            placing->placer->writeDone(m_gateway.now());
            const auto known = m_gateway.shardMaps.find(service);
            const ShardMap before =
                known == m_gateway.shardMaps.end() ? ShardMap{} : known->second.map;
            ShardDelta delta = shardDelta(before, map, written.object.revision);
            addNewTargets(delta, m_gateway.directory, m_gateway.now());
            m_peers.sendToPeers(delta);
            m_gateway.apply(map, written.object.revision);
            proceed(service, *placing);
            co_return;
        }
        co_await pause(storePause);
    }
}

asio::awaitable<void> Control::executeOrder(std::string service, std::uint64_t id, ShardOrder order)
{
    const Target *target = m_gateway.directory.find(order.holder.target);
    OrderOutcome outcome = OrderOutcome::NotSent;
    std::string handover;
    Duration connectionAge{};
    std::uint32_t earlierAnswers = 0;
    const TimePoint sentAt = m_gateway.now();
    if (target != nullptr && placing() && sentAt < order.sendBefore) {
        const std::shared_ptr<LiveTarget> live = m_gateway.liveTarget(*target);
        CallOptions options;
        options.connectTimeout = order.sendBefore - sentAt;
        options.timeout = order.answerTimeout;
        options.bodyLimit = orderBodyLimit;
        options.maySend = [this, sendBefore = order.sendBefore] {
            return placing() && m_gateway.now() < sendBefore;
        };
        options.onResponse = [this, live](const HttpResponse &response) {
            m_gateway.learn(*live, m_gateway.protocol.readAnswer(response), AnswerSource::Order);
        };
        if (order.kind == OrderKind::Release) {
            // Answers to orders carry no id. A second copy of an earlier one on a kept connection
            // would pass for the answer to the release, and the keys would move while the target is
            // at work on them.
            options.freshConnection = true;
            options.belongs = [this](const HttpResponse &response) {
                return response.result() != http::status::ok
                    || !m_gateway.protocol.handover(response).empty();
            };
        }
        const CallResult result =
            co_await live->orders->call(m_gateway.protocol.order(order), std::move(options));
        outcome = outcomeOf(result);
        connectionAge = result.connectionAge;
        earlierAnswers = result.earlierResponses;
        if (outcome == OrderOutcome::Done && order.kind == OrderKind::Release)
            handover = m_gateway.protocol.handover(result.response);
    }
    m_gateway.metrics.count(toString(order.kind), toString(outcome));
    const bool noteworthy = order.kind == OrderKind::Release || outcome != OrderOutcome::Done
        || !order.handover.empty();
    if (noteworthy) {
        const Target *listed = m_gateway.directory.find(order.holder.target);
        m_gateway.log.write("placement", toString(order.kind),
                            {{"service", service},
                             {"keys", keysJson(order.keys)},
                             {"target", order.holder.target},
                             {"incarnation", order.holder.incarnation},
                             {"listedIncarnation", listed ? listed->entry.incarnation : 0},
                             {"fence", order.holder.fence},
                             {"connectionMs", milliseconds(connectionAge)},
                             {"earlierAnswers", earlierAnswers},
                             {"tookMs", milliseconds(m_gateway.now() - sentAt)},
                             {"outcome", toString(outcome)}});
    }
    Placing *const placing = findPlacing(service, id);
    if (placing == nullptr)
        co_return;
    placing->placer->orderDone(order.id, outcome, handover, m_gateway.now());
    if (noteworthy)
        proceed(service, *placing);
}

} // namespace yuccaspan::gateway

#include "gateway/gateway.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>
#include <utility>

namespace yuccaspan::gateway {

namespace {

/// Idle timeout of connections for requests; targets close idle ones after 10 s or less.
constexpr Duration requestIdleTimeout = std::chrono::seconds(5);
/// Idle timeout of connections for orders, which are used at each renewal.
constexpr Duration orderIdleTimeout = std::chrono::seconds(4);
/// Factor on a cold target's rate; the product is what all instances together use.
constexpr double coldRateFactor = 1.1;
/// Window in which the platform's rules count the requests to a target that named a rate.
constexpr Duration namedRateWindow = std::chrono::seconds(4);
/// Factor on what the rate allows in a window, and further requests: the most that may be sent.
constexpr double namedRateFactor = 1.5;
constexpr double namedRateSlack = 5;
/// Answers of several connections may overtake each other, so a named rate ends only this long
/// after the last answer that had it.
constexpr Duration signalOverlap = std::chrono::milliseconds(500);
/// Fraction of a target's connection limit that all instances together keep idle; the rest is for
/// connections in use.
constexpr double idleConnectionFraction = 0.7;
/// Fraction of the tolerance of an allowance that adds to its burst, since the burst of a few
/// requests of an instance is soon used up. The rest is for instances that join.
constexpr double usedToleranceFraction = 0.7;

} // namespace

Gateway::Gateway(asio::io_context &loopIn, const Clock &clockIn, EventLog &logIn,
                 TargetProtocol &protocolIn, MetadataStore &storeIn, PlatformCodec &codecIn,
                 GatewayOptions optionsIn)
    : loop(loopIn),
      clock(clockIn),
      log(logIn),
      protocol(protocolIn),
      store(storeIn),
      codec(codecIn),
      options(std::move(optionsIn)),
      roomOrder(RoomOrder::of(options.waitingOrder)),
      bodies(MessageMemory::create(options.bodyMemory)),
      keyFreshness(options.revokeWithin),
      allowances({options.name, std::random_device{}()}, clock.now())
{ }

TimePoint Gateway::provenSendLimit() const
{
    if (storeAway)
        return TimePoint::max();
    return std::min(evidence.provenAt(ObjectKind::Targets) + options.drainWithin,
                    evidence.provenAt(ObjectKind::Evacuations) + options.evacuateWithin)
        - sendStopMargin;
}

std::shared_ptr<LiveTarget> Gateway::liveTarget(const Target &target)
{
    std::shared_ptr<LiveTarget> &known = live[target.entry.id];
    const bool same = known != nullptr && known->entry.incarnation == target.entry.incarnation
        && known->entry.address == target.entry.address;
    if (!same) {
        if (known != nullptr)
            known->lane.wakeAll();
        known = std::make_shared<LiveTarget>();
        known->entry = target.entry;
        known->requests = ClientPool::create(loop, target.entry.address,
                                             {.idleLimit = requestIdleTimeout, .memory = bodies});
        known->orders = ClientPool::create(loop, target.entry.address,
                                           {.idleLimit = orderIdleTimeout, .memory = bodies});
        known->signals.leaving = target.saidLeavingSince.has_value();
        if (known->signals.leaving)
            known->gate.setLeaving();
        configure(*known);
    }
    return known;
}

void Gateway::configure(LiveTarget &target)
{
    target.gate.configure(target.entry.slots, share);
    applyNamedRate(target);
    const Service *service = desired ? desired->findService(target.entry.service) : nullptr;
    if (service == nullptr)
        return;
    RateLimit cold;
    cold.perSecond = service->coldRate * coldRateFactor;
    cold.allowed = service->coldRate * options.coldFactor + options.coldSlack;
    target.gate.setColdLimit(cold, service->warmup, target.entry.id);
    if (service->maxConnections != 0) {
        const double part = service->maxConnections * idleConnectionFraction / share.instances;
        target.requests->setMaxIdle(std::max<std::size_t>(1, static_cast<std::size_t>(part)));
    }
}

LiveService &Gateway::liveService(const std::string &name)
{
    auto [found, isNew] = services.try_emplace(name);
    if (isNew) {
        found->second.budget.configure(options.repeatRatio, options.repeatSlack, share.instances);
        const Service *service = desired ? desired->findService(name) : nullptr;
        if (service != nullptr && service->keyed)
            found->second.load = std::make_shared<KeyLoad>();
    }
    return found->second;
}

void Gateway::learn(LiveTarget &target, const AnswerFacts &facts, AnswerSource source)
{
    // Another target may have got the address.
    if (!facts.target.empty() && facts.target != target.entry.id)
        return;
    if (facts.signals.unreadable) {
        metrics.count("target-says", "unreadable");
        if (!std::exchange(target.unreadableLogged, true))
            log.write("membership", "target-unreadable", {{"target", target.entry.id}});
    }
    if (facts.signals.leaving && !target.signals.leaving)
        learnLeaving(target, source);
    if (facts.signals.pause)
        learnPause(target, *facts.signals.pause, source);
    const std::optional<double> named = facts.signals.maxPerSecond;
    if (named)
        target.namedAt = now();
    // Only answers to requests are known to repeat the rate for as long as it holds.
    const bool ends = !named && !facts.signals.unreadable && source == AnswerSource::Request
        && now() - target.namedAt >= signalOverlap;
    if (named == target.signals.maxPerSecond || !(named || ends))
        return;
    target.signals.maxPerSecond = named;
    applyNamedRate(target);
    target.lane.wakeAll();
    liveService(target.entry.service).lane.wakeAll();
    const double none = -1;
    log.write("membership", "target-says",
              {{"target", target.entry.id},
               {"incarnation", target.entry.incarnation},
               {"maxPerSecond", named.value_or(none)},
               {"source", toString(source)}});
}

void Gateway::learnLeaving(LiveTarget &target, AnswerSource source)
{
    target.signals.leaving = true;
    target.gate.setLeaving();
    directory.saidLeaving(target.entry.id, target.entry.incarnation, now());
    target.lane.wakeAll();
    log.write("membership", "target-says",
              {{"target", target.entry.id},
               {"incarnation", target.entry.incarnation},
               {"leaving", true},
               {"source", toString(source)}});
}

void Gateway::learnPause(LiveTarget &target, Duration pause, AnswerSource source)
{
    target.gate.pauseUntil(now() + pause);
    target.lane.wakeAll();
    log.write("membership", "target-says",
              {{"target", target.entry.id},
               {"incarnation", target.entry.incarnation},
               {"pauseMs", std::chrono::duration<double, std::milli>(pause).count()},
               {"source", toString(source)}});
}

void Gateway::applyNamedRate(LiveTarget &target) const
{
    std::optional<RateLimit> limit;
    if (const std::optional<double> named = target.signals.maxPerSecond) {
        const double window = std::chrono::duration<double>(namedRateWindow).count();
        limit =
            RateLimit{*named, *named * window * namedRateFactor + namedRateSlack, namedRateWindow};
    }
    target.gate.setNamedLimit(limit, target.entry.id);
}

double Gateway::averageSeconds(const std::string &route, double otherwise) const
{
    const auto found = averageRouteSeconds.find(route);
    return found == averageRouteSeconds.end() ? otherwise : found->second;
}

double Gateway::inFlight(std::string_view service) const
{
    double sum = 0;
    for (const auto &[id, target] : live) {
        if (target->entry.service == service)
            sum += target->gate.inFlight();
    }
    return sum;
}

void Gateway::apply(std::shared_ptr<const DesiredState> state)
{
    desired = std::move(state);
    routes = RouteIndex(*desired);
    keys = KeyTable::create(*desired, keySeed);
    configureAllowances();
    for (auto &[name, service] : services) {
        const Service *known = desired->findService(name);
        if (known != nullptr && known->keyed && service.load == nullptr)
            service.load = std::make_shared<KeyLoad>();
    }
    for (auto &[id, target] : live)
        configure(*target);
    wakeAll();
}

void Gateway::apply(ShardMap map, StoreRevision revision)
{
    KnownShardMap &known = shardMaps[map.service];
    if (revision <= known.revision)
        return;
    // A store that came back from a copy has an older record under a later revision.
    if (revision.era != known.revision.era && isOlder(map, known.map))
        return;
    known.revision = revision;
    std::map<std::uint32_t, TimePoint> moving;
    for (const ShardRange &range : map.ranges) {
        if (!range.next || range.refencing())
            continue;
        const auto before = known.movingSince.find(range.keys.first);
        moving.emplace(range.keys.first,
                       before == known.movingSince.end() ? now() : before->second);
    }
    known.movingSince = std::move(moving);
    known.map = std::move(map);
    wakeAll();
}

void Gateway::setInstances(const std::vector<std::string> &names)
{
    std::set<std::string_view> known(names.begin(), names.end());
    known.insert(options.name);
    instancesKnown = true;
    share.instances = static_cast<std::uint32_t>(known.size());
    share.rank = static_cast<std::uint32_t>(std::distance(known.begin(), known.find(options.name)));
    allowances.setInstances(names, now());
    for (auto &[name, service] : services)
        service.budget.configure(options.repeatRatio, options.repeatSlack, share.instances);
    for (auto &[id, target] : live)
        configure(*target);
}

void Gateway::configureAllowances()
{
    if (!desired)
        return;
    const double window = std::chrono::duration<double>(options.allowanceWindow).count();
    std::map<std::string, AllowanceLimit, std::less<>> limits;
    for (const Workspace &workspace : desired->workspaces) {
        const double most = workspace.perSecond * window + workspace.burst;
        const double tolerated = most * options.allowanceOverrun + options.allowanceSlack;
        limits[workspace.name] = {workspace.perSecond,
                                  workspace.burst + usedToleranceFraction * tolerated};
    }
    allowances.setLimits(limits, now());
}

void Gateway::wakeAll()
{
    const DutyTimer timer(*this, Duty::Wake);
    for (auto &[name, service] : services)
        service.lane.wakeAll();
    for (auto &[id, target] : live)
        target->lane.wakeAll();
}

void Gateway::forgetTargets()
{
    std::erase_if(live, [this](const auto &item) {
        return directory.find(item.first) == nullptr && item.second->lane.empty()
            && item.second->gate.inFlight() == 0;
    });
}

} // namespace yuccaspan::gateway

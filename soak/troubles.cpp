#include "troubles.hpp"

#include "event_loop_context.hpp"
#include "gateway/http_types.hpp"

#include <boost/asio/steady_timer.hpp>

#include <csignal>

namespace yuccaspan::soak {

namespace {

using gateway::asTuple;
using platform_standins::StoreFaults;
using platform_standins::StoreOutage;
using platform_standins::TargetFaults;
namespace asio = gateway::asio;
using std::chrono::milliseconds;

/// From SIGTERM to the end of a process, at most (grace of the platform); SIGKILL follows.
constexpr Duration grace = std::chrono::seconds(6);
constexpr Duration endLook = milliseconds(50);
/// An entry lapses after three heartbeats of silence.
constexpr Duration lapseAfter = milliseconds(2600);
/// A target that drains serves on for the bound of drains and a little longer.
constexpr Duration drainFor = milliseconds(2600);

} // namespace

const std::array<Troubles::Kind, 20> Troubles::kinds{{
    {"stop", &Troubles::stopInstance, true},
    {"reload", &Troubles::reloadInstance, true},
    {"drain", &Troubles::drainTarget, true},
    {"evacuate", &Troubles::evacuateZone, true},
    {"settings", &Troubles::changeSettings, true},
    {"silent-watches", &Troubles::silenceWatches, true},
    {"kill", &Troubles::killInstance, false},
    {"freeze", &Troubles::freezeInstance, false},
    {"kill-placer", &Troubles::killPlacerAfterChange, false},
    {"store-outage", &Troubles::storeOutage, false},
    {"store-slow", &Troubles::storeSlow, false},
    {"store-loses-answers", &Troubles::storeLosesAnswers, false},
    {"store-forgets", &Troubles::storeForgets, false},
    {"store-cut", &Troubles::cutFromStore, false},
    {"target-crash", &Troubles::crashTarget, false},
    {"target-cut", &Troubles::cutTarget, false},
    {"target-lapse", &Troubles::lapseTarget, false},
    {"target-slow", &Troubles::slowTarget, false},
    {"answers", &Troubles::damageAnswers, false},
    {"late-grants", &Troubles::lateGrants, false},
}};

Troubles::Troubles(Deployment &deployment, std::function<void(const std::string &)> note)
    : m_deployment(deployment), m_note(std::move(note))
{ }

Duration Troubles::between(int leastMs, int mostMs)
{
    return milliseconds(std::uniform_int_distribution<int>(leastMs, mostMs)(m_deployment.random()));
}

asio::awaitable<void> Troubles::pause(Duration span)
{
    asio::steady_timer timer(m_deployment.loop().context().io, span);
    co_await timer.async_wait(asTuple);
}

asio::awaitable<void> Troubles::strike(TimePoint until, bool plannedOnly)
{
    ++m_underWay;
    co_await pause(between(0, 400));
    while (m_deployment.loop().now() < until) {
        std::size_t count = kinds.size();
        if (plannedOnly)
            count = static_cast<std::size_t>(std::ranges::count_if(kinds, &Kind::planned));
        const Kind &kind = kinds[m_deployment.random()() % count];
        if (!kind.planned)
            m_deployment.ledger().troubleBegins();
        co_await (this->*kind.action)();
        if (!kind.planned)
            m_deployment.ledger().troubleEnds();
        co_await pause(between(50, 900));
    }
    --m_underWay;
}

asio::awaitable<void> Troubles::speak(TimePoint until)
{
    ++m_underWay;
    while (m_deployment.loop().now() < until) {
        co_await targetSpeaks();
        co_await pause(between(50, 900));
    }
    --m_underWay;
}

asio::awaitable<void> Troubles::settle()
{
    while (m_underWay > 0)
        co_await pause(endLook);
}

Instance *Troubles::takeInstance(const std::string &name)
{
    std::vector<Instance *> free;
    for (Instance &instance : m_deployment.instances()) {
        const bool wanted = name.empty() || instance.name == name;
        if (wanted && !instance.busy && instance.process)
            free.push_back(&instance);
    }
    if (free.empty())
        return nullptr;
    Instance *chosen = free[m_deployment.random()() % free.size()];
    chosen->busy = true;
    return chosen;
}

TargetPlace *Troubles::takeTarget()
{
    std::vector<TargetPlace *> free;
    for (TargetPlace &place : m_deployment.targets()) {
        if (!place.busy && place.target)
            free.push_back(&place);
    }
    if (free.empty())
        return nullptr;
    TargetPlace *chosen = free[m_deployment.random()() % free.size()];
    chosen->busy = true;
    return chosen;
}

/// Kills the process where it still runs, and starts it again after a while.
asio::awaitable<void> Troubles::endInstance(Instance &instance, Duration down)
{
    instance.process.reset();
    m_deployment.ledger().stopping(instance.name, false);
    m_deployment.ledger().disturbed(instance.name);
    co_await pause(down);
    if (Status status = m_deployment.startInstance(instance); !status)
        m_deployment.ledger().broken("START", status.error().text);
    instance.busy = false;
}

asio::awaitable<void> Troubles::killInstance()
{
    Instance *instance = takeInstance();
    if (instance == nullptr)
        co_return;
    note("kill " + instance->name);
    co_await endInstance(*instance, between(200, 2000));
}

asio::awaitable<void> Troubles::stopInstance()
{
    Instance *instance = takeInstance();
    if (instance == nullptr)
        co_return;
    note("stop " + instance->name);
    m_deployment.ledger().stopping(instance->name, true);
    instance->process->signal(SIGTERM);
    const TimePoint end = m_deployment.loop().now() + grace;
    std::optional<int> code;
    while (!code && m_deployment.loop().now() < end) {
        co_await pause(endLook);
        code = instance->process->wait(Duration(0));
    }
    if (!code)
        m_deployment.ledger().broken("STOP", instance->name + " runs on after its grace");
    else if (*code != 0)
        m_deployment.ledger().broken("STOP",
                                     instance->name + " ended with code " + std::to_string(*code));
    co_await endInstance(*instance, between(100, 1000));
}

asio::awaitable<void> Troubles::freezeInstance()
{
    Instance *instance =
        takeInstance(m_deployment.random()() % 2 == 0 ? m_deployment.placer() : std::string());
    if (instance == nullptr)
        co_return;
    note("freeze " + instance->name);
    instance->process->signal(SIGSTOP);
    co_await pause(between(300, 5000));
    instance->process->signal(SIGCONT);
    m_deployment.ledger().thawed();
    m_deployment.ledger().disturbed(instance->name);
    note("thaw " + instance->name);
    instance->busy = false;
}

asio::awaitable<void> Troubles::reloadInstance()
{
    Instance *instance = takeInstance();
    if (instance == nullptr)
        co_return;
    note("reload " + instance->name);
    instance->process->signal(SIGHUP);
    instance->busy = false;
}

asio::awaitable<void> Troubles::killPlacerAfterChange()
{
    Instance *instance = takeInstance(m_deployment.placer());
    if (instance == nullptr)
        co_return;
    note("change, and kill the placer " + instance->name);
    m_deployment.publish(m_deployment.routes());
    co_await pause(between(0, 30));
    co_await endInstance(*instance, between(200, 3000));
}

asio::awaitable<void> Troubles::storeOutage()
{
    if (std::exchange(m_storeFaulty, true))
        co_return;
    StoreFaults faults;
    constexpr std::array<StoreOutage, 3> outages{StoreOutage::Busy, StoreOutage::Silent,
                                                 StoreOutage::Reset};
    faults.outage = outages[m_deployment.random()() % outages.size()];
    note("store is down, way " + std::to_string(static_cast<int>(faults.outage)));
    m_deployment.store().setFaults(faults);
    co_await pause(between(500, 6000));
    m_deployment.store().setFaults({});
    note("store is back");
    m_storeFaulty = false;
}

asio::awaitable<void> Troubles::storeSlow()
{
    if (std::exchange(m_storeFaulty, true))
        co_return;
    note("store is slow");
    StoreFaults faults;
    faults.delay = between(100, 600);
    m_deployment.store().setFaults(faults);
    co_await pause(between(500, 4000));
    m_deployment.store().setFaults({});
    m_storeFaulty = false;
}

asio::awaitable<void> Troubles::storeLosesAnswers()
{
    if (std::exchange(m_storeFaulty, true))
        co_return;
    note("store loses answers");
    StoreFaults faults;
    faults.loseAnswers = true;
    m_deployment.store().setFaults(faults);
    co_await pause(between(500, 3000));
    m_deployment.store().setFaults({});
    m_storeFaulty = false;
}

asio::awaitable<void> Troubles::storeForgets()
{
    note("store forgets its history");
    m_deployment.store().table().forgetHistory();
    m_deployment.store().changed();
    co_return;
}

asio::awaitable<void> Troubles::cutFromStore()
{
    Instance *instance =
        takeInstance(m_deployment.random()() % 2 == 0 ? m_deployment.placer() : std::string());
    if (instance == nullptr)
        co_return;
    ProxyFaults faults;
    const auto way = m_deployment.random()() % 4;
    faults.refuses = way == 3;
    faults.toServer = way == 0 || way == 2 ? Passage::Held : Passage::Open;
    faults.toClient = way == 1 || way == 2 ? Passage::Held : Passage::Open;
    note("cut " + instance->name + " from the store, way " + std::to_string(way));
    if (faults.refuses)
        instance->storeLink->resetAll();
    instance->storeLink->setFaults(faults);
    co_await pause(between(500, 6000));
    instance->storeLink->setFaults({});
    note("heal " + instance->name);
    m_deployment.ledger().thawed();
    instance->busy = false;
}

/// As while the platform's store compacts: for a second watches hear nothing, all other calls are
/// answered. That excuses nothing.
asio::awaitable<void> Troubles::silenceWatches()
{
    Instance *instance =
        takeInstance(m_deployment.random()() % 2 == 0 ? m_deployment.placer() : std::string());
    if (instance == nullptr)
        co_return;
    note("silence the watches of " + instance->name);
    ProxyFaults faults;
    faults.heldRequests = "?watch=";
    instance->storeLink->setFaults(faults);
    co_await pause(between(300, 1200));
    instance->storeLink->setFaults({});
    note("watches of " + instance->name + " hear again");
    instance->busy = false;
}

asio::awaitable<void> Troubles::crashTarget()
{
    TargetPlace *place = takeTarget();
    if (place == nullptr)
        co_return;
    const std::string id = place->traits.id;
    note("crash " + id);
    place->target.reset();
    place->link->resetAll();
    const Duration down = between(300, 5000);
    co_await pause(std::min(down, lapseAfter));
    if (down > lapseAfter) {
        m_deployment.removeEntry(id);
        co_await pause(down - lapseAfter);
    }
    const bool newId = m_deployment.random()() % 2 == 0;
    if (Status status = m_deployment.startTarget(*place, newId); !status)
        m_deployment.ledger().broken("START", status.error().text);
    if (newId)
        m_deployment.removeEntry(id);
    note("back as " + place->traits.id);
    place->busy = false;
}

asio::awaitable<void> Troubles::cutTarget()
{
    TargetPlace *place = takeTarget();
    if (place == nullptr)
        co_return;
    ProxyFaults faults;
    const auto way = m_deployment.random()() % 4;
    faults.toServer = way == 0 || way == 2 ? Passage::Held : Passage::Open;
    faults.toClient = way == 1 || way == 2 ? Passage::Held : Passage::Open;
    if (way == 3)
        faults.delay = between(20, 300);
    note("cut " + place->traits.id + ", way " + std::to_string(way));
    place->link->setFaults(faults);
    co_await pause(between(500, 8000));
    place->link->setFaults({});
    note("heal " + place->traits.id);
    m_deployment.ledger().thawed();
    place->busy = false;
}

asio::awaitable<void> Troubles::lapseTarget()
{
    TargetPlace *place = takeTarget();
    if (place == nullptr)
        co_return;
    note("entry of " + place->traits.id + " lapses, it serves on");
    m_deployment.removeEntry(place->traits.id);
    co_await pause(between(500, 6000));
    m_deployment.registerTarget(*place, false);
    place->busy = false;
}

asio::awaitable<void> Troubles::slowTarget()
{
    TargetPlace *place = takeTarget();
    if (place == nullptr)
        co_return;
    note("slow " + place->traits.id);
    TargetFaults faults;
    faults.slowness = std::uniform_real_distribution<double>(2, 15)(m_deployment.random());
    place->target->setFaults(faults);
    co_await pause(between(1000, 5000));
    place->target->setFaults({});
    place->busy = false;
}

asio::awaitable<void> Troubles::damageAnswers()
{
    TargetPlace *place = takeTarget();
    if (place == nullptr)
        co_return;
    TargetFaults faults;
    constexpr double share = 0.3;
    constexpr std::array<double TargetFaults::*, 4> damages{
        &TargetFaults::lost, &TargetFaults::truncated, &TargetFaults::garbled,
        &TargetFaults::repeated};
    const auto kind = m_deployment.random()() % (damages.size() + 1);
    if (kind < damages.size())
        faults.*damages[kind] = share;
    faults.fails = kind == damages.size();
    faults.liesHealthy = true;
    note("answers of " + place->traits.id + " are damaged, way " + std::to_string(kind));
    place->target->setFaults(faults);
    co_await pause(between(1000, 5000));
    place->target->setFaults({});
    place->busy = false;
}

asio::awaitable<void> Troubles::lateGrants()
{
    TargetPlace *place = takeTarget();
    if (place == nullptr)
        co_return;
    note("grants to " + place->traits.id + " are carried out late");
    TargetFaults faults;
    faults.lateGrants = 0.4;
    place->target->setFaults(faults);
    co_await pause(between(1000, 5000));
    place->target->setFaults({});
    place->busy = false;
}

/// Ends a target that has left; another incarnation starts later.
asio::awaitable<void> Troubles::replaceTarget(TargetPlace &place)
{
    m_deployment.removeEntry(place.traits.id);
    place.target.reset();
    co_await pause(between(200, 2000));
    if (Status status = m_deployment.startTarget(place, true); !status)
        m_deployment.ledger().broken("START", status.error().text);
}

/// A target says in its answers that it leaves, asks for pauses or names a rate, alone or together.
/// Its entry says nothing of that. One that leaves ends, and another incarnation starts.
asio::awaitable<void> Troubles::targetSpeaks()
{
    TargetPlace *place = takeTarget();
    if (place == nullptr)
        co_return;
    auto &random = m_deployment.random();
    TargetFaults faults;
    faults.says.leaving = random() % 2 == 0;
    constexpr double lowestRate = 1;
    constexpr double highestRate = 10;
    if (random() % 2 == 0)
        faults.says.maxPerSecond =
            std::uniform_real_distribution<double>(lowestRate, highestRate)(random);
    if (random() % 3 == 0 || (!faults.says.leaving && !faults.says.maxPerSecond))
        faults.says.pause = between(1000, 4000);
    const std::string id = place->traits.id;
    note("signals of " + id);
    place->target->setFaults(faults);
    co_await pause(between(3000, 8000));
    m_deployment.ledger().targetSaysElse(id);
    place->target->setFaults({});
    if (faults.says.leaving)
        co_await replaceTarget(*place);
    place->busy = false;
}

asio::awaitable<void> Troubles::drainTarget()
{
    TargetPlace *place = takeTarget();
    if (place == nullptr)
        co_return;
    const std::string id = place->traits.id;
    note("drain " + id);
    m_deployment.registerTarget(*place, true);
    place->target->setDraining(true);
    co_await pause(drainFor);
    co_await replaceTarget(*place);
    place->busy = false;
}

asio::awaitable<void> Troubles::evacuateZone()
{
    if (std::exchange(m_zoneOut, true))
        co_return;
    const auto &zones = m_deployment.zones();
    const std::string zone = zones[m_deployment.random()() % zones.size()];
    note("zone " + zone + " out");
    m_deployment.store().table().put("evacuations", zone, platform_standins::Json::object());
    m_deployment.store().changed();
    m_deployment.ledger().zoneOut(zone);
    co_await pause(between(3000, 7000));
    m_deployment.ledger().zoneIn(zone);
    m_deployment.store().table().remove("evacuations", zone, std::nullopt);
    m_deployment.store().changed();
    note("zone " + zone + " in");
    m_zoneOut = false;
}

asio::awaitable<void> Troubles::changeSettings()
{
    std::vector<RoutePlan> routes = m_deployment.routes();
    RoutePlan &order = routes.back();
    const bool away = order.service == Deployment::anyService;
    order.service = away ? Deployment::spareService : Deployment::anyService;
    note("orders go to " + order.service);
    m_deployment.publish(std::move(routes));
    co_return;
}

asio::awaitable<void> Troubles::killAll()
{
    note("change, and kill all instances");
    m_deployment.ledger().troubleBegins();
    m_deployment.publish(m_deployment.routes());
    for (Instance &instance : m_deployment.instances()) {
        m_deployment.ledger().stopping(instance.name, false);
        instance.process.reset();
        m_deployment.ledger().disturbed(instance.name);
    }
    co_await pause(between(200, 1500));
    for (Instance &instance : m_deployment.instances()) {
        if (Status status = m_deployment.startInstance(instance); !status)
            m_deployment.ledger().broken("START", status.error().text);
    }
    m_deployment.ledger().troubleEnds();
}

} // namespace yuccaspan::soak

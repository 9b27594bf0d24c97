#include "deployment.hpp"

#include <csignal>
#include <cstdio>
#include <fstream>

#include <unistd.h>

namespace yuccaspan::soak {

namespace {

using platform_standins::Json;
using platform_standins::StoreStandin;
using platform_standins::TargetStandin;
using platform_standins::TargetTraits;

constexpr const char *host = "soak.example";
constexpr std::uint32_t anySlots = 6;
constexpr std::uint32_t keyedSlots = 4;

Json routeJson(const RoutePlan &route)
{
    return {{"name", route.name},
            {"host", host},
            {"path_prefix", route.prefix},
            {"route_type", route.idempotent ? "idempotent" : "non_idempotent"},
            {"timeout_s", route.timeoutS},
            {"target_latency_s", route.timeoutS / 2},
            {"priority", route.priority},
            {"service", route.service},
            {"max_attempts", 2}};
}

Json serviceJson(const char *name, bool keyed)
{
    return {{"name", name},    {"health_path", "/health"}, {"max_connections", 100},
            {"warmup_s", 0.5}, {"warmup_per_s", 50.0},     {"sharded", keyed},
            {"warm_s", 0.5},   {"protocol", "h1"},         {"tls", false}};
}

} // namespace

Deployment::Deployment(standins::EventLoop &loop, Ledger &ledger, DeploymentOptions options)
    : m_loop(loop), m_ledger(ledger), m_options(std::move(options)), m_random(m_options.seed)
{ }

Deployment::~Deployment() = default;

Result<std::unique_ptr<Deployment>> Deployment::start(standins::EventLoop &loop, Ledger &ledger,
                                                      DeploymentOptions options)
{
    std::unique_ptr<Deployment> deployment(new Deployment(loop, ledger, std::move(options)));
    if (Status status = deployment->startParts(); !status)
        return status.error();
    return deployment;
}

void Deployment::addTargets(const char *service, std::uint32_t count, bool keyed)
{
    for (std::uint32_t index = 0; index < count; ++index) {
        TargetPlace place;
        place.traits.id = std::string(service) + '-' + std::to_string(index);
        place.traits.service = service;
        place.traits.zone = m_zones[index % m_zones.size()];
        place.traits.keyed = keyed;
        place.traits.slots = keyed ? keyedSlots : anySlots;
        place.traits.resetsWhenFull = index % 2 == 1;
        m_targets.push_back(std::move(place));
    }
}

Status Deployment::startParts()
{
    auto store = StoreStandin::create(m_loop);
    if (!store)
        return store.error();
    m_store = std::move(*store);
    publish({{"lookup", "/lookup/", true, 1.0, 2, keyedService},
             {"claim", "/claim/", false, 1.2, 1, keyedService},
             {"order", "/order/", false, 1.0, 0, anyService}});
    addTargets(keyedService, m_options.keyedTargets, true);
    addTargets(anyService, m_options.anyTargets, false);
    addTargets(spareService, 2, false);
    for (TargetPlace &place : m_targets) {
        auto link = FaultProxy::create(m_loop, "127.0.0.1:1");
        if (!link)
            return link.error();
        place.link = std::move(*link);
        if (Status status = startTarget(place, false); !status)
            return status;
    }
    for (std::uint32_t index = 0; index < m_options.instances; ++index) {
        Instance instance;
        instance.name = "gateway-" + std::to_string(index);
        instance.zone = m_zones[index % m_zones.size()];
        // Loopback addresses of this process alone, so that ports may be fixed.
        constexpr int octet = 250;
        const auto pid = static_cast<int>(::getpid());
        instance.ip = "127." + std::to_string(1 + pid / octet % octet) + '.'
            + std::to_string(1 + pid % octet) + '.' + std::to_string(index + 1);
        auto link = FaultProxy::create(m_loop, m_store->address());
        if (!link)
            return link.error();
        instance.storeLink = std::move(*link);
        m_instances.push_back(std::move(instance));
    }
    for (Instance &instance : m_instances) {
        if (Status status = startInstance(instance); !status)
            return status;
    }
    return ok();
}

std::string Deployment::writeSettings(const Instance &instance) const
{
    std::string path = m_options.folder + '/' + instance.name + ".json";
    std::ofstream(path) << Json{
        {"name", instance.name},
        {"zone", instance.zone},
        {"callers", instance.callers()},
        {"readiness", instance.readiness()},
        {"peers", instance.peers()},
        {"store", instance.storeLink->address()},
        {"repeatRatio", Bounds{}.repeatRatio},
        {"repeatSlack",
         Bounds{}.repeatSlack}}.dump();
    return path;
}

Status Deployment::startInstance(Instance &instance)
{
    const std::string log =
        m_options.folder + '/' + instance.name + '.' + std::to_string(++instance.starts) + ".log";
    auto process =
        standins::Process::start({m_options.program, "--settings", writeSettings(instance)}, log);
    if (!process)
        return process.error();
    instance.process = std::move(*process);
    return ok();
}

Status Deployment::startTarget(TargetPlace &place, bool newId)
{
    place.traits.incarnation = ++m_nextIncarnation;
    if (newId)
        place.traits.id += "n";
    auto target = TargetStandin::create(m_loop, place.traits, m_ledger, m_random());
    if (!target)
        return target.error();
    place.target = std::move(*target);
    place.link->setServer(place.target->address());
    registerTarget(place, false);
    return ok();
}

void Deployment::registerTarget(const TargetPlace &place, bool draining)
{
    const TargetTraits &traits = place.traits;
    const Json info{{"service", traits.service},
                    {"version", "v1"},
                    {"zone", traits.zone},
                    {"max_concurrency", traits.slots}};
    const Json status{
        {"state", draining ? "draining" : "ready"}, {"sequence", 1}, {"warmup_left_s", 0}};
    m_store->table().put("servers", traits.id,
                         {{"address", place.link->address()},
                          {"born", traits.incarnation},
                          {"info", info},
                          {"status", status}});
    m_store->changed();
    if (draining)
        m_ledger.targetDrains(traits.id);
}

void Deployment::removeEntry(const std::string &id)
{
    m_store->table().remove("servers", id, std::nullopt);
    m_store->changed();
}

void Deployment::publish(std::vector<RoutePlan> routes)
{
    Json routeList = Json::array();
    for (const RoutePlan &route : routes)
        routeList.push_back(routeJson(route));
    char version[9];
    std::snprintf(version, sizeof version, "%08x", ++m_version);
    m_store->table().put(
        "config", "main",
        {{"version", version},
         {"routes", std::move(routeList)},
         {"services",
          Json::array({serviceJson(keyedService, true), serviceJson(anyService, false),
                       serviceJson(spareService, false)})},
         {"limits", Json::object()}});
    m_store->changed();
    for (const RoutePlan &route : routes)
        m_ledger.routeChanged({route.prefix, {route.service}, m_loop.now()});
    m_routes = std::move(routes);
}

std::string Deployment::placer()
{
    const auto answer = m_store->table().get("yuccaspan-leases", "placer");
    if (answer.body.is_null() || !answer.body.contains("spec"))
        return {};
    const Json lease = Json::parse(answer.body.at("spec").get<std::string>(), nullptr, false);
    return lease.is_object() ? lease.value("holder", std::string()) : std::string();
}

} // namespace yuccaspan::soak

#include "cluster.hpp"

#include "http_fetch.hpp"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace yuccaspan::standins {

namespace {

using Json = nlohmann::json;

/// Long enough for the busiest machine; nothing depends on how much of it is used.
constexpr std::chrono::seconds startTimeout{60};
constexpr std::chrono::seconds stopTimeout{20};
/// Keys of each service that must be served before a cluster counts as started.
constexpr int probeKeys = 40;

std::string program(const std::string &name)
{
    return programFolder() + '/' + name;
}

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::uint16_t portOf(const std::string &address)
{
    return static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
}

Json lookupRule()
{
    return {{"kind", "lookup"},
            {"method", "GET"},
            {"path", "/lookups"},
            {"repeatable", true},
            {"worth", 1},
            {"deadlineMs", 1000},
            {"keySource", "path-segment"},
            {"keySegment", 1}};
}

Json orderRule()
{
    return {{"kind", "order"},
            {"method", "POST"},
            {"path", "/orders"},
            {"repeatable", false},
            {"worth", 10},
            {"deadlineMs", 1000},
            {"keySource", "path-segment"},
            {"keySegment", 1}};
}

std::string makeFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "yuccaspan-XXXXXX").string();
    return mkdtemp(name.data()) ? name : std::string();
}

/// The address in a line "listening [ID] IP:PORT".
std::string addressIn(const std::string &line)
{
    return line.substr(line.rfind(' ') + 1);
}

/// The number that follows a mark in a line; 0 if there is none.
std::uint16_t numberAfter(const std::string &line, const std::string &mark)
{
    const std::size_t at = line.find(mark);
    if (at == std::string::npos)
        return 0;
    return static_cast<std::uint16_t>(std::strtoul(line.c_str() + at + mark.size(), nullptr, 10));
}

} // namespace

Cluster::Cluster(ClusterOptions options)
    : m_options(std::move(options)), m_folder(makeFolder()), m_settings(std::make_unique<Json>())
{ }

Cluster::~Cluster()
{
    // A process that was stopped by a signal ends only once it runs again.
    const auto stop = [](Member &member) {
        if (!member.process)
            return;
        member.process->signal(SIGCONT);
        member.process->signal(SIGTERM);
    };
    const auto await = [](Member &member) {
        if (member.process)
            static_cast<void>(member.process->wait(stopTimeout));
        member.process.reset();
    };
    for (auto *members : {&m_instances, &m_targets}) {
        for (Member &member : *members)
            stop(member);
        for (Member &member : *members)
            await(member);
    }
    stop(m_store);
    await(m_store);
    std::error_code ignored;
    if (!m_folder.empty() && std::getenv("YUCCASPAN_KEEP_FILES") == nullptr)
        std::filesystem::remove_all(m_folder, ignored);
}

Result<std::unique_ptr<Cluster>> Cluster::start(ClusterOptions options)
{
    std::unique_ptr<Cluster> cluster(new Cluster(std::move(options)));
    if (cluster->m_folder.empty())
        return Error{ErrorCode::Unavailable, "cannot make a folder for files", {}};
    if (auto status = cluster->startStore(); !status)
        return status.error();
    if (auto status = cluster->startTargets(); !status)
        return status.error();
    if (auto status = cluster->publish(cluster->makeSettings()); !status)
        return status.error();
    if (auto status = cluster->startInstances(); !status)
        return status.error();
    cluster->writeMix();
    for (const Member &instance : cluster->m_instances) {
        if (!cluster->serves(instance, startTimeout))
            return Error{ErrorCode::Timeout,
                         instance.id + " does not serve: "
                             + readFile(cluster->m_folder + '/' + instance.id + ".out.err"),
                         {}};
    }
    return cluster;
}

Status Cluster::startStore()
{
    auto process =
        Process::start({program("yuccaspan-standin"), "store", "--listen", "127.0.0.1:0"},
                       m_folder + "/store.out");
    if (!process)
        return process.error();
    m_store.process = std::move(*process);
    const auto lines = m_store.process->lines(1, startTimeout);
    if (!lines)
        return lines.error();
    m_store.address = addressIn(lines->front());
    return ok();
}

Status Cluster::startTargets()
{
    for (const ClusterService &service : m_options.services) {
        std::uint32_t index = 0;
        for (const std::string &zone : m_options.zones) {
            for (std::uint32_t inZone = 0; inZone < service.targetsPerZone; ++inZone) {
                if (auto status = startTarget(service, zone, index++); !status)
                    return status;
            }
        }
    }
    return ok();
}

Status Cluster::startTarget(const ClusterService &service, const std::string &zone,
                            std::uint32_t index)
{
    Member target;
    target.id = service.name + '-' + std::to_string(index);
    target.zone = zone;
    target.service = service.name;
    auto process = Process::start({program("yuccaspan-standin"),
                                   "target",
                                   "--listen",
                                   "127.0.0.1:0",
                                   "--id",
                                   target.id,
                                   "--zone",
                                   zone,
                                   "--slots",
                                   std::to_string(service.slots),
                                   "--connections",
                                   std::to_string(service.connections),
                                   "--service-us",
                                   std::to_string(service.serviceUs),
                                   "--checks-grants",
                                   service.checksGrants ? "true" : "false",
                                   "--ledger",
                                   service.keepLedger ? "true" : "false",
                                   "--seed",
                                   std::to_string(index + 1)},
                                  m_folder + '/' + target.id + ".out");
    if (!process)
        return process.error();
    target.process = std::move(*process);
    const auto lines = target.process->lines(1, startTimeout);
    if (!lines)
        return lines.error();
    target.address = addressIn(lines->front());
    m_targets.push_back(std::move(target));
    return ok();
}

Status Cluster::startInstances()
{
    const std::size_t count = m_options.zones.size() * m_options.instancesPerZone;
    for (std::size_t index = 0; index < count; ++index) {
        Member instance;
        instance.id = "entry-" + std::to_string(index);
        instance.zone = m_options.zones[index % m_options.zones.size()];
        instance.address = instance.peers = instance.admin = loopback(0);
        if (auto status = startInstance(instance); !status)
            return status;
        m_instances.push_back(std::move(instance));
    }
    return ok();
}

Status Cluster::startInstance(Member &instance)
{
    const auto listen = [](const std::string &address) {
        return Json{{"address", "127.0.0.1"}, {"port", portOf(address)}};
    };
    Json settings = {
        {"name", instance.id},
        {"zone", instance.zone},
        {"callers", listen(instance.address)},
        {"peers", listen(instance.peers)},
        {"admin", listen(instance.admin)},
        {"store", m_store.address},
        {"log",
         {{"file", m_folder + '/' + instance.id + ".log"}, {"routing", m_options.logDecisions}}}};
    settings["callers"]["workers"] = m_options.callerThreads;
    settings["stop"]["balancerWaitMs"] = m_options.balancerWaitMs;
    const std::string file = m_folder + '/' + instance.id + ".json";
    std::ofstream(file) << settings.dump(2);
    auto process = Process::start({program("yuccaspand"), "--settings", file},
                                  m_folder + '/' + instance.id + ".out");
    if (!process)
        return process.error();
    instance.process = std::move(*process);
    const auto lines = instance.process->lines(1, startTimeout);
    if (!lines)
        return lines.error();
    instance.address = loopback(numberAfter(lines->front(), "callers="));
    instance.peers = loopback(numberAfter(lines->front(), "peers="));
    instance.admin = loopback(numberAfter(lines->front(), "admin="));
    return registerInstance(instance);
}

Status Cluster::registerInstance(const Member &instance) const
{
    const Json row = {{"role", "entry"}, {"zone", instance.zone}, {"address", instance.peers}};
    const auto answer =
        fetch({m_store.address, "PUT", "/control/instances/" + instance.id, row.dump(), {}});
    return answer ? ok() : Status(answer.error());
}

Json Cluster::makeSettings() const
{
    Json zones = Json::object();
    for (const std::string &zone : m_options.zones)
        zones[zone] = {{"region", "r"}};
    Json services = Json::object();
    for (const ClusterService &service : m_options.services) {
        Json targets = Json::object();
        for (const Member &target : m_targets) {
            if (target.service != service.name)
                continue;
            targets[target.id] = {{"zone", target.zone},
                                  {"address", "127.0.0.1"},
                                  {"port", portOf(target.address)},
                                  {"slots", service.slots},
                                  {"connections", service.connections},
                                  {"checksGrants", service.checksGrants}};
        }
        services[service.name] = {
            {"pathPrefix", '/' + service.name},
            {"targets", std::move(targets)},
            {"rules", {{"10-lookup", lookupRule()}, {"20-order", orderRule()}}}};
    }
    return {{"schema", 1}, {"zones", std::move(zones)}, {"services", std::move(services)}};
}

Status Cluster::publish(const Json &settings)
{
    FetchCall call{m_store.address, "PUT", "/v1/objects/settings", settings.dump(), {}};
    if (m_settingsVersion == 0)
        call.headers = {{"If-None-Match", "*"}};
    else
        call.headers = {{"If-Match", '"' + std::to_string(m_settingsVersion) + '"'}};
    const auto answer = fetch(call);
    if (!answer)
        return answer.error();
    const std::string tag = answer->headers.contains("etag") ? answer->headers.at("etag") : "";
    constexpr unsigned statusOk = 200;
    if (answer->status != statusOk || tag.size() < 3)
        return Error{ErrorCode::Conflict, "settings were not accepted: " + answer->body, {}};
    m_settingsVersion = std::stoull(tag.substr(1));
    *m_settings = settings;
    return ok();
}

bool Cluster::inForce(const Member &instance, Duration timeout) const
{
    const auto current = [&] {
        const auto answer = fetch({instance.admin, "GET", "/v1/status", {}, {}});
        const Json status = answer ? Json::parse(answer->body, nullptr, false) : Json::object();
        return status.is_object()
            && status.value("settingsVersion", std::uint64_t{0}) >= m_settingsVersion;
    };
    return waitUntil(current, timeout);
}

Status Cluster::setFaults(const std::string &address, const std::string &faults) const
{
    const auto answer = fetch({address, "PUT", "/control/faults", faults, {}});
    if (!answer)
        return answer.error();
    constexpr unsigned statusOk = 200;
    return answer->status == statusOk
        ? ok()
        : Status(Error{ErrorCode::InvalidArgument, "refused: " + faults, {}});
}

bool Cluster::serves(const Member &instance, Duration timeout) const
{
    const auto served = [&instance](const std::string &service, int key) {
        const std::string path = '/' + service + "/lookups/key-" + std::to_string(key);
        const auto answer = fetch({instance.address, "GET", path, {}, {}});
        return answer && answer->headers.contains("yuccaspan-outcome")
            && answer->headers.at("yuccaspan-outcome") == "done";
    };
    const auto all = [&] {
        for (const ClusterService &service : m_options.services) {
            for (int key = 0; key < probeKeys; ++key) {
                if (!served(service.name, key))
                    return false;
            }
        }
        return true;
    };
    return waitUntil(all, timeout);
}

void Cluster::writeMix() const
{
    Json kinds = Json::array();
    for (const ClusterService &service : m_options.services) {
        kinds.push_back({{"kind", service.name + ".lookup"},
                         {"method", "GET"},
                         {"path", '/' + service.name + "/lookups/{key}"},
                         {"worth", 1},
                         {"share", 2}});
        kinds.push_back({{"kind", service.name + ".order"},
                         {"method", "POST"},
                         {"path", '/' + service.name + "/orders/{key}"},
                         {"worth", 10},
                         {"share", 1},
                         {"bodyBytes", 200}});
    }
    std::ofstream(m_folder + "/mix.json") << Json{{"kinds", kinds}}.dump(2);
}

Result<std::unique_ptr<Process>> Cluster::startLoad(const std::vector<std::string> &arguments) const
{
    std::vector<std::string> all{
        program("yuccaspan-load"), "--mix",    m_folder + "/mix.json",  "--json",
        m_folder + "/load.json",   "--ledger", m_folder + "/ledger.txt"};
    for (const Member &instance : m_instances)
        all.insert(all.end(), {"--url", "http://" + instance.address});
    all.insert(all.end(), arguments.begin(), arguments.end());
    return Process::start(all, m_folder + "/load.out");
}

} // namespace yuccaspan::standins

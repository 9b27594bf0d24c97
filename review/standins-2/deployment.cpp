#include "deployment.hpp"

#include <random>

#include <unistd.h>

namespace yuccaspan::review {

namespace {

using platform_standins::Json;

constexpr const char *serviceName = "stock";
constexpr double warmupSeconds = 3.0;
/// Requests per second at each gateway.
constexpr unsigned callsPerSecond = 15;
constexpr std::chrono::milliseconds callTimeout{1000};

std::vector<std::string> targetNames(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < count; ++index)
        names.push_back("t-" + std::to_string(index));
    return names;
}

Json desiredState(const DeploymentPlan &plan)
{
    const Json route{{"name", "lookup"},
                     {"host", hostName},
                     {"path_prefix", "/lookup/"},
                     {"route_type", plan.idempotent ? "idempotent" : "non_idempotent"},
                     {"timeout_s", 1.0},
                     {"target_latency_s", 0.5},
                     {"priority", 1},
                     {"service", serviceName},
                     {"max_attempts", 2}};
    const Json service{{"name", serviceName},
                       {"health_path", "/health"},
                       {"max_connections", 110},
                       {"warmup_s", warmupSeconds},
                       {"warmup_per_s", 11.0},
                       {"sharded", plan.keyed},
                       {"warm_s", 3.0},
                       {"protocol", "h1"},
                       {"tls", false}};
    return {{"version", "00000001"},
            {"routes", Json::array({route})},
            {"services", Json::array({service})},
            {"limits", Json::object()}};
}

} // namespace

LabDeployment::LabDeployment(const CaseOptions &options, Record &record, DeploymentPlan plan)
    : m_record(record), m_plan(plan), m_judge(record, targetNames(plan.targets))
{
    publish();
    for (const std::string &name : targetNames(m_plan.targets)) {
        const std::size_t index = m_targets.size();
        m_targets.emplace_back(m_record, m_judge, m_counts, index, name,
                               zoneNames[index % std::size(zoneNames)], m_plan.keyed);
        registerTarget(index, 1);
    }
    for (const char *zone : zoneNames)
        m_gateways.emplace_back(options.program, options.folder, std::string("gateway-") + zone,
                                zone, m_store.address());
    startCallers();
}

LabDeployment::~LabDeployment()
{
    m_stopped = true;
    for (std::thread &thread : m_threads)
        thread.join();
    m_gateways.clear();
}

void LabDeployment::registerTarget(std::size_t index, std::int64_t life)
{
    const LabTarget &target = m_targets[index];
    const Json info{{"service", serviceName},
                    {"version", "v1"},
                    {"zone", target.zone()},
                    {"max_concurrency", 6}};
    // The first lives started before the traffic, so they are warm.
    const Json status{
        {"state", "ready"}, {"sequence", 1}, {"warmup_left_s", life > 1 ? warmupSeconds : 0.0}};
    constexpr std::int64_t firstStart = 1760000000000;
    constexpr std::int64_t betweenLives = 60000;
    m_store.put("servers", target.id(),
                {{"address", target.address()},
                 {"born", firstStart + life * betweenLives},
                 {"info", info},
                 {"status", status}});
}

void LabDeployment::publish()
{
    m_store.put("config", "main", desiredState(m_plan));
}

void LabDeployment::startCallers()
{
    for (std::size_t index = 0; index < m_gateways.size(); ++index) {
        for (std::size_t caller = 0; caller < m_plan.callersPerGateway; ++caller)
            m_threads.emplace_back([this, index, caller] { call(index, caller); });
    }
}

void LabDeployment::call(std::size_t gateway, std::size_t caller)
{
    std::mt19937 random(static_cast<unsigned>(gateway + caller * std::size(zoneNames)) + 1);
    std::uniform_int_distribution<std::uint32_t> anyKey(0, keyCount - 1);
    const std::string zone = zoneNames[gateway];
    std::uint64_t number = 0;
    int socket = -1;
    std::string buffer;
    while (!m_stopped) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1000) / callsPerSecond);
        if (socket < 0) {
            buffer.clear();
            socket = connectTo(m_gateways[gateway].callers(), callTimeout);
        }
        if (socket < 0)
            continue;
        const std::string id = zone + std::to_string(caller) + '-' + std::to_string(++number);
        const std::uint32_t key = anyKey(random);
        ++m_callers.sent;
        std::optional<std::string> answer;
        if (sendAll(socket,
                    "GET /lookup/x HTTP/1.1\r\nHost: " + std::string(hostName)
                        + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1000\r\nX-Shard-Key: "
                        + std::to_string(key) + "\r\n\r\n"))
            answer = readMessage(socket, buffer);
        const std::string status = answer ? answer->substr(9, 3) : "closed";
        if (status == "200")
            ++m_callers.served;
        else if (status == "503" || status == "429")
            ++m_callers.refused;
        else
            ++m_callers.failed;
        m_record.line("caller " + id + " key " + std::to_string(key) + ": " + status);
        if (!answer || headerOf(*answer, "Connection") == "close") {
            close(socket);
            socket = -1;
        }
    }
    if (socket >= 0)
        close(socket);
}

bool LabDeployment::settled(std::chrono::seconds timeout)
{
    constexpr std::uint64_t enoughServed = 50;
    const auto ready = [this] {
        for (const GatewayProcess &gateway : m_gateways) {
            if (!gateway.ready())
                return false;
        }
        return m_callers.served >= enoughServed;
    };
    return standins::waitUntil(ready, timeout);
}

void LabDeployment::setStoreBusy(bool busy)
{
    m_record.line(busy ? "the store answers 503 to all calls" : "the store answers again");
    m_store.setBusy(busy);
}

void LabDeployment::evacuate(const std::string &zone)
{
    m_record.line("operator evacuates zone " + zone);
    m_store.put("evacuations", zone, Json::object());
}

bool LabDeployment::gatewaysRun()
{
    for (GatewayProcess &gateway : m_gateways) {
        if (!gateway.running())
            return false;
    }
    return true;
}

std::string LabDeployment::summary() const
{
    return "callers: sent " + std::to_string(m_callers.sent) + ", served "
        + std::to_string(m_callers.served) + ", refused " + std::to_string(m_callers.refused)
        + ", failed " + std::to_string(m_callers.failed) + "; targets: answers "
        + std::to_string(m_counts.answers) + ", orders " + std::to_string(m_counts.orders)
        + ", extra answers " + std::to_string(m_counts.extraAnswers) + ", late grants "
        + std::to_string(m_counts.lateGrants);
}

} // namespace yuccaspan::review

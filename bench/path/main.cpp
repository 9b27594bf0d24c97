// Cost of the path through an entry instance, beside the direct path to the same targets.
#include "cluster.hpp"

#include <array>
#include <csignal>
#include <fstream>
#include <iomanip>
#include <iostream>

#include <cxxopts.hpp>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace yuccaspan::bench {
namespace {

using namespace standins;
using Json = nlohmann::json;

constexpr int exitMet = 0;
constexpr int exitMissed = 1;
constexpr int exitUsage = 2;

/// \name Bounds
/// @{
constexpr double maxAddedP99Ms = 1;
constexpr double minDoneRate = 40000;
constexpr double maxControlMegabytes = 32;
constexpr std::uint32_t callerThreads = 4;
/// @}

constexpr double halfRate = minDoneRate / 2;
constexpr std::array<double, 3> ladder{30000, 40000, 46000};
constexpr int idleConnections = 500;
constexpr double bytesPerMegabyte = 1e6;
constexpr std::chrono::seconds loadTimeout{120};
constexpr std::chrono::seconds settleTime{1};

/// Figures of one load run.
struct LoadFigures
{
    double offered = 0;
    double doneRate = 0;
    double share = 0; ///< Done as a share of what was due.
    double p50Ms = 0;
    double p99Ms = 0;
    double generatorLagP99Ms = 0;
    double processorSeconds = 0; ///< Of the entry instance.
    double donePerProcessorSecond = 0;
    double residentMegabytes = 0; ///< Of the entry instance, at the end.
};

/// Figures of one entry instance.
struct PathFigures
{
    bool logDecisions = false;
    double idleMegabytes = 0;
    double kilobytesPerIdleConnection = 0;
    double kilobytesPerBusyConnection = 0;
    LoadFigures direct;
    LoadFigures half;
    std::vector<LoadFigures> steps;
};

double addedP99(const PathFigures &figures)
{
    return figures.half.p99Ms - figures.direct.p99Ms;
}

double bestDoneRate(const PathFigures &figures)
{
    double best = 0;
    for (const LoadFigures &step : figures.steps)
        best = std::max(best, step.doneRate);
    return best;
}

/// Connections to an address that send nothing.
class IdleConnections
{
public:
    IdleConnections(std::uint16_t port, int count)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        for (int index = 0; index < count; ++index) {
            const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            if (connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0)
                ++m_open;
            m_sockets.push_back(socket);
        }
    }
    IdleConnections(const IdleConnections &) = delete;
    IdleConnections &operator=(const IdleConnections &) = delete;
    ~IdleConnections()
    {
        for (const int socket : m_sockets)
            close(socket);
    }
    [[nodiscard]] int open() const { return m_open; }

private:
    std::vector<int> m_sockets;
    int m_open = 0;
};

/// Measures one entry instance in front of targets.
class PathBench
{
public:
    PathBench(Cluster &cluster, std::uint64_t seed, std::string seconds)
        : m_cluster(cluster), m_seed(seed), m_seconds(std::move(seconds))
    { }

    [[nodiscard]] Result<PathFigures> run(bool logDecisions)
    {
        PathFigures figures;
        figures.logDecisions = logDecisions;
        figures.idleMegabytes = residentMegabytes();
        auto direct = load(halfRate, urlsOf(m_cluster.targets()), 64);
        if (!direct)
            return direct.error();
        figures.direct = *direct;
        auto half = load(halfRate, urlsOf(m_cluster.instances()), 64);
        if (!half)
            return half.error();
        figures.half = *half;
        figures.kilobytesPerIdleConnection = idleCost();
        for (const double rate : ladder) {
            auto step = load(rate, urlsOf(m_cluster.instances()), 256);
            if (!step)
                return step.error();
            figures.steps.push_back(*step);
        }
        // 256 connections rather than 64, both busy.
        constexpr double moreConnections = 256 - 64;
        const double grown =
            figures.steps.front().residentMegabytes - figures.half.residentMegabytes;
        figures.kilobytesPerBusyConnection = grown * 1000 / moreConnections;
        return figures;
    }

private:
    using Urls = std::vector<std::string>;

    [[nodiscard]] Process &instance() const { return *m_cluster.instances().front().process; }
    [[nodiscard]] double residentMegabytes() const
    {
        return static_cast<double>(instance().residentBytes()) / bytesPerMegabyte;
    }
    [[nodiscard]] static Urls urlsOf(const std::vector<Member> &members)
    {
        Urls urls;
        for (const Member &member : members)
            urls.insert(urls.end(), {"--url", "http://" + member.address});
        return urls;
    }
    [[nodiscard]] double idleCost() const
    {
        const std::string &address = m_cluster.instances().front().address;
        const auto port = std::stoul(address.substr(address.rfind(':') + 1));
        const double before = residentMegabytes();
        const IdleConnections connections(static_cast<std::uint16_t>(port), idleConnections);
        pause(settleTime);
        const double grown = residentMegabytes() - before;
        return connections.open() == 0 ? 0 : grown * 1000 / connections.open();
    }
    [[nodiscard]] Result<LoadFigures> load(double rate, const Urls &urls, int connections) const
    {
        const std::string json = m_cluster.folder() + "/path.json";
        std::vector<std::string> arguments{programFolder() + "/yuccaspan-load",
                                           "--mix",
                                           m_cluster.folder() + "/mix.json",
                                           "--rate",
                                           std::to_string(rate),
                                           "--seconds",
                                           m_seconds,
                                           "--threads",
                                           "4",
                                           "--connections",
                                           std::to_string(connections),
                                           "--keys",
                                           "10000",
                                           "--zipf",
                                           "0.8",
                                           "--seed",
                                           std::to_string(m_seed),
                                           "--json",
                                           json};
        arguments.insert(arguments.end(), urls.begin(), urls.end());
        const Duration usedBefore = instance().processorTime();
        auto process = Process::start(arguments, m_cluster.folder() + "/path.out");
        if (!process)
            return process.error();
        if (!(*process)->wait(loadTimeout))
            return Error{ErrorCode::Timeout, "the load did not end", {}};
        const Duration used = instance().processorTime() - usedBefore;
        return read(rate, Json::parse(readFile(json), nullptr, false), used);
    }
    [[nodiscard]] Result<LoadFigures> read(double rate, const Json &report, Duration used) const
    {
        if (!report.is_object())
            return Error{ErrorCode::ParseFailed, "no report of the load", {}};
        LoadFigures figures;
        double due = 0;
        double done = 0;
        for (const Json &kind : report["kinds"]) {
            due += kind["sent"].get<double>();
            done += kind["done"].get<double>();
        }
        figures.offered = rate;
        figures.doneRate = report["doneRate"];
        figures.share = due == 0 ? 0 : done / due;
        figures.p50Ms = report["latency"]["p50Us"].get<double>() / 1000;
        figures.p99Ms = report["latency"]["p99Us"].get<double>() / 1000;
        figures.generatorLagP99Ms = report["generatorLag"]["p99Us"].get<double>() / 1000;
        figures.processorSeconds = std::chrono::duration<double>(used).count();
        if (figures.processorSeconds > 0)
            figures.donePerProcessorSecond = done / figures.processorSeconds;
        figures.residentMegabytes = residentMegabytes();
        return figures;
    }

    Cluster &m_cluster;
    std::uint64_t m_seed;
    std::string m_seconds;
};

Result<PathFigures> measure(bool logDecisions, std::uint64_t seed, const std::string &seconds)
{
    ClusterOptions options;
    options.zones = {"a"};
    options.callerThreads = callerThreads;
    options.logDecisions = logDecisions;
    options.services.resize(1);
    ClusterService &service = options.services.front();
    service.name = "depot-stock";
    service.targetsPerZone = 4;
    service.slots = 256;
    service.connections = 4096;
    service.serviceUs = 0;
    // Requests straight to a target carry no grant.
    service.checksGrants = false;
    service.keepLedger = false;
    auto cluster = Cluster::start(options);
    if (!cluster)
        return cluster.error();
    return PathBench(**cluster, seed, seconds).run(logDecisions);
}

Json loadJson(const LoadFigures &figures)
{
    return {{"offered", figures.offered},
            {"doneRate", figures.doneRate},
            {"share", figures.share},
            {"p50Ms", figures.p50Ms},
            {"p99Ms", figures.p99Ms},
            {"generatorLagP99Ms", figures.generatorLagP99Ms},
            {"processorSeconds", figures.processorSeconds},
            {"donePerProcessorSecond", figures.donePerProcessorSecond},
            {"residentMegabytes", figures.residentMegabytes}};
}

Json pathJson(const PathFigures &figures)
{
    Json steps = Json::array();
    for (const LoadFigures &step : figures.steps)
        steps.push_back(loadJson(step));
    return {{"logDecisions", figures.logDecisions},
            {"idleMegabytes", figures.idleMegabytes},
            {"kilobytesPerIdleConnection", figures.kilobytesPerIdleConnection},
            {"kilobytesPerBusyConnection", figures.kilobytesPerBusyConnection},
            {"direct", loadJson(figures.direct)},
            {"half", loadJson(figures.half)},
            {"addedP50Ms", figures.half.p50Ms - figures.direct.p50Ms},
            {"addedP99Ms", addedP99(figures)},
            {"bestDoneRate", bestDoneRate(figures)},
            {"steps", std::move(steps)}};
}

void printLoad(const char *name, const LoadFigures &figures)
{
    constexpr int width = 12;
    std::cout << std::left << std::setw(10) << name << std::right << std::fixed
              << std::setprecision(0) << std::setw(width) << figures.offered << std::setw(width)
              << figures.doneRate << std::setprecision(4) << std::setw(width) << figures.share
              << std::setprecision(3) << std::setw(width) << figures.p50Ms << std::setw(width)
              << figures.p99Ms << std::setw(width) << figures.generatorLagP99Ms
              << std::setprecision(0) << std::setw(width) << figures.donePerProcessorSecond
              << std::setprecision(1) << std::setw(width) << figures.residentMegabytes << '\n';
}

void print(const PathFigures &figures)
{
    std::cout << "decision log " << (figures.logDecisions ? "on" : "off") << '\n'
              << "path           offered      done/s  done share      p50 ms      p99 ms  lag p99 "
                 "ms  done/core s         MB\n";
    printLoad("direct", figures.direct);
    printLoad("half", figures.half);
    for (const LoadFigures &step : figures.steps)
        printLoad("step", step);
    std::cout << std::setprecision(3) << "added at half load: p50 "
              << figures.half.p50Ms - figures.direct.p50Ms << " ms, p99 " << addedP99(figures)
              << " ms\nmemory: " << std::setprecision(1) << figures.idleMegabytes << " MB idle, "
              << figures.kilobytesPerIdleConnection << " kB an idle connection, "
              << figures.kilobytesPerBusyConnection << " kB a busy one\n\n";
}

bool report(const char *name, double value, double bound, bool met)
{
    std::cout << (met ? "met     " : "MISSED  ") << name << ": " << std::setprecision(3) << value
              << ", bound " << bound << '\n';
    return met;
}

/// Prints each bound; the decision log is on, as it is by default.
bool boundsMet(const PathFigures &figures)
{
    const double added = addedP99(figures);
    const double rate = bestDoneRate(figures);
    const bool latency =
        report("added p99 at half load, ms", added, maxAddedP99Ms, added < maxAddedP99Ms);
    const bool throughput =
        report("requests a second on four threads", rate, minDoneRate, rate >= minDoneRate);
    const bool memory = report("memory of an idle instance, MB", figures.idleMegabytes,
                               maxControlMegabytes, figures.idleMegabytes < maxControlMegabytes);
    return latency && throughput && memory;
}

int run(int argc, char **argv)
{
    std::uint64_t seed = 1;
    std::string file;
    std::string seconds;
    cxxopts::Options parser("bench_path",
                            "Cost of the path through an entry instance.\n"
                            "Exit codes: 0 every bound met; 1 a bound missed; 2 usage.");
    parser.add_options()("h,help", "Print this help")("seed", "Seed of the load",
                                                      cxxopts::value(seed)->default_value("1"))(
        "seconds", "Length of each load run", cxxopts::value(seconds)->default_value("4"))(
        "json", "Write the figures to this file", cxxopts::value(file));
    const auto parsed = parser.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << parser.help() << std::endl;
        return exitMet;
    }
    Json document = {{"seed", seed}, {"paths", Json::array()}};
    bool met = true;
    for (const bool logDecisions : {false, true}) {
        const auto figures = measure(logDecisions, seed, seconds);
        if (!figures) {
            std::cerr << "bench_path: " << figures.error() << std::endl;
            return exitMissed;
        }
        print(*figures);
        document["paths"].push_back(pathJson(*figures));
        if (logDecisions)
            met = boundsMet(*figures);
    }
    document["boundsMet"] = met;
    if (!file.empty())
        std::ofstream(file) << document.dump(2) << '\n';
    return met ? exitMet : exitMissed;
}

} // namespace
} // namespace yuccaspan::bench

int main(int argc, char **argv)
{
    try {
        return yuccaspan::bench::run(argc, argv);
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << "bench_path: " << exception.what() << std::endl;
        return yuccaspan::bench::exitUsage;
    }
}

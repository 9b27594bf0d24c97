// Time that a key is unavailable, from the caller's side, between real processes.
#include "ownership/prober.hpp"

#include "cluster.hpp"
#include "http_fetch.hpp"

#include <array>
#include <csignal>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <limits>
#include <memory>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

namespace yuccaspan::bench {
namespace {

using namespace standins;
using namespace std::chrono_literals;
using Json = nlohmann::json;
using Instant = Prober::Instant;

constexpr int exitMet = 0;
constexpr int exitMissed = 1;
constexpr int exitUsage = 2;

/// \name Bounds, in milliseconds
/// @{
constexpr double maxMoveGap = 20;
constexpr double maxLossGap = 2000;
/// The calm row is the reference that the others are read against.
constexpr double noBound = std::numeric_limits<double>::infinity();
/// @}

constexpr auto settleTime = 2s;
constexpr auto watchTime = 4s;
constexpr const char *service = "depot-stock";

Json getJson(const std::string &address, const std::string &path)
{
    const auto answer = fetch({address, "GET", path, {}, {}});
    return answer ? Json::parse(answer->body, nullptr, false) : Json();
}

/// A cluster, a key, its owner, and the instances seen from that key.
class Trial
{
public:
    explicit Trial(std::string key) : m_key(std::move(key)) { }

    bool start()
    {
        ClusterOptions options;
        options.services.resize(1);
        options.services.front().name = service;
        options.services.front().serviceUs = 1000;
        auto cluster = Cluster::start(options);
        if (!cluster) {
            std::cerr << "bench_ownership: " << cluster.error() << '\n';
            return false;
        }
        m_cluster = std::move(*cluster);
        std::this_thread::sleep_for(settleTime);
        const Json explained =
            getJson(m_cluster->instances().front().admin,
                    std::string("/v1/explain?service=") + service + "&key=" + m_key);
        m_owner = explained.value("owner", "");
        m_hash = explained.value("hash", "");
        return !m_owner.empty();
    }

    Cluster &cluster() { return *m_cluster; }
    const std::string &key() const { return m_key; }
    Member *owner() { return findTarget(m_owner); }

    Member *findTarget(const std::string &id)
    {
        for (Member &target : m_cluster->targets()) {
            if (target.id == id)
                return &target;
        }
        return nullptr;
    }

    /// The instance that places the key's cell.
    Member *placer()
    {
        for (Member &instance : m_cluster->instances()) {
            for (const Json &cell :
                 getJson(instance.admin, "/v1/assignment").value("cells", Json::array())) {
                if (cell.value("isPlacer", false) && holds(cell))
                    return &instance;
            }
        }
        return nullptr;
    }

    /// Watches the key from one instance while a fault happens.
    template <typename F>
    double gapDuring(const Member &from, F &&fault)
    {
        Prober prober(from.address, std::string("/") + service + "/lookups/" + m_key);
        std::this_thread::sleep_for(1s);
        const Instant before = std::chrono::steady_clock::now();
        fault();
        std::this_thread::sleep_for(watchTime);
        const Instant late = std::chrono::steady_clock::now() - 200ms;
        prober.stop();
        constexpr double neverServed = 1e9;
        return prober.servedAfter(late) ? prober.longestGapMs(before) : neverServed;
    }

private:
    bool holds(const Json &cell) const
    {
        for (const Json &slice : cell.value("slices", Json::array())) {
            if (slice.value("owner", "") == m_owner && slice.value("first", "") <= m_hash
                && m_hash <= slice.value("last", ""))
                return true;
        }
        return false;
    }

    std::string m_key;
    std::unique_ptr<Cluster> m_cluster;
    std::string m_owner;
    std::string m_hash;
};

void killProcess(Member &member)
{
    member.process->signal(SIGKILL);
    static_cast<void>(member.process->wait(10s));
}

/// An instance other than the given one.
const Member &otherThan(Trial &trial, const Member *excluded)
{
    for (const Member &instance : trial.cluster().instances()) {
        if (&instance != excluded)
            return instance;
    }
    return trial.cluster().instances().front();
}

double calmGap(Trial &trial)
{
    return trial.gapDuring(trial.cluster().instances().front(), [] {});
}

double plannedMove(Trial &trial)
{
    const Member *placer = trial.placer();
    std::string to;
    for (const Member &target : trial.cluster().targets()) {
        if (target.id != trial.owner()->id && target.zone == trial.owner()->zone)
            to = target.id;
    }
    const Json order = {{"service", service}, {"key", trial.key()}, {"to", to}, {"why", "bench"}};
    return trial.gapDuring(otherThan(trial, placer), [&] {
        const auto answer = fetch({placer->admin, "POST", "/v1/moves", order.dump(), {}});
        if (!answer || answer->status >= 300)
            std::cout << "  the move was refused: " << (answer ? answer->body : "") << '\n';
    });
}

double targetLost(Trial &trial)
{
    return trial.gapDuring(trial.cluster().instances().front(),
                           [&] { killProcess(*trial.owner()); });
}

double placerLost(Trial &trial)
{
    Member *placer = trial.placer();
    return trial.gapDuring(otherThan(trial, placer), [&] { killProcess(*placer); });
}

double placerAndTargetLost(Trial &trial)
{
    Member *placer = trial.placer();
    return trial.gapDuring(otherThan(trial, placer), [&] {
        killProcess(*placer);
        killProcess(*trial.owner());
    });
}

double zoneLost(Trial &trial)
{
    const std::string zone = trial.owner()->zone;
    const Member *inside = nullptr;
    for (const Member &instance : trial.cluster().instances())
        inside = instance.zone == zone ? &instance : inside;
    return trial.gapDuring(otherThan(trial, inside), [&] {
        for (Member &instance : trial.cluster().instances()) {
            if (instance.zone == zone)
                instance.process->signal(SIGKILL);
        }
        for (Member &target : trial.cluster().targets()) {
            if (target.zone == zone)
                target.process->signal(SIGKILL);
        }
    });
}

double storeDown(Trial &trial)
{
    return trial.gapDuring(trial.cluster().instances().front(), [&] {
        static_cast<void>(trial.cluster().setFaults(trial.cluster().store(), R"({"down":true})"));
    });
}

struct Scenario
{
    const char *name;
    double (*run)(Trial &);
    double bound;
};

constexpr std::array<Scenario, 7> scenarios{
    {{"calm (the probe's own gap)", calmGap, maxMoveGap},
     {"planned move", plannedMove, maxMoveGap},
     {"target lost", targetLost, maxLossGap},
     {"placer lost", placerLost, maxLossGap},
     {"placer and target lost", placerAndTargetLost, maxLossGap},
     {"zone lost", zoneLost, maxLossGap},
     {"store down", storeDown, maxLossGap}}};

/// Runs one scenario for several keys, each in a cluster of its own.
bool runScenario(const Scenario &scenario, std::uint64_t seed, int trials, Json &report)
{
    double worst = 0;
    Json gaps = Json::array();
    for (int index = 0; index < trials; ++index) {
        Trial trial("key-" + std::to_string(seed + static_cast<std::uint64_t>(index)));
        if (!trial.start())
            return false;
        const double gap = scenario.run(trial);
        gaps.push_back(gap);
        worst = std::max(worst, gap);
    }
    const bool met = worst <= scenario.bound;
    std::cout << std::left << std::setw(30) << scenario.name << std::right << std::fixed
              << std::setprecision(1) << " worst gap " << std::setw(9) << worst << " ms, bound "
              << std::setw(7) << scenario.bound << (met ? "  met" : "  MISSED") << std::endl;
    report.push_back(
        {{"scenario", scenario.name}, {"gapsMs", gaps}, {"boundMs", scenario.bound}, {"met", met}});
    return met;
}

int run(int argc, char **argv)
{
    cxxopts::Options options("bench_ownership", "Time that a key is unavailable.");
    auto add = options.add_options();
    add("seed", "first key", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("trials", "keys for each scenario", cxxopts::value<int>()->default_value("2"));
    add("json", "write the gaps to a file", cxxopts::value<std::string>());
    add("help", "print this text");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help();
        return exitMet;
    }
    Json report = Json::array();
    bool met = true;
    for (const Scenario &scenario : scenarios) {
        met = runScenario(scenario, arguments["seed"].as<std::uint64_t>(),
                          arguments["trials"].as<int>(), report)
            && met;
    }
    if (arguments.count("json") != 0)
        std::ofstream(arguments["json"].as<std::string>()) << report.dump(2) << '\n';
    return met ? exitMet : exitMissed;
}

} // namespace
} // namespace yuccaspan::bench

int main(int argc, char **argv)
{
    try {
        return yuccaspan::bench::run(argc, argv);
    } catch (const cxxopts::exceptions::exception &failure) {
        std::cerr << "bench_ownership: " << failure.what() << '\n';
        return yuccaspan::bench::exitUsage;
    }
}

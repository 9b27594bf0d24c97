// Runs the stand-in for the platform's store, or stand-ins for targets.
#include "store_server.hpp"
#include "target_server.hpp"

#include <csignal>
#include <iostream>
#include <sstream>
#include <thread>

#include <cxxopts.hpp>

namespace yuccaspan::standins {
namespace {

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;
constexpr std::uint32_t maxThreads = 64;

/// What the command line says.
struct Command
{
    std::string listen;
    std::uint32_t count = 1;
    std::uint32_t threads = 1;
    std::vector<std::string> zones;
    TargetOptions target;
    std::uint64_t serviceUs = 0;
    std::uint64_t coldMs = 0;
    std::string checksGrants; ///< "true" or "false".
    std::string ledger; ///< "true" or "false".
};

/// Event loops, each on a thread of its own.
class LoopThreads
{
public:
    explicit LoopThreads(std::uint32_t count)
    {
        for (std::uint32_t index = 0; index < count; ++index)
            m_loops.push_back(std::make_unique<EventLoop>());
    }
    [[nodiscard]] EventLoop &at(std::size_t index) { return *m_loops[index % m_loops.size()]; }
    /// Runs the loops until a signal asks the process to stop.
    void runUntilSignal(const sigset_t &signals)
    {
        std::vector<std::jthread> threads;
        for (const auto &loop : m_loops)
            threads.emplace_back([&loop] { loop->run(); });
        int received = 0;
        sigwait(&signals, &received);
        for (const auto &loop : m_loops)
            loop->stop();
    }

private:
    std::vector<std::unique_ptr<EventLoop>> m_loops;
};

/// Blocks the signals that stop the process, before any thread starts.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int fail(const Error &error)
{
    std::cerr << "yuccaspan-standin: " << error << std::endl;
    return exitFailed;
}

int runStore(const Command &command)
{
    const sigset_t signals = blockStopSignals();
    LoopThreads loops(1);
    const auto store = StoreServer::create(loops.at(0), command.listen);
    if (!store)
        return fail(store.error());
    std::cout << "listening " << (*store)->address() << std::endl;
    loops.runUntilSignal(signals);
    return exitOk;
}

/// The address of one of several targets: port 0 stays 0, another one is counted up.
std::string listenAddress(const std::string &listen, std::uint32_t index)
{
    const std::size_t colon = listen.rfind(':');
    const std::string port = colon == std::string::npos ? "" : listen.substr(colon + 1);
    const bool counted = index > 0 && !port.empty() && port != "0"
        && port.find_first_not_of("0123456789") == std::string::npos;
    if (!counted)
        return listen;
    return listen.substr(0, colon + 1) + std::to_string(std::stoul(port) + index);
}

TargetOptions optionsOf(const Command &command, std::uint32_t index)
{
    TargetOptions options = command.target;
    if (command.count > 1)
        options.id += '-' + std::to_string(index);
    if (!command.zones.empty())
        options.zone = command.zones[index % command.zones.size()];
    options.seed += index;
    return options;
}

int runTargets(const Command &command)
{
    const sigset_t signals = blockStopSignals();
    LoopThreads loops(command.threads);
    std::vector<std::unique_ptr<TargetServer>> targets;
    for (std::uint32_t index = 0; index < command.count; ++index) {
        const TargetOptions options = optionsOf(command, index);
        auto target =
            TargetServer::create(loops.at(index), listenAddress(command.listen, index), options);
        if (!target)
            return fail(target.error());
        std::cout << "listening " << (command.count > 1 ? options.id + ' ' : "")
                  << (*target)->address() << std::endl;
        targets.push_back(std::move(*target));
    }
    loops.runUntilSignal(signals);
    return exitOk;
}

cxxopts::Options makeParser(Command &command)
{
    cxxopts::Options parser("yuccaspan-standin",
                            "Stand-ins for the platform's store and for targets.\n"
                            "  yuccaspan-standin store  --listen IP:PORT\n"
                            "  yuccaspan-standin target --listen IP:PORT --id NAME [options]\n"
                            "Prints a line \"listening IP:PORT\", or with --count above 1 a line\n"
                            "\"listening ID IP:PORT\" for each target. Runs until SIGTERM.\n"
                            "Exit codes: 0 stopped; 1 cannot listen; 2 usage.");
    TargetOptions &target = command.target;
    parser.add_options()("h,help", "Print this help")(
        "listen", "Address; port 0 is chosen by the system",
        cxxopts::value(command.listen)->default_value("127.0.0.1:0"))(
        "id", "Name of the target", cxxopts::value(target.id)->default_value("target"))(
        "count", "Number of targets; their names get -0, -1, ...",
        cxxopts::value(command.count)->default_value("1"))(
        "threads", "Threads that run the targets",
        cxxopts::value(command.threads)->default_value("1"))(
        "zone", "Availability zones, taken in turn", cxxopts::value(command.zones))(
        "slots", "Requests run at once", cxxopts::value(target.slots)->default_value("6"))(
        "connections", "Connections accepted; 0: no limit",
        cxxopts::value(target.connections)->default_value("100"))(
        "queue", "Requests that may wait for a slot",
        cxxopts::value(target.queueLimit)->default_value("64"))(
        "service-us", "Mean service time in microseconds",
        cxxopts::value(command.serviceUs)->default_value("2000"))(
        "checks-grants", "true or false: refuse requests without a grant",
        cxxopts::value(command.checksGrants)->default_value("true"))(
        "cold-ms", "How long a target is cold after its start, in milliseconds",
        cxxopts::value(command.coldMs)->default_value("0"))(
        "cold-slots", "Requests borne at once while cold",
        cxxopts::value(target.coldSlots)->default_value("1"))(
        "ledger", "true or false: keep runs by request id",
        cxxopts::value(command.ledger)->default_value("true"))(
        "seed", "Seed of the spread of service times",
        cxxopts::value(target.seed)->default_value("1"));
    return parser;
}

bool isFlag(const std::string &text)
{
    return text == "true" || text == "false";
}

int run(int argc, char **argv)
{
    Command command;
    auto parser = makeParser(command);
    const std::string role = argc > 1 ? argv[1] : "";
    if (role == "--help" || role == "-h") {
        std::cout << parser.help() << std::endl;
        return exitOk;
    }
    const auto parsed = parser.parse(argc - 1, argv + 1);
    if (parsed.count("help") > 0) {
        std::cout << parser.help() << std::endl;
        return exitOk;
    }
    command.target.service = std::chrono::microseconds(command.serviceUs);
    command.target.cold = std::chrono::milliseconds(command.coldMs);
    command.target.checksGrants = command.checksGrants == "true";
    command.target.keepLedger = command.ledger == "true";
    const bool sensible = isFlag(command.checksGrants) && isFlag(command.ledger)
        && parsed.unmatched().empty() && command.count > 0 && command.threads > 0
        && command.threads <= maxThreads;
    if (sensible && role == "store")
        return runStore(command);
    if (sensible && role == "target")
        return runTargets(command);
    std::cerr << parser.help() << std::endl;
    return exitUsage;
}

} // namespace
} // namespace yuccaspan::standins

int main(int argc, char **argv)
{
    try {
        return yuccaspan::standins::run(argc, argv);
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << "yuccaspan-standin: " << exception.what() << std::endl;
        return yuccaspan::standins::exitUsage;
    }
}

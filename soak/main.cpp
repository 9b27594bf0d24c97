// Runs gateways as processes under random faults and checks what callers and targets see.

#include "callers.hpp"
#include "event_loop_context.hpp"
#include "gateway/http_types.hpp"
#include "troubles.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>

#include <filesystem>
#include <iostream>

namespace yuccaspan::soak {

namespace {

namespace asio = gateway::asio;
using gateway::asTuple;

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

/// Until all keys have owners and the instances are ready.
constexpr Duration startSpan = std::chrono::milliseconds(2500);
/// Recovery after the last trouble: the bound for it, less what the run waits anyway.
constexpr Duration recoverySpan = std::chrono::seconds(8);
constexpr Duration measuredSpan = std::chrono::seconds(2);
constexpr Duration drainLook = std::chrono::milliseconds(50);

/// What the command line says.
struct Command
{
    std::uint64_t from = 1;
    std::uint64_t seeds = 1;
    std::uint32_t instances = 4;
    std::uint32_t targets = 13;
    std::uint32_t callers = 40;
    std::uint32_t strikers = 3;
    std::uint32_t calmSeconds = 8;
    std::uint32_t troubleSeconds = 12;
    std::string folder;
    std::string program;
};

/// One seed.
class Run
{
public:
    Run(const Command &command, std::uint64_t seed)
        : m_command(command),
          m_seed(seed),
          m_folder(command.folder + "/seed-" + std::to_string(seed)),
          m_ledger([this] { return m_loop.now(); })
    { }

    /// \returns Whether all promises were kept.
    bool play()
    {
        std::filesystem::create_directories(m_folder);
        DeploymentOptions options;
        options.seed = m_seed;
        options.instances = m_command.instances;
        constexpr std::uint32_t keyedPart = 3;
        options.anyTargets = std::max(2U, m_command.targets / keyedPart);
        options.keyedTargets = m_command.targets - options.anyTargets;
        options.folder = m_folder;
        options.program = m_command.program;
        auto deployment = Deployment::start(m_loop, m_ledger, options);
        if (!deployment) {
            std::cerr << deployment.error() << std::endl;
            return false;
        }
        m_deployment = std::move(*deployment);
        m_began = m_loop.now();
        asio::co_spawn(m_loop.context().io, script(), asio::detached);
        m_loop.run();
        report();
        m_deployment.reset();
        const bool kept = m_ledger.violations().empty();
        if (kept)
            std::filesystem::remove_all(m_folder);
        return kept;
    }

private:
    asio::awaitable<void> pause(Duration span)
    {
        asio::steady_timer timer(m_loop.context().io, span);
        co_await timer.async_wait(asTuple);
    }

    asio::awaitable<void> script()
    {
        co_await pause(startSpan);
        CallerOptions callerOptions;
        callerOptions.callers = m_command.callers;
        Callers callers(*m_deployment, callerOptions, m_seed);
        callers.start();
        Troubles troubles(*m_deployment, [this](const std::string &text) { note(text); });
        const auto wholeSpan =
            std::chrono::seconds(m_command.calmSeconds + m_command.troubleSeconds);
        asio::co_spawn(m_loop.context().io, troubles.speak(m_loop.now() + wholeSpan),
                       asio::detached);
        note("planned work only");
        const TimePoint calmEnd = m_loop.now() + std::chrono::seconds(m_command.calmSeconds);
        if (m_command.calmSeconds > 0) {
            asio::co_spawn(m_loop.context().io, troubles.strike(calmEnd, true), asio::detached);
            co_await pause(std::chrono::seconds(m_command.calmSeconds));
        }
        note("all kinds of trouble");
        const TimePoint end = m_loop.now() + std::chrono::seconds(m_command.troubleSeconds);
        for (std::uint32_t striker = 0; striker < m_command.strikers; ++striker)
            asio::co_spawn(m_loop.context().io, troubles.strike(end, false), asio::detached);
        co_await pause(std::chrono::seconds(m_command.troubleSeconds));
        co_await troubles.settle();
        if (m_seed % 2 == 0)
            co_await troubles.killAll();
        note("recovery");
        co_await pause(recoverySpan);
        const TimePoint recoveredAt = m_loop.now();
        co_await pause(measuredSpan);
        callers.stop();
        while (callers.active() > 0)
            co_await pause(drainLook);
        m_ledger.finish(recoveredAt);
        // Callers between two requests see that they are stopped.
        co_await pause(callerOptions.pauseMost * 2 + std::chrono::seconds(1));
        m_loop.stop();
    }

    void note(const std::string &text)
    {
        const std::chrono::duration<double> at = m_loop.now() - m_began;
        m_notes.push_back(std::to_string(at.count()) + ' ' + text);
    }

    void report() const
    {
        std::cout << "seed " << m_seed << ": " << m_ledger.requests() << " requests, "
                  << m_ledger.served() << " served, " << m_ledger.runs() << " runs, "
                  << m_ledger.violations().size() << " broken promises" << std::endl;
        if (m_ledger.violations().empty())
            return;
        for (const std::string &line : m_notes)
            std::cout << "  " << line << '\n';
        for (const std::string &line : m_ledger.violations())
            std::cout << "  BROKEN " << line << '\n';
        std::cout << "  logs in " << m_folder << std::endl;
    }

    const Command &m_command;
    std::uint64_t m_seed;
    std::string m_folder;
    standins::EventLoop m_loop;
    Ledger m_ledger;
    std::unique_ptr<Deployment> m_deployment;
    TimePoint m_began{};
    std::vector<std::string> m_notes;
};

int run(const Command &command)
{
    std::uint64_t failed = 0;
    for (std::uint64_t seed = command.from; seed < command.from + command.seeds; ++seed) {
        Run run(command, seed);
        if (run.play())
            continue;
        ++failed;
        std::cout << "FAILED seed " << seed << std::endl;
    }
    std::cout << command.seeds - failed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? exitOk : exitFailed;
}

} // namespace

} // namespace yuccaspan::soak

int main(int argc, char **argv)
{
    using namespace yuccaspan::soak;
    Command command;
    cxxopts::Options options("yuccaspan-soak", "Gateways under random faults from outside");
    options.add_options()("h,help", "Print this help")(
        "from", "First seed", cxxopts::value(command.from)->default_value("1"))(
        "seeds", "Number of seeds", cxxopts::value(command.seeds)->default_value("1"))(
        "instances", "Gateway processes", cxxopts::value(command.instances)->default_value("4"))(
        "targets", "Targets of the first two services",
        cxxopts::value(command.targets)->default_value("13"))(
        "callers", "Callers", cxxopts::value(command.callers)->default_value("40"))(
        "strikers", "Troubles at a time", cxxopts::value(command.strikers)->default_value("3"))(
        "calm-s", "Seconds of planned work alone",
        cxxopts::value(command.calmSeconds)->default_value("8"))(
        "trouble-s", "Seconds of troubles",
        cxxopts::value(command.troubleSeconds)->default_value("12"))(
        "folder", "Folder for the logs of failed seeds",
        cxxopts::value(command.folder)->default_value("/tmp/yuccaspan-soak"))(
        "program", "The gateway",
        cxxopts::value(command.program)
            ->default_value(yuccaspan::standins::programFolder() + "/yuccaspan-gateway"));
    try {
        if (options.parse(argc, argv).count("help") != 0) {
            std::cout << options.help() << std::endl;
            return exitOk;
        }
    } catch (const cxxopts::exceptions::exception &failure) {
        std::cerr << failure.what() << std::endl;
        return exitUsage;
    }
    return run(command);
}

// The load generator's command line.
#include "load/load_runner.hpp"

#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <mutex>

#include <unistd.h>

#include <cxxopts.hpp>

namespace yuccaspan::load {
namespace {

constexpr int exitOk = 0;
constexpr int exitNegative = 1;
constexpr int exitUsage = 2;
constexpr std::uint32_t maxThreads = 64;
constexpr double maxSeconds = 3600;

/// What the command line says.
struct Command
{
    LoadOptions load;
    std::vector<std::string> urls;
    std::string mixFile;
    std::string path;
    std::string jsonFile;
    std::string ledgerFile;
    std::uint64_t timeoutMs = 0;
    double minService = 0;
    bool equalSpacing = false;
};

cxxopts::Options makeParser(Command &command)
{
    cxxopts::Options parser(
        "yuccaspan-load",
        "Sends requests at times fixed in advance (open loop) and reports what became of them.\n"
        "Latency counts from the time at which a request was due. Stops by itself.\n"
        "Exit codes: 0 all well; 1 an answer named another request, nothing was done, or the\n"
        "service was below --min-service; 2 usage.");
    LoadOptions &load = command.load;
    parser.add_options()("h,help", "Print this help")(
        "url", "Entry instance, http://ip:port; may be repeated", cxxopts::value(command.urls))(
        "mix", "JSON file with the kinds of requests",
        cxxopts::value(command.mixFile))("path", "Without --mix: path of GET requests, with {key}",
                                         cxxopts::value(command.path)->default_value("/{key}"))(
        "rate", "Requests a second", cxxopts::value(load.rate)->default_value("100"))(
        "seconds", "Length of the run", cxxopts::value(load.seconds)->default_value("10"))(
        "connections", "Most connections to one instance",
        cxxopts::value(load.connections)->default_value("64"))(
        "threads", "Threads that send", cxxopts::value(load.threads)->default_value("2"))(
        "keys", "Number of keys", cxxopts::value(load.keys)->default_value("1000"))(
        "zipf", "Zipf exponent of the keys; 0 is uniform",
        cxxopts::value(load.zipf)->default_value("0"))(
        "shift-every", "Other keys become popular after so many seconds; 0: never",
        cxxopts::value(load.shiftEvery)->default_value("0"))(
        "equal-spacing", "Equal spacing of arrivals; otherwise Poisson",
        cxxopts::value(command.equalSpacing))("seed", "Seed of arrivals, kinds and keys",
                                              cxxopts::value(load.seed)->default_value("1"))(
        "timeout-ms", "A request without an answer for so long is given up",
        cxxopts::value(command.timeoutMs)->default_value("5000"))(
        "run-id", "First part of every request id; unique by default",
        cxxopts::value(load.runId)->default_value(""))(
        "min-service", "Least service weighted by worth, 0 to 1",
        cxxopts::value(command.minService)->default_value("0"))(
        "json", "Write the report as JSON to this file; - is standard output",
        cxxopts::value(command.jsonFile))(
        "ledger", "Write a line \"id result reason kind\" for each request to this file",
        cxxopts::value(command.ledgerFile));
    return parser;
}

Result<RequestMix> readMix(const Command &command)
{
    if (command.mixFile.empty()) {
        RequestMix mix;
        mix.kinds.emplace_back();
        mix.kinds.back().name = "request";
        mix.kinds.back().path = command.path;
        return mix;
    }
    std::ifstream file(command.mixFile);
    if (!file)
        return Error{ErrorCode::NotFound, "cannot read the file", {command.mixFile, "", 0, 0}};
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    auto mix = parseRequestMix(text);
    if (mix)
        return mix;
    Error error = mix.error();
    error.place.file = command.mixFile;
    return error;
}

std::string uniqueRunId()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return "load-" + std::to_string(getpid()) + '-' + std::to_string(millis);
}

/// Fills in what depends on several options.
Status complete(Command &command)
{
    LoadOptions &load = command.load;
    for (const std::string &url : command.urls) {
        const auto endpoint = parseEndpoint(url);
        if (!endpoint)
            return endpoint.error();
        load.endpoints.push_back(*endpoint);
    }
    load.timeout = std::chrono::milliseconds(command.timeoutMs);
    load.poisson = !command.equalSpacing;
    if (load.runId.empty())
        load.runId = uniqueRunId();
    const bool sensible = !load.endpoints.empty() && load.rate > 0 && load.seconds > 0
        && load.seconds <= maxSeconds && load.connections > 0 && load.threads > 0
        && load.threads <= maxThreads && load.keys > 0 && load.zipf >= 0 && load.shiftEvery >= 0
        && command.timeoutMs > 0;
    if (!sensible)
        return Error{ErrorCode::InvalidArgument, "a --url is needed, and numbers above 0", {}};
    return ok();
}

int writeReport(const Command &command, const LoadReport &report)
{
    if (command.jsonFile == "-")
        std::cout << report.json() << std::endl;
    else
        std::cout << report.summary() << std::flush;
    if (!command.jsonFile.empty() && command.jsonFile != "-") {
        std::ofstream file(command.jsonFile);
        file << report.json() << '\n';
        if (!file) {
            std::cerr << "yuccaspan-load: cannot write " << command.jsonFile << std::endl;
            return exitUsage;
        }
    }
    const bool well = report.crossed() == 0 && report.total(CallResult::Done) > 0
        && report.weightedService() >= command.minService;
    return well ? exitOk : exitNegative;
}

int run(int argc, char **argv)
{
    Command command;
    auto parser = makeParser(command);
    const auto parsed = parser.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << parser.help() << std::endl;
        return exitOk;
    }
    const auto mix = readMix(command);
    const Status status = complete(command);
    if (!mix || !status || !parsed.unmatched().empty()) {
        std::cerr << "yuccaspan-load: ";
        if (!mix)
            std::cerr << mix.error();
        else if (!status)
            std::cerr << status.error();
        else
            std::cerr << "unexpected argument " << parsed.unmatched().front();
        std::cerr << std::endl;
        return exitUsage;
    }
    std::ofstream ledger;
    std::mutex ledgerMutex;
    LedgerSink sink;
    if (!command.ledgerFile.empty()) {
        ledger.open(command.ledgerFile);
        sink = [&](const std::string &lines) {
            const std::scoped_lock lock(ledgerMutex);
            ledger << lines << std::flush;
        };
    }
    return writeReport(command, runLoad(command.load, *mix, sink));
}

} // namespace
} // namespace yuccaspan::load

int main(int argc, char **argv)
{
    try {
        return yuccaspan::load::run(argc, argv);
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << "yuccaspan-load: " << exception.what() << std::endl;
        return yuccaspan::load::exitUsage;
    }
}

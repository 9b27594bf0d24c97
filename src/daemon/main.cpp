// The program yuccaspand: one entry instance.
#include "daemon/daemon.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <csignal>
#include <iostream>
#include <variant>

namespace {

using namespace yuccaspan;
using namespace yuccaspan::impl;

constexpr int exitOk = 0;
constexpr int exitNegative = 1;
constexpr int exitUsage = 2;

int serve(const InstanceSettings &settings)
{
    boost::asio::io_context loop(1);
    boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
    const auto daemon = Daemon::start(settings);
    if (!daemon) {
        std::cerr << "yuccaspand: " << daemon.error() << '\n';
        return exitNegative;
    }
    const DaemonPorts &ports = (*daemon)->ports();
    std::cout << "listening callers=" << ports.callers << " peers=" << ports.peers
              << " admin=" << ports.admin << std::endl;
    signals.async_wait([&loop](const boost::system::error_code &, int) { loop.stop(); });
    loop.run();
    const Status stopped = (*daemon)->stop();
    if (!stopped)
        std::cerr << "yuccaspand: " << stopped.error() << '\n';
    return stopped ? exitOk : exitNegative;
}

int run(int argc, char **argv)
{
    cxxopts::Options options("yuccaspand",
                             "Routes requests to the targets that own their keys.\n"
                             "Exit codes: 0 stopped gracefully or settings valid, 1 failed, "
                             "2 usage or settings error.\n");
    options.add_options()("settings", "JSON file with the settings of this instance",
                          cxxopts::value<std::string>(),
                          "FILE")("check", "check the settings and exit")(
        "version", "print the version")("help", "print this text");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help();
        return exitOk;
    }
    if (arguments.count("version") != 0) {
        std::cout << "yuccaspand " << YUCCASPAN_VERSION << '\n';
        return exitOk;
    }
    if (arguments.count("settings") == 0) {
        std::cerr << "yuccaspand: --settings FILE is required\n";
        return exitUsage;
    }
    const auto settings = readInstanceSettings(arguments["settings"].as<std::string>());
    if (const auto *errors = std::get_if<std::vector<Error>>(&settings)) {
        for (const Error &error : *errors)
            std::cerr << "yuccaspand: " << error << '\n';
        return exitUsage;
    }
    if (arguments.count("check") != 0)
        return exitOk;
    return serve(std::get<InstanceSettings>(settings));
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception &failure) {
        std::cerr << "yuccaspand: " << failure.what() << '\n';
        return exitUsage;
    }
}

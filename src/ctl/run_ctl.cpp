#include "ctl/command.hpp"

#include <cxxopts.hpp>

#include <algorithm>

namespace yuccaspan::impl {

namespace {

cxxopts::Options describeOptions()
{
    cxxopts::Options options("yuccaspanctl", "Operates yuccaspan.");
    options.custom_help("COMMAND [OPTIONS]");
    auto add = options.add_options();
    add("json", "Write JSON");
    add("store", "URL of the platform's store", cxxopts::value<std::string>(), "URL");
    add("admin", "URL of an instance's administration API; repeatable",
        cxxopts::value<std::vector<std::string>>(), "URL");
    add("wait", "Wait until the settings are in force on every live instance");
    add("timeout-ms", "Timeout of --wait, in milliseconds", cxxopts::value<std::uint64_t>(), "N");
    add("expect", "Settings version that the store is expected to hold",
        cxxopts::value<std::uint64_t>(), "N");
    add("stopped", "With zone out: nothing runs in the zone any more");
    add("undo", "With drain: return the target to service");
    add("service", "Name of a service", cxxopts::value<std::string>(), "NAME");
    add("key", "A key", cxxopts::value<std::string>(), "KEY");
    add("hash", "A key's hash, hexadecimal", cxxopts::value<std::string>(), "HASH");
    add("to", "The next owner", cxxopts::value<std::string>(), "TARGET");
    add("help", "Show this help");
    add("version", "Show the version");
    add("words", "Command and arguments", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

std::string helpText(const cxxopts::Options &options)
{
    std::string text = "Usage: yuccaspanctl COMMAND [OPTIONS]\n\nCommands:\n";
    for (const Command &command : ctlCommands())
        text += std::string("  ") + command.name + ' ' + command.usage + "\n      " + command.help
            + '\n';
    const std::string all = options.help();
    const std::size_t table = all.find("      --json");
    text += "\nOptions:\n" + (table == std::string::npos ? all : all.substr(table));
    text += "\nExit codes: 0 success, 1 failure, 2 invalid usage or settings.\n";
    return text;
}

template <typename T>
void readOption(const cxxopts::ParseResult &parsed, const char *name, T &value)
{
    if (parsed.count(name) != 0)
        value = parsed[name].as<T>();
}

CtlOptions readOptions(const cxxopts::ParseResult &parsed)
{
    CtlOptions options;
    readOption(parsed, "words", options.arguments);
    if (!options.arguments.empty()) {
        options.command = options.arguments.front();
        options.arguments.erase(options.arguments.begin());
    }
    options.json = parsed.count("json") != 0;
    options.wait = parsed.count("wait") != 0;
    options.stopped = parsed.count("stopped") != 0;
    options.undo = parsed.count("undo") != 0;
    readOption(parsed, "store", options.store);
    readOption(parsed, "admin", options.admins);
    readOption(parsed, "service", options.service);
    readOption(parsed, "key", options.key);
    readOption(parsed, "hash", options.hash);
    readOption(parsed, "to", options.to);
    if (parsed.count("expect") != 0)
        options.expect = parsed["expect"].as<std::uint64_t>();
    if (parsed.count("timeout-ms") != 0)
        options.timeout = std::chrono::milliseconds(parsed["timeout-ms"].as<std::uint64_t>());
    return options;
}

int print(const CommandOutput &output, bool json, std::ostream &out, std::ostream &err)
{
    if (json)
        out << output.json.dump(2) << '\n';
    else
        (output.exitCode == exitSuccess ? out : err) << output.text;
    return output.exitCode;
}

CommandOutput runCommand(const CtlOptions &options, const OpenStore &openStore,
                         const StoreSession::Sleep &sleep)
{
    const auto command = std::ranges::find(
        ctlCommands(), options.command, [](const Command &row) { return std::string(row.name); });
    if (command == ctlCommands().end())
        return usageFailure("unknown command \"" + options.command + "\"; see --help");
    if (options.arguments.size() != command->arguments)
        return usageFailure(std::string("expected ") + command->name + ' ' + command->usage);
    if (command->needsStore && options.store.empty())
        return usageFailure(options.command + " needs --store URL");
    std::shared_ptr<Store> store;
    std::optional<StoreSession> session;
    if (!options.store.empty()) {
        const Result<HostPort> peer = parseHostPort(options.store);
        if (!peer)
            return failure(peer.error());
        Result<std::shared_ptr<Store>> opened = openStore(*peer);
        if (!opened)
            return failure(opened.error());
        store = std::move(*opened);
        session.emplace(*store, sleep);
    }
    CommandContext context{options, session ? &*session : nullptr, callOnce,
                           [] { return SystemClock().now(); }};
    try {
        return command->run(context);
    } catch (const nlohmann::json::exception &) {
        return failure({ErrorCode::Internal, "an answer has an unexpected JSON structure", {}});
    }
}

} // namespace

int runCtl(const std::vector<std::string> &arguments, const OpenStore &openStore,
           const StoreSession::Sleep &sleep, std::ostream &out, std::ostream &err)
{
    cxxopts::Options described = describeOptions();
    std::vector<const char *> words{"yuccaspanctl"};
    for (const std::string &argument : arguments)
        words.push_back(argument.c_str());
    CtlOptions options;
    try {
        const cxxopts::ParseResult parsed =
            described.parse(static_cast<int>(words.size()), words.data());
        if (parsed.count("help") != 0) {
            out << helpText(described);
            return exitSuccess;
        }
        if (parsed.count("version") != 0) {
            out << "yuccaspanctl " YUCCASPAN_VERSION "\n";
            return exitSuccess;
        }
        options = readOptions(parsed);
    } catch (const std::exception &wrong) {
        err << wrong.what() << '\n';
        return exitUsage;
    }
    return print(runCommand(options, openStore, sleep), options.json, out, err);
}

} // namespace yuccaspan::impl

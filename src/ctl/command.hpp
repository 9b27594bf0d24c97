/// \file
/// \brief The commands of yuccaspanctl.
#pragma once

#include "ctl/store_session.hpp"
#include "store/http_connection.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <ostream>
#include <span>
#include <string>
#include <vector>

namespace yuccaspan::impl {

/// \name Exit codes
/// @{
inline constexpr int exitSuccess = 0; ///< Success.
inline constexpr int exitNegative = 1; ///< The command failed, for example with a conflict.
inline constexpr int exitUsage = 2; ///< Invalid usage or invalid settings.
/// @}

/// \brief The command line.
struct CtlOptions
{
    std::string command; ///< Name of the command.
    std::vector<std::string> arguments; ///< Arguments of the command.
    bool json = false; ///< Write JSON.
    bool wait = false; ///< Wait until the settings are in force everywhere.
    bool stopped = false; ///< With `zone out`: nothing runs in the zone any more.
    bool undo = false; ///< With `drain`: return the target to service.
    std::optional<std::uint64_t> expect; ///< Expected settings version in the store.
    Duration timeout = std::chrono::seconds(30); ///< Timeout of `--wait`.
    std::string store; ///< URL of the store.
    std::vector<std::string> admins; ///< URLs of administration APIs.
    std::string service; ///< With `explain` and `move`: the service.
    std::string key; ///< With `explain` and `move`: the key.
    std::string hash; ///< With `move`: a hash instead of a key.
    std::string to; ///< With `move`: the next owner.
};

/// \brief Output of a command.
struct CommandOutput
{
    int exitCode = exitSuccess; ///< Exit code.
    std::string text; ///< Human-readable output.
    nlohmann::json json = nlohmann::json::object(); ///< Machine-readable output.
};

/// \brief Input of a command.
struct CommandContext
{
    const CtlOptions &options; ///< The command line.
    StoreSession *store = nullptr; ///< The store; null without `--store`.
    std::function<HttpResult(const HostPort &, HttpCall)> callAdmin; ///< Calls an instance.
    std::function<TimePoint()> now; ///< The current time.
};

/// \brief One command.
struct Command
{
    const char *name; ///< Name.
    const char *usage; ///< Arguments, for `--help`.
    const char *help; ///< One sentence, for `--help`.
    std::size_t arguments; ///< Number of arguments.
    bool needsStore; ///< Whether it requires `--store`.
    CommandOutput (*run)(CommandContext &context); ///< Runs the command.
};

/// \name The commands
/// @{
CommandOutput runCheck(CommandContext &context);
CommandOutput runDiff(CommandContext &context);
CommandOutput runApply(CommandContext &context);
CommandOutput runStatus(CommandContext &context);
CommandOutput runAssignment(CommandContext &context);
CommandOutput runExplain(CommandContext &context);
CommandOutput runMove(CommandContext &context);
CommandOutput runDrain(CommandContext &context);
CommandOutput runZone(CommandContext &context);
/// @}

/// \brief All commands.
[[nodiscard]] std::span<const Command> ctlCommands() noexcept;

/// \brief Output for an error: exit code 2 for invalid settings or arguments, else 1.
[[nodiscard]] CommandOutput failure(const Error &error);
/// \brief Output for several errors in settings.
[[nodiscard]] CommandOutput failure(const std::vector<Error> &errors);
/// \brief Output for invalid usage.
[[nodiscard]] CommandOutput usageFailure(const std::string &text);

/// \brief Opens the store at the address given by `--store`.
using OpenStore = std::function<Result<std::shared_ptr<Store>>(const HostPort &)>;

/// \brief Reads the command line, runs the command and prints its output.
/// \param arguments The command line without the program's name.
/// \param openStore Opens the store.
/// \param sleep Waits between attempts.
/// \param out Receives the output of successful commands and all JSON output.
/// \param err Receives error messages.
/// \returns The exit code.
[[nodiscard]] int runCtl(const std::vector<std::string> &arguments, const OpenStore &openStore,
                         const StoreSession::Sleep &sleep, std::ostream &out, std::ostream &err);

} // namespace yuccaspan::impl

#include "ctl/command.hpp"

#include <array>
#include <sstream>

namespace yuccaspan::impl {

namespace {

constexpr std::array<Command, 9> commands{{
    {"check", "DIR", "Checks a settings folder.", 1, false, runCheck},
    {"diff", "DIR", "Shows what applying a folder would change.", 1, true, runDiff},
    {"apply", "DIR [--wait] [--expect VERSION]", "Publishes a folder's settings.", 1, true,
     runApply},
    {"status", "", "Shows the instances and the settings in force.", 0, false, runStatus},
    {"assignment", "", "Shows which target owns which slice.", 0, false, runAssignment},
    {"explain", "--service S --key K", "Shows how a key is routed, and why.", 0, false, runExplain},
    {"move", "--service S (--key K | --hash H) --to TARGET", "Requests a move of a slice.", 0,
     false, runMove},
    {"drain", "TARGET [--undo] [--wait]", "Moves all slices off a target.", 1, true, runDrain},
    {"zone", "(out|in) ZONE [--stopped] [--wait]", "Takes an availability zone out or back in.", 2,
     true, runZone},
}};

/// Whether an error is due to invalid settings or arguments rather than to a failed operation.
bool isUsageError(ErrorCode code)
{
    return code == ErrorCode::InvalidArgument || code == ErrorCode::ParseFailed
        || code == ErrorCode::SchemaViolation || code == ErrorCode::UnsupportedSchema;
}

nlohmann::json errorJson(const Error &error)
{
    nlohmann::json json{{"code", std::string(toString(error.code))}, {"text", error.text}};
    if (!error.place.file.empty())
        json["file"] = error.place.file;
    if (!error.place.pointer.empty())
        json["pointer"] = error.place.pointer;
    if (error.place.line != 0) {
        json["line"] = error.place.line;
        json["column"] = error.place.column;
    }
    return json;
}

} // namespace

std::span<const Command> ctlCommands() noexcept
{
    return commands;
}

CommandOutput failure(const Error &error)
{
    CommandOutput output;
    std::ostringstream text;
    text << error << '\n';
    output.exitCode = isUsageError(error.code) ? exitUsage : exitNegative;
    output.text = text.str();
    output.json = {{"ok", false}, {"errors", nlohmann::json::array({errorJson(error)})}};
    return output;
}

CommandOutput failure(const std::vector<Error> &errors)
{
    CommandOutput output;
    output.exitCode = exitUsage;
    output.json = {{"ok", false}, {"errors", nlohmann::json::array()}};
    std::ostringstream text;
    for (const Error &error : errors) {
        text << error << '\n';
        output.json["errors"].push_back(errorJson(error));
    }
    output.text = text.str();
    return output;
}

CommandOutput usageFailure(const std::string &text)
{
    return failure(Error{ErrorCode::InvalidArgument, text, {}});
}

} // namespace yuccaspan::impl

#include "ctl/command.hpp"
#include "ctl/publish.hpp"
#include "ctl/wait_in_force.hpp"
#include "yuccaspan/cell_record.hpp"

#include <algorithm>
#include <sstream>

namespace yuccaspan::impl {

namespace {

constexpr Duration adminTimeout = std::chrono::seconds(5);

/// Calls the instances in turn and returns the first answer, or the last error.
Result<HttpAnswer> callFirstAvailable(CommandContext &context, const HttpCall &call)
{
    Error last{ErrorCode::InvalidArgument, "needs --admin URL", {}};
    for (const std::string &url : context.options.admins) {
        const Result<HostPort> peer = parseHostPort(url);
        if (!peer)
            return peer.error();
        const HttpResult result = context.callAdmin(*peer, call);
        if (const auto *answer = std::get_if<HttpAnswer>(&result))
            return *answer;
        last = {ErrorCode::Unavailable, url + ": " + std::get<HttpFailure>(result).text, {}};
    }
    return last;
}

/// Parses an answer: its JSON, or the error that it reports.
Result<Json> readAnswer(const HttpAnswer &answer)
{
    Json json = Json::parse(answer.body, nullptr, false);
    if (json.is_discarded() || !json.is_object())
        return Error{ErrorCode::Unavailable, "the instance's answer is not a JSON object", {}};
    if (answer.status < 300)
        return json;
    const Json error = json.value("error", Json::object());
    const auto code = fromString<ErrorCode>(error.value("code", ""));
    return Error{
        code.value_or(ErrorCode::Internal), error.value("text", "the answer gives no reason"), {}};
}

Result<Json> getJson(CommandContext &context, const std::string &target)
{
    const Result<HttpAnswer> answer =
        callFirstAvailable(context, HttpCall{"GET", target, {}, {}, adminTimeout});
    if (!answer)
        return answer.error();
    return readAnswer(*answer);
}

std::string cellText(const Json &cell)
{
    std::ostringstream text;
    text << cell.value("service", "") << '/' << cell.value("zone", "") << '/'
         << cell.value("index", 0) << " term " << cell.value("term", 0) << " placer "
         << cell.value("placer", "") << '\n';
    for (const Json &slice : cell.value("slices", Json::array())) {
        text << "  " << slice.value("first", "") << '-' << slice.value("last", "") << ' '
             << slice.value("owner", "") << " token " << slice.value("token", 0);
        if (slice.contains("nextOwner"))
            text << " moving to " << slice.value("nextOwner", "");
        text << '\n';
    }
    return text.str();
}

/// Reads the assignment from the store's records.
Result<Json> assignmentFromStore(StoreSession &store)
{
    const Result<StoreChanges> objects = store.list("placement/");
    if (!objects)
        return objects.error();
    Json cells = Json::array();
    for (const StoreObject &object : objects->objects) {
        Json record = Json::parse(object.value, nullptr, false);
        if (record.is_discarded())
            return Error{ErrorCode::ParseFailed, object.path + " in the store is not JSON", {}};
        cells.push_back({{"path", object.path},
                         {"version", object.version.value},
                         {"record", std::move(record)}});
    }
    return Json{{"cells", cells}};
}

std::string recordText(const Json &cell)
{
    return cell.value("path", "") + " version " + std::to_string(cell.value("version", 0U)) + ": "
        + cell.value("record", Json()).dump() + '\n';
}

} // namespace

CommandOutput runStatus(CommandContext &context)
{
    if (context.options.admins.empty() && context.store == nullptr)
        return usageFailure("status needs --store URL or --admin URL");
    const Result<std::vector<InstanceVersion>> instances = instanceVersions(context);
    if (!instances)
        return failure(instances.error());
    CommandOutput output;
    output.json["instances"] = Json::array();
    for (const InstanceVersion &instance : *instances) {
        output.json["instances"].push_back({{"instance", instance.name},
                                            {"settingsVersion", instance.settingsVersion.value},
                                            {"leaving", instance.leaving},
                                            {"answered", instance.answered}});
        output.text += instance.name + ": "
            + (instance.answered
                   ? "settings version " + std::to_string(instance.settingsVersion.value)
                   : std::string("no answer"))
            + (instance.leaving ? ", leaving\n" : "\n");
    }
    if (context.store != nullptr) {
        const Result<StoredSettings> stored = readStored(*context.store);
        if (!stored)
            return failure(stored.error());
        output.json["storeVersion"] = stored->version.value;
        output.text += "store: settings version " + std::to_string(stored->version.value) + '\n';
    }
    const bool allAnswered = std::ranges::all_of(*instances, &InstanceVersion::answered);
    output.exitCode = allAnswered ? exitSuccess : exitNegative;
    return output;
}

CommandOutput runAssignment(CommandContext &context)
{
    const bool fromStore = context.options.admins.empty();
    if (fromStore && context.store == nullptr)
        return usageFailure("assignment needs --store URL or --admin URL");
    const Result<Json> json =
        fromStore ? assignmentFromStore(*context.store) : getJson(context, "/v1/assignment");
    if (!json)
        return failure(json.error());
    CommandOutput output;
    output.json = *json;
    for (const Json &cell : json->value("cells", Json::array()))
        output.text += fromStore ? recordText(cell) : cellText(cell);
    return output;
}

CommandOutput runExplain(CommandContext &context)
{
    if (context.options.service.empty() || context.options.key.empty())
        return usageFailure("explain needs --service S --key K");
    const Result<Json> json =
        getJson(context,
                "/v1/explain?service=" + percentEncode(context.options.service)
                    + "&key=" + percentEncode(context.options.key));
    if (!json)
        return failure(json.error());
    CommandOutput output;
    output.json = *json;
    output.text = "hash " + json->value("hash", "") + ", owner " + json->value("owner", "none")
        + ", " + json->value("state", "unowned") + '\n';
    for (const Json &reason : json->value("reasons", Json::array()))
        output.text += "  " + reason.get<std::string>() + '\n';
    return output;
}

CommandOutput runMove(CommandContext &context)
{
    const CtlOptions &options = context.options;
    if (options.service.empty() || options.to.empty()
        || (options.key.empty() == options.hash.empty()))
        return usageFailure("move needs --service S --to T and either --key K or --hash H");
    Json order{{"service", options.service}, {"to", options.to}};
    order[options.key.empty() ? "hash" : "key"] = options.key.empty() ? options.hash : options.key;
    Error last{ErrorCode::InvalidArgument, "move needs --admin URL", {}};
    for (const std::string &url : options.admins) {
        const Result<HostPort> peer = parseHostPort(url);
        if (!peer)
            return failure(peer.error());
        const HttpResult result =
            context.callAdmin(*peer, HttpCall{"POST", "/v1/moves", {}, order.dump(), adminTimeout});
        const auto *answer = std::get_if<HttpAnswer>(&result);
        const Result<Json> json = answer != nullptr
            ? readAnswer(*answer)
            : Result<Json>(Error{ErrorCode::Unavailable, std::get<HttpFailure>(result).text, {}});
        if (json) {
            CommandOutput output;
            output.json = *json;
            output.text = "requested the move from " + url + '\n';
            return output;
        }
        last = json.error();
        last.text = url + ": " + last.text;
    }
    return failure(last);
}

} // namespace yuccaspan::impl

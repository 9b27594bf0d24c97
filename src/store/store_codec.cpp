#include "store/store_codec.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>

namespace yuccaspan::impl {

namespace {

using Json = nlohmann::json;

constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 412;
constexpr unsigned statusTooLong = 413;
constexpr unsigned statusTooMany = 429;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned firstServerError = 500;

Error unavailable(std::string text)
{
    return {ErrorCode::Unavailable, std::move(text), {}};
}

/// The answer, or Unavailable.
Result<HttpAnswer> answered(const HttpResult &result)
{
    if (const auto *answer = std::get_if<HttpAnswer>(&result))
        return *answer;
    return unavailable(std::get<HttpFailure>(result).text);
}

Error unexpectedStatus(const HttpAnswer &answer)
{
    return unavailable("status " + std::to_string(answer.status));
}

/// The number in `"<number>"`.
std::optional<ObjectVersion> versionOf(std::string_view etag)
{
    if (etag.size() < 3 || etag.front() != '"' || etag.back() != '"')
        return std::nullopt;
    ObjectVersion version;
    const char *end = etag.data() + etag.size() - 1;
    const auto [stop, failure] = std::from_chars(etag.data() + 1, end, version.value);
    if (failure != std::errc() || stop != end)
        return std::nullopt;
    return version;
}

/// Reads a JSON body by a function that may throw; a body that does not fit is Unavailable.
template <typename T, typename Read>
Result<T> readBody(const HttpResult &result, Read read)
{
    const Result<HttpAnswer> answer = answered(result);
    if (!answer)
        return answer.error();
    if (answer->status != statusOk)
        return unexpectedStatus(*answer);
    try {
        return read(Json::parse(answer->body));
    } catch (const nlohmann::json::exception &) {
        return unavailable("the answer of the store does not fit its description");
    }
}

StoreObject objectFrom(const Json &json)
{
    StoreObject object;
    object.path = json.at("path").get<std::string>();
    object.version = ObjectVersion{json.at("version").get<std::uint64_t>()};
    object.value = json.value("value", std::string());
    return object;
}

ListedInstance instanceFrom(const Json &json)
{
    ListedInstance instance;
    instance.id = json.at("id").get<std::string>();
    instance.role = json.at("role").get<std::string>();
    instance.zone = ZoneId(json.at("zone").get<std::string>());
    instance.address = json.at("address").get<std::string>();
    instance.leaving = json.value("leaving", false);
    return instance;
}

/// The error of an update that was answered without success.
Error refusedWrite(const HttpAnswer &answer)
{
    switch (answer.status) {
    case statusConflict: {
        const std::optional<ObjectVersion> present = versionOf(answer.etag);
        const std::string text = present
            ? "the object has version " + std::to_string(present->value)
            : "the object does not exist";
        return {ErrorCode::Conflict, text, {}};
    }
    case statusTooLong:
        return {ErrorCode::LimitExceeded, "the value is too long", {}};
    case statusTooMany:
    case statusUnavailable:
        return unexpectedStatus(answer);
    default:
        break;
    }
    const bool refused = answer.status >= 400 && answer.status < firstServerError;
    return {refused ? ErrorCode::Internal : ErrorCode::UnknownResult,
            "status " + std::to_string(answer.status),
            {}};
}

} // namespace

Result<StoreObject> readObject(const std::string &path, const HttpResult &result)
{
    Result<HttpAnswer> answer = answered(result);
    if (!answer)
        return answer.error();
    if (answer->status == statusNotFound)
        return Error{ErrorCode::NotFound, "no object " + path, {}};
    if (answer->status != statusOk)
        return unexpectedStatus(*answer);
    const std::optional<ObjectVersion> version = versionOf(answer->etag);
    if (!version)
        return unavailable("the answer has no version");
    return StoreObject{path, *version, std::move(answer->body)};
}

Result<ObjectVersion> readWritten(const HttpResult &result)
{
    if (const auto *failure = std::get_if<HttpFailure>(&result)) {
        const ErrorCode code = failure->sent ? ErrorCode::UnknownResult : ErrorCode::Unavailable;
        return Error{code, failure->text, {}};
    }
    const auto &answer = std::get<HttpAnswer>(result);
    if (answer.status != statusOk)
        return refusedWrite(answer);
    const std::optional<ObjectVersion> version = versionOf(answer.etag);
    if (!version)
        return Error{ErrorCode::UnknownResult, "the answer has no version", {}};
    return *version;
}

Result<StoreChanges> readChanges(const HttpResult &result)
{
    return readBody<StoreChanges>(result, [](const Json &json) {
        StoreChanges changes;
        changes.revision = json.at("revision").get<std::uint64_t>();
        changes.complete = json.at("complete").get<bool>();
        for (const Json &object : json.at("objects"))
            changes.objects.push_back(objectFrom(object));
        return changes;
    });
}

Result<std::vector<ListedInstance>> readInstances(const HttpResult &result)
{
    return readBody<std::vector<ListedInstance>>(result, [](const Json &json) {
        std::vector<ListedInstance> instances;
        for (const Json &instance : json.at("instances"))
            instances.push_back(instanceFrom(instance));
        return instances;
    });
}

} // namespace yuccaspan::impl

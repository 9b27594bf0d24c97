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
constexpr unsigned statusContentTooLarge = 413;
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned firstServerError = 500;

Error unavailable(std::string text)
{
    return {ErrorCode::Unavailable, std::move(text), {}};
}

/// The HTTP response, or Unavailable if there was none.
Result<HttpAnswer> responseOrError(const HttpResult &result)
{
    if (const auto *answer = std::get_if<HttpAnswer>(&result))
        return *answer;
    return unavailable(std::get<HttpFailure>(result).text);
}

Error unexpectedStatus(const HttpAnswer &answer)
{
    return unavailable("store answered with HTTP status " + std::to_string(answer.status));
}

/// Parses an ETag of the form `"<version>"`.
std::optional<ObjectVersion> parseVersion(std::string_view etag)
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

/// Decodes a JSON body. Returns Unavailable if `read` throws a JSON exception.
template <typename T, typename Read>
Result<T> readBody(const HttpResult &result, Read read)
{
    const Result<HttpAnswer> answer = responseOrError(result);
    if (!answer)
        return answer.error();
    if (answer->status != statusOk)
        return unexpectedStatus(*answer);
    try {
        return read(Json::parse(answer->body));
    } catch (const nlohmann::json::exception &) {
        return unavailable("the store's response has an unexpected format");
    }
}

StoreObject parseObject(const Json &json)
{
    StoreObject object;
    object.path = json.at("path").get<std::string>();
    object.version = ObjectVersion{json.at("version").get<std::uint64_t>()};
    object.value = json.value("value", std::string());
    return object;
}

ListedInstance parseInstance(const Json &json)
{
    ListedInstance instance;
    instance.id = json.at("id").get<std::string>();
    instance.role = json.at("role").get<std::string>();
    instance.zone = ZoneId(json.at("zone").get<std::string>());
    instance.address = json.at("address").get<std::string>();
    instance.leaving = json.value("leaving", false);
    return instance;
}

/// The error for an update whose response status is not 200.
Error writeError(const HttpAnswer &answer)
{
    switch (answer.status) {
    case statusConflict: {
        const std::optional<ObjectVersion> actual = parseVersion(answer.etag);
        const std::string text = actual ? "the object has version " + std::to_string(actual->value)
                                        : "the object does not exist";
        return {ErrorCode::Conflict, text, {}};
    }
    case statusContentTooLarge:
        return {ErrorCode::LimitExceeded, "the value exceeds the store's size limit", {}};
    case statusTooManyRequests:
    case statusUnavailable:
        return unexpectedStatus(answer);
    default:
        break;
    }
    const bool isClientError = answer.status >= 400 && answer.status < firstServerError;
    return {isClientError ? ErrorCode::Internal : ErrorCode::UnknownResult,
            "store answered with HTTP status " + std::to_string(answer.status),
            {}};
}

} // namespace

Result<StoreObject> readObject(const std::string &path, const HttpResult &result)
{
    Result<HttpAnswer> answer = responseOrError(result);
    if (!answer)
        return answer.error();
    if (answer->status == statusNotFound)
        return Error{ErrorCode::NotFound, "no such object: " + path, {}};
    if (answer->status != statusOk)
        return unexpectedStatus(*answer);
    const std::optional<ObjectVersion> version = parseVersion(answer->etag);
    if (!version)
        return unavailable("the store's response has no valid ETag");
    return StoreObject{path, *version, std::move(answer->body)};
}

Result<ObjectVersion> readPutResult(const HttpResult &result)
{
    if (const auto *failure = std::get_if<HttpFailure>(&result)) {
        const ErrorCode code = failure->sent ? ErrorCode::UnknownResult : ErrorCode::Unavailable;
        return Error{code, failure->text, {}};
    }
    const auto &answer = std::get<HttpAnswer>(result);
    if (answer.status != statusOk)
        return writeError(answer);
    const std::optional<ObjectVersion> version = parseVersion(answer.etag);
    if (!version)
        return Error{ErrorCode::UnknownResult, "the store's response has no valid ETag", {}};
    return *version;
}

Result<StoreChanges> readChanges(const HttpResult &result)
{
    return readBody<StoreChanges>(result, [](const Json &json) {
        StoreChanges changes;
        changes.revision = json.at("revision").get<std::uint64_t>();
        changes.complete = json.at("complete").get<bool>();
        for (const Json &object : json.at("objects"))
            changes.objects.push_back(parseObject(object));
        return changes;
    });
}

Result<std::vector<ListedInstance>> readInstances(const HttpResult &result)
{
    return readBody<std::vector<ListedInstance>>(result, [](const Json &json) {
        std::vector<ListedInstance> instances;
        for (const Json &instance : json.at("instances"))
            instances.push_back(parseInstance(instance));
        return instances;
    });
}

} // namespace yuccaspan::impl

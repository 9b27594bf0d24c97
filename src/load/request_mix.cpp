#include "load/request_mix.hpp"

#include <nlohmann/json.hpp>

namespace yuccaspan::load {

namespace {

using Json = nlohmann::json;

Error schemaError(const std::string &pointer, const std::string &text)
{
    return {ErrorCode::SchemaViolation, text, {"", pointer, 0, 0}};
}

Status readText(const Json &object, const char *name, const std::string &pointer, std::string &text)
{
    const auto found = object.find(name);
    if (found == object.end())
        return ok();
    if (!found->is_string())
        return schemaError(pointer + '/' + name, "expected a string");
    text = found->get<std::string>();
    return ok();
}

Status readNumber(const Json &object, const char *name, const std::string &pointer, double &number)
{
    const auto found = object.find(name);
    if (found == object.end())
        return ok();
    if (!found->is_number() || found->get<double>() < 0)
        return schemaError(pointer + '/' + name, "expected a number of at least 0");
    number = found->get<double>();
    return ok();
}

Status readHeaders(const Json &object, const std::string &pointer, RequestKind &kind)
{
    const auto found = object.find("headers");
    if (found == object.end())
        return ok();
    const std::string prefix = pointer + "/headers";
    if (!found->is_object())
        return schemaError(prefix, "expected an object");
    for (const auto &[name, value] : found->items()) {
        if (!value.is_string())
            return schemaError(std::string(prefix).append(1, '/').append(name),
                               "expected a string");
        kind.headers.emplace_back(name, value.get<std::string>());
    }
    return ok();
}

Status readTexts(const Json &object, const std::string &pointer, RequestKind &kind)
{
    const std::array<std::pair<const char *, std::string *>, 4> fields{{
        {"kind", &kind.name},
        {"method", &kind.method},
        {"path", &kind.path},
        {"keyHeader", &kind.keyHeader},
    }};
    for (const auto &[name, text] : fields) {
        if (auto status = readText(object, name, pointer, *text); !status)
            return status;
    }
    if (kind.name.empty() || !kind.path.starts_with('/'))
        return schemaError(pointer, "expected a \"kind\" and a \"path\" that begins with /");
    return readHeaders(object, pointer, kind);
}

Result<RequestKind> readKind(const Json &object, const std::string &pointer)
{
    if (!object.is_object())
        return schemaError(pointer, "expected an object");
    RequestKind kind;
    if (auto status = readTexts(object, pointer, kind); !status)
        return status.error();
    double bodyBytes = 0;
    double deadlineMs = 0;
    const std::array<std::pair<const char *, double *>, 4> fields{{
        {"worth", &kind.worth},
        {"share", &kind.share},
        {"bodyBytes", &bodyBytes},
        {"deadlineMs", &deadlineMs},
    }};
    for (const auto &[name, number] : fields) {
        if (auto status = readNumber(object, name, pointer, *number); !status)
            return status.error();
    }
    kind.bodyBytes = static_cast<std::size_t>(bodyBytes);
    kind.deadline = std::chrono::milliseconds(static_cast<std::int64_t>(deadlineMs));
    return kind;
}

} // namespace

Result<RequestMix> parseRequestMix(std::string_view text)
{
    const Json document = Json::parse(text, nullptr, false);
    if (document.is_discarded())
        return Error{ErrorCode::ParseFailed, "the mix is not JSON", {}};
    if (!document.is_object() || !document.contains("kinds") || !document["kinds"].is_array())
        return schemaError("/kinds", "expected an array");
    RequestMix mix;
    if (auto status = readText(document, "keyFormat", "", mix.keyFormat); !status)
        return status.error();
    double shares = 0;
    for (const Json &item : document["kinds"]) {
        auto kind = readKind(item, "/kinds/" + std::to_string(mix.kinds.size()));
        if (!kind)
            return kind.error();
        shares += kind->share;
        mix.kinds.push_back(std::move(*kind));
    }
    if (shares <= 0)
        return schemaError("/kinds", "expected at least one kind with a share above 0");
    return mix;
}

std::string replaceMark(std::string_view text, std::string_view mark, std::string_view value)
{
    std::string replaced(text);
    if (const std::size_t at = replaced.find(mark); at != std::string::npos)
        replaced.replace(at, mark.size(), value);
    return replaced;
}

} // namespace yuccaspan::load

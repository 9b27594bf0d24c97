#include "admin/admin_routes.hpp"

#include "admin/admin_json.hpp"

#include <array>
#include <charconv>

namespace yuccaspan::impl {

namespace {

AdminAnswer jsonAnswer(const nlohmann::json &json, unsigned status = 200)
{
    AdminAnswer answer;
    answer.status = status;
    answer.body = json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
    return answer;
}

/// HTTP status code for an error.
unsigned statusOf(ErrorCode code)
{
    static constexpr std::array<std::pair<ErrorCode, unsigned>, 9> table{{
        {ErrorCode::InvalidArgument, 400},
        {ErrorCode::ParseFailed, 400},
        {ErrorCode::SchemaViolation, 400},
        {ErrorCode::UnsupportedSchema, 400},
        {ErrorCode::NotFound, 404},
        {ErrorCode::Conflict, 409},
        {ErrorCode::LimitExceeded, 429},
        {ErrorCode::Unavailable, 503},
        {ErrorCode::Timeout, 503},
    }};
    for (const auto &[candidate, status] : table) {
        if (candidate == code)
            return status;
    }
    return 500;
}

AdminAnswer errorAnswer(const Error &error)
{
    return jsonAnswer(errorJson(error), statusOf(error.code));
}

/// Calls a function with the settings in force; answers with an error if there are none yet.
template <typename Function>
AdminAnswer withSettings(AdminSource &source, Function function)
{
    const std::shared_ptr<const Settings> settings = source.settings();
    if (!settings)
        return errorAnswer({ErrorCode::Unavailable, "no settings are in force yet", {}});
    return function(*settings);
}

AdminAnswer serveStatus(AdminSource &source, const AdminRequest & /*request*/)
{
    return jsonAnswer(statusJson(source.status()));
}

AdminAnswer serveServices(AdminSource &source, const AdminRequest & /*request*/)
{
    return withSettings(
        source, [](const Settings &settings) { return jsonAnswer(servicesJson(settings)); });
}

AdminAnswer serveTargets(AdminSource &source, const AdminRequest & /*request*/)
{
    return withSettings(source, [&](const Settings &settings) {
        return jsonAnswer(targetsJson(settings, source.targets()));
    });
}

AdminAnswer serveZones(AdminSource &source, const AdminRequest & /*request*/)
{
    return withSettings(source,
                        [](const Settings &settings) { return jsonAnswer(zonesJson(settings)); });
}

AdminAnswer serveAssignment(AdminSource &source, const AdminRequest & /*request*/)
{
    return jsonAnswer(assignmentJson(source.cells()));
}

AdminAnswer serveMoves(AdminSource &source, const AdminRequest & /*request*/)
{
    return jsonAnswer(movesJson(source.cells()));
}

AdminAnswer serveExplain(AdminSource &source, const AdminRequest &request)
{
    const ServiceName service(queryValue(request.target, "service"));
    const std::string key = queryValue(request.target, "key");
    if (service.empty() || key.empty())
        return errorAnswer({ErrorCode::InvalidArgument, "expected ?service=<name>&key=<key>", {}});
    const Result<Explanation> explanation = source.explain(service, key);
    if (!explanation)
        return errorAnswer(explanation.error());
    return withSettings(source, [&](const Settings &settings) {
        return jsonAnswer(explainJson(settings, service, key, *explanation));
    });
}

AdminAnswer serveMoveOrder(AdminSource &source, const AdminRequest &request)
{
    const Result<MoveOrder> order = readMoveOrder(request.body);
    if (!order)
        return errorAnswer(order.error());
    const Status accepted = source.requestMove(*order);
    if (!accepted)
        return errorAnswer(accepted.error());
    return jsonAnswer({{"accepted", true}, {"hash", keyHashText(order->hash)}}, 202);
}

AdminAnswer serveMetrics(AdminSource &source, const AdminRequest & /*request*/)
{
    AdminAnswer answer;
    answer.contentType = "text/plain; version=0.0.4";
    answer.body = source.metrics();
    return answer;
}

/// Answers a probe with "ok", or with status 503 and the reason.
AdminAnswer probeAnswer(const Status &status)
{
    AdminAnswer answer;
    answer.status = status ? 200 : 503;
    answer.contentType = "text/plain";
    answer.body = status ? "ok\n" : status.error().text + '\n';
    return answer;
}

AdminAnswer serveHealth(AdminSource &source, const AdminRequest & /*request*/)
{
    return probeAnswer(source.health());
}

AdminAnswer serveReadiness(AdminSource &source, const AdminRequest & /*request*/)
{
    return probeAnswer(source.readiness());
}

constexpr std::array<AdminEndpoint, 11> endpoints{{
    {"GET", "/v1/status", serveStatus},
    {"GET", "/v1/services", serveServices},
    {"GET", "/v1/targets", serveTargets},
    {"GET", "/v1/zones", serveZones},
    {"GET", "/v1/assignment", serveAssignment},
    {"GET", "/v1/moves", serveMoves},
    {"POST", "/v1/moves", serveMoveOrder},
    {"GET", "/v1/explain", serveExplain},
    {"GET", "/metrics", serveMetrics},
    {"GET", "/healthz", serveHealth},
    {"GET", "/readyz", serveReadiness},
}};

/// Decodes percent-encoding and plus signs; invalid sequences stay unchanged.
std::string decodeQuery(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned byte = 0;
        const char *digits = text.data() + index + 1;
        const bool isEncoded = text[index] == '%' && index + 2 < text.size()
            && std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2;
        if (isEncoded)
            index += 2;
        const char plain = text[index] == '+' ? ' ' : text[index];
        decoded += isEncoded ? static_cast<char>(byte) : plain;
    }
    return decoded;
}

} // namespace

std::span<const AdminEndpoint> adminEndpoints() noexcept
{
    return endpoints;
}

std::string queryValue(std::string_view target, std::string_view name)
{
    const std::size_t mark = target.find('?');
    std::string_view rest = mark == std::string_view::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name && equals < pair.size())
            return decodeQuery(pair.substr(equals + 1));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

AdminAnswer answerAdmin(AdminSource &source, const AdminRequest &request)
{
    const std::string_view path =
        std::string_view(request.target).substr(0, request.target.find('?'));
    std::string allowed;
    for (const AdminEndpoint &endpoint : endpoints) {
        if (endpoint.path != path)
            continue;
        if (endpoint.method == request.method)
            return endpoint.serve(source, request);
        allowed += (allowed.empty() ? "" : ", ") + std::string(endpoint.method);
    }
    if (allowed.empty())
        return errorAnswer({ErrorCode::NotFound, "unknown endpoint", {}});
    AdminAnswer answer = jsonAnswer(
        errorJson({ErrorCode::InvalidArgument, "method not allowed: expected " + allowed, {}}),
        405);
    answer.allow = allowed;
    return answer;
}

} // namespace yuccaspan::impl

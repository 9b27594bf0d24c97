#include "http/classify.hpp"

#include <array>
#include <charconv>
#include <utility>

namespace yuccaspan::impl {

namespace {

/// A request target split at the question mark.
struct SplitTarget
{
    std::string_view path;
    std::string_view query;
};

SplitTarget splitTarget(std::string_view target) noexcept
{
    const std::size_t mark = target.find('?');
    if (mark == std::string_view::npos)
        return {target, {}};
    return {target.substr(0, mark), target.substr(mark + 1)};
}

/// Removes the text up to a separator from the front and returns it.
std::string_view consumeUntil(std::string_view &text, char separator) noexcept
{
    const std::size_t end = text.find(separator);
    const std::string_view part = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    return part;
}

/// The parts of a request that can contain the key.
struct KeyInput
{
    const RequestRule &rule;
    const RequestHead &head;
    std::string_view path;
    std::string_view query;
};

std::optional<std::string> keyFromHeader(const KeyInput &input)
{
    return std::string(input.head.header(input.rule.keyName));
}

std::optional<std::string> keyFromPath(const KeyInput &input)
{
    std::string_view rest = input.path;
    if (rest.starts_with('/'))
        rest.remove_prefix(1);
    for (std::uint32_t index = 0; index < input.rule.keySegment; ++index)
        consumeUntil(rest, '/');
    return percentDecode(consumeUntil(rest, '/'));
}

std::optional<std::string> keyFromQuery(const KeyInput &input)
{
    std::string_view rest = input.query;
    while (!rest.empty()) {
        std::string_view value = consumeUntil(rest, '&');
        if (consumeUntil(value, '=') == input.rule.keyName)
            return percentDecode(value);
    }
    return std::string();
}

using KeyFunction = std::optional<std::string> (*)(const KeyInput &);

constexpr std::array<std::pair<KeySource, KeyFunction>, 3> keyFunctions{{
    {KeySource::Header, keyFromHeader},
    {KeySource::PathSegment, keyFromPath},
    {KeySource::Query, keyFromQuery},
}};

std::optional<std::string> findKey(const KeyInput &input)
{
    for (const auto &[source, function] : keyFunctions) {
        if (source == input.rule.keySource)
            return function(input);
    }
    return std::string();
}

} // namespace

std::optional<std::string> percentDecode(std::string_view text)
{
    constexpr std::size_t escapeLength = 3;
    constexpr int hexBase = 16;
    std::string result;
    result.reserve(text.size());
    while (!text.empty()) {
        if (text.front() != '%') {
            result.push_back(text.front());
            text.remove_prefix(1);
            continue;
        }
        if (text.size() < escapeLength)
            return std::nullopt;
        unsigned char byte = 0;
        const char *end = text.data() + escapeLength;
        const auto parsed = std::from_chars(text.data() + 1, end, byte, hexBase);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            return std::nullopt;
        result.push_back(static_cast<char>(byte));
        text.remove_prefix(escapeLength);
    }
    return result;
}

std::variant<Classified, Reason> classify(const Settings &settings, const RequestHead &head)
{
    const SplitTarget target = splitTarget(head.target);
    if (!target.path.starts_with('/'))
        return Reason::BadRequest;
    const ServiceSettings *service = settings.findServiceByPath(target.path);
    if (service == nullptr)
        return Reason::NoRule;
    const std::string_view path = target.path.substr(service->pathPrefix.size());
    const RequestRule *rule = service->findRule(head.method, path);
    if (rule == nullptr)
        return Reason::NoRule;
    std::optional<std::string> key = findKey({*rule, head, path, target.query});
    if (!key)
        return Reason::BadRequest;
    if (key->empty())
        return Reason::KeyMissing;
    const KeyHash hash = hashKey(*key);
    return Classified{service, rule, std::move(*key), hash};
}

} // namespace yuccaspan::impl

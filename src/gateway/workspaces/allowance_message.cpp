#include "gateway/workspaces/allowance_message.hpp"

#include "gateway/datagram_key.hpp"

#include <nlohmann/json.hpp>

namespace yuccaspan::gateway {

namespace {

using nlohmann::json;

/// Also false for what is not a number.
bool allParts(const AllowanceMessage::Parts &parts, double most) noexcept
{
    for (const auto &[workspace, part] : parts) {
        if (!(part >= 0 && part <= most))
            return false;
    }
    return true;
}

} // namespace

bool isAllowanceMessage(const std::vector<std::uint8_t> &bytes) noexcept
{
    return startsWithKey(bytes, 'a');
}

std::vector<std::uint8_t> encodeAllowanceMessage(const AllowanceMessage &message)
{
    return json::to_cbor(json{{"a", message.round},
                              {"f", message.from.name},
                              {"s", message.from.start},
                              {"t", message.sentAt.time_since_epoch().count()},
                              {"es", message.echoStart},
                              {"e", message.echo.time_since_epoch().count()},
                              {"d", message.span.count()},
                              {"n", message.needs},
                              {"p", message.parts}});
}

Result<AllowanceMessage> decodeAllowanceMessage(const std::vector<std::uint8_t> &bytes)
{
    try {
        const json root = json::from_cbor(bytes);
        AllowanceMessage message;
        message.round = root.at("a").get<bool>();
        message.from = {root.at("f").get<std::string>(), root.at("s").get<std::uint64_t>()};
        message.sentAt = TimePoint(Duration(root.at("t").get<Duration::rep>()));
        message.echoStart = root.at("es").get<std::uint64_t>();
        message.echo = TimePoint(Duration(root.at("e").get<Duration::rep>()));
        message.span = Duration(root.at("d").get<Duration::rep>());
        message.needs = root.at("n").get<AllowanceMessage::Parts>();
        message.parts = root.at("p").get<AllowanceMessage::Parts>();
        // All instances together may lack several times the whole.
        constexpr double mostNeed = 1e6;
        if (!allParts(message.parts, 1) || !allParts(message.needs, mostNeed))
            return Error{ErrorCode::SchemaViolation, "part out of range", {}};
        return message;
    } catch (const json::exception &failure) {
        return Error{ErrorCode::ParseFailed, failure.what(), {}};
    }
}

} // namespace yuccaspan::gateway

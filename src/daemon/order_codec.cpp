#include "daemon/order_codec.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace yuccaspan::impl {

namespace {

using Json = nlohmann::json;

constexpr int hexBase = 16;

KeyHash parseHex(const std::string &text)
{
    KeyHash hash = 0;
    std::from_chars(text.data(), text.data() + text.size(), hash, hexBase);
    return hash;
}

Json cellJson(const CellId &cell)
{
    return {{"service", cell.service.text()}, {"zone", cell.zone.text()}, {"index", cell.index}};
}

Json sliceJson(const GrantedSlice &slice)
{
    return {{"first", keyHashText(slice.range.first)},
            {"last", keyHashText(slice.range.last)},
            {"token", slice.token.value}};
}

EncodedOrder encode(const GrantOrder &order)
{
    Json body = cellJson(order.cell);
    body["term"] = order.term.value;
    body["sequence"] = order.sequence;
    body["startId"] = order.startId;
    body["validUntilUs"] = order.validUntil.count();
    body["setVersion"] = order.setVersion;
    body["full"] = order.full;
    body["slices"] = Json::array();
    for (const GrantedSlice &slice : order.slices)
        body["slices"].push_back(sliceJson(slice));
    return {"/_yuccaspan/grant", body.dump()};
}

EncodedOrder encode(const RevokeOrder &order)
{
    Json body = cellJson(order.cell);
    body["term"] = order.term.value;
    body["sequence"] = order.sequence;
    body["startId"] = order.startId;
    body["first"] = keyHashText(order.range.first);
    body["last"] = keyHashText(order.range.last);
    body["token"] = order.token.value;
    return {"/_yuccaspan/revoke", body.dump()};
}

EncodedOrder encode(const ProbeOrder &order)
{
    return {"/_yuccaspan/probe", cellJson(order.cell).dump()};
}

TargetAnswer readAnswer(const Json &json)
{
    TargetAnswer answer;
    const auto verdict = fromString<TargetVerdict>(json.at("verdict").get<std::string>());
    const auto state = fromString<TargetState>(json.value("state", std::string("warm")));
    answer.verdict = verdict.value_or(TargetVerdict::Refused);
    answer.startId = json.at("startId").get<std::string>();
    answer.clock = Duration(json.at("clockUs").get<std::int64_t>());
    answer.state = state.value_or(TargetState::Warm);
    answer.knownTerm = {json.value("knownTerm", std::uint64_t{0})};
    for (const Json &slice : json.value("holds", Json::array())) {
        const KeyRange range{parseHex(slice.at("first").get<std::string>()),
                             parseHex(slice.at("last").get<std::string>())};
        answer.holds.push_back({range, {slice.at("token").get<std::uint64_t>()}});
    }
    return answer;
}

} // namespace

EncodedOrder encodeOrder(const TargetOrder &order)
{
    return std::visit([](const auto &kind) { return encode(kind); }, order);
}

Result<TargetAnswer> decodeAnswer(std::string_view text)
{
    try {
        return readAnswer(Json::parse(text));
    } catch (const Json::parse_error &failure) {
        return Error{ErrorCode::ParseFailed, failure.what(), {}};
    } catch (const Json::exception &failure) {
        return Error{ErrorCode::SchemaViolation, failure.what(), {}};
    }
}

} // namespace yuccaspan::impl

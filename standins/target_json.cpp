#include "target_json.hpp"

namespace yuccaspan::standins {

namespace {

bool readCell(const Json &object, CellId &cell)
{
    std::string service;
    std::string zone;
    std::uint64_t index = 0;
    if (!readField(object, "service", service) || !readField(object, "zone", zone)
        || !readField(object, "index", index) || service.empty() || index > UINT32_MAX)
        return false;
    cell = {ServiceName(service), ZoneId(zone), static_cast<std::uint32_t>(index)};
    return true;
}

bool readSlice(const Json &object, KeyRange &range, FencingToken &token)
{
    std::string first;
    std::string last;
    if (!object.is_object() || !readField(object, "first", first)
        || !readField(object, "last", last) || !readField(object, "token", token.value))
        return false;
    const auto firstHash = parseHash(first);
    const auto lastHash = parseHash(last);
    if (!firstHash || !lastHash || *firstHash > *lastHash)
        return false;
    range = {*firstHash, *lastHash};
    return true;
}

bool readSlices(const Json &object, std::vector<GrantedSlice> &slices)
{
    const auto found = object.find("slices");
    if (found == object.end())
        return true;
    if (!found->is_array())
        return false;
    for (const Json &item : *found) {
        GrantedSlice slice;
        if (!readSlice(item, slice.range, slice.token))
            return false;
        slices.push_back(slice);
    }
    return true;
}

} // namespace

std::optional<GrantOrder> parseGrant(const std::string &body)
{
    const auto object = parseObject(body);
    GrantOrder order;
    std::uint64_t validUntilUs = 0;
    if (!object || !readCell(*object, order.cell) || !readField(*object, "term", order.term.value)
        || !readField(*object, "sequence", order.sequence)
        || !readField(*object, "startId", order.startId)
        || !readField(*object, "validUntilUs", validUntilUs)
        || !readField(*object, "setVersion", order.setVersion)
        || !readField(*object, "full", order.full) || !readSlices(*object, order.slices))
        return std::nullopt;
    order.validUntil = Duration(static_cast<Duration::rep>(validUntilUs));
    return order;
}

std::optional<RevokeOrder> parseRevoke(const std::string &body)
{
    const auto object = parseObject(body);
    RevokeOrder order;
    if (!object || !readCell(*object, order.cell) || !readField(*object, "term", order.term.value)
        || !readField(*object, "sequence", order.sequence)
        || !readField(*object, "startId", order.startId)
        || !readSlice(*object, order.range, order.token))
        return std::nullopt;
    return order;
}

std::optional<ProbeOrder> parseProbe(const std::string &body)
{
    const auto object = parseObject(body);
    ProbeOrder order;
    if (!object || !readCell(*object, order.cell))
        return std::nullopt;
    return order;
}

Json slicesJson(const std::vector<GrantedSlice> &slices)
{
    Json rows = Json::array();
    for (const GrantedSlice &slice : slices)
        rows.push_back({{"first", keyHashText(slice.range.first)},
                        {"last", keyHashText(slice.range.last)},
                        {"token", slice.token.value}});
    return rows;
}

Json holdsJson(const std::vector<HoldInterval> &holds)
{
    Json rows = Json::array();
    for (const HoldInterval &hold : holds)
        rows.push_back({{"service", hold.service.text()},
                        {"first", keyHashText(hold.range.first)},
                        {"last", keyHashText(hold.range.last)},
                        {"token", hold.token.value},
                        {"fromUs", hold.from.count()},
                        {"untilUs", hold.until.count()}});
    return rows;
}

Json summaryJson(const TargetModel &model)
{
    const TargetCounts &counts = model.counts();
    Json refused = Json::object();
    for (const auto &[refusal, name] : EnumNames<Refusal>::table)
        refused[std::string(name)] = counts.refused.at(static_cast<std::size_t>(refusal));
    return {{"id", model.options().id},        {"zone", model.options().zone},
            {"startId", model.startId()},      {"runCount", counts.runs},
            {"runTwice", counts.runTwice},     {"dropped", counts.dropped},
            {"maxRunning", counts.maxRunning}, {"coldOverload", counts.coldOverload},
            {"refused", std::move(refused)}};
}

Json runsJson(const TargetModel &model)
{
    Json rows = Json::array();
    for (const auto &[requestId, row] : model.ledger())
        rows.push_back({{"requestId", requestId},
                        {"service", row.service.text()},
                        {"key", keyHashText(row.hash)},
                        {"beganUs", row.began.time_since_epoch().count()},
                        {"token", row.token.value},
                        {"count", row.count}});
    return rows;
}

} // namespace yuccaspan::standins

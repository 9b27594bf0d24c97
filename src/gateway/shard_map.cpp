#include "gateway/shard_map.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <tuple>

namespace yuccaspan::gateway {

namespace {

using nlohmann::json;

json holderJson(const Holder &holder)
{
    return json::array({holder.target, holder.incarnation, holder.fence});
}

Holder holderOf(const json &value)
{
    return {value.at(0).get<std::string>(), value.at(1).get<std::int64_t>(),
            value.at(2).get<std::uint64_t>()};
}

} // namespace

json rangeJson(const ShardRange &range)
{
    json item{{"first", range.keys.first}, {"last", range.keys.last}};
    if (range.owner)
        item["owner"] = holderJson(*range.owner);
    if (range.next)
        item["next"] = holderJson(*range.next);
    return item;
}

ShardRange rangeOf(const json &value)
{
    ShardRange range;
    range.keys.first = value.at("first").get<std::uint32_t>();
    range.keys.last = value.at("last").get<std::uint32_t>();
    if (value.contains("owner"))
        range.owner = holderOf(value.at("owner"));
    if (value.contains("next"))
        range.next = holderOf(value.at("next"));
    return range;
}

bool isOlder(const ShardMap &first, const ShardMap &second) noexcept
{
    return std::tie(first.term, first.write) < std::tie(second.term, second.write);
}

bool coverAllKeys(const std::vector<ShardRange> &ranges) noexcept
{
    std::uint32_t expected = 0;
    for (const ShardRange &range : ranges) {
        const KeySpan &keys = range.keys;
        if (keys.first != expected || keys.last < keys.first || keys.last > lastKey)
            return false;
        expected = keys.last + 1;
    }
    return expected == lastKey + 1;
}

const ShardRange *ShardMap::find(std::uint32_t key) const noexcept
{
    const auto found = std::ranges::lower_bound(
        ranges, key, {}, [](const ShardRange &range) { return range.keys.last; });
    return found == ranges.end() ? nullptr : &*found;
}

std::string encodeShardMap(const ShardMap &map)
{
    json ranges = json::array();
    for (const ShardRange &range : map.ranges)
        ranges.push_back(rangeJson(range));
    const json root{{"service", map.service},     {"placer", map.placer},
                    {"term", map.term},           {"write", map.write},
                    {"lastFence", map.lastFence}, {"ranges", std::move(ranges)}};
    return root.dump();
}

Result<ShardMap> decodeShardMap(std::string_view text)
{
    try {
        const json root = json::parse(text);
        ShardMap map;
        map.service = root.at("service").get<std::string>();
        map.placer = root.at("placer").get<std::string>();
        map.term = root.at("term").get<std::uint64_t>();
        map.write = root.at("write").get<std::uint64_t>();
        map.lastFence = root.at("lastFence").get<std::uint64_t>();
        for (const json &item : root.at("ranges"))
            map.ranges.push_back(rangeOf(item));
        if (!map.ranges.empty() && !coverAllKeys(map.ranges))
            return Error{
                ErrorCode::SchemaViolation, "the ranges of the shard map have gaps or overlap", {}};
        return map;
    } catch (const json::exception &failure) {
        return Error{ErrorCode::ParseFailed, failure.what(), {}};
    }
}

} // namespace yuccaspan::gateway

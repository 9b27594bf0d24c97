#include "gateway/shard_delta.hpp"

#include "gateway/entry_json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace yuccaspan::gateway {

namespace {

using nlohmann::json;

/// Every instance has read an older target from the store; each is up to date within 1.5 s.
constexpr Duration newFor = std::chrono::seconds(4);

bool overlaps(const KeySpan &left, const KeySpan &right) noexcept
{
    return left.first <= right.last && right.first <= left.last;
}

} // namespace

ShardDelta shardDelta(const ShardMap &before, const ShardMap &after, StoreRevision revision)
{
    ShardDelta delta{after.service, after.placer, after.term, before.write,
                     after.write,   revision,     {},         {}};
    for (const ShardRange &range : after.ranges) {
        const ShardRange *known = before.find(range.keys.first);
        if (known == nullptr || *known != range)
            delta.changed.push_back(range);
    }
    return delta;
}

std::optional<ShardMap> applyDelta(const ShardMap &map, const ShardDelta &delta)
{
    if (map.service != delta.service || map.write != delta.before)
        return std::nullopt;
    ShardMap next = map;
    next.placer = delta.placer;
    next.term = delta.term;
    next.write = delta.write;
    std::erase_if(next.ranges, [&](const ShardRange &range) {
        return std::ranges::any_of(delta.changed, [&](const ShardRange &changed) {
            return overlaps(range.keys, changed.keys);
        });
    });
    next.ranges.insert(next.ranges.end(), delta.changed.begin(), delta.changed.end());
    std::ranges::sort(next.ranges, {}, [](const ShardRange &range) { return range.keys.first; });
    if (!coverAllKeys(next.ranges))
        return std::nullopt;
    return next;
}

void addNewTargets(ShardDelta &delta, const TargetDirectory &directory, TimePoint now)
{
    std::set<std::string> added;
    for (const ShardRange &range : delta.changed) {
        const std::optional<Holder> &holder = range.next ? range.next : range.owner;
        const Target *target = holder ? directory.find(holder->target) : nullptr;
        const bool isNew = target != nullptr && now - target->knownSince < newFor;
        if (!isNew || !added.insert(target->entry.id).second)
            continue;
        delta.targets.push_back(currentEntry(*target, now));
    }
}

std::vector<std::uint8_t> encodeShardDelta(const ShardDelta &delta)
{
    json targets = json::array();
    for (const TargetEntry &entry : delta.targets)
        targets.push_back(encodeEntry(entry));
    json ranges = json::array();
    for (const ShardRange &range : delta.changed)
        ranges.push_back(rangeJson(range));
    return json::to_cbor(json{{"d", delta.service},
                              {"placer", delta.placer},
                              {"term", delta.term},
                              {"before", delta.before},
                              {"write", delta.write},
                              {"revision", revisionJson(delta.revision)},
                              {"ranges", std::move(ranges)},
                              {"targets", std::move(targets)}});
}

Result<ShardDelta> decodeShardDelta(const std::vector<std::uint8_t> &bytes)
{
    try {
        const json root = json::from_cbor(bytes);
        ShardDelta delta;
        delta.service = root.at("d").get<std::string>();
        delta.placer = root.at("placer").get<std::string>();
        delta.term = root.at("term").get<std::uint64_t>();
        delta.before = root.at("before").get<std::uint64_t>();
        delta.write = root.at("write").get<std::uint64_t>();
        delta.revision = revisionOf(root.at("revision"));
        for (const json &item : root.at("ranges"))
            delta.changed.push_back(rangeOf(item));
        for (const json &item : root.at("targets"))
            delta.targets.push_back(decodeEntry(item));
        return delta;
    } catch (const json::exception &failure) {
        return Error{ErrorCode::ParseFailed, failure.what(), {}};
    }
}

} // namespace yuccaspan::gateway

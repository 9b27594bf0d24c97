#include "gateway/entry_json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace yuccaspan::gateway {

TargetEntry currentEntry(const Target &target, TimePoint now)
{
    TargetEntry entry = target.entry;
    entry.warmupLeft = std::max(target.coldUntil - now, Duration::zero());
    return entry;
}

nlohmann::json encodeEntry(const TargetEntry &entry)
{
    return {{"id", entry.id},
            {"incarnation", entry.incarnation},
            {"service", entry.service},
            {"address", entry.address},
            {"zone", entry.zone},
            {"slots", entry.slots},
            {"draining", entry.draining},
            {"coldUs", entry.warmupLeft.count()}};
}

TargetEntry decodeEntry(const nlohmann::json &value)
{
    TargetEntry entry;
    entry.id = value.at("id").get<std::string>();
    entry.incarnation = value.at("incarnation").get<std::int64_t>();
    entry.service = value.at("service").get<std::string>();
    entry.address = value.at("address").get<std::string>();
    entry.zone = value.at("zone").get<std::string>();
    entry.slots = value.at("slots").get<std::uint32_t>();
    entry.draining = value.at("draining").get<bool>();
    entry.warmupLeft = Duration(value.at("coldUs").get<Duration::rep>());
    return entry;
}

} // namespace yuccaspan::gateway

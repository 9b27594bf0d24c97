#include "gateway/store_revision.hpp"

#include <nlohmann/json.hpp>

namespace yuccaspan::gateway {

nlohmann::json revisionJson(const StoreRevision &revision)
{
    return nlohmann::json::array({revision.era, revision.number});
}

StoreRevision revisionOf(const nlohmann::json &value)
{
    return {value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>()};
}

} // namespace yuccaspan::gateway

#include "gateway/load_message.hpp"

#include "gateway/key_load.hpp"

#include <nlohmann/json.hpp>

#include <cmath>

namespace yuccaspan::gateway {

namespace {

using nlohmann::json;

/// Work is encoded in whole milliseconds, which take one to three bytes in CBOR.
constexpr double millisecondsPerSecond = 1000.0;
/// Ratios are encoded in hundredths.
constexpr double hundredthsPerUnit = 100.0;

} // namespace

std::vector<std::uint8_t> encodeLoadMessage(const LoadMessage &message)
{
    json work = json::object();
    for (const auto &[service, buckets] : message.work) {
        json row = json::array();
        for (const auto &[bucket, seconds] : buckets) {
            row.push_back(bucket);
            row.push_back(std::llround(seconds * millisecondsPerSecond));
        }
        work[service] = std::move(row);
    }
    json speeds = json::object();
    for (const auto &[target, speed] : message.speeds)
        speeds[target] = {std::llround(speed.ratioSum * hundredthsPerUnit), speed.answers};
    return json::to_cbor(json{{"i", message.instance},
                              {"w", std::move(work)},
                              {"s", std::move(speeds)},
                              {"l", message.leaving}});
}

Result<LoadMessage> decodeLoadMessage(const std::vector<std::uint8_t> &bytes)
{
    try {
        const json root = json::from_cbor(bytes);
        LoadMessage message;
        message.instance = root.at("i").get<std::string>();
        for (const auto &[service, row] : root.at("w").items()) {
            for (std::size_t index = 0; index + 1 < row.size(); index += 2) {
                const auto bucket = row.at(index).get<std::uint32_t>();
                if (bucket >= KeyLoad::buckets)
                    return Error{ErrorCode::SchemaViolation, "key bucket out of range", {}};
                message.addWork(service, bucket,
                                row.at(index + 1).get<double>() / millisecondsPerSecond);
            }
        }
        for (const auto &[target, speed] : root.at("s").items()) {
            message.speeds[target] = {speed.at(0).get<double>() / hundredthsPerUnit,
                                      speed.at(1).get<std::uint32_t>()};
        }
        // Instances of earlier versions do not send it.
        if (root.contains("l"))
            message.leaving = root.at("l").get<std::map<std::string, std::int64_t>>();
        return message;
    } catch (const json::exception &failure) {
        return Error{ErrorCode::ParseFailed, failure.what(), {}};
    }
}

} // namespace yuccaspan::gateway

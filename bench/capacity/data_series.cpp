#include "capacity/data_series.hpp"

#include "yuccaspan/settings_io.hpp"
#include "yuccaspan/yuccaspan.hpp"

#include <limits>
#include <memory>
#include <random>
#include <string>
#include <utility>

namespace yuccaspan::bench {

namespace {

constexpr int lookups = 200000;
constexpr int repetitions = 20;

KeyRange rangeOf(std::size_t index, std::size_t count)
{
    const KeyHash width = std::numeric_limits<KeyHash>::max() / count;
    const KeyHash first = width * index;
    const bool isLast = index + 1 == count;
    return {first, isLast ? std::numeric_limits<KeyHash>::max() : first + width - 1};
}

TargetId targetName(std::size_t index)
{
    return TargetId("target-" + std::to_string(index));
}

std::shared_ptr<CellRoutes> makeRoutes(std::size_t count)
{
    auto cell = std::make_shared<CellRoutes>();
    cell->cell = {ServiceName("service"), ZoneId("zone-a"), 0};
    for (std::size_t index = 0; index < count; ++index) {
        cell->routes.push_back(
            {rangeOf(index, count), targetName(index % 100), {index + 1}, RouteState::Open});
    }
    return cell;
}

CellRecord makeRecord(std::size_t count)
{
    CellRecord record;
    record.cell = {ServiceName("service"), ZoneId("zone-a"), 0};
    record.term = {7};
    record.placer = InstanceId("entry-a#1700000000000-12345");
    record.candidates.assign(5, record.placer);
    record.lastToken = {count};
    for (std::size_t index = 0; index < count; ++index) {
        record.slices.push_back({rangeOf(index, count),
                                 targetName(index % 100),
                                 {index + 1},
                                 SlicePhase::Settled,
                                 TargetId(),
                                 FencingToken()});
    }
    return record;
}

Heartbeat makeHeartbeat(std::size_t members)
{
    Heartbeat heartbeat;
    heartbeat.zone = ZoneId("zone-a");
    heartbeat.hears.assign(members, InstanceId("entry-a#1700000000000-12345"));
    return heartbeat;
}

Settings makeSettings(std::size_t targets)
{
    Settings settings;
    settings.zones = {{ZoneId("zone-a"), RegionId("region"), false, false}};
    ServiceSettings service;
    service.name = ServiceName("service");
    service.pathPrefix = "/service";
    RequestRule rule;
    rule.kind = "lookup";
    rule.keyName = "X-Key";
    service.rules = {rule};
    for (std::size_t index = 0; index < targets; ++index) {
        TargetSettings target;
        target.id = targetName(index);
        target.zone = ZoneId("zone-a");
        target.address = "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250);
        target.port = 8080;
        target.slots = 6;
        service.targets.push_back(std::move(target));
    }
    settings.services = {std::move(service)};
    return settings;
}

Series routeMemory()
{
    Series series{"memory of routes", "slices", "bytes", {}};
    for (const std::size_t count : {1000UL, 4000UL, 16000UL, 64000UL}) {
        const double before = heapBytes();
        const auto routes = makeRoutes(count);
        series.points.push_back({static_cast<double>(count), heapBytes() - before});
    }
    return series;
}

Series routeLookup()
{
    Series series{"one look-up of an owner", "slices", "microseconds", {}};
    for (const std::size_t count : {1000UL, 4000UL, 16000UL, 64000UL}) {
        const auto table = RouteTable().with(makeRoutes(count));
        const ServiceName service("service");
        std::mt19937_64 random(1);
        std::size_t found = 0;
        const double time = processorMicroseconds([&] {
            for (int index = 0; index < lookups; ++index)
                found += table->find(service, random()).route != nullptr ? 1 : 0;
        });
        series.points.push_back(
            {static_cast<double>(count), found == 0 ? 0 : time / static_cast<double>(found)});
    }
    return series;
}

Series recordBytes()
{
    Series series{"record of a cell", "slices", "bytes", {}};
    for (const std::size_t count : {64UL, 512UL, 2048UL, 4096UL}) {
        const Result<std::string> text = encodeCellRecord(makeRecord(count));
        if (text)
            series.points.push_back(
                {static_cast<double>(count), static_cast<double>(text->size())});
    }
    return series;
}

Series updateBytes()
{
    Series series{"route update in full", "slices", "bytes", {}};
    for (const std::size_t count : {64UL, 512UL, 4096UL}) {
        RouteUpdate update;
        update.cell = {ServiceName("service"), ZoneId("zone-a"), 0};
        update.routes = makeRoutes(count)->routes;
        const std::string bytes = encodePeerEnvelope({InstanceId("entry-a#1"), update});
        series.points.push_back({static_cast<double>(count), static_cast<double>(bytes.size())});
    }
    return series;
}

Series updateTime()
{
    Series series{"route update written and read", "slices", "microseconds", {}};
    for (const std::size_t count : {64UL, 512UL, 4096UL}) {
        RouteUpdate update;
        update.routes = makeRoutes(count)->routes;
        bool good = true;
        const double time = processorMicroseconds([&] {
            for (int index = 0; index < repetitions; ++index) {
                const std::string bytes = encodePeerEnvelope({InstanceId("entry-a#1"), update});
                good = good && decodePeerEnvelope(bytes).hasValue();
            }
        });
        if (good)
            series.points.push_back({static_cast<double>(count), time / repetitions});
    }
    return series;
}

Series heartbeatBytes()
{
    Series series{"heartbeat", "members", "bytes", {}};
    for (const std::size_t count : {4UL, 20UL, 100UL}) {
        const std::string bytes =
            encodePeerEnvelope({InstanceId("entry-a#1"), makeHeartbeat(count)});
        series.points.push_back({static_cast<double>(count), static_cast<double>(bytes.size())});
    }
    return series;
}

Series settingsBytes()
{
    Series series{"settings document", "targets", "bytes", {}};
    for (const std::size_t count : {100UL, 1000UL, 4000UL}) {
        const std::string text = writeSettings(makeSettings(count));
        series.points.push_back({static_cast<double>(count), static_cast<double>(text.size())});
    }
    return series;
}

Series settingsTime()
{
    Series series{"settings read and checked", "targets", "microseconds", {}};
    for (const std::size_t count : {100UL, 1000UL, 4000UL}) {
        const std::string text = writeSettings(makeSettings(count));
        const double time =
            processorMicroseconds([&] { static_cast<void>(parseSettings(text).hasValue()); });
        series.points.push_back({static_cast<double>(count), time});
    }
    return series;
}

Series settingsMemory()
{
    Series series{"memory of settings", "targets", "bytes", {}};
    for (const std::size_t count : {100UL, 1000UL, 4000UL}) {
        const double before = heapBytes();
        const Settings settings = makeSettings(count);
        series.points.push_back({static_cast<double>(count), heapBytes() - before});
    }
    return series;
}

Series gateMemory()
{
    Series series{"memory of gates", "targets", "bytes", {}};
    const Settings settings = makeSettings(1);
    const ServiceSettings &service = settings.services.front();
    for (const std::size_t count : {100UL, 1000UL, 4000UL}) {
        const double before = heapBytes();
        std::vector<std::unique_ptr<TargetGate>> gates;
        for (std::size_t index = 0; index < count; ++index)
            gates.push_back(makeTargetGate(service.targets.front(), service, 1));
        series.points.push_back({static_cast<double>(count), heapBytes() - before});
    }
    return series;
}

} // namespace

std::vector<Series> measureData()
{
    using Measure = Series (*)();
    constexpr Measure measures[] = {routeMemory,    routeLookup,    recordBytes,   updateBytes,
                                    updateTime,     heartbeatBytes, settingsBytes, settingsTime,
                                    settingsMemory, gateMemory};
    std::vector<Series> all;
    for (const Measure measure : measures)
        all.push_back(measure());
    return all;
}

} // namespace yuccaspan::bench

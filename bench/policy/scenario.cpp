#include "scenario.hpp"

#include "world.hpp"

namespace yuccaspan::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration faultStart = seconds(12);
/// Time that a restarted target is down.
constexpr Duration restartTime = milliseconds(300);
/// Slowness of a straggler.
constexpr double tenfold = 10;

Scenario base(const char *name, const char *title)
{
    Scenario scenario;
    scenario.name = name;
    scenario.title = title;
    scenario.faultAt = faultStart;
    return scenario;
}

void addRestart(Scenario &scenario, Duration at, std::uint32_t target, bool saysWarm)
{
    scenario.faults.push_back({at, [target](World &world) { world.stopTarget(target); }});
    scenario.faults.push_back({at + restartTime, [target, saysWarm](World &world) {
                                   world.startTarget(target, saysWarm);
                               }});
}

Scenario hotKeys()
{
    Scenario scenario =
        base("1-hot-keys", "the hottest 3 % of the keys change four times in a minute");
    constexpr double hottest = 0.03;
    for (const int second : {12, 27, 42, 57}) {
        const auto shift = [](World &world) {
            world.keyLoad().moveHottest(hottest, world.faultRandom());
        };
        scenario.faults.push_back({seconds(second), shift, true});
    }
    scenario.length = seconds(70);
    scenario.faultEnd = seconds(70);
    scenario.measuresBalance = true;
    return scenario;
}

Scenario slow(const char *name, const char *title, const std::vector<std::uint32_t> &picks,
              Duration span, bool probesLie)
{
    Scenario scenario = base(name, title);
    const auto begin = [picks, probesLie](World &world) {
        for (const std::uint32_t pick : picks) {
            const auto target = pick % static_cast<std::uint32_t>(world.targets().size());
            world.markKeysOf(target);
            world.mutableTargets()[target].slowness = tenfold;
            world.mutableTargets()[target].probesLie = probesLie;
        }
    };
    const auto end = [picks](World &world) {
        for (const std::uint32_t pick : picks)
            world.mutableTargets()[pick % world.targets().size()].slowness = 1;
    };
    scenario.faults = {{faultStart, begin}, {faultStart + span, end}};
    scenario.faultEnd = faultStart + span;
    scenario.length = scenario.faultEnd + seconds(13);
    scenario.measuresHealthyTail = true;
    return scenario;
}

Scenario zoneOut(const char *name, const char *title, std::uint64_t seed, bool alsoLost)
{
    Scenario scenario = base(name, title);
    constexpr double load = 0.7;
    scenario.load = load;
    const auto zoneOf = [seed](const World &world) {
        return static_cast<std::uint32_t>(seed % world.shape().zones);
    };
    const auto out = [zoneOf](World &world) { world.setZoneOut(zoneOf(world), true); };
    const auto back = [zoneOf](World &world) { world.setZoneOut(zoneOf(world), false); };
    // A neighbouring index is in another zone.
    const auto lose = [zoneOf](World &world) { world.stopTarget(zoneOf(world) + 1); };
    scenario.faults.push_back({faultStart, out, true});
    if (alsoLost)
        scenario.faults.push_back({faultStart + seconds(4), lose});
    scenario.faults.push_back({faultStart + seconds(18), back, true});
    scenario.length = seconds(45);
    scenario.faultEnd = seconds(45);
    scenario.measuresService = true;
    scenario.measuresBalance = true;
    return scenario;
}

Scenario restarts(std::uint64_t seed)
{
    Scenario scenario = base("4a-restart", "a fifth of the targets restart cold");
    const auto stop = [seed](World &world) {
        for (std::uint32_t index = 0; index < world.targets().size(); ++index) {
            if (index % 5 == seed % 5)
                world.stopTarget(index);
        }
    };
    const auto start = [seed](World &world) {
        for (std::uint32_t index = 0; index < world.targets().size(); ++index) {
            if (index % 5 == seed % 5)
                world.startTarget(index, false);
        }
    };
    scenario.faults = {{faultStart, stop},
                       {faultStart + restartTime, start},
                       {faultStart + restartTime + coldTime, [](World &) {}, true}};
    scenario.length = seconds(35);
    scenario.faultEnd = seconds(35);
    scenario.measuresService = true;
    return scenario;
}

Scenario coldAgain(std::uint64_t seed)
{
    Scenario scenario = base("4b-cold-again", "a target is cold again and calls itself warm");
    addRestart(scenario, faultStart, static_cast<std::uint32_t>(seed % 6), true);
    scenario.length = seconds(30);
    scenario.faultEnd = seconds(30);
    scenario.measuresService = true;
    return scenario;
}

Scenario overload()
{
    Scenario scenario = base("5-overload", "150 % of the capacity is asked for, for 15 s");
    constexpr double factor = 1.5 / 0.6;
    const auto begin = [](World &world) { world.setLoadFactor(factor); };
    const auto end = [](World &world) { world.setLoadFactor(1); };
    scenario.faults = {{faultStart, begin}, {faultStart + seconds(15), end}};
    scenario.faultEnd = faultStart + seconds(15);
    scenario.length = seconds(40);
    scenario.measuresOverload = true;
    return scenario;
}

Scenario frozenEntry()
{
    Scenario scenario = base("6a-frozen-entry", "an entry instance is frozen for 5 s");
    const auto freeze = [](World &world) { world.freezeEntry(1, seconds(5)); };
    scenario.faults = {{faultStart, freeze}};
    scenario.faultEnd = faultStart + seconds(5);
    scenario.length = seconds(30);
    return scenario;
}

Scenario cutOff()
{
    Scenario scenario = base("6b-cut-off", "a zone is cut off from the others for 8 s");
    const auto begin = [](World &world) { world.setZoneCut(1, true); };
    const auto end = [](World &world) { world.setZoneCut(1, false); };
    scenario.faults = {{faultStart, begin}, {faultStart + seconds(8), end}};
    scenario.faultEnd = faultStart + seconds(8);
    scenario.length = seconds(32);
    return scenario;
}

Scenario storm()
{
    Scenario scenario = base("7-connections", "all connections to targets close, three times");
    for (const int second : {12, 17, 22}) {
        scenario.faults.push_back(
            {seconds(second), [](World &world) { world.replaceConnections(); }});
    }
    scenario.faultEnd = seconds(23);
    scenario.length = seconds(32);
    return scenario;
}

} // namespace

std::vector<Scenario> allScenarios(std::uint64_t seed)
{
    const auto first = static_cast<std::uint32_t>(seed);
    return {
        hotKeys(),
        slow("2a-slow-2s", "one target ten times slower for 2 s", {first}, seconds(2), false),
        slow("2b-slow-10s", "one target ten times slower for 10 s", {first}, seconds(10), false),
        slow("2c-slow-60s", "one target ten times slower for 60 s", {first}, seconds(60), false),
        slow("2d-slow-two", "two targets ten times slower for 10 s", {first, first + 1},
             seconds(10), false),
        slow("2e-slow-lying", "one target ten times slower for 20 s, its probes lie", {first},
             seconds(20), true),
        zoneOut("3a-zone-out", "a zone is taken out for 18 s at 70 % load", seed, false),
        zoneOut("3b-zone-and-target", "the same with one more target lost", seed, true),
        restarts(seed),
        coldAgain(seed),
        overload(),
        frozenEntry(),
        cutOff(),
        storm(),
    };
}

} // namespace yuccaspan::bench

// An entry of another writer names a service that no desired state names, at the address of an
// upstream that lives. Watches whether two upstreams hold the same keys.
#include "../standins/world.hpp"

using namespace review;

int main(int count, char **values)
{
    const Setting setting = Setting::of(count, values);
    Record record(setting.folder + "/record.txt");
    Store store;
    publish(store, 3,
            {{"lookup", "/lookup/", true, "stock", 2}, {"claim", "/claim/", false, "stock", 2}},
            {{"stock", true}});
    const std::vector<std::string> zones{"a", "b", "c"};
    std::vector<std::unique_ptr<Upstream>> upstreams;
    std::vector<Upstream *> keyed;
    for (int index = 0; index < 6; ++index) {
        UpstreamTraits traits;
        traits.id = "i-" + std::to_string(index);
        traits.service = "stock";
        traits.zone = zones[index % zones.size()];
        traits.keyed = true;
        upstreams.push_back(std::make_unique<Upstream>(record, store, traits));
        upstreams.back()->checkIn();
        keyed.push_back(upstreams.back().get());
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int index = 0; index < 4; ++index)
        gateways.push_back(std::make_unique<Gateway>(record, store, setting.temporary,
                                                     "edge-" + std::to_string(index),
                                                     zones[index % zones.size()]));
    for (const auto &gateway : gateways)
        gateway->start();
    waitForStart(gateways, keyed);
    record.tell("all keys are held");
    Consumers lookups(record, gateways, 8, "GET", "/lookup/1", 2000, 0.1, true);
    Consumers claims(record, gateways, 4, "POST", "/claim/1", 2000, 0.1, true);

    // Longest time for which each key was held by two upstreams without a break.
    std::vector<TimePoint> since(keyCount);
    double longest = 0;
    std::string worst;
    const auto look = [&] {
        std::vector<std::vector<bool>> held;
        for (Upstream *upstream : keyed)
            held.push_back(upstream->heldKeys());
        const TimePoint now = Clock::now();
        for (std::uint32_t key = 0; key < keyCount; ++key) {
            std::string holders;
            int holding = 0;
            for (std::size_t index = 0; index < keyed.size(); ++index) {
                if (held[index][key]) {
                    ++holding;
                    holders += ' ' + keyed[index]->traits().id;
                }
            }
            if (holding < 2) {
                since[key] = TimePoint{};
            } else if (since[key] == TimePoint{}) {
                since[key] = now;
                if (key % 512 == 0)
                    record.line("key " + std::to_string(key) + " is held by" + holders);
            } else if (seconds(now - since[key]) > longest) {
                longest = seconds(now - since[key]);
                worst = "key " + std::to_string(key) + " by" + holders;
            }
        }
    };
    const TimePoint begin = Clock::now();
    bool written = false;
    while (seconds(Clock::now() - begin) < 18) {
        if (!written && setting.trouble && seconds(Clock::now() - begin) >= 6) {
            written = true;
            record.tell("another writer adds the entry x-1 of service 'ledger-export' at the "
                        "address of i-2");
            store.put("servers", "x-1",
                      {{"address", keyed[2]->address()},
                       {"born", unixMs()},
                       {"info",
                        {{"service", "ledger-export"},
                         {"version", "v1"},
                         {"zone", "c"},
                         {"max_concurrency", 6}}},
                       {"status", {{"state", "ready"}, {"sequence", 1}, {"warmup_left_s", 0}}}});
        }
        look();
        sleepFor(0.02);
    }
    lookups.stop();
    claims.stop();
    for (const auto &gateway : gateways)
        gateway->kill();
    record.tell("served " + std::to_string(lookups.served() + claims.served()) + ", failed "
                + std::to_string(lookups.failed() + claims.failed()));
    record.tell("longest time that two upstreams held one key: " + std::to_string(longest) + " s"
                + (worst.empty() ? "" : " (" + worst + ')'));
    finish(longest > 0.5 ? exitBroken : exitHeld);
}

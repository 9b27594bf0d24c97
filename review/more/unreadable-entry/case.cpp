// An entry of another writer has bytes that can't be read, and nearly the largest size of a value.
// All processes are killed and start again. Watches whether requests are served after that.
#include "../../standins/world.hpp"

using namespace review;

int main(int count, char **values)
{
    const Setting setting = Setting::of(count, values);
    Record record(setting.folder + "/record.txt");
    Store store;
    publish(store, 3,
            {{"lookup", "/lookup/", true, "stock", 2}, {"order", "/order/", false, "orders", 2}},
            {{"stock", true}, {"orders", false}});
    const std::vector<std::string> zones{"a", "b", "c"};
    std::vector<std::unique_ptr<Upstream>> upstreams;
    std::vector<Upstream *> keyed;
    for (int index = 0; index < 8; ++index) {
        UpstreamTraits traits;
        traits.id = "i-" + std::to_string(index);
        traits.keyed = index < 5;
        traits.service = traits.keyed ? "stock" : "orders";
        traits.zone = zones[index % zones.size()];
        upstreams.push_back(std::make_unique<Upstream>(record, store, traits));
        upstreams.back()->checkIn();
        if (traits.keyed)
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
    const auto measure = [&](const std::string &what, double span) {
        Consumers lookups(record, gateways, 8, "GET", "/lookup/1", 2000, 0.2, true);
        Consumers orders(record, gateways, 8, "POST", "/order/1", 2000, 0.2, false);
        sleepFor(span);
        lookups.stop();
        orders.stop();
        const int served = lookups.served() + orders.served();
        const int all = served + lookups.failed() + orders.failed();
        record.tell(what + ": " + std::to_string(served) + " of " + std::to_string(all)
                    + " requests served");
        return all == 0 ? 0.0 : static_cast<double>(served) / all;
    };
    const double before = measure("before", 4);
    if (setting.trouble) {
        // In the middle of the names: some entries come before it, some after.
        record.tell("another writer adds an entry with bytes that can't be read");
        constexpr std::size_t size =
            1048400; // With its metadata the object stays under value_bytes.
        store.putText("servers", "i-3-note", '"' + std::string(size, '\xff') + '"');
    }
    const double with = measure("with that entry, if there is one", 4);
    record.tell("all processes are killed");
    for (const auto &gateway : gateways)
        gateway->kill();
    sleepFor(1);
    for (const auto &gateway : gateways)
        gateway->start();
    sleepFor(15);
    const double after = measure("later than 15 s after the start", 8);
    for (const auto &gateway : gateways)
        gateway->kill();
    record.tell("share served before " + std::to_string(std::min(before, with)) + ", after "
                + std::to_string(after));
    finish(std::min(before, with) >= 0.25 && after < 0.25 ? exitBroken : exitHeld);
}

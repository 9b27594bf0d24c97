// A planned stop of one instance while consumers keep connections and use each about every 6 s.
// Watches whether requests that were passed on to an upstream lose their connection at the end.
#include "../standins/world.hpp"

using namespace review;

namespace {

/// One request that was sent on a kept connection.
struct Sent
{
    std::string id;
    double at = 0;
    double end = 0;
    int status = 0;
};

} // namespace

int main(int count, char **values)
{
    const Setting setting = Setting::of(count, values);
    Record record(setting.folder + "/record.txt");
    Store store;
    publish(store, 3, {{"order", "/order/", false, "orders", 2.5}}, {{"orders", false}});
    std::mutex mutex;
    std::set<std::string> passedOn;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (int index = 0; index < 8; ++index) {
        UpstreamTraits traits;
        traits.id = "i-" + std::to_string(index);
        traits.service = "orders";
        traits.zone = index % 2 == 0 ? "a" : "b";
        traits.workS = 0.3;
        upstreams.push_back(std::make_unique<Upstream>(record, store, traits));
        upstreams.back()->onRequest = [&](Upstream &, Connection &, const Message &request) {
            const std::lock_guard lock(mutex);
            passedOn.insert(request.header("x-request-id"));
            return false;
        };
        upstreams.back()->checkIn();
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (const char *zone : {"a", "b"})
        gateways.push_back(std::make_unique<Gateway>(record, store, setting.temporary,
                                                     std::string("edge-") + zone, zone));
    for (const auto &gateway : gateways)
        gateway->start();
    waitForStart(gateways, {});
    sleepFor(1);

    // The balancer: a new connection goes to the first instance while that is in rotation.
    std::atomic<bool> firstInRotation = true;
    std::atomic<bool> stop = false;
    std::vector<Sent> all;
    std::vector<std::thread> threads;
    for (int index = 0; index < 180; ++index) {
        threads.emplace_back([&, index] {
            std::mt19937 random(static_cast<unsigned>(index) + 1);
            std::uniform_real_distribution<double> pause(5, 7);
            std::unique_ptr<Connection> connection;
            bool first = false;
            sleepFor(6.0 * index / 180);
            while (!stop) {
                if (!connection) {
                    first = firstInRotation;
                    connection = connectTo(gateways[first ? 0 : 1]->port());
                }
                if (!connection) {
                    sleepFor(0.2);
                    continue;
                }
                Sent sent;
                sent.id = requestId();
                sent.at = record.now();
                const Answer answer =
                    ask(*connection, sent.id, "POST", "/order/1", 2500, {}, "order");
                sent.end = record.now();
                sent.status = answer.status;
                record.line((first ? "edge-a" : "edge-b") + std::string(" answers ")
                            + std::to_string(sent.status) + " to " + sent.id);
                if (first) {
                    const std::lock_guard lock(mutex);
                    all.push_back(sent);
                }
                if (answer.status == 0 || answer.message.header("connection") == "close")
                    connection.reset();
                const double until = record.now() + pause(random);
                while (!stop && record.now() < until)
                    sleepFor(0.05);
            }
        });
    }
    sleepFor(12);
    const double stopped = record.now();
    if (setting.trouble) {
        record.tell("SIGTERM to edge-a");
        gateways[0]->signal(SIGTERM);
    }
    // Two readiness checks a second apart take it out of rotation.
    sleepFor(2);
    firstInRotation = !setting.trouble;
    while (record.now() < stopped + 6) {
        if (setting.trouble && !gateways[0]->running()) {
            record.tell("edge-a ended " + std::to_string(record.now() - stopped)
                        + " s after SIGTERM");
            break;
        }
        sleepFor(0.01);
    }
    sleepFor(1);
    stop = true;
    for (std::thread &thread : threads)
        thread.join();
    for (const auto &gateway : gateways)
        gateway->kill();

    // Counted: sent later than 3 s after SIGTERM, read and passed on to an upstream, and ended
    // without an answer before the time limit.
    int lost = 0;
    int answered = 0;
    for (const Sent &sent : all) {
        answered += sent.status == 200;
        if (sent.at > stopped + 3 && sent.status == 0 && passedOn.contains(sent.id)
            && sent.end - sent.at < 2.4) {
            ++lost;
            record.line("lost: " + sent.id + " was sent " + std::to_string(sent.at - stopped)
                        + " s after SIGTERM and passed on; its connection ended "
                        + std::to_string(sent.end - stopped) + " s after SIGTERM");
        }
    }
    record.tell("edge-a answered " + std::to_string(answered)
                + " orders; orders passed on and lost with their connection: "
                + std::to_string(lost));
    finish(lost > 0 ? exitBroken : exitHeld);
}

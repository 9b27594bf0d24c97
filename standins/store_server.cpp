#include "store_server.hpp"

#include "call_counts.hpp"
#include "json_fields.hpp"
#include "object_store.hpp"

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <set>

namespace yuccaspan::standins {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusNoContent = 204;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusPreconditionFailed = 412;
constexpr unsigned statusTooLarge = 413;
constexpr unsigned statusPreconditionRequired = 428;
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusUnavailable = 503;
constexpr std::string_view objectsPath = "/v1/objects/";
constexpr std::string_view instancesPath = "/control/instances/";
/// Longest time that a watch waits.
constexpr std::uint64_t maxWatchMs = 60000;
/// Past states of the list kept for the lag.
constexpr std::size_t maxPastLists = 1000;

/// Faults that the control path switches on.
struct StoreFaults
{
    bool down = false;
    std::uint64_t delayMs = 0;
    std::uint64_t loseAnswers = 0;
    std::uint64_t listLagMs = 0;
    std::uint64_t readLagMs = 0;
    std::uint64_t maxReadsPerSecond = 0;
    std::uint64_t maxWritesPerSecond = 0;
    std::set<std::string> cutOff;
};

/// A watch that waits for a change.
struct Waiter
{
    std::string prefix;
    std::uint64_t after = 0;
    ExchangePtr exchange;
};

using InstanceList = std::map<std::string, ListedInstance>;

/// The list as it was from some time on.
struct PastList
{
    TimePoint from;
    InstanceList list;
};

std::string quoted(ObjectVersion version)
{
    return '"' + std::to_string(version.value) + '"';
}

/// The version in an entity tag, with or without quotes; nothing if it is malformed.
std::optional<ObjectVersion> parseTag(std::string_view tag)
{
    if (tag.size() >= 2 && tag.front() == '"' && tag.back() == '"')
        tag = tag.substr(1, tag.size() - 2);
    const auto number = parseNumber(tag);
    return number ? std::optional(ObjectVersion{*number}) : std::nullopt;
}

/// The version that a write expects; nothing if it names none.
std::optional<ObjectVersion> expectedVersion(const ExchangePtr &exchange)
{
    if (exchange->header("If-None-Match") == "*")
        return ObjectVersion{};
    return parseTag(exchange->header("If-Match"));
}

/// Undoes percent encoding.
std::string decodeQuery(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const auto code = text[index] == '%' && index + 2 < text.size()
            ? parseHash(text.substr(index + 1, 2))
            : std::nullopt;
        decoded += code ? static_cast<char>(*code) : text[index];
        index += code ? 2 : 0;
    }
    return decoded;
}

Json changesJson(const StoreChanges &changes)
{
    Json objects = Json::array();
    for (const StoreObject &object : changes.objects) {
        Json row = {{"path", object.path}, {"version", object.version.value}};
        if (object.version.value != 0)
            row["value"] = object.value;
        objects.push_back(std::move(row));
    }
    return {{"revision", changes.revision},
            {"complete", changes.complete},
            {"objects", std::move(objects)}};
}

} // namespace

struct StoreServer::Impl : std::enable_shared_from_this<StoreServer::Impl>
{
    using Handler = void (Impl::*)(const ExchangePtr &);

    explicit Impl(EventLoop &eventLoop) : loop(eventLoop) { }

    void addRoutes();
    void route(const char *method, const char *path, CallKind kind, Handler handler);
    void routeControl(const char *method, const char *path, Handler handler);
    void receive(const ExchangePtr &exchange, CallKind kind, Handler handler);
    void execute(const ExchangePtr &exchange, Handler handler);

    void onGet(const ExchangePtr &exchange);
    void onPut(const ExchangePtr &exchange);
    void onDelete(const ExchangePtr &exchange);
    void onWatch(const ExchangePtr &exchange);
    void onInstances(const ExchangePtr &exchange);
    void onSetInstance(const ExchangePtr &exchange);
    void onDeleteInstance(const ExchangePtr &exchange);
    void onFaults(const ExchangePtr &exchange);
    void onCounts(const ExchangePtr &exchange);

    void answerWrite(const ExchangePtr &exchange, const WriteOutcome &outcome, unsigned status);
    void write(const ExchangePtr &exchange, std::optional<std::string> value, unsigned status);
    void wakeWaiters();
    void rememberList();
    [[nodiscard]] bool applyFaults(const Json &object);

    EventLoop &loop;
    ObjectStore store;
    CallCounts counts;
    StoreFaults faults;
    std::list<Waiter> waiters;
    InstanceList instances;
    std::deque<PastList> pastLists;
    HttpRouter router;
    std::unique_ptr<HttpServer> server;
};

void StoreServer::Impl::addRoutes()
{
    route("GET", "/v1/objects/*", CallKind::Read, &Impl::onGet);
    route("PUT", "/v1/objects/*", CallKind::Write, &Impl::onPut);
    route("DELETE", "/v1/objects/*", CallKind::Write, &Impl::onDelete);
    route("GET", "/v1/watch", CallKind::Watch, &Impl::onWatch);
    route("GET", "/v1/instances", CallKind::List, &Impl::onInstances);
    routeControl("PUT", "/control/instances/*", &Impl::onSetInstance);
    routeControl("DELETE", "/control/instances/*", &Impl::onDeleteInstance);
    routeControl("PUT", "/control/faults", &Impl::onFaults);
    routeControl("GET", "/control/counts", &Impl::onCounts);
}

void StoreServer::Impl::route(const char *method, const char *path, CallKind kind, Handler handler)
{
    router.add(method, path, [this, kind, handler](const ExchangePtr &exchange) {
        receive(exchange, kind, handler);
    });
}

void StoreServer::Impl::routeControl(const char *method, const char *path, Handler handler)
{
    router.add(method, path,
               [this, handler](const ExchangePtr &exchange) { (this->*handler)(exchange); });
}

void StoreServer::Impl::receive(const ExchangePtr &exchange, CallKind kind, Handler handler)
{
    if (faults.cutOff.contains(std::string(exchange->header("X-Instance")))) {
        exchange->drop();
        return;
    }
    const std::uint64_t inSecond = counts.count(kind, loop.now());
    const std::uint64_t limit =
        kind == CallKind::Write ? faults.maxWritesPerSecond : faults.maxReadsPerSecond;
    if (limit != 0 && inSecond > limit) {
        exchange->respond({statusTooManyRequests, R"({"error":"over the rate"})", {}});
        return;
    }
    if (faults.delayMs == 0) {
        execute(exchange, handler);
        return;
    }
    // A write takes effect after the delay, even if its caller has given up.
    loop.runAfter(
        std::chrono::milliseconds(faults.delayMs),
        [self = shared_from_this(), exchange, handler] { self->execute(exchange, handler); });
}

void StoreServer::Impl::execute(const ExchangePtr &exchange, Handler handler)
{
    if (faults.down)
        exchange->respond({statusUnavailable, R"({"error":"down"})", {}});
    else
        (this->*handler)(exchange);
}

void StoreServer::Impl::onGet(const ExchangePtr &exchange)
{
    const TimePoint asOf = loop.now() - std::chrono::milliseconds(faults.readLagMs);
    const auto object = store.read(std::string(exchange->path().substr(objectsPath.size())), asOf);
    if (object)
        exchange->respond({statusOk, object->value, {{"ETag", quoted(object->version)}}});
    else
        exchange->respond({statusNotFound, R"({"error":"no such object"})", {}});
}

void StoreServer::Impl::onPut(const ExchangePtr &exchange)
{
    if (exchange->body().size() > maxValueBytes)
        exchange->respond({statusTooLarge, R"({"error":"value too long"})", {}});
    else
        write(exchange, exchange->body(), statusOk);
}

void StoreServer::Impl::onDelete(const ExchangePtr &exchange)
{
    write(exchange, std::nullopt, statusNoContent);
}

void StoreServer::Impl::write(const ExchangePtr &exchange, std::optional<std::string> value,
                              unsigned status)
{
    const auto expected = expectedVersion(exchange);
    if (!expected) {
        exchange->respond({statusPreconditionRequired, R"({"error":"no condition"})", {}});
        return;
    }
    const std::string path(exchange->path().substr(objectsPath.size()));
    const WriteOutcome outcome = store.write(path, *expected, std::move(value), loop.now());
    answerWrite(exchange, outcome, status);
    if (outcome.done)
        wakeWaiters();
}

void StoreServer::Impl::answerWrite(const ExchangePtr &exchange, const WriteOutcome &outcome,
                                    unsigned status)
{
    if (outcome.done && faults.loseAnswers > 0) {
        --faults.loseAnswers;
        exchange->drop();
        return;
    }
    HttpAnswer answer;
    answer.status = outcome.done ? status : statusPreconditionFailed;
    if (outcome.version.value != 0)
        answer.headers.emplace_back("ETag", quoted(outcome.version));
    exchange->respond(std::move(answer));
}

void StoreServer::Impl::onWatch(const ExchangePtr &exchange)
{
    const std::string prefix = decodeQuery(exchange->query("prefix").value_or(""));
    const auto after = parseNumber(exchange->query("after").value_or("0"));
    const auto waitMs = parseNumber(exchange->query("waitMs").value_or("0"));
    if (!after || !waitMs) {
        exchange->respond({statusBadRequest, R"({"error":"malformed watch"})", {}});
        return;
    }
    const StoreChanges changes = store.changes(prefix, *after);
    if (changes.complete || !changes.objects.empty() || *waitMs == 0) {
        exchange->respond({statusOk, changesJson(changes).dump(), {}});
        return;
    }
    waiters.push_back({prefix, *after, exchange});
    loop.runAfter(std::chrono::milliseconds(std::min(*waitMs, maxWatchMs)),
                  [self = shared_from_this(), exchange, prefix, after = *after] {
                      const auto waits = [&exchange](const Waiter &waiter) {
                          return waiter.exchange == exchange;
                      };
                      if (std::erase_if(self->waiters, waits) > 0)
                          exchange->respond({statusOk,
                                             changesJson(self->store.changes(prefix, after)).dump(),
                                             {}});
                  });
}

void StoreServer::Impl::wakeWaiters()
{
    std::erase_if(waiters, [this](const Waiter &waiter) {
        if (waiter.exchange->callerGone())
            return true;
        const StoreChanges changes = store.changes(waiter.prefix, waiter.after);
        if (changes.objects.empty())
            return false;
        waiter.exchange->respond({statusOk, changesJson(changes).dump(), {}});
        return true;
    });
}

void StoreServer::Impl::onInstances(const ExchangePtr &exchange)
{
    const TimePoint asOf = loop.now() - std::chrono::milliseconds(faults.listLagMs);
    const InstanceList *shown = nullptr;
    for (const PastList &past : pastLists) {
        if (past.from <= asOf)
            shown = &past.list;
    }
    Json rows = Json::array();
    for (const auto &[id, instance] : shown ? *shown : InstanceList{})
        rows.push_back({{"id", id},
                        {"role", instance.role},
                        {"zone", instance.zone.text()},
                        {"address", instance.address},
                        {"leaving", instance.leaving}});
    exchange->respond({statusOk, Json{{"instances", std::move(rows)}}.dump(), {}});
}

void StoreServer::Impl::onSetInstance(const ExchangePtr &exchange)
{
    const auto object = parseObject(exchange->body());
    const std::string id = decodeQuery(exchange->path().substr(instancesPath.size()));
    ListedInstance instance = instances[id];
    std::string zone = instance.zone.text();
    const bool valid = object && readField(*object, "role", instance.role)
        && readField(*object, "zone", zone) && readField(*object, "address", instance.address)
        && readField(*object, "leaving", instance.leaving);
    if (!valid) {
        exchange->respond({statusBadRequest, R"({"error":"malformed instance"})", {}});
        return;
    }
    instance.id = id;
    instance.zone = ZoneId(zone);
    instances[id] = std::move(instance);
    rememberList();
    exchange->respond({statusOk, "{}", {}});
}

void StoreServer::Impl::onDeleteInstance(const ExchangePtr &exchange)
{
    instances.erase(decodeQuery(exchange->path().substr(instancesPath.size())));
    rememberList();
    exchange->respond({statusNoContent, {}, {}});
}

void StoreServer::Impl::rememberList()
{
    pastLists.push_back({loop.now(), instances});
    if (pastLists.size() > maxPastLists)
        pastLists.pop_front();
}

bool StoreServer::Impl::applyFaults(const Json &object)
{
    StoreFaults next = faults;
    const bool valid = readField(object, "down", next.down)
        && readField(object, "delayMs", next.delayMs)
        && readField(object, "loseAnswers", next.loseAnswers)
        && readField(object, "listLagMs", next.listLagMs)
        && readField(object, "readLagMs", next.readLagMs)
        && readField(object, "maxReadsPerSecond", next.maxReadsPerSecond)
        && readField(object, "maxWritesPerSecond", next.maxWritesPerSecond);
    if (!valid)
        return false;
    if (const auto names = object.find("cutOff"); names != object.end()) {
        if (!names->is_array())
            return false;
        next.cutOff.clear();
        for (const Json &name : *names)
            next.cutOff.insert(name.is_string() ? name.get<std::string>() : name.dump());
    }
    faults = std::move(next);
    return true;
}

void StoreServer::Impl::onFaults(const ExchangePtr &exchange)
{
    const auto object = parseObject(exchange->body());
    if (!object || !applyFaults(*object)) {
        exchange->respond({statusBadRequest, R"({"error":"malformed faults"})", {}});
        return;
    }
    std::erase_if(waiters, [this](const Waiter &waiter) {
        const bool cut = faults.cutOff.contains(std::string(waiter.exchange->header("X-Instance")));
        if (cut)
            waiter.exchange->drop();
        else if (faults.down)
            waiter.exchange->respond({statusUnavailable, R"({"error":"down"})", {}});
        return cut || faults.down;
    });
    exchange->respond({statusOk, "{}", {}});
}

void StoreServer::Impl::onCounts(const ExchangePtr &exchange)
{
    const Json body = {
        {"reads", counts.total(CallKind::Read)},    {"writes", counts.total(CallKind::Write)},
        {"watches", counts.total(CallKind::Watch)}, {"lists", counts.total(CallKind::List)},
        {"peakReadsPerSecond", counts.peakReads()}, {"peakWritesPerSecond", counts.peakWrites()}};
    exchange->respond({statusOk, body.dump(), {}});
}

Result<std::unique_ptr<StoreServer>> StoreServer::create(EventLoop &loop, const std::string &listen)
{
    auto impl = std::make_shared<Impl>(loop);
    impl->addRoutes();
    auto server = HttpServer::create(loop, listen, impl->router);
    if (!server)
        return server.error();
    impl->server = std::move(*server);
    return std::unique_ptr<StoreServer>(new StoreServer(std::move(impl)));
}

StoreServer::StoreServer(std::shared_ptr<Impl> impl) : m_impl(std::move(impl))
{ }

StoreServer::~StoreServer() = default;

std::string StoreServer::address() const
{
    return m_impl->server->address();
}

} // namespace yuccaspan::standins

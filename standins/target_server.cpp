#include "target_server.hpp"

#include "target_json.hpp"

#include <deque>
#include <unordered_map>

namespace yuccaspan::standins {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusUnavailable = 503;
/// How often a revoke looks whether the requests of its slice have ended.
constexpr Duration revokePollInterval{500};

/// Faults that the control path switches on.
struct TargetFaults
{
    double slowFactor = 1;
    bool refuseAll = false;
    bool lieHealthy = false;
    std::uint64_t loadLagMs = 0;
    bool drain = false;
    std::uint64_t dropAnswers = 0;
    std::uint64_t connectCostUs = 0;
};

/// Load at one moment.
struct LoadSample
{
    TimePoint at;
    std::size_t busy = 0;
    std::size_t queued = 0;
};

unsigned statusOf(Refusal refusal)
{
    const bool grant = refusal == Refusal::NoGrant || refusal == Refusal::StaleToken;
    return grant ? statusConflict : statusUnavailable;
}

} // namespace

struct TargetServer::Impl : std::enable_shared_from_this<TargetServer::Impl>
{
    Impl(EventLoop &eventLoop, TargetOptions options)
        : loop(eventLoop), model(std::move(options), eventLoop.now())
    { }

    void addRoutes();
    void route(const char *method, const char *path, void (Impl::*handler)(const ExchangePtr &));
    void routeControl(const char *method, const char *path,
                      void (Impl::*handler)(const ExchangePtr &));

    void onRequest(const ExchangePtr &exchange);
    void onGrant(const ExchangePtr &exchange);
    void onRevoke(const ExchangePtr &exchange);
    void onProbe(const ExchangePtr &exchange);
    void onHealth(const ExchangePtr &exchange);
    void onLoad(const ExchangePtr &exchange);
    void onFaults(const ExchangePtr &exchange);
    void onLedger(const ExchangePtr &exchange);
    void onSummary(const ExchangePtr &exchange);
    void onGrants(const ExchangePtr &exchange);

    [[nodiscard]] bool frozen() const { return loop.now() < frozenUntil; }
    void whenThawed(std::function<void()> callback);
    [[nodiscard]] Work makeWork(const ExchangePtr &exchange);
    void work();
    void complete(std::uint64_t handle, std::uint64_t start);
    void answerRun(const ExchangePtr &exchange);
    void refuse(const ExchangePtr &exchange, Refusal refusal);
    void answerOrder(const ExchangePtr &exchange, const CellId &cell, OrderVerdict verdict,
                     bool withHolds);
    void finishRevoke(const ExchangePtr &exchange, const RevokeOrder &order, OrderVerdict verdict);
    [[nodiscard]] std::string_view shownState() const;
    void sampleLoad();
    [[nodiscard]] bool applyFaults(const Json &object);

    EventLoop &loop;
    TargetModel model;
    HttpRouter router;
    TargetFaults faults;
    TimePoint frozenUntil{};
    std::uint64_t lastHandle = 0;
    std::uint64_t starts = 0;
    std::unordered_map<std::uint64_t, ExchangePtr> exchanges;
    std::deque<LoadSample> samples;
    std::unique_ptr<HttpServer> server;
};

void TargetServer::Impl::route(const char *method, const char *path,
                               void (Impl::*handler)(const ExchangePtr &))
{
    router.add(method, path, [this, handler](const ExchangePtr &exchange) {
        if (frozen())
            whenThawed(
                [self = shared_from_this(), handler, exchange] { ((*self).*handler)(exchange); });
        else
            (this->*handler)(exchange);
    });
}

void TargetServer::Impl::routeControl(const char *method, const char *path,
                                      void (Impl::*handler)(const ExchangePtr &))
{
    router.add(method, path,
               [this, handler](const ExchangePtr &exchange) { (this->*handler)(exchange); });
}

void TargetServer::Impl::addRoutes()
{
    if (model.options().checksGrants) {
        route("POST", "/_yuccaspan/grant", &Impl::onGrant);
        route("POST", "/_yuccaspan/revoke", &Impl::onRevoke);
    }
    route("POST", "/_yuccaspan/probe", &Impl::onProbe);
    route("GET", "/_yuccaspan/health", &Impl::onHealth);
    route("GET", "/_yuccaspan/load", &Impl::onLoad);
    routeControl("PUT", "/control/faults", &Impl::onFaults);
    routeControl("GET", "/control/ledger", &Impl::onLedger);
    routeControl("GET", "/control/summary", &Impl::onSummary);
    routeControl("GET", "/control/grants", &Impl::onGrants);
    route("*", "*", &Impl::onRequest);
}

void TargetServer::Impl::whenThawed(std::function<void()> callback)
{
    loop.runAfter(frozenUntil - loop.now(),
                  [self = shared_from_this(), callback = std::move(callback)]() mutable {
                      if (self->frozen())
                          self->whenThawed(std::move(callback));
                      else
                          callback();
                  });
}

Work TargetServer::Impl::makeWork(const ExchangePtr &exchange)
{
    Work work;
    work.handle = ++lastHandle;
    work.requestId = exchange->header("Yuccaspan-Request-Id");
    work.service = ServiceName(std::string(exchange->header("Yuccaspan-Service")));
    work.hash = parseHash(exchange->header("Yuccaspan-Key-Hash")).value_or(0);
    work.token = {parseNumber(exchange->header("Yuccaspan-Token")).value_or(0)};
    if (const auto left = parseNumber(exchange->header("Yuccaspan-Deadline-Ms")))
        work.deadline = loop.now() + std::chrono::milliseconds(*left);
    return work;
}

void TargetServer::Impl::onRequest(const ExchangePtr &exchange)
{
    if (faults.refuseAll) {
        refuse(exchange, Refusal::Shed);
        return;
    }
    Work request = makeWork(exchange);
    const std::uint64_t handle = request.handle;
    if (const auto refusal = model.arrive(std::move(request), loop.now())) {
        refuse(exchange, *refusal);
        return;
    }
    exchanges.emplace(handle, exchange);
    work();
}

void TargetServer::Impl::work()
{
    const auto gone = [this](std::uint64_t handle) {
        const bool left = exchanges.at(handle)->callerGone();
        if (left)
            exchanges.erase(handle);
        return left;
    };
    for (const WorkStep &step : model.next(loop.now(), gone)) {
        if (step.refusal) {
            refuse(exchanges.at(step.handle), *step.refusal);
            exchanges.erase(step.handle);
            continue;
        }
        if (step.service == Duration(0))
            loop.post([self = shared_from_this(), handle = step.handle, start = starts] {
                self->complete(handle, start);
            });
        else
            loop.runAfter(step.service,
                          [self = shared_from_this(), handle = step.handle, start = starts] {
                              self->complete(handle, start);
                          });
    }
    sampleLoad();
}

void TargetServer::Impl::complete(std::uint64_t handle, std::uint64_t start)
{
    if (start != starts)
        return;
    if (frozen()) {
        whenThawed([this, handle, start] { complete(handle, start); });
        return;
    }
    const auto found = exchanges.find(handle);
    const ExchangePtr exchange = found->second;
    exchanges.erase(found);
    model.finished(handle);
    if (faults.dropAnswers > 0) {
        --faults.dropAnswers;
        exchange->drop();
    } else {
        answerRun(exchange);
    }
    work();
}

void TargetServer::Impl::answerRun(const ExchangePtr &exchange)
{
    const std::string requestId(exchange->header("Yuccaspan-Request-Id"));
    const std::string token(exchange->header("Yuccaspan-Token"));
    HttpAnswer answer;
    answer.body = R"({"requestId":")" + requestId + R"(","target":")" + model.options().id
        + R"(","token":")" + token + "\"}";
    answer.headers = {{"Yuccaspan-Start-Id", model.startId()}, {"Yuccaspan-Request-Id", requestId}};
    exchange->respond(std::move(answer));
}

void TargetServer::Impl::refuse(const ExchangePtr &exchange, Refusal refusal)
{
    HttpAnswer answer;
    answer.status = statusOf(refusal);
    answer.headers = {{"Yuccaspan-Refused", std::string(toString(refusal))},
                      {"Yuccaspan-Start-Id", model.startId()}};
    exchange->respond(std::move(answer));
}

void TargetServer::Impl::onGrant(const ExchangePtr &exchange)
{
    const auto order = parseGrant(exchange->body());
    if (!order) {
        exchange->respond({statusBadRequest, R"({"error":"malformed grant"})", {}});
        return;
    }
    const auto verdict = model.grants().grant(*order, model.clock(loop.now()));
    answerOrder(exchange, order->cell, verdict, false);
}

void TargetServer::Impl::onRevoke(const ExchangePtr &exchange)
{
    const auto order = parseRevoke(exchange->body());
    if (!order) {
        exchange->respond({statusBadRequest, R"({"error":"malformed revoke"})", {}});
        return;
    }
    finishRevoke(exchange, *order, model.grants().revoke(*order, model.clock(loop.now())));
}

void TargetServer::Impl::finishRevoke(const ExchangePtr &exchange, const RevokeOrder &order,
                                      OrderVerdict verdict)
{
    const bool done =
        verdict.verdict != TargetVerdict::Accepted || model.idle(order.cell.service, order.range);
    if (exchange->callerGone())
        return;
    if (done) {
        answerOrder(exchange, order.cell, verdict, false);
        return;
    }
    loop.runAfter(revokePollInterval, [self = shared_from_this(), exchange, order, verdict] {
        self->finishRevoke(exchange, order, verdict);
    });
}

void TargetServer::Impl::onProbe(const ExchangePtr &exchange)
{
    const auto order = parseProbe(exchange->body());
    if (!order) {
        exchange->respond({statusBadRequest, R"({"error":"malformed probe"})", {}});
        return;
    }
    const OrderVerdict verdict{TargetVerdict::Accepted, model.grants().knownTerm(order->cell)};
    answerOrder(exchange, order->cell, verdict, true);
}

void TargetServer::Impl::answerOrder(const ExchangePtr &exchange, const CellId &cell,
                                     OrderVerdict verdict, bool withHolds)
{
    const Duration clock = model.clock(loop.now());
    Json body = {{"verdict", toString(verdict.verdict)},
                 {"startId", model.startId()},
                 {"clockUs", clock.count()},
                 {"state", shownState()},
                 {"knownTerm", verdict.knownTerm.value}};
    if (withHolds)
        body["holds"] = slicesJson(model.grants().holds(cell, clock));
    exchange->respond({statusOk, body.dump(), {{"Yuccaspan-Start-Id", model.startId()}}});
}

std::string_view TargetServer::Impl::shownState() const
{
    return toString(faults.lieHealthy ? TargetState::Warm : model.state(loop.now()));
}

void TargetServer::Impl::onHealth(const ExchangePtr &exchange)
{
    const bool healthy = faults.lieHealthy || !faults.refuseAll;
    const Json body = {{"startId", model.startId()},
                       {"state", shownState()},
                       {"clockUs", model.clock(loop.now()).count()}};
    exchange->respond({healthy ? statusOk : statusUnavailable, body.dump(), {}});
}

void TargetServer::Impl::onLoad(const ExchangePtr &exchange)
{
    sampleLoad();
    const Json body = {{"busySlots", samples.front().busy},
                       {"slots", model.options().slots},
                       {"queued", samples.front().queued}};
    exchange->respond({statusOk, body.dump(), {}});
}

void TargetServer::Impl::sampleLoad()
{
    const TimePoint now = loop.now();
    const TimePoint shown = now - std::chrono::milliseconds(faults.loadLagMs);
    samples.push_back({now, model.running(), model.queued()});
    while (samples.size() > 1 && samples[1].at <= shown)
        samples.pop_front();
}

bool TargetServer::Impl::applyFaults(const Json &object)
{
    TargetFaults next = faults;
    bool cold = false;
    bool restart = false;
    std::uint64_t freezeMs = 0;
    const bool valid = readField(object, "slowFactor", next.slowFactor)
        && readField(object, "refuseAll", next.refuseAll)
        && readField(object, "lieHealthy", next.lieHealthy)
        && readField(object, "loadLagMs", next.loadLagMs) && readField(object, "drain", next.drain)
        && readField(object, "dropAnswers", next.dropAnswers)
        && readField(object, "connectCostUs", next.connectCostUs) && readField(object, "cold", cold)
        && readField(object, "restart", restart) && readField(object, "freezeMs", freezeMs);
    if (!valid)
        return false;
    faults = next;
    model.setSlowFactor(faults.slowFactor);
    if (restart) {
        ++starts;
        exchanges.clear();
        model.restart(loop.now());
        loop.post([self = shared_from_this()] { self->server->closeConnections(); });
    }
    model.setDraining(faults.drain);
    if (cold)
        model.turnCold(loop.now());
    if (freezeMs > 0)
        frozenUntil = loop.now() + std::chrono::milliseconds(freezeMs);
    return true;
}

void TargetServer::Impl::onFaults(const ExchangePtr &exchange)
{
    const auto object = parseObject(exchange->body());
    const bool applied = object && applyFaults(*object);
    exchange->respond({applied ? statusOk : statusBadRequest, "{}", {}});
}

void TargetServer::Impl::onLedger(const ExchangePtr &exchange)
{
    Json body = summaryJson(model);
    body["runs"] = runsJson(model);
    exchange->respond({statusOk, body.dump(), {}});
}

void TargetServer::Impl::onSummary(const ExchangePtr &exchange)
{
    Json body = summaryJson(model);
    body["connections"] = server->connections();
    body["acceptedConnections"] = server->acceptedConnections();
    body["busySlots"] = model.running();
    body["queued"] = model.queued();
    exchange->respond({statusOk, body.dump(), {}});
}

void TargetServer::Impl::onGrants(const ExchangePtr &exchange)
{
    const Duration clock = model.clock(loop.now());
    const Json body = {{"id", model.options().id},
                       {"clockUs", clock.count()},
                       {"monotonicUs", loop.now().time_since_epoch().count()},
                       {"grants", holdsJson(model.grants().holds(clock))},
                       {"history", holdsJson(model.holdHistory())}};
    exchange->respond({statusOk, body.dump(), {}});
}

Result<std::unique_ptr<TargetServer>>
TargetServer::create(EventLoop &loop, const std::string &listen, TargetOptions options)
{
    const std::size_t maxConnections = options.connections;
    auto impl = std::make_shared<Impl>(loop, std::move(options));
    impl->addRoutes();
    const auto cost = [raw = impl.get()] {
        return Duration(static_cast<Duration::rep>(raw->faults.connectCostUs));
    };
    auto server = HttpServer::create(loop, listen, impl->router, {maxConnections, cost});
    if (!server)
        return server.error();
    impl->server = std::move(*server);
    return std::unique_ptr<TargetServer>(new TargetServer(std::move(impl)));
}

TargetServer::TargetServer(std::shared_ptr<Impl> impl) : m_impl(std::move(impl))
{ }

TargetServer::~TargetServer() = default;

std::string TargetServer::address() const
{
    return m_impl->server->address();
}

} // namespace yuccaspan::standins

#include "daemon/daemon.hpp"

#include <random>
#include <thread>
#include <utility>

namespace yuccaspan::impl {

namespace {

constexpr std::chrono::milliseconds stopPollInterval{10};

/// The instance's name with a start id that is unique among its processes.
InstanceId makeInstanceId(const std::string &name)
{
    std::random_device device;
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    constexpr unsigned randomRange = 100000;
    return InstanceId(name + "#" + std::to_string(time) + "-"
                      + std::to_string(device() % randomRange));
}

} // namespace

Result<std::unique_ptr<Daemon>> Daemon::start(const InstanceSettings &settings)
{
    std::unique_ptr<Daemon> daemon(new Daemon(settings));
    const Status opened = daemon->open();
    if (!opened)
        return opened.error();
    return daemon;
}

Daemon::Daemon(const InstanceSettings &settings)
    : m_settings(settings), m_startedAt(m_clock.now()), m_id(makeInstanceId(settings.name))
{ }

Daemon::~Daemon()
{
    if (m_admin != nullptr)
        m_admin->stop();
    if (m_store != nullptr)
        m_store->stop();
    // Control and the other components call each other: stop the control thread first and destroy
    // the object last.
    if (m_control != nullptr)
        m_control->stop();
    m_orders.reset();
    m_peers.reset();
    m_edge.reset();
    m_control.reset();
}

Status Daemon::open()
{
    auto log = makeDecisionLog(m_settings.log);
    if (!log)
        return log.error();
    m_log = std::move(*log);
    m_shared = std::make_unique<EdgeShared>(m_clock, *m_log);
    for (const auto part : {&Daemon::startStore, &Daemon::startEdge, &Daemon::startControl}) {
        Status opened = (this->*part)();
        if (!opened)
            return opened;
    }
    AdminOptions options;
    options.address = m_settings.admin.address;
    options.port = m_settings.admin.port;
    auto admin = makeAdminServer(options, *this);
    if (!admin)
        return admin.error();
    m_admin = std::move(*admin);
    m_ports = {m_edge->port(), m_peers->port(), m_admin->port()};
    return ok();
}

Status Daemon::startStore()
{
    StoreOptions options;
    options.address = m_settings.store.address;
    options.port = m_settings.store.port;
    options.instance = m_settings.name;
    options.seed = hashKey(m_id.text());
    auto store = makeHttpStore(options, m_clock);
    if (!store)
        return store.error();
    m_store = std::move(*store);
    return ok();
}

Status Daemon::startEdge()
{
    EdgeOptions options;
    options.address = m_settings.callers.address;
    options.port = m_settings.callers.port;
    options.workers = m_settings.workers;
    options.instanceId = m_id.text();
    auto edge = makeEdge(options, *m_shared);
    if (!edge)
        return edge.error();
    m_edge = std::move(*edge);
    return ok();
}

Status Daemon::startControl()
{
    const PlacementTiming timing;
    auto peers = makePeerLink(m_settings.peers.address, m_settings.peers.port,
                              [this](const std::string &bytes) { receivePeer(bytes); });
    if (!peers)
        return peers.error();
    m_peers = std::move(*peers);
    m_orders = makeOrderSender(timing.orderTimeout, [this](TargetAnswerEvent event) {
        m_control->receiveAnswer(std::move(event));
    });
    const ControlParts parts{*m_shared, *m_edge, *m_store, *m_peers, *m_orders};
    auto control = Control::create(m_settings, m_id, timing, parts);
    if (!control)
        return control.error();
    m_control = std::move(*control);
    m_control->start();
    m_controlRunning = true;
    return ok();
}

void Daemon::receivePeer(const std::string &bytes)
{
    // Peers may connect before control exists. Their messages are dropped until then; they resend.
    if (m_controlRunning)
        m_control->receivePeer(bytes);
}

Status Daemon::stop()
{
    const TimePoint limit = m_clock.now() + m_settings.stopLimit;
    m_leaving = true;
    m_log->write("lifecycle", "Stopping: no longer ready, waiting for the load balancer.");
    // Answers announce the end of their connection while new connections are still accepted.
    m_shared->closing = true;
    m_control->leave();
    std::this_thread::sleep_for(m_settings.balancerWait);
    m_edge->stopAccepting();
    m_log->write("lifecycle", "Waiting for requests in flight to finish.");
    const bool idle = waitUntilIdle(limit);
    m_log->write("lifecycle",
                 idle ? "Stopped; no requests in flight."
                      : "Stopped at the time limit with requests in flight.");
    if (!idle)
        return Error{ErrorCode::Timeout, "requests were still in flight at the stop limit", {}};
    return ok();
}

bool Daemon::waitUntilIdle(TimePoint limit) const
{
    while (m_clock.now() < limit) {
        if (m_shared->active == 0 && m_control->view()->mayStop)
            return true;
        std::this_thread::sleep_for(stopPollInterval);
    }
    return m_shared->active == 0;
}

} // namespace yuccaspan::impl

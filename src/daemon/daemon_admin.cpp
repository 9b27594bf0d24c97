#include "daemon/daemon.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace yuccaspan::impl {

namespace {

std::string toText(const std::ostringstream &stream)
{
    return stream.str();
}

std::string explainRoute(const Route &route, const CellRoutes &cell)
{
    std::ostringstream text;
    text << "Slice " << route.range << " of cell " << cell.cell << " is " << route.state
         << ", owner " << route.owner << " with token " << route.token << ", from term "
         << cell.term << ".";
    return toText(text);
}

std::string explainAllowance(const TargetReport &target)
{
    std::ostringstream text;
    text << "This instance may have " << target.allowance << " requests at " << target.id
         << " at once; " << target.running << " run and " << target.waiting << " wait.";
    return toText(text);
}

} // namespace

InstanceReport Daemon::status() const
{
    const auto view = m_control->view();
    InstanceReport report;
    report.id = m_id;
    report.zone = m_settings.zone;
    report.settingsVersion = view->settingsVersion;
    report.ready = readiness().hasValue();
    report.leaving = m_leaving;
    report.storeReachable = view->storeReachable;
    report.uptime = m_clock.now() - m_startedAt;
    report.members = view->members;
    report.storeCalls = m_store->counters();
    return report;
}

std::shared_ptr<const Settings> Daemon::settings() const
{
    return m_shared->settings.get();
}

TargetReport Daemon::reportTarget(SharedTarget &target) const
{
    const TimePoint now = m_clock.now();
    TargetReport report;
    report.id = target.settings().id;
    std::tie(report.startId, report.state) = target.lastSeen();
    report.connections = target.connections();
    target.withGate([&](TargetGate &gate) {
        report.running = gate.running();
        report.waiting = gate.waiting();
        report.allowance = gate.allowance(now);
        report.slowdown = gate.observe(now).slowdown;
    });
    return report;
}

std::vector<TargetReport> Daemon::targets() const
{
    std::vector<TargetReport> reports;
    const auto map = m_shared->targets.map().get();
    for (const auto &[id, target] : *map)
        reports.push_back(reportTarget(*target));
    return reports;
}

std::vector<CellStatus> Daemon::cells() const
{
    return m_control->view()->cells;
}

Result<Explanation> Daemon::explain(const ServiceName &service, const std::string &key) const
{
    if (settings()->findService(service) == nullptr)
        return Error{ErrorCode::NotFound, "no service of that name", {}};
    Explanation explanation;
    explanation.hash = hashKey(key);
    const auto routes = m_shared->routes.get();
    const auto match = routes->find(service, explanation.hash);
    if (match.route == nullptr) {
        explanation.reasons.emplace_back("No cell of the service covers the key yet.");
        return explanation;
    }
    explanation.cell = match.cell->cell;
    explanation.route = *match.route;
    const Duration left = match.cell->viewLeaseEnd - m_clock.now();
    explanation.viewLeaseLeft = std::max(Duration::zero(), left);
    explanation.reasons.push_back(explainRoute(*match.route, *match.cell));
    const auto map = m_shared->targets.map().get();
    const auto target = map->find(match.route->owner);
    if (target != map->end()) {
        explanation.target = reportTarget(*target->second);
        explanation.reasons.push_back(explainAllowance(explanation.target));
    }
    return explanation;
}

void Daemon::setGauges() const
{
    const auto view = m_control->view();
    const PeerCounters peers = m_peers->counters();
    const StoreCounters store = m_store->counters();
    EdgeMetrics &metrics = m_shared->metrics;
    const auto gauge = [&metrics](const char *name, const char *help, auto value) {
        metrics.setGauge(name, help, static_cast<double>(value));
    };
    const auto placed = std::ranges::count_if(view->cells, &CellStatus::isPlacer);
    const auto alive = std::ranges::count_if(view->members, &Member::alive);
    gauge("yuccaspan_settings_version", "Settings in force.", view->settingsVersion.value);
    gauge("yuccaspan_store_reachable", "1 if the store answered.", view->storeReachable);
    gauge("yuccaspan_cells_placed", "Cells that this instance places.", placed);
    gauge("yuccaspan_members_alive", "Entry instances alive, this one included.", alive);
    gauge("yuccaspan_callers_connected", "Open connections of callers.", m_shared->sessions.load());
    gauge("yuccaspan_requests_active", "Requests under way.", m_shared->active.load());
    gauge("yuccaspan_log_dropped_lines", "Lines dropped from the log.", m_log->dropped());
    gauge("yuccaspan_control_dropped_events", "Events dropped.", m_control->droppedEvents());
    gauge("yuccaspan_peer_messages_sent", "Messages sent to instances.", peers.sent);
    gauge("yuccaspan_peer_messages_received", "Messages from instances.", peers.received);
    gauge("yuccaspan_peer_messages_dropped", "Messages dropped.", peers.dropped);
    gauge("yuccaspan_peer_bytes_sent", "Bytes sent to instances.", peers.bytesSent);
    gauge("yuccaspan_peer_bytes_received", "Bytes from instances.", peers.bytesReceived);
    gauge("yuccaspan_store_reads", "Reads sent to the store.", store.reads + store.lists);
    gauge("yuccaspan_store_writes", "Writes sent to the store.", store.writes);
    gauge("yuccaspan_store_watches", "Watches sent to the store.", store.watches);
    gauge("yuccaspan_store_limited", "Calls held back by the budget.", store.limited);
}

std::string Daemon::metrics() const
{
    setGauges();
    return m_shared->metrics.text();
}

Status Daemon::health() const
{
    return ok();
}

Status Daemon::readiness() const
{
    if (m_leaving)
        return Error{ErrorCode::Unavailable, "this instance is stopping", {}};
    if (m_control->view()->settingsVersion == ObjectVersion())
        return Error{ErrorCode::Unavailable, "no settings are in force yet", {}};
    return ok();
}

Status Daemon::requestMove(const MoveOrder &order)
{
    const auto view = m_control->view();
    for (const CellStatus &cell : view->cells) {
        if (cell.cell.service != order.service || !cell.record.range.contains(order.hash))
            continue;
        if (!cell.isPlacer) {
            return Error{
                ErrorCode::Conflict, "the cell is placed by " + cell.record.placer.text(), {}};
        }
        for (const SliceRecord &slice : cell.record.slices) {
            if (slice.range.contains(order.hash)) {
                m_control->post(MoveRequestEvent{cell.cell, slice.range, order.to, order.why});
                return ok();
            }
        }
    }
    return Error{ErrorCode::NotFound, "no slice holds that key", {}};
}

} // namespace yuccaspan::impl

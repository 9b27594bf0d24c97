#include "http/edge.hpp"

#include "http/edge_worker.hpp"

#include <utility>

namespace yuccaspan::impl {

namespace {

class EdgeImpl final : public Edge
{
public:
    EdgeImpl(EdgeOptions options, EdgeShared &shared) : m_options(std::move(options))
    {
        const auto dispatch = [this](const std::shared_ptr<SharedTarget> &target,
                                     const GateRelease &release) {
            dispatchRelease(target, release);
        };
        for (std::uint32_t index = 0; index < m_options.workers; ++index)
            m_workers.push_back(std::make_unique<EdgeWorker>(index, m_options, shared, dispatch));
    }
    EdgeImpl(const EdgeImpl &) = delete;
    EdgeImpl &operator=(const EdgeImpl &) = delete;
    ~EdgeImpl() override
    {
        for (const auto &worker : m_workers)
            worker->stop();
    }

    Status start()
    {
        m_port = m_options.port;
        for (const auto &worker : m_workers) {
            const Result<std::uint16_t> port = worker->listen(m_port);
            if (!port)
                return port.error();
            m_port = *port;
        }
        for (const auto &worker : m_workers)
            worker->start();
        return ok();
    }

    std::uint16_t port() const noexcept override { return m_port; }

    void routesChanged() override
    {
        for (const auto &worker : m_workers)
            worker->routesChanged();
    }

    void stopAccepting() override
    {
        for (const auto &worker : m_workers)
            worker->stopAccepting();
    }

    std::vector<LoadReport> reportLoad(const CellRoutesMap &routes, std::uint64_t sequence,
                                       TimePoint now) override
    {
        std::vector<CellLoads> parts;
        for (const auto &worker : m_workers)
            parts.push_back(worker->load().report(routes, now));
        return sumLoads(parts, sequence);
    }

private:
    EdgeWorker &workerOf(std::uint64_t id) { return *m_workers[EdgeWorker::workerOf(id)]; }

    void dispatchRelease(const std::shared_ptr<SharedTarget> &target, const GateRelease &release)
    {
        for (const std::uint64_t id : release.send)
            workerOf(id).released(target, id, GateWait::Released, Reason::Answered);
        for (const RefusedTicket &ticket : release.refuse)
            workerOf(ticket.id).released(target, ticket.id, GateWait::Refused, ticket.reason);
    }

    const EdgeOptions m_options;
    std::vector<std::unique_ptr<EdgeWorker>> m_workers;
    std::uint16_t m_port = 0;
};

} // namespace

Result<std::unique_ptr<Edge>> makeEdge(const EdgeOptions &options, EdgeShared &shared)
{
    auto edge = std::make_unique<EdgeImpl>(options, shared);
    const Status started = edge->start();
    if (!started)
        return started.error();
    return std::unique_ptr<Edge>(std::move(edge));
}

} // namespace yuccaspan::impl

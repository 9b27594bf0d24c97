/// \file
/// \brief One thread of the data path: its event loop, its connections, its waiting requests.
#pragma once

#include "http/edge.hpp"
#include "http/request_context.hpp"
#include "http/target_pool.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace yuccaspan::impl {

/// \brief How a wait at a gate ended.
enum class GateWait {
    Released, ///< The request may be sent; a slot is taken.
    Refused, ///< The gate refused it.
    Ended, ///< The deadline passed or the caller went away.
};

/// \brief A request that waits at a gate.
struct GateWaiter
{
    boost::asio::steady_timer timer; ///< Cancelled to wake the request.
    GateWait result = GateWait::Ended; ///< How the wait ended.
    Reason reason = Reason::DeadlinePassed; ///< With Refused: why.
};

/// \brief One thread of the data path. All members are used on its own thread, unless said
/// otherwise.
class EdgeWorker
{
public:
    /// \brief Passes a release to the worker that waits for it.
    using ReleaseHandler = TargetHub::ReleaseHandler;

    /// \brief Creates a worker; start() starts its thread.
    EdgeWorker(std::uint32_t index, const EdgeOptions &options, EdgeShared &shared,
               ReleaseHandler dispatch);

    /// \name Control, safe to call from any thread
    /// @{
    /// \brief Starts listening on the given port, shared with the other workers.
    [[nodiscard]] Result<std::uint16_t> listen(std::uint16_t port);
    /// \brief Starts the thread.
    void start();
    /// \brief Stops the loop and joins the thread.
    void stop();
    /// \brief Stops accepting connections.
    void stopAccepting();
    /// \brief Wakes requests that wait for a change of the routes.
    void routesChanged();
    /// \brief Tells a waiting request what its gate decided.
    /// \param target The gate's target, to which the slot returns if nobody waits any more.
    /// \param id The request.
    /// \param result What the gate decided.
    /// \param reason With Refused: why.
    void released(const std::shared_ptr<SharedTarget> &target, std::uint64_t id, GateWait result,
                  Reason reason);
    /// @}

    /// \name Used by the requests on this worker
    /// @{
    [[nodiscard]] boost::asio::io_context &loop() noexcept { return m_loop; }
    [[nodiscard]] EdgeShared &shared() noexcept { return m_shared; }
    [[nodiscard]] const EdgeOptions &options() const noexcept { return m_options; }
    [[nodiscard]] TimePoint now() const noexcept { return m_shared.clock.now(); }
    [[nodiscard]] std::shared_ptr<const Settings> settings() { return m_settings.get(); }
    [[nodiscard]] std::shared_ptr<const RouteTable> routes() { return m_routes.get(); }
    [[nodiscard]] std::shared_ptr<SharedTarget> findTarget(const TargetId &id);
    [[nodiscard]] TargetPool &pool(const std::shared_ptr<SharedTarget> &target);
    [[nodiscard]] RepeatBudget &repeatBudget(const ServiceSettings &service);
    /// \brief Load that this worker measured. Safe to use from any thread.
    [[nodiscard]] WorkerLoad &load() noexcept { return m_load; }
    /// \brief Index of the worker that an id from nextId() names.
    [[nodiscard]] static constexpr std::size_t workerOf(std::uint64_t id) noexcept
    {
        return id >> workerShift;
    }
    /// \brief An id that is unique at this instance and names the worker.
    [[nodiscard]] std::uint64_t nextId() noexcept;
    /// \brief Waits until the gate decides, the deadline passes or the caller goes away.
    /// \warning Call in the same turn of the loop in which the gate said to wait.
    [[nodiscard]] boost::asio::awaitable<std::pair<GateWait, Reason>>
    awaitRelease(RequestContext &context);
    /// \brief Waits for a while, until the deadline passes or the caller goes away.
    [[nodiscard]] boost::asio::awaitable<void> pause(RequestContext &context, Duration span);
    /// \brief Waits until the routes change, the deadline passes or the caller goes away.
    [[nodiscard]] boost::asio::awaitable<void> awaitRoutes(RequestContext &context);
    /// \brief Gives a slot back and wakes the requests that may go instead.
    void finish(const std::shared_ptr<SharedTarget> &target, std::uint64_t id, FinishKind kind,
                Duration latency);
    /// @}

private:
    static constexpr unsigned workerShift = 48;

    void armGateTick();
    [[nodiscard]] boost::asio::awaitable<void> acceptLoop();

    const std::uint32_t m_index;
    const EdgeOptions &m_options;
    EdgeShared &m_shared;
    ReleaseHandler m_dispatch;
    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_gateTick;
    Reader<Settings> m_settings;
    Reader<RouteTable> m_routes;
    Reader<TargetMap> m_targets;
    std::unordered_map<TargetId, std::unique_ptr<TargetPool>> m_pools;
    std::unordered_map<ServiceName, RepeatBudget> m_repeatBudgets;
    std::unordered_map<std::uint64_t, std::unique_ptr<GateWaiter>> m_gateWaiters;
    std::unordered_set<boost::asio::steady_timer *> m_routeWaiters;
    WorkerLoad m_load;
    std::uint64_t m_nextId = 0;
    std::thread m_thread;
};

/// \brief Serves one connection of a caller until it ends.
[[nodiscard]] boost::asio::awaitable<void> serveSession(EdgeWorker &worker,
                                                        boost::asio::ip::tcp::socket socket);

} // namespace yuccaspan::impl

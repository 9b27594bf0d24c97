/// \file
/// \brief One thread of the data path with its event loop, connections and waiting requests.
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
    Refused, ///< The gate rejected the request.
    Ended, ///< The deadline passed or the caller disconnected.
};

/// \brief A request that waits for admission.
struct GateWaiter
{
    boost::asio::steady_timer timer; ///< Cancelled to end the wait.
    GateWait result = GateWait::Ended; ///< How the wait ended.
    Reason reason = Reason::DeadlinePassed; ///< Reason; set for Refused only.
};

/// \brief One thread of the data path. Members are used on this thread only, unless stated
/// otherwise.
class EdgeWorker
{
public:
    /// \brief Passes a gate release to the workers whose requests wait for it.
    using ReleaseHandler = TargetHub::ReleaseHandler;

    /// \brief Creates a worker; start() starts its thread.
    EdgeWorker(std::uint32_t index, const EdgeOptions &options, EdgeShared &shared,
               ReleaseHandler dispatch);

    /// \name Control, thread-safe
    /// @{
    /// \brief Starts listening on the given port, which all workers share.
    [[nodiscard]] Result<std::uint16_t> listen(std::uint16_t port);
    /// \brief Starts the thread.
    void start();
    /// \brief Stops the loop and joins the thread.
    void stop();
    /// \brief Stops accepting connections.
    void stopAccepting();
    /// \brief Wakes requests that wait for a change of the routes.
    void routesChanged();
    /// \brief Passes a gate's decision to the waiting request.
    /// \param target The gate's target; gets the slot back if the request no longer waits.
    /// \param id Request id.
    /// \param result Decision of the gate.
    /// \param reason Reason; set for Refused only.
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
    /// \brief Load measured by this worker. Thread-safe.
    [[nodiscard]] WorkerLoad &load() noexcept { return m_load; }
    /// \brief Index of the worker that is encoded in an id from nextId().
    [[nodiscard]] static constexpr std::size_t workerOf(std::uint64_t id) noexcept
    {
        return id >> workerShift;
    }
    /// \brief Returns an id that is unique within this instance and encodes the worker.
    [[nodiscard]] std::uint64_t nextId() noexcept;
    /// \brief Waits until the gate decides, the deadline passes or the caller disconnects.
    /// \warning Call in the same event loop iteration in which the gate returned Wait.
    [[nodiscard]] boost::asio::awaitable<std::pair<GateWait, Reason>>
    awaitRelease(RequestContext &context);
    /// \brief Waits for the given time, at most until the deadline passes or the caller
    /// disconnects.
    [[nodiscard]] boost::asio::awaitable<void> pause(RequestContext &context, Duration span);
    /// \brief Waits until the routes change, the deadline passes or the caller disconnects.
    [[nodiscard]] boost::asio::awaitable<void> awaitRoutes(RequestContext &context);
    /// \brief Releases a slot and wakes the requests that can now be sent.
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

/// \brief Serves one connection from a caller until it closes.
[[nodiscard]] boost::asio::awaitable<void> serveSession(EdgeWorker &worker,
                                                        boost::asio::ip::tcp::socket socket);

} // namespace yuccaspan::impl

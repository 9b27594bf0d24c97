#include "http/edge_worker.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>

namespace yuccaspan::impl {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Duration gateTickInterval = std::chrono::milliseconds(10);
constexpr std::size_t maxRouteWaiters = 8192;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// Lets several sockets listen on one port; the kernel distributes connections among them.
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

} // namespace

EdgeWorker::EdgeWorker(std::uint32_t index, const EdgeOptions &options, EdgeShared &shared,
                       ReleaseHandler dispatch)
    : m_index(index),
      m_options(options),
      m_shared(shared),
      m_dispatch(std::move(dispatch)),
      m_loop(1),
      m_acceptor(m_loop),
      m_gateTick(m_loop),
      m_settings(shared.settings),
      m_routes(shared.routes),
      m_targets(shared.targets.map())
{ }

Result<std::uint16_t> EdgeWorker::listen(std::uint16_t port)
{
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(m_options.address, failure);
    if (failure)
        return Error{ErrorCode::InvalidArgument, "not an IP address: " + m_options.address, {}};
    const tcp::endpoint endpoint(address, port);
    m_acceptor.open(endpoint.protocol(), failure);
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    m_acceptor.set_option(ReusePort(true), failure);
    m_acceptor.bind(endpoint, failure);
    if (!failure)
        m_acceptor.listen(asio::socket_base::max_listen_connections, failure);
    if (failure)
        return Error{ErrorCode::Unavailable, "cannot listen: " + failure.message(), {}};
    return m_acceptor.local_endpoint().port();
}

void EdgeWorker::start()
{
    asio::co_spawn(m_loop, acceptLoop(), asio::detached);
    if (m_index == 0)
        armGateTick();
    m_thread = std::thread([this] { m_loop.run(); });
}

void EdgeWorker::stop()
{
    m_loop.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void EdgeWorker::stopAccepting()
{
    asio::post(m_loop, [this] {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    });
}

void EdgeWorker::routesChanged()
{
    asio::post(m_loop, [this] {
        for (asio::steady_timer *timer : m_routeWaiters)
            timer->cancel();
    });
}

void EdgeWorker::released(const std::shared_ptr<SharedTarget> &target, std::uint64_t id,
                          GateWait result, Reason reason)
{
    asio::post(m_loop, [this, target, id, result, reason] {
        const auto found = m_gateWaiters.find(id);
        if (found == m_gateWaiters.end()) {
            if (result == GateWait::Released)
                finish(target, id, FinishKind::Cancelled, Duration::zero());
            return;
        }
        found->second->result = result;
        found->second->reason = reason;
        found->second->timer.cancel();
    });
}

std::shared_ptr<SharedTarget> EdgeWorker::findTarget(const TargetId &id)
{
    const std::shared_ptr<const TargetMap> &map = m_targets.get();
    const auto found = map->find(id);
    return found == map->end() ? nullptr : found->second;
}

TargetPool &EdgeWorker::pool(const std::shared_ptr<SharedTarget> &target)
{
    std::unique_ptr<TargetPool> &pool = m_pools[target->settings().id];
    if (pool == nullptr || pool->target() != target)
        pool = std::make_unique<TargetPool>(m_loop, target);
    return *pool;
}

RepeatBudget &EdgeWorker::repeatBudget(const ServiceSettings &service)
{
    return m_repeatBudgets.try_emplace(service.name, service.repeatBudget).first->second;
}

std::uint64_t EdgeWorker::nextId() noexcept
{
    return (static_cast<std::uint64_t>(m_index) << workerShift) | ++m_nextId;
}

asio::awaitable<std::pair<GateWait, Reason>> EdgeWorker::awaitRelease(RequestContext &context)
{
    const std::uint64_t id = context.ticket;
    auto owned = std::make_unique<GateWaiter>(GateWaiter{asio::steady_timer(m_loop)});
    GateWaiter &waiter = *owned;
    m_gateWaiters.emplace(id, std::move(owned));
    waiter.timer.expires_after(context.deadline - now());
    context.cancel = [&waiter] { waiter.timer.cancel(); };
    co_await waiter.timer.async_wait(asTuple);
    context.cancel = nullptr;
    const std::pair<GateWait, Reason> result{waiter.result, waiter.reason};
    m_gateWaiters.erase(id);
    co_return result;
}

asio::awaitable<void> EdgeWorker::pause(RequestContext &context, Duration span)
{
    asio::steady_timer timer(m_loop);
    timer.expires_after(std::min(span, context.deadline - now()));
    context.cancel = [&timer] { timer.cancel(); };
    co_await timer.async_wait(asTuple);
    context.cancel = nullptr;
}

asio::awaitable<void> EdgeWorker::awaitRoutes(RequestContext &context)
{
    if (m_routeWaiters.size() >= maxRouteWaiters)
        co_return;
    asio::steady_timer timer(m_loop);
    timer.expires_after(context.deadline - now());
    m_routeWaiters.insert(&timer);
    context.cancel = [&timer] { timer.cancel(); };
    co_await timer.async_wait(asTuple);
    context.cancel = nullptr;
    m_routeWaiters.erase(&timer);
}

void EdgeWorker::finish(const std::shared_ptr<SharedTarget> &target, std::uint64_t id,
                        FinishKind kind, Duration latency)
{
    const TimePoint time = now();
    const GateRelease release =
        target->withGate([&](TargetGate &gate) { return gate.finished(id, kind, latency, time); });
    if (!release.send.empty() || !release.refuse.empty())
        m_dispatch(target, release);
}

void EdgeWorker::armGateTick()
{
    m_gateTick.expires_after(gateTickInterval);
    m_gateTick.async_wait([this](boost::system::error_code failure) {
        if (failure)
            return;
        m_shared.targets.tick(now(), m_dispatch);
        armGateTick();
    });
}

asio::awaitable<void> EdgeWorker::acceptLoop()
{
    while (m_acceptor.is_open()) {
        auto [failure, socket] = co_await m_acceptor.async_accept(asTuple);
        if (failure == asio::error::operation_aborted)
            co_return;
        if (failure || m_shared.sessions >= m_options.maxSessions)
            continue;
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        asio::co_spawn(m_loop, serveSession(*this, std::move(socket)), asio::detached);
    }
}

} // namespace yuccaspan::impl

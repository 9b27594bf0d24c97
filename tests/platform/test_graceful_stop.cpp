#include "../gateway/control_doubles.hpp"
#include "gateway/boottime_clock.hpp"
#include "gateway/graceful_stop.hpp"
#include "target_protocol.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace yuccaspan::platform {

namespace {

using namespace gateway; // NOLINT(google-build-using-namespace): as in the tests beside it
using std::chrono::milliseconds;

/// A target that answers each request after the time that the path names: "/30" takes 30 ms.
class TimedTarget
{
public:
    explicit TimedTarget(asio::io_context &loop)
        : m_loop(loop), m_acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        asio::co_spawn(loop, accept(), asio::detached);
    }
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    /// Whether a request with that id arrived.
    [[nodiscard]] bool got(const std::string &id) const
    {
        return std::ranges::find(m_ids, id) != m_ids.end();
    }

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            auto [failure, socket] = co_await m_acceptor.async_accept(asTuple);
            if (failure)
                co_return;
            asio::co_spawn(m_loop, serve(std::move(socket)), asio::detached);
        }
    }
    asio::awaitable<void> serve(tcp::socket socket)
    {
        beast::flat_buffer buffer;
        while (true) {
            HttpRequest request;
            const auto [failure, count] =
                co_await http::async_read(socket, buffer, request, asTuple);
            if (failure)
                co_return;
            const std::string id(request["X-Request-Id"]);
            m_ids.push_back(id);
            asio::steady_timer timer(m_loop, milliseconds(std::stoi(request.target().substr(1))));
            co_await timer.async_wait(asTuple);
            const std::string answer = "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Request-Id: "
                + id + "\r\nContent-Length: 4\r\n\r\ndone";
            co_await asio::async_write(socket, asio::buffer(answer), asTuple);
        }
    }

    asio::io_context &m_loop;
    tcp::acceptor m_acceptor;
    std::vector<std::string> m_ids;
};

/// A caller's connection, which is read all the time.
class Caller
{
public:
    Caller(asio::io_context &loop, const std::string &address) : m_socket(loop)
    {
        m_socket.connect(*parseEndpoint(address));
        asio::co_spawn(loop, read(), asio::detached);
    }
    void send(const std::string &text) { asio::write(m_socket, asio::buffer(text)); }
    /// Received bytes.
    [[nodiscard]] const std::string &received() const { return m_received; }
    /// How often a text was received.
    [[nodiscard]] std::size_t count(const std::string &text) const
    {
        std::size_t found = 0;
        for (std::size_t at = 0; (at = m_received.find(text, at)) != std::string::npos; ++at)
            ++found;
        return found;
    }
    [[nodiscard]] bool ended() const { return m_ended; }
    [[nodiscard]] bool reset() const { return m_reset; }

private:
    asio::awaitable<void> read()
    {
        std::string bytes(4096, '\0');
        while (true) {
            const auto [failure, count] =
                co_await m_socket.async_read_some(asio::buffer(bytes), asTuple);
            if (failure) {
                m_ended = true;
                m_reset = failure == asio::error::connection_reset;
                m_socket.close();
                co_return;
            }
            m_received.append(bytes, 0, count);
        }
    }

    tcp::socket m_socket;
    std::string m_received;
    bool m_ended = false;
    bool m_reset = false;
};

std::string requestHead(const std::string &id, int workMs, int deadlineMs,
                        const std::string &further)
{
    return "POST /" + std::to_string(workMs) + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + further + "\r\n";
}

/// A request without a body.
std::string request(const std::string &id, int workMs, int deadlineMs)
{
    return requestHead(id, workMs, deadlineMs, "Content-Length: 0\r\n");
}

/// The first part of a request with a body in chunks.
std::string chunkedStart(const std::string &id, int workMs, int deadlineMs)
{
    return requestHead(id, workMs, deadlineMs, "Transfer-Encoding: chunked\r\n") + "4\r\nbo";
}

constexpr const char *chunkedRest = "dy\r\n0\r\n\r\n";
constexpr const char *success = "HTTP/1.1 200 OK\r\n";
constexpr const char *rejected = "HTTP/1.1 503 Service Unavailable\r\n";

/// An instance that is stopped, on a loop of its own, which ends as its process would. The load
/// balancer sends callers for a tenth of the stop.
class GracefulStop : public ::testing::Test
{
protected:
    static constexpr milliseconds stopWithin{3000};

    GracefulStop()
        : m_target(m_world),
          m_loop(std::make_unique<asio::io_context>(1)),
          m_log(std::make_unique<SilentLog>(), m_clock, "a"),
          m_gateway(std::make_unique<Gateway>(*m_loop, m_clock, m_log, m_protocol, m_store, m_codec,
                                              options()))
    {
        auto server = GatewayServer::create(*m_gateway, [](const std::string &) { return ""; });
        if (server)
            m_server = std::move(*server);
        auto state = std::make_shared<DesiredState>();
        state->version = 1;
        Service service;
        service.name = "s";
        state->services.emplace("s", service);
        Route route;
        route.name = "r";
        route.host = "h";
        route.prefix = "/";
        route.services.push_back({"s", 1});
        state->routes.push_back(route);
        m_gateway->apply(state);
        TargetEntry entry;
        entry.id = "t";
        entry.incarnation = 1;
        entry.service = "s";
        entry.slots = 2;
        entry.address = m_target.address();
        m_gateway->directory.put(entry, m_clock.now(), m_clock.now());
        m_gateway->targetsKnown = true;
        m_gateway->setInstances({"a"});
    }
    ~GracefulStop() override { endProcess(); }

    void SetUp() override
    {
        ASSERT_NE(m_server, nullptr);
        m_server->start();
    }

    GatewayOptions options()
    {
        GatewayOptions out;
        out.name = "a";
        out.stopWithin = stopWithin;
        for (std::string *address : {&out.callerAddress, &out.readinessAddress}) {
            const tcp::acceptor free(m_world, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
            *address = "127.0.0.1:" + std::to_string(free.local_endpoint().port());
        }
        return out;
    }
    static StopTiming stopTiming()
    {
        StopTiming timing;
        timing.balancerWait = stopWithin / 10;
        timing.reserve = milliseconds(0);
        return timing;
    }

    std::unique_ptr<Caller> connect()
    {
        return std::make_unique<Caller>(m_world, m_gateway->options.callerAddress);
    }
    void stop()
    {
        asio::co_spawn(*m_loop, stopGracefully(*m_gateway, *m_server, stopTiming()),
                       asio::detached);
    }
    [[nodiscard]] bool processEnded() const { return m_loop == nullptr; }

    /// Runs both loops until the condition holds, for at most 10 s.
    bool runUntil(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!condition() && std::chrono::steady_clock::now() < end) {
            m_world.restart();
            m_world.poll();
            if (m_loop) {
                m_loop->poll();
                if (m_loop->stopped())
                    endProcess();
            }
            std::this_thread::sleep_for(milliseconds(1));
        }
        return condition();
    }
    /// Runs until the process has ended and what it sent has arrived.
    bool runToEnd(const Caller &caller)
    {
        return runUntil([&] { return processEnded() && caller.ended(); });
    }
    bool runUntilAcceptingEnds()
    {
        return runUntil([this] {
            beast::error_code failure;
            tcp::socket probe(m_world);
            probe.connect(*parseEndpoint(m_address), failure);
            return bool(failure);
        });
    }

    void endProcess()
    {
        m_server.reset();
        m_gateway.reset();
        m_loop.reset();
    }

    asio::io_context m_world;
    TimedTarget m_target;
    std::unique_ptr<asio::io_context> m_loop;
    const BoottimeClock m_clock;
    EventLog m_log;
    HttpTargetProtocol m_protocol;
    NoStore m_store;
    NoCodec m_codec;
    std::unique_ptr<Gateway> m_gateway;
    std::unique_ptr<GatewayServer> m_server;
    const std::string m_address = m_gateway->options.callerAddress;
};

/// Guards against requests on kept connections that are passed on late in a stop and cut at its end
/// (LOST, review/3).
TEST_F(GracefulStop, idleConnectionsAreClosedBeforeTheirRequestsCouldBeCut)
{
    const auto caller = connect();
    caller->send(request("early", 0, 5000));
    ASSERT_TRUE(runUntil([&] { return caller->count(success) == 1; }));
    const auto busy = connect();
    busy->send(request("busy", 1000, 2000));
    ASSERT_TRUE(runUntil([&] { return m_target.got("busy"); }));
    stop();
    ASSERT_TRUE(runUntilAcceptingEnds());
    if (!caller->ended())
        caller->send(request("late", 5000, 5000));
    ASSERT_TRUE(runToEnd(*caller));
    EXPECT_FALSE(m_target.got("late"));
    EXPECT_EQ(busy->count(success), 1U);
    EXPECT_FALSE(caller->reset());
}

/// Guards against requests that are cut because only their first part had been read when nothing
/// else was in progress (LOST, seen with bodies in chunks).
TEST_F(GracefulStop, aRequestThatIsHalfReadWhenTheLastOtherOneEndsIsAnswered)
{
    const auto caller = connect();
    caller->send(chunkedStart("half", 0, 1000));
    stop();
    ASSERT_TRUE(runUntilAcceptingEnds());
    caller->send(chunkedRest);
    ASSERT_TRUE(runToEnd(*caller));
    EXPECT_EQ(caller->count(success), 1U) << caller->received();
    EXPECT_NE(caller->received().find("done"), std::string::npos);
}

/// Guards against passing on what would be cut.
TEST_F(GracefulStop, aRequestThatMayOutlastTheStopIsRejectedAtOnce)
{
    const auto caller = connect();
    caller->send(chunkedStart("long", 2000, 5000));
    stop();
    ASSERT_TRUE(runUntilAcceptingEnds());
    caller->send(chunkedRest);
    ASSERT_TRUE(runUntil([&] { return caller->count(rejected) == 1 || processEnded(); }));
    EXPECT_EQ(caller->count(rejected), 1U) << caller->received();
    EXPECT_NE(caller->received().find("Retry-After: "), std::string::npos);
    EXPECT_FALSE(processEnded());
    EXPECT_FALSE(m_target.got("long"));
}

/// Guards against a closed connection in place of a truthful rejection.
TEST_F(GracefulStop, aRequestThatNeverBecomesWholeIsRejectedBeforeTheEnd)
{
    const auto caller = connect();
    caller->send(chunkedStart("half", 0, 1000));
    const auto headless = connect();
    headless->send("POST /0 HTTP/1.1\r\nHo");
    stop();
    ASSERT_TRUE(runToEnd(*caller));
    EXPECT_EQ(caller->count(rejected), 1U) << caller->received();
    EXPECT_EQ(headless->count(rejected), 1U) << headless->received();
    EXPECT_FALSE(m_target.got("half"));
}

/// Guards against cutting requests that were never sent to a target.
TEST_F(GracefulStop, aRequestThatStillWaitsAtTheEndIsRejected)
{
    const auto first = connect();
    const auto second = connect();
    const auto waiting = connect();
    first->send(request("first", 3000, 9000));
    second->send(request("second", 3000, 9000));
    ASSERT_TRUE(runUntil([&] { return m_target.got("first") && m_target.got("second"); }));
    waiting->send(request("waiting", 0, 9000));
    ASSERT_TRUE(runUntil([&] { return m_gateway->active == 3; }));
    stop();
    ASSERT_TRUE(runToEnd(*waiting));
    EXPECT_EQ(waiting->count(rejected), 1U) << waiting->received();
    EXPECT_FALSE(m_target.got("waiting"));
}

/// Guards against announcing the end of a connection while a further request on it has been read.
TEST_F(GracefulStop, twoRequestsInOnePacketAreBothAnswered)
{
    const auto caller = connect();
    caller->send(request("one", 100, 1000) + request("two", 100, 1000));
    ASSERT_TRUE(runUntil([&] { return m_target.got("one"); }));
    stop();
    ASSERT_TRUE(runToEnd(*caller));
    EXPECT_EQ(caller->count(success), 2U) << caller->received();
    EXPECT_EQ(caller->count("Connection: close"), 1U) << caller->received();
}

/// Guards against a reset of connections that wait to be accepted when accepting ends.
TEST_F(GracefulStop, connectionsInTheListenQueueAreServed)
{
    std::vector<std::unique_ptr<Caller>> callers;
    constexpr std::size_t more = 40; // than are accepted in one iteration of the loop
    for (std::size_t index = 0; index < more; ++index) {
        callers.push_back(connect());
        callers.back()->send(request("q" + std::to_string(index), 0, 5000));
    }
    m_gateway->stopping = true;
    m_server->stopAccepting();
    for (const auto &caller : callers) {
        ASSERT_TRUE(runUntil([&] { return caller->ended(); }));
        EXPECT_EQ(caller->count(success), 1U);
    }
}

} // namespace

} // namespace yuccaspan::platform

#include "gateway/boottime_clock.hpp"
#include "gateway/control_doubles.hpp"
#include "gateway/gateway_server.hpp"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;

/// A loopback port that was unused a moment ago.
std::string freeAddress(asio::io_context &loop)
{
    const tcp::acceptor acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// A gateway with one route to a service without keys, whose target counts its connections and
/// what it receives.
class LateRequests : public ::testing::Test
{
protected:
    LateRequests()
        : m_target(m_loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          m_log(std::make_unique<SilentLog>(), m_clock, "a"),
          m_gateway(m_loop, m_clock, m_log, m_protocol, m_store, m_codec, options())
    {
        auto server = GatewayServer::create(m_gateway, [](const std::string &) { return ""; });
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
        m_gateway.apply(state);
        TargetEntry entry;
        entry.id = "t";
        entry.incarnation = 1;
        entry.service = "s";
        entry.address = "127.0.0.1:" + std::to_string(m_target.local_endpoint().port());
        m_gateway.directory.put(entry, m_clock.now(), m_clock.now());
        m_gateway.targetsKnown = true;
        m_gateway.storeAway = true;
        m_gateway.setInstances({"a"});
        m_target.async_accept([this](beast::error_code failure, tcp::socket socket) {
            if (failure)
                return;
            m_atTarget = std::make_unique<tcp::socket>(std::move(socket));
            m_atTarget->async_read_some(
                asio::buffer(m_bytes),
                [this](beast::error_code, std::size_t count) { m_received += count; });
        });
    }

    GatewayOptions options()
    {
        GatewayOptions out;
        out.name = "a";
        out.callerAddress = freeAddress(m_loop);
        out.readinessAddress = freeAddress(m_loop);
        return out;
    }

    /// A caller that has sent a request before the gateway's loop runs again.
    std::unique_ptr<tcp::socket> callerWithRequest()
    {
        auto caller = std::make_unique<tcp::socket>(m_loop);
        caller->connect(*parseEndpoint(m_gateway.options.callerAddress));
        const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        asio::write(*caller, asio::buffer(request));
        return caller;
    }

    asio::io_context m_loop;
    const BoottimeClock m_clock;
    tcp::acceptor m_target;
    EventLog m_log;
    NoProtocol m_protocol;
    NoStore m_store;
    NoCodec m_codec;
    Gateway m_gateway;
    std::unique_ptr<GatewayServer> m_server;
    std::unique_ptr<tcp::socket> m_atTarget;
    std::array<char, 4096> m_bytes{};
    std::size_t m_received = 0;
};

/// Guards against forwarding a request that a lagging loop read after its caller had closed the
/// connection (soak code GONE, seen in large deployments).
TEST_F(LateRequests, aRequestOfADisconnectedCallerIsNotSent)
{
    ASSERT_NE(m_server, nullptr);
    callerWithRequest()->close();
    m_server->start();
    for (int step = 0; step < 400 && m_gateway.callers->open() == 0 && !m_atTarget; ++step)
        m_loop.run_for(milliseconds(5));
    for (int step = 0; step < 400 && m_gateway.callers->open() > 0; ++step)
        m_loop.run_for(milliseconds(5));
    m_loop.run_for(milliseconds(50));
    EXPECT_EQ(m_received, 0U);
}

TEST_F(LateRequests, aRequestOfAConnectedCallerIsSent)
{
    ASSERT_NE(m_server, nullptr);
    const auto caller = callerWithRequest();
    m_server->start();
    for (int step = 0; step < 400 && m_received == 0; ++step)
        m_loop.run_for(milliseconds(5));
    EXPECT_GT(m_received, 0U);
}

/// Guards against an instance that takes the whole of each shared limit after a start, because it
/// has read the targets but not yet the other instances (soak code FAILBACK).
TEST_F(LateRequests, areRejectedUntilTheOtherInstancesAreKnown)
{
    ASSERT_NE(m_server, nullptr);
    m_gateway.instancesKnown = false;
    EXPECT_FALSE(m_gateway.ready());
    const auto caller = callerWithRequest();
    m_server->start();
    std::string answer(4096, '\0');
    std::size_t length = 0;
    caller->async_read_some(asio::buffer(answer),
                            [&](beast::error_code, std::size_t count) { length = count; });
    for (int step = 0; step < 400 && length == 0; ++step)
        m_loop.run_for(milliseconds(5));
    answer.resize(length);
    EXPECT_NE(answer.find("503"), std::string::npos) << answer;
    EXPECT_NE(answer.find("not-ready"), std::string::npos) << answer;
    EXPECT_EQ(m_received, 0U);
}

/// Guards against slow recovery from overload: a loop with iterations of 0.3 s accepted three
/// connections a second, each after its caller had left (soak code RECOVER, in large deployments).
TEST_F(LateRequests, oneLoopIterationAcceptsManyConnections)
{
    ASSERT_NE(m_server, nullptr);
    constexpr std::size_t count = 16;
    std::vector<std::unique_ptr<tcp::socket>> callers;
    m_server->start();
    m_loop.poll();
    for (std::size_t index = 0; index < count; ++index)
        callers.push_back(callerWithRequest());
    // Handlers that were queued when the loop polled for new connections run in one iteration.
    m_loop.poll_one();
    for (std::size_t ran = 0; ran < count; ++ran)
        m_loop.poll_one();
    EXPECT_EQ(m_gateway.callers->open(), count);
}

} // namespace

} // namespace yuccaspan::gateway

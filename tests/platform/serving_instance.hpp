/// \file
/// \brief An instance with one target and its callers, on loops that a test runs in turn.
#pragma once

#include "../gateway/control_doubles.hpp"
#include "gateway/boottime_clock.hpp"
#include "gateway/gateway_server.hpp"
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

using namespace gateway; // NOLINT(google-build-using-namespace): as in the tests beside it

/// \brief A target that answers each request after the time that the path names: "/30" takes 30 ms.
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
    /// Sets the body of its answers.
    void setBody(std::string body) { m_body = std::move(body); }
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
            asio::steady_timer timer(
                m_loop, std::chrono::milliseconds(std::stoi(request.target().substr(1))));
            co_await timer.async_wait(asTuple);
            const std::string answer = "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Request-Id: "
                + id + "\r\nContent-Length: " + std::to_string(m_body.size()) + "\r\n\r\n" + m_body;
            co_await asio::async_write(socket, asio::buffer(answer), asTuple);
        }
    }

    asio::io_context &m_loop;
    tcp::acceptor m_acceptor;
    std::vector<std::string> m_ids;
    std::string m_body = "done";
};

/// \brief A caller's connection, which is read all the time.
class Caller
{
public:
    Caller(asio::io_context &loop, const std::string &address) : m_socket(loop)
    {
        m_socket.connect(*parseEndpoint(address));
        asio::co_spawn(loop, read(), asio::detached);
    }
    void send(const std::string &text) { asio::write(m_socket, asio::buffer(text)); }
    /// Sends as much as the system takes at once; returns the number of bytes.
    std::size_t sendSome(const std::string &text)
    {
        beast::error_code failure;
        m_socket.non_blocking(true, failure);
        return m_socket.write_some(asio::buffer(text), failure);
    }
    /// Sends a text while the loop runs.
    void sendInBackground(std::string text)
    {
        const auto kept = std::make_shared<std::string>(std::move(text));
        asio::async_write(m_socket, asio::buffer(*kept), [kept](beast::error_code, std::size_t) {});
    }
    /// Closes the connection.
    void leave() { m_socket.close(); }
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

/// \brief A log that keeps its lines.
class RecordingLog final : public DecisionLog
{
public:
    explicit RecordingLog(std::vector<std::string> &lines) : m_lines(lines) { }
    void write(std::string_view /*part*/, std::string text) noexcept override
    {
        m_lines.push_back(std::move(text));
    }
    [[nodiscard]] bool wantsRouting() const noexcept override { return true; }
    [[nodiscard]] std::uint64_t dropped() const noexcept override { return 0; }
    [[nodiscard]] std::uint64_t written() const noexcept override { return m_lines.size(); }

private:
    std::vector<std::string> &m_lines;
};

/// \brief An instance whose process can end: its connections are then closed.
class ServingInstance : public ::testing::Test
{
protected:
    /// \param change Changes the options of the instance.
    explicit ServingInstance(const std::function<void(GatewayOptions &)> &change)
        : m_target(m_world),
          m_loop(std::make_unique<asio::io_context>(1)),
          m_log(std::make_unique<RecordingLog>(m_lines), m_clock, "a"),
          m_gateway(std::make_unique<Gateway>(*m_loop, m_clock, m_log, m_protocol, m_store, m_codec,
                                              options(change)))
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
        m_gateway->storeAway = true;
        m_gateway->setInstances({"a"});
    }
    ~ServingInstance() override { endProcess(); }

    void SetUp() override
    {
        ASSERT_NE(m_server, nullptr);
        m_server->start();
    }

    std::unique_ptr<Caller> connect() { return std::make_unique<Caller>(m_world, m_address); }
    [[nodiscard]] bool processEnded() const { return m_loop == nullptr; }
    void endProcess()
    {
        m_server.reset();
        m_gateway.reset();
        m_loop.reset();
    }

    /// \brief Runs both loops until the condition holds, for at most 10 s.
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
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return condition();
    }

    asio::io_context m_world; ///< Of callers and target.
    TimedTarget m_target;
    std::unique_ptr<asio::io_context> m_loop; ///< Of the instance.
    const BoottimeClock m_clock;
    std::vector<std::string> m_lines; ///< Of the log.
    EventLog m_log;
    HttpTargetProtocol m_protocol;
    NoStore m_store;
    NoCodec m_codec;
    std::unique_ptr<Gateway> m_gateway;
    std::unique_ptr<GatewayServer> m_server;
    const std::string m_address = m_gateway->options.callerAddress;

private:
    GatewayOptions options(const std::function<void(GatewayOptions &)> &change)
    {
        GatewayOptions out;
        out.name = "a";
        for (std::string *address : {&out.callerAddress, &out.readinessAddress}) {
            const tcp::acceptor free(m_world, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
            *address = "127.0.0.1:" + std::to_string(free.local_endpoint().port());
        }
        change(out);
        return out;
    }
};

/// \brief The head of a request.
/// \param further Further header fields, each with its line end.
inline std::string requestHead(const std::string &id, int workMs, int deadlineMs,
                               const std::string &further)
{
    return "POST /" + std::to_string(workMs) + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + further + "\r\n";
}

/// \brief A request without a body.
inline std::string request(const std::string &id, int workMs, int deadlineMs)
{
    return requestHead(id, workMs, deadlineMs, "Content-Length: 0\r\n");
}

inline constexpr const char *success = "HTTP/1.1 200 OK\r\n";
inline constexpr const char *rejected = "HTTP/1.1 503 Service Unavailable\r\n";

} // namespace yuccaspan::platform

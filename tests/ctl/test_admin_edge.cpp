#include "fake_admin_source.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace yuccaspan {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A raw TCP connection to a server.
class RawClient
{
public:
    explicit RawClient(std::uint16_t port) : m_socket(m_context)
    {
        m_socket.connect({asio::ip::address_v4::loopback(), port});
    }

    /// Sends bytes, shuts down the sending side and reads until the server closes.
    std::string exchange(const std::string &bytes)
    {
        boost::system::error_code ignored;
        asio::write(m_socket, asio::buffer(bytes), ignored);
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        std::string answer;
        asio::read(m_socket, asio::dynamic_buffer(answer), ignored);
        return answer;
    }

    /// Sends a request, reads the start of its answer and keeps the connection open.
    std::string ask(const std::string &request)
    {
        boost::system::error_code failure;
        asio::write(m_socket, asio::buffer(request), failure);
        std::array<char, 16> start{};
        const std::size_t length = m_socket.read_some(asio::buffer(start), failure);
        return {start.data(), length};
    }

private:
    asio::io_context m_context;
    tcp::socket m_socket;
};

constexpr const char *healthRequest = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

std::unique_ptr<AdminServer> startServer(AdminSource &source, std::uint32_t maxConnections = 64)
{
    AdminOptions options;
    options.maxConnections = maxConnections;
    Result<std::unique_ptr<AdminServer>> server = makeAdminServer(options, source);
    EXPECT_TRUE(server);
    return std::move(*server);
}

TEST(AdminEdge, RejectsMalformedAndOversizedRequests)
{
    FakeAdminSource source;
    const auto server = startServer(source);
    const auto exchange = [&](const std::string &bytes) {
        return RawClient(server->port()).exchange(bytes);
    };
    EXPECT_TRUE(exchange("not HTTP at all\r\n\r\n").starts_with("HTTP/1.1 400 "));
    EXPECT_TRUE(exchange("GET / HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n")
                    .starts_with("HTTP/1.1 431 "));
    EXPECT_TRUE(exchange("POST /v1/moves HTTP/1.1\r\nContent-Length: 70000\r\n\r\n")
                    .starts_with("HTTP/1.1 413 "));
    EXPECT_TRUE(exchange(healthRequest).starts_with("HTTP/1.1 200 "));
}

TEST(AdminEdge, ClosesConnectionsOverLimit)
{
    FakeAdminSource source;
    const auto server = startServer(source, 2);
    RawClient first(server->port());
    RawClient second(server->port());
    EXPECT_FALSE(first.ask(healthRequest).empty());
    EXPECT_FALSE(second.ask(healthRequest).empty());
    RawClient third(server->port());
    EXPECT_TRUE(third.ask(healthRequest).empty());
}

TEST(AdminEdge, ReportsUnusableListenAddress)
{
    FakeAdminSource source;
    const auto server = startServer(source);
    AdminOptions options;
    options.port = server->port();
    const auto second = makeAdminServer(options, source);
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().code, ErrorCode::Unavailable);
    options.address = "localhost";
    EXPECT_EQ(makeAdminServer(options, source).error().code, ErrorCode::InvalidArgument);
}

RC_GTEST_PROP(AdminEdge, SurvivesArbitraryBytes, ())
{
    FakeAdminSource source;
    const auto server = startServer(source);
    std::string bytes = *rc::gen::arbitrary<std::string>();
    const std::string start = *rc::gen::element<std::string>(
        "", "GET ", "GET / HTTP/1.1\r\n", "POST /v1/moves HTTP/1.1\r\nContent-Length: 5\r\n\r\n",
        "POST /v1/moves HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    RawClient(server->port()).exchange(start + bytes);
    RC_ASSERT(RawClient(server->port()).exchange(healthRequest).starts_with("HTTP/1.1 200 "));
}

} // namespace
} // namespace yuccaspan

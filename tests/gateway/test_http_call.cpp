#include "gateway/http_call.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;

/// A server on a free port that runs the given handler for each connection.
class Peer
{
public:
    using Script = std::function<asio::awaitable<void>(tcp::socket &)>;

    Peer(asio::io_context &loop, Script script)
        : m_acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          m_script(std::move(script))
    {
        asio::co_spawn(loop, run(), asio::detached);
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    asio::awaitable<void> run()
    {
        auto [failure, socket] = co_await m_acceptor.async_accept(asTuple);
        if (!failure)
            co_await m_script(socket);
    }

    tcp::acceptor m_acceptor;
    Script m_script;
};

HttpRequest request()
{
    HttpRequest out(http::verb::post, "/grant", httpVersion11);
    out.body() = "body";
    out.prepare_payload();
    return out;
}

CallResult call(asio::io_context &loop, const std::string &address, CallOptions options,
                HttpRequest sent = request())
{
    CallResult result;
    const auto pool = ClientPool::create(loop, address, {.idleLimit = std::chrono::seconds(1)});
    asio::co_spawn(
        loop,
        [&]() -> asio::awaitable<void> {
            result = co_await pool->call(std::move(sent), std::move(options));
        },
        asio::detached);
    loop.run();
    return result;
}

asio::awaitable<void> readHead(tcp::socket &socket)
{
    std::string bytes(4096, '\0');
    co_await socket.async_read_some(asio::buffer(bytes), asTuple);
}

asio::awaitable<void> send(tcp::socket &socket, std::string text)
{
    co_await asio::async_write(socket, asio::buffer(text), asTuple);
}

/// Unsent bytes of an abandoned call must not arrive later, so its connection is reset, not closed.
TEST(HttpCall, resetsTheConnectionOfAnAbandonedCall)
{
    asio::io_context loop;
    beast::error_code end;
    Peer peer(loop, [&](tcp::socket &socket) -> asio::awaitable<void> {
        co_await readHead(socket);
        char byte = 0;
        const auto [failure, count] =
            co_await asio::async_read(socket, asio::buffer(&byte, 1), asTuple);
        end = failure;
    });
    CallOptions options;
    options.timeout = milliseconds(50);
    EXPECT_EQ(call(loop, peer.address(), std::move(options)).end, CallEnd::TimedOut);
    EXPECT_EQ(end, asio::error::connection_reset);
}

TEST(HttpCall, reportsNotSentWhenTheConnectionIsRefused)
{
    asio::io_context loop;
    tcp::acceptor acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    acceptor.close();
    const CallResult result = call(loop, address, {});
    EXPECT_EQ(result.end, CallEnd::NotSent);
    EXPECT_TRUE(result.refused);
}

TEST(HttpCall, dropsResponsesToOtherCalls)
{
    asio::io_context loop;
    Peer peer(loop, [](tcp::socket &socket) -> asio::awaitable<void> {
        co_await readHead(socket);
        co_await send(socket,
                      "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\na"
                      "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 1\r\n\r\nb");
    });
    CallOptions options;
    options.belongs = [](const HttpResponse &response) { return response["Id"] == "mine"; };
    const CallResult result = call(loop, peer.address(), std::move(options));
    EXPECT_EQ(result.end, CallEnd::Answered);
    EXPECT_EQ(result.response.body(), "b");
}

/// Such a response is complete only if the connection was closed without an error.
TEST(HttpCall, aResponseWithoutLengthEndsWithItsConnection)
{
    for (const bool reset : {false, true}) {
        asio::io_context loop;
        Peer peer(loop, [reset](tcp::socket &socket) -> asio::awaitable<void> {
            co_await readHead(socket);
            co_await send(socket, "HTTP/1.1 200 OK\r\n\r\npart");
            if (reset) {
                asio::steady_timer timer(socket.get_executor(), milliseconds(20));
                co_await timer.async_wait(asTuple);
                socket.set_option(tcp::socket::linger(true, 0));
            }
            socket.close();
        });
        const CallResult result = call(loop, peer.address(), {});
        EXPECT_EQ(result.end, reset ? CallEnd::Broken : CallEnd::Answered);
    }
}

/// The write of the request takes the socket's error, and the read then sees an ordinary end.
TEST(HttpCall, aResponseWithoutLengthThatIsResetDuringTheUploadIsNotAnAnswer)
{
    constexpr std::size_t uploadBytes = 6'000'000;
    constexpr std::size_t partBytes = 20'000;
    constexpr int rounds = 30;
    for (const bool reset : {true, false}) {
        int answered = 0;
        for (int round = 0; round < rounds; ++round) {
            asio::io_context loop;
            Peer peer(loop, [reset](tcp::socket &socket) -> asio::awaitable<void> {
                co_await readHead(socket);
                co_await send(socket, "HTTP/1.1 200 OK\r\n\r\n" + std::string(partBytes, 'x'));
                if (reset) {
                    socket.set_option(tcp::socket::linger(true, 0));
                    socket.close();
                    co_return;
                }
                socket.shutdown(tcp::socket::shutdown_send);
                std::string rest(uploadBytes, '\0');
                co_await asio::async_read(socket, asio::buffer(rest), asTuple);
            });
            HttpRequest upload = request();
            upload.body() = std::string(uploadBytes, 'u');
            upload.prepare_payload();
            const CallResult result = call(loop, peer.address(), {}, std::move(upload));
            answered += result.end == CallEnd::Answered ? 1 : 0;
        }
        EXPECT_EQ(answered, reset ? 0 : rounds);
    }
}

TEST(HttpCall, aTruncatedResponseIsNotAnAnswer)
{
    asio::io_context loop;
    Peer peer(loop, [](tcp::socket &socket) -> asio::awaitable<void> {
        co_await readHead(socket);
        co_await send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
        socket.close();
    });
    EXPECT_EQ(call(loop, peer.address(), {}).end, CallEnd::Broken);
}

/// Guards against sending after the send deadline because connecting took long (soak code DRAIN,
/// seen in large deployments).
TEST(HttpCall, sendsNothingWhenSendingIsNoLongerAllowedAfterConnecting)
{
    asio::io_context loop;
    std::size_t received = 0;
    Peer peer(loop, [&loop, &received](tcp::socket &socket) -> asio::awaitable<void> {
        asio::steady_timer timer(loop, milliseconds(30));
        co_await timer.async_wait(asTuple);
        received = socket.available();
    });
    CallOptions options;
    options.maySend = [] { return false; };
    EXPECT_EQ(call(loop, peer.address(), std::move(options)).end, CallEnd::Withheld);
    EXPECT_EQ(received, 0U);
}

/// Sends the head of a response and then repeats the same bytes until the caller closes, or up to
/// 64 MB.
Peer::Script endlessBytes(std::string head, std::size_t &sent)
{
    return [head = std::move(head), &sent](tcp::socket &socket) -> asio::awaitable<void> {
        co_await asio::async_write(socket, asio::buffer(head), asTuple);
        const std::string more(4096, 'x');
        while (sent < std::size_t{64} << 20) {
            const auto [failure, count] =
                co_await asio::async_write(socket, asio::buffer(more), asTuple);
            if (failure)
                co_return;
            sent += count;
        }
    };
}

/// A faulty server may send an endless header or body.
TEST(HttpCall, limitsTheSizeOfEndlessHeadersAndBodies)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    for (const std::string &head :
         {ok + "X: ", ok + "\r\n", std::string("garbage"), std::string("HTTP/1.1 200 "), chunked,
          chunked + "1;", chunked + "1;a=", chunked + "0\r\nX: "}) {
        asio::io_context loop;
        std::size_t sent = 0;
        Peer peer(loop, endlessBytes(head, sent));
        CallOptions options;
        options.timeout = std::chrono::seconds(30);
        options.bodyLimit = 100'000;
        EXPECT_EQ(call(loop, peer.address(), std::move(options)).end, CallEnd::Broken) << head;
        // Data beyond the limits stays unread in the system's buffers.
        EXPECT_LT(sent, std::size_t{32} << 20) << head;
    }
}

/// Guards against endless bodies that each stay below the limit of one response, but together use
/// up the memory of the process (review/4).
TEST(HttpCall, endlessBodiesTogetherDoNotDisplaceASoundOne)
{
    asio::io_context loop;
    constexpr std::size_t limit = 4'000'000;
    const auto memory = MessageMemory::create(limit);
    std::size_t sent = 0;
    std::size_t most = 0;
    std::vector<CallResult> results(4);
    std::vector<std::unique_ptr<Peer>> peers;
    const std::string soundBody(limit / 8, 's');
    for (std::size_t index = 0; index < results.size(); ++index) {
        Peer::Script script =
            endlessBytes("HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n", sent);
        if (index == 0) {
            script = [&soundBody](tcp::socket &socket) -> asio::awaitable<void> {
                co_await readHead(socket);
                co_await send(socket,
                              "HTTP/1.1 200 OK\r\nContent-Length: "
                                  + std::to_string(soundBody.size()) + "\r\n\r\n");
                for (std::size_t at = 0; at < soundBody.size(); at += soundBody.size() / 10) {
                    co_await send(socket, soundBody.substr(at, soundBody.size() / 10));
                    asio::steady_timer timer(socket.get_executor(), milliseconds(20));
                    co_await timer.async_wait(asTuple);
                }
            };
        }
        peers.push_back(std::make_unique<Peer>(loop, script));
        asio::co_spawn(
            loop,
            [&, index]() -> asio::awaitable<void> {
                const auto pool =
                    ClientPool::create(loop, peers[index]->address(),
                                       {.idleLimit = std::chrono::seconds(1), .memory = memory});
                CallOptions options;
                options.timeout = std::chrono::seconds(30);
                options.onResponse = [&](const HttpResponse &) {
                    most = std::max(most, memory->used());
                };
                results[index] = co_await pool->call(request(), std::move(options));
            },
            asio::detached);
    }
    loop.run();
    EXPECT_EQ(results[0].end, CallEnd::Answered);
    EXPECT_EQ(results[0].response.body(), soundBody);
    for (std::size_t index = 1; index < results.size(); ++index)
        EXPECT_EQ(results[index].end, CallEnd::Broken);
    EXPECT_LE(most, limit);
    EXPECT_EQ(memory->givenUp(), 3U);
    results.clear();
    EXPECT_EQ(memory->used(), 0U);
}

} // namespace

} // namespace yuccaspan::gateway

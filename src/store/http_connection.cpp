#include "store/http_connection.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace yuccaspan::impl {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr std::uint64_t maxAnswerBytes = 64U << 20U;

class BeastConnection final : public HttpConnection,
                              public std::enable_shared_from_this<BeastConnection>
{
public:
    BeastConnection(asio::io_context &context, HostPort peer, std::function<void()> onConnect)
        : m_context(context), m_peer(std::move(peer)), m_onConnect(std::move(onConnect))
    { }

    void call(HttpCall request, Done done) override
    {
        m_done = std::move(done);
        m_isGet = request.method == "GET";
        m_sent = false;
        m_deadline = std::chrono::steady_clock::now() + request.timeout;
        buildRequest(std::move(request));
        m_connectionReused = isReusable();
        if (m_connectionReused)
            send();
        else
            connect();
    }

    void close() override
    {
        error_code ignored;
        if (m_stream)
            m_stream->socket().close(ignored);
    }

private:
    void buildRequest(HttpCall &&call)
    {
        m_request = {};
        m_request.version(11);
        m_request.method_string(call.method);
        m_request.target(call.target);
        m_request.set(http::field::host, m_peer.address + ':' + std::to_string(m_peer.port));
        for (const auto &[name, value] : call.headers)
            m_request.set(name, value);
        m_request.body() = std::move(call.body);
        m_request.prepare_payload();
    }

    /// Whether the connection is open and the peer has not closed it while it was idle.
    bool isReusable()
    {
        if (!m_stream || !m_stream->socket().is_open())
            return false;
        error_code result;
        char byte = 0;
        m_stream->socket().non_blocking(true, result);
        m_stream->socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, result);
        return result == asio::error::would_block;
    }

    void connect()
    {
        error_code failure;
        const auto address = asio::ip::make_address(m_peer.address, failure);
        m_onConnect();
        m_buffer.clear();
        m_stream.emplace(m_context);
        m_stream->expires_at(m_deadline);
        m_stream->async_connect(asio::ip::tcp::endpoint(address, m_peer.port),
                                [self = shared_from_this()](error_code result) {
                                    if (result)
                                        return self->fail("connect", result);
                                    error_code ignored;
                                    self->m_stream->socket().set_option(
                                        asio::ip::tcp::no_delay(true), ignored);
                                    self->send();
                                });
    }

    void send()
    {
        m_stream->expires_at(m_deadline);
        const auto onSent = [self = shared_from_this()](error_code result, std::size_t bytes) {
            self->m_sent = self->m_sent || bytes > 0;
            if (result)
                return self->retryOrFail("send", result);
            self->receive();
        };
        http::async_write(*m_stream, m_request, onSent);
    }

    void receive()
    {
        m_parser.emplace();
        m_parser->body_limit(maxAnswerBytes);
        const auto onReceived = [self = shared_from_this()](error_code result, std::size_t bytes) {
            if (result && bytes == 0)
                return self->retryOrFail("receive", result);
            if (result)
                return self->fail("receive", result);
            self->handleResponse();
        };
        http::async_read(*m_stream, m_buffer, *m_parser, onReceived);
    }

    /// Retries a GET once on a new connection if the peer closed the reused connection.
    void retryOrFail(const char *step, error_code result)
    {
        const bool isTimeout = result == beast::error::timeout;
        const bool mayRetry =
            m_isGet && m_connectionReused && !isTimeout && m_stream && m_stream->socket().is_open();
        if (!mayRetry)
            return fail(step, result);
        m_connectionReused = false;
        connect();
    }

    void handleResponse()
    {
        HttpAnswer answer;
        answer.status = m_parser->get().result_int();
        answer.etag = std::string(m_parser->get()[http::field::etag]);
        answer.body = std::move(m_parser->get().body());
        m_stream->expires_never();
        if (!m_parser->get().keep_alive())
            close();
        m_parser.reset();
        complete(std::move(answer));
    }

    void fail(const char *step, error_code result)
    {
        HttpFailure failure;
        failure.sent = m_sent;
        failure.timedOut = result == beast::error::timeout;
        failure.text = std::string(step) + ": " + result.message();
        close();
        complete(std::move(failure));
    }

    void complete(HttpResult result)
    {
        const Done done = std::move(m_done);
        m_done = nullptr;
        done(std::move(result));
    }

    asio::io_context &m_context;
    HostPort m_peer;
    std::function<void()> m_onConnect;
    std::optional<beast::tcp_stream> m_stream;
    beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    std::optional<http::response_parser<http::string_body>> m_parser;
    Done m_done;
    std::chrono::steady_clock::time_point m_deadline;
    bool m_isGet = false;
    bool m_connectionReused = false;
    bool m_sent = false;
};

} // namespace

std::shared_ptr<HttpConnection> makeHttpConnection(asio::io_context &context, HostPort peer,
                                                   std::function<void()> onConnect)
{
    return std::make_shared<BeastConnection>(context, std::move(peer), std::move(onConnect));
}

HttpResult callOnce(const HostPort &peer, HttpCall request)
{
    asio::io_context context;
    HttpResult result = HttpFailure{false, false, "the call did not complete"};
    const auto connection = makeHttpConnection(context, peer, [] {});
    connection->call(std::move(request), [&](HttpResult completed) {
        result = std::move(completed);
        connection->close();
    });
    context.run();
    return result;
}

std::string percentEncode(std::string_view text, std::string_view keep)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    std::string encoded;
    for (const char character : text) {
        if (unreserved.find(character) != std::string_view::npos
            || keep.find(character) != std::string_view::npos) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 15U];
    }
    return encoded;
}

} // namespace yuccaspan::impl

#include "admin/admin_routes.hpp"
#include "yuccaspan/admin.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <thread>

namespace yuccaspan {

namespace impl {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint32_t maxHeaderBytes = 16U << 10U;
constexpr std::uint64_t maxBodyBytes = 64U << 10U;
constexpr std::chrono::milliseconds acceptRetryDelay{100};
constexpr std::chrono::seconds drainTimeout{1};
constexpr std::size_t drainChunkBytes = 4U << 10U;
constexpr std::size_t maxDrainedBytes = 256U << 10U;

class AdminServerImpl;

/// One client connection.
class AdminSession : public std::enable_shared_from_this<AdminSession>
{
public:
    AdminSession(AdminServerImpl &server, tcp::socket socket)
        : m_server(server), m_stream(std::move(socket))
    { }

    void receive();

    void close()
    {
        error_code ignored;
        m_stream.socket().close(ignored);
    }

private:
    void received(error_code failure);
    void send(AdminAnswer answer, bool keepAlive);
    void sent(error_code failure, bool keepAlive);
    void drain(std::size_t bytesLeft);
    void end();

    AdminServerImpl &m_server;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
};

class AdminServerImpl final : public AdminServer
{
public:
    AdminServerImpl(AdminOptions options, AdminSource &source)
        : m_options(std::move(options)),
          m_source(source),
          m_acceptor(m_context),
          m_retryTimer(m_context)
    { }

    ~AdminServerImpl() override { shutDown(); }

    /// Opens the port and starts the thread.
    Status start()
    {
        error_code failure;
        const auto address = asio::ip::make_address(m_options.address, failure);
        if (failure)
            return Error{ErrorCode::InvalidArgument, "expected a numeric IP address", {}};
        const tcp::endpoint endpoint(address, m_options.port);
        m_acceptor.open(endpoint.protocol(), failure);
        if (!failure)
            m_acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
        if (!failure)
            m_acceptor.bind(endpoint, failure);
        if (!failure)
            m_acceptor.listen(asio::socket_base::max_listen_connections, failure);
        if (failure)
            return Error{
                ErrorCode::Unavailable, "cannot listen on the address: " + failure.message(), {}};
        m_port = m_acceptor.local_endpoint().port();
        accept();
        m_thread = std::thread([this] { m_context.run(); });
        return ok();
    }

    [[nodiscard]] std::uint16_t port() const noexcept override { return m_port; }

    void stop() override { shutDown(); }

    [[nodiscard]] const AdminOptions &options() const noexcept { return m_options; }
    [[nodiscard]] AdminSource &source() noexcept { return m_source; }
    void removeSession(const std::shared_ptr<AdminSession> &session) { m_sessions.erase(session); }

private:
    void accept()
    {
        m_acceptor.async_accept([this](error_code failure, tcp::socket socket) {
            if (!m_acceptor.is_open())
                return;
            if (!failure && m_sessions.size() < m_options.maxConnections) {
                const auto session = std::make_shared<AdminSession>(*this, std::move(socket));
                m_sessions.insert(session);
                session->receive();
            }
            if (!failure)
                return accept();
            m_retryTimer.expires_after(acceptRetryDelay);
            m_retryTimer.async_wait([this](error_code cancelled) {
                if (!cancelled)
                    accept();
            });
        });
    }

    void shutDown()
    {
        if (!m_thread.joinable())
            return;
        asio::post(m_context, [this] {
            error_code ignored;
            m_acceptor.close(ignored);
            m_retryTimer.cancel();
            for (const auto &session : m_sessions)
                session->close();
        });
        m_thread.join();
    }

    AdminOptions m_options;
    AdminSource &m_source;
    asio::io_context m_context{1};
    tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
    std::set<std::shared_ptr<AdminSession>> m_sessions;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

void AdminSession::receive()
{
    m_parser.emplace();
    m_parser->header_limit(maxHeaderBytes);
    m_parser->body_limit(maxBodyBytes);
    m_stream.expires_after(m_server.options().requestTimeout);
    http::async_read(m_stream, m_buffer, *m_parser,
                     [self = shared_from_this()](error_code failure, std::size_t /*bytes*/) {
                         self->received(failure);
                     });
}

void AdminSession::received(error_code failure)
{
    if (failure == http::error::body_limit || failure == http::error::header_limit) {
        AdminAnswer tooLong;
        tooLong.status = failure == http::error::body_limit ? 413 : 431;
        return send(std::move(tooLong), false);
    }
    if (failure && failure.category() == make_error_code(http::error::bad_method).category()
        && failure != http::error::end_of_stream) {
        AdminAnswer malformed;
        malformed.status = 400;
        return send(std::move(malformed), false);
    }
    if (failure)
        return end();
    const http::request<http::string_body> &request = m_parser->get();
    const AdminRequest plain{std::string(request.method_string()), std::string(request.target()),
                             request.body()};
    send(answerAdmin(m_server.source(), plain), request.keep_alive());
}

void AdminSession::send(AdminAnswer answer, bool keepAlive)
{
    m_response = {};
    m_response.version(11);
    m_response.result(answer.status);
    m_response.keep_alive(keepAlive);
    m_response.set(http::field::content_type, answer.contentType);
    if (!answer.allow.empty())
        m_response.set(http::field::allow, answer.allow);
    m_response.body() = std::move(answer.body);
    m_response.prepare_payload();
    m_stream.expires_after(m_server.options().requestTimeout);
    http::async_write(m_stream, m_response,
                      [self = shared_from_this(), keepAlive](error_code failure, std::size_t) {
                          self->sent(failure, keepAlive);
                      });
}

void AdminSession::sent(error_code failure, bool keepAlive)
{
    if (failure)
        return end();
    if (keepAlive)
        return receive();
    error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_stream.expires_after(drainTimeout);
    drain(maxDrainedBytes);
}

/// Reads the client's remaining bytes before closing, since a reset could discard the answer.
void AdminSession::drain(std::size_t bytesLeft)
{
    m_buffer.clear();
    m_stream.async_read_some(
        m_buffer.prepare(std::min(bytesLeft, drainChunkBytes)),
        [self = shared_from_this(), bytesLeft](error_code failure, std::size_t bytes) {
            if (failure || bytes >= bytesLeft)
                return self->end();
            self->drain(bytesLeft - bytes);
        });
}

void AdminSession::end()
{
    close();
    m_server.removeSession(shared_from_this());
}

} // namespace

} // namespace impl

Result<std::unique_ptr<AdminServer>> makeAdminServer(const AdminOptions &options,
                                                     AdminSource &source)
{
    auto server = std::make_unique<impl::AdminServerImpl>(options, source);
    const Status started = server->start();
    if (!started)
        return started.error();
    return std::unique_ptr<AdminServer>(std::move(server));
}

} // namespace yuccaspan

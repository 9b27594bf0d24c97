#include "http_server.hpp"

#include "event_loop_context.hpp"

#include <algorithm>
#include <cerrno>
#include <deque>
#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

namespace yuccaspan::standins {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

class Session;

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

class Exchange final : public HttpExchange
{
public:
    Exchange(std::weak_ptr<Session> session, Request request)
        : m_session(std::move(session)), m_request(std::move(request))
    {
        const std::string_view target = view(m_request.target());
        m_pathLength = std::min(target.find('?'), target.size());
    }

    [[nodiscard]] std::string_view method() const override
    {
        return view(m_request.method_string());
    }
    [[nodiscard]] std::string_view path() const override
    {
        return view(m_request.target()).substr(0, m_pathLength);
    }
    [[nodiscard]] std::optional<std::string> query(std::string_view name) const override;
    [[nodiscard]] std::string_view header(std::string_view name) const override
    {
        return view(m_request[boost::beast::string_view(name.data(), name.size())]);
    }
    [[nodiscard]] const std::string &body() const override { return m_request.body(); }
    [[nodiscard]] bool callerGone() const override;
    void respond(HttpAnswer answer) override;
    void respondRaw(std::string bytes) override;
    void drop() override;

    void setGone() { m_gone = true; }
    [[nodiscard]] bool keepAlive() const { return m_request.keep_alive(); }

private:
    std::weak_ptr<Session> m_session;
    Request m_request;
    std::size_t m_pathLength = 0;
    bool m_gone = false;
};

std::optional<std::string> Exchange::query(std::string_view name) const
{
    std::string_view rest = view(m_request.target()).substr(m_pathLength);
    while (!rest.empty()) {
        rest.remove_prefix(1);
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name)
            return std::string(pair.substr(std::min(equals + 1, pair.size())));
        rest.remove_prefix(end);
    }
    return std::nullopt;
}

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
    Impl(EventLoop &eventLoop, const HttpRouter &httpRouter, ConnectionLimits connectionLimits)
        : loop(eventLoop),
          router(httpRouter),
          limits(std::move(connectionLimits)),
          acceptor(eventLoop.context().io)
    { }

    void accept();
    void accepted(tcp::socket socket);

    EventLoop &loop;
    const HttpRouter &router;
    ConnectionLimits limits;
    tcp::acceptor acceptor;
    std::set<Session *> sessions;
    TimePoint acceptBusyUntil{};
    std::uint64_t acceptedCount = 0;
};

namespace {

/// Serves one connection: one request at a time, the next one is read ahead to notice a hang-up.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, std::shared_ptr<HttpServer::Impl> server);
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;
    ~Session();

    void read();
    void respond(bool keepAlive, HttpAnswer answer);
    void respondRaw(std::string bytes);
    void close();
    /// Whether the caller's end of the connection was closed, also if that was not read yet.
    [[nodiscard]] bool peerClosed();

private:
    void onRead(error_code error);
    void onWritten(error_code error);
    void dispatch(Request request);

    tcp::socket m_socket;
    std::shared_ptr<HttpServer::Impl> m_server;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::optional<Request> m_readAhead;
    std::shared_ptr<Exchange> m_current;
    Response m_response;
    bool m_closed = false;
};

Session::Session(tcp::socket socket, std::shared_ptr<HttpServer::Impl> server)
    : m_socket(std::move(socket)), m_server(std::move(server))
{
    m_server->sessions.insert(this);
}

Session::~Session()
{
    m_server->sessions.erase(this);
}

void Session::read()
{
    m_parser.emplace();
    m_parser->body_limit(maxRequestBodyBytes);
    http::async_read(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](error_code error, std::size_t) { self->onRead(error); });
}

void Session::onRead(error_code error)
{
    if (error) {
        close();
        return;
    }
    if (m_current)
        m_readAhead = m_parser->release();
    else
        dispatch(m_parser->release());
}

void Session::dispatch(Request request)
{
    m_current = std::make_shared<Exchange>(weak_from_this(), std::move(request));
    read();
    // The handler may answer at once, which may replace m_current.
    const ExchangePtr exchange = m_current;
    m_server->router.handle(exchange);
}

void Session::respond(bool keepAlive, HttpAnswer answer)
{
    if (m_closed)
        return;
    m_response = Response(static_cast<http::status>(answer.status), 11);
    m_response.keep_alive(keepAlive);
    if (!answer.body.empty())
        m_response.set(http::field::content_type, "application/json");
    for (const auto &[name, value] : answer.headers)
        m_response.set(name, value);
    m_response.body() = std::move(answer.body);
    m_response.prepare_payload();
    http::async_write(
        m_socket, m_response,
        [self = shared_from_this()](error_code error, std::size_t) { self->onWritten(error); });
}

void Session::onWritten(error_code error)
{
    if (error || !m_response.keep_alive()) {
        close();
        return;
    }
    m_current.reset();
    if (m_readAhead) {
        Request next = std::move(*m_readAhead);
        m_readAhead.reset();
        dispatch(std::move(next));
    }
}

void Session::respondRaw(std::string bytes)
{
    if (m_closed)
        return;
    const auto kept = std::make_shared<std::string>(std::move(bytes));
    boost::asio::async_write(
        m_socket, boost::asio::buffer(*kept),
        [self = shared_from_this(), kept](error_code, std::size_t) { self->close(); });
}

void Session::close()
{
    m_closed = true;
    if (m_current)
        m_current->setGone();
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

bool Session::peerClosed()
{
    char byte = 0;
    const ssize_t received =
        recv(m_socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool Exchange::callerGone() const
{
    if (m_gone)
        return true;
    const auto session = m_session.lock();
    return !session || session->peerClosed();
}

void Exchange::respond(HttpAnswer answer)
{
    if (const auto session = m_session.lock())
        session->respond(keepAlive(), std::move(answer));
}

void Exchange::respondRaw(std::string bytes)
{
    if (const auto session = m_session.lock())
        session->respondRaw(std::move(bytes));
}

void Exchange::drop()
{
    if (const auto session = m_session.lock())
        session->close();
}

Result<tcp::endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    const Error invalid{ErrorCode::InvalidArgument, "expected ip:port, found " + text, {}};
    if (colon == std::string::npos)
        return invalid;
    error_code error;
    const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
    const std::string digits = text.substr(colon + 1);
    constexpr std::size_t maxPortDigits = 5;
    const bool numeric = !digits.empty() && digits.size() <= maxPortDigits
        && std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (error || !numeric || std::stoul(digits) > UINT16_MAX)
        return invalid;
    return tcp::endpoint(address, static_cast<std::uint16_t>(std::stoul(digits)));
}

} // namespace

void HttpServer::Impl::accept()
{
    acceptor.async_accept([weak = weak_from_this()](error_code error, tcp::socket socket) {
        const auto self = weak.lock();
        if (!self || error == boost::asio::error::operation_aborted)
            return;
        if (!error)
            self->accepted(std::move(socket));
        self->accept();
    });
}

void HttpServer::Impl::accepted(tcp::socket socket)
{
    ++acceptedCount;
    if (limits.maxConnections != 0 && sessions.size() >= limits.maxConnections)
        return;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto session = std::make_shared<Session>(std::move(socket), shared_from_this());
    const Duration cost = limits.acceptCost ? limits.acceptCost() : Duration(0);
    if (cost == Duration(0)) {
        session->read();
        return;
    }
    const TimePoint now = loop.now();
    acceptBusyUntil = std::max(acceptBusyUntil, now) + cost;
    loop.runAfter(acceptBusyUntil - now, [session] { session->read(); });
}

void HttpRouter::add(std::string method, std::string path, HttpHandler handler)
{
    m_entries.push_back({std::move(method), std::move(path), std::move(handler)});
}

void HttpRouter::handle(const ExchangePtr &exchange) const
{
    for (const Entry &entry : m_entries) {
        if (entry.method != "*" && entry.method != exchange->method())
            continue;
        const std::string_view pattern = entry.path;
        const bool prefix = pattern.ends_with('*');
        const bool matches = prefix
            ? exchange->path().starts_with(pattern.substr(0, pattern.size() - 1))
            : exchange->path() == pattern;
        if (matches) {
            entry.handler(exchange);
            return;
        }
    }
    constexpr unsigned notFound = 404;
    exchange->respond({notFound, R"({"error":"no such path"})", {}});
}

Result<std::unique_ptr<HttpServer>> HttpServer::create(EventLoop &loop, const std::string &listen,
                                                       const HttpRouter &router,
                                                       ConnectionLimits limits)
{
    const auto endpoint = parseEndpoint(listen);
    if (!endpoint)
        return endpoint.error();
    auto impl = std::make_shared<Impl>(loop, router, std::move(limits));
    error_code error;
    impl->acceptor.open(endpoint->protocol(), error);
    if (!error)
        impl->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        impl->acceptor.bind(*endpoint, error);
    if (!error)
        impl->acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return Error{
            ErrorCode::Unavailable, "cannot listen on " + listen + ": " + error.message(), {}};
    impl->accept();
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

HttpServer::HttpServer(std::shared_ptr<Impl> impl) : m_impl(std::move(impl))
{ }

HttpServer::~HttpServer()
{
    closeConnections();
    error_code ignored;
    m_impl->acceptor.close(ignored);
}

std::string HttpServer::address() const
{
    error_code ignored;
    const tcp::endpoint endpoint = m_impl->acceptor.local_endpoint(ignored);
    return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

std::size_t HttpServer::connections() const
{
    return m_impl->sessions.size();
}

std::uint64_t HttpServer::acceptedConnections() const
{
    return m_impl->acceptedCount;
}

void HttpServer::closeConnections()
{
    const std::set<Session *> sessions = m_impl->sessions;
    for (Session *session : sessions)
        session->close();
}

} // namespace yuccaspan::standins

#include "load/caller_connection.hpp"

#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace yuccaspan::load {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint64_t maxAnswerBytes = 64U << 20U;

std::string text(boost::beast::string_view view)
{
    return {view.data(), view.size()};
}

class Connection final : public CallerConnection, public std::enable_shared_from_this<Connection>
{
public:
    Connection(boost::asio::io_context &io, const Endpoint &endpoint)
        : m_socket(io), m_host(endpoint.address + ':' + std::to_string(endpoint.port))
    {
        error_code ignored;
        m_endpoint = {boost::asio::ip::make_address(endpoint.address, ignored), endpoint.port};
    }

    void open(Opened opened) override;
    void send(const CallRequest &request, Answered answered) override;
    [[nodiscard]] bool usable() const override { return m_open && !m_answered && !m_writing; }
    void close() override;

private:
    void read();
    void onRead(error_code error);
    void onWritten(error_code error);
    void finishIfDone();

    tcp::socket m_socket;
    tcp::endpoint m_endpoint;
    std::string m_host;
    boost::beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    std::optional<http::response_parser<http::string_body>> m_parser;
    Answered m_answered;
    CallAnswer m_answer;
    bool m_open = false;
    bool m_writing = false;
};

void Connection::open(Opened opened)
{
    m_socket.async_connect(
        m_endpoint, [self = shared_from_this(), opened = std::move(opened)](error_code error) {
            if (!error) {
                error_code ignored;
                self->m_socket.set_option(tcp::no_delay(true), ignored);
                self->m_open = true;
                self->read();
            }
            opened(!error);
        });
}

// A read is always pending, so that a connection closed while idle is noticed at once.
void Connection::read()
{
    m_parser.emplace();
    m_parser->body_limit(maxAnswerBytes);
    http::async_read(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](error_code error, std::size_t) { self->onRead(error); });
}

void Connection::send(const CallRequest &request, Answered answered)
{
    m_answered = std::move(answered);
    m_answer = {};
    m_request = {};
    m_request.version(11);
    m_request.method_string(request.method);
    m_request.target(request.path);
    m_request.set(http::field::host, m_host);
    for (const auto &[name, value] : request.headers)
        m_request.set(name, value);
    m_request.body() = request.body;
    m_request.prepare_payload();
    m_writing = true;
    http::async_write(
        m_socket, m_request,
        [self = shared_from_this()](error_code error, std::size_t) { self->onWritten(error); });
}

void Connection::onWritten(error_code error)
{
    m_writing = false;
    if (error)
        close();
    else
        finishIfDone();
}

void Connection::onRead(error_code error)
{
    if (error || !m_answered) {
        close();
        return;
    }
    auto response = m_parser->release();
    m_answer.complete = true;
    m_answer.status = response.result_int();
    m_answer.outcome = text(response["Yuccaspan-Outcome"]);
    m_answer.reason = text(response["Yuccaspan-Reason"]);
    m_answer.refused = text(response["Yuccaspan-Refused"]);
    m_answer.body = std::move(response.body());
    if (response.keep_alive())
        read();
    else
        m_open = false;
    m_answer.closing = !m_open;
    finishIfDone();
}

void Connection::finishIfDone()
{
    if (!m_answered || !m_answer.complete || m_writing)
        return;
    const Answered answered = std::exchange(m_answered, nullptr);
    answered(std::move(m_answer));
}

void Connection::close()
{
    m_open = false;
    error_code ignored;
    m_socket.close(ignored);
    if (const Answered answered = std::exchange(m_answered, nullptr))
        answered(std::move(m_answer));
}

} // namespace

std::shared_ptr<CallerConnection> makeCallerConnection(boost::asio::io_context &io,
                                                       const Endpoint &endpoint)
{
    return std::make_shared<Connection>(io, endpoint);
}

} // namespace yuccaspan::load

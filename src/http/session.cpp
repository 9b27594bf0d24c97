#include "http/edge_worker.hpp"
#include "http/forward.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <sstream>
#include <utility>

namespace yuccaspan::impl {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned httpVersion11 = 11;

/// HTTP status for a request that ended without an answer from a target.
struct ReasonStatus
{
    Reason reason;
    http::status status;
};

constexpr std::array<ReasonStatus, 6> reasonStatuses{{
    {Reason::NoRule, http::status::not_found},
    {Reason::KeyMissing, http::status::bad_request},
    {Reason::BadRequest, http::status::bad_request},
    {Reason::TooLarge, http::status::payload_too_large},
    {Reason::AnswerTooLarge, http::status::bad_gateway},
    {Reason::BadAnswer, http::status::bad_gateway},
}};

http::status statusOf(const AttemptResult &result) noexcept
{
    const auto found = std::ranges::find(reasonStatuses, result.reason, &ReasonStatus::reason);
    if (found != reasonStatuses.end())
        return found->status;
    return result.outcome == Outcome::Unknown ? http::status::gateway_timeout
                                              : http::status::service_unavailable;
}

HttpResponse makeAnswer(AttemptResult result)
{
    if (result.outcome == Outcome::Done && result.answer) {
        HttpResponse answer = std::move(*result.answer);
        removeHopHeaders(answer);
        answer.erase(header::startId);
        return answer;
    }
    HttpResponse answer(statusOf(result), httpVersion11);
    answer.set(http::field::content_type, "application/json");
    std::ostringstream body;
    body << R"({"outcome":")" << result.outcome << R"(","reason":")" << result.reason << R"("})";
    answer.body() = body.str();
    return answer;
}

/// Serves the requests of one connection from a caller sequentially.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(EdgeWorker &worker, asio::ip::tcp::socket socket)
        : m_worker(worker), m_stream(std::move(socket))
    {
        ++m_worker.shared().sessions;
    }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;
    ~Session() { --m_worker.shared().sessions; }

    asio::awaitable<void> run()
    {
        while (co_await serveOne()) { }
        beast::error_code ignored;
        m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }

private:
    using Parser = http::request_parser<http::string_body>;

    asio::awaitable<bool> serveOne();
    asio::awaitable<bool> readHead(Parser &parser);
    asio::awaitable<bool> readBody(Parser &parser, const ServiceSettings &service);
    asio::awaitable<AttemptResult> serveClassified(Parser &parser, Classified place);
    asio::awaitable<bool> answer(AttemptResult result, bool keepAlive);
    void watchCaller(const std::shared_ptr<RequestContext> &context);
    void record(const Classified &place, const AttemptResult &result) const;
    void logDecision(const RequestContext &context, const AttemptResult &result) const;

    EdgeWorker &m_worker;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::shared_ptr<const Settings> m_settings;
    TimePoint m_arrived;
    bool m_callerGone = false;
};

asio::awaitable<bool> Session::readHead(Parser &parser)
{
    parser.header_limit(m_worker.options().headerLimitBytes);
    parser.body_limit(boost::none);
    m_stream.expires_after(m_worker.options().idleTimeout);
    const auto [failure, count] =
        co_await http::async_read_header(m_stream, m_buffer, parser, asTuple);
    if (!failure)
        co_return true;
    const bool expectedClose = failure == http::error::end_of_stream
        || failure == beast::error::timeout || failure == asio::error::operation_aborted
        || failure == asio::error::connection_reset;
    if (!expectedClose) {
        m_worker.shared().metrics.countBadInput();
        co_await answer({Outcome::NotRun, Reason::BadRequest, std::nullopt}, false);
    }
    co_return false;
}

asio::awaitable<bool> Session::readBody(Parser &parser, const ServiceSettings &service)
{
    const auto length = parser.content_length();
    if (length && *length > service.requestLimitBytes)
        co_return false;
    parser.body_limit(service.requestLimitBytes);
    if (parser.get()[http::field::expect] == "100-continue") {
        http::response<http::empty_body> proceed(http::status::continue_, httpVersion11);
        co_await http::async_write(m_stream, proceed, asTuple);
    }
    const auto [failure, count] = co_await http::async_read(m_stream, m_buffer, parser, asTuple);
    if (failure && failure != http::error::body_limit)
        m_callerGone = true;
    co_return !failure;
}

asio::awaitable<bool> Session::serveOne()
{
    Parser parser;
    if (!co_await readHead(parser))
        co_return false;
    EdgeShared &shared = m_worker.shared();
    ++shared.active;
    m_arrived = m_worker.now();
    m_settings = m_worker.settings();
    const auto &request = parser.get();
    const RequestHead head{std::string_view(request.method_string()),
                           std::string_view(request.target()),
                           [&](std::string_view name) { return std::string_view(request[name]); }};
    std::variant<Classified, Reason> place = classify(*m_settings, head);
    bool keepAlive = request.keep_alive();
    AttemptResult result;
    if (const Reason *reason = std::get_if<Reason>(&place)) {
        result.reason = *reason;
        keepAlive = false;
        record({}, result);
    } else {
        const Classified &known = std::get<Classified>(place);
        if (co_await readBody(parser, *known.service)) {
            result = co_await serveClassified(parser, known);
        } else {
            result.reason = m_callerGone ? Reason::CallerGone : Reason::TooLarge;
            keepAlive = false;
        }
        record(known, result);
    }
    keepAlive = keepAlive && !shared.closing;
    const bool keepOpen = co_await answer(std::move(result), keepAlive);
    --shared.active;
    co_return keepOpen;
}

asio::awaitable<AttemptResult> Session::serveClassified(Parser &parser, Classified place)
{
    const auto context = std::make_shared<RequestContext>();
    context->settings = m_settings;
    context->place = std::move(place);
    context->request = parser.release();
    context->arrived = m_arrived;
    Duration allowed = context->place.rule->deadline;
    const auto given = context->request[header::deadline];
    std::int64_t givenMs = 0;
    const auto parsed = std::from_chars(given.data(), given.data() + given.size(), givenMs);
    if (!given.empty() && parsed.ec == std::errc() && givenMs > 0)
        allowed = std::min<Duration>(allowed, std::chrono::milliseconds(givenMs));
    context->deadline = m_arrived + allowed;
    context->requestId = std::string(context->request[header::requestId]);
    if (context->requestId.empty()) {
        context->requestId =
            m_worker.options().instanceId + "-" + std::to_string(m_worker.nextId());
    }
    removeHopHeaders(context->request);
    context->request.erase(http::field::expect);
    context->request.keep_alive(true);
    context->request.prepare_payload();
    watchCaller(context);
    AttemptResult result = co_await forwardRequest(m_worker, *context);
    m_callerGone = context->callerGone;
    if (m_callerGone)
        co_return result;
    beast::error_code ignored;
    m_stream.socket().cancel(ignored);
    logDecision(*context, result);
    co_return result;
}

void Session::watchCaller(const std::shared_ptr<RequestContext> &context)
{
    m_stream.expires_never();
    const auto onReadable = [self = shared_from_this(), context](beast::error_code failure) {
        if (failure)
            return;
        char byte = 0;
        const int handle = self->m_stream.socket().native_handle();
        const ssize_t count = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool open = count > 0 || (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
        if (open)
            return;
        context->callerGone = true;
        if (context->cancel)
            context->cancel();
    };
    m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read, onReadable);
}

asio::awaitable<bool> Session::answer(AttemptResult result, bool keepAlive)
{
    if (m_callerGone)
        co_return false;
    const Outcome outcome = result.outcome;
    const Reason reason = result.reason;
    HttpResponse response = makeAnswer(std::move(result));
    response.set(header::outcome, std::string(toString(outcome)));
    response.set(header::reason, std::string(toString(reason)));
    response.keep_alive(keepAlive);
    response.prepare_payload();
    m_stream.expires_after(m_worker.options().idleTimeout);
    const auto [failure, count] = co_await http::async_write(m_stream, response, asTuple);
    co_return !failure && keepAlive;
}

void Session::record(const Classified &place, const AttemptResult &result) const
{
    RequestLabels labels;
    if (place.service != nullptr)
        labels.service = place.service->name.text();
    if (place.rule != nullptr)
        labels.kind = place.rule->kind;
    labels.outcome = result.outcome;
    labels.reason = result.reason;
    m_worker.shared().metrics.countRequest(labels, m_worker.now() - m_arrived);
}

void Session::logDecision(const RequestContext &context, const AttemptResult &result) const
{
    DecisionLog &log = m_worker.shared().log;
    if (!log.wantsRouting())
        return;
    const auto routes = m_worker.routes();
    const auto match = routes->find(context.place.service->name, context.place.hash);
    std::ostringstream line;
    line << "Request " << context.requestId << " " << context.place.service->name << "/"
         << context.place.rule->kind << " key hash " << std::hex << context.place.hash << std::dec;
    if (match.route != nullptr)
        line << " owner " << match.route->owner << " token " << match.route->token;
    line << " ended " << result.outcome << " " << result.reason << " after " << context.tries
         << " tries.";
    log.write("routing", line.str());
}

} // namespace

asio::awaitable<void> serveSession(EdgeWorker &worker, asio::ip::tcp::socket socket)
{
    const auto session = std::make_shared<Session>(worker, std::move(socket));
    co_await session->run();
}

} // namespace yuccaspan::impl

#include "http/forward.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <utility>

namespace yuccaspan::impl {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr Duration connectionRetryDelay = std::chrono::milliseconds(2);

AttemptResult notRun(Reason reason)
{
    return {Outcome::NotRun, reason, std::nullopt};
}

AttemptResult unknown(Reason reason)
{
    return {Outcome::Unknown, reason, std::nullopt};
}

/// Maps the failure of an exchange to a reason.
Reason failureReason(const RequestContext &context, beast::error_code failure)
{
    if (context.callerGone)
        return Reason::CallerGone;
    if (failure == beast::error::timeout)
        return Reason::DeadlinePassed;
    if (failure == http::error::body_limit)
        return Reason::AnswerTooLarge;
    return Reason::ConnectionLost;
}

/// Closes the connection if the caller disconnects during the exchange.
class CancelGuard
{
public:
    CancelGuard(RequestContext &context, TargetConnection &connection) : m_context(context)
    {
        m_context.cancel = [&connection] { connection.stream.close(); };
    }
    CancelGuard(const CancelGuard &) = delete;
    CancelGuard &operator=(const CancelGuard &) = delete;
    ~CancelGuard() { m_context.cancel = nullptr; }

private:
    RequestContext &m_context;
};

asio::awaitable<std::unique_ptr<TargetConnection>>
connect(EdgeWorker &worker, RequestContext &context, std::unique_ptr<TargetConnection> connection,
        const TargetSettings &target)
{
    beast::error_code failure;
    const auto address = asio::ip::make_address(target.address, failure);
    if (failure)
        co_return nullptr;
    const CancelGuard guard(context, *connection);
    connection->stream.expires_after(context.deadline - worker.now());
    const asio::ip::tcp::endpoint endpoint(address, target.port);
    const auto [connectFailure] = co_await connection->stream.async_connect(endpoint, asTuple);
    if (connectFailure)
        co_return nullptr;
    beast::error_code ignored;
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    worker.shared().metrics.countConnect();
    co_return connection;
}

asio::awaitable<std::unique_ptr<TargetConnection>>
acquire(EdgeWorker &worker, RequestContext &context, const std::shared_ptr<SharedTarget> &target)
{
    while (!context.callerGone && worker.now() < context.deadline) {
        TargetPool &pool = worker.pool(target);
        if (auto idle = pool.takeIdle(worker.now()))
            co_return idle;
        if (auto opened = pool.open()) {
            co_return co_await connect(worker, context, std::move(opened), target->settings());
        }
        co_await worker.pause(context, connectionRetryDelay);
    }
    co_return nullptr;
}

/// Whether the answer belongs to the request; an answer to another request must not be passed on.
bool matchesRequest(const HttpResponse &answer, const RequestContext &context)
{
    const auto echoed = answer.find(header::requestId);
    return echoed == answer.end() || echoed->value() == context.requestId;
}

void recordStartId(EdgeWorker &worker, SharedTarget &target, const HttpResponse &answer)
{
    const auto startId = answer.find(header::startId);
    if (startId == answer.end())
        return;
    const auto [knownId, knownState] = target.lastSeen();
    const bool known = knownId.empty() || knownId == startId->value();
    const TargetState state = known ? knownState : TargetState::Cold;
    target.recordAnswer(std::string(startId->value()), state, worker.now());
}

AttemptResult classifyAnswer(const RequestContext &context, HttpResponse answer)
{
    if (!matchesRequest(answer, context))
        return unknown(Reason::BadAnswer);
    if (answer.find(header::refused) != answer.end())
        return {Outcome::NotRun, Reason::TargetRefused, std::move(answer)};
    return {Outcome::Done, Reason::Answered, std::move(answer)};
}

} // namespace

void removeHopHeaders(http::fields &fields)
{
    constexpr std::array<http::field, 7> hopHeaders{
        http::field::connection, http::field::keep_alive,        http::field::proxy_connection,
        http::field::te,         http::field::transfer_encoding, http::field::upgrade,
        http::field::trailer};
    for (const http::field name : hopHeaders)
        fields.erase(name);
}

asio::awaitable<AttemptResult> exchange(EdgeWorker &worker, RequestContext &context,
                                        const std::shared_ptr<SharedTarget> &target)
{
    std::unique_ptr<TargetConnection> connection = co_await acquire(worker, context, target);
    if (connection == nullptr)
        co_return notRun(context.callerGone ? Reason::CallerGone : Reason::ConnectFailed);
    const CancelGuard guard(context, *connection);
    connection->stream.expires_after(context.deadline - worker.now());
    const auto [writeFailure, sent] =
        co_await http::async_write(connection->stream, context.request, asTuple);
    if (writeFailure) {
        const Reason reason = failureReason(context, writeFailure);
        co_return sent == 0 ? notRun(reason) : unknown(reason);
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(context.place.service->answerLimitBytes);
    const auto [readFailure, received] =
        co_await http::async_read(connection->stream, connection->buffer, parser, asTuple);
    if (readFailure)
        co_return unknown(failureReason(context, readFailure));
    AttemptResult result = classifyAnswer(context, parser.release());
    if (result.answer) {
        recordStartId(worker, *target, *result.answer);
        if (result.answer->keep_alive())
            worker.pool(target).returnIdle(std::move(connection), worker.now());
    }
    co_return result;
}

} // namespace yuccaspan::impl

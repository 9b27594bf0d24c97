#include "callers.hpp"

#include "event_loop_context.hpp"
#include "gateway/http_call.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <algorithm>

namespace yuccaspan::soak {

namespace {

using gateway::asTuple;
using gateway::tcp;
namespace asio = gateway::asio;
namespace beast = gateway::beast;
namespace http = gateway::http;

/// Callers allow a new connection one second.
constexpr Duration connectWithin = std::chrono::seconds(1);
/// The balancer asks each second, and takes an instance out after two misses.
constexpr Duration askEvery = std::chrono::seconds(1);
constexpr int missesOut = 2;
constexpr Duration deadline = std::chrono::milliseconds(1500);
/// An answer of the gateway's own comes at the deadline; its way takes a part of this.
constexpr Duration answerSlack = std::chrono::milliseconds(500);
constexpr std::size_t mostBody = 20000;

} // namespace

/// A caller's connection to an instance.
class Callers::Connection
{
public:
    explicit Connection(asio::io_context &io) : stream(io) { }

    /// Whether the instance closed it or sent bytes that nobody asked for.
    [[nodiscard]] bool quiet(bool &stray)
    {
        char byte = 0;
        const ssize_t count =
            ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        stray = count > 0 || buffer.size() > 0;
        return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && buffer.size() == 0;
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::string instance;
};

Callers::Callers(Deployment &deployment, CallerOptions options, std::uint64_t seed)
    : m_deployment(deployment), m_options(options), m_random(seed)
{ }

void Callers::start()
{
    asio::io_context &io = m_deployment.loop().context().io;
    asio::co_spawn(io, balance(), asio::detached);
    for (std::uint32_t caller = 0; caller < m_options.callers; ++caller)
        asio::co_spawn(io, call(caller), asio::detached);
}

bool Callers::happens(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

asio::awaitable<void> Callers::balance()
{
    asio::steady_timer timer(m_deployment.loop().context().io);
    while (!m_stopped) {
        for (std::size_t index = 0; index < m_deployment.instances().size(); ++index)
            asio::co_spawn(m_deployment.loop().context().io, askReadiness(index), asio::detached);
        timer.expires_after(askEvery);
        co_await timer.async_wait(asTuple);
    }
}

asio::awaitable<void> Callers::askReadiness(std::size_t index)
{
    asio::io_context &io = m_deployment.loop().context().io;
    const Instance &instance = m_deployment.instances()[index];
    const std::string address = instance.readiness();
    const auto pool = gateway::ClientPool::create(io, address, {.idleLimit = Duration(1)});
    gateway::HttpRequest question(http::verb::get, "/readiness", gateway::httpVersion11);
    question.set(http::field::host, address);
    gateway::CallOptions options;
    options.connectTimeout = askEvery;
    options.timeout = askEvery;
    const gateway::CallResult result = co_await pool->call(std::move(question), options);
    const bool ready =
        result.end == gateway::CallEnd::Answered && result.response.result() == http::status::ok;
    int &misses = m_misses[instance.name];
    misses = ready ? 0 : misses + 1;
}

const Instance *Callers::chooseInstance()
{
    std::vector<const Instance *> ready;
    std::vector<const Instance *> all;
    for (const Instance &instance : m_deployment.instances()) {
        all.push_back(&instance);
        if (m_misses[instance.name] < missesOut)
            ready.push_back(&instance);
    }
    // With fewer than half in rotation, the balancer uses all.
    const auto &pool = ready.size() * 2 < all.size() ? all : ready;
    return pool[m_random() % pool.size()];
}

CallerRequest Callers::makeRequest(std::uint32_t caller)
{
    const auto &routes = m_deployment.routes();
    const RoutePlan &route = routes[m_random() % routes.size()];
    CallerRequest request;
    request.id = "r" + std::to_string(caller) + '-' + std::to_string(m_nextId++);
    request.method = route.idempotent ? "GET" : "POST";
    request.path = route.prefix + request.id;
    request.idempotent = route.idempotent;
    if (!route.idempotent)
        request.body = std::string(1 + m_random() % mostBody, static_cast<char>('a' + caller % 26));
    request.deadline = deadline;
    return request;
}

asio::awaitable<void> Callers::call(std::uint32_t caller)
{
    asio::steady_timer timer(m_deployment.loop().context().io);
    std::shared_ptr<Connection> connection;
    while (!m_stopped) {
        ++m_active;
        co_await one(caller, connection);
        --m_active;
        const auto most = static_cast<std::uint64_t>(m_options.pauseMost.count());
        timer.expires_after(Duration(static_cast<Duration::rep>(m_random() % most)));
        co_await timer.async_wait(asTuple);
    }
}

asio::awaitable<void> Callers::one(std::uint32_t caller, std::shared_ptr<Connection> &connection)
{
    Ledger &ledger = m_deployment.ledger();
    bool stray = false;
    if (connection && (!connection->quiet(stray) || happens(m_options.newConnection))) {
        if (stray)
            ledger.strayBytes(connection->instance);
        connection.reset();
    }
    if (!connection) {
        const Instance &instance = *chooseInstance();
        auto fresh = std::make_shared<Connection>(m_deployment.loop().context().io);
        fresh->instance = instance.name;
        fresh->stream.expires_after(connectWithin);
        const auto endpoint = gateway::parseEndpoint(instance.callers());
        const auto [failure] = co_await fresh->stream.async_connect(*endpoint, asTuple);
        if (failure)
            co_return;
        connection = std::move(fresh);
    }
    CallerRequest request = makeRequest(caller);
    request.instance = connection->instance;
    request.sentAt = m_deployment.loop().now();
    gateway::HttpRequest message(request.method == "GET" ? http::verb::get : http::verb::post,
                                 request.path, gateway::httpVersion11);
    message.set(http::field::host, "soak.example");
    message.set("X-Request-Id", request.id);
    message.set("X-Deadline-Ms", std::to_string(deadline / std::chrono::milliseconds(1)));
    message.set("X-Shard-Key", std::to_string(m_random() % platform_standins::keyCount));
    message.body() = request.body;
    message.prepare_payload();
    if (!message.body().empty() && happens(0.5))
        message.chunked(true);
    ledger.sent(request);
    const bool leaves = happens(m_options.leavesEarly);
    const Duration patience = leaves ? deadline / 50 : deadline + answerSlack;
    connection->stream.expires_after(patience);
    const auto [sendFailure, sentBytes] =
        co_await http::async_write(connection->stream, message, asTuple);
    http::response_parser<http::string_body> parser;
    beast::error_code failure = sendFailure;
    if (!failure) {
        const auto [readFailure, readBytes] =
            co_await http::async_read(connection->stream, connection->buffer, parser, asTuple);
        failure = readFailure;
    }
    if (failure) {
        if (failure == beast::error::timeout)
            ledger.gaveUp(request.id);
        else if (!sendFailure)
            ledger.cut(request.id);
        if (failure.category() == http::make_error_code(http::error::bad_version).category()
            && failure != http::error::end_of_stream && failure != http::error::partial_message)
            ledger.strayBytes(connection->instance);
        connection.reset();
        co_return;
    }
    const auto &response = parser.get();
    ledger.answered(request.id,
                    {response.result_int(), response.body(),
                     std::string(response["X-Server-Signature"]),
                     std::string(response["X-Request-Id"])});
    if (!response.keep_alive())
        connection.reset();
}

} // namespace yuccaspan::soak

#include "daemon/order_sender.hpp"

#include "daemon/order_codec.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <thread>
#include <utility>

namespace yuccaspan::impl {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned httpVersion11 = 11;
constexpr std::size_t maxQueuedOrders = 256;
using SteadyTime = std::chrono::steady_clock::time_point;

/// An order and the time at which it times out.
struct QueuedOrder
{
    SendOrderAction action;
    SteadyTime due;
};

/// The connection to one target and its queue of orders.
class OrderQueue : public std::enable_shared_from_this<OrderQueue>
{
public:
    OrderQueue(asio::io_context &loop, std::string address, std::uint16_t port,
               OrderSender::Receiver &receiver)
        : m_loop(loop),
          m_address(std::move(address)),
          m_port(port),
          m_receiver(receiver),
          m_stream(loop)
    { }

    [[nodiscard]] bool hasAddress(const TargetSettings &target) const
    {
        return target.address == m_address && target.port == m_port;
    }

    void push(QueuedOrder order)
    {
        if (m_orders.size() >= maxQueuedOrders) {
            m_receiver({order.action.target, noAnswer(order.action.orderId)});
            return;
        }
        m_orders.push_back(std::move(order));
        if (m_running)
            return;
        m_running = true;
        asio::co_spawn(
            m_loop, [self = shared_from_this()] { return self->run(); }, asio::detached);
    }

    static TargetAnswer noAnswer(std::uint64_t orderId)
    {
        TargetAnswer answer;
        answer.orderId = orderId;
        answer.verdict = TargetVerdict::NoAnswer;
        return answer;
    }

private:
    asio::awaitable<void> run()
    {
        while (!m_orders.empty()) {
            const QueuedOrder order = std::move(m_orders.front());
            m_orders.pop_front();
            TargetAnswer answer = noAnswer(order.action.orderId);
            Result<TargetAnswer> received = co_await exchange(order);
            if (received) {
                answer = std::move(*received);
                answer.orderId = order.action.orderId;
            } else {
                m_stream.close();
            }
            m_receiver({order.action.target, std::move(answer)});
        }
        m_running = false;
    }

    asio::awaitable<Result<TargetAnswer>> exchange(const QueuedOrder &order)
    {
        m_stream.expires_at(order.due);
        if (!m_stream.socket().is_open() && !co_await connect())
            co_return Error{ErrorCode::Unavailable, "cannot connect to the target", {}};
        EncodedOrder encoded = encodeOrder(order.action.order);
        http::request<http::string_body> request(http::verb::post, encoded.path, httpVersion11);
        request.set(http::field::host, m_address);
        request.set(http::field::content_type, "application/json");
        request.body() = std::move(encoded.body);
        request.keep_alive(true);
        request.prepare_payload();
        const auto [writeFailure, sent] = co_await http::async_write(m_stream, request, asTuple);
        if (writeFailure)
            co_return Error{ErrorCode::UnknownResult, writeFailure.message(), {}};
        http::response<http::string_body> response;
        const auto [readFailure, received] =
            co_await http::async_read(m_stream, m_buffer, response, asTuple);
        if (readFailure || response.result() != http::status::ok || !response.keep_alive())
            co_return Error{ErrorCode::UnknownResult, "no valid answer from the target", {}};
        co_return decodeAnswer(response.body());
    }

    asio::awaitable<bool> connect()
    {
        m_buffer.clear();
        beast::error_code failure;
        const auto address = asio::ip::make_address(m_address, failure);
        if (failure)
            co_return false;
        const asio::ip::tcp::endpoint endpoint(address, m_port);
        const auto [connectFailure] = co_await m_stream.async_connect(endpoint, asTuple);
        if (!connectFailure)
            m_stream.socket().set_option(asio::ip::tcp::no_delay(true), failure);
        co_return !connectFailure;
    }

    asio::io_context &m_loop;
    const std::string m_address;
    const std::uint16_t m_port;
    OrderSender::Receiver &m_receiver;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::deque<QueuedOrder> m_orders;
    bool m_running = false;
};

class HttpOrderSender final : public OrderSender
{
public:
    HttpOrderSender(Duration timeout, Receiver receiver)
        : m_timeout(timeout),
          m_receiver(std::move(receiver)),
          m_work(m_loop.get_executor()),
          m_thread([this] { m_loop.run(); })
    { }
    HttpOrderSender(const HttpOrderSender &) = delete;
    HttpOrderSender &operator=(const HttpOrderSender &) = delete;
    ~HttpOrderSender() override
    {
        m_loop.stop();
        m_thread.join();
    }

    void setTargets(std::shared_ptr<const Settings> settings) override
    {
        asio::post(m_loop, [this, settings = std::move(settings)] { m_settings = settings; });
    }

    void send(SendOrderAction action) override
    {
        const SteadyTime due = std::chrono::steady_clock::now() + m_timeout;
        asio::post(m_loop, [this, order = QueuedOrder{std::move(action), due}]() mutable {
            sendNow(std::move(order));
        });
    }

private:
    void sendNow(QueuedOrder order)
    {
        const TargetSettings *target =
            m_settings == nullptr ? nullptr : m_settings->findTarget(order.action.target);
        if (target == nullptr) {
            const TargetAnswer answer = OrderQueue::noAnswer(order.action.orderId);
            m_receiver({order.action.target, answer});
            return;
        }
        std::shared_ptr<OrderQueue> &queue = m_queues[target->id];
        if (queue == nullptr || !queue->hasAddress(*target)) {
            queue = std::make_shared<OrderQueue>(m_loop, target->address, target->port, m_receiver);
        }
        queue->push(std::move(order));
    }

    const Duration m_timeout;
    Receiver m_receiver;
    asio::io_context m_loop{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::shared_ptr<const Settings> m_settings;
    std::map<TargetId, std::shared_ptr<OrderQueue>> m_queues;
    std::thread m_thread;
};

} // namespace

std::unique_ptr<OrderSender> makeOrderSender(Duration timeout, OrderSender::Receiver receiver)
{
    return std::make_unique<HttpOrderSender>(timeout, std::move(receiver));
}

} // namespace yuccaspan::impl

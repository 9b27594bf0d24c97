#include "daemon/peer_link.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/endian/conversion.hpp>

#include <array>
#include <atomic>
#include <deque>
#include <thread>
#include <utility>

namespace yuccaspan::impl {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds connectTimeout{300};
constexpr std::chrono::milliseconds writeTimeout{500};
constexpr std::chrono::milliseconds reconnectDelay{100};
constexpr std::size_t maxOutboxMessages = 512;
constexpr std::size_t headerBytes = 4;
using FrameHeader = std::array<unsigned char, headerBytes>;

struct AtomicCounters
{
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> dropped{0};
    std::atomic<std::uint64_t> bytesSent{0};
    std::atomic<std::uint64_t> bytesReceived{0};
};

std::string frame(const std::string &bytes)
{
    FrameHeader header{};
    boost::endian::store_big_u32(header.data(), static_cast<std::uint32_t>(bytes.size()));
    std::string result(header.begin(), header.end());
    result += bytes;
    return result;
}

/// Outgoing message queue of one peer and the coroutine that sends it.
class Outbox : public std::enable_shared_from_this<Outbox>
{
public:
    Outbox(asio::io_context &loop, HostPort address, AtomicCounters &counters)
        : m_loop(loop), m_address(std::move(address)), m_counters(counters), m_wake(loop)
    { }

    [[nodiscard]] const HostPort &address() const noexcept { return m_address; }

    void start()
    {
        asio::co_spawn(
            m_loop, [self = shared_from_this()] { return self->run(); }, asio::detached);
    }

    void stop()
    {
        m_stopped = true;
        m_wake.cancel();
    }

    void push(std::string bytes)
    {
        if (m_messages.size() >= maxOutboxMessages) {
            m_messages.pop_front();
            ++m_counters.dropped;
        }
        m_messages.push_back(std::move(bytes));
        m_wake.cancel();
    }

private:
    asio::awaitable<void> run()
    {
        while (!m_stopped) {
            boost::beast::tcp_stream stream(m_loop);
            if (co_await connect(stream))
                co_await sendAll(stream);
            m_counters.dropped += m_messages.size();
            m_messages.clear();
            if (!m_stopped)
                co_await sleep(reconnectDelay);
        }
    }

    asio::awaitable<bool> connect(boost::beast::tcp_stream &stream)
    {
        boost::system::error_code failure;
        const auto address = asio::ip::make_address(m_address.address, failure);
        if (failure)
            co_return false;
        stream.expires_after(connectTimeout);
        const tcp::endpoint endpoint(address, m_address.port);
        const auto [connectFailure] = co_await stream.async_connect(endpoint, asTuple);
        if (connectFailure)
            co_return false;
        stream.socket().set_option(tcp::no_delay(true), failure);
        co_return true;
    }

    asio::awaitable<void> sendAll(boost::beast::tcp_stream &stream)
    {
        while (!m_stopped) {
            if (m_messages.empty()) {
                m_wake.expires_after(std::chrono::hours(1));
                co_await m_wake.async_wait(asTuple);
                continue;
            }
            const std::string bytes = frame(m_messages.front());
            m_messages.pop_front();
            stream.expires_after(writeTimeout);
            const auto [failure, count] =
                co_await asio::async_write(stream, asio::buffer(bytes), asTuple);
            if (failure) {
                ++m_counters.dropped;
                co_return;
            }
            ++m_counters.sent;
            m_counters.bytesSent += count;
        }
    }

    asio::awaitable<void> sleep(std::chrono::milliseconds span)
    {
        asio::steady_timer timer(m_loop);
        timer.expires_after(span);
        co_await timer.async_wait(asTuple);
    }

    asio::io_context &m_loop;
    const HostPort m_address;
    AtomicCounters &m_counters;
    asio::steady_timer m_wake;
    std::deque<std::string> m_messages;
    bool m_stopped = false;
};

class TcpPeerLink final : public PeerLink
{
public:
    explicit TcpPeerLink(Receiver receiver)
        : m_receiver(std::move(receiver)), m_acceptor(m_loop) { }
    TcpPeerLink(const TcpPeerLink &) = delete;
    TcpPeerLink &operator=(const TcpPeerLink &) = delete;
    ~TcpPeerLink() override
    {
        m_loop.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    Status start(const std::string &address, std::uint16_t port)
    {
        boost::system::error_code failure;
        const auto ip = asio::ip::make_address(address, failure);
        if (failure)
            return Error{ErrorCode::InvalidArgument, "not an IP address: " + address, {}};
        const tcp::endpoint endpoint(ip, port);
        m_acceptor.open(endpoint.protocol(), failure);
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
        m_acceptor.bind(endpoint, failure);
        if (!failure)
            m_acceptor.listen(asio::socket_base::max_listen_connections, failure);
        if (failure)
            return Error{ErrorCode::Unavailable, "cannot listen: " + failure.message(), {}};
        m_port = m_acceptor.local_endpoint().port();
        asio::co_spawn(m_loop, acceptLoop(), asio::detached);
        m_thread = std::thread([this] { m_loop.run(); });
        return ok();
    }

    std::uint16_t port() const noexcept override { return m_port; }

    void setAddresses(std::map<std::string, HostPort> addresses) override
    {
        asio::post(m_loop, [this, addresses = std::move(addresses)] { replace(addresses); });
    }

    void send(const std::string &name, std::string bytes) override
    {
        asio::post(m_loop, [this, name, bytes = std::move(bytes)]() mutable {
            const auto found = m_outboxes.find(name);
            if (found != m_outboxes.end())
                found->second->push(std::move(bytes));
        });
    }

    PeerCounters counters() const noexcept override
    {
        return {m_counters.sent, m_counters.received, m_counters.dropped, m_counters.bytesSent,
                m_counters.bytesReceived};
    }

private:
    void replace(const std::map<std::string, HostPort> &addresses)
    {
        std::erase_if(m_outboxes, [&](const auto &entry) {
            const auto kept = addresses.find(entry.first);
            const bool keep = kept != addresses.end() && kept->second == entry.second->address();
            if (!keep)
                entry.second->stop();
            return !keep;
        });
        for (const auto &[name, address] : addresses) {
            if (m_outboxes.contains(name))
                continue;
            const auto outbox = std::make_shared<Outbox>(m_loop, address, m_counters);
            m_outboxes.emplace(name, outbox);
            outbox->start();
        }
    }

    asio::awaitable<void> acceptLoop()
    {
        while (true) {
            auto [failure, socket] = co_await m_acceptor.async_accept(asTuple);
            if (failure == asio::error::operation_aborted)
                co_return;
            if (!failure)
                asio::co_spawn(m_loop, readLoop(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> readLoop(tcp::socket socket)
    {
        while (true) {
            FrameHeader header{};
            const auto [headerFailure, headerCount] =
                co_await asio::async_read(socket, asio::buffer(header), asTuple);
            const std::uint32_t size = boost::endian::load_big_u32(header.data());
            if (headerFailure || size > maxPeerFrameBytes)
                co_return;
            std::string bytes(size, '\0');
            const auto [failure, count] =
                co_await asio::async_read(socket, asio::buffer(bytes), asTuple);
            if (failure)
                co_return;
            ++m_counters.received;
            m_counters.bytesReceived += headerCount + count;
            m_receiver(std::move(bytes));
        }
    }

    Receiver m_receiver;
    asio::io_context m_loop{1};
    tcp::acceptor m_acceptor;
    AtomicCounters m_counters;
    std::map<std::string, std::shared_ptr<Outbox>> m_outboxes;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

} // namespace

Result<std::unique_ptr<PeerLink>> makePeerLink(const std::string &address, std::uint16_t port,
                                               PeerLink::Receiver receiver)
{
    auto link = std::make_unique<TcpPeerLink>(std::move(receiver));
    const Status started = link->start(address, port);
    if (!started)
        return started.error();
    return std::unique_ptr<PeerLink>(std::move(link));
}

} // namespace yuccaspan::impl

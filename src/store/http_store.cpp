#include "store/call_budget.hpp"
#include "store/http_connection.hpp"
#include "store/store_codec.hpp"
#include "yuccaspan/backoff.hpp"
#include "yuccaspan/store_http.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace yuccaspan {

namespace impl {

namespace {

namespace asio = boost::asio;
using SteadyTime = std::chrono::steady_clock::time_point;

/// A call that waits for a connection.
struct WaitingCall
{
    HttpCall call;
    HttpConnection::Done done;
    SteadyTime deadline;
};

/// A watch that follow() keeps up.
struct Following
{
    Following(asio::io_context &context, Backoff delays) : timer(context), backoff(delays) { }

    std::string prefix;
    HttpStore::Follower follower;
    asio::steady_timer timer;
    Backoff backoff;
    std::uint64_t revision = 0;
};

class HttpStoreClient final : public HttpStore
{
public:
    HttpStoreClient(StoreOptions options, const Clock &clock)
        : m_options(std::move(options)),
          m_clock(clock),
          m_budget(m_options.budget),
          m_work(asio::make_work_guard(m_context))
    {
        for (std::uint32_t index = 0; index < m_options.connections; ++index)
            m_idle.push_back(newConnection());
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~HttpStoreClient() override { shutDown(); }

    void get(std::string path, Callback<StoreObject> done) override
    {
        HttpCall call = makeCall("GET", objectTarget(path));
        const auto read = [path = std::move(path)](const HttpResult &result) {
            return readObject(path, result);
        };
        submit<StoreObject>(CallKind::Read, std::move(call), read, std::move(done));
    }

    void put(std::string path, ObjectVersion expected, std::string value,
             Callback<ObjectVersion> done) override;
    void watch(std::string prefix, std::uint64_t after, Callback<StoreChanges> done) override
    {
        const std::uint64_t wait =
            std::chrono::duration_cast<std::chrono::milliseconds>(m_options.watchWait).count();
        HttpCall call = makeCall("GET",
                                 "/v1/watch?prefix=" + percentEncode(prefix, "/") + "&after="
                                     + std::to_string(after) + "&waitMs=" + std::to_string(wait));
        call.timeout = m_options.watchWait + m_options.callTimeout;
        submit<StoreChanges>(CallKind::Watch, std::move(call), readChanges, std::move(done));
    }

    void listInstances(Callback<std::vector<ListedInstance>> done) override
    {
        submit<std::vector<ListedInstance>>(CallKind::List, makeCall("GET", "/v1/instances"),
                                            readInstances, std::move(done));
    }

    void follow(std::string prefix, Follower follower) override;

    [[nodiscard]] StoreCounters counters() const noexcept override { return m_counters.snapshot(); }

    void stop() override { shutDown(); }

private:
    using CounterMember = std::uint64_t StoreCounters::*;

    void shutDown();

    [[nodiscard]] HttpCall makeCall(std::string method, std::string target) const
    {
        HttpCall call;
        call.method = std::move(method);
        call.target = std::move(target);
        call.headers.emplace_back("X-Instance", m_options.instance);
        call.timeout = m_options.callTimeout;
        return call;
    }

    [[nodiscard]] static std::string objectTarget(const std::string &path)
    {
        return "/v1/objects/" + percentEncode(path, "/");
    }

    std::shared_ptr<HttpConnection> newConnection()
    {
        return makeHttpConnection(m_context, {m_options.address, m_options.port},
                                  [this] { m_counters.add(&StoreCounters::connects); });
    }

    /// Runs a function on the store's thread, or returns false if the client has stopped.
    template <typename Function>
    bool run(Function function)
    {
        const std::lock_guard lock(m_acceptMutex);
        if (!m_accepting)
            return false;
        asio::post(m_context, std::move(function));
        return true;
    }

    /// Hands a call over to the store's thread. Bounded by queueLimit.
    template <typename T, typename Read>
    void submit(CallKind kind, HttpCall call, Read read, Callback<T> done)
    {
        const SteadyTime deadline = std::chrono::steady_clock::now() + call.timeout;
        const bool isFull = m_pending.fetch_add(1) >= m_options.queueLimit;
        auto start = [this, kind, deadline, isFull, call = std::move(call), read, done]() mutable {
            if (isFull || !m_budget.take(kind, m_clock.now()))
                return refuse(done,
                              isFull ? "too many calls are waiting" : "call budget is used up");
            auto ended = [this, read, done](const HttpResult &result) {
                m_pending.fetch_sub(1);
                Result<T> value = read(result);
                countFailure(value);
                done(std::move(value));
            };
            begin(kind, {std::move(call), std::move(ended), deadline});
        };
        if (run(std::move(start)))
            return;
        m_pending.fetch_sub(1);
        done(Error{ErrorCode::Unavailable, "the client has stopped", {}});
    }

    template <typename T>
    void refuse(const Callback<T> &done, const char *text)
    {
        m_pending.fetch_sub(1);
        m_counters.add(&StoreCounters::limited);
        done(Error{ErrorCode::LimitExceeded, text, {}});
    }

    template <typename T>
    void countFailure(const Result<T> &result)
    {
        if (result)
            return;
        if (result.error().code == ErrorCode::Conflict)
            m_counters.add(&StoreCounters::conflicts);
        if (result.error().code == ErrorCode::Unavailable)
            m_counters.add(&StoreCounters::unavailable);
        if (result.error().code == ErrorCode::UnknownResult)
            m_counters.add(&StoreCounters::unknownResults);
    }

    void begin(CallKind kind, WaitingCall waiting)
    {
        static constexpr std::array<CounterMember, 4> sentCounters{
            &StoreCounters::reads, &StoreCounters::writes, &StoreCounters::watches,
            &StoreCounters::lists};
        m_counters.add(sentCounters[static_cast<std::size_t>(kind)]);
        if (kind == CallKind::Watch)
            return startOn(takeWatchConnection(), m_idleWatches, std::move(waiting));
        m_waiting.push_back(std::move(waiting));
        startWaiting();
    }

    std::shared_ptr<HttpConnection> takeWatchConnection()
    {
        if (m_idleWatches.empty())
            return newConnection();
        auto connection = std::move(m_idleWatches.back());
        m_idleWatches.pop_back();
        return connection;
    }

    void startWaiting()
    {
        while (!m_waiting.empty() && (m_stopping || !m_idle.empty())) {
            WaitingCall waiting = std::move(m_waiting.front());
            m_waiting.pop_front();
            if (m_stopping) {
                waiting.done(HttpFailure{false, false, "the client is stopping"});
                continue;
            }
            auto connection = std::move(m_idle.back());
            m_idle.pop_back();
            startOn(std::move(connection), m_idle, std::move(waiting));
        }
    }

    /// Makes a call and puts its connection back into a list afterwards.
    void startOn(std::shared_ptr<HttpConnection> connection,
                 std::vector<std::shared_ptr<HttpConnection>> &idle, WaitingCall waiting)
    {
        const auto left = waiting.deadline - std::chrono::steady_clock::now();
        waiting.call.timeout = std::chrono::duration_cast<Duration>(left);
        if (m_stopping || left <= Duration::zero()) {
            idle.push_back(std::move(connection));
            return waiting.done(HttpFailure{false, !m_stopping, "not sent in time"});
        }
        m_active.insert(connection);
        HttpConnection &used = *connection;
        used.call(std::move(waiting.call),
                  [this, &idle, connection = std::move(connection),
                   done = std::move(waiting.done)](HttpResult result) mutable {
                      m_active.erase(connection);
                      idle.push_back(std::move(connection));
                      done(std::move(result));
                      startWaiting();
                  });
    }

    void watchAgain(const std::shared_ptr<Following> &following);
    void followed(const std::shared_ptr<Following> &following, Result<StoreChanges> result);

    StoreOptions m_options;
    const Clock &m_clock;
    CallBudget m_budget;
    AtomicCounters m_counters;
    std::atomic<std::uint32_t> m_pending{0};
    std::mutex m_acceptMutex;
    bool m_accepting = true;
    bool m_stopping = false;
    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::vector<std::shared_ptr<HttpConnection>> m_idle;
    std::vector<std::shared_ptr<HttpConnection>> m_idleWatches;
    std::set<std::shared_ptr<HttpConnection>> m_active;
    std::deque<WaitingCall> m_waiting;
    std::vector<std::shared_ptr<Following>> m_following;
    std::thread m_thread;
};

void HttpStoreClient::put(std::string path, ObjectVersion expected, std::string value,
                          Callback<ObjectVersion> done)
{
    if (value.size() > maxValueBytes)
        return done(Error{ErrorCode::LimitExceeded, "value is longer than 1000000 bytes", {}});
    HttpCall call = makeCall("PUT", objectTarget(path));
    if (expected.value == 0)
        call.headers.emplace_back("If-None-Match", "*");
    else
        call.headers.emplace_back("If-Match", '"' + std::to_string(expected.value) + '"');
    call.body = std::move(value);
    submit<ObjectVersion>(CallKind::Write, std::move(call), readWritten, std::move(done));
}

void HttpStoreClient::follow(std::string prefix, Follower follower)
{
    const Backoff backoff(m_options.retryInitial, m_options.retryLimit, m_options.seed);
    auto following = std::make_shared<Following>(m_context, backoff);
    following->prefix = std::move(prefix);
    following->follower = std::move(follower);
    run([this, following] {
        m_following.push_back(following);
        watchAgain(following);
    });
}

void HttpStoreClient::watchAgain(const std::shared_ptr<Following> &following)
{
    if (m_stopping)
        return;
    watch(following->prefix, following->revision, [this, following](Result<StoreChanges> result) {
        followed(following, std::move(result));
    });
}

void HttpStoreClient::followed(const std::shared_ptr<Following> &following,
                               Result<StoreChanges> result)
{
    if (m_stopping)
        return;
    if (result) {
        following->backoff.succeeded();
        if (result->complete || result->revision > following->revision)
            following->revision = result->revision;
        if (result->complete || !result->objects.empty())
            following->follower(std::move(result));
        return watchAgain(following);
    }
    following->follower(std::move(result));
    following->timer.expires_after(following->backoff.failed());
    following->timer.async_wait([this, following](boost::system::error_code failure) {
        if (!failure)
            watchAgain(following);
    });
}

void HttpStoreClient::shutDown()
{
    {
        const std::lock_guard lock(m_acceptMutex);
        if (!m_accepting)
            return;
        m_accepting = false;
    }
    asio::post(m_context, [this] {
        m_stopping = true;
        startWaiting();
        for (const auto &following : m_following)
            following->timer.cancel();
        for (const auto &connection : m_active)
            connection->close();
        for (const auto &connection : m_idle)
            connection->close();
        for (const auto &connection : m_idleWatches)
            connection->close();
        m_work.reset();
    });
    m_thread.join();
}

} // namespace

} // namespace impl

Result<std::unique_ptr<HttpStore>> makeHttpStore(StoreOptions options, const Clock &clock)
{
    const auto wrong = [](const char *text) { return Error{ErrorCode::InvalidArgument, text, {}}; };
    if (!parseHostPort(options.address + ':' + std::to_string(options.port)))
        return wrong("the store's address must be a numeric IP address with a port");
    if (options.connections == 0 || options.queueLimit == 0)
        return wrong("connections and queueLimit must be at least 1");
    if (options.callTimeout <= Duration::zero() || options.watchWait <= Duration::zero())
        return wrong("callTimeout and watchWait must be above 0");
    return std::unique_ptr<HttpStore>(
        std::make_unique<impl::HttpStoreClient>(std::move(options), clock));
}

} // namespace yuccaspan

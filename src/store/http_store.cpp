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

/// A call that is queued until a connection is idle.
struct QueuedCall
{
    HttpCall call;
    HttpConnection::Done done;
    SteadyTime deadline;
};

/// A watch that follow() renews until stop().
struct Subscription
{
    Subscription(asio::io_context &context, Backoff delays) : timer(context), backoff(delays) { }

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
          m_workGuard(asio::make_work_guard(m_context))
    {
        for (std::uint32_t index = 0; index < m_options.connections; ++index)
            m_idleConnections.push_back(newConnection());
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
                                  [this] { m_counters.increment(&StoreCounters::connects); });
    }

    /// Posts a function to the client's thread; returns false if the client has been stopped.
    template <typename Function>
    bool postTask(Function function)
    {
        const std::lock_guard lock(m_acceptMutex);
        if (!m_accepting)
            return false;
        asio::post(m_context, std::move(function));
        return true;
    }

    /// Posts a call to the client's thread. Rejects it if queueLimit calls are pending.
    template <typename T, typename Read>
    void submit(CallKind kind, HttpCall call, Read read, Callback<T> done)
    {
        const SteadyTime deadline = std::chrono::steady_clock::now() + call.timeout;
        const bool queueFull = m_pending.fetch_add(1) >= m_options.queueLimit;
        auto start = [this, kind, deadline, queueFull, call = std::move(call), read,
                      done]() mutable {
            if (queueFull || !m_budget.tryTake(kind, m_clock.now()))
                return reject(
                    done, queueFull ? "too many calls are pending" : "the rate limit is exceeded");
            auto onResult = [this, read, done](const HttpResult &result) {
                m_pending.fetch_sub(1);
                Result<T> value = read(result);
                countFailure(value);
                done(std::move(value));
            };
            dispatch(kind, {std::move(call), std::move(onResult), deadline});
        };
        if (postTask(std::move(start)))
            return;
        m_pending.fetch_sub(1);
        done(Error{ErrorCode::Unavailable, "the store client has been stopped", {}});
    }

    template <typename T>
    void reject(const Callback<T> &done, const char *text)
    {
        m_pending.fetch_sub(1);
        m_counters.increment(&StoreCounters::limited);
        done(Error{ErrorCode::LimitExceeded, text, {}});
    }

    template <typename T>
    void countFailure(const Result<T> &result)
    {
        if (result)
            return;
        if (result.error().code == ErrorCode::Conflict)
            m_counters.increment(&StoreCounters::conflicts);
        if (result.error().code == ErrorCode::Unavailable)
            m_counters.increment(&StoreCounters::unavailable);
        if (result.error().code == ErrorCode::UnknownResult)
            m_counters.increment(&StoreCounters::unknownResults);
    }

    void dispatch(CallKind kind, QueuedCall queued)
    {
        static constexpr std::array<CounterMember, 4> sentCounters{
            &StoreCounters::reads, &StoreCounters::writes, &StoreCounters::watches,
            &StoreCounters::lists};
        m_counters.increment(sentCounters[static_cast<std::size_t>(kind)]);
        if (kind == CallKind::Watch)
            return send(acquireWatchConnection(), m_idleWatchConnections, std::move(queued));
        m_queue.push_back(std::move(queued));
        startQueued();
    }

    std::shared_ptr<HttpConnection> acquireWatchConnection()
    {
        if (m_idleWatchConnections.empty())
            return newConnection();
        auto connection = std::move(m_idleWatchConnections.back());
        m_idleWatchConnections.pop_back();
        return connection;
    }

    void startQueued()
    {
        while (!m_queue.empty() && (m_stopping || !m_idleConnections.empty())) {
            QueuedCall queued = std::move(m_queue.front());
            m_queue.pop_front();
            if (m_stopping) {
                queued.done(HttpFailure{false, false, "the store client is stopping"});
                continue;
            }
            auto connection = std::move(m_idleConnections.back());
            m_idleConnections.pop_back();
            send(std::move(connection), m_idleConnections, std::move(queued));
        }
    }

    /// Sends a call and returns its connection to the idle list afterwards.
    void send(std::shared_ptr<HttpConnection> connection,
              std::vector<std::shared_ptr<HttpConnection>> &idle, QueuedCall queued)
    {
        const auto remaining = queued.deadline - std::chrono::steady_clock::now();
        queued.call.timeout = std::chrono::duration_cast<Duration>(remaining);
        if (m_stopping || remaining <= Duration::zero()) {
            idle.push_back(std::move(connection));
            return queued.done(
                HttpFailure{false, !m_stopping, "the timeout expired before the call was sent"});
        }
        m_activeConnections.insert(connection);
        HttpConnection &used = *connection;
        used.call(std::move(queued.call),
                  [this, &idle, connection = std::move(connection),
                   done = std::move(queued.done)](HttpResult result) mutable {
                      m_activeConnections.erase(connection);
                      idle.push_back(std::move(connection));
                      done(std::move(result));
                      startQueued();
                  });
    }

    void startWatch(const std::shared_ptr<Subscription> &subscription);
    void onWatchResult(const std::shared_ptr<Subscription> &subscription,
                       Result<StoreChanges> result);

    StoreOptions m_options;
    const Clock &m_clock;
    CallBudget m_budget;
    AtomicCounters m_counters;
    std::atomic<std::uint32_t> m_pending{0};
    std::mutex m_acceptMutex;
    bool m_accepting = true;
    bool m_stopping = false;
    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_workGuard;
    std::vector<std::shared_ptr<HttpConnection>> m_idleConnections;
    std::vector<std::shared_ptr<HttpConnection>> m_idleWatchConnections;
    std::set<std::shared_ptr<HttpConnection>> m_activeConnections;
    std::deque<QueuedCall> m_queue;
    std::vector<std::shared_ptr<Subscription>> m_subscriptions;
    std::thread m_thread;
};

void HttpStoreClient::put(std::string path, ObjectVersion expected, std::string value,
                          Callback<ObjectVersion> done)
{
    if (value.size() > maxValueBytes)
        return done(Error{ErrorCode::LimitExceeded, "the value is longer than 1000000 bytes", {}});
    HttpCall call = makeCall("PUT", objectTarget(path));
    if (expected.value == 0)
        call.headers.emplace_back("If-None-Match", "*");
    else
        call.headers.emplace_back("If-Match", '"' + std::to_string(expected.value) + '"');
    call.body = std::move(value);
    submit<ObjectVersion>(CallKind::Write, std::move(call), readPutResult, std::move(done));
}

void HttpStoreClient::follow(std::string prefix, Follower follower)
{
    const Backoff backoff(m_options.retryInitial, m_options.retryLimit, m_options.seed);
    auto subscription = std::make_shared<Subscription>(m_context, backoff);
    subscription->prefix = std::move(prefix);
    subscription->follower = std::move(follower);
    postTask([this, subscription] {
        m_subscriptions.push_back(subscription);
        startWatch(subscription);
    });
}

void HttpStoreClient::startWatch(const std::shared_ptr<Subscription> &subscription)
{
    if (m_stopping)
        return;
    watch(subscription->prefix, subscription->revision,
          [this, subscription](Result<StoreChanges> result) {
              onWatchResult(subscription, std::move(result));
          });
}

void HttpStoreClient::onWatchResult(const std::shared_ptr<Subscription> &subscription,
                                    Result<StoreChanges> result)
{
    if (m_stopping)
        return;
    if (result) {
        subscription->backoff.succeeded();
        if (result->complete || result->revision > subscription->revision)
            subscription->revision = result->revision;
        if (result->complete || !result->objects.empty())
            subscription->follower(std::move(result));
        return startWatch(subscription);
    }
    subscription->follower(std::move(result));
    subscription->timer.expires_after(subscription->backoff.failed());
    subscription->timer.async_wait([this, subscription](boost::system::error_code failure) {
        if (!failure)
            startWatch(subscription);
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
        startQueued();
        for (const auto &subscription : m_subscriptions)
            subscription->timer.cancel();
        for (const auto &connection : m_activeConnections)
            connection->close();
        for (const auto &connection : m_idleConnections)
            connection->close();
        for (const auto &connection : m_idleWatchConnections)
            connection->close();
        m_workGuard.reset();
    });
    m_thread.join();
}

} // namespace

} // namespace impl

Result<std::unique_ptr<HttpStore>> makeHttpStore(StoreOptions options, const Clock &clock)
{
    const auto invalidOption = [](const char *text) {
        return Error{ErrorCode::InvalidArgument, text, {}};
    };
    if (!parseHostPort(options.address + ':' + std::to_string(options.port)))
        return invalidOption(
            "the store's address must be a numeric IP address and its port must not be 0");
    if (options.connections == 0 || options.queueLimit == 0)
        return invalidOption("connections and queueLimit must be at least 1");
    if (options.callTimeout <= Duration::zero() || options.watchWait <= Duration::zero())
        return invalidOption("callTimeout and watchWait must be positive");
    return std::unique_ptr<HttpStore>(
        std::make_unique<impl::HttpStoreClient>(std::move(options), clock));
}

} // namespace yuccaspan

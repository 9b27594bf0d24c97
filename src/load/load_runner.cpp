#include "load/load_runner.hpp"

#include "load/connection_pool.hpp"
#include "load/key_sampler.hpp"

#include <charconv>
#include <memory>
#include <random>
#include <string_view>
#include <thread>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>

namespace yuccaspan::load {

namespace {

constexpr std::chrono::milliseconds expiryInterval{20};
constexpr std::size_t ledgerFlushBytes = 64 * 1024;

/// Whether the body names a request id, and another one than was sent.
bool isCrossed(std::string_view body, std::string_view id)
{
    constexpr std::string_view mark = R"("requestId":")";
    const std::size_t at = body.find(mark);
    if (at == std::string_view::npos)
        return false;
    const std::string_view rest = body.substr(at + mark.size());
    return rest.substr(0, rest.find('"')) != id;
}

/// Fills in result and reason from an answer.
void classify(const CallAnswer &answer, bool timedOut, CallRecord &record)
{
    constexpr unsigned firstSuccess = 200;
    constexpr unsigned afterSuccess = 300;
    if (!answer.complete) {
        record.result = CallResult::Unknown;
        record.reason = timedOut ? "caller-timeout" : "caller-connection-lost";
        return;
    }
    if (const auto result = fromString<CallResult>(answer.outcome)) {
        record.result = *result;
        record.reason = answer.reason;
    } else if (!answer.refused.empty()) {
        record.result = CallResult::NotRun;
        record.reason = answer.refused;
    } else if (answer.status >= firstSuccess && answer.status < afterSuccess) {
        record.result = CallResult::Done;
        record.reason = "answered";
    } else {
        record.reason = "status-" + std::to_string(answer.status);
    }
}

/// Sends one thread's part of the load.
class Worker
{
public:
    Worker(const LoadOptions &options, const RequestMix &mix, const KeySampler &sampler,
           const LedgerSink &ledger, std::uint32_t index);
    void run(TimePoint start);
    [[nodiscard]] const LoadReport &report() const { return m_report; }

private:
    [[nodiscard]] PoolHooks hooks();
    void armArrival();
    void onArrival();
    [[nodiscard]] Duration nextGap();
    [[nodiscard]] DueCall drawCall(TimePoint scheduled);
    void submit(DueCall call);
    [[nodiscard]] ConnectionPool &nextPool();
    [[nodiscard]] CallRequest makeRequest(const DueCall &call) const;
    void finish(const DueCall &call, CallRecord record);
    void armExpiry();
    void stopIfDone();

    const LoadOptions &m_options;
    const RequestMix &m_mix;
    const KeySampler &m_sampler;
    const LedgerSink &m_ledger;
    std::uint32_t m_index;
    SystemClock m_clock;
    boost::asio::io_context m_io{1};
    boost::asio::steady_timer m_arrival{m_io};
    boost::asio::steady_timer m_expiry{m_io};
    std::mt19937_64 m_random;
    std::discrete_distribution<std::size_t> m_kinds;
    std::vector<std::string> m_bodies;
    std::vector<std::shared_ptr<ConnectionPool>> m_pools;
    std::size_t m_nextPool = 0;
    TimePoint m_start;
    TimePoint m_next;
    TimePoint m_end;
    std::uint64_t m_drawn = 0;
    std::uint64_t m_ended = 0;
    bool m_arrivalsOver = false;
    std::string m_lines;
    LoadReport m_report;
};

std::vector<double> sharesOf(const RequestMix &mix)
{
    std::vector<double> shares;
    for (const RequestKind &kind : mix.kinds)
        shares.push_back(kind.share);
    return shares;
}

Worker::Worker(const LoadOptions &options, const RequestMix &mix, const KeySampler &sampler,
               const LedgerSink &ledger, std::uint32_t index)
    : m_options(options),
      m_mix(mix),
      m_sampler(sampler),
      m_ledger(ledger),
      m_index(index),
      m_random(options.seed * 1000003 + index),
      m_report(mix)
{
    const std::vector<double> shares = sharesOf(mix);
    m_kinds = std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
    for (const RequestKind &kind : mix.kinds)
        m_bodies.emplace_back(kind.bodyBytes, 'x');
    const std::size_t connections = std::max<std::size_t>(1, options.connections / options.threads);
    for (const Endpoint &endpoint : options.endpoints)
        m_pools.push_back(std::make_shared<ConnectionPool>(m_io, endpoint, connections, hooks()));
    m_nextPool = index % m_pools.size();
}

PoolHooks Worker::hooks()
{
    PoolHooks hooks;
    hooks.makeRequest = [this](const DueCall &call) { return makeRequest(call); };
    hooks.answered = [this](const DueCall &call, const CallAnswer &answer) {
        CallRecord record;
        const bool timedOut = m_clock.now() - call.scheduled >= m_options.timeout;
        classify(answer, timedOut, record);
        record.crossed = answer.complete && isCrossed(answer.body, call.id);
        finish(call, std::move(record));
    };
    hooks.unreachable = [this](DueCall call) { submit(std::move(call)); };
    hooks.expired = [this](const DueCall &call) {
        CallRecord record;
        record.reason = "caller-not-sent";
        finish(call, std::move(record));
    };
    return hooks;
}

void Worker::run(TimePoint start)
{
    m_start = start;
    m_next = start + nextGap();
    m_end = start + Duration(static_cast<Duration::rep>(m_options.seconds * 1e6));
    armArrival();
    armExpiry();
    m_io.run();
    if (m_ledger && !m_lines.empty())
        m_ledger(m_lines);
}

Duration Worker::nextGap()
{
    const double mean = 1e6 * m_options.threads / m_options.rate;
    std::exponential_distribution<double> exponential(1 / mean);
    const double gap = m_options.poisson ? exponential(m_random) : mean;
    return Duration(static_cast<Duration::rep>(gap));
}

void Worker::armArrival()
{
    if (m_next >= m_end) {
        m_arrivalsOver = true;
        stopIfDone();
        return;
    }
    m_arrival.expires_at(std::chrono::steady_clock::time_point(m_next.time_since_epoch()));
    m_arrival.async_wait([this](boost::system::error_code error) {
        if (!error)
            onArrival();
    });
}

void Worker::onArrival()
{
    while (m_next < m_end && m_next <= m_clock.now()) {
        m_report.addLag(m_clock.now() - m_next);
        submit(drawCall(m_next));
        m_next += nextGap();
    }
    armArrival();
}

DueCall Worker::drawCall(TimePoint scheduled)
{
    const double since = std::chrono::duration<double>(scheduled - m_start).count();
    const double epoch = m_options.shiftEvery > 0 ? since / m_options.shiftEvery : 0;
    DueCall call;
    call.id = m_options.runId + '-' + std::to_string(m_index) + '-' + std::to_string(++m_drawn);
    call.kind = m_kinds(m_random);
    call.key = m_sampler.draw(m_random, static_cast<std::uint32_t>(epoch));
    call.scheduled = scheduled;
    return call;
}

void Worker::submit(DueCall call)
{
    if (call.tries < m_pools.size()) {
        nextPool().submit(std::move(call));
        return;
    }
    CallRecord record;
    record.reason = "caller-connect-failed";
    finish(call, std::move(record));
}

// The next endpoint in turn that may be tried, or just the next one if none may.
ConnectionPool &Worker::nextPool()
{
    const TimePoint now = m_clock.now();
    for (std::size_t step = 0; step < m_pools.size(); ++step) {
        ConnectionPool &pool = *m_pools[m_nextPool++ % m_pools.size()];
        if (pool.available(now))
            return pool;
    }
    return *m_pools[m_nextPool++ % m_pools.size()];
}

CallRequest Worker::makeRequest(const DueCall &call) const
{
    const RequestKind &kind = m_mix.kinds[call.kind];
    const std::string key = replaceMark(m_mix.keyFormat, "{n}", std::to_string(call.key));
    CallRequest request;
    request.method = kind.method;
    request.path = replaceMark(kind.path, "{key}", key);
    request.body = m_bodies[call.kind];
    request.headers = kind.headers;
    request.headers.emplace_back("Yuccaspan-Request-Id", call.id);
    if (!kind.keyHeader.empty())
        request.headers.emplace_back(kind.keyHeader, key);
    if (kind.deadline > Duration(0)) {
        const Duration left = call.scheduled + kind.deadline - m_clock.now();
        const auto millis = std::chrono::ceil<std::chrono::milliseconds>(left).count();
        request.headers.emplace_back("Yuccaspan-Deadline-Ms",
                                     std::to_string(std::max<std::int64_t>(1, millis)));
    }
    return request;
}

void Worker::finish(const DueCall &call, CallRecord record)
{
    record.kind = call.kind;
    record.scheduled = call.scheduled - m_start;
    record.latency = m_clock.now() - call.scheduled;
    ++m_ended;
    m_report.add(record);
    if (m_ledger) {
        m_lines.append(call.id).append(1, ' ').append(toString(record.result));
        m_lines.append(1, ' ').append(record.reason.empty() ? "-" : record.reason);
        m_lines.append(1, ' ').append(m_mix.kinds[call.kind].name).append(1, '\n');
        if (m_lines.size() >= ledgerFlushBytes) {
            m_ledger(m_lines);
            m_lines.clear();
        }
    }
    stopIfDone();
}

void Worker::armExpiry()
{
    m_expiry.expires_after(expiryInterval);
    m_expiry.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        for (const auto &pool : m_pools)
            pool->expire(m_clock.now() - m_options.timeout);
        armExpiry();
    });
}

void Worker::stopIfDone()
{
    if (!m_arrivalsOver || m_ended < m_drawn)
        return;
    for (const auto &pool : m_pools)
        pool->closeAll();
    m_io.stop();
}

} // namespace

Result<Endpoint> parseEndpoint(const std::string &url)
{
    constexpr std::string_view scheme = "http://";
    std::string_view rest = url;
    if (rest.starts_with(scheme))
        rest.remove_prefix(scheme.size());
    while (rest.ends_with('/'))
        rest.remove_suffix(1);
    const std::size_t colon = std::min(rest.rfind(':'), rest.size());
    const std::string_view port = rest.substr(std::min(colon + 1, rest.size()));
    Endpoint endpoint;
    endpoint.address = rest.substr(0, colon);
    const auto [end, error] =
        std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    boost::system::error_code badAddress;
    boost::asio::ip::make_address(endpoint.address, badAddress);
    if (error != std::errc() || end != port.data() + port.size() || badAddress)
        return Error{ErrorCode::InvalidArgument, "expected http://ip:port, found " + url, {}};
    return endpoint;
}

LoadReport runLoad(const LoadOptions &options, const RequestMix &mix, const LedgerSink &ledger)
{
    const KeySampler sampler(options.keys, options.zipf, options.seed);
    std::vector<std::unique_ptr<Worker>> workers;
    for (std::uint32_t index = 0; index < options.threads; ++index)
        workers.push_back(std::make_unique<Worker>(options, mix, sampler, ledger, index));
    const TimePoint start = SystemClock().now();
    {
        std::vector<std::jthread> threads;
        threads.reserve(workers.size());
        for (const auto &worker : workers)
            threads.emplace_back([&worker, start] { worker->run(start); });
    }
    LoadReport report(mix);
    for (const auto &worker : workers)
        report.merge(worker->report());
    return report;
}

} // namespace yuccaspan::load

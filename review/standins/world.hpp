// Stand-ins of the platform's store, of upstreams and of consumers, and the start of gateways as
// processes. All sockets are on 127.0.0.1. One thread for each connection; no event loop.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

inline double seconds(Clock::duration span)
{
    return std::chrono::duration<double>(span).count();
}

inline Clock::duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(value));
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<Milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepFor(double span)
{
    std::this_thread::sleep_for(fromSeconds(span));
}

/// Exit codes of a case.
constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

/// Record of what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &path) : m_file(path, std::ios::trunc), m_start(Clock::now())
    { }
    double now() const { return seconds(Clock::now() - m_start); }
    double at(TimePoint when) const { return seconds(when - m_start); }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%9.4f ", now());
        m_file << stamp << text << '\n';
        m_file.flush();
    }
    /// A line that is also printed.
    void tell(const std::string &text)
    {
        line(text);
        std::cout << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    TimePoint m_start;
};

/// The headers and the body of a request or a response.
struct Message
{
    std::string first; ///< Request line or status line.
    std::map<std::string, std::string> headers; ///< By name in lower case.
    std::string body;

    std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const std::size_t from = first.find(' ') + 1;
        return first.substr(from, first.find(' ', from) - from);
    }
    int status() const { return std::atoi(first.c_str() + first.find(' ') + 1); }
};

/// A connected socket with data that was read ahead.
class Connection
{
public:
    explicit Connection(int handle) : m_handle(handle)
    {
        const int on = 1;
        ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection() { ::close(m_handle); }

    int handle() const { return m_handle; }
    void setTimeout(double span)
    {
        timeval value{};
        value.tv_sec = static_cast<time_t>(span);
        value.tv_usec = static_cast<suseconds_t>((span - static_cast<double>(value.tv_sec)) * 1e6);
        ::setsockopt(m_handle, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
    }
    bool send(const std::string &bytes) { return send(bytes.data(), bytes.size()); }
    bool send(const char *data, std::size_t size)
    {
        while (size > 0) {
            const ssize_t count = ::send(m_handle, data, size, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            data += count;
            size -= static_cast<std::size_t>(count);
        }
        return true;
    }
    /// Reads one message; nothing if the connection ends or the time is over before it is whole.
    std::optional<Message> read()
    {
        Message out;
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill())
                return std::nullopt;
        }
        std::istringstream head(m_buffer.substr(0, end + 2));
        m_buffer.erase(0, end + 4);
        std::string text;
        while (std::getline(head, text)) {
            if (!text.empty() && text.back() == '\r')
                text.pop_back();
            const std::size_t colon = text.find(':');
            if (out.first.empty()) {
                out.first = text;
            } else if (colon != std::string::npos) {
                std::string name = text.substr(0, colon);
                std::ranges::transform(name, name.begin(),
                                       [](unsigned char c) { return std::tolower(c); });
                std::size_t from = colon + 1;
                while (from < text.size() && text[from] == ' ')
                    ++from;
                out.headers[name] = text.substr(from);
            }
        }
        const std::string length = out.header("content-length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (m_buffer.size() < size) {
            if (!fill())
                return std::nullopt;
        }
        out.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return out;
    }
    /// Whether the peer has closed the connection.
    bool closed() const
    {
        char byte = 0;
        const ssize_t count = ::recv(m_handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    /// Makes the close a reset.
    void resetOnClose() const
    {
        const linger discard{1, 0};
        ::setsockopt(m_handle, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    }

private:
    bool fill()
    {
        char bytes[16384];
        const ssize_t count = ::recv(m_handle, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int m_handle;
    std::string m_buffer;
};

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// A port that is free for TCP and UDP now.
inline int freePort()
{
    for (int tries = 0; tries < 50; ++tries) {
        const int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof address;
        bool free = ::bind(tcp, reinterpret_cast<sockaddr *>(&address), size) == 0
            && ::getsockname(tcp, reinterpret_cast<sockaddr *>(&address), &size) == 0
            && ::bind(udp, reinterpret_cast<sockaddr *>(&address), size) == 0;
        ::close(tcp);
        ::close(udp);
        if (free)
            return ntohs(address.sin_port);
    }
    std::exit(exitNotRun);
}

/// Opens a connection to a loopback port; null if it fails.
inline std::unique_ptr<Connection> connectTo(int port)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(handle, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(handle);
        return nullptr;
    }
    return std::make_unique<Connection>(handle);
}

/// Accepts connections on a free loopback port and serves each in a thread of its own.
class Server
{
public:
    using Handler = std::function<void(const std::shared_ptr<Connection> &)>;

    explicit Server(Handler handler) : m_handler(std::move(handler))
    {
        m_handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof address;
        if (::bind(m_handle, reinterpret_cast<sockaddr *>(&address), size) != 0
            || ::listen(m_handle, 1024) != 0
            || ::getsockname(m_handle, reinterpret_cast<sockaddr *>(&address), &size) != 0)
            std::exit(exitNotRun);
        m_port = ntohs(address.sin_port);
        std::thread([this] { accept(); }).detach();
    }
    int port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    /// Listens no more.
    void stop() { ::shutdown(m_handle, SHUT_RDWR); }

private:
    void accept()
    {
        while (true) {
            const int handle = ::accept4(m_handle, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0)
                return;
            const auto connection = std::make_shared<Connection>(handle);
            std::thread([this, connection] { m_handler(connection); }).detach();
        }
    }

    Handler m_handler;
    int m_handle = -1;
    int m_port = 0;
};

inline std::string response(int status, const std::string &headers, const std::string &body)
{
    const char *text = status == 200 ? "OK" : status == 421 ? "Misdirected Request" : "Status";
    return "HTTP/1.1 " + std::to_string(status) + ' ' + text + "\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store: linearizable, all writes conditional if they carry a revision.
class Store
{
public:
    static constexpr std::size_t pageItems = 500;
    static constexpr std::size_t pageBytes = 1048576;

    Store() : m_server([this](const auto &connection) { serve(connection); }) { }
    std::string address() const { return m_server.address(); }

    /// Creates or replaces an object as the operator or an upstream does.
    void put(const std::string &kind, const std::string &name, const Json &spec)
    {
        putText(kind, name, spec.dump());
    }
    /// As put, with the bytes of the value as they are.
    void putText(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(m_mutex);
        write(kind, name, spec, "[]");
    }
    /// Replaces a value of which only the count of check-ins differs: no revision and no event.
    void replaceQuietly(const std::string &kind, const std::string &name, const Json &spec)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_objects[kind].find(name);
        if (found != m_objects[kind].end())
            found->second.spec = spec.dump();
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        erase(kind, name);
    }
    /// Value of an object, or nothing.
    std::optional<std::string> value(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_objects[kind].find(name);
        return found == m_objects[kind].end() ? std::nullopt : std::optional(found->second.spec);
    }

private:
    struct Object
    {
        std::string name;
        std::string spec; ///< Bytes of the value.
        std::string finalizers;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;

        std::string text() const
        {
            return "{\"metadata\":{\"name\":" + Json(name).dump() + ",\"revision\":"
                + std::to_string(revision) + ",\"create_revision\":" + std::to_string(created)
                + ",\"finalizers\":" + finalizers + ",\"deleting\":false},\"spec\":" + spec
                + ",\"status\":null}";
        }
    };
    struct Event
    {
        std::string kind;
        std::uint64_t revision = 0;
        std::string text;
    };

    const Object &write(const std::string &kind, const std::string &name, const std::string &spec,
                        const std::string &finalizers)
    {
        Object &object = m_objects[kind][name];
        if (object.revision != 0 && object.spec == spec && object.finalizers == finalizers)
            return object;
        object.name = name;
        object.spec = spec;
        object.finalizers = finalizers;
        object.revision = ++m_revision;
        if (object.created == 0)
            object.created = m_revision;
        m_events.push_back(
            {kind, m_revision, "{\"deleted\":false,\"object\":" + object.text() + "}"});
        m_changed.notify_all();
        return object;
    }
    void erase(const std::string &kind, const std::string &name)
    {
        auto &objects = m_objects[kind];
        const auto found = objects.find(name);
        if (found == objects.end())
            return;
        found->second.revision = ++m_revision;
        m_events.push_back(
            {kind, m_revision, "{\"deleted\":true,\"object\":" + found->second.text() + "}"});
        objects.erase(found);
        m_changed.notify_all();
    }

    void serve(const std::shared_ptr<Connection> &connection)
    {
        while (const auto request = connection->read()) {
            sleepFor(0.004);
            const auto [status, body] = answer(*request);
            if (!connection->send(response(status, "Content-Type: application/json\r\n", body)))
                return;
        }
    }

    std::pair<int, std::string> answer(const Message &request)
    {
        std::string path = request.target();
        std::map<std::string, std::string> query;
        if (const std::size_t mark = path.find('?'); mark != std::string::npos) {
            std::istringstream parts(path.substr(mark + 1));
            path.erase(mark);
            for (std::string part; std::getline(parts, part, '&');)
                query[part.substr(0, part.find('='))] = part.substr(part.find('=') + 1);
        }
        std::vector<std::string> names;
        std::istringstream parts(path);
        for (std::string part; std::getline(parts, part, '/');) {
            if (!part.empty())
                names.push_back(part);
        }
        if (names.size() < 2 || names[0] != "objects")
            return {404, "{}"};
        const std::string &kind = names[1];
        const std::string name = names.size() > 2 ? names[2] : std::string();
        std::unique_lock lock(m_mutex);
        if (request.method() == "GET" && query.contains("watch"))
            return watch(lock, kind, std::stoull(query["watch"]), std::stoll(query["wait_ms"]));
        if (request.method() == "GET" && name.empty())
            return list(kind, query["after"]);
        auto &objects = m_objects[kind];
        if (request.method() == "GET") {
            const auto found = objects.find(name);
            return found == objects.end() ? std::pair(404, std::string("{}"))
                                          : std::pair(200, found->second.text());
        }
        return change(request, kind, name);
    }

    std::pair<int, std::string> change(const Message &request, const std::string &kind,
                                       const std::string &named)
    {
        const Json body = Json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return {400, "{}"};
        const Json metadata = body.value("metadata", Json::object());
        const std::string name = named.empty() ? metadata.value("name", std::string()) : named;
        auto &objects = m_objects[kind];
        const auto found = objects.find(name);
        if (request.method() == "POST" && found != objects.end())
            return {409, found->second.text()};
        if (request.method() == "PUT") {
            if (found == objects.end())
                return {404, "{}"};
            if (metadata.contains("revision") && metadata["revision"] != found->second.revision)
                return {409, found->second.text()};
        }
        return {200,
                write(kind, name, body.value("spec", Json()).dump(),
                      metadata.value("finalizers", Json::array()).dump())
                    .text()};
    }

    std::pair<int, std::string> watch(std::unique_lock<std::mutex> &lock, const std::string &kind,
                                      std::uint64_t after, std::int64_t waitMs)
    {
        const TimePoint end = Clock::now() + Milliseconds(waitMs);
        while (true) {
            std::string events;
            for (const Event &event : m_events) {
                if (event.kind == kind && event.revision > after)
                    events += (events.empty() ? "" : ",") + event.text;
            }
            if (!events.empty() || Clock::now() >= end)
                return {200,
                        "{\"events\":[" + events
                            + "],\"store_revision\":" + std::to_string(m_revision) + "}"};
            m_changed.wait_until(lock, end);
        }
    }

    std::pair<int, std::string> list(const std::string &kind, const std::string &after)
    {
        std::string items;
        std::size_t count = 0;
        bool more = false;
        for (const auto &[name, object] : m_objects[kind]) {
            if (name <= after)
                continue;
            const std::string text = object.text();
            if (count > 0 && (count == pageItems || items.size() + text.size() > pageBytes)) {
                more = true;
                break;
            }
            items += (items.empty() ? "" : ",") + text;
            ++count;
        }
        return {200,
                "{\"items\":[" + items + "],\"has_more\":" + (more ? "true" : "false")
                    + ",\"store_revision\":" + std::to_string(m_revision) + "}"};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Event> m_events;
    std::uint64_t m_revision = 100;
    Server m_server;
};

constexpr std::uint32_t keyCount = 65536;

/// What an upstream is like.
struct UpstreamTraits
{
    std::string id;
    std::string service;
    std::string zone;
    bool keyed = false;
    int slots = 6;
    int queue = 24;
    double workS = 0.1;
    double coldS = 0; ///< Time for which it is cold after its start.
};

/// One life of an upstream.
class Upstream
{
public:
    Upstream(Record &record, Store &store, UpstreamTraits traits)
        : m_record(record),
          m_store(store),
          m_traits(std::move(traits)),
          m_born(unixMs()),
          m_seen(keyCount),
          m_until(keyCount),
          m_grantEnd(keyCount),
          m_working(keyCount),
          m_server([this](const auto &connection) { serve(connection); })
    { }

    const UpstreamTraits &traits() const { return m_traits; }
    std::string address() const { return m_server.address(); }
    std::int64_t born() const { return m_born; }

    /// Writes its entry, and checks in from then on.
    void checkIn(const std::string &state = "ready")
    {
        const std::lock_guard lock(m_entryMutex);
        m_state = state;
        const bool first = !std::exchange(m_checksIn, true);
        if (first) {
            m_born = unixMs();
            m_start = Clock::now();
        }
        m_store.put("servers", m_traits.id, entry());
        if (!first)
            return;
        std::thread([this] {
            while (true) {
                sleepFor(heartbeatS);
                const std::lock_guard beat(m_entryMutex);
                m_store.replaceQuietly("servers", m_traits.id, entry());
            }
        }).detach();
    }

    /// Whether it holds the key now.
    bool holds(std::uint32_t key)
    {
        const std::lock_guard lock(m_mutex);
        return Clock::now() < m_until[key];
    }
    /// The keys that it holds now.
    std::vector<bool> heldKeys()
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = Clock::now();
        std::vector<bool> out(keyCount);
        for (std::uint32_t key = 0; key < keyCount; ++key)
            out[key] = now < m_until[key];
        return out;
    }
    /// A key of the range at which it is at work though its grant would not have run out yet.
    std::optional<std::uint32_t> atWorkIn(std::uint32_t from, std::uint32_t to)
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = Clock::now();
        for (std::uint32_t key = from; key <= to; ++key) {
            if (m_working[key] > 0 && now < m_grantEnd[key])
                return key;
        }
        return std::nullopt;
    }
    int answers() const { return m_answers; }

    /// Is told of each grant that it takes, before the grant is answered.
    std::function<void(Upstream &, std::uint32_t, std::uint32_t, std::uint64_t)> onGrant;
    /// Sends the answer to an order itself; returns false to have it sent as usual.
    std::function<bool(Upstream &, Connection &, const Message &, const std::string &)>
        onOrderAnswer;
    /// Is called when an order was read, before it is carried out.
    std::function<void(Upstream &, Connection &, const Message &)> onOrder;
    /// Answers a request itself; returns false to have it run as usual.
    std::function<bool(Upstream &, Connection &, const Message &)> onRequest;

private:
    static constexpr double heartbeatS = 0.87;

    double coldLeft() const
    {
        return std::max(0.0, m_traits.coldS - seconds(Clock::now() - m_start));
    }
    Json entry()
    {
        return {{"address", address()},
                {"born", m_born},
                {"info",
                 {{"service", m_traits.service},
                  {"version", "v1"},
                  {"zone", m_traits.zone},
                  {"max_concurrency", m_traits.slots}}},
                {"status",
                 {{"state", m_state}, {"sequence", ++m_sequence}, {"warmup_left_s", coldLeft()}}}};
    }

    void serve(const std::shared_ptr<Connection> &connection)
    {
        while (const auto request = connection->read()) {
            const std::string path = request->target();
            const std::string expected = request->header("x-expected-instance");
            if (!expected.empty() && expected != m_traits.id) {
                if (!connection->send(response(421,
                                               "X-Instance-Id: " + m_traits.id
                                                   + "\r\nX-Request-Id: "
                                                   + request->header("x-request-id") + "\r\n",
                                               "")))
                    return;
                continue;
            }
            const bool order = path == "/grant" || path == "/release";
            if (!(order ? serveOrder(*connection, *request) : serveRequest(*connection, *request)))
                return;
        }
    }

    bool serveOrder(Connection &connection, const Message &request)
    {
        if (onOrder)
            onOrder(*this, connection, request);
        const std::string answer = request.target() == "/grant" ? grant(request) : release(request);
        ++m_answers;
        if (onOrderAnswer && onOrderAnswer(*this, connection, request, answer))
            return true;
        return connection.send(answer);
    }

    std::string grant(const Message &request)
    {
        const Json body = Json::parse(request.body);
        const std::uint32_t from = body.at("from");
        const std::uint32_t to = body.at("to");
        const std::uint64_t fence = body.at("fence");
        const double hold = body.at("hold_s");
        {
            const std::lock_guard lock(m_mutex);
            for (std::uint32_t key = from; key <= to; ++key) {
                if (m_seen[key] > fence) {
                    m_record.line(m_traits.id + " refuses grant " + request.body);
                    return response(409, "", "");
                }
            }
            const TimePoint until = Clock::now() + fromSeconds(hold);
            for (std::uint32_t key = from; key <= to; ++key) {
                m_seen[key] = fence;
                m_until[key] = until;
                m_grantEnd[key] = until;
            }
        }
        m_record.line(m_traits.id + " takes grant " + request.body);
        if (onGrant)
            onGrant(*this, from, to, fence);
        return response(200, "", "");
    }

    std::string release(const Message &request)
    {
        const Json body = Json::parse(request.body);
        const std::uint32_t from = body.at("from");
        const std::uint32_t to = body.at("to");
        const std::uint64_t fence = body.at("fence");
        m_record.line(m_traits.id + " gets release " + request.body);
        std::unique_lock lock(m_mutex);
        const TimePoint now = Clock::now();
        for (std::uint32_t key = from; key <= to; ++key) {
            if (m_seen[key] <= fence)
                m_until[key] = std::min(m_until[key], now);
        }
        m_idle.wait(lock, [&] {
            return std::all_of(m_working.begin() + from, m_working.begin() + to + 1,
                               [](int count) { return count == 0; });
        });
        m_record.line(m_traits.id + " ended the work on " + request.body);
        return response(200, "X-Lease-Handover: " + std::to_string(++m_handovers) + "\r\n", "");
    }

    bool serveRequest(Connection &connection, const Message &request)
    {
        const std::string id = request.header("x-request-id");
        const std::string idHeader = "X-Request-Id: " + id + "\r\n";
        if (request.target() == "/health")
            return connection.send(response(200, "X-Instance-Id: " + m_traits.id + "\r\n", ""));
        if (onRequest && onRequest(*this, connection, request)) {
            ++m_answers;
            return false;
        }
        const std::string key = request.header("x-shard-key");
        const std::uint32_t number = key.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(key));
        {
            std::unique_lock lock(m_mutex);
            if (m_running >= m_traits.slots) {
                if (m_waiting >= m_traits.queue) {
                    ++m_answers;
                    return connection.send(response(503, idHeader + "X-Not-Executed: 1\r\n", ""));
                }
                ++m_waiting;
                m_free.wait(lock, [this] { return m_running < m_traits.slots; });
                --m_waiting;
            }
            if (m_traits.keyed && (key.empty() || Clock::now() >= m_until[number])) {
                ++m_answers;
                m_free.notify_one();
                return connection.send(response(421, idHeader + "X-Not-Executed: 1\r\n", ""));
            }
            ++m_running;
            ++m_working[number];
        }
        m_record.line(m_traits.id + " runs " + id + (key.empty() ? "" : " key " + key));
        const TimePoint end = Clock::now() + fromSeconds(m_traits.workS);
        bool dropped = false;
        while (!dropped && Clock::now() < end) {
            sleepFor(std::min(0.01, std::max(0.0, seconds(end - Clock::now()))));
            dropped = connection.closed();
        }
        int running = 0;
        int waiting = 0;
        {
            const std::lock_guard lock(m_mutex);
            running = --m_running;
            waiting = m_waiting;
            --m_working[number];
            m_free.notify_one();
            m_idle.notify_all();
        }
        if (dropped) {
            m_record.line(m_traits.id + " drops " + id);
            return false;
        }
        ++m_answers;
        const std::string load = "X-Server-Load: " + std::to_string(running) + ','
            + std::to_string(waiting) + ',' + std::to_string(m_traits.slots) + "\r\n";
        return connection.send(response(
            200, idHeader + load + "X-Server-Signature: s." + id + "\r\n", "answer to " + id));
    }

    Record &m_record;
    Store &m_store;
    UpstreamTraits m_traits;
    std::int64_t m_born;
    TimePoint m_start = Clock::now();
    std::mutex m_entryMutex;
    std::string m_state;
    std::uint64_t m_sequence = 0;
    bool m_checksIn = false;
    std::mutex m_mutex;
    std::condition_variable m_free;
    std::condition_variable m_idle;
    std::vector<std::uint64_t> m_seen; ///< Highest fencing token, by key.
    std::vector<TimePoint> m_until; ///< End of the hold, by key.
    std::vector<TimePoint> m_grantEnd; ///< End of the last grant whether released or not, by key.
    std::vector<int> m_working; ///< Requests that run, by key.
    int m_running = 0;
    int m_waiting = 0;
    std::atomic<int> m_answers = 0;
    int m_handovers = 0;
    Server m_server;
};

/// A route of the desired state.
struct RoutePlan
{
    std::string name;
    std::string prefix;
    bool idempotent = true;
    std::string service;
    double timeoutS = 2;
};

/// Writes a desired state with standard limits.
inline void publish(Store &store, unsigned version, const std::vector<RoutePlan> &routes,
                    const std::map<std::string, bool> &services)
{
    Json routeList = Json::array();
    for (const RoutePlan &route : routes) {
        routeList.push_back({{"name", route.name},
                             {"host", "depots.example"},
                             {"path_prefix", route.prefix},
                             {"route_type", route.idempotent ? "idempotent" : "non_idempotent"},
                             {"timeout_s", route.timeoutS},
                             {"target_latency_s", route.timeoutS / 4},
                             {"priority", 1},
                             {"service", route.service},
                             {"max_attempts", 2}});
    }
    Json serviceList = Json::array();
    for (const auto &[name, keyed] : services) {
        serviceList.push_back({{"name", name},
                               {"health_path", "/health"},
                               {"max_connections", 110},
                               {"protocol", "h1"},
                               {"tls", false},
                               {"warmup_s", 3.0},
                               {"warmup_per_s", 11.0},
                               {"sharded", keyed},
                               {"warm_s", 3.0},
                               {"grants", "rpc"}});
    }
    char text[9];
    std::snprintf(text, sizeof text, "%08x", version);
    store.put("config", "main",
              {{"version", text},
               {"routes", routeList},
               {"services", serviceList},
               {"limits",
                {{"max_header_bytes", 16384},
                 {"max_body_bytes", 67108864},
                 {"header_timeout_s", 3},
                 {"idle_timeout_s", 15}}}});
}

/// A gateway as the deploy file starts it: its program, its template for the settings.
class Gateway
{
public:
    Gateway(Record &record, const Store &store, std::string folder, std::string name,
            std::string zone)
        : m_record(record),
          m_store(store),
          m_folder(std::move(folder)),
          m_name(std::move(name)),
          m_zone(std::move(zone)),
          m_callers(freePort()),
          m_readiness(freePort()),
          m_peers(freePort())
    { }
    ~Gateway() { kill(); }

    const std::string &name() const { return m_name; }
    int port() const { return m_callers; }
    pid_t pid() const { return m_pid; }

    void start()
    {
        const std::string settings = writeSettings();
        std::ifstream deploy("deploy/system.toml");
        std::string program;
        for (std::string text; std::getline(deploy, text);) {
            if (text.starts_with("run = \""))
                program = text.substr(7, text.rfind('"') - 7);
        }
        const std::string log = m_folder + '/' + m_name + '.' + std::to_string(++m_starts) + ".log";
        const pid_t parent = ::getpid();
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
                ::_exit(exitNotRun);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("YUCCASPAN_NODE_FILE", settings.c_str(), 1);
            ::execl(program.c_str(), program.c_str(), static_cast<char *>(nullptr));
            ::_exit(exitNotRun);
        }
        m_record.line(m_name + " starts");
    }
    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    /// Ends the process at once and waits for its end.
    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
    /// Whether the process runs.
    bool running()
    {
        if (m_pid <= 0)
            return false;
        if (::waitpid(m_pid, nullptr, WNOHANG) == 0)
            return true;
        m_pid = -1;
        return false;
    }
    bool ready() const
    {
        const auto connection = connectTo(m_readiness);
        if (!connection)
            return false;
        connection->setTimeout(1);
        connection->send("GET /readiness HTTP/1.1\r\nHost: readiness\r\n\r\n");
        const auto answer = connection->read();
        return answer && answer->status() == 200;
    }
    /// Highest resident memory so far, in MB.
    double memoryMb() const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
        for (std::string text; std::getline(file, text);) {
            if (text.starts_with("VmHWM:"))
                return std::stod(text.substr(6)) / 1024;
        }
        return 0;
    }

private:
    std::string writeSettings() const
    {
        std::ifstream file("deploy/settings.json");
        std::stringstream text;
        text << file.rdbuf();
        std::string settings = text.str();
        const std::map<std::string, std::string> values{
            {"node_name", m_name},
            {"zone", m_zone},
            {"listen.frontend", "127.0.0.1:" + std::to_string(m_callers)},
            {"listen.readiness", "127.0.0.1:" + std::to_string(m_readiness)},
            {"ip", "127.0.0.1"},
            {"internal_ports.0", std::to_string(m_peers)},
            {"platform.address", m_store.address()},
            {"bounds.retry_budget_ratio", "0.2"},
            {"bounds.retry_slack", "56"},
            {"bounds.warmup_factor", "1.5"},
            {"bounds.warmup_slack", "5"},
            {"bounds.drain_s", "2"},
            {"bounds.evacuation_s", "5"},
            {"bounds.grace_s", "6"},
            {"bounds.hold_max_s", "10"}};
        for (const auto &[name, value] : values) {
            const std::string mark = "{{" + name + "}}";
            for (std::size_t at = 0; (at = settings.find(mark, at)) != std::string::npos;)
                settings.replace(at, mark.size(), value);
        }
        const std::string path = m_folder + '/' + m_name + ".json";
        std::ofstream(path) << settings;
        return path;
    }

    Record &m_record;
    const Store &m_store;
    std::string m_folder;
    std::string m_name;
    std::string m_zone;
    int m_callers;
    int m_readiness;
    int m_peers;
    int m_starts = 0;
    pid_t m_pid = -1;
};

/// Waits until all gateways are ready and, if there are keyed upstreams, all keys are held.
inline void waitForStart(std::vector<std::unique_ptr<Gateway>> &gateways,
                         const std::vector<Upstream *> &keyed, double longest = 20)
{
    const TimePoint end = Clock::now() + fromSeconds(longest);
    while (Clock::now() < end) {
        bool ready = std::ranges::all_of(gateways, [](const auto &one) { return one->ready(); });
        std::vector<bool> held(keyCount, keyed.empty());
        for (Upstream *upstream : keyed) {
            const std::vector<bool> keys = upstream->heldKeys();
            for (std::uint32_t key = 0; key < keyCount; ++key)
                held[key] = held[key] || keys[key];
        }
        if (ready && std::ranges::all_of(held, [](bool one) { return one; }))
            return;
        sleepFor(0.1);
    }
    std::cout << "the deployment did not start" << std::endl;
    std::_Exit(exitNotRun);
}

/// What a consumer got.
struct Answer
{
    int status = 0; ///< 0 if the connection ended without an answer.
    Message message;
};

inline std::string requestId()
{
    static std::atomic<std::uint64_t> last = 0;
    char text[32];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(++last * 2654435761ULL));
    return text;
}

/// Sends one request and reads its answer.
inline Answer ask(Connection &connection, const std::string &id, const std::string &method,
                  const std::string &path, int deadlineMs, std::optional<std::uint32_t> key = {},
                  const std::string &body = {})
{
    std::string text = method + ' ' + path + " HTTP/1.1\r\nHost: depots.example\r\nX-Request-Id: "
        + id + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (key)
        text += "X-Shard-Key: " + std::to_string(*key) + "\r\n";
    if (method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    connection.setTimeout(deadlineMs / 1000.0);
    Answer out;
    if (!connection.send(text + "\r\n" + body))
        return out;
    if (auto message = connection.read()) {
        out.message = std::move(*message);
        out.status = out.message.status();
    }
    return out;
}

/// Consumers that send requests with random keys one after another, each on a kept connection.
class Consumers
{
public:
    Consumers(Record &record, std::vector<std::unique_ptr<Gateway>> &gateways, int count,
              std::string method, std::string path, int deadlineMs, double pauseS, bool keyed)
        : m_record(record)
    {
        for (int index = 0; index < count; ++index) {
            m_threads.emplace_back([=, this, &gateways] {
                std::mt19937 random(static_cast<unsigned>(index) + 1);
                std::unique_ptr<Connection> connection;
                while (!m_stop) {
                    if (!connection)
                        connection = connectTo(gateways[index % gateways.size()]->port());
                    if (!connection) {
                        ++m_failed;
                        sleepFor(0.1);
                        continue;
                    }
                    std::optional<std::uint32_t> key;
                    if (keyed)
                        key = random() % keyCount;
                    const std::string id = requestId();
                    const Answer answer = ask(*connection, id, method, path, deadlineMs, key);
                    m_record.line("consumer gets " + std::to_string(answer.status) + " to " + id);
                    ++(answer.status == 200 ? m_served : m_failed);
                    if (answer.status == 0 || answer.message.header("connection") == "close")
                        connection.reset();
                    sleepFor(pauseS);
                }
            });
        }
    }
    ~Consumers() { stop(); }
    void stop()
    {
        m_stop = true;
        for (std::thread &thread : m_threads) {
            if (thread.joinable())
                thread.join();
        }
    }
    int served() const { return m_served; }
    int failed() const { return m_failed; }

private:
    Record &m_record;
    std::atomic<bool> m_stop = false;
    std::atomic<int> m_served = 0;
    std::atomic<int> m_failed = 0;
    std::vector<std::thread> m_threads;
};

/// What every case gets from run.sh: the folder of the case, a folder for temporary files, and 0 to
/// leave the disruption out.
struct Setting
{
    std::string folder;
    std::string temporary;
    bool trouble = true;

    static Setting of(int count, char **values)
    {
        constexpr int expected = 4;
        if (count != expected)
            std::exit(exitNotRun);
        return {values[1], values[2], std::string(values[3]) != "0"};
    }
};

/// Ends the program without waiting for threads; gateways must have been ended before.
[[noreturn]] inline void finish(int code)
{
    std::cout.flush();
    std::_Exit(code);
}

} // namespace review

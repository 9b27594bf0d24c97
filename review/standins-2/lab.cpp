#include "lab.hpp"

#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace yuccaspan::review {

namespace {

using platform_standins::Json;

constexpr const char *loopbackAddress = "127.0.0.1";
constexpr int listenBacklog = 128;
constexpr std::size_t readBytes = 16384;
/// How often the acceptor looks whether it shall end, in milliseconds.
constexpr int acceptWaitMs = 10;
/// Time that a request takes at a target.
constexpr std::chrono::milliseconds workTime{10};
/// How often a thread that waits for bytes looks whether it shall end.
constexpr std::chrono::milliseconds readWait{200};
constexpr std::size_t maxProcesses = 16;
constexpr unsigned statusOk = 200;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusMisdirected = 421;

// For the signal handler, which may use no locks.
std::array<std::atomic<pid_t>, maxProcesses> startedProcesses{};
std::atomic<std::size_t> startedCount{0};

void endRun(int)
{
    for (std::size_t index = 0; index < startedCount; ++index)
        kill(startedProcesses[index], SIGKILL);
    _exit(static_cast<int>(Verdict::NotRun));
}

sockaddr_in socketAddress(const std::string &address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

void setWait(int socket, int option, std::chrono::milliseconds wait)
{
    timeval value{};
    value.tv_sec = wait.count() / 1000;
    value.tv_usec = wait.count() % 1000 * 1000;
    setsockopt(socket, SOL_SOCKET, option, &value, sizeof value);
}

std::uint16_t portOf(int socket)
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

/// Opens a port of a loopback address, or a free one if it is 0.
int openListener(const std::string &ip, std::uint16_t &port)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int yes = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in address = socketAddress(ip + ':' + std::to_string(port));
    if (bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || listen(listener, listenBacklog) != 0)
        return -1;
    port = portOf(listener);
    return listener;
}

/// A loopback address of this process alone, so that no other socket takes a port that was free.
std::string ownAddress()
{
    constexpr int octets = 250;
    const int process = getpid();
    return "127." + std::to_string(1 + process / octets % octets) + '.'
        + std::to_string(1 + process % octets) + '.' + std::to_string(1 + startedCount);
}

std::string freeAddress()
{
    std::uint16_t port = 0;
    const std::string ip = ownAddress();
    close(openListener(ip, port));
    return ip + ':' + std::to_string(port);
}

std::string statusLine(unsigned status)
{
    const char *text = status == statusOk ? "OK"
        : status == statusConflict        ? "Conflict"
                                          : "Misdirected Request";
    return "HTTP/1.1 " + std::to_string(status) + ' ' + text + "\r\n";
}

std::string plainAnswer(unsigned status, const std::string &headers = {},
                        const std::string &body = {})
{
    return statusLine(status) + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

std::string text(const KeyOrder &order)
{
    return std::to_string(order.first) + ".." + std::to_string(order.last) + " generation "
        + std::to_string(order.fence);
}

} // namespace

Record::Record(const std::string &path) : m_file(path), m_start(LabClock::now())
{ }

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f ", seconds());
    m_file << time.data() << text << std::endl;
}

double Record::seconds() const
{
    return std::chrono::duration<double>(LabClock::now() - m_start).count();
}

KeyJudge::KeyJudge(Record &record, std::vector<std::string> targets)
    : m_record(record),
      m_names(std::move(targets)),
      m_keys(m_names.size(), std::vector<Key>(keyCount))
{ }

void KeyJudge::taken(std::size_t target, const KeyOrder &order, LabClock::time_point arrived)
{
    const std::lock_guard lock(m_mutex);
    const LabClock::time_point now = LabClock::now();
    const auto until = arrived
        + std::chrono::duration_cast<LabClock::duration>(
                           std::chrono::duration<double>(order.holdSeconds));
    std::uint64_t stale = 0;
    std::string other;
    std::uint64_t otherFence = 0;
    for (std::uint32_t number = order.first; number <= order.last; ++number) {
        for (std::size_t index = 0; index < m_keys.size(); ++index) {
            const Key &theirs = m_keys[index][number];
            if (index == target || theirs.taken < order.fence)
                continue;
            ++stale;
            other = m_names[index];
            otherFence = theirs.taken;
            break;
        }
        Key &key = m_keys[target][number];
        if (now >= key.until) {
            endHold(target, number, now);
            key.from = now;
        }
        key.until = std::max(key.until, until);
        key.seen = std::max(key.seen, order.fence);
        key.taken = std::max(key.taken, order.fence);
    }
    if (stale == 0)
        return;
    m_staleTakes += stale;
    m_record.line("BROKEN OWNER: " + m_names[target] + " takes " + std::to_string(stale)
                  + " keys of " + text(order) + ", and " + other + " had them with generation "
                  + std::to_string(otherFence));
}

void KeyJudge::endHold(std::size_t target, std::uint32_t number, LabClock::time_point now)
{
    const Key &key = m_keys[target][number];
    const LabClock::time_point end = std::min(now, key.until);
    for (std::size_t index = 0; index < m_keys.size(); ++index) {
        if (index == target)
            continue;
        const Key &theirs = m_keys[index][number];
        const auto shared = std::min(end, theirs.until) - std::max(key.from, theirs.from);
        m_longestShared = std::max(m_longestShared, std::chrono::duration<double>(shared).count());
    }
}

void KeyJudge::released(std::size_t target, const KeyOrder &order)
{
    const std::lock_guard lock(m_mutex);
    const LabClock::time_point now = LabClock::now();
    for (std::uint32_t number = order.first; number <= order.last; ++number) {
        Key &key = m_keys[target][number];
        key.seen = std::max(key.seen, order.fence);
        if (key.taken > order.fence || now >= key.until)
            continue;
        endHold(target, number, now);
        key.until = now;
    }
}

void KeyJudge::began(std::size_t target, std::uint32_t number)
{
    const std::lock_guard lock(m_mutex);
    const LabClock::time_point now = LabClock::now();
    for (std::size_t index = 0; index < m_keys.size(); ++index) {
        if (index != target && now < m_keys[index][number].until)
            ++m_sharedStarts;
    }
}

void KeyJudge::ended(std::size_t target)
{
    const std::lock_guard lock(m_mutex);
    const LabClock::time_point now = LabClock::now();
    for (std::uint32_t number = 0; number < keyCount; ++number) {
        Key &key = m_keys[target][number];
        if (now < key.until) {
            endHold(target, number, now);
            key.until = now;
        }
        key.seen = 0;
    }
}

bool KeyJudge::holds(std::size_t target, std::uint32_t number)
{
    const std::lock_guard lock(m_mutex);
    return LabClock::now() < m_keys[target][number].until;
}

bool KeyJudge::seenHigher(std::size_t target, const KeyOrder &order)
{
    const std::lock_guard lock(m_mutex);
    const auto begin = m_keys[target].begin();
    return std::any_of(begin + order.first, begin + order.last + 1,
                       [&order](const Key &key) { return key.seen > order.fence; });
}

std::uint64_t KeyJudge::staleTakes() const
{
    const std::lock_guard lock(m_mutex);
    return m_staleTakes;
}

double KeyJudge::longestShared()
{
    const std::lock_guard lock(m_mutex);
    const LabClock::time_point now = LabClock::now();
    for (std::size_t target = 0; target < m_keys.size(); ++target) {
        for (std::uint32_t number = 0; number < keyCount; ++number)
            endHold(target, number, now);
    }
    return m_longestShared;
}

std::uint64_t KeyJudge::sharedStarts() const
{
    const std::lock_guard lock(m_mutex);
    return m_sharedStarts;
}

struct LabTarget::Request
{
    std::string text;
    LabClock::time_point arrived;

    [[nodiscard]] bool is(std::string_view start) const { return text.starts_with(start); }
    [[nodiscard]] std::optional<KeyOrder> order() const
    {
        const Json body = Json::parse(bodyOf(text), nullptr, false);
        if (!body.is_object() || !body.contains("from") || !body.contains("to")
            || !body.contains("fence"))
            return std::nullopt;
        return KeyOrder{body.at("from"), body.at("to"), body.at("fence"),
                        body.value("hold_s", 0.0)};
    }
};

LabTarget::LabTarget(Record &record, KeyJudge &judge, TargetCounts &counts, std::size_t index,
                     std::string id, std::string zone, bool keyed)
    : m_record(record),
      m_judge(judge),
      m_counts(counts),
      m_index(index),
      m_id(std::move(id)),
      m_zone(std::move(zone)),
      m_keyed(keyed),
      m_listener(openListener(loopbackAddress, m_port))
{
    m_acceptor = std::thread([this] { accept(); });
}

LabTarget::~LabTarget()
{
    m_stopped = true;
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    close(m_listener);
    closeAll();
    for (std::thread &thread : m_threads)
        thread.join();
    if (m_lateThread.joinable())
        m_lateThread.join();
}

void LabTarget::closeAll()
{
    const std::lock_guard lock(m_mutex);
    for (const int socket : m_sockets)
        shutdown(socket, SHUT_RDWR);
}

void LabTarget::goDark()
{
    m_record.line(m_id + " falls silent");
    m_dark = true;
    // With a full queue, the system drops the packets that open connections.
    listen(m_listener, 0);
    constexpr int fillers = 8;
    for (int index = 0; index < fillers; ++index) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        const sockaddr_in peer = socketAddress(address());
        connect(socket, reinterpret_cast<const sockaddr *>(&peer), sizeof peer);
        m_fillers.push_back(socket);
    }
}

void LabTarget::comeBackCold(std::chrono::milliseconds coldFor, std::size_t crashAbove)
{
    for (const int socket : m_fillers)
        close(socket);
    m_fillers.clear();
    ++m_life;
    m_acceptor.join();
    closeAll();
    pollfd waiting{m_listener, POLLIN, 0};
    while (poll(&waiting, 1, 0) > 0) {
        const int socket = ::accept(m_listener, nullptr, nullptr);
        if (socket < 0)
            break;
        const linger discard{1, 0};
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        close(socket);
    }
    listen(m_listener, listenBacklog);
    {
        const std::lock_guard lock(m_mutex);
        m_coldUntil = LabClock::now() + coldFor;
        m_crashAbove = crashAbove;
    }
    m_record.line(m_id + " has started again and is cold for " + std::to_string(coldFor.count())
                  + " ms");
    m_dark = false;
    m_acceptor = std::thread([this] { accept(); });
}

bool LabTarget::countCold()
{
    const std::lock_guard lock(m_mutex);
    const LabClock::time_point now = LabClock::now();
    if (now >= m_coldUntil)
        return false;
    m_whileCold.push_back(now);
    const auto recent =
        std::count_if(m_whileCold.begin(), m_whileCold.end(), [now](LabClock::time_point at) {
            return now - at < std::chrono::seconds(1);
        });
    return static_cast<std::size_t>(recent) > m_crashAbove;
}

std::string LabTarget::warmupField()
{
    const std::lock_guard lock(m_mutex);
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_coldUntil - LabClock::now());
    return left.count() > 0 ? "X-Warmup-Ms: " + std::to_string(left.count()) + "\r\n"
                            : std::string();
}

void LabTarget::setWork(std::uint32_t key, int change)
{
    const std::lock_guard lock(m_mutex);
    m_work[key] += change;
}

void LabTarget::awaitWork(const KeyOrder &order)
{
    const auto busy = [this, &order] {
        const std::lock_guard lock(m_mutex);
        return std::any_of(m_work.lower_bound(order.first), m_work.upper_bound(order.last),
                           [](const auto &work) { return work.second > 0; });
    };
    while (busy() && !m_stopped)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

void LabTarget::carryOut(int life, const KeyOrder &order, LabClock::time_point arrived,
                         std::chrono::milliseconds late)
{
    std::this_thread::sleep_until(arrived + late);
    const std::chrono::duration<double> since = LabClock::now() - arrived;
    if (!alive(life) || since.count() >= order.holdSeconds || m_judge.seenHigher(m_index, order))
        return;
    m_record.line(m_id + " carries out, " + std::to_string(late.count()) + " ms late, grant "
                  + text(order));
    m_judge.taken(m_index, order, arrived);
}

void LabTarget::crash()
{
    m_record.line(m_id + " crashes under the load");
    ++m_life;
    shutdown(m_listener, SHUT_RDWR);
    closeAll();
}

std::size_t LabTarget::mostWhileCold()
{
    const std::lock_guard lock(m_mutex);
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < m_whileCold.size(); ++last) {
        while (m_whileCold[last] - m_whileCold[first] >= std::chrono::seconds(1))
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

void LabTarget::restart(std::chrono::milliseconds pause)
{
    m_record.line(m_id + " crashes");
    ++m_life;
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    close(m_listener);
    closeAll();
    m_judge.ended(m_index);
    std::this_thread::sleep_for(pause);
    m_listener = openListener(loopbackAddress, m_port);
    m_record.line(m_id + " has started again");
    m_acceptor = std::thread([this] { accept(); });
}

std::string LabTarget::address() const
{
    return std::string(loopbackAddress) + ':' + std::to_string(m_port);
}

void LabTarget::armLateGrant(LateGrant trouble)
{
    const std::lock_guard lock(m_mutex);
    m_lateGrant = std::move(trouble);
}

void LabTarget::accept()
{
    const int life = m_life;
    while (alive(life)) {
        pollfd waiting{m_listener, POLLIN, 0};
        if (poll(&waiting, 1, acceptWaitMs) <= 0 || m_dark)
            continue;
        const int socket = ::accept(m_listener, nullptr, nullptr);
        if (socket < 0)
            continue;
        const std::lock_guard lock(m_mutex);
        m_sockets.insert(socket);
        m_threads.emplace_back([this, socket, life] { serve(socket, life); });
    }
}

void LabTarget::serve(int socket, int life)
{
    std::string buffer;
    std::string lastGrantAnswer;
    while (alive(life)) {
        std::optional<std::string> message = readMessage(socket, buffer);
        while (m_dark && alive(life))
            std::this_thread::sleep_for(std::chrono::milliseconds(acceptWaitMs));
        if (!message || !alive(life)
            || !handle(socket, life, {std::move(*message), LabClock::now()}, lastGrantAnswer))
            break;
    }
    const std::lock_guard lock(m_mutex);
    m_sockets.erase(socket);
    close(socket);
}

bool LabTarget::answer(int socket, const std::string &bytes)
{
    ++m_counts.answers;
    return sendAll(socket, bytes);
}

bool LabTarget::handle(int socket, int life, const Request &request, std::string &lastGrantAnswer)
{
    const std::string instance = "X-Instance-Id: " + m_id + "\r\n";
    if (request.is("GET /health "))
        return answer(socket, plainAnswer(statusOk, instance + warmupField()));
    const std::string expected = headerOf(request.text, "X-Expected-Instance");
    const std::string id = headerOf(request.text, "X-Request-Id");
    const std::string echo = id.empty() ? std::string() : "X-Request-Id: " + id + "\r\n";
    const std::string misdirected =
        plainAnswer(statusMisdirected, echo + instance + "X-Not-Executed: 1\r\n");
    if (!expected.empty() && expected != m_id)
        return answer(socket, misdirected);
    if (request.is("POST /grant "))
        return grant(socket, life, request, lastGrantAnswer);
    if (request.is("POST /release ")) {
        ++m_counts.orders;
        const std::optional<KeyOrder> order = request.order();
        if (!order)
            return false;
        m_judge.released(m_index, *order);
        m_record.line(m_id + " releases " + text(*order));
        awaitWork(*order);
        return answer(socket,
                      plainAnswer(statusOk,
                                  echo + "X-Lease-Handover: " + m_id + '.'
                                      + std::to_string(order->fence) + "\r\n"));
    }
    const auto key =
        static_cast<std::uint32_t>(std::atoi(headerOf(request.text, "X-Shard-Key").c_str()));
    if (id.empty() || (m_keyed && (key >= keyCount || !m_judge.holds(m_index, key))))
        return answer(socket, misdirected);
    if (m_keyed)
        m_judge.began(m_index, key);
    m_record.line(m_id + " runs " + id + " key " + std::to_string(key));
    if (countCold()) {
        crash();
        return false;
    }
    setWork(key, 1);
    std::this_thread::sleep_for(workTime);
    setWork(key, -1);
    if (!alive(life))
        return false;
    const std::string signature = "X-Server-Signature: signed." + id + "\r\n";
    std::string whole = plainAnswer(statusOk, echo + signature, "answer to " + id);
    // The answer to HEAD has the head of the answer to GET, and no body.
    if (request.is("HEAD "))
        whole.erase(whole.find("\r\n\r\n") + 4);
    return answer(socket, whole);
}

bool LabTarget::grant(int socket, int life, const Request &request, std::string &lastGrantAnswer)
{
    ++m_counts.orders;
    const std::optional<KeyOrder> order = request.order();
    if (!order)
        return false;
    if (m_judge.seenHigher(m_index, *order)) {
        m_record.line(m_id + " refuses " + text(*order));
        return answer(socket, plainAnswer(statusConflict));
    }
    std::optional<LateGrant> trouble;
    if (!lastGrantAnswer.empty()) {
        const std::lock_guard lock(m_mutex);
        trouble = std::exchange(m_lateGrant, std::nullopt);
    }
    if (trouble) {
        ++m_counts.lateGrants;
        bool sent = true;
        m_record.line(m_id + " gets grant " + text(*order) + " on a kept connection"
                      + (trouble->copyBefore ? ", sends a second copy of the answer before" : "")
                      + " and leaves it unanswered");
        if (trouble->copyBefore) {
            ++m_counts.extraAnswers;
            sent = sendAll(socket, lastGrantAnswer);
        }
        m_lateThread =
            std::thread([this, life, order = *order, arrived = request.arrived,
                         late = trouble->late] { carryOut(life, order, arrived, late); });
        trouble->whenDone();
        return sent;
    }
    m_judge.taken(m_index, *order, request.arrived);
    m_record.line(m_id + " takes " + text(*order) + " for " + std::to_string(order->holdSeconds)
                  + " s");
    lastGrantAnswer = plainAnswer(statusOk);
    return answer(socket, lastGrantAnswer);
}

StoreThread::StoreThread()
{
    auto store = platform_standins::StoreStandin::create(m_loop);
    if (!store)
        endRun(0);
    m_store = std::move(*store);
    m_thread = std::thread([this] { m_loop.run(); });
}

StoreThread::~StoreThread()
{
    m_loop.stop();
    m_thread.join();
}

void StoreThread::put(const std::string &kind, const std::string &name, Json spec)
{
    m_loop.post([this, kind, name, spec = std::move(spec)] {
        m_store->table().put(kind, name, spec);
        m_store->changed();
    });
}

void StoreThread::setBusy(bool busy)
{
    m_loop.post([this, busy] {
        platform_standins::StoreFaults faults;
        if (busy)
            faults.outage = platform_standins::StoreOutage::Busy;
        m_store->setFaults(faults);
    });
}

GatewayProcess::GatewayProcess(const std::string &program, const std::string &folder,
                               const std::string &name, const std::string &zone,
                               const std::string &store)
    : m_callers(freeAddress()), m_readiness(freeAddress())
{
    // The values of the template of the deploy file for a small deployment.
    const Json settings{
        {"name", name},
        {"zone", zone},
        {"callers", m_callers},
        {"readiness", m_readiness},
        {"peers", freeAddress()},
        {"store", store},
        {"repeatRatio", 0.2},
        {"repeatSlack", 56},
        {"coldFactor", 1.5},
        {"coldSlack", 5},
        {"drainWithinS", 2},
        {"evacuateWithinS", 5},
        {"applyWithinS", 2},
        {"stopWithinS", 6},
        {"holdMostS", 10},
        {"contracts",
         {"base", "drain", "config", "cost", "retry", "recover", "own", "places", "platform"}},
        {"pipelineDepth", 8},
        {"waitingOrder", "least-cost"},
        {"newsFromInstances", 30}};
    const std::string path = folder + '/' + name + ".json";
    std::ofstream(path) << settings.dump();
    setenv("YUCCASPAN_NODE_FILE", path.c_str(), 1);
    auto process = standins::Process::start({program}, folder + '/' + name + ".log");
    if (!process) {
        std::fprintf(stderr, "cannot start %s\n", program.c_str());
        endRun(0);
    }
    m_process = std::move(*process);
    startedProcesses[startedCount % maxProcesses] = m_process->pid();
    ++startedCount;
}

bool GatewayProcess::ready() const
{
    constexpr std::chrono::milliseconds timeout{500};
    const int socket = connectTo(m_readiness, timeout);
    std::string buffer;
    std::optional<std::string> answer;
    if (socket >= 0 && sendAll(socket, "GET /readiness HTTP/1.1\r\nHost: node\r\n\r\n"))
        answer = readMessage(socket, buffer);
    close(socket);
    return answer && answer->starts_with("HTTP/1.1 200");
}

bool GatewayProcess::running()
{
    return !m_process->wait(Duration::zero());
}

void guardRun(std::chrono::seconds limit)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, endRun);
    std::signal(SIGINT, endRun);
    std::signal(SIGALRM, endRun);
    std::signal(SIGABRT, endRun);
    std::signal(SIGSEGV, endRun);
    alarm(static_cast<unsigned>(limit.count()));
}

int connectTo(const std::string &address, std::chrono::milliseconds timeout)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    setWait(socket, SO_SNDTIMEO, timeout);
    setWait(socket, SO_RCVTIMEO, timeout);
    const sockaddr_in peer = socketAddress(address);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) == 0) {
        const int yes = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        return socket;
    }
    close(socket);
    return -1;
}

bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::optional<std::string> readMessage(int socket, std::string &buffer)
{
    while (true) {
        const std::size_t headEnd = buffer.find("\r\n\r\n");
        if (headEnd != std::string::npos) {
            const std::size_t bodyStart = headEnd + 4;
            const std::string length = headerOf(buffer.substr(0, bodyStart), "Content-Length");
            const std::size_t size = bodyStart + std::strtoul(length.c_str(), nullptr, 10);
            if (buffer.size() >= size) {
                std::string message = buffer.substr(0, size);
                buffer.erase(0, size);
                return message;
            }
        }
        std::array<char, readBytes> bytes{};
        const ssize_t count = recv(socket, bytes.data(), bytes.size(), 0);
        if (count <= 0)
            return std::nullopt;
        buffer.append(bytes.data(), static_cast<std::size_t>(count));
    }
}

std::string headerOf(const std::string &message, const std::string &name)
{
    const auto same = [](char left, char right) {
        return std::tolower(static_cast<unsigned char>(left))
            == std::tolower(static_cast<unsigned char>(right));
    };
    const std::string field = "\r\n" + name + ":";
    const std::size_t headEnd = std::min(message.find("\r\n\r\n"), message.size());
    const auto end = message.begin() + static_cast<std::ptrdiff_t>(headEnd);
    auto found = std::search(message.begin(), end, field.begin(), field.end(), same);
    if (found == end)
        return {};
    found += static_cast<std::ptrdiff_t>(field.size());
    while (found != end && *found == ' ')
        ++found;
    return {found, std::find(found, end, '\r')};
}

std::string bodyOf(const std::string &message)
{
    const std::size_t headEnd = message.find("\r\n\r\n");
    return headEnd == std::string::npos ? std::string() : message.substr(headEnd + 4);
}

} // namespace yuccaspan::review

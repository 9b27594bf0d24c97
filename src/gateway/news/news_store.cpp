#include "gateway/news/news_store.hpp"

#include "gateway/shard_map.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace yuccaspan::gateway {

namespace {

/// Interval at which what follows from the time alone is decided.
constexpr Duration tickInterval = std::chrono::milliseconds(100);
/// Pause between an answer and the next question; batches changes.
constexpr Duration pollPause = std::chrono::milliseconds(50);
constexpr Duration connectTimeout = std::chrono::milliseconds(400);
/// Shorter than the idle timeout of the peers' server.
constexpr Duration idleLimit = std::chrono::seconds(10);
/// Largest answer of a peer, in bytes.
constexpr std::uint64_t maxAnswerBytes = 8ULL << 20;
/// Questions that wait at an instance: its own children's, and those of a lost neighbour.
constexpr std::size_t maxWaiting = 2 * newsFanOut;
/// Age up to which a peer's lease is as good as an old read of the store.
constexpr Duration maxLeaseAge = std::chrono::milliseconds(2000);
/// An instance that nobody asked for so long needs no checks of the store.
constexpr Duration askedRecently = std::chrono::seconds(2);

} // namespace

NewsStore::NewsStore(asio::io_context &loop, MetadataStore &store, NewsOptions options)
    : m_loop(loop),
      m_store(store),
      m_options(std::move(options)),
      m_source(m_options.name, m_options.timing)
{ }

void NewsStore::start(Gateway &gateway, std::function<bool()> readsItself)
{
    if (m_options.fromInstances == 0)
        return;
    m_gateway = &gateway;
    m_readsItself = std::move(readsItself);
    asio::co_spawn(m_loop, tick(), asio::detached);
    asio::co_spawn(m_loop, pollPeers(), asio::detached);
}

bool NewsStore::active() const noexcept
{
    return m_gateway != nullptr && m_members.size() >= m_options.fromInstances;
}

bool NewsStore::fromPeers() const
{
    return active() && !m_readsItself() && !m_source.fromStore(now());
}

std::uint32_t NewsStore::followers(std::uint32_t instances) const
{
    if (!active())
        return instances;
    return fromPeers() ? 1 : std::max(m_readers, 1U);
}

void NewsStore::wake()
{
    for (asio::steady_timer *waiter : m_waiters)
        waiter->cancel();
}

asio::awaitable<void> NewsStore::waitForNews(Duration most)
{
    asio::steady_timer timer(m_loop, most);
    m_waiters.insert(&timer);
    co_await timer.async_wait(asTuple);
    m_waiters.erase(&timer);
}

/// Takes the members from the instances' objects, and this instance's place from them.
void NewsStore::learnMembers()
{
    m_members.clear();
    const NewsLog &log = m_desk.log(ObjectKind::Instances);
    for (const StoredObject &object : log.changesAfter({}, maxNewsObjects).objects) {
        if (object.deleted)
            continue;
        const auto entry = nlohmann::json::parse(object.text, nullptr, false);
        const auto field = [&entry](const char *name) {
            const bool present = entry.is_object() && entry.contains(name);
            return present && entry.at(name).is_string() ? entry.at(name).get<std::string>()
                                                         : std::string();
        };
        Member member{field("zone"), field("peers")};
        if (parseEndpoint(member.address))
            m_members.emplace(object.name, std::move(member));
    }
    std::map<std::string, std::size_t> zones;
    std::vector<std::string> ours;
    for (const auto &[name, member] : m_members) {
        ++zones[member.zone];
        if (member.zone == m_options.zone)
            ours.push_back(name);
    }
    std::size_t readers = 0;
    for (const auto &[zone, count] : zones)
        readers += std::min(count, newsReadersPerZone);
    m_readers = static_cast<std::uint32_t>(readers);
    m_source.setPlace(active() ? newsPlace(std::move(ours), m_options.name) : NewsPlace{}, now());
    logSource();
}

void NewsStore::logSource()
{
    std::string source = m_readsItself() ? "store" : m_source.inUse(now());
    if (!active() || source == m_loggedSource)
        return;
    nlohmann::json revisions = nlohmann::json::object();
    for (const auto &[kind, revision] : m_desk.question().kinds)
        revisions[std::to_string(int(kind))] = revisionJson(revision);
    using Milliseconds = std::chrono::duration<double, std::milli>;
    m_gateway->log.write("news", "source",
                         {{"from", source},
                          {"before", m_loggedSource},
                          {"ageMs", Milliseconds(m_desk.age(now())).count()},
                          {"revisions", std::move(revisions)}});
    m_gateway->metrics.count("news-source", source == "store" ? "store" : "peer");
    m_loggedSource = std::move(source);
    // Watches that wait for a peer's news go to the store now.
    wake();
}

asio::awaitable<void> NewsStore::tick()
{
    while (true) {
        asio::steady_timer timer(m_loop, tickInterval);
        co_await timer.async_wait(asTuple);
        if (!active())
            continue;
        logSource();
        const bool asked = now() - m_lastAsked < askedRecently;
        if (!fromPeers() && asked && !m_checking && now() >= m_nextCheck) {
            m_nextCheck = now() + m_options.timing.check;
            asio::co_spawn(m_loop, checkStore(), asio::detached);
        }
    }
}

/// A watch that waits says nothing of the store while it does; a read of the lease, which costs
/// little, says that the store answers.
asio::awaitable<void> NewsStore::checkStore()
{
    m_checking = true;
    if (!m_leaseName.empty())
        (void)co_await get(ObjectKind::Leases, m_leaseName, true);
    m_checking = false;
}

/// The store answered a call that was sent at `asOf`, so it had no change for the pending watches.
void NewsStore::confirm(TimePoint asOf)
{
    for (const auto &[kind, since] : m_pendingSince) {
        if (since <= asOf && NewsDesk::passesOn(kind))
            m_desk.log(kind).confirmed(asOf);
    }
}

asio::awaitable<void> NewsStore::pollPeers()
{
    while (true) {
        const std::string peer = active() && !m_readsItself() ? m_source.peer(now()) : "";
        if (!peer.empty() && m_desk.known())
            co_await poll(peer);
        asio::steady_timer timer(m_loop, peer.empty() ? tickInterval : pollPause);
        co_await timer.async_wait(asTuple);
    }
}

asio::awaitable<void> NewsStore::poll(std::string peer)
{
    const auto member = m_members.find(peer);
    if (member == m_members.end()) {
        m_source.failed(now());
        co_return;
    }
    const std::string address = member->second.address;
    auto &pool = m_pools[address];
    if (!pool) {
        std::erase_if(m_pools, [&address](const auto &item) { return item.first != address; });
        pool = ClientPool::create(m_loop, address,
                                  {.idleLimit = idleLimit, .maxIdle = 1, .memory = {}});
    }
    NewsQuestion question = m_desk.question();
    question.from = m_options.name;
    // A source that has yet to show how old its news is answers at once.
    question.wait = m_source.heard() ? m_options.timing.heartbeat : Duration{};
    for (const auto &[service, map] : m_gateway->shardMaps)
        question.maps[service] = map.revision;
    HttpRequest request(http::verb::post, "/news", httpVersion11);
    request.set(http::field::host, address);
    request.body() = encodeNews(question);
    request.prepare_payload();
    CallOptions options;
    options.connectTimeout = connectTimeout;
    options.timeout = m_options.timing.silence;
    options.bodyLimit = maxAnswerBytes;
    const TimePoint askedAt = now();
    const CallResult result =
        co_await std::shared_ptr(pool)->call(std::move(request), std::move(options));
    const bool answered =
        result.end == CallEnd::Answered && result.response.result() == http::status::ok;
    m_gateway->metrics.count("news-poll", answered ? "answered" : "failed");
    // The place may have changed meanwhile.
    if (m_source.peer(now()) != peer)
        co_return;
    if (!answered || !takeAnswer(result.response.body(), question, askedAt))
        m_source.failed(now());
    logSource();
}

/// \returns Whether the answer could be read.
bool NewsStore::takeAnswer(const std::string &text, const NewsQuestion &asked, TimePoint askedAt)
{
    const Result<NewsAnswer> answer = decodeNewsAnswer(text);
    if (!answer) {
        m_gateway->metrics.count("news-poll", "bad-answer");
        m_gateway->log.write("news", "bad-answer", {{"bytes", text.size()}});
        return false;
    }
    const StoreRevision instances = m_desk.log(ObjectKind::Instances).newest();
    const NewsTaken taken = m_desk.take(*answer, asked, askedAt, now());
    for (const ObjectKind kind : taken.gaps) {
        m_gateway->metrics.count("news-poll", "gap");
        m_gaps.insert(kind);
    }
    for (const StoredObject &map : answer->maps)
        m_newMaps[map.name] = map;
    m_source.answered(taken.age, now());
    if (m_desk.log(ObjectKind::Instances).hasAfter(instances))
        learnMembers();
    if (taken.changed || !taken.gaps.empty() || !answer->maps.empty())
        wake();
    return true;
}

std::vector<StoredObject> NewsStore::mapsAfter(const NewsQuestion &question) const
{
    std::vector<StoredObject> maps;
    for (const auto &[service, map] : m_gateway->shardMaps) {
        const auto known = question.maps.find(service);
        if (known == question.maps.end() || known->second < map.revision)
            maps.push_back({service, map.revision, false, nullptr, encodeShardMap(map.map)});
    }
    return maps;
}

asio::awaitable<HttpResponse> NewsStore::answer(std::string question)
{
    HttpResponse response(http::status::service_unavailable, httpVersion11);
    if (!active() || m_gateway->stopping || !m_desk.known() || m_answering >= maxWaiting) {
        if (active())
            m_gateway->metrics.count("news-answer", "refused");
        co_return response;
    }
    const Result<NewsQuestion> asked = decodeNewsQuestion(question);
    if (!asked) {
        m_gateway->metrics.count("news-answer", "bad-question");
        m_gateway->log.write("news", "bad-question", {{"bytes", question.size()}});
        response.result(http::status::bad_request);
        co_return response;
    }
    const TimePoint askedAt = now();
    m_lastAsked = askedAt;
    ++m_answering;
    const TimePoint until = askedAt + std::min(asked->wait, m_options.timing.heartbeat);
    while (!m_desk.hasNews(*asked) && now() < until)
        co_await waitForNews(until - now());
    --m_answering;
    NewsAnswer news = m_desk.answer(*asked, now());
    news.maps = mapsAfter(*asked);
    news.held = now() - askedAt;
    m_gateway->metrics.count("news-answer", "answered");
    response.result(http::status::ok);
    response.body() = encodeNews(news);
    co_return response;
}

asio::awaitable<Result<StoredObjects>> NewsStore::list(ObjectKind kind)
{
    if (m_gateway == nullptr)
        co_return co_await m_store.list(kind);
    const TimePoint askedAt = now();
    Result<StoredObjects> listed = co_await m_store.list(kind);
    if (!listed)
        co_return listed;
    if (kind == ObjectKind::ShardMaps)
        m_mapsFromPeers = false;
    if (NewsDesk::passesOn(kind)) {
        m_desk.log(kind).listed(*listed, askedAt);
        m_gaps.erase(kind);
        if (kind == ObjectKind::Instances)
            learnMembers();
        wake();
    }
    co_return listed;
}

asio::awaitable<Result<StoredObjects>>
NewsStore::watchStore(ObjectKind kind, StoreRevision revision, Duration wait, CancelSink onCancel)
{
    const TimePoint askedAt = now();
    m_pendingSince[kind] = askedAt;
    Result<StoredObjects> changes =
        co_await m_store.watch(kind, revision, wait, std::move(onCancel));
    m_pendingSince.erase(kind);
    if (!changes || !NewsDesk::passesOn(kind))
        co_return changes;
    const TimePoint asOf = changes->mayHaveMore ? TimePoint{} : askedAt;
    if (m_desk.log(kind).changed(*changes, revision, asOf)) {
        if (kind == ObjectKind::Instances)
            learnMembers();
        wake();
    }
    co_return changes;
}

/// What a watch can be answered with at once, if there is anything.
std::optional<Result<StoredObjects>> NewsStore::newsAfter(ObjectKind kind, StoreRevision revision)
{
    if (kind == ObjectKind::ShardMaps) {
        StoredObjects maps;
        maps.revision = revision;
        for (auto &[service, map] : std::exchange(m_newMaps, {})) {
            maps.revision = std::max(maps.revision, map.revision);
            maps.objects.push_back(std::move(map));
        }
        return maps.objects.empty() ? std::nullopt : std::optional<Result<StoredObjects>>(maps);
    }
    const NewsLog &log = m_desk.log(kind);
    if (m_gaps.contains(kind) || !log.covers(revision))
        return Error{ErrorCode::LimitExceeded, "no peer holds the requested history", {}};
    if (!log.hasAfter(revision))
        return std::nullopt;
    return log.changesAfter(revision, maxNewsObjects);
}

asio::awaitable<Result<StoredObjects>> NewsStore::watch(ObjectKind kind, StoreRevision revision,
                                                        Duration wait, CancelSink onCancel)
{
    const bool handedOn = NewsDesk::passesOn(kind) || kind == ObjectKind::ShardMaps;
    const bool own = kind == ObjectKind::Settings && m_options.ownSettings;
    if (!handedOn || own || !fromPeers()) {
        if (m_gateway == nullptr)
            co_return co_await m_store.watch(kind, revision, wait, std::move(onCancel));
        // The maps' history since they were last read at the store would be long.
        if (kind == ObjectKind::ShardMaps && std::exchange(m_mapsFromPeers, false))
            co_return Error{ErrorCode::LimitExceeded, "maps came from peers", {}};
        co_return co_await watchStore(kind, revision, wait, std::move(onCancel));
    }
    bool cancelled = false;
    if (onCancel) {
        onCancel([this, &cancelled] {
            cancelled = true;
            wake();
        });
    }
    const TimePoint until = now() + wait;
    std::optional<Result<StoredObjects>> found = newsAfter(kind, revision);
    while (!found && !cancelled && fromPeers() && now() < until) {
        co_await waitForNews(until - now());
        found = newsAfter(kind, revision);
    }
    if (onCancel)
        onCancel({});
    if (kind == ObjectKind::ShardMaps)
        m_mapsFromPeers = true;
    if (found)
        co_return std::move(*found);
    if (cancelled)
        co_return Error{ErrorCode::Timeout, "cancelled", {}};
    StoredObjects nothing;
    nothing.revision = revision;
    if (kind != ObjectKind::ShardMaps)
        nothing.knownAt = m_desk.log(kind).asOf();
    co_return nothing;
}

asio::awaitable<Result<StoredObject>> NewsStore::get(ObjectKind kind, const std::string &name,
                                                     bool maybeOld)
{
    if (m_gateway == nullptr || kind != ObjectKind::Leases)
        co_return co_await m_store.get(kind, name, maybeOld);
    m_leaseName = name;
    if (maybeOld && fromPeers()) {
        if (std::optional<StoredObject> lease = m_desk.lease(maxLeaseAge, now()))
            co_return std::move(*lease);
    }
    const TimePoint askedAt = now();
    Result<StoredObject> found = co_await m_store.get(kind, name, maybeOld);
    if (found || found.error().code == ErrorCode::NotFound)
        confirm(askedAt);
    if (found && m_desk.setLease(*found, askedAt))
        wake();
    co_return found;
}

asio::awaitable<WriteResult> NewsStore::put(ObjectKind kind, const std::string &name,
                                            const std::string &text, StoreRevision revision)
{
    WriteResult written = co_await m_store.put(kind, name, text, revision);
    if (m_gateway != nullptr && kind == ObjectKind::Leases && written.end == WriteEnd::Stored
        && m_desk.setLease(written.object, now()))
        wake();
    co_return written;
}

} // namespace yuccaspan::gateway

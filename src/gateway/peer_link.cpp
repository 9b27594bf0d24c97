#include "gateway/peer_link.hpp"

#include "gateway/entry_json.hpp"
#include "gateway/news/object_json.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace yuccaspan::gateway {

namespace {

using asio::ip::udp;
using nlohmann::json;

/// Hot spans must be detected within a second.
constexpr Duration reportInterval = std::chrono::milliseconds(200);
/// Interval of queries to peers while the store is unavailable.
constexpr Duration queryInterval = std::chrono::milliseconds(250);
constexpr Duration queryTimeout = std::chrono::milliseconds(400);
constexpr Duration peerIdleTimeout = std::chrono::seconds(3);
constexpr std::size_t maxDatagram = 60000;
/// Interval at which an instance decides whom to ask for proofs.
constexpr Duration markInterval = std::chrono::milliseconds(250);
/// Age of a question after which its answer is dropped.
constexpr Duration maxMarkDelay = std::chrono::seconds(2);
/// Interval of looking for parts of allowances that are lacking.
constexpr Duration allowanceInterval = std::chrono::milliseconds(50);
/// Interval of log lines about them.
constexpr Duration allowanceLogInterval = std::chrono::seconds(5);
/// Weight of one answer in the moving average of a target's slowness.
constexpr double answerWeight = 0.06;

} // namespace

PeerLink::PeerLink(Gateway &gateway, Hooks hooks)
    : m_gateway(gateway), m_hooks(std::move(hooks)), m_socket(gateway.loop)
{ }

Status PeerLink::start()
{
    const auto endpoint = parseEndpoint(m_gateway.options.peerAddress);
    if (!endpoint)
        return ok();
    beast::error_code failure;
    m_socket.open(udp::v4(), failure);
    if (!failure)
        m_socket.bind(udp::endpoint(endpoint->address(), endpoint->port()), failure);
    if (failure) {
        return Error{ErrorCode::Unavailable,
                     "cannot listen at " + m_gateway.options.peerAddress + ": " + failure.message(),
                     {}};
    }
    asio::co_spawn(m_gateway.loop, reportLoad(), asio::detached);
    asio::co_spawn(m_gateway.loop, receiveMessages(), asio::detached);
    asio::co_spawn(m_gateway.loop, queryPeers(), asio::detached);
    asio::co_spawn(m_gateway.loop, lendAllowances(), asio::detached);
    asio::co_spawn(m_gateway.loop, askForMarks(), asio::detached);
    return ok();
}

asio::awaitable<void> PeerLink::reportLoad()
{
    asio::steady_timer timer(m_gateway.loop);
    while (true) {
        timer.expires_after(reportInterval);
        co_await timer.async_wait(asTuple);
        LoadMessage message = std::exchange(m_gateway.unreportedLoad, {});
        // A report may be lost, so what leaves is repeated while it is of interest.
        for (const auto &[id, target] : m_gateway.live) {
            if (target->signals.leaving)
                message.leaving[id] = target->entry.incarnation;
        }
        if (message.empty())
            continue;
        message.instance = m_gateway.options.name;
        if (m_hooks.isPlacer())
            addLoad(message);
        else
            m_gateway.metrics.count(
                "load-report",
                sendTo(m_hooks.placer(), encodeLoadMessage(message)) ? "sent" : "dropped");
    }
}

bool PeerLink::sendTo(const std::string &peer, const std::vector<std::uint8_t> &bytes)
{
    const auto found = m_peers.find(peer);
    const auto endpoint = found == m_peers.end() ? std::nullopt : parseEndpoint(found->second);
    if (!endpoint || bytes.size() > maxDatagram)
        return false;
    beast::error_code failure;
    m_socket.send_to(asio::buffer(bytes), udp::endpoint(endpoint->address(), endpoint->port()), 0,
                     failure);
    return !failure;
}

void PeerLink::sendToPeers(const ShardDelta &delta)
{
    const std::vector<std::uint8_t> bytes = encodeShardDelta(delta);
    for (const auto &[name, address] : m_peers) {
        if (name != m_gateway.options.name)
            m_gateway.metrics.count("map-change", sendTo(name, bytes) ? "sent" : "dropped");
    }
}

void PeerLink::receiveDelta(const ShardDelta &delta)
{
    const DutyTimer timer(m_gateway, Duty::FollowMaps);
    const auto known = m_gateway.shardMaps.find(delta.service);
    if (known == m_gateway.shardMaps.end() || known->second.revision >= delta.revision)
        return;
    // The directory may not have read the new owners from the store yet, but they are needed now.
    for (const TargetEntry &entry : delta.targets) {
        if (m_gateway.desired && m_gateway.desired->findService(entry.service) != nullptr)
            m_gateway.directory.putIfNew(entry, m_gateway.now());
    }
    std::optional<ShardMap> map = applyDelta(known->second.map, delta);
    m_gateway.metrics.count("map-change", map ? "taken" : "missed-one-before");
    if (map)
        m_gateway.apply(std::move(*map), delta.revision);
    else
        m_gateway.shardMapsStale = true;
}

asio::awaitable<void> PeerLink::receiveMessages()
{
    std::vector<std::uint8_t> bytes;
    while (true) {
        bytes.resize(maxDatagram);
        udp::endpoint from;
        const auto [failure, count] =
            co_await m_socket.async_receive_from(asio::buffer(bytes), from, asTuple);
        if (failure == asio::error::operation_aborted)
            co_return;
        if (failure)
            continue;
        bytes.resize(count);
        if (const auto question = decodeMarkQuestion(bytes)) {
            answerMark(*question, from);
            continue;
        }
        if (isMarkAnswer(bytes)) {
            takeMark(bytes, from);
            continue;
        }
        if (isAllowanceMessage(bytes)) {
            receiveAllowances(bytes);
            continue;
        }
        if (const Result<ShardDelta> delta = decodeShardDelta(bytes)) {
            receiveDelta(*delta);
            continue;
        }
        const Result<LoadMessage> message = decodeLoadMessage(bytes);
        m_gateway.metrics.count("load-report", message ? "taken" : "damaged");
        if (message && m_hooks.isPlacer())
            addLoad(*message);
    }
}

void PeerLink::answerMark(const MarkQuestion &question, const udp::endpoint &from)
{
    MarkAnswer answer = m_hooks.mark(question);
    std::vector<std::uint8_t> bytes = encodeMarkAnswer(answer);
    if (bytes.size() > maxDatagram) {
        answer.changes.clear();
        bytes = encodeMarkAnswer(answer);
    }
    beast::error_code ignored;
    m_socket.send_to(asio::buffer(bytes), from, 0, ignored);
}

asio::awaitable<void> PeerLink::askForMarks()
{
    asio::steady_timer timer(m_gateway.loop);
    while (true) {
        timer.expires_after(markInterval);
        co_await timer.async_wait(asTuple);
        const std::vector<std::string> peers = m_hooks.proofPeers();
        if (peers.empty())
            continue;
        const std::vector<std::uint8_t> question = encodeMarkQuestion(m_hooks.markQuestion());
        for (const std::string &peer : peers)
            m_gateway.metrics.count("store-mark", sendTo(peer, question) ? "asked" : "dropped");
    }
}

void PeerLink::takeMark(const std::vector<std::uint8_t> &bytes, const udp::endpoint &from)
{
    const Result<MarkAnswer> answer = decodeMarkAnswer(bytes);
    const TimePoint now = m_gateway.now();
    const bool usable = answer && answer->askedAt <= now && now - answer->askedAt <= maxMarkDelay;
    m_gateway.metrics.count("store-mark", usable ? "taken" : "damaged");
    if (!usable)
        return;
    m_hooks.takeMark(*answer);
    if (m_fetchingSettings || !m_hooks.lacksSettings())
        return;
    m_fetchingSettings = true;
    const std::string address = from.address().to_string() + ':' + std::to_string(from.port());
    asio::co_spawn(m_gateway.loop, fetchSettings(address, *answer), asio::detached);
}

/// Asks an instance that has answered a question for proofs for the settings that lack here. They
/// may be larger than a datagram.
asio::awaitable<void> PeerLink::fetchSettings(std::string address, MarkAnswer mark)
{
    const json question{{"settingsAfter", revisionJson(m_hooks.settingsUpTo())}};
    const std::optional<std::string> answer = co_await askForState(std::move(address), question);
    m_fetchingSettings = false;
    m_gateway.metrics.count("settings-fetch", answer ? "answered" : "failed");
    if (!answer)
        co_return;
    try {
        takeSettings(json::parse(*answer));
    } catch (const json::exception &failure) {
        m_gateway.log.write("peers", "bad-answer", {{"error", failure.what()}});
        co_return;
    }
    // What it proved counts now that its settings are in force here.
    mark.changes.clear();
    m_hooks.takeMark(mark);
}

void PeerLink::answerSettings(const json &query, json &answer) const
{
    const auto after = query.find("settingsAfter");
    if (after == query.end())
        return;
    if (const std::optional<SettingsUpdate> update = m_hooks.settingsAfter(revisionOf(*after))) {
        answer["settingsUpdate"] = storedObjectsJson(update->objects);
        answer["settingsUpdate"]["whole"] = update->whole;
    }
}

void PeerLink::takeSettings(const json &answer)
{
    const auto update = answer.find("settingsUpdate");
    if (update != answer.end())
        m_hooks.takeSettings({storedObjectsOf(*update), update->at("whole").get<bool>()});
}

asio::awaitable<void> PeerLink::lendAllowances()
{
    asio::steady_timer timer(m_gateway.loop);
    TimePoint loggedAt{};
    AllowanceCounts sum;
    while (true) {
        timer.expires_after(allowanceInterval);
        co_await timer.async_wait(asTuple);
        const TimePoint now = m_gateway.now();
        if (!m_gateway.desired || m_gateway.desired->workspaces.empty())
            continue;
        send(m_gateway.allowances.tick(now));
        const AllowanceCounts counts = m_gateway.allowances.takeCounts();
        sum.add(counts);
        m_gateway.metrics.count("allowance", "asked", counts.asked);
        m_gateway.metrics.count("allowance", "lent", counts.lent);
        m_gateway.metrics.count("allowance", "borrowed", counts.borrowed);
        m_gateway.metrics.count("allowance", "stale", counts.stale);
        m_gateway.metrics.count("allowance", "refused", counts.refused);
        if (now - loggedAt < allowanceLogInterval || sum.idle())
            continue;
        loggedAt = now;
        m_gateway.log.write("workspaces", "allowances",
                            {{"instances", m_gateway.share.instances},
                             {"borrowing", m_gateway.allowances.borrowing(now)},
                             {"asked", sum.asked},
                             {"lent", sum.lent},
                             {"borrowed", sum.borrowed},
                             {"stale", sum.stale},
                             {"refused", sum.refused}});
        sum = {};
    }
}

void PeerLink::send(const AllowanceExchange::Outgoing &messages)
{
    for (const auto &[to, message] : messages)
        m_gateway.metrics.count("allowance-message",
                                sendTo(to, encodeAllowanceMessage(message)) ? "sent" : "dropped");
}

void PeerLink::receiveAllowances(const std::vector<std::uint8_t> &bytes)
{
    const Result<AllowanceMessage> message = decodeAllowanceMessage(bytes);
    m_gateway.metrics.count("allowance-message", message ? "taken" : "damaged");
    if (message)
        send(m_gateway.allowances.receive(*message, m_gateway.now()));
}

void PeerLink::addLoad(const LoadMessage &message)
{
    const DutyTimer timer(m_gateway, Duty::TakeLoad);
    const TimePoint now = m_gateway.now();
    for (const auto &[service, buckets] : message.work) {
        LiveService &live = m_gateway.liveService(service);
        if (live.load == nullptr)
            continue;
        for (const auto &[bucket, seconds] : buckets)
            live.load->add(bucket * KeyLoad::keysPerBucket, seconds, now);
    }
    for (const auto &[target, incarnation] : message.leaving) {
        if (m_gateway.directory.saidLeaving(target, incarnation, now))
            m_gateway.log.write("membership", "target-says",
                                {{"target", target},
                                 {"incarnation", incarnation},
                                 {"leaving", true},
                                 {"source", message.instance}});
    }
    for (const auto &[target, speed] : message.speeds) {
        double &known = m_gateway.slowness.try_emplace(target, 1.0).first->second;
        const double mean = speed.ratioSum / std::max(speed.answers, 1U);
        const double weight = std::min(1.0, answerWeight * speed.answers);
        known += weight * (mean - known);
    }
}

asio::awaitable<void> PeerLink::queryPeers()
{
    asio::steady_timer timer(m_gateway.loop);
    while (true) {
        timer.expires_after(queryInterval);
        co_await timer.async_wait(asTuple);
        const bool needed =
            m_hooks.storeUnavailable() || m_gateway.keyFreshness.ageing(m_gateway.now());
        if (!needed || m_peers.size() < 2)
            continue;
        auto peer = m_peers.begin();
        std::advance(peer, static_cast<std::ptrdiff_t>(m_nextPeer++ % m_peers.size()));
        if (peer->first != m_gateway.options.name)
            co_await queryPeer(peer->second);
    }
}

asio::awaitable<void> PeerLink::queryPeer(std::string address)
{
    const SharedState known = m_hooks.state();
    json maps = json::object();
    for (const auto &[service, map] : m_gateway.shardMaps)
        maps[service] = revisionJson(map.revision);
    const json query{{"settings", revisionJson(known.settings.revision)},
                     {"targets", revisionJson(known.targetsRevision)},
                     {"evacuations", revisionJson(known.evacuationsRevision)},
                     {"settingsAfter", revisionJson(m_hooks.settingsUpTo())},
                     {"maps", std::move(maps)}};
    const TimePoint askedAt = m_gateway.now();
    const std::optional<std::string> answer = co_await askForState(std::move(address), query);
    m_gateway.metrics.count("peer-state", answer ? "answered" : "failed");
    if (answer)
        applyAnswer(*answer, askedAt);
}

/// Asks an instance for state.
/// \returns Its answer, if there is one.
asio::awaitable<std::optional<std::string>> PeerLink::askForState(std::string address,
                                                                  json question)
{
    HttpRequest request(http::verb::post, "/state", httpVersion11);
    request.set(http::field::host, address);
    request.body() = question.dump();
    request.prepare_payload();
    CallOptions options;
    options.connectTimeout = queryTimeout;
    options.timeout = queryTimeout;
    const auto pool = ClientPool::create(m_gateway.loop, address, {.idleLimit = peerIdleTimeout});
    CallResult result = co_await pool->call(std::move(request), std::move(options));
    if (result.end != CallEnd::Answered || result.response.result() != http::status::ok)
        co_return std::nullopt;
    co_return std::move(result.response.body());
}

std::string PeerLink::answerState(const std::string &request) const
{
    try {
        const json query = json::parse(request);
        json answer = json::object();
        answerSettings(query, answer);
        if (!query.contains("settings"))
            return answer.dump();
        const SharedState state = m_hooks.state();
        if (state.settings.revision > revisionOf(query.at("settings")) && state.settings.body) {
            answer["settings"] = {{"name", state.settings.name},
                                  {"revision", revisionJson(state.settings.revision)},
                                  {"body", *state.settings.body}};
        }
        if (const auto age = m_gateway.keyFreshness.age(m_gateway.now()))
            answer["keys"] = {{"revision", revisionJson(state.settings.revision)},
                              {"ageUs", age->count()}};
        if (state.targetsRevision > revisionOf(query.at("targets"))) {
            json entries = json::array();
            for (const auto &[id, target] : m_gateway.directory.targets()) {
                if (target.listed)
                    entries.push_back(encodeEntry(currentEntry(target, m_gateway.now())));
            }
            answer["targets"] = {{"revision", revisionJson(state.targetsRevision)},
                                 {"entries", std::move(entries)}};
        }
        if (state.evacuationsRevision > revisionOf(query.at("evacuations"))) {
            answer["evacuations"] = {{"revision", revisionJson(state.evacuationsRevision)},
                                     {"zones", state.evacuated}};
        }
        json newer = json::array();
        for (const auto &[service, map] : m_gateway.shardMaps) {
            const json &maps = query.at("maps");
            const StoreRevision known =
                maps.contains(service) ? revisionOf(maps.at(service)) : StoreRevision{};
            if (map.revision > known)
                newer.push_back(
                    {{"revision", revisionJson(map.revision)}, {"text", encodeShardMap(map.map)}});
        }
        answer["maps"] = std::move(newer);
        return answer.dump();
    } catch (const json::exception &failure) {
        m_gateway.log.write("peers", "bad-question", {{"error", failure.what()}});
        return "{}";
    }
}

void PeerLink::applyAnswer(const std::string &answer, TimePoint askedAt)
{
    try {
        const json root = json::parse(answer);
        takeSettings(root);
        if (root.contains("settings")) {
            StoredObject object;
            object.name = root.at("settings").at("name").get<std::string>();
            object.revision = revisionOf(root.at("settings").at("revision"));
            object.body = std::make_shared<const json>(root.at("settings").at("body"));
            m_hooks.settings(object);
        }
        if (root.contains("keys")) {
            // What the peer knows counts only once it is in force here.
            const json &keys = root.at("keys");
            const Duration age(keys.at("ageUs").get<Duration::rep>());
            if (age >= Duration::zero()
                && m_hooks.state().settings.revision >= revisionOf(keys.at("revision")))
                m_gateway.keyFreshness.currentAsOf(askedAt - age);
        }
        if (root.contains("targets")) {
            std::vector<TargetEntry> entries;
            for (const json &entry : root.at("targets").at("entries"))
                entries.push_back(decodeEntry(entry));
            m_hooks.targets(entries, revisionOf(root.at("targets").at("revision")));
        }
        if (root.contains("evacuations")) {
            m_hooks.evacuated(root.at("evacuations").at("zones"),
                              revisionOf(root.at("evacuations").at("revision")));
        }
        for (const json &item : root.at("maps")) {
            Result<ShardMap> map = decodeShardMap(item.at("text").get<std::string>());
            if (map)
                m_gateway.apply(std::move(*map), revisionOf(item.at("revision")));
        }
    } catch (const json::exception &failure) {
        m_gateway.log.write("peers", "bad-answer", {{"error", failure.what()}});
    }
}

} // namespace yuccaspan::gateway

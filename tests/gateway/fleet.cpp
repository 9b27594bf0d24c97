#include "fleet.hpp"

#include <algorithm>
#include <cstdio>

namespace yuccaspan::gateway {

namespace {

constexpr Duration stepSpan = std::chrono::milliseconds(5);
constexpr Duration answerTime = std::chrono::milliseconds(100);
constexpr Duration rejectedRetryDelay = std::chrono::milliseconds(60);
constexpr std::size_t maxAttempts = 2;
constexpr Duration latencyTarget = std::chrono::milliseconds(400);

std::string nameOf(std::size_t index)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "i%03zu", index);
    return text.data();
}

} // namespace

Fleet::Fleet(std::size_t instances, Service service)
{
    service.name = "s";
    m_state = std::make_shared<DesiredState>();
    m_state->version = 1;
    m_state->services.emplace("s", service);
    Route route;
    route.name = "r";
    route.host = "h";
    route.prefix = "/";
    route.services.push_back({"s", 1});
    m_state->routes.push_back(route);
    std::vector<std::string> names;
    for (std::size_t index = 0; index < instances; ++index)
        names.push_back(nameOf(index));
    for (const std::string &name : names) {
        auto instance = std::make_unique<Instance>();
        instance->log = std::make_unique<EventLog>(std::make_unique<SilentLog>(), m_clock, name);
        GatewayOptions options;
        options.name = name;
        options.zone = "z";
        instance->gateway = std::make_unique<Gateway>(m_loop, m_clock, *instance->log, m_protocol,
                                                      m_store, m_codec, std::move(options));
        instance->gateway->targetsKnown = true;
        instance->gateway->setInstances(names);
        instance->gateway->apply(m_state);
        m_instances.push_back(std::move(instance));
    }
    prove();
}

void Fleet::prove()
{
    for (const auto &instance : m_instances) {
        instance->gateway->evidence.proven(ObjectKind::Targets, m_clock.now());
        instance->gateway->evidence.proven(ObjectKind::Evacuations, m_clock.now());
    }
}

void Fleet::addTarget(const std::string &id, Duration warmupLeft)
{
    TargetEntry entry;
    entry.id = id;
    entry.incarnation = 1;
    entry.service = "s";
    entry.address = "127.0.0.1:1";
    entry.zone = "z";
    entry.slots = 1000;
    entry.warmupLeft = warmupLeft;
    for (const auto &instance : m_instances)
        instance->gateway->directory.put(entry, m_clock.now(), m_clock.now());
}

void Fleet::setListening(const std::string &id, bool listens)
{
    if (listens)
        m_refusing.erase(id);
    else
        m_refusing.insert(id);
}

void Fleet::setRejecting(const std::string &id, std::optional<Duration> pause)
{
    m_rejecting[id] = pause;
}

void Fleet::setOwner(const std::string &id)
{
    ShardMap map;
    map.service = "s";
    ShardRange range;
    range.keys = {0, lastKey};
    range.owner = Holder{id, 1, 1};
    map.ranges.push_back(range);
    for (const auto &instance : m_instances)
        instance->gateway->apply(map, {0, 1});
}

std::shared_ptr<Flow> Fleet::newFlow(Duration patience) const
{
    auto flow = std::make_shared<Flow>();
    flow->state = m_state;
    flow->route = &m_state->routes.front();
    flow->service = "s";
    flow->facts.key = 1;
    flow->arrived = m_clock.now();
    flow->deadline = m_clock.now() + patience;
    flow->urgency = {0, m_clock.now() + latencyTarget};
    return flow;
}

TargetChoice Fleet::chooseAt(std::size_t instance, Duration patience)
{
    return chooseTarget(gateway(instance), *newFlow(patience), {});
}

void Fleet::offer(std::size_t instance, Duration patience)
{
    Pending pending{instance, newFlow(patience), m_clock.now(), {}};
    if (!choose(pending))
        m_pending.push_back(std::move(pending));
}

bool Fleet::choose(Pending &pending)
{
    Gateway &gateway = this->gateway(pending.instance);
    if (m_clock.now() >= pending.flow->deadline) {
        ++m_rejected;
        return true;
    }
    const TargetChoice choice = chooseTarget(gateway, *pending.flow, pending.tried);
    switch (choice.kind) {
    case TargetChoice::Kind::Reject:
        ++m_rejected;
        return true;
    case TargetChoice::Kind::Wait:
        pending.recheckAt = m_clock.now() + choice.recheckAfter;
        return false;
    case TargetChoice::Kind::Send:
        break;
    }
    const Target *entry = gateway.directory.find(choice.target->entry.id);
    choice.target->gate.started(m_clock.now(), entry->cold(m_clock.now()));
    if (m_refusing.contains(entry->entry.id)) {
        choice.target->gate.finished(AttemptResult::Refused, std::nullopt, m_clock.now());
        pending.recheckAt = m_clock.now() + stepSpan;
        return false;
    }
    m_arrivals.push_back({pending.instance, entry->entry.id, m_clock.now()});
    if (const auto found = m_rejecting.find(entry->entry.id); found != m_rejecting.end()) {
        choice.target->gate.finished(AttemptResult::Shed, LoadReport{0, 0, entry->entry.slots, 1.0},
                                     m_clock.now());
        AnswerFacts facts;
        facts.signals.pause = found->second;
        gateway.learn(*choice.target, facts, AnswerSource::Request);
        pending.tried.push_back(entry->entry.id);
        pending.recheckAt = m_clock.now() + rejectedRetryDelay;
        // Routes allow two attempts.
        if (pending.tried.size() < maxAttempts)
            return false;
        ++m_rejected;
        return true;
    }
    m_running.push_back({choice.target, m_arrivals.back(), m_clock.now() + answerTime});
    return true;
}

void Fleet::finishDue()
{
    for (Running &running : m_running) {
        if (m_clock.now() < running.endsAt)
            continue;
        running.target->gate.finished(AttemptResult::Answered, std::nullopt, m_clock.now());
        if (onAnswer)
            onAnswer(*running.target, running.arrival);
    }
    std::erase_if(m_running,
                  [this](const Running &running) { return m_clock.now() >= running.endsAt; });
}

void Fleet::step(Duration span)
{
    m_clock.advance(span);
    if (m_proving)
        prove();
    finishDue();
    std::erase_if(m_pending, [this](Pending &pending) {
        const TimePoint due = std::min(pending.recheckAt, pending.flow->deadline);
        return m_clock.now() >= due && choose(pending);
    });
}

void Fleet::run(double perSecond, Duration span, Duration patience)
{
    const TimePoint end = m_clock.now() + span;
    double owed = 0;
    while (m_clock.now() < end) {
        step(stepSpan);
        for (owed += perSecond * std::chrono::duration<double>(stepSpan).count(); owed >= 1; --owed)
            offer(m_next++ % m_instances.size(), patience);
    }
}

std::size_t Fleet::mostWithin(const std::string &target, Duration span) const
{
    std::size_t most = 0;
    for (const Arrival &first : m_arrivals) {
        const auto count = std::ranges::count_if(m_arrivals, [&](const Arrival &other) {
            return other.target == target && other.at >= first.at && other.at < first.at + span;
        });
        most = std::max(most, static_cast<std::size_t>(count));
    }
    return most;
}

} // namespace yuccaspan::gateway

#include "gateway/placer_simulation.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace yuccaspan::gateway::test {

namespace {

constexpr Duration stepInterval = std::chrono::milliseconds(20);
constexpr Duration networkDelay = std::chrono::milliseconds(4);
constexpr std::uint32_t keyStride = 257;
constexpr double slowClockFactor = 1.02;

std::vector<std::uint32_t> sampleKeys()
{
    std::vector<std::uint32_t> keys;
    for (std::uint32_t key = 0; key <= lastKey; key += keyStride)
        keys.push_back(key);
    return keys;
}

const std::vector<std::uint32_t> keys = sampleKeys();

} // namespace

PlacerSimulation::PlacerSimulation(std::uint64_t seed, std::uint32_t targets,
                                   SimulatedFaults faults)
    : m_random(seed), m_faults(faults)
{
    for (std::uint32_t index = 0; index < targets; ++index)
        addTarget();
    takeOver();
}

void PlacerSimulation::addTarget()
{
    SimTarget target;
    target.entry.id = "t" + std::to_string(m_targets.size());
    target.entry.incarnation = m_nextIncarnation++;
    target.entry.service = "s";
    target.entry.address = "10.0.0." + std::to_string(m_targets.size()) + ":80";
    target.entry.zone = "z";
    target.entry.slots = 4;
    m_directory.put(target.entry, m_now, m_now);
    m_targets.push_back(target);
}

std::size_t PlacerSimulation::sampledKeys() noexcept
{
    return keys.size();
}

bool PlacerSimulation::chance(std::uint32_t perThousand)
{
    return perThousand != 0 && m_random() % 1000 < perThousand;
}

void PlacerSimulation::run(Duration span)
{
    const TimePoint end = m_now + span;
    while (m_now < end && m_violation.empty())
        step();
}

void PlacerSimulation::step()
{
    m_now += stepInterval;
    faults();
    deliver();
    for (const Load &load : m_loads) {
        const double seconds = std::chrono::duration<double>(stepInterval).count();
        constexpr int parts = 8;
        for (int part = 0; part < parts; ++part) {
            const auto key =
                load.keys.first + static_cast<std::uint32_t>(m_random() % load.keys.size());
            m_load.add(key, load.slotsBusy * seconds / parts, m_now);
        }
    }
    place();
    check();
}

void PlacerSimulation::drainTarget(std::size_t index)
{
    SimTarget &target = m_targets[index];
    target.entry.draining = true;
    m_directory.put(target.entry, m_now, m_now);
    target.unlistAt = m_now + std::chrono::seconds(3);
    target.endAt = m_now + std::chrono::seconds(4);
}

void PlacerSimulation::crashTarget(std::size_t index, bool comesBack)
{
    SimTarget &target = m_targets[index];
    target.alive = false;
    target.grants.clear();
    target.unlistAt = m_now + std::chrono::seconds(3);
    if (comesBack)
        target.backAt = m_now + std::chrono::milliseconds(1000 + m_random() % 4000);
}

void PlacerSimulation::restartTarget(std::size_t index, Duration down, Duration discoveryDelay)
{
    crashTarget(index, true);
    m_targets[index].backAt = m_now + down;
    m_targets[index].discoveryDelay = discoveryDelay;
}

void PlacerSimulation::faults()
{
    for (std::size_t index = 0; index < m_targets.size(); ++index) {
        SimTarget &target = m_targets[index];
        if (target.alive && target.listed && !target.entry.draining) {
            if (chance(m_faults.crash)) {
                crashTarget(index, true);
                const bool late = chance(m_faults.lateDiscovery);
                target.discoveryDelay =
                    std::chrono::milliseconds(late ? 500 + m_random() % 2500 : 0);
            } else if (chance(m_faults.drain))
                drainTarget(index);
        }
        if (m_now >= target.unlistAt) {
            target.unlistAt = TimePoint::max();
            target.listed = false;
            m_directory.remove(target.entry.id, m_now, m_now);
        }
        if (m_now >= target.endAt) {
            target.endAt = TimePoint::max();
            target.alive = false;
            target.grants.clear();
            target.backAt = m_now + std::chrono::seconds(1);
        }
        if (m_now >= target.backAt) {
            target.backAt = TimePoint::max();
            target.unlistAt = TimePoint::max();
            target.alive = true;
            target.listed = true;
            target.entry.draining = false;
            target.entry.incarnation = m_nextIncarnation++;
            target.discoveredAt = m_now + std::exchange(target.discoveryDelay, Duration{});
        }
        if (m_now >= target.discoveredAt) {
            target.discoveredAt = TimePoint::max();
            m_directory.put(target.entry, m_now, m_now);
        }
    }
    if (chance(m_faults.storeDown))
        m_storeBackAt = m_now + std::chrono::seconds(2);
    if (chance(m_faults.takeover))
        takeOver();
}

/// Replaces the placer at once. The previous one's lease has expired by then, but its orders may
/// still be in flight.
void PlacerSimulation::takeOver()
{
    ++m_placerId;
    m_placer = nullptr;
    m_writing.reset();
    m_adoptAt = m_now + std::chrono::milliseconds(m_random() % 3000);
}

void PlacerSimulation::replacePlacer(Duration adoptDelay)
{
    takeOver();
    m_adoptAt = m_now + adoptDelay;
}

PlacerSimulation::SimTarget *PlacerSimulation::find(const std::string &id)
{
    for (SimTarget &target : m_targets) {
        if (target.alive && target.entry.id == id)
            return &target;
    }
    return nullptr;
}

void PlacerSimulation::send(const ShardOrder &order)
{
    const auto [issued, isNew] = m_tokenHolders.try_emplace(order.holder.fence, order.holder);
    if (!isNew && !(issued->second == order.holder))
        m_violation = "token " + std::to_string(order.holder.fence) + " was issued for two holders";
    const SimTarget *target = find(order.holder.target);
    if (chance(m_faults.notSent) || target == nullptr) {
        m_answers.push_back({m_now + stepInterval, order.id, OrderOutcome::NotSent, m_placerId});
        return;
    }
    Message message{m_now + networkDelay,     order, m_now + networkDelay, true, m_placerId,
                    target->entry.incarnation};
    const bool grant = order.kind == OrderKind::Grant;
    if (grant && chance(m_faults.lateGrant)) {
        message.at += std::chrono::milliseconds(2000 + m_random() % 3000);
        message.answered = false;
    } else if (chance(m_faults.lostAnswer)) {
        message.answered = false;
    }
    if (!message.answered) {
        m_answers.push_back(
            {m_now + order.answerTimeout, order.id, OrderOutcome::NoAnswer, m_placerId});
    }
    m_messages.push_back(std::move(message));
}

void PlacerSimulation::apply(SimTarget &target, const Message &message)
{
    const ShardOrder &order = message.order;
    // The order replaces earlier grants of these keys; grants of other keys stay.
    std::vector<Grant> kept;
    for (const Grant &grant : target.grants) {
        if (grant.keys.first < order.keys.first) {
            const auto last = std::min(grant.keys.last, order.keys.first - 1);
            kept.push_back({{grant.keys.first, last}, grant.fence, grant.until});
        }
        if (grant.keys.last > order.keys.last) {
            const auto first = std::max(grant.keys.first, order.keys.last + 1);
            kept.push_back({{first, grant.keys.last}, grant.fence, grant.until});
        }
    }
    target.grants = std::move(kept);
    if (order.kind == OrderKind::Grant) {
        const auto held = std::chrono::duration_cast<Duration>(order.hold * slowClockFactor);
        target.grants.push_back({order.keys, order.holder.fence, message.arrived + held});
    }
}

void PlacerSimulation::deliver()
{
    for (std::size_t index = 0; index < m_messages.size();) {
        if (m_messages[index].at > m_now) {
            ++index;
            continue;
        }
        const Message message = m_messages[index];
        m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
        SimTarget *target = find(message.order.holder.target);
        if (target != nullptr && target->entry.incarnation != message.incarnation)
            target = nullptr;
        if (target != nullptr)
            apply(*target, message);
        if (!message.answered)
            continue;
        const bool done = target != nullptr;
        m_answers.push_back({m_now + (done ? networkDelay : message.order.answerTimeout),
                             message.order.id, done ? OrderOutcome::Done : OrderOutcome::NoAnswer,
                             message.placer});
    }
    for (std::size_t index = 0; index < m_answers.size();) {
        if (m_answers[index].at > m_now) {
            ++index;
            continue;
        }
        const Answer answer = m_answers[index];
        m_answers.erase(m_answers.begin() + static_cast<std::ptrdiff_t>(index));
        if (m_placer != nullptr && answer.placer == m_placerId)
            m_placer->orderDone(answer.order, answer.outcome, "h", m_now);
    }
}

void PlacerSimulation::place()
{
    const bool storeUp = m_now >= m_storeBackAt;
    if (m_placer == nullptr && m_now >= m_adoptAt && storeUp) {
        m_placer = std::make_unique<ShardPlacer>(
            ShardPlacer::create("s", "p" + std::to_string(m_placerId)));
        m_placer->adopt(m_stored, m_now);
    }
    if (m_placer == nullptr)
        return;
    if (m_writing && storeUp) {
        m_stored = std::move(*m_writing);
        m_writing.reset();
        m_placer->writeDone(m_now);
    }
    if (m_queueing)
        measureLatency();
    const PlacementView view{m_directory, m_load, [this](const Target &target) {
                                 const auto found = m_slowness.find(target.entry.id);
                                 return found == m_slowness.end() ? 1.0 : found->second;
                             }};
    m_directory.tick(m_now);
    PlacerOutput out = m_placer->tick(view, m_now);
    if (out.write)
        m_writing = std::move(out.write);
    for (const ShardOrder &order : out.orders)
        send(order);
}

const PlacerSimulation::SimTarget *PlacerSimulation::holder(std::uint32_t key) const
{
    for (const SimTarget &target : m_targets) {
        for (const Grant &grant : target.grants) {
            if (target.alive && grant.keys.contains(key) && grant.until > m_now)
                return &target;
        }
    }
    return nullptr;
}

std::string PlacerSimulation::holderOf(std::uint32_t key) const
{
    const SimTarget *target = holder(key);
    return target == nullptr ? std::string() : target->entry.id;
}

std::size_t PlacerSimulation::heldKeys() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(keys, [this](std::uint32_t key) { return holder(key) != nullptr; }));
}

double PlacerSimulation::maxLoad() const
{
    double maxWork = 0;
    for (const SimTarget &target : m_targets) {
        double work = 0;
        for (const Grant &grant : target.grants) {
            if (grant.until > m_now)
                work += m_load.rate(grant.keys, m_now);
        }
        maxWork = std::max(maxWork, work / target.entry.slots);
    }
    return maxWork;
}

void PlacerSimulation::setSlots(std::uint32_t slots)
{
    for (SimTarget &target : m_targets) {
        target.entry.slots = slots;
        m_directory.put(target.entry, m_now, m_now);
    }
}

void PlacerSimulation::measureLatency()
{
    constexpr double longestQueue = 5; // Further requests are rejected.
    constexpr double newestWeight = 0.05;
    for (const SimTarget &target : m_targets) {
        double work = 0;
        for (const Grant &grant : target.grants) {
            if (grant.until > m_now)
                work += m_load.rate(grant.keys, m_now);
        }
        double &slowness = m_slowness.try_emplace(target.entry.id, 1.0).first->second;
        const double latency = std::clamp(work / target.entry.slots, 1.0, longestQueue);
        slowness += newestWeight * (latency - slowness);
    }
}

double PlacerSimulation::loadBeside(std::uint32_t key) const
{
    constexpr std::uint32_t step = 8;
    const SimTarget *const target = holder(key);
    double beside = 0;
    double total = 0;
    for (const Load &load : m_loads) {
        if (load.keys.size() == 1)
            continue;
        for (std::uint32_t other = load.keys.first; other <= load.keys.last; other += step) {
            total += load.slotsBusy;
            beside += holder(other) == target ? load.slotsBusy : 0;
        }
    }
    return beside / total;
}

double PlacerSimulation::meanLoad() const
{
    double slots = 0;
    for (const SimTarget &target : m_targets)
        slots += target.alive ? target.entry.slots : 0;
    return m_load.rate({0, lastKey}, m_now) / slots;
}

std::string PlacerSimulation::describe() const
{
    std::ostringstream text;
    for (const ShardRange &range : m_placer ? m_placer->record().ranges : m_stored->ranges) {
        text << range.keys.first << '-' << range.keys.last;
        for (const auto &holder : {range.owner, range.next}) {
            if (holder)
                text << ' ' << holder->target << '/' << holder->incarnation << '#' << holder->fence;
            else
                text << " -";
        }
        text << " held by " << holderOf(range.keys.first) << '\n';
    }
    for (const SimTarget &target : m_targets) {
        text << target.entry.id << '/' << target.entry.incarnation << (target.alive ? "" : " dead")
             << (target.listed ? "" : " unlisted") << (target.entry.draining ? " draining" : "")
             << '\n';
    }
    return text.str();
}

void PlacerSimulation::check()
{
    for (const std::uint32_t key : keys) {
        const SimTarget *first = nullptr;
        for (const SimTarget &target : m_targets) {
            for (const Grant &grant : target.grants) {
                if (!target.alive || !grant.keys.contains(key) || grant.until <= m_now)
                    continue;
                if (first != nullptr && first != &target) {
                    std::ostringstream text;
                    text << "key " << key << " is held by " << first->entry.id << " and "
                         << target.entry.id << " with fencing token " << grant.fence;
                    m_violation = text.str();
                    return;
                }
                first = &target;
                auto &[last, fence] = m_lastHolder[key];
                const std::string owner =
                    target.entry.id + "/" + std::to_string(target.entry.incarnation);
                if (last != owner && !last.empty()) {
                    m_moved += 1.0 / static_cast<double>(keys.size());
                    // A renewal may reach a new incarnation that the placer did not know of when it
                    // sent it; send() checks that no token is issued for two holders.
                    const bool renewal =
                        grant.fence == fence && last.starts_with(target.entry.id + "/");
                    if (grant.fence <= fence && !renewal)
                        m_violation =
                            "fencing token did not increase for key " + std::to_string(key);
                }
                last = owner;
                fence = std::max(fence, grant.fence);
            }
        }
    }
}

} // namespace yuccaspan::gateway::test

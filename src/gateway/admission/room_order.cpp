#include "gateway/admission/room_order.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <queue>
#include <tuple>

namespace yuccaspan::gateway {

namespace {

/// Half ranks that a late request loses: behind the next lower priority, before the one after it.
constexpr std::uint32_t lateRankPenalty = 3;
constexpr std::uint32_t halfRanksPerPriority = 2;
/// Part of its remaining time that a caller spends at most on waiting for another try.
constexpr int longestRetryPart = 3;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

std::uint32_t rank(const Urgency &urgency, TimePoint now) noexcept
{
    const std::uint32_t step = now > urgency.onTimeUntil ? lateRankPenalty : 0;
    return urgency.priority * halfRanksPerPriority + step;
}

/// By priority, then by arrival; each request waits as long as its own deadline allows.
class UrgencyOrder final : public RoomOrder
{
public:
    [[nodiscard]] RoomPlan plan(std::span<const Urgency> waiting, const Room &room) const override
    {
        RoomPlan plan;
        plan.order.resize(waiting.size());
        std::iota(plan.order.begin(), plan.order.end(), std::size_t{0});
        std::ranges::stable_sort(plan.order, {},
                                 [&](std::size_t index) { return rank(waiting[index], room.now); });
        return plan;
    }

    [[nodiscard]] Entry enter(std::span<const Urgency> waiting, const Urgency &newcomer,
                              const Room &room) const override
    {
        Entry entry;
        const std::uint32_t own = rank(newcomer, room.now);
        entry.ahead = static_cast<std::size_t>(std::ranges::count_if(
            waiting, [&](const Urgency &other) { return rank(other, room.now) <= own; }));
        const Duration wait =
            scaled(newcomer.work, static_cast<double>(entry.ahead + 1) / room.concurrency);
        entry.waits = room.now + wait + newcomer.work / 2 <= newcomer.deadline;
        entry.retryDelay = wait / 2;
        return entry;
    }
};

/// Per priority the largest number that can be on time (Moore and Hodgson): by due time; where one
/// would be late, the one of the most work makes way. Those go behind the next lower priority,
/// where the same is done for their deadlines; who makes way there leaves.
class LeastCostPlan
{
public:
    LeastCostPlan(std::span<const Urgency> waiting, const Room &room)
        : m_waiting(waiting), m_room(room)
    {
        for (std::size_t index = 0; index < waiting.size(); ++index)
            m_ranks[onTimeRank(index)].onTime.push_back(index);
    }

    RoomPlan make()
    {
        // Ranks are added behind the current one while it is planned.
        for (auto &[number, members] : m_ranks) {
            planPart(members.onTime, &Urgency::onTimeUntil,
                     [this](std::size_t index) { makeLate(index); });
            planPart(members.late, &Urgency::deadline, [this](std::size_t index) { leave(index); });
        }
        return std::move(m_plan);
    }

private:
    struct Rank
    {
        std::vector<std::size_t> onTime;
        std::vector<std::size_t> late;
    };

    [[nodiscard]] std::uint32_t onTimeRank(std::size_t index) const
    {
        return m_waiting[index].priority * halfRanksPerPriority;
    }

    /// Whether a request that is sent after others of so much work is answered by the due time.
    [[nodiscard]] bool fits(std::size_t index, Duration before, TimePoint due) const
    {
        return due - m_room.now >= m_room.until + scaled(before, 1 / m_room.concurrency)
            + scaled(m_waiting[index].work, workMargin);
    }

    template <typename GiveUp>
    void planPart(std::vector<std::size_t> &members, TimePoint Urgency::*due, GiveUp giveUp)
    {
        const auto byDue = [&](std::size_t index) {
            const Urgency &one = m_waiting[index];
            // With the margin counted in, so that the rule leaves the most on time.
            const TimePoint end = one.*due - scaled(one.work, workMargin) + one.work;
            return std::tuple(end, one.id, index);
        };
        const auto byWork = [&](std::size_t index) {
            return std::tuple(m_waiting[index].work, byDue(index));
        };
        const auto lessWork = [&](std::size_t left, std::size_t right) {
            return byWork(left) < byWork(right);
        };
        std::ranges::sort(members, {}, byDue);
        std::priority_queue<std::size_t, std::vector<std::size_t>, decltype(lessWork)> kept(
            lessWork);
        std::vector<bool> dropped(members.empty() ? 0 : m_waiting.size());
        Duration before = m_before;
        for (const std::size_t index : members) {
            const Urgency &own = m_waiting[index];
            std::size_t loser = index;
            if (fits(index, before, own.*due)) {
                kept.push(index);
                before += own.work;
                continue;
            }
            if (!kept.empty() && byWork(index) < byWork(kept.top())
                && fits(index, before - m_waiting[kept.top()].work, own.*due)) {
                loser = kept.top();
                kept.pop();
                kept.push(index);
                before += own.work - m_waiting[loser].work;
            }
            dropped[loser] = true;
        }
        m_before = before;
        for (const std::size_t index : members) {
            if (dropped[index])
                giveUp(index);
            else
                m_plan.order.push_back(index);
        }
    }

    void makeLate(std::size_t index)
    {
        m_ranks[onTimeRank(index) + lateRankPenalty].late.push_back(index);
    }

    void leave(std::size_t index)
    {
        const Duration wait = m_room.until + scaled(m_before, 1 / m_room.concurrency);
        m_plan.leaving.push_back({index, spreadRetryDelay(m_waiting[index], wait, m_room.now)});
    }

    std::span<const Urgency> m_waiting;
    const Room &m_room;
    std::map<std::uint32_t, Rank> m_ranks;
    Duration m_before{}; ///< Work of those that are planned already.
    RoomPlan m_plan;
};

class LeastCostOrder final : public RoomOrder
{
public:
    [[nodiscard]] RoomPlan plan(std::span<const Urgency> waiting, const Room &room) const override
    {
        return LeastCostPlan(waiting, room).make();
    }

    [[nodiscard]] Entry enter(std::span<const Urgency> waiting, const Urgency &newcomer,
                              const Room &room) const override
    {
        std::vector<Urgency> all(waiting.begin(), waiting.end());
        all.push_back(newcomer);
        RoomPlan planned = plan(all, room);
        Entry entry;
        const auto own = std::ranges::find(planned.order, waiting.size());
        entry.waits = own != planned.order.end();
        entry.ahead = static_cast<std::size_t>(own - planned.order.begin());
        for (const Departure &departure : planned.leaving) {
            if (departure.index == waiting.size())
                entry.retryDelay = departure.retryDelay;
            else
                entry.displaced.push_back(departure);
        }
        return entry;
    }
};

} // namespace

const RoomOrder &RoomOrder::of(WaitingOrder order) noexcept
{
    static const UrgencyOrder urgency;
    static const LeastCostOrder leastCost;
    static const std::array<const RoomOrder *, 2> orders{&urgency, &leastCost};
    return *orders[static_cast<std::size_t>(order)];
}

Duration spreadRetryDelay(const Urgency &request, Duration wait, TimePoint now)
{
    constexpr double least = 0.75;
    constexpr double spread = 0.5;
    constexpr std::uint64_t steps = 1024;
    const double part = static_cast<double>(request.id % steps) / static_cast<double>(steps);
    const Duration delay = scaled(wait, least + spread * part);
    const Duration longest = std::max(request.deadline - now, Duration::zero()) / longestRetryPart;
    return std::min(delay, longest);
}

} // namespace yuccaspan::gateway

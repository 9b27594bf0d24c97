#include "key_watch.hpp"

#include <algorithm>

namespace yuccaspan::soak {

namespace {

/// Two targets may both hold a key for no longer, whether or not requests come (OWNER).
constexpr Duration longestOverlap = std::chrono::milliseconds(500);

std::string describe(const TargetTraits &target, const KeyOrder &order)
{
    return target.id + " took keys " + std::to_string(order.first) + " to "
        + std::to_string(order.last) + " with token " + std::to_string(order.fence);
}

} // namespace

int KeyWatch::lifeOf(const std::string &target, std::int64_t incarnation)
{
    const auto next = static_cast<int>(m_lives.size()) + 1;
    return m_lives.try_emplace({target, incarnation}, next).first->second;
}

std::optional<std::string> KeyWatch::granted(const TargetTraits &target, const KeyOrder &order,
                                             TimePoint until, TimePoint now, bool excused)
{
    const int life = lifeOf(target.id, target.incarnation);
    std::optional<std::string> wrong;
    for (std::uint32_t key = order.first; key <= order.last; ++key) {
        KeyState &state = m_keys[key];
        if (state.holder.life != life) {
            // A renewal may reach a later life of the same target before the store tells of it.
            const bool renewal =
                state.holder.target == target.id && order.fence == state.holder.fence;
            if (!excused && !renewal && state.holder.life != 0 && order.fence <= state.holder.fence)
                wrong = "token not above " + std::to_string(state.holder.fence);
            if (!excused && state.holder.until - now > longestOverlap)
                wrong = "another target holds them for over 0.5 s";
            state.before = state.holder;
            state.holder = Holder{life, target.id, 0, {}, {}, false};
            state.excused = excused;
        }
        state.holder.fence = std::max(state.holder.fence, order.fence);
        state.holder.until = std::max(state.holder.until, until);
        state.holder.grantedUntil = std::max(state.holder.grantedUntil, until);
    }
    for (const auto &[id, work] : m_work) {
        if (excused || work.life == life || !order.contains(work.key))
            continue;
        const KeyState &state = m_keys[work.key];
        if (state.before.life == work.life && now < state.before.grantedUntil)
            wrong = "another target works on " + id;
    }
    if (wrong)
        wrong = describe(target, order) + ": " + *wrong;
    return wrong;
}

void KeyWatch::released(const TargetTraits &target, const KeyOrder &order, TimePoint now)
{
    const int life = lifeOf(target.id, target.incarnation);
    for (std::uint32_t key = order.first; key <= order.last; ++key) {
        for (Holder *holder : {&m_keys[key].holder, &m_keys[key].before}) {
            if (holder->life == life && holder->fence <= order.fence)
                holder->until = std::min(holder->until, now);
        }
    }
}

void KeyWatch::died(const TargetTraits &target, TimePoint now)
{
    const int life = lifeOf(target.id, target.incarnation);
    for (KeyState &state : m_keys) {
        for (Holder *holder : {&state.holder, &state.before}) {
            if (holder->life != life)
                continue;
            holder->until = std::min(holder->until, now);
            holder->grantedUntil = std::min(holder->grantedUntil, now);
        }
    }
    std::erase_if(m_work, [life](const auto &item) { return item.second.life == life; });
}

std::optional<std::string> KeyWatch::began(const TargetRun &run)
{
    if (!run.key)
        return std::nullopt;
    const int life = lifeOf(run.target, run.incarnation);
    m_work[run.requestId + '@' + run.target] = {*run.key, life};
    KeyState &state = m_keys[*run.key];
    if (run.at >= state.before.until || state.excused)
        return std::nullopt;
    for (Holder *holder : {&state.holder, &state.before})
        holder->began = holder->began || holder->life == life;
    if (!state.holder.began || !state.before.began)
        return std::nullopt;
    return "two targets began requests on key " + std::to_string(*run.key) + ", last "
        + run.requestId + " at " + run.target;
}

void KeyWatch::ended(const TargetRun &run)
{
    m_work.erase(run.requestId + '@' + run.target);
}

} // namespace yuccaspan::soak

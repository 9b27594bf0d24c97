#include "signal_watch.hpp"

namespace yuccaspan::soak {

void SignalWatch::passedOn(const std::string &instance, const TargetRun &run,
                           const platform_standins::TargetSpeech &says, TimePoint now)
{
    Told &told = m_told[{instance, run.target, run.incarnation}];
    if (says.leaving && !told.leavingAt)
        told.leavingAt = now;
    if (!says.maxPerSecond)
        return;
    if (!told.rateAt)
        told.rateAt = now;
    Rate &rate = m_rates.try_emplace(run.target).first->second;
    if (rate.perSecond != *says.maxPerSecond) {
        rate.perSecond = *says.maxPerSecond;
        rate.firstNamed = now;
    }
}

void SignalWatch::rejected(const std::string &instance, const TargetRun &run, Duration pause,
                           TimePoint now)
{
    Told &told = m_told[{instance, run.target, run.incarnation}];
    // A later answer begins a span of its own; what it allows is not more.
    if (now < told.pauseUntil)
        return;
    told.pauseFrom = now + m_bounds.grace;
    told.pauseUntil = now + pause;
    told.inPause = 0;
}

void SignalWatch::disturbed(const std::string &instance)
{
    std::erase_if(m_told, [&](const auto &item) { return std::get<0>(item.first) == instance; });
}

void SignalWatch::changed(const std::string &target)
{
    m_rates.erase(target);
    for (auto &[pair, told] : m_told) {
        if (std::get<1>(pair) == target)
            told.rateAt.reset();
    }
}

bool SignalWatch::rateExceeded(const Told &told, const TargetRun &run)
{
    const auto found = m_rates.find(run.target);
    if (found == m_rates.end() || !told.rateAt || run.at - *told.rateAt < m_bounds.grace)
        return false;
    Rate &rate = found->second;
    if (run.at - rate.firstNamed < m_bounds.stability)
        return false;
    rate.arrivals.push_back(run.at);
    while (run.at - rate.arrivals.front() >= m_bounds.rateWindow)
        rate.arrivals.pop_front();
    const double window = std::chrono::duration<double>(m_bounds.rateWindow).count();
    const double allowed = rate.perSecond * window * m_bounds.rateFactor + m_bounds.rateSlack;
    return static_cast<double>(rate.arrivals.size()) > allowed;
}

std::optional<std::pair<std::string, std::string>>
SignalWatch::arrived(const std::string &instance, const TargetRun &run, TimePoint sentAt)
{
    const auto found = m_told.find({instance, run.target, run.incarnation});
    if (found == m_told.end())
        return std::nullopt;
    Told &told = found->second;
    const std::string what = run.requestId + " reached " + run.target + " from " + instance;
    if (told.leavingAt && sentAt > *told.leavingAt + m_bounds.drain)
        return std::pair("DRAIN", what + ", which had passed on that it leaves");
    if (run.at >= told.pauseFrom && run.at < told.pauseUntil
        && ++told.inPause > m_bounds.requestsInPause)
        return std::pair("BUDGET", what + " in the pause that it asked for");
    if (rateExceeded(told, run))
        return std::pair("LIMIT", what + " beyond the rate that it named");
    return std::nullopt;
}

} // namespace yuccaspan::soak

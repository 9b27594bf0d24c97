#include "gateway/workspaces/allowance_exchange.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace yuccaspan::gateway {

namespace {

/// Holders of all workspaces together, so that few messages flow.
constexpr std::size_t maxHolders = 4;
/// Time for which a share holds beyond the round that brings it; also bridges a lost round.
constexpr Duration shareSpan = std::chrono::milliseconds(500);
/// Longest time from a report to the end of a share that follows from it.
constexpr Duration maxSpan = 3 * AllowanceExchange::loanSpan;
/// Time after which what an instance lacked no longer counts.
constexpr Duration needSpan = std::chrono::milliseconds(1000);
/// Time without a round after which another holder is asked, and for which it is.
constexpr Duration holderTimeout = std::chrono::milliseconds(700);
constexpr Duration holderAvoidance = std::chrono::seconds(5);
/// Time for which a caller waits if a loan is expected.
constexpr Duration loanDelay = 2 * AllowanceExchange::roundInterval;
constexpr Duration minRetryDelay = std::chrono::milliseconds(50);
/// Fading times of the rates of requests.
constexpr double fastSeconds = 0.5;
constexpr double slowSeconds = 3;
/// Standard deviations by which the fast rate must be above the slow one to count.
constexpr double surgeDeviations = 2;
/// Factors on the demand: what is kept when lending, and what is asked for.
constexpr double keepFactor = 1.05;
constexpr double needFactor = 1.25;
/// Least rate of an equal part, in requests a second, that is lent: whether fewer are used in the
/// time of a loan is chance.
constexpr double minLentRate = 1;
/// Least fraction of the equal part that is lent or asked for.
constexpr double minLoanFraction = 0.02;
/// Requests a second below which there is no demand.
constexpr double minDemand = 0.02;
/// Most workspaces of a message, so that it fits into a datagram.
constexpr std::size_t maxMessageParts = 500;
/// Steps of the search for the largest shares; each halves the error.
constexpr int shareSteps = 12;

std::uint64_t hashOf(std::string_view first, std::string_view second) noexcept
{
    return XXH3_64bits_withSeed(first.data(), first.size(),
                                XXH3_64bits(second.data(), second.size()));
}

void addPart(AllowanceMessage::Parts &parts, const std::string &workspace, double part)
{
    if (part > 0 && parts.size() < maxMessageParts)
        parts[workspace] = std::min(part, 1.0);
}

double sumAt(const std::map<InstanceStart, Pledges> &pledges, TimePoint time) noexcept
{
    double sum = 0;
    for (const auto &[start, pledge] : pledges)
        sum += pledge.at(time);
    return sum;
}

void pruneAll(std::map<InstanceStart, Pledges> &pledges, TimePoint before)
{
    for (auto &[start, pledge] : pledges)
        pledge.prune(before);
    std::erase_if(pledges, [](const auto &item) { return item.second.empty(); });
}

/// Part of the rate that a demand takes.
double partFor(const AllowanceLimit &limit, double perSecond, double factor) noexcept
{
    if (perSecond < minDemand)
        return 0;
    return factor * perSecond / limit.perSecond;
}

/// Tokens that an instance may save. Only rates are lent, so that a lone request after a pause
/// finds a token. If the burst is too small for a token each, some instances have one and the
/// others none.
double capacityOf(const AllowanceLimit &limit, const std::vector<std::string> &instances,
                  const std::string &self)
{
    if (instances.empty())
        return 0;
    const auto count = instances.size();
    const double equal = limit.burst / static_cast<double>(count);
    if (equal >= 1)
        return equal;
    const auto index =
        static_cast<std::size_t>(std::ranges::lower_bound(instances, self) - instances.begin());
    const auto shift = static_cast<std::size_t>(limit.perSecond + limit.burst);
    return static_cast<double>((index + shift) % count) < std::floor(limit.burst) ? 1 : 0;
}

/// \param empty Whether an earlier start may have saved tokens.
void configureBucket(Allowance &bucket, const AllowanceLimit &limit,
                     const std::vector<std::string> &instances, const std::string &self,
                     double part, bool empty, TimePoint now)
{
    constexpr double least = 1e-9; // A rate of 0 means no limit.
    const double capacity = empty ? 0 : capacityOf(limit, instances, self);
    bucket.configure({std::max(least, limit.perSecond * part), capacity}, 1, now);
}

} // namespace

void Pledges::add(double part, TimePoint end)
{
    // What is both smaller and shorter than another never counts.
    std::erase_if(m_pledges, [part, end](const Pledge &known) {
        return known.part <= part && known.end <= end;
    });
    m_pledges.push_back({part, end});
}

double Pledges::at(TimePoint time) const noexcept
{
    double most = 0;
    for (const Pledge &pledge : m_pledges) {
        if (pledge.end > time)
            most = std::max(most, pledge.part);
    }
    return most;
}

void Pledges::prune(TimePoint before)
{
    std::erase_if(m_pledges, [before](const Pledge &pledge) { return pledge.end <= before; });
}

TimePoint Pledges::nextEnd(TimePoint after) const noexcept
{
    TimePoint next = TimePoint::max();
    for (const Pledge &pledge : m_pledges) {
        if (pledge.end > after)
            next = std::min(next, pledge.end);
    }
    return next;
}

void Pledges::appendEnds(std::vector<TimePoint> &ends) const
{
    for (const Pledge &pledge : m_pledges)
        ends.push_back(pledge.end);
}

void DemandMeter::arrived(TimePoint now) noexcept
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - m_at).count());
    m_fast = m_fast * std::exp(-seconds / fastSeconds) + 1;
    m_slow = m_slow * std::exp(-seconds / slowSeconds) + 1;
    m_at = now;
}

double DemandMeter::perSecond(TimePoint now) const noexcept
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - m_at).count());
    const double fast = m_fast * std::exp(-seconds / fastSeconds) / fastSeconds;
    const double slow = m_slow * std::exp(-seconds / slowSeconds) / slowSeconds;
    // What chance makes of a steady rate is no surge, nor is a lone request.
    const double noise = std::sqrt(slow / (2 * fastSeconds)) + 1 / fastSeconds;
    return fast > slow + surgeDeviations * noise ? fast : slow;
}

AllowanceExchange::AllowanceExchange(InstanceStart self, TimePoint now)
    : m_self(std::move(self)), m_usableFrom(now + loanSpan)
{ }

void AllowanceExchange::setInstances(const std::vector<std::string> &names, TimePoint now)
{
    for (auto &[name, own] : m_own)
        refill(own, now);
    std::set<std::string> known(names.begin(), names.end());
    known.insert(m_self.name);
    m_instances.assign(known.begin(), known.end());
    m_base = 1.0 / static_cast<double>(m_instances.size());
    m_holders = m_instances;
    std::ranges::sort(m_holders, {},
                      [](const std::string &name) { return hashOf(name, "holder"); });
    m_holders.resize(std::min(m_holders.size(), maxHolders));
    for (auto &[name, own] : m_own)
        configureBucket(own.bucket, own.limit, m_instances, m_self.name, partOf(own, now),
                        now < m_usableFrom, now);
}

void AllowanceExchange::setLimits(const std::map<std::string, AllowanceLimit, std::less<>> &limits,
                                  TimePoint now)
{
    std::erase_if(m_own, [&limits](const auto &item) { return !limits.contains(item.first); });
    for (const auto &[name, limit] : limits) {
        const auto [found, isNew] = m_own.try_emplace(name);
        Own &own = found->second;
        if (isNew)
            own.filledAt = now;
        refill(own, now);
        own.limit = limit;
        configureBucket(own.bucket, own.limit, m_instances, m_self.name, partOf(own, now),
                        now < m_usableFrom, now);
    }
}

double AllowanceExchange::partOf(const Own &own, TimePoint now) const noexcept
{
    const double base = now < m_usableFrom ? 0 : m_base;
    return std::min(1.0, std::max(0.0, base - sumAt(own.lent, now)) + sumAt(own.shares, now));
}

double AllowanceExchange::part(std::string_view workspace, TimePoint now) const
{
    const auto found = m_own.find(workspace);
    return found == m_own.end() ? 0 : partOf(found->second, now);
}

std::size_t AllowanceExchange::borrowing(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_own, [now](const auto &item) { return sumAt(item.second.shares, now) > 0; }));
}

double AllowanceExchange::spareOf(const Own &own, TimePoint now) const noexcept
{
    if (own.limit.perSecond * m_base < minLentRate || now < m_usableFrom)
        return 0;
    const double kept = partFor(own.limit, own.demand.perSecond(now), keepFactor);
    return std::max(0.0, m_base - kept);
}

double AllowanceExchange::needOf(const Own &own, TimePoint now) const noexcept
{
    if (own.limit.perSecond * m_base < minLentRate)
        return 0;
    const double wanted = std::min(1.0, partFor(own.limit, own.demand.perSecond(now), needFactor));
    // What is lent comes back sooner than a loan would come.
    const double need = wanted - m_base;
    return need > minLoanFraction * m_base ? need : 0;
}

/// Fills the bucket with each part for as long as it held.
void AllowanceExchange::refill(Own &own, TimePoint now) const
{
    while (own.filledAt < now) {
        TimePoint next = now;
        if (m_usableFrom > own.filledAt)
            next = std::min(next, m_usableFrom);
        for (const PledgesByStart *pledges : {&own.lent, &own.shares}) {
            for (const auto &[start, pledge] : *pledges)
                next = std::min(next, pledge.nextEnd(own.filledAt));
        }
        own.filledAt = next;
        configureBucket(own.bucket, own.limit, m_instances, m_self.name, partOf(own, next),
                        next < m_usableFrom, next);
    }
}

Duration AllowanceExchange::take(std::string_view workspace, TimePoint now)
{
    const auto found = m_own.find(workspace);
    if (found == m_own.end() || found->second.limit.perSecond <= 0)
        return Duration::zero();
    Own &own = found->second;
    own.demand.arrived(now);
    refill(own, now);
    const Duration wait = own.bucket.take(now);
    if (wait == Duration::zero())
        return wait;
    ++m_counts.refused;
    return std::clamp(wait, minRetryDelay, loanDelay);
}

/// The first holder of the workspace that answers.
std::string AllowanceExchange::holderOf(std::string_view workspace, TimePoint now) const
{
    std::string best;
    std::pair<bool, std::uint64_t> bestRank;
    for (const std::string &holder : m_holders) {
        const auto state = m_holderStates.find(holder);
        const bool answers = state == m_holderStates.end() || state->second.avoidUntil <= now;
        const std::pair rank{answers, hashOf(workspace, holder)};
        if (best.empty() || rank > bestRank) {
            best = holder;
            bestRank = rank;
        }
    }
    return best;
}

AllowanceMessage AllowanceExchange::reportTo(const std::string &holder, TimePoint now)
{
    AllowanceMessage report;
    report.from = m_self;
    report.sentAt = now;
    for (const auto &[name, own] : m_own) {
        const double need = needOf(own, now);
        if (need > 0 && holderOf(name, now) == holder)
            addPart(report.needs, name, need);
    }
    if (!report.needs.empty())
        ++m_counts.asked;
    return report;
}

AllowanceExchange::Outgoing AllowanceExchange::tick(TimePoint now)
{
    forget(now);
    Outgoing out;
    for (const std::string &name : m_holders) {
        Holder &holder = m_holderStates[name];
        if (holder.askedSince < now - holderTimeout) {
            holder.avoidUntil = now + holderAvoidance;
            holder.askedSince = TimePoint::max();
        }
        // A holder that sends rounds gets its reports in answer to them.
        if (now - holder.heardAt < 2 * roundInterval)
            continue;
        AllowanceMessage report = reportTo(name, now);
        if (report.needs.empty()) {
            holder.askedSince = TimePoint::max();
            continue;
        }
        holder.askedSince = std::min(holder.askedSince, now);
        out.emplace_back(name, std::move(report));
    }
    out = deliverOwn(std::move(out), now);
    Outgoing round = startRound(now);
    std::ranges::move(round, std::back_inserter(out));
    return out;
}

AllowanceExchange::Outgoing AllowanceExchange::deliverOwn(Outgoing &&messages, TimePoint now)
{
    Outgoing out;
    for (auto &[to, message] : messages) {
        if (to != m_self.name) {
            out.emplace_back(std::move(to), std::move(message));
            continue;
        }
        Outgoing answers = receive(message, now);
        std::ranges::move(answers, std::back_inserter(out));
    }
    return out;
}

AllowanceExchange::Outgoing AllowanceExchange::receive(const AllowanceMessage &message,
                                                       TimePoint now)
{
    if (!message.round) {
        receiveReport(message, now);
        return startRound(now);
    }
    Holder &holder = m_holderStates[message.from.name];
    holder.heardAt = now;
    holder.askedSince = TimePoint::max();
    holder.avoidUntil = {};
    takeShares(message, now);
    AllowanceMessage report = reportTo(message.from.name, now);
    lend(report, message, now);
    if (report.needs.empty() && report.parts.empty())
        return {};
    Outgoing out;
    out.emplace_back(message.from.name, std::move(report));
    return deliverOwn(std::move(out), now);
}

void AllowanceExchange::takeShares(const AllowanceMessage &round, TimePoint now)
{
    if (round.parts.empty())
        return;
    const TimePoint end = round.echo + std::min(round.span, maxSpan);
    if (round.echoStart != m_self.start || round.echo > now || end <= now) {
        ++m_counts.stale;
        return;
    }
    for (const auto &[workspace, part] : round.parts) {
        const auto found = m_own.find(workspace);
        if (found == m_own.end())
            continue;
        refill(found->second, now);
        found->second.shares[round.from].add(part, end);
        configureBucket(found->second.bucket, found->second.limit, m_instances, m_self.name,
                        partOf(found->second, now), now < m_usableFrom, now);
        ++m_counts.borrowed;
    }
}

/// Lends what is lacking elsewhere and not used here.
void AllowanceExchange::lend(AllowanceMessage &report, const AllowanceMessage &round, TimePoint now)
{
    report.echoStart = round.from.start;
    report.echo = round.sentAt;
    for (const auto &[workspace, lacking] : round.needs) {
        const auto found = m_own.find(workspace);
        if (found == m_own.end() || report.needs.contains(workspace)
            || report.parts.size() >= maxMessageParts)
            continue;
        Own &own = found->second;
        double elsewhere = 0;
        for (const auto &[holder, pledge] : own.lent)
            elsewhere += holder == round.from ? 0 : pledge.at(now);
        const double part = spareOf(own, now) - elsewhere;
        if (part < minLoanFraction * m_base)
            continue;
        refill(own, now);
        own.lent[round.from].add(part, now + loanSpan);
        configureBucket(own.bucket, own.limit, m_instances, m_self.name, partOf(own, now),
                        now < m_usableFrom, now);
        addPart(report.parts, workspace, part);
        ++m_counts.lent;
    }
}

void AllowanceExchange::receiveReport(const AllowanceMessage &message, TimePoint now)
{
    Reporter &reporter = m_reporters[message.from];
    // Reports may overtake each other.
    if (message.sentAt >= reporter.said)
        reporter = {message.sentAt, now};
    for (const auto &[workspace, need] : message.needs)
        m_pools[workspace].needs[message.from] = {need, now};
    if (message.parts.empty())
        return;
    const TimePoint end = message.echo + loanSpan;
    if (message.echoStart != m_self.start || message.echo > now || end <= now) {
        ++m_counts.stale;
        return;
    }
    for (const auto &[workspace, part] : message.parts)
        m_pools[workspace].loans[message.from].add(part, end);
}

/// Passes the loans on, by need. At no time until the end of the shares may all shares together be
/// more than the loans that then still hold.
AllowanceExchange::Outgoing AllowanceExchange::startRound(TimePoint now)
{
    if (now - m_lastRound < roundInterval)
        return {};
    forget(now);
    AllowanceMessage::Parts lacking;
    for (const auto &[workspace, pool] : m_pools) {
        double sum = 0;
        for (const auto &[start, need] : pool.needs)
            sum += need.part;
        if (sum > 0 && lacking.size() < maxMessageParts)
            lacking[workspace] = sum;
    }
    if (lacking.empty())
        return {};
    m_lastRound = now;
    const TimePoint end = now + shareSpan;
    std::map<std::string, std::pair<InstanceStart, AllowanceMessage::Parts>> shares;
    for (const auto &[workspace, sum] : lacking) {
        Pool &pool = m_pools.find(workspace)->second;
        const double most = sumAt(pool.loans, end);
        if (most <= 0)
            continue;
        std::vector<TimePoint> times{now};
        for (const PledgesByStart *pledges : {&pool.loans, &pool.shares}) {
            for (const auto &[start, pledge] : *pledges)
                pledge.appendEnds(times);
        }
        std::ranges::sort(times);
        times.erase(std::unique(times.begin(), times.end()), times.end());
        std::erase_if(times, [end](TimePoint time) { return time >= end; });
        const auto fits = [&](double factor) {
            return std::ranges::all_of(times, [&](TimePoint time) {
                double used = 0;
                for (const auto &[start, pledge] : pool.shares) {
                    if (!pool.needs.contains(start))
                        used += pledge.at(time);
                }
                for (const auto &[start, need] : pool.needs) {
                    const auto before = pool.shares.find(start);
                    const double held = before == pool.shares.end() ? 0 : before->second.at(time);
                    used += std::max(held, factor * need.part);
                }
                return used <= sumAt(pool.loans, time);
            });
        };
        double factor = std::min(1.0, most / sum);
        if (!fits(factor)) {
            double low = 0;
            for (int step = 0; step < shareSteps; ++step) {
                const double middle = (low + factor) / 2;
                (fits(middle) ? low : factor) = middle;
            }
            factor = low;
        }
        for (const auto &[start, need] : pool.needs) {
            const auto reporter = m_reporters.find(start);
            const double part = factor * need.part;
            if (part <= 0 || reporter == m_reporters.end() || end <= reporter->second.at)
                continue;
            pool.shares[start].add(part, end);
            auto &[to, parts] = shares[start.name];
            // Of two starts of an instance the later one gets its shares.
            if (to != start)
                parts.clear();
            to = start;
            addPart(parts, workspace, part);
        }
    }
    Outgoing out;
    for (const std::string &name : m_instances) {
        AllowanceMessage round;
        round.round = true;
        round.from = m_self;
        round.sentAt = now;
        round.needs = lacking;
        if (const auto found = shares.find(name); found != shares.end()) {
            const auto &[start, parts] = found->second;
            const Reporter &reporter = m_reporters.at(start);
            round.echoStart = start.start;
            round.echo = reporter.said;
            round.span = end - reporter.at;
            round.parts = parts;
        }
        out.emplace_back(name, std::move(round));
    }
    return deliverOwn(std::move(out), now);
}

void AllowanceExchange::forget(TimePoint now)
{
    for (auto &[name, own] : m_own) {
        refill(own, now);
        pruneAll(own.lent, now);
        pruneAll(own.shares, now);
    }
    for (auto &[name, pool] : m_pools) {
        pruneAll(pool.loans, now);
        pruneAll(pool.shares, now);
        std::erase_if(pool.needs,
                      [now](const auto &need) { return need.second.at <= now - needSpan; });
    }
    std::erase_if(m_pools, [](const auto &item) {
        const Pool &pool = item.second;
        return pool.loans.empty() && pool.shares.empty() && pool.needs.empty();
    });
    std::erase_if(m_reporters,
                  [now](const auto &item) { return item.second.at <= now - 2 * loanSpan; });
}

} // namespace yuccaspan::gateway

// Instances that lend each other parts of allowances, each seeing only its own part, over links
// that lose, delay and repeat messages.

#include "gateway/workspaces/allowance_exchange.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iostream>
#include <memory>
#include <random>

namespace yuccaspan::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint start{seconds(100)};
constexpr Duration step = milliseconds(10);
constexpr Duration tickInterval = milliseconds(50);
constexpr std::size_t windowSteps = 500; ///< Of 5 s.
const std::string workspace = "orders";

struct Case
{
    std::size_t instances = 34;
    AllowanceLimit limit; ///< As used, with the part of the tolerance that it includes.
    double offered = 1; ///< Requests, as a multiple of the limit's rate.
    double skew = 4; ///< Requests of an instance of the first half, over one of the second.
    double loss = 0;
    double repeated = 0; ///< Messages that come again, up to 3 s later.
    Duration delay = milliseconds(2);
    Duration span = seconds(20);
    unsigned seed = 1;
    bool exchanges = true;
};

/// Instances with links in between; the clocks of all differ.
class LendingFleet
{
public:
    explicit LendingFleet(Case values)
        : known(values.instances), m_case(values), m_random(values.seed)
    {
        for (std::size_t index = 0; index < m_case.instances; ++index)
            m_members.push_back({});
        for (std::size_t index = 0; index < m_case.instances; ++index)
            restart(index);
    }

    std::function<void(LendingFleet &, TimePoint)> trouble; ///< Called at each step.

    void restart(std::size_t index)
    {
        Member &member = m_members[index];
        member.name = "i" + std::to_string(index);
        member.offset = seconds(index);
        member.exchange = std::make_unique<AllowanceExchange>(
            InstanceStart{member.name, ++m_starts}, m_now + member.offset);
        std::vector<std::string> names;
        for (std::size_t other = 0; other < known; ++other)
            names.push_back("i" + std::to_string(other));
        member.exchange->setInstances(names, m_now + member.offset);
        setLimit(index, m_case.limit);
    }
    void setLimit(std::size_t index, AllowanceLimit limit)
    {
        Member &member = m_members[index];
        member.exchange->setLimits({{workspace, limit}}, m_now + member.offset);
    }
    void freeze(std::size_t index, bool frozen) { m_members[index].frozen = frozen; }
    void cut(std::size_t index, bool isCut) { m_members[index].cut = isCut; }

    /// Runs, and returns the fraction of the rate that was served after the first 5 s.
    double run()
    {
        std::vector<std::size_t> served;
        std::size_t late = 0;
        while (m_now < start + m_case.span) {
            if (trouble)
                trouble(*this, m_now);
            deliver();
            served.push_back(offer());
            if (m_now >= start + seconds(5))
                late += served.back();
            double parts = 0;
            for (const Member &member : m_members)
                parts += member.exchange->part(workspace, m_now + member.offset);
            mostParts = std::max(mostParts, parts);
            m_now += step;
        }
        std::size_t sum = 0;
        for (std::size_t index = 0; index < served.size(); ++index) {
            sum += served[index];
            if (index >= windowSteps)
                sum -= served[index - windowSteps];
            mostInWindow = std::max(mostInWindow, sum);
        }
        const double rest = std::chrono::duration<double>(m_case.span - seconds(5)).count();
        return static_cast<double>(late) / (rest * m_case.limit.perSecond);
    }

    std::size_t mostInWindow = 0;
    double mostParts = 0; ///< Largest sum of all parts, of running and frozen instances.
    std::size_t messages = 0;
    std::size_t known = 0; ///< Instances that those which start know of.

private:
    struct Member
    {
        std::string name;
        Duration offset{};
        std::unique_ptr<AllowanceExchange> exchange;
        std::vector<AllowanceMessage> queued; ///< What came while it was frozen.
        bool frozen = false;
        bool cut = false;
    };
    struct Datagram
    {
        TimePoint at{};
        std::size_t to = 0;
        AllowanceMessage message;
    };

    bool chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
    }

    void send(std::size_t from, AllowanceExchange::Outgoing out)
    {
        for (auto &[name, message] : out) {
            const std::size_t to = std::stoul(name.substr(1));
            ++messages;
            if (m_members[from].cut || m_members[to].cut || chance(m_case.loss))
                continue;
            const auto coded = decodeAllowanceMessage(encodeAllowanceMessage(message));
            ASSERT_TRUE(coded);
            if (chance(m_case.repeated))
                m_links.push_back({m_now + milliseconds(m_random() % 3000), to, *coded});
            m_links.push_back({m_now + m_case.delay, to, *coded});
        }
    }

    void deliver()
    {
        std::vector<Datagram> due;
        const auto later = std::ranges::stable_partition(
            m_links, [this](const Datagram &datagram) { return datagram.at > m_now; });
        due.assign(later.begin(), later.end());
        m_links.erase(later.begin(), later.end());
        for (Datagram &datagram : due)
            m_members[datagram.to].queued.push_back(std::move(datagram.message));
        for (std::size_t index = 0; index < m_members.size(); ++index) {
            Member &member = m_members[index];
            if (member.frozen || !m_case.exchanges)
                continue;
            const TimePoint now = m_now + member.offset;
            for (const AllowanceMessage &message : std::exchange(member.queued, {}))
                send(index, member.exchange->receive(message, now));
            if ((m_now - start) % tickInterval == Duration::zero())
                send(index, member.exchange->tick(now));
        }
    }

    std::size_t offer()
    {
        const std::size_t half = m_case.instances / 2;
        const double weights = m_case.skew * half + (m_case.instances - half);
        const double perStep = m_case.offered * m_case.limit.perSecond
            * std::chrono::duration<double>(step).count() / weights;
        std::size_t served = 0;
        for (std::size_t index = 0; index < m_members.size(); ++index) {
            Member &member = m_members[index];
            const double mean = perStep * (index < half ? m_case.skew : 1);
            const int requests = std::poisson_distribution<>(mean)(m_random);
            for (int request = 0; request < requests && !member.frozen; ++request) {
                if (member.exchange->take(workspace, m_now + member.offset) == Duration::zero())
                    ++served;
            }
        }
        return served;
    }

    Case m_case;
    std::mt19937 m_random;
    TimePoint m_now = start;
    std::uint64_t m_starts = 0;
    std::vector<Member> m_members;
    std::vector<Datagram> m_links;
};

/// Most requests in 5 s under the platform's rule without its tolerance.
double mostAllowed(const AllowanceLimit &limit)
{
    return limit.perSecond * 5 + limit.burst;
}

Case caseOf(std::size_t instances)
{
    Case values;
    values.instances = instances;
    values.limit = {20.0 * instances, 20.0 * instances};
    return values;
}

class LendingFleets : public testing::TestWithParam<std::size_t>
{ };

TEST_P(LendingFleets, serveWhatTheLimitAllowsUnderSkew)
{
    for (const double offered : {1.0, 1.5}) {
        Case values = caseOf(GetParam());
        values.offered = offered;
        LendingFleet lending(values);
        const double served = lending.run();
        values.exchanges = false;
        LendingFleet equal(values);
        const double servedEqually = equal.run();
        std::cout << GetParam() << " instances, offered " << offered << ": served " << served
                  << ", with equal parts " << servedEqually << "; messages a second of an instance "
                  << static_cast<double>(lending.messages) / 20 / static_cast<double>(GetParam())
                  << '\n';
        EXPECT_GE(served, 0.95);
        EXPECT_LE(lending.mostParts, 1 + 1e-9);
        EXPECT_LE(lending.mostInWindow, mostAllowed(values.limit));
    }
}

TEST_P(LendingFleets, serveSmallWorkspacesNoWorseThanEqualParts)
{
    Case values;
    values.instances = GetParam();
    values.limit = {30, 50};
    values.offered = 0.7;
    values.span = seconds(60);
    LendingFleet lending(values);
    const double served = lending.run() / values.offered;
    values.exchanges = false;
    LendingFleet equal(values);
    const double servedEqually = equal.run() / values.offered;
    std::cout << GetParam() << " instances, 21 requests a second: served " << served
              << ", with equal parts " << servedEqually << '\n';
    EXPECT_GE(served, servedEqually);
    EXPECT_LE(lending.mostParts, 1 + 1e-9);
    EXPECT_LE(lending.mostInWindow, mostAllowed(values.limit));
}

TEST_P(LendingFleets, holdTheLimitUnderTrouble)
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        Case values = caseOf(GetParam());
        values.seed = seed;
        values.offered = 3;
        values.loss = 0.1;
        values.repeated = 0.1;
        values.delay = milliseconds(40);
        LendingFleet fleet(values);
        std::mt19937 random(seed);
        fleet.trouble = [&](LendingFleet &self, TimePoint now) {
            if ((now - start) % milliseconds(300) != Duration::zero())
                return;
            const std::size_t index = random() % values.instances;
            switch (random() % 5) {
            case 0:
                self.freeze(index, true);
                break;
            case 1:
                self.cut(index, true);
                break;
            case 2:
                self.restart(index);
                break;
            default:
                for (std::size_t each = 0; each < values.instances; ++each) {
                    if (random() % 2 == 0) {
                        self.freeze(each, false);
                        self.cut(each, false);
                    }
                }
            }
        };
        fleet.run();
        EXPECT_LE(fleet.mostParts, 1 + 1e-9) << "seed " << seed;
        EXPECT_LE(fleet.mostInWindow, mostAllowed(values.limit)) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, LendingFleets, testing::Values(6, 34, 118));

TEST(AllowanceExchange, usesNothingWhileALoanOfAnEarlierStartMayBeOut)
{
    AllowanceExchange exchange({"a", 1}, start);
    exchange.setInstances({"a", "b"}, start);
    exchange.setLimits({{workspace, {100, 100}}}, start);
    const TimePoint usable = start + AllowanceExchange::loanSpan;
    EXPECT_EQ(exchange.part(workspace, usable - milliseconds(1)), 0);
    EXPECT_NE(exchange.take(workspace, usable - milliseconds(1)), Duration::zero());
    EXPECT_EQ(exchange.part(workspace, usable), 0.5);
    // The earlier start may have passed on the burst.
    EXPECT_NE(exchange.take(workspace, usable + milliseconds(1)), Duration::zero());
    EXPECT_EQ(exchange.take(workspace, usable + milliseconds(30)), Duration::zero());
}

TEST(AllowanceExchange, asksTheNextHolderIfOneIsSilent)
{
    AllowanceExchange exchange({"a", 1}, start);
    exchange.setInstances({"a", "b", "c", "d"}, start);
    std::map<std::string, AllowanceLimit, std::less<>> limits;
    for (int index = 0; index < 8; ++index)
        limits["w" + std::to_string(index)] = {100, 100};
    exchange.setLimits(limits, start);
    std::size_t first = 0; // Workspaces that it holds itself.
    std::size_t last = 0;
    for (Duration past = seconds(2); past < seconds(4); past += milliseconds(10)) {
        for (const auto &[name, limit] : limits)
            (void)exchange.take(name, start + past);
        for (const auto &[to, message] : exchange.tick(start + past)) {
            if (message.round)
                last = message.needs.size();
        }
        if (past < seconds(2) + milliseconds(500))
            first = last;
    }
    // None of the others answered.
    EXPECT_LT(first, limits.size());
    EXPECT_EQ(last, limits.size());
}

TEST(AllowanceExchange, aLowerLimitBindsAtOnce)
{
    AllowanceExchange exchange({"a", 1}, start);
    exchange.setInstances({"a"}, start);
    exchange.setLimits({{workspace, {100, 100}}}, start);
    const TimePoint full = start + seconds(10);
    exchange.setLimits({{workspace, {10, 3}}}, full);
    int taken = 0;
    while (exchange.take(workspace, full) == Duration::zero())
        ++taken;
    EXPECT_EQ(taken, 3);
}

TEST(AllowanceExchange, tellsCallersToComeWhenALoanMayBeThere)
{
    AllowanceExchange exchange({"a", 1}, start);
    exchange.setInstances({"a", "b"}, start);
    exchange.setLimits({{workspace, {0.1, 0}}, {"fast", {1000, 0}}}, start);
    EXPECT_EQ(exchange.take(workspace, start + seconds(2)), 2 * AllowanceExchange::roundInterval);
    EXPECT_EQ(exchange.take("fast", start + seconds(2)), milliseconds(50));
    EXPECT_EQ(exchange.takeCounts().refused, 2U);
}

/// A request for two to lend, and the loan that comes of it.
TEST(AllowanceExchange, whatIsLentIsNotUsedUntilItEnded)
{
    AllowanceExchange lender({"a", 1}, start);
    lender.setInstances({"a", "b"}, start);
    lender.setLimits({{workspace, {100, 100}}}, start);
    const TimePoint now = start + seconds(5);
    AllowanceMessage round;
    round.round = true;
    round.from = {"b", 7};
    round.sentAt = TimePoint(seconds(3));
    round.needs = {{workspace, 1.0}};
    const auto out = lender.receive(round, now);
    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(out[0].first, "b");
    EXPECT_EQ(out[0].second.echo, round.sentAt);
    EXPECT_EQ(out[0].second.echoStart, 7U);
    EXPECT_EQ(out[0].second.parts.at(workspace), 0.5);
    EXPECT_EQ(lender.part(workspace, now), 0);
    // Another holder gets nothing of what is out already.
    round.from = {"c", 8};
    EXPECT_TRUE(lender.receive(round, now).empty());
    EXPECT_EQ(lender.part(workspace, now + AllowanceExchange::loanSpan - milliseconds(1)), 0);
    EXPECT_EQ(lender.part(workspace, now + AllowanceExchange::loanSpan), 0.5);
}

TEST(AllowanceExchange, aShareCountsFromTheReportThatItAnswers)
{
    AllowanceExchange borrower({"a", 1}, start);
    borrower.setInstances({"a", "b"}, start);
    borrower.setLimits({{workspace, {100, 100}}}, start);
    AllowanceMessage round;
    round.round = true;
    round.from = {"b", 7};
    round.echoStart = 1;
    round.echo = start + seconds(5);
    round.span = milliseconds(600);
    round.parts = {{workspace, 0.25}};
    const auto after = [&](Duration delay) {
        const TimePoint now = round.echo + delay;
        (void)borrower.receive(round, now);
        return borrower.part(workspace, now);
    };
    EXPECT_EQ(after(milliseconds(100)), 0.75);
    EXPECT_EQ(after(milliseconds(599)), 0.75);
    // It lay in the socket while the process was frozen.
    EXPECT_EQ(after(milliseconds(600)), 0.5);
    EXPECT_EQ(borrower.takeCounts().stale, 1U);
    // It is meant for an earlier start.
    round.echoStart = 0;
    EXPECT_EQ(after(milliseconds(100)), 0.75);
    EXPECT_EQ(borrower.takeCounts().stale, 1U);
}

/// A holder with a borrower and a lender that answer its rounds.
class OneHolder : public testing::Test
{
protected:
    OneHolder() : holder({"h", 5}, start)
    {
        holder.setInstances({"b", "h", "l"}, start);
        holder.setLimits({{workspace, {100, 100}}}, start);
    }

    AllowanceMessage reportOf(const std::string &name, TimePoint echo, std::uint64_t echoStart)
    {
        AllowanceMessage report;
        report.from = {name, 1};
        report.sentAt = start;
        report.echo = echo;
        report.echoStart = echoStart;
        return report;
    }
    /// What the borrower gets in a round; 0 if there is none.
    double roundFor(const AllowanceExchange::Outgoing &out)
    {
        for (const auto &[name, message] : out) {
            if (name == "b" && message.parts.contains(workspace))
                return message.parts.at(workspace);
        }
        return 0;
    }
    /// The borrower's share after the lender lent a third, some time after the round.
    double shareAfter(Duration reportDelay, std::uint64_t echoStart)
    {
        AllowanceMessage need = reportOf("b", {}, 0);
        need.needs = {{workspace, 0.6}};
        (void)holder.receive(need, now);
        AllowanceMessage loan = reportOf("l", now, echoStart);
        loan.parts = {{workspace, 0.3}};
        now += reportDelay;
        (void)holder.receive(need, now);
        (void)holder.receive(loan, now);
        now += AllowanceExchange::roundInterval;
        return roundFor(holder.receive(need, now));
    }

    AllowanceExchange holder;
    TimePoint now = start + seconds(5);
};

TEST_F(OneHolder, passesOnWhatItWasLent)
{
    // Its own part, which it doesn't use, is lent too.
    EXPECT_NEAR(shareAfter(milliseconds(10), 5), 0.6, 1e-9);
}

TEST_F(OneHolder, passesOnNothingOfAReportToAnEarlierStart)
{
    EXPECT_NEAR(shareAfter(milliseconds(10), 4), 1.0 / 3, 1e-3);
    EXPECT_EQ(holder.takeCounts().stale, 1U);
}

TEST_F(OneHolder, countsALoanFromItsRound)
{
    EXPECT_NEAR(shareAfter(milliseconds(900), 5), 1.0 / 3, 1e-3);
}

TEST_F(OneHolder, passesNothingOnTwice)
{
    const double first = shareAfter(milliseconds(10), 5);
    AllowanceMessage other = reportOf("l", {}, 0);
    other.needs = {{workspace, 0.6}};
    (void)holder.receive(other, now);
    now += AllowanceExchange::roundInterval;
    double second = 0;
    for (const auto &[name, message] : holder.tick(now)) {
        if (name == "l" && message.parts.contains(workspace))
            second = message.parts.at(workspace);
    }
    EXPECT_LE(first + second, 1.0 / 3 + 0.3 + 1e-9);
}

TEST(AllowanceMessage, whatIsNotOneIsAnError)
{
    AllowanceMessage message;
    message.from = {"a", 1};
    message.parts = {{workspace, 0.5}};
    std::vector<std::uint8_t> bytes = encodeAllowanceMessage(message);
    EXPECT_TRUE(isAllowanceMessage(bytes));
    ASSERT_TRUE(decodeAllowanceMessage(bytes));
    EXPECT_EQ(decodeAllowanceMessage(bytes)->parts, message.parts);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        EXPECT_FALSE(decodeAllowanceMessage({bytes.begin(), bytes.begin() + std::ptrdiff_t(size)}));
    for (const double part : {-0.1, 1.1, std::nan("")}) {
        message.parts = {{workspace, part}};
        EXPECT_FALSE(decodeAllowanceMessage(encodeAllowanceMessage(message)));
    }
    EXPECT_FALSE(isAllowanceMessage({}));
}

} // namespace

} // namespace yuccaspan::gateway

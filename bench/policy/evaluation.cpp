#include "evaluation.hpp"

#include <cmath>

namespace yuccaspan::bench {

namespace {

using std::chrono::seconds;

/// Bounds as the users' issue states them.
constexpr double maxImbalance = 1.25;
constexpr double maxChurnFactor = 1.5;
constexpr double minService = 0.995;
constexpr double healthyTailFactor = 1.2;
constexpr double slowedTailFactor = 2;
constexpr double maxLostMs = 2000;
/// After a shift, balance must be reached within this time.
constexpr Duration balanceTime = seconds(10);
/// Stated time for detecting a straggler and moving its slices.
constexpr Duration detectionTime = seconds(2);
/// Start of the window that shows the healthy state.
constexpr Duration healthyFrom = seconds(6);
/// Stated time for recovery after an overload.
constexpr double maxRecoverySeconds = 5;
constexpr double tail = 0.99;

[[nodiscard]] std::size_t secondOf(Duration at)
{
    return static_cast<std::size_t>(std::chrono::duration_cast<seconds>(at).count());
}

/// \brief Takes figures from one record.
class Evaluator
{
public:
    Evaluator(const Shape &shape, const Scenario &scenario, const RunRecord &record)
        : m_shape(shape), m_scenario(scenario), m_record(record)
    { }

    std::vector<Figure> run()
    {
        if (m_scenario.measuresBalance || !m_record.shifts.empty())
            addBalance();
        addService();
        addTails();
        if (m_scenario.measuresOverload)
            addOverload();
        addSafety();
        return std::move(m_figures);
    }

private:
    void add(std::string name, double value, BoundKind kind = BoundKind::None, double bound = 0)
    {
        m_figures.push_back({std::move(name), value, kind, bound});
    }

    void addBalance()
    {
        double worst = 1;
        double moved = 0;
        double least = 0;
        for (const ShiftRecord &shift : m_record.shifts) {
            const std::size_t from = secondOf(shift.at);
            const std::size_t to =
                std::min(secondOf(shift.at + balanceTime), m_record.seconds.size() - 1);
            const double reached = m_record.seconds[to].imbalance;
            worst = std::max(worst, reached);
            for (std::size_t second = from; second <= to; ++second)
                moved += m_record.seconds[second].loadMoved;
            least += leastChurn(shift.loads, reached);
        }
        add("imbalance 10 s after a shift", worst, BoundKind::AtMost, maxImbalance);
        add("churn, part of the load", moved);
        add("least churn of that balance", least);
        if (m_scenario.measuresBalance)
            add("churn over the least", least > 0 ? moved / least : (moved > 0 ? HUGE_VAL : 1),
                BoundKind::AtMost, maxChurnFactor);
    }

    void addService()
    {
        double done = 0;
        double possible = 0;
        for (std::size_t second = secondOf(m_scenario.faultAt); second < m_record.seconds.size();
             ++second) {
            done += m_record.seconds[second].worthDone;
            possible += m_record.seconds[second].worthPossible;
        }
        const BoundKind kind = m_scenario.measuresService ? BoundKind::AtLeast : BoundKind::None;
        add("weighted service of what capacity allows", possible > 0 ? done / possible : 1, kind,
            minService);
    }

    [[nodiscard]] double tailOf(Duration from, Duration to, bool marked) const
    {
        return m_record.quantile(tail, [&](const Sample &sample) {
            const Duration at = sample.arrived - m_record.start;
            return sample.onMarked == marked && at >= from && at < to;
        });
    }

    void addTails()
    {
        const double healthy = m_record.quantile(tail, [&](const Sample &sample) {
            const Duration at = sample.arrived - m_record.start;
            return at >= healthyFrom && at < m_scenario.faultAt;
        });
        const Duration from = m_scenario.faultAt;
        const double others = tailOf(from, m_scenario.faultEnd, false);
        add("healthy p99, ms", healthy);
        if (!m_scenario.measuresHealthyTail)
            return add("p99 during the fault over healthy", others / healthy);
        add("p99 of other keys over healthy", others / healthy, BoundKind::AtMost,
            healthyTailFactor);
        const Duration end = std::max(m_scenario.faultEnd, from + balanceTime);
        const double slowed = tailOf(from + detectionTime, end, true);
        add("p99 of slowed keys over healthy, after 2 s", slowed / healthy, BoundKind::AtMost,
            slowedTailFactor);
        const double before = tailOf(from, from + detectionTime, true);
        add("p99 of slowed keys over healthy, first 2 s", before / healthy);
    }

    void addOverload()
    {
        const std::size_t from = secondOf(m_scenario.faultAt);
        const std::size_t to = secondOf(m_scenario.faultEnd);
        double before = 0;
        double during = 0;
        double possible = 0;
        double healthy = 0;
        for (std::size_t second = secondOf(healthyFrom); second < from; ++second) {
            before += m_record.seconds[second].worthDone;
            healthy = std::max(healthy, m_record.seconds[second].p99);
        }
        for (std::size_t second = from; second < to; ++second) {
            during += m_record.seconds[second].worthDone;
            possible += m_record.seconds[second].worthPossible;
        }
        const double perSecondBefore = before / static_cast<double>(from - secondOf(healthyFrom));
        add("service in overload of what capacity allows", during / possible);
        add("served worth in overload over before",
            during / static_cast<double>(to - from) / perSecondBefore, BoundKind::AtLeast, 1);
        std::size_t recovered = to;
        for (std::size_t second = to; second < m_record.seconds.size(); ++second) {
            if (m_record.seconds[second].p99 > healthyTailFactor * healthy)
                recovered = second + 1;
        }
        add("recovery after the overload, s", static_cast<double>(recovered - to),
            BoundKind::AtMost, maxRecoverySeconds);
    }

    void addSafety()
    {
        const auto repeats = static_cast<double>(m_record.repeats);
        const auto first = static_cast<double>(std::max<std::uint64_t>(1, m_record.firstTries));
        add("repeats over first tries", repeats / first, BoundKind::AtMost,
            m_shape.service.repeatBudget);
        add("requests above a cold target's limit", m_record.coldExcess, BoundKind::AtMost, 0);
        add("sent to a leaving zone after 3 s", static_cast<double>(m_record.lateToLeaving),
            BoundKind::AtMost, 0);
        add("sent after the deadline", static_cast<double>(m_record.sentAfterDeadline),
            BoundKind::AtMost, 0);
        add("orders run twice", static_cast<double>(m_record.ranTwice), BoundKind::AtMost, 0);
        add("not-run answers that ran", static_cast<double>(m_record.notRunButRan),
            BoundKind::AtMost, 0);
        add("longest lost-owner time, ms", m_record.longestLostMs, BoundKind::AtMost, maxLostMs);
        add("longest planned move, ms", m_record.longestClosedMs);
        add("unknown outcomes", static_cast<double>(m_record.unknown));
        add("most requests beyond a target's slots", m_record.mostOverSlots);
        add("connections opened", static_cast<double>(m_record.connections));
    }

    const Shape &m_shape;
    const Scenario &m_scenario;
    const RunRecord &m_record;
    std::vector<Figure> m_figures;
};

} // namespace

std::vector<Figure> evaluate(const Shape &shape, const Scenario &scenario, const RunRecord &record)
{
    return Evaluator(shape, scenario, record).run();
}

} // namespace yuccaspan::bench

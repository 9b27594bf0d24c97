#include "load/load_report.hpp"

#include <algorithm>
#include <iomanip>
#include <numeric>
#include <sstream>

#include <nlohmann/json.hpp>

namespace yuccaspan::load {

namespace {

using Json = nlohmann::json;

constexpr Duration slotLength{10000};
constexpr Duration second{1000000};

struct Quantile
{
    const char *name;
    double share;
};

constexpr std::array<Quantile, 4> quantiles{{
    {"p50Us", 0.5},
    {"p90Us", 0.9},
    {"p99Us", 0.99},
    {"p999Us", 0.999},
}};

Json latencyJson(const LatencyHistogram &latency)
{
    Json object = {{"count", latency.count()}, {"maxUs", latency.max().count()}};
    for (const Quantile &quantile : quantiles)
        object[quantile.name] = latency.quantile(quantile.share).count();
    return object;
}

Json kindJson(const RequestKind &kind, const KindReport &report)
{
    return {{"kind", kind.name},
            {"worth", kind.worth},
            {"sent", report.sent()},
            {"done", report.count(CallResult::Done)},
            {"late", report.late},
            {"notRun", report.count(CallResult::NotRun)},
            {"unknown", report.count(CallResult::Unknown)},
            {"errors", report.count(CallResult::Error)},
            {"reasons", report.reasons},
            {"latency", latencyJson(report.latency)}};
}

std::string millis(Duration duration)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << static_cast<double>(duration.count()) / 1000;
    return text.str();
}

void writeKind(std::ostream &out, const RequestKind &kind, const KindReport &report)
{
    constexpr int width = 10;
    const int nameWidth = 20;
    out << std::left << std::setw(nameWidth) << kind.name << std::right << std::setw(width)
        << report.sent();
    for (const auto &[result, name] : EnumNames<CallResult>::table)
        out << std::setw(width) << report.count(result);
    out << std::setw(width) << report.late;
    for (const Quantile &quantile : quantiles)
        out << std::setw(width) << millis(report.latency.quantile(quantile.share));
    out << std::setw(width) << millis(report.latency.max()) << '\n';
}

void writeReasons(std::ostream &out, const RequestKind &kind, const KindReport &report)
{
    for (const auto &[reason, count] : report.reasons) {
        if (reason != "answered")
            out << "  " << kind.name << ": " << reason << ' ' << count << '\n';
    }
}

} // namespace

std::uint64_t KindReport::sent() const
{
    return std::accumulate(results.begin(), results.end(), std::uint64_t{0});
}

LoadReport::LoadReport(const RequestMix &mix) : m_mix(&mix), m_kinds(mix.kinds.size())
{ }

void LoadReport::add(const CallRecord &record)
{
    KindReport &kind = m_kinds.at(record.kind);
    const Duration deadline = m_mix->kinds.at(record.kind).deadline;
    const bool done = record.result == CallResult::Done;
    ++kind.results.at(static_cast<std::size_t>(record.result));
    ++kind.reasons[record.reason];
    if (done)
        kind.latency.add(record.latency);
    if (done && deadline != Duration(0) && record.latency > deadline)
        ++kind.late;
    if (record.crossed)
        ++m_crossed;
    m_lastEnd = std::max(m_lastEnd, record.scheduled + record.latency);
    const auto slot = static_cast<std::size_t>(record.scheduled / slotLength);
    if (m_slots.size() <= slot)
        m_slots.resize(slot + 1);
    ++m_slots[slot].due;
    m_slots[slot].failed += done ? 0 : 1;
}

void LoadReport::merge(const LoadReport &other)
{
    for (std::size_t index = 0; index < m_kinds.size(); ++index) {
        KindReport &kind = m_kinds[index];
        const KindReport &added = other.m_kinds.at(index);
        std::transform(kind.results.begin(), kind.results.end(), added.results.begin(),
                       kind.results.begin(), std::plus<>());
        for (const auto &[reason, count] : added.reasons)
            kind.reasons[reason] += count;
        kind.late += added.late;
        kind.latency.merge(added.latency);
    }
    m_slots.resize(std::max(m_slots.size(), other.m_slots.size()));
    for (std::size_t index = 0; index < other.m_slots.size(); ++index) {
        m_slots[index].due += other.m_slots[index].due;
        m_slots[index].failed += other.m_slots[index].failed;
    }
    m_lag.merge(other.m_lag);
    m_crossed += other.m_crossed;
    m_lastEnd = std::max(m_lastEnd, other.m_lastEnd);
}

double LoadReport::weightedService() const
{
    double served = 0;
    double all = 0;
    for (std::size_t index = 0; index < m_kinds.size(); ++index) {
        const double worth = m_mix->kinds[index].worth;
        const KindReport &kind = m_kinds[index];
        served += worth * static_cast<double>(kind.count(CallResult::Done) - kind.late);
        all += worth * static_cast<double>(kind.sent());
    }
    return all == 0 ? 0 : served / all;
}

std::uint64_t LoadReport::total(CallResult result) const
{
    std::uint64_t sum = 0;
    for (const KindReport &kind : m_kinds)
        sum += kind.count(result);
    return sum;
}

double LoadReport::doneRate() const
{
    const double seconds = std::chrono::duration<double>(m_lastEnd).count();
    return seconds == 0 ? 0 : static_cast<double>(total(CallResult::Done)) / seconds;
}

std::vector<Duration> LoadReport::unavailable() const
{
    const auto slotsPerSecond = static_cast<std::size_t>(second / slotLength);
    std::vector<double> micros((m_slots.size() + slotsPerSecond - 1) / slotsPerSecond);
    for (std::size_t index = 0; index < m_slots.size(); ++index) {
        const TimeSlot &slot = m_slots[index];
        if (slot.due == 0)
            continue;
        const double share = static_cast<double>(slot.failed) / static_cast<double>(slot.due);
        micros[index / slotsPerSecond] += share * static_cast<double>(slotLength.count());
    }
    std::vector<Duration> seconds;
    seconds.reserve(micros.size());
    for (const double value : micros)
        seconds.emplace_back(static_cast<Duration::rep>(value));
    return seconds;
}

std::string LoadReport::summary() const
{
    std::ostringstream out;
    out << "kind                      sent      done   not-run   unknown     error      late"
           "    p50 ms    p90 ms    p99 ms  p99.9 ms    max ms\n";
    for (std::size_t index = 0; index < m_kinds.size(); ++index)
        writeKind(out, m_mix->kinds[index], m_kinds[index]);
    for (std::size_t index = 0; index < m_kinds.size(); ++index)
        writeReasons(out, m_mix->kinds[index], m_kinds[index]);
    out << "service weighted by worth: " << std::fixed << std::setprecision(4) << weightedService()
        << '\n';
    out << "done a second: " << std::setprecision(0) << doneRate() << '\n';
    const std::vector<Duration> times = unavailable();
    const Duration sum = std::accumulate(times.begin(), times.end(), Duration(0));
    out << "unavailable time: " << millis(sum) << " ms";
    for (std::size_t index = 0; index < times.size(); ++index) {
        if (times[index] > Duration(0))
            out << ", second " << index << ": " << millis(times[index]) << " ms";
    }
    out << "\nanswers to other requests: " << m_crossed << "\ndelay of the generator itself: p99 "
        << millis(m_lag.quantile(0.99)) << " ms, max " << millis(m_lag.max()) << " ms\n";
    return out.str();
}

std::string LoadReport::json() const
{
    Json kinds = Json::array();
    for (std::size_t index = 0; index < m_kinds.size(); ++index)
        kinds.push_back(kindJson(m_mix->kinds[index], m_kinds[index]));
    Json seconds = Json::array();
    for (const Duration time : unavailable())
        seconds.push_back(static_cast<double>(time.count()) / 1000);
    LatencyHistogram whole;
    for (const KindReport &kind : m_kinds)
        whole.merge(kind.latency);
    const Json document = {{"kinds", std::move(kinds)},
                           {"weightedService", weightedService()},
                           {"crossed", m_crossed},
                           {"doneRate", doneRate()},
                           {"latency", latencyJson(whole)},
                           {"unavailableMsBySecond", std::move(seconds)},
                           {"generatorLag", latencyJson(m_lag)},
                           {"quantileRelativeError", maxQuantileError}};
    return document.dump(2);
}

} // namespace yuccaspan::load

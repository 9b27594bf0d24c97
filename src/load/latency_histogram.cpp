#include "load/latency_histogram.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace yuccaspan::load {

namespace {

namespace histogram = boost::histogram;
using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;

constexpr double lowestMicros = 1;
constexpr double highestMicros = 1e8;
constexpr double binWidth = 1.01; ///< Upper over lower edge of a bin.

LogAxis makeAxis()
{
    const double bins = std::ceil(std::log(highestMicros / lowestMicros) / std::log(binWidth));
    return LogAxis(static_cast<unsigned>(bins), lowestMicros, highestMicros);
}

auto makeBins()
{
    return histogram::make_histogram_with(std::vector<std::uint64_t>(), makeAxis());
}

} // namespace

struct LatencyHistogram::Bins
{
    decltype(makeBins()) counts = makeBins();
};

LatencyHistogram::LatencyHistogram() : m_bins(std::make_unique<Bins>())
{ }

LatencyHistogram::LatencyHistogram(LatencyHistogram &&) noexcept = default;

LatencyHistogram &LatencyHistogram::operator=(LatencyHistogram &&) noexcept = default;

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::add(Duration latency)
{
    const auto micros = static_cast<double>(latency.count());
    m_bins->counts(std::clamp(micros, lowestMicros, highestMicros));
    m_max = std::max(m_max, latency);
    ++m_count;
}

void LatencyHistogram::merge(const LatencyHistogram &other)
{
    m_bins->counts += other.m_bins->counts;
    m_max = std::max(m_max, other.m_max);
    m_count += other.m_count;
}

Duration LatencyHistogram::quantile(double share) const
{
    if (m_count == 0)
        return Duration(0);
    const auto exactRank = std::ceil(share * static_cast<double>(m_count));
    const auto rank = std::clamp<std::uint64_t>(static_cast<std::uint64_t>(exactRank), 1, m_count);
    const auto &axis = m_bins->counts.axis();
    std::uint64_t below = 0;
    for (int bin = 0; bin < axis.size(); ++bin) {
        below += m_bins->counts.at(bin);
        if (below < rank)
            continue;
        const double middle = std::sqrt(axis.bin(bin).lower() * axis.bin(bin).upper());
        return std::min(m_max, Duration(std::llround(middle)));
    }
    return m_max;
}

} // namespace yuccaspan::load

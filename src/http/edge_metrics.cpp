#include "http/edge_metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <mutex>
#include <utility>

namespace yuccaspan::impl {

namespace {

const prometheus::Histogram::BucketBoundaries latencyBuckets{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.017, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5};

double seconds(Duration span) noexcept
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

struct EdgeMetrics::State
{
    using KindLabels = std::pair<std::string, std::string>;

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests =
        prometheus::BuildCounter()
            .Name("yuccaspan_requests_total")
            .Help("Requests by service, kind, outcome and reason.")
            .Register(registry);
    prometheus::Family<prometheus::Histogram> &latency =
        prometheus::BuildHistogram()
            .Name("yuccaspan_request_seconds")
            .Help("Time from the request's arrival to its answer.")
            .Register(registry);
    prometheus::Family<prometheus::Counter> &repeats = prometheus::BuildCounter()
                                                           .Name("yuccaspan_repeats_total")
                                                           .Help("Requests that were sent again.")
                                                           .Register(registry);
    prometheus::Counter &connects = prometheus::BuildCounter()
                                        .Name("yuccaspan_target_connects_total")
                                        .Help("Connections opened to targets.")
                                        .Register(registry)
                                        .Add({});
    prometheus::Counter &badInput = prometheus::BuildCounter()
                                        .Name("yuccaspan_bad_input_total")
                                        .Help("Connections of callers ended by malformed input.")
                                        .Register(registry)
                                        .Add({});
    std::mutex mutex;
    std::map<RequestLabels, prometheus::Counter *> counters;
    std::map<KindLabels, prometheus::Histogram *> histograms;
    std::map<std::string, prometheus::Gauge *> gauges;
};

EdgeMetrics::EdgeMetrics() : m_state(std::make_unique<State>())
{ }

EdgeMetrics::~EdgeMetrics() = default;

void EdgeMetrics::countRequest(const RequestLabels &labels, Duration latency)
{
    prometheus::Counter *counter = nullptr;
    prometheus::Histogram *histogram = nullptr;
    {
        const std::lock_guard lock(m_state->mutex);
        prometheus::Counter *&known = m_state->counters[labels];
        if (known == nullptr) {
            known = &m_state->requests.Add({{"service", labels.service},
                                            {"kind", labels.kind},
                                            {"outcome", std::string(toString(labels.outcome))},
                                            {"reason", std::string(toString(labels.reason))}});
        }
        prometheus::Histogram *&shape = m_state->histograms[{labels.service, labels.kind}];
        if (shape == nullptr) {
            shape = &m_state->latency.Add({{"service", labels.service}, {"kind", labels.kind}},
                                          latencyBuckets);
        }
        counter = known;
        histogram = shape;
    }
    counter->Increment();
    histogram->Observe(seconds(latency));
}

void EdgeMetrics::countRepeat(const std::string &service)
{
    m_state->repeats.Add({{"service", service}}).Increment();
}

void EdgeMetrics::countConnect()
{
    m_state->connects.Increment();
}

void EdgeMetrics::countBadInput()
{
    m_state->badInput.Increment();
}

void EdgeMetrics::setGauge(const std::string &name, const std::string &help, double value)
{
    const std::lock_guard lock(m_state->mutex);
    prometheus::Gauge *&gauge = m_state->gauges[name];
    if (gauge == nullptr) {
        gauge = &prometheus::BuildGauge().Name(name).Help(help).Register(m_state->registry).Add({});
    }
    gauge->Set(value);
}

std::string EdgeMetrics::text() const
{
    const prometheus::TextSerializer serializer;
    return serializer.Serialize(m_state->registry.Collect());
}

} // namespace yuccaspan::impl

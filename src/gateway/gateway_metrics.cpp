#include "gateway/gateway_metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <utility>

namespace yuccaspan::gateway {

namespace {

/// Seconds, around the latency targets of routes, which are 200 to 1,000 ms.
const prometheus::Histogram::BucketBoundaries latencyBounds{0.01, 0.05, 0.1, 0.2, 0.3, 0.4,
                                                            0.5,  0.6,  1,   1.5, 2,   5};
/// Seconds, from the usual lateness of timers to the longest send deadline.
const prometheus::Histogram::BucketBoundaries lagBounds{0.001, 0.005, 0.02, 0.05, 0.1,
                                                        0.2,   0.5,   1,    2,    5};

} // namespace

struct GatewayMetrics::State
{
    using Labels = std::pair<std::string, std::string>;

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests = prometheus::BuildCounter()
                                                            .Name("yuccaspan_requests_total")
                                                            .Help("Requests by route and outcome.")
                                                            .Register(registry);
    prometheus::Family<prometheus::Histogram> &latency =
        prometheus::BuildHistogram()
            .Name("yuccaspan_request_seconds")
            .Help("Time from the request's arrival to its answer.")
            .Register(registry);
    prometheus::Family<prometheus::Counter> &events = prometheus::BuildCounter()
                                                          .Name("yuccaspan_events_total")
                                                          .Help("Decisions and calls by name.")
                                                          .Register(registry);
    prometheus::Histogram &lag = prometheus::BuildHistogram()
                                     .Name("yuccaspan_loop_lag_seconds")
                                     .Help("How late the event loop runs what is due.")
                                     .Register(registry)
                                     .Add({}, lagBounds);
    prometheus::Family<prometheus::Histogram> &changeAges =
        prometheus::BuildHistogram()
            .Name("yuccaspan_change_age_seconds")
            .Help("Longest possible time from a change at the store until it came into force.")
            .Register(registry);
    std::map<std::string, prometheus::Histogram *, std::less<>> changeAgeHistograms;
    prometheus::Histogram &proofAge =
        prometheus::BuildHistogram()
            .Name("yuccaspan_proof_age_seconds")
            .Help("Time since all changes of targets were known, when a request is sent to one.")
            .Register(registry)
            .Add({}, lagBounds);
    prometheus::Histogram &settingsProofAge =
        prometheus::BuildHistogram()
            .Name("yuccaspan_settings_proof_age_seconds")
            .Help("Time since all changes of settings were known, when a request is routed.")
            .Register(registry)
            .Add({}, lagBounds);
    std::map<Labels, prometheus::Counter *> requestCounters;
    std::map<std::string, prometheus::Histogram *> histograms;
    std::map<Labels, prometheus::Counter *, std::less<>> eventCounters;
};

GatewayMetrics::GatewayMetrics() : m_state(std::make_unique<State>())
{ }

GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::request(const std::string &route, std::string_view outcome, Duration latency)
{
    prometheus::Counter *&counter = m_state->requestCounters[{route, std::string(outcome)}];
    if (counter == nullptr) {
        counter = &m_state->requests.Add({{"route", route}, {"outcome", std::string(outcome)}});
    }
    counter->Increment();
    prometheus::Histogram *&histogram = m_state->histograms[route];
    if (histogram == nullptr)
        histogram = &m_state->latency.Add({{"route", route}}, latencyBounds);
    histogram->Observe(std::chrono::duration<double>(latency).count());
}

void GatewayMetrics::count(std::string_view event, std::string_view label, std::uint64_t times)
{
    prometheus::Counter *&counter =
        m_state->eventCounters[{std::string(event), std::string(label)}];
    if (counter == nullptr) {
        counter =
            &m_state->events.Add({{"event", std::string(event)}, {"label", std::string(label)}});
    }
    counter->Increment(static_cast<double>(times));
}

void GatewayMetrics::changeAge(std::string_view origin, Duration age)
{
    prometheus::Histogram *&histogram = m_state->changeAgeHistograms[std::string(origin)];
    if (histogram == nullptr)
        histogram = &m_state->changeAges.Add({{"origin", std::string(origin)}}, lagBounds);
    histogram->Observe(std::chrono::duration<double>(age).count());
}

void GatewayMetrics::proofAge(Duration age)
{
    m_state->proofAge.Observe(std::chrono::duration<double>(age).count());
}

void GatewayMetrics::settingsProofAge(Duration age)
{
    m_state->settingsProofAge.Observe(std::chrono::duration<double>(age).count());
}

void GatewayMetrics::loopLag(Duration lag)
{
    m_state->lag.Observe(std::chrono::duration<double>(lag).count());
}

std::string GatewayMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_state->registry.Collect());
}

} // namespace yuccaspan::gateway

#include "modules/metrics_http/metrics_page.h"

#include "core/scheduler/gauges.h"

#include <prometheus/text_serializer.h>

namespace wigeonkeel
{

namespace
{

using Seconds = std::chrono::duration<double>;

/// Upper bounds in seconds. 1.9 s is the target of urgent starts.
const prometheus::Histogram::BucketBoundaries waitBounds
    = {0.001, 0.005, 0.02, 0.05, 0.1, 0.3, 0.5, 1.0, 1.9, 3.0, 5.0, 10.0, 30.0, 120.0, 600.0, 3600.0};
const prometheus::Histogram::BucketBoundaries stepBounds
    = {0.00001, 0.00003, 0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0};

prometheus::MetricFamily toFamily(const CounterSpec &spec, const Counters &counters)
{
    prometheus::ClientMetric metric;
    metric.counter.value = static_cast<double>(counters.*spec.member);
    return {.name = std::string(spec.name),
        .help = std::string(spec.help),
        .type = prometheus::MetricType::Counter,
        .metric = {metric}};
}

prometheus::ClientMetric toMetric(const GaugeSpec &spec, const Scheduler &scheduler)
{
    prometheus::ClientMetric metric;
    metric.gauge.value = spec.value(scheduler);
    if (!spec.labelName.empty()) {
        metric.label.push_back({std::string(spec.labelName), std::string(spec.labelValue)});
    }
    return metric;
}

void addGauges(std::vector<prometheus::MetricFamily> &families, const Scheduler &scheduler)
{
    for (const GaugeSpec &spec : gaugeSpecs()) {
        if (families.empty() || families.back().name != spec.name) {
            families.push_back({.name = std::string(spec.name),
                .help = std::string(spec.help),
                .type = prometheus::MetricType::Gauge,
                .metric = {}});
        }
        families.back().metric.push_back(toMetric(spec, scheduler));
    }
}

} // namespace

DurationHistograms addHistograms(prometheus::Registry &registry)
{
    DurationHistograms histograms;
    auto &starts = prometheus::BuildHistogram()
                       .Name("wigeonkeel_request_start_seconds")
                       .Help("Time from a request's admission at its home until its first start was sent to a worker.")
                       .Register(registry);
    auto &waits = prometheus::BuildHistogram()
                      .Name("wigeonkeel_queue_wait_seconds")
                      .Help("Time from a task's arrival in this daemon's queue until its start was sent.")
                      .Register(registry);
    auto &steps = prometheus::BuildHistogram()
                      .Name("wigeonkeel_step_seconds")
                      .Help("Time that one event took on the loop: its decision and the actions that follow.")
                      .Register(registry);
    const auto rowOf = [&histograms](ObservationKind kind) -> auto &
    {
        return histograms.byKind[static_cast<std::size_t>(kind)];
    };
    rowOf(ObservationKind::RequestStart).fill(&starts.Add({}, waitBounds));
    rowOf(ObservationKind::Step).fill(&steps.Add({}, stepBounds));
    for (std::size_t kind = 0; kind < taskKindCount; ++kind) {
        const std::string label(toString(static_cast<TaskKind>(kind)));
        rowOf(ObservationKind::QueueWait)[kind] = &waits.Add({{"kind", label}}, waitBounds);
    }
    return histograms;
}

void observe(const DurationHistograms &histograms, const ObserveAction &observation)
{
    const auto &row = histograms.byKind[static_cast<std::size_t>(observation.kind)];
    row[static_cast<std::size_t>(observation.taskKind)]->Observe(Seconds(observation.duration).count());
}

std::string metricsText(const prometheus::Registry &registry, const Scheduler &scheduler)
{
    std::vector<prometheus::MetricFamily> families = registry.Collect();
    for (const CounterSpec &spec : counterSpecs()) {
        families.push_back(toFamily(spec, scheduler.counters));
    }
    addGauges(families, scheduler);
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace wigeonkeel

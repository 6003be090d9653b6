#pragma once

#include "core/observation.h"
#include "core/scheduler/counters.h"
#include "core/scheduler/scheduler.h"

#include <array>
#include <string>

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace wigeonkeel
{

/// Histograms of the observed durations, one for each kind of observation and task; null where there is none.
struct DurationHistograms
{
    std::array<std::array<prometheus::Histogram *, taskKindCount>, observationKindCount> byKind{};
};

/// Registers the histograms. They live as long as the registry.
DurationHistograms addHistograms(prometheus::Registry &registry);

void observe(const DurationHistograms &histograms, const ObserveAction &observation);

/// The metrics page: the registry's histograms, all counters and all gauges.
std::string metricsText(const prometheus::Registry &registry, const Scheduler &scheduler);

} // namespace wigeonkeel

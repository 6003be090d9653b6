#pragma once

#include "core/dispatch/dispatch_kernel.h"
#include "drivers/http/http_server.h"

#include <array>
#include <memory>
#include <string>

namespace wigeonkeel::dispatch
{

/// Serves counters, gauges and latency histograms of this daemon as text.
struct ClusterMetrics
{
    explicit ClusterMetrics(DispatchKernel &owner);
    ClusterMetrics(const ClusterMetrics &) = delete;
    ClusterMetrics &operator=(const ClusterMetrics &) = delete;
    ~ClusterMetrics();

    DispatchKernel &kernel;
    std::array<prometheus::Histogram *, durationKindCount> durations{};
    /// Answers to clients, by kind of call and outcome.
    prometheus::Family<prometheus::Counter> *answers = nullptr;
    std::unique_ptr<HttpServer> server;
    sigc::connection actions;
};

/// All metrics of this daemon in the Prometheus text format.
std::string metricsText(const ClusterMetrics &metrics);

} // namespace wigeonkeel::dispatch

#include "modules/cluster_metrics/cluster_metrics.h"

#include "core/guarded_call.h"
#include "drivers/http/limit_counter.h"
#include "modules/cluster_metrics/tenant_metrics.h"

#include <algorithm>
#include <iterator>

#include <prometheus/counter.h>
#include <prometheus/text_serializer.h>

namespace wigeonkeel::dispatch
{

namespace
{

/// Upper bounds in seconds, from a network round trip to the longest duration of a job that still counts as on time.
const prometheus::Histogram::BucketBoundaries durationBounds
    = {0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0, 20.0, 40.0};
const prometheus::Histogram::BucketBoundaries turnBounds = {0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3};

struct CounterRow
{
    const char *name;
    std::uint64_t DispatchCounters::*member;
};

constexpr std::array<CounterRow, 27> counterRows = {{{"accepted_jobs", &DispatchCounters::accepted},
    {"refused_jobs", &DispatchCounters::rejected}, {"jobs_refused_by_memory", &DispatchCounters::rejectedByMemory},
    {"calls_unanswered_by_memory", &DispatchCounters::unansweredByMemory}, {"done_jobs", &DispatchCounters::jobsDone},
    {"failed_jobs", &DispatchCounters::jobsFailed}, {"cancelled_jobs", &DispatchCounters::jobsCancelled},
    {"starts_ordered", &DispatchCounters::startsOrdered}, {"starts_unanswered", &DispatchCounters::startsUnanswered},
    {"starts_refused", &DispatchCounters::startsRefused}, {"runs_done", &DispatchCounters::runsDone},
    {"runs_failed", &DispatchCounters::runsFailed}, {"runs_lost", &DispatchCounters::runsLost},
    {"runs_missing", &DispatchCounters::runsMissing}, {"runs_preempted", &DispatchCounters::preempted},
    {"gangs_undone", &DispatchCounters::gangsAborted}, {"runs_stalled", &DispatchCounters::stalled},
    {"looks", &DispatchCounters::renewals}, {"advice_asked", &DispatchCounters::adviceRequests},
    {"commits", &DispatchCounters::commits}, {"ended_records_removed", &DispatchCounters::endsRemoved},
    {"withdrawn_jobs", &DispatchCounters::jobsWithdrawn}, {"place_waits", &DispatchCounters::placeWaits},
    {"place_waits_near", &DispatchCounters::placeWaitsNear},
    {"place_waits_given_up", &DispatchCounters::placeWaitsGivenUp},
    {"placement_passes", &DispatchCounters::placementPasses},
    {"placement_passes_ended_early", &DispatchCounters::placementPassesEndedEarly}}};

constexpr std::array<const char *, durationKindCount> durationNames
    = {"acceptance", "first_start", "completion", "advice"};
constexpr std::array<const char *, 4> callNames = {"submit", "query", "cancel", "count_pending"};
constexpr std::array<const char *, 7> outcomeNames
    = {"ok", "no_such_job", "refused", "impossible", "unknown", "not_leader", "forbidden"};

prometheus::MetricFamily family(std::string name, prometheus::MetricType type, double value)
{
    prometheus::ClientMetric metric;
    metric.counter.value = value;
    metric.gauge.value = value;
    return {
        .name = "wigeonkeel_" + std::move(name), .help = "See docs/OPERATIONS.md.", .type = type, .metric = {metric}};
}

prometheus::MetricFamily workersBySpeed(const WorkerTable &table)
{
    constexpr std::array<const char *, speedClassCount> names = {"slow", "usual", "fast"};
    std::array<std::size_t, speedClassCount> counts{};
    for (const Worker &worker : table.workers) {
        counts.at(static_cast<std::size_t>(worker.speed.speedClass)) += worker.listed ? 1 : 0;
    }
    prometheus::MetricFamily workers{.name = "wigeonkeel_workers_by_speed",
        .help = "See docs/OPERATIONS.md.",
        .type = prometheus::MetricType::Gauge,
        .metric = {}};
    for (std::size_t i = 0; i < speedClassCount; ++i) {
        prometheus::ClientMetric metric;
        metric.label = {{"class", names.at(i)}};
        metric.gauge.value = static_cast<double>(counts.at(i));
        workers.metric.push_back(std::move(metric));
    }
    return workers;
}

void addLeaderMetrics(const Dispatcher &dispatcher, std::vector<prometheus::MetricFamily> &families)
{
    for (const CounterRow &row : counterRows) {
        families.push_back(family(std::string(row.name) + "_total", prometheus::MetricType::Counter,
            static_cast<double>(dispatcher.counters.*row.member)));
    }
    const auto gauge = [&families](const char *name, std::size_t value) {
        families.push_back(family(name, prometheus::MetricType::Gauge, static_cast<double>(value)));
    };
    gauge("job_memory_bytes", dispatcher.jobMemory.used);
    gauge("job_memory_limit_bytes", dispatcher.jobMemory.limit);
    gauge("live_jobs", dispatcher.jobs.live.size());
    gauge("ended_jobs_known", dispatcher.jobs.ended.size());
    gauge("workers_known", dispatcher.workers.workers.size());
    gauge("commits_waiting", dispatcher.commits.waiting.size());
    gauge("advice_waiting", dispatcher.advisor.waiting.size());
    gauge("ready_steps", dispatcher.placement.ready);
    gauge("examined_steps", dispatcher.placement.examined);
    gauge("blocked_steps", dispatcher.placement.blocked);
    gauge("unplaceable_steps", dispatcher.placement.unplaceable);
    families.push_back(workersBySpeed(dispatcher.workers));
}

void handleAction(ClusterMetrics &metrics, const Action &action)
{
    if (const auto *observed = std::get_if<ObserveDuration>(&action)) {
        metrics.durations.at(static_cast<std::size_t>(observed->kind))
            ->Observe(std::chrono::duration<double>(observed->duration).count());
    } else if (const auto *answered = std::get_if<AnswerClient>(&action)) {
        metrics.answers
            ->Add({{"call", callNames.at(static_cast<std::size_t>(answered->kind))},
                {"outcome", outcomeNames.at(static_cast<std::size_t>(answered->answer.outcome))}})
            .Increment();
    }
}

} // namespace

ClusterMetrics::ClusterMetrics(DispatchKernel &owner)
    : kernel(owner)
    , actions(owner.action.connect([this](const Action &action) { handleAction(*this, action); }))
{
    auto &histograms = prometheus::BuildHistogram()
                           .Name("wigeonkeel_duration_seconds")
                           .Help("Durations by kind; docs/OPERATIONS.md says from where to where.")
                           .Register(kernel.metricsRegistry);
    for (std::size_t kind = 0; kind < durationKindCount; ++kind) {
        durations.at(kind) = &histograms.Add({{"kind", durationNames.at(kind)}}, durationBounds);
    }
    kernel.turnSeconds = &prometheus::BuildHistogram()
                              .Name("wigeonkeel_turn_seconds")
                              .Help("Time that the decisions of one turn of the loop took, with what followed at once.")
                              .Register(kernel.metricsRegistry)
                              .Add({}, turnBounds);
    answers = &prometheus::BuildCounter()
                   .Name("wigeonkeel_client_answers_total")
                   .Help("Answers to clients of this daemon.")
                   .Register(kernel.metricsRegistry);
    if (kernel.metrics.port == 0) {
        return;
    }
    server = std::make_unique<HttpServer>(kernel.loop,
        checkServerOptions(kernel.metrics.ip, kernel.metrics.port, limitCounter(kernel.metricsRegistry, "metrics")));
    server->route("/metrics", [this](const HttpRequest &request) {
        const std::string text = metricsText(*this);
        server->reply(request.token, {.contentType = "text/plain; version=0.0.4", .body = text});
    });
}

ClusterMetrics::~ClusterMetrics()
{
    actions.disconnect();
    kernel.turnSeconds = nullptr;
}

std::string metricsText(const ClusterMetrics &metrics)
{
    std::vector<prometheus::MetricFamily> families = metrics.kernel.metricsRegistry.Collect();
    const Node &node = metrics.kernel.node;
    const auto gauge = [&families](const char *name, double value) {
        families.push_back(family(name, prometheus::MetricType::Gauge, value));
    };
    gauge("leads", isLeading(node) ? 1 : 0);
    gauge("ready", node.ready ? 1 : 0);
    gauge("leader_token", static_cast<double>(node.leadership.leader.token));
    gauge("configuration_version", static_cast<double>(node.configuration.version));
    gauge("client_calls_open", static_cast<double>(node.entries.size()));
    gauge("client_calls_bytes", static_cast<double>(node.entryBytes));
    families.push_back(family("calls_refused_by_memory_total", prometheus::MetricType::Counter,
        static_cast<double>(node.callsRefusedByMemory)));
    families.push_back(
        family("unexpected_errors_total", prometheus::MetricType::Counter, static_cast<double>(unexpectedErrors())));
    const std::uint64_t suppressed
        = node.callLog.suppressed + (node.dispatcher ? node.dispatcher->callLog.suppressed : 0);
    families.push_back(
        family("call_lines_unlogged_total", prometheus::MetricType::Counter, static_cast<double>(suppressed)));
    if (node.dispatcher) {
        addLeaderMetrics(*node.dispatcher, families);
        std::ranges::move(tenantMetrics(*node.dispatcher), std::back_inserter(families));
    }
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace wigeonkeel::dispatch

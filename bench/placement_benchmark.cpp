// Time of one pass of the placement over waiting steps that find no room, by Google Benchmark. Names are
// pass/<needs>/<waiting steps>, and tenants/<tenants> with a fixed number of waiting steps; the workers are as many as
// a large fleet of today has.
#include "core/dispatch/dispatcher.h"
#include "core/log.h"

#include <benchmark/benchmark.h>

#include <random>
#include <string_view>

#include <fmt/format.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr std::size_t workerCount = 300;
constexpr Resources capacity{.cpuMilli = 16000, .memoryMib = 32768};
constexpr std::size_t labelCount = 70;

Dispatcher fullFleet(Outbox &outbox)
{
    Dispatcher dispatcher(outbox, 1, MonotonicTime(milliseconds(0)), EndRetention(DispatchBounds{}.keepEnded));
    dispatcher.configuration = {.version = 1,
        .queues
        = {{.name = "batch", .host = "h", .pathPrefix = "/b/", .pool = "pool", .priority = 2, .maxAttempts = 2}},
        .pools = {{.name = "pool"}}};
    indexQueues(dispatcher.configuration);
    for (std::size_t i = 0; i < workerCount; ++i) {
        Worker &worker = dispatcher.workers.workers[addWorker(dispatcher.workers, fmt::format("w{}", i))];
        worker.entry.pool = "pool";
        worker.entry.incarnation = 1;
        worker.entry.capacity = capacity;
        worker.entry.labels = {fmt::format("label{}", i % labelCount)};
        worker.recorded = true;
        worker.contacted = true;
        worker.used = {.cpuMilli = 15900, .memoryMib = 32000};
    }
    return dispatcher;
}

StepSpec drawStep(std::mt19937_64 &random, std::string_view needs)
{
    StepSpec step{.count = 1, .size = {.cpuMilli = 1000, .memoryMib = 1000}, .estimate = milliseconds(1000)};
    if (needs != "alike") {
        step.size = {.cpuMilli = 200 + static_cast<std::int64_t>(random() % 4000),
            .memoryMib = 200 + static_cast<std::int64_t>(random() % 4000)};
    }
    if (needs == "labels") {
        step.requiredLabel = fmt::format("label{}", random() % labelCount);
    }
    if (needs == "unplaceable") {
        step.requiredLabel = "missing";
    }
    if (needs == "gangs") {
        step.count = 8;
        step.gang = true;
    }
    return step;
}

/// Adds a job for each waiting step; the tenants in force own them in turn.
void addJobs(Dispatcher &dispatcher, std::int64_t count, std::string_view needs, MonotonicTime now)
{
    std::mt19937_64 random(1);
    const std::size_t tenants = dispatcher.tenants.rows.size();
    for (std::int64_t i = 0; i < count; ++i) {
        auto job = std::make_unique<Job>();
        job->tenant = static_cast<TenantSlot>(static_cast<std::size_t>(i) % tenants);
        job->record = {.id = static_cast<JobId>(i + 1),
            .queue = dispatcher.configuration.queues.front(),
            .spec = {.payload = "p", .steps = {drawStep(random, needs)}}};
        job->accepted = true;
        job->submittedAt = now;
        job->dueBy = now + milliseconds(1000 + i);
        job->occurrences.push_back(makeOccurrence(job->record.spec, 0));
        dispatcher.jobs.live[job->record.id] = std::move(job);
    }
}

void runPasses(benchmark::State &state, Dispatcher &dispatcher, MonotonicTime now)
{
    for (auto _ : state) {
        placeTasks(dispatcher, now);
    }
    state.counters["spacing_ms"] = static_cast<double>((dispatcher.nextPlacement - now).count()) / 1e6;
    if (dispatcher.counters.startsOrdered > 0) {
        state.SkipWithError("a task found room");
    }
}

void benchPass(benchmark::State &state, std::string_view needs)
{
    Outbox outbox;
    Dispatcher dispatcher = fullFleet(outbox);
    const MonotonicTime now{milliseconds(100000)};
    addJobs(dispatcher, state.range(0), needs, now);
    runPasses(state, dispatcher, now);
}

/// Every second tenant is at its cap.
void benchTenants(benchmark::State &state)
{
    constexpr std::int64_t waitingSteps = 10000;
    Outbox outbox;
    Dispatcher dispatcher = fullFleet(outbox);
    dispatcher.endsLoaded = true;
    Configuration configuration = dispatcher.configuration;
    configuration.tenants.emplace();
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        configuration.tenants->push_back({.name = fmt::format("t{}", i),
            .keys = {},
            .weight = 1.0 + static_cast<double>(i % 7),
            .cap = {.cpuMilli = i % 2 == 0 ? 1000 : 0}});
    }
    setConfiguration(dispatcher, configuration);
    for (TenantState &tenant : dispatcher.tenants.rows) {
        tenant.running = {.cpuMilli = 1000, .memoryMib = 1000};
    }
    const MonotonicTime now{milliseconds(100000)};
    addJobs(dispatcher, waitingSteps, "sizes", now);
    runPasses(state, dispatcher, now);
}

} // namespace

int main(int argc, char **argv)
{
    for (const std::string_view needs : {"alike", "sizes", "labels", "gangs", "unplaceable"}) {
        benchmark::RegisterBenchmark(
            fmt::format("pass/{}", needs).c_str(), [needs](benchmark::State &state) { benchPass(state, needs); })
            ->Arg(100)
            ->Arg(10000)
            ->Unit(benchmark::kMicrosecond);
    }
    benchmark::RegisterBenchmark("tenants", benchTenants)->Arg(20)->Arg(95)->Arg(1000)->Unit(benchmark::kMicrosecond);
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}

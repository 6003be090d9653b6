#include "core/scheduler/gauges.h"

#include "core/scheduler/scheduler.h"

#include <algorithm>
#include <array>

namespace wigeonkeel
{

namespace
{

template <TaskKind Kind>
double queuedTasks(const Scheduler &scheduler)
{
    return static_cast<double>(scheduler.pending.kinds[static_cast<std::size_t>(Kind)].count);
}

template <PeerLiveness Liveness>
double peersInState(const Scheduler &scheduler)
{
    return static_cast<double>(std::ranges::count_if(
        scheduler.membership.peers, [](const auto &item) { return item.second.liveness == Liveness; }));
}

template <OwnershipState State>
double workersInState(const Scheduler &scheduler)
{
    return static_cast<double>(std::ranges::count_if(
        scheduler.ownership.workers, [](const auto &item) { return item.second.state == State; }));
}

template <std::int64_t Resources::*Amount>
double capacity(const Scheduler &scheduler)
{
    return static_cast<double>(totalCapacity(scheduler.cell).*Amount);
}

template <std::int64_t Resources::*Amount>
double freeAmount(const Scheduler &scheduler)
{
    return static_cast<double>(totalFree(scheduler.cell).*Amount);
}

double excludedWorkers(const Scheduler &scheduler)
{
    return static_cast<double>(std::ranges::count_if(
        scheduler.health, [](const auto &item) { return item.second.state != HealthState::Good; }));
}

constexpr std::string_view queuedName = "wigeonkeel_queued_tasks";
constexpr std::string_view queuedHelp = "Tasks that wait for room here.";
constexpr std::string_view capacityName = "wigeonkeel_capacity";
constexpr std::string_view capacityHelp = "What the workers hold that this daemon owns.";
constexpr std::string_view freeName = "wigeonkeel_free";
constexpr std::string_view freeHelp = "What of the owned workers' capacity is charged to no task.";
constexpr std::string_view workersName = "wigeonkeel_workers";
constexpr std::string_view workersHelp = "Workers known here, by the state of their ownership.";
constexpr std::string_view peersName = "wigeonkeel_peers";
constexpr std::string_view peersHelp = "Other daemons, by what this one knows of them.";

constexpr std::string_view keptName = "wigeonkeel_kept_bytes";
constexpr std::string_view keptHelp = "Memory of what is kept for callers; see the settings max_bytes.";

constexpr std::array specs = {
    GaugeSpec{queuedName, queuedHelp, "kind", "request", queuedTasks<TaskKind::Request>},
    GaugeSpec{queuedName, queuedHelp, "kind", "service", queuedTasks<TaskKind::Service>},
    GaugeSpec{queuedName, queuedHelp, "kind", "gang", queuedTasks<TaskKind::Gang>},
    GaugeSpec{queuedName, queuedHelp, "kind", "batch", queuedTasks<TaskKind::Batch>},
    GaugeSpec{"wigeonkeel_charged_tasks", "Tasks that hold capacity of owned workers.", {}, {},
        [](const Scheduler &scheduler) { return static_cast<double>(scheduler.cell.tasks.size()); }},
    GaugeSpec{capacityName, capacityHelp, "resource", "cpu_milli", capacity<&Resources::cpuMilli>},
    GaugeSpec{capacityName, capacityHelp, "resource", "memory_mib", capacity<&Resources::memoryMib>},
    GaugeSpec{capacityName, capacityHelp, "resource", "accelerators", capacity<&Resources::accelerators>},
    GaugeSpec{capacityName, capacityHelp, "resource", "slots", capacity<&Resources::slots>},
    GaugeSpec{freeName, freeHelp, "resource", "cpu_milli", freeAmount<&Resources::cpuMilli>},
    GaugeSpec{freeName, freeHelp, "resource", "memory_mib", freeAmount<&Resources::memoryMib>},
    GaugeSpec{freeName, freeHelp, "resource", "accelerators", freeAmount<&Resources::accelerators>},
    GaugeSpec{freeName, freeHelp, "resource", "slots", freeAmount<&Resources::slots>},
    GaugeSpec{workersName, workersHelp, "state", "unowned", workersInState<OwnershipState::Unowned>},
    GaugeSpec{workersName, workersHelp, "state", "acquiring", workersInState<OwnershipState::Acquiring>},
    GaugeSpec{workersName, workersHelp, "state", "rebuilding", workersInState<OwnershipState::Rebuilding>},
    GaugeSpec{workersName, workersHelp, "state", "owned", workersInState<OwnershipState::Owned>},
    GaugeSpec{workersName, workersHelp, "state", "releasing", workersInState<OwnershipState::Releasing>},
    GaugeSpec{"wigeonkeel_excluded_workers", "Workers that get no new work because tasks kept failing on them.", {}, {},
        excludedWorkers},
    GaugeSpec{peersName, peersHelp, "state", "alive", peersInState<PeerLiveness::Alive>},
    GaugeSpec{peersName, peersHelp, "state", "suspect", peersInState<PeerLiveness::Suspect>},
    GaugeSpec{peersName, peersHelp, "state", "dead", peersInState<PeerLiveness::Dead>},
    GaugeSpec{"wigeonkeel_requests_kept", "Requests in this home's memory, those included that have ended.", {}, {},
        [](const Scheduler &scheduler) { return static_cast<double>(scheduler.requests.entries.size()); }},
    GaugeSpec{"wigeonkeel_requests_undecided", "Requests that wait for the journal or for peers' answers.", {}, {},
        [](const Scheduler &scheduler) { return static_cast<double>(scheduler.requests.undecided.size()); }},
    GaugeSpec{"wigeonkeel_jobs_kept", "Jobs of which this daemon is the home.", {}, {},
        [](const Scheduler &scheduler) { return static_cast<double>(scheduler.jobs.entries.size()); }},
    GaugeSpec{keptName, keptHelp, "table", "requests",
        [](const Scheduler &scheduler) { return static_cast<double>(scheduler.requests.memory.used); }},
    GaugeSpec{keptName, keptHelp, "table", "jobs",
        [](const Scheduler &scheduler) { return static_cast<double>(scheduler.jobs.memory.used); }},
    GaugeSpec{keptName, keptHelp, "table", "forwards",
        [](const Scheduler &scheduler) { return static_cast<double>(scheduler.forwards.memory.used); }},
    GaugeSpec{"wigeonkeel_offers_open", "Tasks offered to peers that have not settled them.", {}, {},
        [](const Scheduler &scheduler) { return static_cast<double>(scheduler.offers.outgoing.size()); }},
    GaugeSpec{"wigeonkeel_store_reachable", "1 while the store answers.", {}, {},
        [](const Scheduler &scheduler) { return scheduler.storeReachable ? 1.0 : 0.0; }},
    GaugeSpec{"wigeonkeel_config_revision", "Store revision of the configuration in force here.", {}, {},
        [](const Scheduler &scheduler) { return static_cast<double>(scheduler.configTable.revision); }},
    GaugeSpec{"wigeonkeel_draining", "1 during a graceful shutdown.", {}, {},
        [](const Scheduler &scheduler) { return scheduler.draining ? 1.0 : 0.0; }},
};

} // namespace

std::span<const GaugeSpec> gaugeSpecs()
{
    return specs;
}

} // namespace wigeonkeel

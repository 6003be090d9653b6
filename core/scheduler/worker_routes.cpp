#include "core/scheduler/worker_routes.h"

#include "core/scheduler/scheduler.h"
#include "core/scheduler/worker_use.h"

namespace wigeonkeel
{

namespace
{

/// A worker this many times slower than the average loses the choice, if it is also above the floor: links between
/// availability zones differ by single milliseconds, which says nothing about a worker.
constexpr double slowFactor = 8.0;
constexpr double slowFloorMicros = 50000.0;
/// One slow worker among many must not raise the average that it is compared with.
constexpr LatencyWeights weightsOfAll = {.rise = 0.02, .fall = 0.02};

bool isSlow(const WorkerRoutes &routes, const Route &route)
{
    return route.latency.known && route.latency.micros > slowFloorMicros
        && route.latency.micros > routes.latencyOfAll.micros * slowFactor;
}

} // namespace

void refreshPlaceable(Scheduler &scheduler, std::string_view worker)
{
    const WorkerRoutes &routes = scheduler.workerRoutes;
    bool placeable = !routes.leaving.contains(worker) && !routes.leavingByPeers.contains(worker)
        && !routes.suspended.contains(worker) && (isHealthy(scheduler, worker) || routes.probing.contains(worker));
    const auto route = routes.routes.find(worker);
    if (route != routes.routes.end()) {
        placeable = placeable && route->second.breaker.state == BreakerState::Closed && !isSlow(routes, route->second);
    }
    setPlaceable(scheduler.cell, worker, placeable);
}

void noteExchange(Scheduler &scheduler, const WorkerReport &report)
{
    if (report.answersExchange) {
        const auto roundTrip = std::chrono::duration_cast<std::chrono::microseconds>(report.receivedAt - report.sentAt);
        Route &route = scheduler.workerRoutes.routes[report.worker];
        noteSuccess(route.breaker);
        noteLatency(route.latency, roundTrip);
        noteLatency(scheduler.workerRoutes.latencyOfAll, roundTrip, weightsOfAll);
    }
    refreshPlaceable(scheduler, report.worker);
}

void noteExchangeFailure(Scheduler &scheduler, const WorkerExchangeFailed &failure, const Now &now)
{
    // The next exchange serves as the probe of an open breaker; it is sent for the owner lease anyway.
    noteFailure(scheduler.workerRoutes.routes[failure.worker].breaker, now.monotonic, scheduler.random);
    refreshPlaceable(scheduler, failure.worker);
}

void noteVmList(Scheduler &scheduler, const VmListUpdate &update)
{
    WorkerRoutes &routes = scheduler.workerRoutes;
    routes.leaving.clear();
    for (const VmEntry &vm : update.vms) {
        if (vm.state == VmState::Leaving) {
            routes.leaving.insert(vm.name);
        }
        refreshPlaceable(scheduler, vm.name);
    }
    std::erase_if(routes.routes, [&](const auto &item) { return !scheduler.ownership.workers.contains(item.first); });
}

void noteLeavingByPeers(Scheduler &scheduler)
{
    std::set<std::string, std::less<>> leaving;
    for (const auto &[name, peer] : scheduler.membership.peers) {
        if (peer.liveness != PeerLiveness::Dead) {
            leaving.insert(peer.heartbeat.leavingWorkers.begin(), peer.heartbeat.leavingWorkers.end());
        }
    }
    std::swap(leaving, scheduler.workerRoutes.leavingByPeers);
    for (const std::string &worker : leaving) {
        refreshPlaceable(scheduler, worker);
    }
    for (const std::string &worker : scheduler.workerRoutes.leavingByPeers) {
        refreshPlaceable(scheduler, worker);
    }
}

} // namespace wigeonkeel

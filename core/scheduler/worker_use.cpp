#include "core/scheduler/worker_use.h"

#include "core/scheduler/scheduler.h"

namespace wigeonkeel
{

namespace
{

bool isLive(const Scheduler &scheduler, std::string_view worker)
{
    const auto found = scheduler.ownership.workers.find(worker);
    return found != scheduler.ownership.workers.end() && found->second.vm.state == VmState::Live;
}

} // namespace

bool isHealthy(const Scheduler &scheduler, std::string_view worker)
{
    const auto found = scheduler.health.find(worker);
    return found == scheduler.health.end() || found->second.state == HealthState::Good;
}

void noteTaskResults(Scheduler &scheduler, const WorkerReport &report, const Now &now)
{
    for (const TaskReport &task : report.tasks) {
        const auto charged = scheduler.cell.tasks.find(task.id);
        const bool ended = task.state == TaskState::Done || task.state == TaskState::Failed;
        if (!ended || charged == scheduler.cell.tasks.end()
            || scheduler.cell.workers[charged->second.worker].name != report.worker) {
            continue;
        }
        const std::uint64_t workload = stableHash(task.label.workload, stableHash(task.label.operatorName));
        const bool before = isHealthy(scheduler, report.worker);
        noteTaskResult(scheduler.health, report.worker, workload, task.state == TaskState::Done, now.monotonic);
        const bool after = isHealthy(scheduler, report.worker);
        if (before != after) {
            refreshPlaceable(scheduler, report.worker);
        }
    }
}

void tickWorkerHealth(Scheduler &scheduler, const Now &now)
{
    for (const auto &[worker, health] : scheduler.health) {
        if (isLive(scheduler, worker) && startProbe(scheduler.health, worker, now.monotonic)) {
            scheduler.workerRoutes.probing.insert(worker);
            refreshPlaceable(scheduler, worker);
        }
    }
}

void noteStartSent(Scheduler &scheduler, std::string_view worker)
{
    const auto probe = scheduler.workerRoutes.probing.find(worker);
    if (probe != scheduler.workerRoutes.probing.end()) {
        scheduler.workerRoutes.probing.erase(probe);
        refreshPlaceable(scheduler, worker);
    }
}

} // namespace wigeonkeel

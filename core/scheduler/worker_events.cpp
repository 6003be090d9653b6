#include "core/scheduler/worker_events.h"

#include "core/scheduler/gang_reservations.h"
#include "core/scheduler/offers.h"
#include "core/scheduler/placement.h"
#include "core/scheduler/scheduler.h"
#include "core/scheduler/task_updates.h"
#include "core/scheduler/usage_events.h"
#include "core/scheduler/worker_use.h"

namespace wigeonkeel
{

namespace
{

constexpr std::string_view logPart = "scheduler";

std::vector<TaskSpec> requestsOn(const CellState &cell, std::string_view worker)
{
    std::vector<TaskSpec> requests;
    const auto found = cell.workerByName.find(worker);
    if (found == cell.workerByName.end()) {
        return requests;
    }
    for (const TaskId &id : cell.workers[found->second].tasks) {
        const TaskEntry &task = cell.tasks.at(id);
        const TaskLabel &label = labelOf(cell, task);
        if (label.kind == TaskKind::Request) {
            requests.push_back({.id = id, .label = label, .size = task.size, .startCount = task.startCount});
        }
    }
    return requests;
}

} // namespace

void onWorkerLost(Scheduler &scheduler, std::string_view worker, const Now &now, Actions &actions)
{
    const std::vector<TaskSpec> requests = requestsOn(scheduler.cell, worker);
    keepLostTasks(scheduler, worker, now);
    const std::vector<TaskId> tasks = removeWorker(scheduler.cell, worker);
    onGangWorkerLost(scheduler, now);
    if (!tasks.empty()) {
        actions.push_back(LogAction{.level = LogLevel::Warning,
            .part = logPart,
            .text = fmt::format("worker {} was lost with {} tasks", worker, tasks.size())});
    }
    for (const TaskSpec &task : requests) {
        if (!scheduler.cell.tasks.contains(task.id)) {
            onRequestTaskLost(scheduler, task, worker, now, actions);
        }
    }
}

void updatePreferences(Scheduler &scheduler)
{
    for (auto &[name, worker] : scheduler.ownership.workers) {
        worker.preferred = scheduler.membership.settled
            && preferredOwner(scheduler.membership, name, worker.vm.zone) == scheduler.membership.options.self.name;
    }
}

void onWorkerReport(Scheduler &scheduler, const WorkerReport &event, const Now &now, Actions &actions)
{
    const OwnershipChange change = onReport(scheduler.ownership, event, now, actions);
    if (change == OwnershipChange::Lost) {
        onWorkerLost(scheduler, event.worker, now, actions);
        return;
    }
    if (change == OwnershipChange::Acquired) {
        addWorker(scheduler.cell, event);
        scheduler.lostTasks.workers.erase(event.worker);
    }
    noteExchange(scheduler, event);
    noteTaskResults(scheduler, event, now);
    const auto worker = scheduler.ownership.workers.find(event.worker);
    if (worker != scheduler.ownership.workers.end() && worker->second.lastReportOutdated && event.full) {
        WorkerReport partial = event;
        partial.full = false;
        deliverUpdates(scheduler, applyReport(scheduler.cell, partial), now, actions);
    } else {
        deliverUpdates(scheduler, applyReport(scheduler.cell, event), now, actions);
    }
    onUsageReport(scheduler, event, now, actions);
    placeQueued(scheduler, now, actions);
}

void onWorkerExchangeFailed(Scheduler &scheduler, const WorkerExchangeFailed &event, const Now &now, Actions &actions)
{
    onExchangeFailed(scheduler.ownership, event, now, actions);
    noteExchangeFailure(scheduler, event, now);
}

void onVmListUpdate(Scheduler &scheduler, const VmListUpdate &event, const Now &now, Actions &actions)
{
    noteVmList(scheduler.sessions, event.vms, now);
    for (const OwnedWorker &removed : updateVmList(scheduler.ownership, event.vms, actions)) {
        onWorkerLost(scheduler, removed.vm.name, now, actions);
        tellWorkerGone(scheduler, removed.vm.name, now, actions);
        noteWorkerUnlisted(scheduler, removed.vm.name, now);
        scheduler.health.erase(removed.vm.name);
    }
    noteVmList(scheduler, event);
    updatePreferences(scheduler);
}

} // namespace wigeonkeel

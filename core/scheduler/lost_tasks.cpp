#include "core/scheduler/lost_tasks.h"

#include "core/scheduler/scheduler.h"

namespace wigeonkeel
{

void keepLostTasks(Scheduler &scheduler, std::string_view worker, const Now &now)
{
    const CellState &cell = scheduler.cell;
    const auto found = cell.workerByName.find(worker);
    if (found == cell.workerByName.end() || cell.workers[found->second].tasks.empty()) {
        return;
    }
    LostWorker lost{.lostAt = now.monotonic};
    for (const TaskId &id : cell.workers[found->second].tasks) {
        const auto task = cell.tasks.find(id);
        if (task == cell.tasks.end() || id == ownerTaskId) {
            continue;
        }
        const TaskLabel &label = labelOf(cell, task->second);
        if (label.kind == TaskKind::Request) {
            // The home settles it: a request is not started again before its first start has surely ended.
            continue;
        }
        lost.tasks.push_back({.update = {.task = id,
                                  .home = label.home,
                                  .progress = TaskProgress::Lost,
                                  .worker = std::string(worker),
                                  .detail = "its worker left the VM list",
                                  .startCount = task->second.startCount},
            .kind = label.kind});
    }
    scheduler.lostTasks.workers.insert_or_assign(std::string(worker), std::move(lost));
}

void tellWorkerGone(Scheduler &scheduler, std::string_view worker, const Now &now, Actions &actions)
{
    const auto found = scheduler.lostTasks.workers.find(worker);
    if (found == scheduler.lostTasks.workers.end()) {
        return;
    }
    const LostWorker lost = std::move(found->second);
    scheduler.lostTasks.workers.erase(found);
    for (const LostWorker::Task &task : lost.tasks) {
        deliverUpdates(scheduler, {&task.update, 1}, now, actions);
    }
}

} // namespace wigeonkeel

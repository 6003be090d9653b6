#include "core/cell/usage_table.h"

#include "core/ids.h"

namespace wigeonkeel
{

namespace
{

std::uint64_t workloadOf(const TaskLabel &label)
{
    return stableHash(toString(label.kind), stableHash(label.workload, stableHash(label.operatorName)));
}

/// Requests are shorter than the lag of the measurements, and gangs reserve their room before they are placed. Tasks
/// without a workload name have nothing in common.
bool isEstimated(const TaskLabel &label)
{
    return (label.kind == TaskKind::Service || label.kind == TaskKind::Batch) && !label.workload.empty();
}

/// The task's charge if it runs on the reporting worker; null otherwise.
const TaskEntry *findCharged(const CellState &cell, const WorkerReport &report, const TaskReport &task)
{
    const auto found = cell.tasks.find(task.id);
    const bool here = found != cell.tasks.end() && cell.workers[found->second.worker].name == report.worker;
    return here && holdsResources(task.state) ? &found->second : nullptr;
}

/// True if the tasks of the worker use more than it has, so that a runaway task takes from others.
bool isOverused(const CellState &cell, WorkerIndex index)
{
    const WorkerEntry &worker = cell.workers[index];
    Resources used;
    for (const TaskId &id : worker.tasks) {
        used += cell.tasks.find(id)->second.usage;
    }
    return worker.tasks.size() > 1
        && (used.cpuMilli > worker.capacity.cpuMilli || used.memoryMib > worker.capacity.memoryMib);
}

} // namespace

Resources chargeFor(const UsageTable &table, const CellState &cell, const TaskSpec &task)
{
    if (!table.options.enabled || !isEstimated(task.label)) {
        return task.size;
    }
    const auto found = table.byWorkload.find(workloadOf(task.label));
    if (found == table.byWorkload.end()) {
        return task.size;
    }
    const Resources charge = grantFor(found->second, task.size, totalCapacity(cell));
    return fitsKnownWorker(cell, charge) ? charge : task.size;
}

void noteUsageReport(UsageTable &table, const CellState &cell, const WorkerReport &report)
{
    if (!table.options.enabled) {
        return;
    }
    for (const TaskReport &task : report.tasks) {
        const TaskEntry *entry = findCharged(cell, report, task);
        // A throttled task uses what it is let, which says nothing about what it needs.
        if (entry == nullptr || task.state != TaskState::Running || task.ranFor < table.options.warmUp
            || !isEstimated(labelOf(cell, *entry))) {
            continue;
        }
        const std::uint64_t workload = workloadOf(labelOf(cell, *entry));
        if (table.byWorkload.size() >= table.options.maxWorkloads && !table.byWorkload.contains(workload)) {
            table.byWorkload.clear();
        }
        noteUsage(table.byWorkload[workload], task.usage);
    }
}

std::vector<RunawayCommand> checkRunaways(
    UsageTable &table, const CellState &cell, const WorkerReport &report, const Now &now)
{
    std::vector<RunawayCommand> commands;
    if (!table.options.enabled) {
        return commands;
    }
    for (const TaskReport &task : report.tasks) {
        const TaskEntry *entry = findCharged(cell, report, task);
        if (entry == nullptr) {
            continue;
        }
        const auto known = table.runaways.find(task.id);
        const bool throttled = known != table.runaways.end();
        const RunawayAction action = checkRunaway(task.usage, entry->size, throttled);
        const bool isBatch = labelOf(cell, *entry).kind == TaskKind::Batch;
        if (action == RunawayAction::Throttle && (isBatch || isOverused(cell, entry->worker))) {
            table.runaways.emplace(task.id, UsageTable::Runaway{.throttledAt = now.monotonic});
            commands.push_back({.task = task.id, .kind = CommandKind::Throttle});
        } else if (action == RunawayAction::Stop && isBatch && !known->second.stopping
            && now.monotonic - known->second.throttledAt >= table.options.patience) {
            known->second.stopping = true;
            commands.push_back({.task = task.id, .kind = CommandKind::Stop});
        }
    }
    return commands;
}

void forgetEnded(UsageTable &table, const CellState &cell)
{
    absl::erase_if(table.runaways, [&](const auto &item) { return !cell.tasks.contains(item.first); });
}

} // namespace wigeonkeel

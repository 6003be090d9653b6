#include "core/cell/cell_state.h"

#include <algorithm>

#include <absl/container/flat_hash_set.h>

namespace wigeonkeel
{

namespace
{

void markChanged(CellState &cell, WorkerIndex worker)
{
    if (!cell.workers[worker].changePending) {
        cell.workers[worker].changePending = true;
        cell.changedWorkers.push_back(worker);
    }
}

WorkerIndex takeUnusedPlace(CellState &cell)
{
    if (cell.unusedPlaces.empty()) {
        cell.workers.emplace_back();
        return static_cast<WorkerIndex>(cell.workers.size() - 1);
    }
    const WorkerIndex index = cell.unusedPlaces.back();
    cell.unusedPlaces.pop_back();
    return index;
}

void noteServiceChange(CellState &cell, WorkerIndex worker, LabelId label)
{
    if (cell.labels.entries[label].label.kind == TaskKind::Service) {
        ++cell.workers[worker].serviceChanges;
    }
}

/// Adds a charge to the sums by kind, team and workload.
void addHeld(CellState &cell, const TaskEntry &entry)
{
    const TaskLabel &label = cell.labels.entries[entry.label].label;
    cell.heldByKind[static_cast<std::size_t>(label.kind)] += entry.size;
    noteTaskStarted(cell.admission, label, entry.size);
}

void subtractHeld(CellState &cell, const TaskEntry &entry)
{
    const TaskLabel &label = cell.labels.entries[entry.label].label;
    cell.heldByKind[static_cast<std::size_t>(label.kind)] -= entry.size;
    noteTaskEnded(cell.admission, label, entry.size);
}

/// Every change of what a worker has free goes through here, so that the sums follow.
void changeFree(CellState &cell, WorkerIndex index, const Resources &change)
{
    WorkerEntry &worker = cell.workers[index];
    worker.free += change;
    cell.freeSum += change;
    if (!worker.placeable) {
        cell.closedFreeSum += change;
    }
}

/// Adds the entry to its worker and takes its size from the free amount.
void attachTask(CellState &cell, const TaskId &id, TaskEntry entry)
{
    WorkerEntry &worker = cell.workers[entry.worker];
    entry.place = static_cast<std::uint32_t>(worker.tasks.size());
    worker.tasks.push_back(id);
    changeFree(cell, entry.worker, Resources{} - entry.size);
    addHeld(cell, entry);
    noteServiceChange(cell, entry.worker, entry.label);
    markChanged(cell, entry.worker);
    cell.tasks.emplace(id, entry);
    if (labelOf(cell, entry).kind != TaskKind::Request) {
        cell.jobTasks.insert(id);
    }
}

void chargeReported(CellState &cell, WorkerIndex worker, const TaskReport &report)
{
    const TaskEntry entry{.worker = worker,
        .label = internLabel(cell.labels, report.label),
        .startCount = 0,
        .size = report.size,
        .usage = report.usage,
        .state = report.state,
        .confirmed = true,
        .startLease = report.leaseUntil};
    if (!cell.tasks.contains(report.id)) {
        attachTask(cell, report.id, entry);
        return;
    }
    // Both workers stay charged: only a report of the other one shows that the task has ended there.
    changeFree(cell, worker, Resources{} - entry.size);
    addHeld(cell, entry);
    cell.duplicates.emplace(std::pair(report.id, worker), entry);
    markChanged(cell, worker);
}

void refund(CellState &cell, const TaskEntry &entry)
{
    changeFree(cell, entry.worker, entry.size);
    subtractHeld(cell, entry);
    ++cell.roomVersion;
    releaseLabel(cell.labels, entry.label);
    markChanged(cell, entry.worker);
}

/// Takes the entry off its worker's list.
void detachTask(CellState &cell, const TaskEntry &entry)
{
    WorkerEntry &worker = cell.workers[entry.worker];
    const TaskId last = worker.tasks.back();
    worker.tasks[entry.place] = last;
    worker.tasks.pop_back();
    cell.tasks.find(last)->second.place = entry.place;
    noteServiceChange(cell, entry.worker, entry.label);
}

/// After the charge of a task was dropped, one of its duplicates becomes the charge that is found by id.
void promoteDuplicate(CellState &cell, const TaskId &task)
{
    const auto duplicate = cell.duplicates.lower_bound(std::pair(task, WorkerIndex{0}));
    if (duplicate == cell.duplicates.end() || duplicate->first.first != task) {
        return;
    }
    const TaskEntry entry = duplicate->second;
    cell.duplicates.erase(duplicate);
    changeFree(cell, entry.worker, entry.size);
    subtractHeld(cell, entry);
    attachTask(cell, task, entry);
}

/// Drops the charge of a task on one worker.
void releaseOn(CellState &cell, WorkerIndex worker, const TaskId &task)
{
    const auto found = cell.tasks.find(task);
    if (found != cell.tasks.end() && found->second.worker == worker) {
        release(cell, task);
        return;
    }
    const auto duplicate = cell.duplicates.find(std::pair(task, worker));
    if (duplicate != cell.duplicates.end()) {
        refund(cell, duplicate->second);
        cell.duplicates.erase(duplicate);
    }
}

TaskEntry *findOn(CellState &cell, WorkerIndex worker, const TaskId &task)
{
    const auto found = cell.tasks.find(task);
    if (found != cell.tasks.end() && found->second.worker == worker) {
        return &found->second;
    }
    const auto duplicate = cell.duplicates.find(std::pair(task, worker));
    return duplicate == cell.duplicates.end() ? nullptr : &duplicate->second;
}

/// Charges of tasks on the worker that are also charged elsewhere. Duplicates are rare, so the search is linear.
std::vector<TaskId> duplicatesOn(const CellState &cell, WorkerIndex worker)
{
    std::vector<TaskId> tasks;
    for (const auto &[key, entry] : cell.duplicates) {
        if (key.second == worker) {
            tasks.push_back(key.first);
        }
    }
    return tasks;
}

TaskProgress progressOf(TaskState state)
{
    switch (state) {
    case TaskState::Running:
    case TaskState::Throttled:
        return TaskProgress::Running;
    case TaskState::Done:
        return TaskProgress::Done;
    case TaskState::Failed:
        return TaskProgress::Failed;
    case TaskState::Checkpointed:
    case TaskState::Stopped:
        return TaskProgress::Stopped;
    }
    return TaskProgress::Lost;
}

TaskUpdateMessage makeUpdate(const TaskReport &report, std::string_view worker, std::uint32_t startCount)
{
    return {.task = report.id,
        .home = report.label.home,
        .progress = progressOf(report.state),
        .worker = std::string(worker),
        .result = report.result,
        .digest = report.resultDigest,
        .detail = report.detail,
        .startCount = startCount};
}

void applyTaskReport(
    CellState &cell, WorkerIndex worker, const TaskReport &report, std::vector<TaskUpdateMessage> &updates)
{
    if (report.id == ownerTaskId) {
        return;
    }
    TaskEntry *entry = findOn(cell, worker, report.id);
    const std::uint32_t startCount = entry == nullptr ? 0 : entry->startCount;
    if (!holdsResources(report.state)) {
        // A finished task is reported until it is acknowledged, so the update may be a repetition.
        updates.push_back(makeUpdate(report, cell.workers[worker].name, startCount));
        releaseOn(cell, worker, report.id);
        return;
    }
    if (entry == nullptr) {
        chargeReported(cell, worker, report);
        updates.push_back(makeUpdate(report, cell.workers[worker].name, startCount));
        return;
    }
    entry->reserved = false;
    entry->usage = report.usage;
    entry->state = report.state;
    if (!entry->confirmed) {
        entry->confirmed = true;
        updates.push_back(makeUpdate(report, cell.workers[worker].name, startCount));
    }
}

void applyResult(
    CellState &cell, WorkerIndex worker, const CommandResult &result, std::vector<TaskUpdateMessage> &updates)
{
    const auto found = cell.tasks.find(result.task);
    if (found == cell.tasks.end() || found->second.worker != worker || found->second.startSequence != result.sequence) {
        return;
    }
    TaskUpdateMessage update{.task = result.task,
        .home = labelOf(cell, found->second).home,
        .worker = cell.workers[worker].name,
        .detail = result.detail,
        .startCount = found->second.startCount};
    if (result.status == CommandStatus::Exists && result.holder.empty()) {
        // The worker remembers the id of a task that has ended and that it no longer lists, so that no report settles
        // this start.
        update.progress = TaskProgress::Lost;
        updates.push_back(std::move(update));
        release(cell, result.task);
        return;
    }
    if (result.status == CommandStatus::Started || result.status == CommandStatus::Exists) {
        found->second.confirmed = true;
        update.progress = TaskProgress::Running;
        updates.push_back(std::move(update));
        return;
    }
    if (result.status == CommandStatus::Late || result.status == CommandStatus::Refused) {
        update.progress = TaskProgress::NotStarted;
        updates.push_back(std::move(update));
        release(cell, result.task);
    }
}

/// Settles charged tasks that a full report does not list.
void settleMissing(
    CellState &cell, WorkerIndex worker, const WorkerReport &report, std::vector<TaskUpdateMessage> &updates)
{
    absl::flat_hash_set<TaskId> listed;
    for (const TaskReport &task : report.tasks) {
        listed.insert(task.id);
    }
    std::vector<TaskId> missing;
    for (const TaskId &id : cell.workers[worker].tasks) {
        const TaskEntry &entry = cell.tasks.at(id);
        // An unconfirmed start may still be under way until its lease has passed by the worker's clock.
        const bool settled = !entry.reserved && (entry.confirmed || report.clock > entry.startLease);
        if (settled && !listed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const TaskId &id : duplicatesOn(cell, worker)) {
        if (!listed.contains(id)) {
            releaseOn(cell, worker, id);
        }
    }
    for (const TaskId &id : missing) {
        updates.push_back({.task = id,
            .home = labelOf(cell, cell.tasks.at(id)).home,
            .progress = TaskProgress::Lost,
            .worker = cell.workers[worker].name,
            .detail = "not listed",
            .startCount = cell.tasks.at(id).startCount});
        release(cell, id);
    }
}

} // namespace

WorkerIndex addWorker(CellState &cell, const WorkerReport &report)
{
    const auto known = cell.workerByName.find(report.worker);
    if (known != cell.workerByName.end()) {
        removeWorker(cell, report.worker);
    }
    const WorkerIndex index = takeUnusedPlace(cell);
    const bool pending = cell.workers[index].changePending;
    const std::uint32_t serviceChanges = cell.workers[index].serviceChanges;
    cell.workers[index] = {.name = report.worker,
        .zone = report.zone,
        .rack = report.rack,
        .capacity = report.capacity,
        .free = report.capacity,
        .present = true,
        .placeable = true,
        .changePending = pending,
        .serviceChanges = serviceChanges,
        .tasks = {}};
    cell.workerByName.emplace(report.worker, index);
    cell.capacitySum += report.capacity;
    cell.freeSum += report.capacity;
    noteCapacity(cell, report.capacity);
    ++cell.roomVersion;
    for (const TaskReport &task : report.tasks) {
        if (task.id != ownerTaskId && holdsResources(task.state)) {
            chargeReported(cell, index, task);
            // The report that is applied next tells the homes who owns their tasks now.
            cell.tasks.at(task.id).confirmed = false;
        }
    }
    markChanged(cell, index);
    return index;
}

std::vector<TaskId> removeWorker(CellState &cell, std::string_view name)
{
    const auto found = cell.workerByName.find(name);
    if (found == cell.workerByName.end()) {
        return {};
    }
    const WorkerIndex index = found->second;
    for (const TaskId &id : duplicatesOn(cell, index)) {
        releaseOn(cell, index, id);
    }
    WorkerEntry &entry = cell.workers[index];
    cell.capacitySum -= entry.capacity;
    changeFree(cell, index, Resources{} - entry.free);
    std::vector<TaskId> tasks = std::move(entry.tasks);
    for (const TaskId &id : tasks) {
        const auto task = cell.tasks.find(id);
        subtractHeld(cell, task->second);
        releaseLabel(cell.labels, task->second.label);
        cell.tasks.erase(task);
        cell.jobTasks.erase(id);
        promoteDuplicate(cell, id);
    }
    cell.workerByName.erase(found);
    // The count goes on, so that a policy sees that a reused place has other services.
    entry = {.changePending = entry.changePending, .serviceChanges = entry.serviceChanges + 1, .tasks = {}};
    cell.unusedPlaces.push_back(index);
    markChanged(cell, index);
    return tasks;
}

void setPlaceable(CellState &cell, std::string_view name, bool placeable)
{
    const auto found = cell.workerByName.find(name);
    if (found == cell.workerByName.end() || cell.workers[found->second].placeable == placeable) {
        return;
    }
    WorkerEntry &worker = cell.workers[found->second];
    worker.placeable = placeable;
    if (placeable) {
        cell.closedFreeSum -= worker.free;
    } else {
        cell.closedFreeSum += worker.free;
    }
    cell.roomVersion += placeable ? 1 : 0;
    markChanged(cell, found->second);
}

bool charge(CellState &cell, WorkerIndex worker, const TaskSpec &task, bool reserved)
{
    const WorkerEntry &entry = cell.workers[worker];
    if (isNegative(task.size)) {
        return false;
    }
    if (!entry.present || !entry.placeable || !fits(task.size, entry.free) || cell.tasks.contains(task.id)) {
        return false;
    }
    attachTask(cell, task.id,
        {.worker = worker,
            .label = internLabel(cell.labels, task.label),
            .startCount = task.startCount,
            .size = task.size,
            .reserved = reserved});
    return true;
}

void noteStart(CellState &cell, const TaskId &task, std::uint64_t sequence, WorkerTime lease)
{
    const auto found = cell.tasks.find(task);
    if (found == cell.tasks.end()) {
        return;
    }
    found->second.reserved = false;
    found->second.startSequence = sequence;
    found->second.startLease = lease;
}

void release(CellState &cell, const TaskId &task)
{
    const auto found = cell.tasks.find(task);
    if (found == cell.tasks.end()) {
        return;
    }
    // The argument may refer to the entry that is erased.
    const TaskId id = task;
    const TaskEntry entry = found->second;
    detachTask(cell, entry);
    cell.tasks.erase(found);
    cell.jobTasks.erase(id);
    refund(cell, entry);
    promoteDuplicate(cell, id);
}

std::vector<TaskUpdateMessage> applyReport(CellState &cell, const WorkerReport &report)
{
    std::vector<TaskUpdateMessage> updates;
    const auto found = cell.workerByName.find(report.worker);
    if (found == cell.workerByName.end()) {
        return updates;
    }
    const WorkerIndex index = found->second;
    for (const CommandResult &result : report.results) {
        applyResult(cell, index, result, updates);
    }
    for (const TaskReport &task : report.tasks) {
        applyTaskReport(cell, index, task, updates);
    }
    if (report.full) {
        settleMissing(cell, index, report, updates);
    }
    return updates;
}

const TaskLabel &labelOf(const CellState &cell, const TaskEntry &task)
{
    return cell.labels.entries[task.label].label;
}

} // namespace wigeonkeel

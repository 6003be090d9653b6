#include "core/scheduler/task_limits.h"

#include "core/scheduler/scheduler.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

/// Null if the operator has no settings in force here. Tasks that were accepted before a cancel run within its limits.
const OperatorSettings *settingsOf(const Scheduler &scheduler, std::string_view operatorName)
{
    const ConfigEntry *entry = findOperator(scheduler.configTable, operatorName);
    return entry == nullptr ? nullptr : &entry->settings;
}

} // namespace

std::uint32_t limitDivisor(const Scheduler &scheduler)
{
    const auto live = std::ranges::count_if(
        scheduler.membership.peers, [](const auto &item) { return item.second.liveness != PeerLiveness::Dead; });
    return static_cast<std::uint32_t>(live) + 1;
}

AdmissionDecision admitSubmission(Scheduler &scheduler, const Submission &submission, const Now &now)
{
    const OperatorSettings *settings = settingsOf(scheduler, submission.operatorName);
    if (settings == nullptr) {
        return {.admitted = true, .reason = {}};
    }
    const TaskLabel label{
        .operatorName = submission.operatorName, .team = submission.team, .workload = submission.workload, .home = {}};
    return admitTasks(scheduler.cell.admission, *settings, label, submission.size, submission.taskCount, now,
        limitDivisor(scheduler));
}

AdmissionDecision mayStartTask(const Scheduler &scheduler, const TaskLabel &label, const Resources &size)
{
    const OperatorSettings *settings = settingsOf(scheduler, label.operatorName);
    if (settings == nullptr) {
        return {.admitted = true, .reason = {}};
    }
    return admitStart(scheduler.cell.admission, *settings, label, size, limitDivisor(scheduler));
}

std::uint64_t limitGroupFor(const Scheduler &scheduler, const TaskLabel &label)
{
    if (settingsOf(scheduler, label.operatorName) == nullptr) {
        return stableHash(label.team, stableHash(label.operatorName));
    }
    return stableHash(label.workload, stableHash(label.team, stableHash(label.operatorName)));
}

void noteQueued(Scheduler &scheduler, const TaskLabel &label)
{
    const OperatorSettings *settings = settingsOf(scheduler, label.operatorName);
    noteTaskQueued(scheduler.cell.admission, settings == nullptr ? OperatorSettings() : *settings, label);
}

void noteUnqueued(Scheduler &scheduler, const TaskLabel &label)
{
    noteTaskUnqueued(scheduler.cell.admission, label);
}

bool regroupTask(Scheduler &scheduler, const TaskSpec &task)
{
    PendingQueue &queue = scheduler.pending;
    const std::uint64_t group = limitGroupFor(scheduler, task.label);
    if (limitGroupOf(queue, task.id) == group) {
        return false;
    }
    return takeFromQueue(queue, task.id) && addToQueue(queue, task, group).queued;
}

void holdTask(Scheduler &scheduler, const TaskSpec &task, const LimitKey &limit)
{
    regroupTask(scheduler, task);
    holdShape(scheduler.pending, task.id, limit);
    scheduler.cell.admission.watched.insert(limit);
}

void releaseFreedLimits(Scheduler &scheduler)
{
    AdmissionTable &admission = scheduler.cell.admission;
    for (const LimitKey &limit : admission.freed) {
        releaseHeld(scheduler.pending, limit);
        admission.watched.erase(limit);
    }
    admission.freed.clear();
}

void releaseAllLimits(Scheduler &scheduler)
{
    AdmissionTable &admission = scheduler.cell.admission;
    for (const LimitKey &limit : admission.watched) {
        releaseHeld(scheduler.pending, limit);
    }
    admission.watched.clear();
    admission.freed.clear();
}

} // namespace wigeonkeel

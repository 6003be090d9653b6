#pragma once

#include "core/dispatch/dispatcher.h"

namespace wigeonkeel::dispatch
{

/// A task with its place in the tables.
struct TaskPlace
{
    Job *job = nullptr;
    const StepSpec *spec = nullptr;
    StepRun *step = nullptr;
    Task *task = nullptr;

    explicit operator bool() const { return task != nullptr; }
};

/// Empty if the job is not live or has no such task.
TaskPlace findTask(Dispatcher &dispatcher, const TaskKey &key);

/// The configured queue, or the queue at the submission if the operator has removed it.
const QueueConfig &queueOf(const Dispatcher &dispatcher, const Job &job);

/// The run of a task as it is charged to a worker; the caller sets attempt and phase.
Run makeRun(const Dispatcher &dispatcher, const TaskPlace &place, MonotonicTime now);

void setWaiting(TaskPlace place, MonotonicTime notBefore);

/// Charges the worker and orders the start.
void startTask(Dispatcher &dispatcher, const TaskPlace &place, const TaskKey &key, WorkerSlot slot, MonotonicTime now);
/// Orders the stop of a run; its room stays charged until the worker lists the end.
void stopRun(Dispatcher &dispatcher, WorkerSlot slot, const TaskKey &key, MonotonicTime now);

/// Ends the gang's current attempt; its members wait once all of them are released.
void abortGang(Dispatcher &dispatcher, const TaskPlace &place, const StepKey &key, MonotonicTime now);

/// Handles the end of a run of the task. `number` is the worker's number of the end, 0 if the worker did not list one.
void concludeRun(Dispatcher &dispatcher, const TaskKey &key, const EndedTask &ended, WorkerSlot slot, Now now);

/// Removes a run that is certain not to exist: the start was refused or had no effect.
void dropRun(Dispatcher &dispatcher, WorkerSlot slot, const TaskKey &key, MonotonicTime notBefore, MonotonicTime now);

/// Ends the job, stops its runs and queues the record of its end.
void endJob(Dispatcher &dispatcher, Job &job, JobState state, Now now);

/// Discards a step's plan and releases the room that is reserved for it.
void dropPlan(Dispatcher &dispatcher, const Job &job, const StepSpec &spec, StepRun &step);

/// Queues the job's record of progress, or of its end, unless one is under way.
void queueJobCommits(Dispatcher &dispatcher, Job &job, Now now);

} // namespace wigeonkeel::dispatch

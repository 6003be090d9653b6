#pragma once

#include "core/worker_messages.h"
#include "drivers/worker_protocol/worker_json.h"
#include "standins/worker/task_truth.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace wigeonkeel
{

struct WorkerModelOptions
{
    std::string name;
    std::string zone;
    std::string rack;
    Resources capacity;
    std::uint64_t boot = 1;
    WorkerAbilities abilities;
    TaskTruthOptions truth;
    /// Finished tasks that are kept until they are acknowledged; beyond this the oldest is dropped.
    std::size_t maxFinished = 10000;
    /// Task ids remembered with the ability finishedMemory.
    std::size_t maxRemembered = 100000;
    /// Runs kept for the records; further ones are only counted.
    std::size_t maxRuns = 100000;
};

/// Faults and habits that are switched on from outside.
struct WorkerFaults
{
    /// Fail every task that is started.
    bool failEverything = false;
    /// Measured use appears this long after the start.
    milliseconds usageLag{2000};
    /// Time from a checkpoint or stop command to the end of the task.
    milliseconds checkpointTime{0};
    milliseconds stopTime{0};
};

/// A task as the stand-in keeps it.
struct ModelTask
{
    TaskReport report;
    /// What it really uses, against the declared size.
    Resources usage;
    WorkerTime startedAt{};
    WorkerTime endsAt{};
    /// When a checkpoint or stop is complete, and the state that follows.
    WorkerTime endingAt = WorkerTime::max();
    TaskState endingState = TaskState::Stopped;
    std::uint32_t throttlePercent = 100;
    std::string payload;
    std::uint64_t changedAt = 0;
    std::size_t run = 0;
};

/// One run of a task, so that runs of one id on several workers can be compared.
struct TaskRun
{
    TaskId task;
    TaskKind kind = TaskKind::Batch;
    bool idempotent = true;
    WorkerTime startedAt{};
    /// WorkerTime::max() while it runs.
    WorkerTime endedAt = WorkerTime::max();
    TaskState state = TaskState::Running;
    /// The beginning of the payload, by which tests recognise their tasks.
    std::string payload;
};

/// What the worker saw, for the verdicts of tests.
struct WorkerRecords
{
    std::uint64_t started = 0;
    std::uint64_t done = 0;
    std::uint64_t lateStarts = 0;
    std::uint64_t fencedCommands = 0;
    /// Finished tasks that were dropped unacknowledged.
    std::uint64_t droppedFinished = 0;
    /// Starts by task id; more than one for a non-idempotent request breaks a promise.
    std::map<std::string, std::uint32_t> startsByTask;
    std::vector<TaskRun> runs;
    /// Largest sum of declared sizes that ran at one time, each resource for itself.
    Resources peak;
};

/// A worker without I/O: runs tasks under leases by the clock that it is given.
struct WorkerModel
{
    WorkerModelOptions options;
    WorkerFaults faults;
    std::map<TaskId, ModelTask> tasks;
    Resources used;
    std::uint64_t sequence = 0;
    /// Highest fencing token seen.
    std::uint64_t epoch = 0;
    /// Finished tasks in the order of their ends.
    std::deque<TaskId> finished;
    std::set<TaskId> remembered;
    std::deque<TaskId> rememberedOrder;
    WorkerRecords records;
};

/// Starts the worker anew: all tasks are gone, and it reports another boot id. The records stay.
void restart(WorkerModel &worker, std::uint64_t boot, WorkerTime now);

/// Runs of one task id that overlap in time; breaks a promise for every kind of task.
std::size_t overlappingRuns(std::span<const TaskRun> runs);

/// Ends tasks whose run time or lease is over. Returns true if something changed.
bool advance(WorkerModel &worker, WorkerTime now);

/// Carries out an exchange and reports.
WorkerReport exchange(WorkerModel &worker, const WorkerExchange &message, WorkerTime now);

/// The report of what changed after a sequence.
WorkerReport changesSince(const WorkerModel &worker, std::uint64_t since, WorkerTime now);

/// When advance() will next change something; WorkerTime::max() if never.
WorkerTime nextChange(const WorkerModel &worker);

} // namespace wigeonkeel

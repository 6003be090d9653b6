#pragma once

#include "core/clock.h"

#include <cstdint>

namespace wigeonkeel::dispatch
{

/// Index of a worker in the table. It stays the same when the worker returns under a new incarnation.
using WorkerSlot = std::uint32_t;
inline constexpr WorkerSlot noWorker = UINT32_MAX;

struct Job;
struct StepRun;
struct StepSpec;
struct Task;
struct WorkerTable;

/// Tracks failures on a worker, to avoid workers on which most runs fail.
struct WorkerHealth
{
    /// Rises with each failure, falls with each successful run and with time.
    double failureScore = 0.0;
    /// When the score last changed.
    MonotonicTime scoredAt{};
    MonotonicTime avoidUntil{};
    /// Doubles each time the worker is avoided, and is reset once the worker completes enough runs.
    milliseconds nextAvoidance{0};
};

/// Whether a failed or stalled run is evidence against its worker. Failures of one job on most workers that have run it
/// are the job's fault; failures of several jobs on one worker are the worker's. Records that the job has failed on the
/// worker.
bool isWorkerSuspect(Job &job, const StepSpec &spec, const StepRun &step, const Task &task, WorkerSlot slot);

/// Adds a failure with this weight to the worker's score. At the limit the worker gets no starts for a while, unless so
/// many workers of its pool are avoided already that the workers are probably not at fault.
void recordFailure(WorkerTable &table, WorkerSlot slot, double weight, MonotonicTime now);
void recordSuccess(WorkerHealth &health);

/// Delay before a long-running task is started again after a run of this duration. Doubles with each of `restarts`,
/// the number of consecutive short runs, which is updated.
milliseconds restartDelay(std::uint32_t &restarts, MonotonicTime::duration ranFor);

} // namespace wigeonkeel::dispatch

#pragma once

#include "core/dispatch/configuration.h"
#include "core/dispatch/job_spec.h"
#include "core/dispatch/messages.h"
#include "core/dispatch/worker_table.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace wigeonkeel::dispatch
{

enum class TaskPhase : std::uint8_t { Waiting, Assigned, Done };

struct Task
{
    TaskPhase phase = TaskPhase::Waiting;
    /// Number of the last start; 0 before the first.
    std::uint32_t attempt = 0;
    /// Attempts that failed. A new leader receives again, in any order, the ends that were not acknowledged to the
    /// workers; each failed attempt counts once.
    std::vector<std::uint32_t> failedAttempts;
    /// Worker that has, or may have, the current run.
    WorkerSlot worker = noWorker;
    WorkerSlot failedOn = noWorker;
    std::string checkpoint;
    int percent = 0;
    MonotonicTime startedAt{};
    MonotonicTime progressAt{};
    /// The task is not started before this time.
    MonotonicTime notBefore{};
    /// Consecutive short runs of a long-running task.
    std::uint32_t restarts = 0;
    /// Unknown runs of the task that are being stopped. The task is not started before they have ended.
    std::uint32_t unknownRuns = 0;
    /// Done already when this leader inherited the job: no worker has a run of the task.
    bool wasInheritedDone = false;
};

/// The adviser's permission to run tasks of a step on a worker.
struct Allowance
{
    std::string ticket;
    MonotonicTime validUntil{};
    std::int64_t incarnation = 0;
};

struct PlannedPlace
{
    std::uint32_t task = 0;
    WorkerSlot worker = noWorker;
};

/// Waits of a step's tasks for near places.
struct PlaceWaitState
{
    /// When the current wait began; empty without one.
    std::optional<MonotonicTime> since;
    /// Time up to which the current wait is counted in `waited`.
    MonotonicTime countedUntil{};
    /// Time of all waits.
    milliseconds waited{0};
    /// A wait was given up; the step doesn't wait again.
    bool isOver = false;
};

/// The state in which a step was found to be unplaceable: no listed worker could hold its next task, or all of them
/// together its gang, even if nothing else ran there. It stays so until the state changes.
struct UnplaceableState
{
    std::uint64_t capabilityVersion = 0;
    /// The step's own tasks on the workers matter for its limit for each worker.
    std::uint32_t waiting = 0;
    std::uint32_t remaining = 0;

    bool operator==(const UnplaceableState &) const = default;
};

/// A step of one occurrence.
struct StepRun
{
    /// All preceding steps are done.
    bool open = false;
    std::vector<Task> tasks;
    std::uint32_t remaining = 0;
    std::uint32_t waiting = 0;
    absl::flat_hash_map<WorkerSlot, Allowance> allowed;
    absl::flat_hash_set<WorkerSlot> denied;
    /// An advice request is queued or was sent and has no reply yet.
    bool adviceOpen = false;
    MonotonicTime adviceRetryAt{};
    /// Attempt number that all members of a gang share.
    std::uint32_t gangAttempt = 0;
    /// Failed attempts. Each counts once, even if several members failed.
    std::vector<std::uint32_t> gangFailedAttempts;
    /// The runs of the gang's current attempt are being stopped.
    bool gangAborting = false;
    MonotonicTime gangStartedAt{};
    /// Reserved places: those of a gang until all of them are free, those of single tasks until each one is.
    std::vector<PlannedPlace> plan;
    MonotonicTime planUntil{};
    MonotonicTime notBefore{};
    /// When a pass of the placement last examined the step.
    MonotonicTime examinedAt{};
    std::optional<UnplaceableState> unplaceable;
    SpeedSamples speeds;
    PlaceWaitState placeWait;
};

struct Occurrence
{
    std::uint32_t number = 0;
    std::vector<StepRun> steps;
    std::uint32_t stepsLeft = 0;
};

/// The end of a run that the job's next progress record will cover.
struct UnstoredEnd
{
    WorkerSlot worker = noWorker;
    std::int64_t incarnation = 0;
    std::uint64_t number = 0;
};

struct Job
{
    JobRecord record;
    TenantSlot tenant = noTenant;
    /// The store has confirmed the record.
    bool accepted = false;
    /// Read from the store by a new leader. Workers that this leader has not contacted yet may have runs of the job.
    bool inherited = false;
    bool started = false;
    JobState state = JobState::Queued;
    /// The job's end is stored, or its cancellation was confirmed to the client.
    bool endStored = false;
    /// Workers on which runs of the job have failed or stalled.
    absl::flat_hash_set<WorkerSlot> failedOn;
    std::vector<Occurrence> occurrences;
    std::uint32_t nextOccurrence = 0;
    std::uint32_t occurrencesDone = 0;
    /// Time after which the job is late.
    MonotonicTime dueBy{};
    MonotonicTime submittedAt{};
    /// When this leader received the job.
    MonotonicTime arrivedAt{};
    /// When a pass of the placement last examined a step of the job.
    MonotonicTime examinedAt{};
    /// Since when the placement has seen nothing of the job running; empty while something runs, and for jobs without
    /// steps that may wait for near places.
    std::optional<MonotonicTime> idleSince;
    /// Time of all waits for near places while nothing of the job ran.
    milliseconds idlePlaceWait{0};
    /// Calls of clients that wait for the job's acceptance, and for its cancellation.
    std::vector<CallId> waitingSubmits;
    std::vector<CallId> waitingCancels;
    /// Queries that wait for the job's end; each is also in Dispatcher::waitingQueries.
    std::vector<CallId> waitingQueries;
    /// Ends that no progress record covers yet, and those covered by the record that is being stored.
    std::vector<UnstoredEnd> unstoredEnds;
    std::vector<UnstoredEnd> endsBeingStored;
    /// The progress changed since the last record that was sent to the store.
    bool progressChanged = false;
    bool progressStored = false;
    bool commitOpen = false;
    MonotonicTime commitAfter{};
    /// Bytes of the encoded record that is being stored; unused once the job is accepted.
    std::size_t recordSize = 0;
    /// Bytes that the job is charged for in JobMemory.
    std::size_t chargedBytes = 0;
};

inline bool isEnded(JobState state)
{
    return state == JobState::Done || state == JobState::Failed || state == JobState::Cancelled;
}

/// What is known of a job after its end. Without a state if the record of the end can't be read.
struct EndedJob
{
    std::optional<JobState> state;
    TenantSlot tenant = noTenant;
};

struct JobTable
{
    absl::flat_hash_map<JobId, std::unique_ptr<Job>> live;
    /// Ended jobs, kept to answer queries of clients and to reject copies of their submissions.
    absl::flat_hash_map<JobId, EndedJob> ended;
    /// Ended jobs by the time since which their records are proven to be stored; the oldest are removed first.
    std::set<std::pair<MonotonicTime, JobId>> endedOrder;
};

Job *findJob(JobTable &table, JobId id);
StepRun *findStep(Job &job, const StepKey &key);
Occurrence *findOccurrence(Job &job, std::uint32_t number);

/// An occurrence whose tasks are all waiting and whose steps without predecessors are open.
Occurrence makeOccurrence(const JobSpec &spec, std::uint32_t number);
/// Adds the occurrences of a timed job that don't exist yet, up to this number.
void addOccurrences(Job &job, std::uint32_t last);
/// Opens the steps whose preceding steps are all done.
void openSteps(const JobSpec &spec, Occurrence &occurrence);

/// Sum of the estimates on the longest path through the steps.
milliseconds criticalPathEstimate(const JobSpec &spec);

/// Sum of the estimates on the longest path that begins with this step.
milliseconds remainingPathEstimate(const JobSpec &spec, std::uint32_t step);

} // namespace wigeonkeel::dispatch

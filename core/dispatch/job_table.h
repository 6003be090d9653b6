#pragma once

#include "core/dispatch/configuration.h"
#include "core/dispatch/job_spec.h"
#include "core/dispatch/messages.h"
#include "core/dispatch/worker_table.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <memory>
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
    /// Attempts that ended as failed. A new leader sees ends again, in any order, that the workers were not told to
    /// forget; each counts once.
    std::vector<std::uint32_t> failedAttempts;
    /// Where the present run is or may be.
    WorkerSlot worker = noWorker;
    WorkerSlot failedOn = noWorker;
    std::string checkpoint;
    int percent = 0;
    MonotonicTime startedAt{};
    MonotonicTime progressAt{};
    /// No start before this time.
    MonotonicTime notBefore{};
};

/// The adviser allows a worker for a step.
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

/// A step of one occurrence.
struct StepRun
{
    /// All steps before are done.
    bool open = false;
    std::vector<Task> tasks;
    std::uint32_t remaining = 0;
    std::uint32_t waiting = 0;
    absl::flat_hash_map<WorkerSlot, Allowance> allowed;
    absl::flat_hash_set<WorkerSlot> denied;
    /// A question to the adviser is queued or under way.
    bool adviceOpen = false;
    MonotonicTime adviceRetryAt{};
    /// Starts of a gang share one number.
    std::uint32_t gangAttempt = 0;
    /// Several members may end as failed in one attempt, which counts once.
    std::vector<std::uint32_t> gangFailedAttempts;
    /// The gang's present attempt is being undone.
    bool gangAborting = false;
    MonotonicTime gangStartedAt{};
    /// Places whose room is reserved until all of them are free.
    std::vector<PlannedPlace> plan;
    MonotonicTime planUntil{};
    MonotonicTime notBefore{};
};

struct Occurrence
{
    std::uint32_t number = 0;
    std::vector<StepRun> steps;
    std::uint32_t stepsLeft = 0;
};

/// An end that waits for the job's next record.
struct UnstoredEnd
{
    WorkerSlot worker = noWorker;
    std::int64_t incarnation = 0;
    std::uint64_t number = 0;
};

struct Job
{
    JobRecord record;
    /// The store has the record.
    bool accepted = false;
    /// Read from the store by a new leader; runs of it may be on workers that have not been heard yet.
    bool inherited = false;
    bool started = false;
    JobState state = JobState::Queued;
    /// The end is stored, or a cancellation answered.
    bool endStored = false;
    std::vector<Occurrence> occurrences;
    std::uint32_t nextOccurrence = 0;
    std::uint32_t occurrencesDone = 0;
    /// Time after which the job is late.
    MonotonicTime dueBy{};
    MonotonicTime submittedAt{};
    /// When it reached this leader.
    MonotonicTime arrivedAt{};
    /// Clients that wait for the acceptance, or for the cancellation.
    std::vector<CallId> waitingSubmits;
    std::vector<CallId> waitingCancels;
    /// Ends that no record covers yet, and those covered by the record that is being stored.
    std::vector<UnstoredEnd> unstoredEnds;
    std::vector<UnstoredEnd> endsBeingStored;
    /// Progress that the store doesn't have yet.
    bool progressChanged = false;
    bool progressStored = false;
    bool commitOpen = false;
    MonotonicTime commitAfter{};
};

inline bool isEnded(JobState state)
{
    return state == JobState::Done || state == JobState::Failed || state == JobState::Cancelled;
}

struct JobTable
{
    absl::flat_hash_map<JobId, std::unique_ptr<Job>> live;
    /// Ended jobs, kept for clients that ask.
    absl::flat_hash_map<JobId, JobState> ended;
    /// When they ended; the order of forgetting.
    std::set<std::pair<MonotonicTime, JobId>> endedOrder;
};

Job *findJob(JobTable &table, JobId id);
StepRun *findStep(Job &job, const StepKey &key);
Occurrence *findOccurrence(Job &job, std::uint32_t number);

/// The step's tasks, waiting. Steps without predecessors are open.
Occurrence makeOccurrence(const JobSpec &spec, std::uint32_t number);
/// Opens the steps whose predecessors are done.
void openSteps(const JobSpec &spec, Occurrence &occurrence);

/// Sum of the estimates on the longest path through the steps.
milliseconds longestChain(const JobSpec &spec);

} // namespace wigeonkeel::dispatch

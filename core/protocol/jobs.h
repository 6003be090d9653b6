#pragma once

#include "core/action.h"
#include "core/caller_messages.h"
#include "core/cell/job_failures.h"
#include "core/clock.h"
#include "core/protocol/kept_memory.h"
#include "core/protocol/requests.h"
#include "core/routing/random.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace wigeonkeel
{

struct JobOptions
{
    /// Name and incarnation of this daemon, as records name their holder.
    std::string holder;
    std::uint64_t callIdBase = 0;
    /// Tasks of one job that are queued or running at the same time.
    std::uint32_t maxUnderWay = 256;
    std::uint32_t maxTasks = 100000;
    std::size_t maxEntries = 100000;
    /// Bytes of results that a job's answer holds; with more, the answer counts the results.
    std::size_t resultLimit = 65536;
    /// The store takes values of up to 1 MB.
    std::size_t maxRecordBytes = 900000;
    /// How long the record of an ended job is kept.
    milliseconds keep{3600000};
    milliseconds writeInterval{1000};
    milliseconds callTimeout{1000};
    /// A caller whose job was neither accepted nor refused is answered `unknown` after this time.
    milliseconds acceptLimit{1500};
    milliseconds retryInterval{500};
    /// Time after the takeover until every worker of the former home has another owner.
    milliseconds takeoverWait{6040};
    /// The records of all own partitions are read again at this interval.
    milliseconds listInterval{300000};
    /// Store calls and started lookups that one tick makes at most; leaves most of the store's rate to the journal.
    std::size_t callsPerTick = 8;
    /// Tasks that one look at a job queues, takes out of the queue or stops.
    std::size_t tasksPerLook = 128;
    /// The same for one tick and all jobs.
    std::size_t tasksPerTick = 1024;
    /// Jobs that one tick looks at.
    std::size_t looksPerTick = 256;
};

enum class JobPhase : std::uint8_t {
    /// Waits for the store to confirm the first write.
    Recording,
    /// Waits for the store to confirm the change of the holder.
    TakingOver,
    /// Asks the owners of workers which tasks run.
    Locating,
    Running,
    Ended,
    /// Another daemon holds the record; the queued tasks are taken out.
    Leaving,
};

enum class JobTaskState : std::uint8_t {
    Waiting,
    /// Queued or offered to a peer.
    Queued,
    /// A start was sent or confirmed.
    Started,
    Done,
    /// Failed at every attempt.
    Failed,
};

struct JobTask
{
    JobTaskState state = JobTaskState::Waiting;
    /// The record shows the end.
    bool saved = false;
    std::uint32_t startCount = 0;
    /// Stable hash of the worker of the present start; 0 if it isn't known.
    std::uint64_t worker = 0;
    /// Ends without a result in a row: refusals, stops and restarts of a service.
    std::uint32_t returns = 0;
};

/// What the store holds of a job.
struct JobRecord
{
    Submission submission;
    std::string holder;
    bool cancelled = false;
    bool ended = false;
    WallTime endedAt{};
    /// Set when the job has ended.
    Answer answer;
    /// Results by task; empty if they were too large.
    std::map<std::uint32_t, std::string> results;
    bool resultsOmitted = false;
    std::vector<bool> done;
    std::vector<bool> failed;
    /// Failed attempts of tasks that have not ended.
    std::map<std::uint32_t, std::uint32_t> attempts;
};

enum class JobCall : std::uint8_t { None, Put, Get, Remove };

/// The store call of a job that is under way, and what it must call next.
struct JobStoreState
{
    JobCall call = JobCall::None;
    std::uint64_t callId = 0;
    MonotonicTime sentAt{};
    MonotonicTime notBefore{};
    /// Version of the record as last read or written; 0 for none.
    std::uint64_t version = 0;
    bool dirty = false;
    bool readBack = false;
    /// A write may have taken effect although its answer is lost.
    bool ambiguous = false;
    MonotonicTime nextWrite{};
    /// Ended tasks that the record does not show yet, and those in the write that is under way.
    std::vector<std::uint32_t> unsaved;
    std::vector<std::uint32_t> saving;
};

/// A job at its home daemon.
struct JobEntry
{
    Submission submission;
    JobPhase phase = JobPhase::Recording;
    Answer answer{.outcome = Outcome::Running, .reason = "accepted"};
    std::vector<JobTask> tasks;
    std::map<std::uint32_t, JobFailures> failures;
    std::map<std::uint32_t, std::string> results;
    std::size_t resultBytes = 0;
    bool resultsOmitted = false;
    std::set<std::uint32_t> ready;
    std::set<std::pair<MonotonicTime, std::uint32_t>> delayed;
    std::set<std::uint32_t> underWay;
    std::uint32_t doneCount = 0;
    std::uint32_t failedCount = 0;
    std::string firstFailure;
    /// A start may have been sent; "not run" can't be said any more.
    bool mayHaveStarted = false;
    bool cancelled = false;
    /// Tasks are taken back; the job ends with this reason when none is under way.
    std::optional<std::string> stopReason;
    std::uint32_t stopFrom = 0;
    std::vector<Waiter> waiting;
    MonotonicTime since{};
    WallTime endedAt{};
    /// Place in JobTable::looks.
    MonotonicTime nextLook = MonotonicTime::max();
    std::set<std::string, std::less<>> located;
    MonotonicTime nextLookup{};
    JobStoreState store;
    /// What the entry is charged with.
    std::size_t bytes = 0;
};

/// A partition whose home is this daemon.
struct JobPartition
{
    bool home = false;
    std::uint64_t callId = 0;
    MonotonicTime sentAt{};
    MonotonicTime nextList{};
};

/// A key that an update named and that is not in the table.
struct JobProbe
{
    std::uint64_t callId = 0;
    MonotonicTime at{};
    bool absent = false;
};

/// What happened to the jobs of this daemon since it started.
struct JobCounts
{
    std::uint64_t accepted = 0;
    std::uint64_t ended = 0;
    std::uint64_t takenOver = 0;
    std::uint64_t handedOver = 0;
    std::uint64_t writes = 0;
};

struct JobTable
{
    JobOptions options;
    absl::flat_hash_map<RequestKey, JobEntry> entries;
    /// Jobs that are taken over are charged too, and are never refused.
    KeptMemory memory{.limit = 512 << 20};
    std::set<std::pair<MonotonicTime, RequestKey>> looks;
    absl::flat_hash_map<std::uint64_t, RequestKey> calls;
    absl::flat_hash_map<CallerToken, RequestKey> callers;
    std::array<JobPartition, partitionCount> partitions;
    MonotonicTime nextPartitionCheck{};
    /// Records that were listed and not looked at yet.
    std::deque<StoreEntry> listed;
    std::map<RequestKey, JobProbe> probes;
    std::uint64_t nextCall = 1;
    std::size_t callsLeft = 0;
    std::size_t tasksLeft = 0;
    /// When the shutdown began.
    MonotonicTime drainSince = MonotonicTime::max();
    JobCounts counts;
};

inline bool isJob(TaskKind kind)
{
    return kind != TaskKind::Request;
}

/// `b/<partition>/<key>`.
std::string jobRecordKey(const RequestKey &key);

/// Null if the job is not known here.
JobEntry *findJob(JobTable &table, const RequestKey &key);

/// Has the job looked at again by this time.
void lookAt(JobTable &table, const RequestKey &key, JobEntry &job, MonotonicTime at);

/// Takes out the jobs that are due, a bounded number.
std::vector<RequestKey> takeDueJobs(JobTable &table, MonotonicTime now);

/// Bytes that a job takes until it has ended.
std::size_t submittedJobBytes(const JobOptions &options, const Submission &submission);

/// Adds a job that the store does not know yet.
JobEntry &addJob(JobTable &table, const Submission &submission, const Now &now);
/// Adds a job from its record. An unfinished one is to be taken over.
JobEntry &loadJob(
    JobTable &table, const RequestKey &key, const JobRecord &record, std::uint64_t version, const Now &now);
JobRecord recordOf(const JobTable &table, const JobEntry &job);
void dropJob(JobTable &table, const RequestKey &key);

/// Answers somebody who asks about a job, or adds them to those who wait.
void joinJob(JobTable &table, const RequestKey &key, JobEntry &job, const Waiter &waiter, Actions &actions);
/// Gives an answer to all who wait; to those only who don't wait for the end if `endOnly` is false and it is Running.
void answerJobWaiters(JobTable &table, JobEntry &job, const Answer &answer, Actions &actions);
void dropCaller(JobTable &table, CallerToken caller);

/// The job's record is in the store.
void acceptJob(JobTable &table, const RequestKey &key, JobEntry &job, const Now &now, Actions &actions);

/// Tasks to queue now; they count as queued from here on. A gang's tasks are returned all together or not at all.
std::vector<std::uint32_t> takeReadyTasks(JobTable &table, JobEntry &job, MonotonicTime now);
TaskSpec jobTaskSpec(const RequestKey &key, const JobEntry &job, std::uint32_t index);

struct JobUpdateContext
{
    /// No worker of the cell can hold the task even when empty.
    bool fitsNoWorker = false;
    std::uint32_t maxAttempts = 3;
    RandomState *random = nullptr;
};

/// Takes note of what an owner says about a task. Returns true if the owner may forget the task.
bool updateJobTask(JobTable &table, const TaskUpdateMessage &update, const JobUpdateContext &context, const Now &now);

/// Takes note of a queued task that was taken out of the queue.
void noteTakenBack(JobEntry &job, std::uint32_t index);

/// Stops the job: nothing more is queued, and it ends when no task is under way.
void stopJob(JobEntry &job, std::string_view reason);

/// Ends the job if all its tasks have ended, or it is stopped and no task is under way.
void settleJob(JobTable &table, JobEntry &job, const Now &now, Actions &actions);

/// Sends the store call that the job needs next, within the rate of all jobs.
void pumpJobStore(JobTable &table, const RequestKey &key, JobEntry &job, const Now &now, Actions &actions);

/// Carries a store reply to its job, partition or probe. `reason` is what callers of refused jobs are told.
void onJobReply(
    JobTable &table, const RequestOptions &requests, const StoreReply &reply, const Now &now, Actions &actions);

/// Takes over a listed or read record of a partition whose home is this daemon.
void takeStoredJob(JobTable &table, const StoreEntry &stored, const Now &now, Actions &actions);

/// Lists the records of the partitions that need it.
void pumpJobLists(JobTable &table, const Now &now, Actions &actions);

/// Asks the store whether a key that an update named is a job. True if it surely is not.
bool probeJob(JobTable &table, const RequestKey &key, const Now &now, Actions &actions);

} // namespace wigeonkeel

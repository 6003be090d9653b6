#include "core/scheduler/job_events.h"

#include "core/scheduler/job_progress.h"
#include "core/scheduler/request_events.h"
#include "core/scheduler/scheduler.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

constexpr milliseconds partitionCheckInterval{500};
/// Listed records that one tick decodes and takes over.
constexpr std::size_t listedPerTick = 64;
/// Names, times and punctuation of a record.
constexpr std::size_t fixedRecordBytes = 4096;

/// Why a submission can't be taken, or nothing.
std::string refusalOf(const Scheduler &scheduler, const Submission &submission)
{
    const JobOptions &options = scheduler.jobs.options;
    if (submission.taskCount == 0 || submission.taskCount > options.maxTasks) {
        return fmt::format("a job has 1 to {} tasks", options.maxTasks);
    }
    // A byte of the payload takes two characters, and a task half a character.
    const std::size_t size = submission.payload.size() * 2 + submission.taskCount / 2 + options.resultLimit * 2;
    if (size + fixedRecordBytes > options.maxRecordBytes) {
        return "the payload is too large for a job's record";
    }
    if (scheduler.jobs.entries.size() >= options.maxEntries) {
        return "too many jobs are kept here";
    }
    if (submittedJobBytes(options, submission) > scheduler.jobs.memory.limit) {
        return "the job takes more memory than all jobs here may take";
    }
    return scheduler.storeReachable ? "" : "the store does not answer; jobs are kept there";
}

void checkPartitions(Scheduler &scheduler, const Now &now)
{
    JobTable &jobs = scheduler.jobs;
    if (now.monotonic < jobs.nextPartitionCheck) {
        return;
    }
    jobs.nextPartitionCheck = now.monotonic + partitionCheckInterval;
    for (std::uint32_t index = 0; index < partitionCount; ++index) {
        JobPartition &partition = jobs.partitions[index];
        const bool home = homeOf(scheduler.membership, index) == scheduler.membership.options.self.name;
        if (home && !partition.home) {
            partition = {.home = true, .nextList = now.monotonic};
        }
        partition.home = home;
    }
}

} // namespace

void submitJobAtHome(
    Scheduler &scheduler, const Submission &submission, const Waiter &waiter, const Now &now, Actions &actions)
{
    std::string refusal = refusalOf(scheduler, submission);
    if (refusal.empty() && !hasRoom(scheduler.jobs.memory, submittedJobBytes(scheduler.jobs.options, submission))) {
        noteRefused(scheduler.jobs.memory, "jobs", "Jobs", now.monotonic, actions);
        refusal = "jobs take too much memory here";
    }
    if (!refusal.empty()) {
        ++scheduler.counters.jobsRefused;
        sendAnswer(waiter, makeRefusal(scheduler.requests.options, submission, refusal, now), actions);
        return;
    }
    const RequestKey key = makeRequestKey(submission.operatorName, submission.id);
    JobEntry &job = addJob(scheduler.jobs, submission, now);
    joinJob(scheduler.jobs, key, job, waiter, actions);
    if (!waiter.peer.empty() && waiter.wait) {
        // A peer learns at once that the job arrived, so that it doesn't send it again.
        sendAnswer(waiter, {.outcome = Outcome::Running, .reason = "arrived"}, actions);
    }
    lookAtJob(scheduler, key, now, actions);
}

bool joinKnownJob(Scheduler &scheduler, const RequestKey &key, const Waiter &waiter, Actions &actions)
{
    JobEntry *job = findJob(scheduler.jobs, key);
    if (job == nullptr || job->phase == JobPhase::Leaving) {
        return false;
    }
    joinJob(scheduler.jobs, key, *job, waiter, actions);
    if (!waiter.peer.empty() && waiter.wait && job->phase != JobPhase::Ended) {
        sendAnswer(waiter, {.outcome = Outcome::Running, .reason = "arrived"}, actions);
    }
    return true;
}

bool cancelJob(Scheduler &scheduler, const RequestKey &key, const Waiter &waiter, const Now &now, Actions &actions)
{
    JobEntry *job = findJob(scheduler.jobs, key);
    if (job == nullptr || job->phase == JobPhase::Leaving) {
        return false;
    }
    if (job->phase != JobPhase::Ended && !job->cancelled) {
        ++scheduler.counters.jobsCancelled;
        job->cancelled = true;
        job->store.dirty = true;
        job->answer.reason = "a stop was requested";
        stopJob(*job, "cancelled by the caller");
        lookAt(scheduler.jobs, key, *job, now.monotonic);
    }
    sendAnswer(waiter, job->answer, actions);
    return true;
}

std::optional<bool> onJobUpdate(Scheduler &scheduler, const TaskUpdateMessage &update, const Now &now, Actions &actions)
{
    const RequestKey key = update.task.job;
    if (findJob(scheduler.jobs, key) != nullptr) {
        if (update.progress == TaskProgress::Running || update.progress == TaskProgress::Done) {
            // Found by an owner after it was queued again.
            removeQueued(scheduler, update.task);
        }
        return updateJobTask(scheduler.jobs, update, contextOf(scheduler, key), now);
    }
    const bool ends = update.progress == TaskProgress::Done || update.progress == TaskProgress::Failed
        || update.progress == TaskProgress::Stopped;
    if (!ends || scheduler.requests.entries.contains(key)) {
        return std::nullopt;
    }
    if (homeOf(scheduler.membership, partitionOf(key)) != scheduler.membership.options.self.name) {
        return update.task.index == 0 ? std::nullopt : std::optional(false);
    }
    // An end must not be forgotten before it is known that no job in the store needs it.
    if (!probeJob(scheduler.jobs, key, now, actions)) {
        if (update.task.index == 0) {
            // Of use only if it is a request: the journal ignores the outcome of a key that it doesn't have.
            onRequestUpdate(scheduler, update, now, actions);
        }
        return false;
    }
    return update.task.index == 0 ? std::nullopt : std::optional(true);
}

void onJobStoreReply(Scheduler &scheduler, const StoreReply &reply, const Now &now, Actions &actions)
{
    onJobReply(scheduler.jobs, scheduler.requests.options, reply, now, actions);
}

bool lookUpJob(
    Scheduler &scheduler, std::string_view from, const LookupMessage &message, const Now &now, Actions &actions)
{
    LookupReplyMessage reply{.exchange = message.exchange, .key = message.key, .status = LookupStatus::NotReady};
    JobEntry *job = findJob(scheduler.jobs, message.key);
    if (job != nullptr && (job->phase != JobPhase::Ended || job->store.dirty)) {
        // Another daemon holds the record or is about to: read it before more tasks are queued.
        job->store.readBack = job->phase != JobPhase::Leaving;
        lookAt(scheduler.jobs, message.key, *job, now.monotonic);
        actions.push_back(SendToPeer{.peer = std::string(from), .message = std::move(reply)});
        return true;
    }
    const std::vector<TaskId> tasks = tasksOnWorkers(scheduler, message.key);
    const auto &pending = scheduler.taskUpdates.pending;
    auto ended = pending.lower_bound({.job = message.key, .index = 0});
    const bool hasEnded = ended != pending.end() && ended->first.job == message.key;
    if (tasks.empty() && (!hasEnded || scheduler.requests.entries.contains(message.key))) {
        return false;
    }
    for (const TaskId &id : tasks) {
        const TaskEntry &task = scheduler.cell.tasks.at(id);
        actions.push_back(SendToPeer{.peer = std::string(from),
            .message = TaskUpdateMessage{.task = id,
                .progress = TaskProgress::Running,
                .worker = scheduler.cell.workers[task.worker].name,
                .startCount = task.startCount}});
    }
    for (; ended != pending.end() && ended->first.job == message.key; ++ended) {
        actions.push_back(SendToPeer{.peer = std::string(from), .message = ended->second.update});
    }
    reply.status = isRebuilding(scheduler) ? LookupStatus::NotReady : LookupStatus::OnWorker;
    actions.push_back(SendToPeer{.peer = std::string(from), .message = std::move(reply)});
    return true;
}

bool onJobLookupReply(Scheduler &scheduler, std::string_view from, const LookupReplyMessage &message, const Now &now)
{
    JobEntry *job = findJob(scheduler.jobs, message.key);
    if (job == nullptr) {
        return false;
    }
    // An answer from before the former owners' leases ended says nothing about the workers taken over later.
    const bool inTime = now.monotonic - job->since >= scheduler.jobs.options.takeoverWait;
    if (job->phase == JobPhase::Locating && inTime && message.status != LookupStatus::NotReady) {
        job->located.emplace(from);
        lookAt(scheduler.jobs, message.key, *job, now.monotonic);
    }
    return true;
}

void tickJobs(Scheduler &scheduler, const Now &now, Actions &actions)
{
    JobTable &jobs = scheduler.jobs;
    jobs.callsLeft = jobs.options.callsPerTick;
    jobs.tasksLeft = jobs.options.tasksPerTick;
    checkPartitions(scheduler, now);
    pumpJobLists(jobs, now, actions);
    for (std::size_t taken = 0; taken < listedPerTick && !jobs.listed.empty(); ++taken) {
        const StoreEntry stored = std::move(jobs.listed.front());
        jobs.listed.pop_front();
        takeStoredJob(jobs, stored, now, actions);
    }
    for (const RequestKey &key : takeDueJobs(jobs, now.monotonic)) {
        lookAtJob(scheduler, key, now, actions);
    }
    scheduler.counters.jobsAccepted = jobs.counts.accepted;
    scheduler.counters.jobsEnded = jobs.counts.ended;
    scheduler.counters.jobsTakenOver = jobs.counts.takenOver;
    scheduler.counters.jobsHandedOver = jobs.counts.handedOver;
    scheduler.counters.jobWrites = jobs.counts.writes;
    scheduler.counters.refusedForMemory
        = scheduler.requests.memory.refused + jobs.memory.refused + scheduler.forwards.memory.refused;
}

bool drainJobs(Scheduler &scheduler, const Now &now)
{
    JobTable &jobs = scheduler.jobs;
    if (jobs.drainSince == MonotonicTime::max()) {
        jobs.drainSince = now.monotonic;
    }
    bool written = true;
    for (auto &[key, job] : jobs.entries) {
        const bool due = job.phase != JobPhase::Leaving && (job.store.dirty || job.store.call != JobCall::None);
        if (due) {
            written = false;
            job.store.nextWrite = std::min(job.store.nextWrite, now.monotonic);
            lookAt(jobs, key, job, now.monotonic);
        }
    }
    return written || now.monotonic - jobs.drainSince >= scheduler.requestDrain.flushLimit;
}

} // namespace wigeonkeel

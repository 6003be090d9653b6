#include "core/protocol/jobs.h"

#include "core/routing/backoff.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

/// Delay before a task that was refused or stopped is queued again.
constexpr BackoffOptions returnBackoff = {.base = milliseconds(200), .max = milliseconds(10000)};
/// Delay before a service is started again: one that ends at once must not fill the cell with starts.
constexpr BackoffOptions serviceBackoff = {.base = milliseconds(2000), .max = milliseconds(60000)};

/// Bounds the record when very many tasks fail. A new home counts the attempts of the others from 0.
constexpr std::size_t maxStoredAttempts = 5000;

/// The entry, its places in the indices, and its record while it is written.
constexpr std::size_t entryBytes = sizeof(JobEntry) + 1024;
/// A task and its place in one of the job's sets.
constexpr std::size_t openTaskBytes = sizeof(JobTask) + 48;

std::size_t bytesOf(const JobOptions &options, const JobEntry &job)
{
    if (job.phase != JobPhase::Ended) {
        return submittedJobBytes(options, job.submission) + job.resultBytes;
    }
    return entryBytes + submittedBytes(job.submission) + job.tasks.size() * sizeof(JobTask) + job.resultBytes
        + job.answer.result.size();
}

bool isUnderWay(const JobTask &task)
{
    return task.state == JobTaskState::Queued || task.state == JobTaskState::Started;
}

bool hasEnded(const JobTask &task)
{
    return task.state == JobTaskState::Done || task.state == JobTaskState::Failed;
}

/// An update about an earlier start says nothing about the present one. An owner that found the task on its worker
/// knows the worker only.
bool isStale(const JobTask &task, const TaskUpdateMessage &update)
{
    if (update.startCount != 0) {
        return update.startCount < task.startCount;
    }
    return task.worker != 0 && task.worker != stableHash(update.worker);
}

void putBack(JobEntry &job, std::uint32_t index, MonotonicTime notBefore, MonotonicTime now)
{
    JobTask &task = job.tasks[index];
    task.state = JobTaskState::Waiting;
    task.worker = 0;
    job.underWay.erase(index);
    if (notBefore > now) {
        job.delayed.emplace(notBefore, index);
    } else {
        job.ready.insert(index);
    }
}

void setStarted(JobEntry &job, std::uint32_t index)
{
    JobTask &task = job.tasks[index];
    job.mayHaveStarted = true;
    if (hasEnded(task)) {
        return;
    }
    if (task.state == JobTaskState::Waiting) {
        // Found running by an owner: taken out of those that are to be queued.
        job.ready.erase(index);
        std::erase_if(job.delayed, [index](const auto &item) { return item.second == index; });
    }
    task.state = JobTaskState::Started;
    job.underWay.insert(index);
}

void keepResult(const JobOptions &options, JobEntry &job, std::uint32_t index, std::string_view result)
{
    if (job.resultsOmitted) {
        return;
    }
    job.resultBytes += result.size() + 1;
    if (job.resultBytes > options.resultLimit) {
        job.resultsOmitted = true;
        job.results.clear();
        return;
    }
    if (!result.empty()) {
        job.results.insert_or_assign(index, std::string(result));
    }
}

void endTask(JobEntry &job, std::uint32_t index, JobTaskState state)
{
    job.tasks[index].state = state;
    job.underWay.erase(index);
    job.ready.erase(index);
    job.failures.erase(index);
    ++(state == JobTaskState::Done ? job.doneCount : job.failedCount);
    job.store.unsaved.push_back(index);
    job.store.dirty = true;
}

std::string joinResults(const JobEntry &job)
{
    if (job.resultsOmitted) {
        return fmt::format("{} results", job.doneCount);
    }
    std::string text;
    std::uint32_t next = 0;
    for (const auto &[index, result] : job.results) {
        text.append(index - next, '\n');
        text += result;
        next = index;
    }
    if (!job.results.empty()) {
        text.append(job.tasks.size() - 1 - next, '\n');
    }
    return text;
}

void takeFailure(JobEntry &job, const TaskUpdateMessage &update, const JobUpdateContext &context, const Now &now)
{
    const std::uint32_t index = update.task.index;
    JobFailures &failures = job.failures[index];
    const JobVerdict verdict = noteJobFailure(failures, stableHash(update.worker), context.maxAttempts, now.monotonic);
    if (verdict == JobVerdict::GiveUp) {
        if (job.firstFailure.empty()) {
            job.firstFailure = fmt::format("task {}: {}", index, update.detail);
        }
        endTask(job, index, JobTaskState::Failed);
        return;
    }
    job.store.dirty = true;
    putBack(job, index, failures.notBefore, now.monotonic);
}

void putBackLater(
    JobEntry &job, std::uint32_t index, const BackoffOptions &backoff, const JobUpdateContext &context, const Now &now)
{
    JobTask &task = job.tasks[index];
    const milliseconds delay = backoffDelay(backoff, task.returns, *context.random);
    ++task.returns;
    // At least the base, because full jitter may give almost no delay.
    putBack(job, index, now.monotonic + std::max(delay, backoff.base), now.monotonic);
}

void setAnswer(JobEntry &job, Outcome outcome, std::string reason)
{
    job.answer = {.outcome = outcome, .reason = std::move(reason), .result = joinResults(job)};
    job.answer.digest = digestOf(job.answer.result);
}

bool takeEnd(
    JobTable &table, JobEntry &job, const TaskUpdateMessage &update, const JobUpdateContext &context, const Now &now)
{
    const std::uint32_t index = update.task.index;
    JobTask &task = job.tasks[index];
    setStarted(job, index);
    if (job.submission.kind == TaskKind::Service) {
        putBackLater(job, index, serviceBackoff, context, now);
        return true;
    }
    if (update.progress == TaskProgress::Done) {
        endTask(job, index, JobTaskState::Done);
        keepResult(table.options, job, index, update.result);
        charge(table.memory, job.bytes, bytesOf(table.options, job));
        // The owner keeps the result until the record shows the end.
        return false;
    }
    if (update.progress == TaskProgress::Failed) {
        takeFailure(job, update, context, now);
        return !hasEnded(task);
    }
    putBackLater(job, index, returnBackoff, context, now);
    return true;
}

} // namespace

JobEntry *findJob(JobTable &table, const RequestKey &key)
{
    const auto found = table.entries.find(key);
    return found == table.entries.end() ? nullptr : &found->second;
}

void lookAt(JobTable &table, const RequestKey &key, JobEntry &job, MonotonicTime at)
{
    if (at >= job.nextLook) {
        return;
    }
    table.looks.erase({job.nextLook, key});
    job.nextLook = at;
    table.looks.emplace(at, key);
}

std::vector<RequestKey> takeDueJobs(JobTable &table, MonotonicTime now)
{
    std::vector<RequestKey> due;
    while (!table.looks.empty() && table.looks.begin()->first <= now && due.size() < table.options.looksPerTick) {
        due.push_back(table.looks.begin()->second);
        table.looks.erase(table.looks.begin());
        table.entries.at(due.back()).nextLook = MonotonicTime::max();
    }
    return due;
}

std::size_t submittedJobBytes(const JobOptions &options, const Submission &submission)
{
    // Each task under way has a copy of the payload beside those of the entry and of the record, which holds it in
    // hexadecimal digits.
    const std::size_t underWay = std::min(submission.taskCount, options.maxUnderWay);
    return entryBytes + submittedBytes(submission) + submission.payload.size() * underWay
        + submission.taskCount * openTaskBytes;
}

JobEntry &addJob(JobTable &table, const Submission &submission, const Now &now)
{
    const RequestKey key = makeRequestKey(submission.operatorName, submission.id);
    JobEntry &job = table.entries[key];
    job.submission = submission;
    job.tasks.resize(submission.taskCount);
    for (std::uint32_t index = 0; index < submission.taskCount; ++index) {
        job.ready.insert(job.ready.end(), index);
    }
    job.since = now.monotonic;
    job.store.dirty = true;
    charge(table.memory, job.bytes, bytesOf(table.options, job));
    return job;
}

JobEntry &loadJob(
    JobTable &table, const RequestKey &key, const JobRecord &record, std::uint64_t version, const Now &now)
{
    JobEntry fresh;
    JobEntry &job = table.entries[key];
    // Those who wait and the place among the looks outlive a reload.
    std::swap(fresh.waiting, job.waiting);
    fresh.nextLook = job.nextLook;
    fresh.bytes = job.bytes;
    job = std::move(fresh);
    job.submission = record.submission;
    job.cancelled = record.cancelled;
    job.mayHaveStarted = true;
    job.results = record.results;
    job.resultsOmitted = record.resultsOmitted;
    job.since = now.monotonic;
    job.store.version = version;
    job.tasks.resize(record.submission.taskCount);
    for (std::uint32_t index = 0; index < record.submission.taskCount; ++index) {
        JobTask &task = job.tasks[index];
        task.saved = record.done[index] || record.failed[index];
        task.state = record.done[index] ? JobTaskState::Done
            : record.failed[index]      ? JobTaskState::Failed
                                        : JobTaskState::Waiting;
        job.doneCount += record.done[index] ? 1 : 0;
        job.failedCount += record.failed[index] ? 1 : 0;
        if (!task.saved) {
            job.ready.insert(job.ready.end(), index);
        }
    }
    for (const auto &[index, attempts] : record.attempts) {
        job.failures[index].attempts = attempts;
    }
    for (const auto &[index, result] : record.results) {
        job.resultBytes += result.size() + 1;
    }
    if (record.ended) {
        job.phase = JobPhase::Ended;
        job.answer = record.answer;
        job.endedAt = record.endedAt;
        charge(table.memory, job.bytes, bytesOf(table.options, job));
        return job;
    }
    charge(table.memory, job.bytes, bytesOf(table.options, job));
    job.phase = JobPhase::TakingOver;
    job.store.dirty = true;
    if (record.cancelled) {
        stopJob(job, "cancelled by the caller");
    }
    return job;
}

JobRecord recordOf(const JobTable &table, const JobEntry &job)
{
    JobRecord record{.submission = job.submission,
        .holder = table.options.holder,
        .cancelled = job.cancelled,
        .ended = job.phase == JobPhase::Ended,
        .endedAt = job.endedAt,
        .answer = job.answer,
        .resultsOmitted = job.resultsOmitted};
    if (!record.ended) {
        record.results = job.results;
    }
    for (const JobTask &task : job.tasks) {
        record.done.push_back(task.state == JobTaskState::Done);
        record.failed.push_back(task.state == JobTaskState::Failed);
    }
    for (const auto &[index, failures] : job.failures) {
        if (record.attempts.size() == maxStoredAttempts) {
            break;
        }
        record.attempts.emplace(index, failures.attempts);
    }
    return record;
}

void dropJob(JobTable &table, const RequestKey &key)
{
    const auto found = table.entries.find(key);
    if (found == table.entries.end()) {
        return;
    }
    table.looks.erase({found->second.nextLook, key});
    table.calls.erase(found->second.store.callId);
    for (const Waiter &waiter : found->second.waiting) {
        table.callers.erase(waiter.caller);
    }
    charge(table.memory, found->second.bytes, 0);
    table.entries.erase(found);
}

void joinJob(JobTable &table, const RequestKey &key, JobEntry &job, const Waiter &waiter, Actions &actions)
{
    const bool undecided = job.phase == JobPhase::Recording;
    if (job.phase == JobPhase::Ended || (!waiter.wait && !undecided)) {
        sendAnswer(waiter, job.answer, actions);
        return;
    }
    // A peer that polls for the answer sends the same exchange again.
    if (!waiter.peer.empty() && std::ranges::any_of(job.waiting, [&](const Waiter &known) {
            return known.peer == waiter.peer && known.exchange == waiter.exchange;
        })) {
        return;
    }
    job.waiting.push_back(waiter);
    if (waiter.peer.empty()) {
        table.callers.insert_or_assign(waiter.caller, key);
    }
}

void answerJobWaiters(JobTable &table, JobEntry &job, const Answer &answer, Actions &actions)
{
    std::erase_if(job.waiting, [&](const Waiter &waiter) {
        if (waiter.wait && answer.outcome == Outcome::Running) {
            return false;
        }
        table.callers.erase(waiter.caller);
        sendAnswer(waiter, answer, actions);
        return true;
    });
}

void dropCaller(JobTable &table, CallerToken caller)
{
    const auto found = table.callers.find(caller);
    if (found == table.callers.end()) {
        return;
    }
    if (JobEntry *job = findJob(table, found->second)) {
        std::erase_if(
            job->waiting, [caller](const Waiter &waiter) { return waiter.peer.empty() && waiter.caller == caller; });
    }
    table.callers.erase(found);
}

void acceptJob(JobTable &table, const RequestKey &key, JobEntry &job, const Now &now, Actions &actions)
{
    job.phase = JobPhase::Running;
    ++table.counts.accepted;
    answerJobWaiters(table, job, job.answer, actions);
    lookAt(table, key, job, now.monotonic);
}

std::vector<std::uint32_t> takeReadyTasks(JobTable &table, JobEntry &job, MonotonicTime now)
{
    const JobOptions &options = table.options;
    while (!job.delayed.empty() && job.delayed.begin()->first <= now) {
        job.ready.insert(job.delayed.begin()->second);
        job.delayed.erase(job.delayed.begin());
    }
    std::vector<std::uint32_t> taken;
    const std::size_t room = options.maxUnderWay - std::min<std::size_t>(options.maxUnderWay, job.underWay.size());
    std::size_t limit = std::min({options.tasksPerLook, table.tasksLeft, room});
    if (job.submission.kind == TaskKind::Gang) {
        const bool together = job.underWay.empty() && job.delayed.empty();
        limit = together ? job.ready.size() : 0;
    }
    while (!job.ready.empty() && taken.size() < limit) {
        const std::uint32_t index = *job.ready.begin();
        job.ready.erase(job.ready.begin());
        job.tasks[index].state = JobTaskState::Queued;
        ++job.tasks[index].startCount;
        job.underWay.insert(index);
        taken.push_back(index);
    }
    table.tasksLeft -= std::min(table.tasksLeft, taken.size());
    return taken;
}

TaskSpec jobTaskSpec(const RequestKey &key, const JobEntry &job, std::uint32_t index)
{
    const Submission &submission = job.submission;
    // No home: updates go to the home of the partition, also after a takeover.
    return {.id = {.job = key, .index = index},
        .label = {.operatorName = submission.operatorName,
            .team = submission.team,
            .workload = submission.workload,
            .home = {},
            .kind = submission.kind,
            .urgency = submission.urgency,
            .idempotent = true},
        .size = submission.size,
        .payload = submission.payload,
        .declaredRunTime = submission.declaredRunTime,
        .startCount = std::max(job.tasks[index].startCount, 1U)};
}

bool updateJobTask(JobTable &table, const TaskUpdateMessage &update, const JobUpdateContext &context, const Now &now)
{
    JobEntry *job = findJob(table, update.task.job);
    if (job == nullptr || job->phase == JobPhase::Leaving || job->phase == JobPhase::Recording) {
        return false;
    }
    const std::uint32_t index = update.task.index;
    if (index >= job->tasks.size()) {
        return true;
    }
    JobTask &task = job->tasks[index];
    if (hasEnded(task)) {
        return task.saved;
    }
    if (job->phase == JobPhase::Ended) {
        return true;
    }
    lookAt(table, update.task.job, *job, now.monotonic);
    const bool runs = update.progress == TaskProgress::Sent || update.progress == TaskProgress::Running;
    if (runs) {
        setStarted(*job, index);
        task.worker = stableHash(update.worker);
        return true;
    }
    if (update.progress == TaskProgress::Done) {
        return takeEnd(table, *job, update, context, now);
    }
    if (isStale(task, update)) {
        return true;
    }
    if (update.progress == TaskProgress::Failed || update.progress == TaskProgress::Stopped) {
        return takeEnd(table, *job, update, context, now);
    }
    if (!isUnderWay(task)) {
        return true;
    }
    job->mayHaveStarted = job->mayHaveStarted || update.progress == TaskProgress::Lost;
    putBackLater(*job, index, returnBackoff, context, now);
    if (update.progress == TaskProgress::Refused && context.fitsNoWorker) {
        stopJob(*job, update.detail);
    }
    return true;
}

void noteTakenBack(JobEntry &job, std::uint32_t index)
{
    job.tasks[index].state = JobTaskState::Waiting;
    job.underWay.erase(index);
}

void stopJob(JobEntry &job, std::string_view reason)
{
    if (!job.stopReason) {
        job.stopReason = std::string(reason);
    }
}

void settleJob(JobTable &table, JobEntry &job, const Now &now, Actions &actions)
{
    if (job.phase != JobPhase::Running) {
        return;
    }
    if (job.stopReason && job.underWay.empty()) {
        setAnswer(job, job.mayHaveStarted ? Outcome::Failed : Outcome::NotRun, *job.stopReason);
    } else if (job.doneCount + job.failedCount == job.tasks.size()) {
        const bool failed = job.failedCount > 0;
        setAnswer(job, failed ? Outcome::Failed : Outcome::Done,
            failed ? fmt::format("{} of {} tasks failed; {}", job.failedCount, job.tasks.size(), job.firstFailure)
                   : std::string());
    } else {
        return;
    }
    job.phase = JobPhase::Ended;
    ++table.counts.ended;
    job.endedAt = now.wall;
    job.ready.clear();
    job.delayed.clear();
    charge(table.memory, job.bytes, bytesOf(table.options, job));
    job.store.dirty = true;
    job.store.nextWrite = now.monotonic;
    answerJobWaiters(table, job, job.answer, actions);
}

} // namespace wigeonkeel

#include "core/dispatch/task_runs.h"

#include "core/dispatch/records.h"
#include "core/dispatch/run_speed.h"
#include "core/dispatch/tenant_state.h"
#include "core/log.h"

#include <algorithm>
#include <array>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::string_view logPart = "dispatch";
/// A start that reaches the worker later than this is refused as late, so that an unanswered start is resolved
/// soon.
constexpr milliseconds startWindow{2000};
constexpr milliseconds firstRenewalDelay{100};
/// Delay before a task whose run was lost or aborted is placed again.
constexpr milliseconds retryDelay{50};
/// All changes within this time are stored in one record of progress.
constexpr milliseconds progressDelay{40};

std::string_view endName(RunEnd end)
{
    constexpr std::array<std::string_view, 6> names
        = {"done", "failed", "stopped", "lease expired", "gang broken", "gang incomplete"};
    return names.at(static_cast<std::size_t>(end));
}

void sendStart(Dispatcher &dispatcher, WorkerSlot slot, const TaskKey &key, Run &run, const TaskPlace &place)
{
    Worker &worker = dispatcher.workers.workers[slot];
    const auto allowance = place.step->allowed.find(slot);
    StartRun order{.call = dispatcher.outbox->newCall(),
        .worker = targetOf(worker),
        .task = key,
        .attempt = run.attempt,
        .payload = place.job->record.spec.payload,
        .checkpoint = place.task->checkpoint,
        .ticket = allowance == place.step->allowed.end() ? std::string() : allowance->second.ticket,
        .fencingToken = dispatcher.token,
        .leaseUntil = run.latestStart,
        .timeout = orderTimeout(dispatcher.orderLatency)};
    worker.startLease = std::max(worker.startLease, run.latestStart);
    worker.requestedLease = std::max(worker.requestedLease, run.latestStart);
    run.startCallOpen = true;
    dispatcher.orders.emplace(order.call,
        OpenOrder{.isStart = true,
            .worker = slot,
            .incarnation = worker.entry.incarnation,
            .task = key,
            .attempt = run.attempt,
            .token = dispatcher.token,
            .sentAt = run.orderedAt,
            .clock = worker.clock});
    ++dispatcher.counters.startsOrdered;
    dispatcher.outbox->add(std::move(order));
}

void markDone(TaskPlace place)
{
    Task &task = *place.task;
    if (task.phase == TaskPhase::Done) {
        return;
    }
    place.step->waiting -= task.phase == TaskPhase::Waiting ? 1 : 0;
    task.phase = TaskPhase::Done;
    --place.step->remaining;
}

void finishStep(Dispatcher &dispatcher, const TaskPlace &place, const StepKey &key, Now now)
{
    Job &job = *place.job;
    Occurrence *occurrence = findOccurrence(job, key.occurrence);
    dropPlan(dispatcher, *place.job, *place.spec, *place.step);
    compareStepSpeeds(dispatcher, *place.step, now.monotonic);
    place.step->allowed.clear();
    if (--occurrence->stepsLeft > 0) {
        openSteps(job.record.spec, *occurrence);
        return;
    }
    ++job.occurrencesDone;
    if (job.occurrencesDone >= std::max(1U, job.record.spec.repeatCount)) {
        endJob(dispatcher, job, JobState::Done, now);
        return;
    }
    if (job.record.spec.repeatCount > 0) {
        // Late lists then show its tasks as unknown runs. nextOccurrence ensures that the number is not used again.
        std::erase_if(job.occurrences, [&key](const Occurrence &each) { return each.number == key.occurrence; });
        updateCharge(dispatcher.jobMemory, dispatcher.tenants, job);
    }
}

void handleDone(Dispatcher &dispatcher, const TaskPlace &place, const TaskKey &key, std::uint32_t attempt, Now now)
{
    if (place.step->remaining == 0) {
        return;
    }
    if (place.spec->gang) {
        // The members end together; the ends of the others are listed by their workers and free their room. A later
        // attempt is not needed any more.
        for (std::uint32_t index = 0; index < place.step->tasks.size(); ++index) {
            Task &member = place.step->tasks[index];
            if (attempt != place.step->gangAttempt && member.phase == TaskPhase::Assigned) {
                stopRun(dispatcher, member.worker, {.step = key.step, .index = index}, now.monotonic);
            }
            markDone({.job = place.job, .spec = place.spec, .step = place.step, .task = &member});
        }
    } else {
        if (place.task->phase == TaskPhase::Assigned) {
            Worker &worker = dispatcher.workers.workers[place.task->worker];
            if (worker.runs.contains(key)) {
                stopRun(dispatcher, place.task->worker, key, now.monotonic);
            }
        }
        markDone(place);
    }
    if (place.step->remaining == 0) {
        finishStep(dispatcher, place, key.step, now);
    }
}

/// Counts the failure and fails the job if it was the last attempt.
void handleFailure(Dispatcher &dispatcher, const TaskPlace &place, const TaskKey &key, std::uint32_t attempt, Now now)
{
    const std::uint32_t limit = queueOf(dispatcher, *place.job).maxAttempts;
    std::vector<std::uint32_t> &failed = place.spec->gang ? place.step->gangFailedAttempts : place.task->failedAttempts;
    if (std::ranges::find(failed, attempt) == failed.end()) {
        failed.push_back(attempt);
    }
    logLine(LogLevel::Info, logPart, "Run failed. task={} attempt={} failures={} limit={}", formatTaskKey(key), attempt,
        failed.size(), limit);
    if (failed.size() >= limit && !place.spec->longRunning) {
        endJob(dispatcher, *place.job, JobState::Failed, now);
    }
}

} // namespace

TaskPlace findTask(Dispatcher &dispatcher, const TaskKey &key)
{
    Job *job = findJob(dispatcher.jobs, key.step.job);
    if (job == nullptr || isEnded(job->state)) {
        return {};
    }
    StepRun *step = findStep(*job, key.step);
    if (step == nullptr || key.index >= step->tasks.size()) {
        return {};
    }
    return {.job = job, .spec = &job->record.spec.steps[key.step.step], .step = step, .task = &step->tasks[key.index]};
}

const QueueConfig &queueOf(const Dispatcher &dispatcher, const Job &job)
{
    const QueueConfig *queue = findQueueByName(dispatcher.configuration, job.record.queue.name);
    return queue == nullptr ? job.record.queue : *queue;
}

Run makeRun(const Dispatcher &dispatcher, const TaskPlace &place, MonotonicTime now)
{
    return {.size = chargedSize(*place.spec),
        .tenant = place.job->tenant,
        .tenantSize = chargedSize(*place.spec),
        .orderedAt = now,
        .priority = queueOf(dispatcher, *place.job).priority,
        .preemptible = !place.spec->gang && !place.spec->longRunning,
        .isExcess = place.job->record.isExcess,
        .checkpointed = place.spec->checkpointed,
        .startedAt = now};
}

void setWaiting(TaskPlace place, MonotonicTime notBefore)
{
    if (place.task->phase == TaskPhase::Assigned) {
        place.task->phase = TaskPhase::Waiting;
        ++place.step->waiting;
    }
    place.task->worker = noWorker;
    place.task->notBefore = notBefore;
}

void startTask(Dispatcher &dispatcher, const TaskPlace &place, const TaskKey &key, WorkerSlot slot, MonotonicTime now)
{
    Worker &worker = dispatcher.workers.workers[slot];
    Task &task = *place.task;
    task.attempt = place.spec->gang ? place.step->gangAttempt : task.attempt + 1;
    task.phase = TaskPhase::Assigned;
    task.worker = slot;
    task.percent = 0;
    task.startedAt = now;
    task.progressAt = now;
    --place.step->waiting;
    place.job->idleSince.reset();
    Run run = makeRun(dispatcher, place, now);
    run.attempt = task.attempt;
    run.latestStart = workerClockNow(worker, now) + startWindow;
    chargeRun(worker, dispatcher.tenants, key, run);
    sendStart(dispatcher, slot, key, worker.runs[key], place);
    // A worker that was idle gets a renewal soon; the lease that came with the start lasts longer than the delay.
    worker.nextRenewal = std::min(worker.nextRenewal, now + firstRenewalDelay);
    logLine(LogLevel::Info, logPart,
        "Start ordered. task={} attempt={} worker={} incarnation={} token={} checkpoint={} free_cpu={} "
        "longest_lease_ms={} queue={}",
        formatTaskKey(key), task.attempt, worker.entry.id, worker.entry.incarnation, dispatcher.token,
        task.checkpoint.empty() ? "none" : task.checkpoint, freeRoom(worker).cpuMilli,
        (worker.requestedLease - workerClockNow(worker, now)).count(), place.job->record.queue.name);
}

void stopRun(Dispatcher &dispatcher, WorkerSlot slot, const TaskKey &key, MonotonicTime now)
{
    Worker &worker = dispatcher.workers.workers[slot];
    const auto found = worker.runs.find(key);
    if (found == worker.runs.end() || found->second.stopCallOpen) {
        return;
    }
    Run &run = found->second;
    run.phase = RunPhase::Stopping;
    run.stopCallOpen = true;
    run.orderedAt = now;
    StopRun order{.call = dispatcher.outbox->newCall(),
        .worker = targetOf(worker),
        .task = key,
        .attempt = run.attempt,
        .fencingToken = dispatcher.token,
        .timeout = orderTimeout(dispatcher.orderLatency)};
    dispatcher.orders.emplace(order.call,
        OpenOrder{.isStart = false,
            .worker = slot,
            .incarnation = worker.entry.incarnation,
            .task = key,
            .attempt = run.attempt,
            .token = dispatcher.token,
            .sentAt = now,
            .clock = worker.clock});
    dispatcher.outbox->add(std::move(order));
    worker.nextRenewal = std::min(worker.nextRenewal, now);
    logLine(LogLevel::Info, logPart, "Stop ordered. task={} attempt={} worker={}", formatTaskKey(key), run.attempt,
        worker.entry.id);
}

namespace
{

void stopAssigned(Dispatcher &dispatcher, const StepRun &step, const StepKey &key, MonotonicTime now)
{
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        if (step.tasks[index].phase == TaskPhase::Assigned) {
            stopRun(dispatcher, step.tasks[index].worker, {.step = key, .index = index}, now);
        }
    }
}

} // namespace

void abortGang(Dispatcher &dispatcher, const TaskPlace &place, const StepKey &key, MonotonicTime now)
{
    StepRun &step = *place.step;
    if (step.gangAborting || step.remaining == 0) {
        return;
    }
    step.gangAborting = true;
    ++dispatcher.counters.gangsAborted;
    logLine(LogLevel::Info, logPart, "Gang aborted. step={} attempt={} members={}", formatStepKey(key),
        step.gangAttempt, step.tasks.size());
    stopAssigned(dispatcher, step, key, now);
}

namespace
{

/// Once the last member is released, the gang may be placed again.
void finishGangAbort(const TaskPlace &place, MonotonicTime notBefore)
{
    if (place.step->waiting == place.step->tasks.size()) {
        place.step->gangAborting = false;
        place.step->notBefore = notBefore;
    }
}

void release(
    Dispatcher &dispatcher, const TaskPlace &place, const TaskKey &key, MonotonicTime notBefore, MonotonicTime now)
{
    setWaiting(place, notBefore);
    if (place.spec->gang) {
        abortGang(dispatcher, place, key.step, now);
        finishGangAbort(place, notBefore);
    }
}

void removeRun(Dispatcher &dispatcher, Worker &worker, const TaskKey &key)
{
    const bool wasUnknown = worker.runs.at(key).unknown;
    releaseRun(worker, dispatcher.tenants, key);
    dispatcher.placementDue = true;
    const TaskPlace place = findTask(dispatcher, key);
    // A run that was listed before its task existed was not counted.
    if (wasUnknown && place && place.task->unknownRuns > 0) {
        --place.task->unknownRuns;
    }
}

} // namespace

void dropRun(Dispatcher &dispatcher, WorkerSlot slot, const TaskKey &key, MonotonicTime notBefore, MonotonicTime now)
{
    Worker &worker = dispatcher.workers.workers[slot];
    const auto run = worker.runs.find(key);
    if (run == worker.runs.end()) {
        return;
    }
    const std::uint32_t attempt = run->second.attempt;
    removeRun(dispatcher, worker, key);
    const TaskPlace place = findTask(dispatcher, key);
    if (place && place.task->phase == TaskPhase::Assigned && place.task->worker == slot
        && place.task->attempt == attempt) {
        release(dispatcher, place, key, notBefore, now);
    }
}

void concludeRun(Dispatcher &dispatcher, const TaskKey &key, const EndedTask &ended, WorkerSlot slot, Now now)
{
    Worker &worker = dispatcher.workers.workers[slot];
    const auto run = worker.runs.find(key);
    const TaskPlace place = findTask(dispatcher, key);
    if (run != worker.runs.end() && run->second.attempt == ended.attempt) {
        if (place && ended.end == RunEnd::Done) {
            recordSpeedEnd(dispatcher, place, run->second, slot, now.monotonic);
        }
        removeRun(dispatcher, worker, key);
    }
    logLine(LogLevel::Info, logPart, "Run ended. task={} attempt={} worker={} end={} number={}", formatTaskKey(key),
        ended.attempt, worker.entry.id, endName(ended.end), ended.number);
    if (!place || place.task->phase == TaskPhase::Done) {
        if (ended.end == RunEnd::Done) {
            recordSuccess(worker.health);
        }
        return;
    }
    const bool isCurrentRun = place.task->phase == TaskPhase::Assigned && place.task->worker == slot
        && place.task->attempt == ended.attempt;
    const bool isUnknownRun = place.task->phase == TaskPhase::Waiting && ended.attempt >= place.task->attempt;
    if (!ended.checkpoint.empty() && (isCurrentRun || isUnknownRun)) {
        place.task->checkpoint = ended.checkpoint;
        if (place.spec->gang) {
            for (Task &member : place.step->tasks) {
                member.checkpoint = ended.checkpoint;
            }
        }
    }
    if (!place.job->progressChanged) {
        place.job->progressChanged = true;
        place.job->commitAfter = now.monotonic + progressDelay;
    }
    dispatcher.unstoredJobs.insert(place.job->record.id);
    switch (ended.end) {
    case RunEnd::Done:
        ++dispatcher.counters.runsDone;
        recordSuccess(worker.health);
        if (!place.spec->longRunning) {
            handleDone(dispatcher, place, key, ended.attempt, now);
            return;
        }
        break;
    case RunEnd::Failed:
        ++dispatcher.counters.runsFailed;
        if (isWorkerSuspect(*place.job, *place.spec, *place.step, *place.task, slot)) {
            recordFailure(dispatcher.workers, slot, 1.0, now.monotonic);
        }
        place.task->failedOn = slot;
        place.task->attempt = std::max(place.task->attempt, ended.attempt);
        handleFailure(dispatcher, place, key, ended.attempt, now);
        if (isEnded(place.job->state)) {
            return;
        }
        break;
    case RunEnd::Stopped:
    case RunEnd::LeaseExpired:
    case RunEnd::GangBroken:
    case RunEnd::GangAlone:
        ++dispatcher.counters.runsLost;
        break;
    }
    if (isCurrentRun) {
        const bool endedItself = ended.end == RunEnd::Done || ended.end == RunEnd::Failed;
        const milliseconds delay = place.spec->longRunning && endedItself
            ? restartDelay(place.task->restarts, now.monotonic - place.task->startedAt)
            : retryDelay;
        release(dispatcher, place, key, now.monotonic + delay, now.monotonic);
    } else if (isUnknownRun) {
        place.task->attempt = ended.attempt;
        place.step->gangAttempt = std::max(place.step->gangAttempt, ended.attempt);
    }
}

void dropPlan(Dispatcher &dispatcher, const Job &job, const StepSpec &spec, StepRun &step)
{
    for (const PlannedPlace &planned : step.plan) {
        dispatcher.workers.workers[planned.worker].reserved -= chargedSize(spec);
        dispatcher.tenants.rows[job.tenant].planned -= chargedSize(spec);
    }
    step.plan.clear();
}

void endJob(Dispatcher &dispatcher, Job &job, JobState state, Now now)
{
    if (isEnded(job.state)) {
        return;
    }
    for (Occurrence &occurrence : job.occurrences) {
        for (std::uint32_t number = 0; number < occurrence.steps.size(); ++number) {
            StepRun &step = occurrence.steps[number];
            dropPlan(dispatcher, job, job.record.spec.steps[number], step);
            stopAssigned(dispatcher, step, {.job = job.record.id, .occurrence = occurrence.number, .step = number},
                now.monotonic);
        }
    }
    countRunsNotFoundAtEnd(dispatcher, job);
    job.state = state;
    job.commitAfter = now.monotonic;
    dispatcher.unstoredJobs.insert(job.record.id);
    std::erase_if(
        dispatcher.advisor.waiting, [&job](const AdviceRequest &request) { return request.step.job == job.record.id; });
    dispatcher.counters.jobsDone += state == JobState::Done ? 1 : 0;
    dispatcher.counters.jobsFailed += state == JobState::Failed ? 1 : 0;
    dispatcher.counters.jobsCancelled += state == JobState::Cancelled ? 1 : 0;
    const auto age = std::chrono::floor<milliseconds>(now.monotonic - job.submittedAt);
    logLine(LogLevel::Info, logPart, "Job ended. job={} queue={} state={} age_ms={} late={}",
        formatJobId(job.record.id), job.record.queue.name, stateName(state), age.count(), job.dueBy < now.monotonic);
    queueJobCommits(dispatcher, job, now);
}

void queueJobCommits(Dispatcher &dispatcher, Job &job, Now now)
{
    if (job.commitOpen || !job.accepted || job.endStored || job.commitAfter > now.monotonic) {
        return;
    }
    const JobId id = job.record.id;
    Commit commit{
        .tag = {.kind = CommitKind::Progress, .job = id}, .writes = {}, .deletes = {}, .queuedAt = now.monotonic};
    if (isEnded(job.state)) {
        commit.tag.kind = CommitKind::End;
        commit.writes.push_back({.key = endKey(id),
            .value = encodeEnd({.state = job.state,
                .endedAt = now.wall,
                .tenant = job.record.tenant,
                .stopping = chargedRuns(dispatcher, job)})});
        commit.deletes.push_back(jobKey(id));
        if (job.progressStored) {
            commit.deletes.push_back(progressKey(id));
        }
    } else if (job.progressChanged) {
        job.progressChanged = false;
        commit.writes.push_back({.key = progressKey(id), .value = encodeProgress(job)});
    } else {
        return;
    }
    job.commitOpen = true;
    std::ranges::move(job.unstoredEnds, std::back_inserter(job.endsBeingStored));
    job.unstoredEnds.clear();
    ++dispatcher.counters.commits;
    enqueue(dispatcher.commits, std::move(commit));
}

} // namespace wigeonkeel::dispatch

#include "core/dispatch/dispatcher.h"

#include "core/dispatch/client_access.h"
#include "core/dispatch/placement/unplaceable_steps.h"
#include "core/dispatch/records.h"
#include "core/dispatch/task_runs.h"
#include "core/dispatch/tenant_state.h"
#include "core/dispatch/worker_events.h"
#include "core/log.h"

#include <algorithm>
#include <utility>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::string_view logPart = "dispatch";
/// Interval at which the runs of all workers are checked.
constexpr milliseconds supervisionInterval{100};
/// Most records of ended jobs that are removed at once; they fit into one transaction.
constexpr std::size_t maxRemovedRecords = 28;
/// Once the store has failed for this long, new jobs are rejected immediately: they could not be stored in time.
constexpr milliseconds storeFailureTolerance{500};
/// While more commits than this wait for the store, new jobs are rejected.
constexpr std::size_t maxWaitingCommits = 600;
/// Time after which a client may retry while the store is unavailable.
constexpr milliseconds outageRetryAfter{1000};
constexpr milliseconds overloadRetryAfter{2000};
/// Added to the time until the leases of an unreachable worker have ended: a former leader's last order may still have
/// been in transit.
constexpr milliseconds inheritanceMargin{1000};
/// Most queries that wait for the end of their job; further ones are answered at once. A waiting query takes about 300
/// bytes here and in the daemon that received it.
constexpr std::size_t maxWaitingQueries = 8192;
/// Most calls about unknown jobs that read from the store at one time; a share of the reads that it grants.
constexpr std::size_t maxUnknownJobReads = 64;
/// Most steps in the open occurrences of a timed job, unless one occurrence has more. The record of its progress names
/// each of them and has to fit into a value of the store.
constexpr std::size_t maxOpenSteps = 1024;
/// One in so many bytes of the memory for jobs may hold calls that wait for the records of ended jobs.
constexpr std::size_t deferredShare = 4;

bool isStoreUnavailable(const Dispatcher &dispatcher, MonotonicTime now)
{
    const StoreHealth &health = dispatcher.commits.health;
    return health.failing && now - health.failingSince > storeFailureTolerance;
}

void answer(Dispatcher &dispatcher, ClientAnswer answer)
{
    dispatcher.outbox->add(LeaderAnswer{.answer = std::move(answer)});
}

void requestRecord(Dispatcher &dispatcher, const UnknownJobCall &unknown, std::string_view key)
{
    const CallId call = dispatcher.outbox->newCall();
    dispatcher.unknownJobs.emplace(call, unknown);
    dispatcher.outbox->add(StoreRange{.call = call, .prefix = std::string(key), .after = {}});
}

/// Looks the job up in the store. A job that this leader doesn't know may still exist: the claim may have been revoked,
/// and another daemon may have accepted the job.
void answerUnknownJob(Dispatcher &dispatcher, const ClientCall &call, MonotonicTime now)
{
    if (isStoreUnavailable(dispatcher, now) || dispatcher.unknownJobs.size() >= maxUnknownJobReads) {
        answer(dispatcher, {.call = call.call, .outcome = ClientOutcome::Unknown});
        return;
    }
    requestRecord(dispatcher, {.call = call.call, .job = call.job}, jobKey(call.job));
}

/// Reads the record of the live job before the record of its end, because the second replaces the first.
void handleRecordReply(Dispatcher &dispatcher, const UnknownJobCall &unknown, const StoreReply &reply)
{
    if (reply.status == CallStatus::Ok && reply.items.empty() && !unknown.readingEnd) {
        requestRecord(dispatcher, {.call = unknown.call, .job = unknown.job, .readingEnd = true}, endKey(unknown.job));
        return;
    }
    const bool exists = reply.status != CallStatus::Ok || !reply.items.empty();
    const bool isKnown = dispatcher.jobs.live.contains(unknown.job) || dispatcher.jobs.ended.contains(unknown.job);
    if (reply.status == CallStatus::Ok && exists && !isKnown) {
        logLine(LogLevel::Warning, logPart, "The store has a job that this leader doesn't know. job={} token={}",
            formatJobId(unknown.job), dispatcher.token);
        dispatcher.deposed = true;
    }
    answer(dispatcher, {.call = unknown.call, .outcome = exists ? ClientOutcome::Unknown : ClientOutcome::NoSuchJob});
}

void rejectJob(
    Dispatcher &dispatcher, const ClientCall &call, milliseconds retryAfter, std::string_view reason, MonotonicTime now)
{
    ++dispatcher.counters.rejected;
    logCall(dispatcher.callLog, CallLine::Rejected, now, logPart,
        "Job rejected. job={} queue={} tenant={} reason={} retry_after_ms={}", formatJobId(call.job), call.queue,
        call.tenant, reason, retryAfter.count());
    answer(dispatcher, {.call = call.call, .outcome = ClientOutcome::Refused, .retryAfter = retryAfter});
}

/// True if for each step some worker of the pool is large enough for a task. A pool without workers counts as possible,
/// because workers may still join it.
bool isPossible(const Dispatcher &dispatcher, const JobRecord &record)
{
    const auto ofPool
        = [&record](const Worker &worker) { return worker.listed && worker.entry.pool == record.queue.pool; };
    if (std::ranges::none_of(dispatcher.workers.workers, ofPool)) {
        return true;
    }
    return std::ranges::all_of(record.spec.steps, [&](const StepSpec &step) {
        return std::ranges::any_of(dispatcher.workers.workers,
            [&](const Worker &worker) { return ofPool(worker) && fits(chargedSize(step), worker.entry.capacity); });
    });
}

milliseconds timeUntilLate(const JobRecord &record)
{
    const auto path
        = std::chrono::duration<double, std::milli>(criticalPathEstimate(record.spec)) * record.queue.stretch;
    return std::chrono::floor<milliseconds>(path) + record.queue.target;
}

Job &addJob(Dispatcher &dispatcher, JobRecord record, Now now)
{
    auto job = std::make_unique<Job>();
    // The time of day may differ between daemons; a submission is never in the future.
    const auto age = std::max(milliseconds(0), now.wall - record.submittedAt);
    job->submittedAt = now.monotonic - age;
    job->dueBy = job->submittedAt + timeUntilLate(record);
    const bool isTimed = record.spec.repeatCount > 0;
    job->tenant = addTenant(dispatcher.tenants, record.tenant);
    job->record = std::move(record);
    if (!isTimed) {
        job->occurrences.push_back(makeOccurrence(job->record.spec, 0));
        job->nextOccurrence = 1;
    }
    const JobId id = job->record.id;
    return *(dispatcher.jobs.live[id] = std::move(job));
}

void removeJob(Dispatcher &dispatcher, JobId id)
{
    const auto found = dispatcher.jobs.live.find(id);
    releaseCharge(dispatcher.jobMemory, dispatcher.tenants, *found->second);
    dispatcher.jobs.live.erase(found);
}

/// Adds what is known of a job after its end; false if it is known already.
bool addEnded(Dispatcher &dispatcher, JobId id, const EndedJob &ended)
{
    if (!dispatcher.jobs.ended.emplace(id, ended).second) {
        return false;
    }
    chargeEnded(dispatcher.jobMemory, dispatcher.tenants, ended.tenant);
    return true;
}

void forgetEnded(Dispatcher &dispatcher, JobId id)
{
    const auto found = dispatcher.jobs.ended.find(id);
    if (found != dispatcher.jobs.ended.end()) {
        releaseEnded(dispatcher.jobMemory, dispatcher.tenants, found->second.tenant);
        dispatcher.jobs.ended.erase(found);
    }
}

void logRepeatedSubmission(Dispatcher &dispatcher, JobId id, std::string_view state, MonotonicTime now)
{
    logCall(dispatcher.callLog, CallLine::RepeatedSubmission, now, logPart,
        "Submission of a known job. job={} state={}", formatJobId(id), state);
}

/// Whether no other daemon can lead yet. Otherwise a job that this leader doesn't know may have been accepted
/// elsewhere, and must not be called rejected.
bool isClaimInForce(const Dispatcher &dispatcher, MonotonicTime now)
{
    return now - dispatcher.claimConfirmedAt < claimLease;
}

/// Rejects a job that can't run at all, or not within its tenant's cap.
bool rejectImpossible(Dispatcher &dispatcher, const ClientCall &call, const JobRecord &record, MonotonicTime now)
{
    TenantState &tenant = dispatcher.tenants.rows[addTenant(dispatcher.tenants, record.tenant)];
    std::string detail = findCapProblem(tenant, record.spec);
    if (detail.empty() && isPossible(dispatcher, record)) {
        return false;
    }
    if (!detail.empty() && !isClaimInForce(dispatcher, now)) {
        answer(dispatcher, {.call = call.call, .outcome = ClientOutcome::Unknown});
        return true;
    }
    tenant.rejectedByCap += detail.empty() ? 0 : 1;
    ++dispatcher.counters.rejected;
    logCall(dispatcher.callLog, CallLine::Rejected, now, logPart, "Job rejected. job={} queue={} tenant={} reason={}",
        formatJobId(call.job), call.queue, record.tenant, detail.empty() ? "no worker is large enough" : detail);
    answer(dispatcher, {.call = call.call, .outcome = ClientOutcome::Impossible, .detail = std::move(detail)});
    return true;
}

/// Rejects a job that this leader, or a successor of the same size, could not hold beside the others.
bool rejectForMemory(Dispatcher &dispatcher, const ClientCall &call, const JobRecord &record, MonotonicTime now)
{
    const TenantSlot tenant = addTenant(dispatcher.tenants, record.tenant);
    const std::size_t bytes = submittedBytes(record, call.record.size());
    const JobFit fit = findRoom(dispatcher.jobMemory, dispatcher.tenants, tenant, bytes);
    if (fit == JobFit::Fits) {
        return false;
    }
    ++dispatcher.counters.rejectedByMemory;
    if (!isClaimInForce(dispatcher, now)) {
        answer(dispatcher, {.call = call.call, .outcome = ClientOutcome::Unknown});
    } else if (fit == JobFit::Full) {
        rejectJob(dispatcher, call, retryAfterRelease(dispatcher.jobMemory, dispatcher.tenants, tenant, bytes),
            "jobs take too much memory", now);
    } else {
        ++dispatcher.counters.rejected;
        logCall(dispatcher.callLog, CallLine::Rejected, now, logPart,
            "Job rejected. job={} queue={} tenant={} reason={} bytes={} limit={}", formatJobId(call.job), call.queue,
            record.tenant, "the job takes too much memory", bytes, dispatcher.jobMemory.limit);
        answer(dispatcher,
            {.call = call.call,
                .outcome = ClientOutcome::Impossible,
                .detail = "not accepted; the job has too many tasks or steps for the scheduler's memory"});
    }
    return true;
}

void submit(Dispatcher &dispatcher, const ClientCall &call, Now now)
{
    if (const auto ended = dispatcher.jobs.ended.find(call.job); ended != dispatcher.jobs.ended.end()) {
        if (ended->second.state == JobState::Withdrawn) {
            rejectJob(
                dispatcher, call, dispatcher.endRetention.kept, "cancelled before it was submitted", now.monotonic);
            return;
        }
        logRepeatedSubmission(
            dispatcher, call.job, ended->second.state ? stateName(*ended->second.state) : "unreadable", now.monotonic);
        answer(dispatcher, {.call = call.call, .outcome = ClientOutcome::Ok});
        return;
    }
    Job *known = findJob(dispatcher.jobs, call.job);
    if (known != nullptr && known->accepted) {
        logRepeatedSubmission(
            dispatcher, call.job, isEnded(known->state) ? stateName(known->state) : "live", now.monotonic);
        answer(dispatcher, {.call = call.call, .outcome = ClientOutcome::Ok});
        return;
    }
    if (known != nullptr) {
        known->waitingSubmits.push_back(call.call);
        return;
    }
    std::string problem;
    auto record = decodeJobRecord(call.record, problem);
    if (!record) {
        logLine(
            LogLevel::Error, logPart, "A submission can't be read. job={} problem={}", formatJobId(call.job), problem);
        answer(dispatcher, {.call = call.call, .outcome = ClientOutcome::Impossible});
        return;
    }
    if (isStoreUnavailable(dispatcher, now.monotonic)) {
        rejectJob(dispatcher, call, outageRetryAfter, "store unavailable", now.monotonic);
        return;
    }
    if (dispatcher.commits.waiting.size() > maxWaitingCommits) {
        rejectJob(dispatcher, call, overloadRetryAfter, "store overloaded", now.monotonic);
        return;
    }
    if (rejectImpossible(dispatcher, call, *record, now.monotonic)) {
        return;
    }
    if (rejectForMemory(dispatcher, call, *record, now.monotonic)) {
        return;
    }
    if (const auto retryAfter = applySubmissionRate(dispatcher, *record, now.monotonic)) {
        if (!isClaimInForce(dispatcher, now.monotonic)) {
            answer(dispatcher, {.call = call.call, .outcome = ClientOutcome::Unknown});
            return;
        }
        rejectJob(dispatcher, call, *retryAfter, "tenant above its rate while the pool is full", now.monotonic);
        return;
    }
    // The record says whether the job is within the tenant's rate, so that a new leader goes by the same decision.
    std::string text = record->isExcess ? encodeJobRecord(*record) : call.record;
    Job &job = addJob(dispatcher, std::move(*record), now);
    job.arrivedAt = now.monotonic;
    job.recordSize = text.size();
    updateCharge(dispatcher.jobMemory, dispatcher.tenants, job);
    job.waitingSubmits.push_back(call.call);
    Commit commit{.tag = {.kind = CommitKind::Accept, .job = call.job},
        .writes = {{.key = jobKey(call.job), .value = std::move(text)}},
        .deletes = {},
        .queuedAt = now.monotonic};
    ++dispatcher.counters.commits;
    enqueue(dispatcher.commits, std::move(commit));
}

/// Reports an end only once its record is stored: a client that has seen the end must not see the job run again. Until
/// then only the workers' lists hold the end, and they are lost when the workers lose power.
JobState reportedState(const Job &job)
{
    return job.started || isEnded(job.state) ? JobState::Running : JobState::Queued;
}

void reportEnd(Dispatcher &dispatcher, CallId call, JobId id, JobState state, MonotonicTime now)
{
    logCall(dispatcher.callLog, CallLine::EndReported, now, logPart, "End reported to a client. job={} state={}",
        formatJobId(id), stateName(state));
    answer(dispatcher, {.call = call, .outcome = ClientOutcome::Ok, .state = state});
}

/// Whether the job runs and can end without another call of its client.
bool canEndByItself(const Job &job)
{
    const JobSpec &spec = job.record.spec;
    return job.started && job.nextOccurrence >= spec.repeatCount
        && std::ranges::none_of(spec.steps, [](const StepSpec &step) { return step.longRunning; });
}

/// Answers the queries that have waited for their time; their jobs still run.
void answerOverdueQueries(Dispatcher &dispatcher, MonotonicTime now)
{
    auto &waiting = dispatcher.waitingQueries;
    while (!waiting.empty() && waiting.begin()->first <= now) {
        const WaitingQuery query = waiting.begin()->second;
        waiting.erase(waiting.begin());
        Job *job = findJob(dispatcher.jobs, query.job);
        if (job != nullptr && std::erase(job->waitingQueries, query.call) > 0) {
            answer(dispatcher, {.call = query.call, .outcome = ClientOutcome::Ok, .state = reportedState(*job)});
        }
    }
}

void query(Dispatcher &dispatcher, const ClientCall &call, MonotonicTime now)
{
    const auto ended = dispatcher.jobs.ended.find(call.job);
    if (ended != dispatcher.jobs.ended.end()) {
        if (ended->second.state == JobState::Withdrawn) {
            answer(dispatcher, {.call = call.call, .outcome = ClientOutcome::NoSuchJob});
        } else if (ended->second.state) {
            reportEnd(dispatcher, call.call, call.job, *ended->second.state, now);
        } else {
            answer(dispatcher, {.call = call.call, .outcome = ClientOutcome::Unknown});
        }
        return;
    }
    Job *job = findJob(dispatcher.jobs, call.job);
    if (job == nullptr) {
        answerUnknownJob(dispatcher, call, now);
        return;
    }
    if (call.wait.count() > 0 && canEndByItself(*job) && dispatcher.waitingQueries.size() < maxWaitingQueries) {
        job->waitingQueries.push_back(call.call);
        dispatcher.waitingQueries.emplace(now + call.wait, WaitingQuery{.call = call.call, .job = call.job});
        return;
    }
    answer(dispatcher, {.call = call.call, .outcome = ClientOutcome::Ok, .state = reportedState(*job)});
}

/// Withdraws the id of a job that this leader doesn't know. A copy of its submission may still arrive, for instance
/// through a daemon whose process stands still, and must not start the job once the cancellation is confirmed. That the
/// record is stored also proves that no other daemon has led and accepted the job: the streams' conditions hold.
void withdraw(Dispatcher &dispatcher, const ClientCall &call, Now now)
{
    const TenantSlot tenant = addTenant(dispatcher.tenants, call.tenant);
    if (isStoreUnavailable(dispatcher, now.monotonic) || dispatcher.commits.waiting.size() > maxWaitingCommits) {
        answer(dispatcher, {.call = call.call, .outcome = ClientOutcome::Unknown});
        return;
    }
    if (findRoom(dispatcher.jobMemory, dispatcher.tenants, tenant, endedJobBytes) != JobFit::Fits) {
        ++dispatcher.counters.unansweredByMemory;
        answer(dispatcher, {.call = call.call, .outcome = ClientOutcome::Unknown});
        return;
    }
    logCall(dispatcher.callLog, CallLine::Withdrawn, now.monotonic, logPart,
        "Cancellation of an unknown job. job={} queue={} token={}", formatJobId(call.job), call.queue,
        dispatcher.token);
    ++dispatcher.counters.jobsWithdrawn;
    addEnded(dispatcher, call.job, {.state = JobState::Withdrawn, .tenant = tenant});
    dispatcher.withdrawals[call.job].push_back(call.call);
    enqueue(dispatcher.commits,
        {.tag = {.kind = CommitKind::Withdraw, .job = call.job},
            .writes = {{.key = endKey(call.job),
                .value = encodeEnd(
                    {.state = JobState::Withdrawn, .endedAt = now.wall, .tenant = call.tenant, .stopping = {}})}},
            .deletes = {},
            .queuedAt = now.monotonic});
}

void cancel(Dispatcher &dispatcher, const ClientCall &call, Now now)
{
    if (const auto waiting = dispatcher.withdrawals.find(call.job); waiting != dispatcher.withdrawals.end()) {
        waiting->second.push_back(call.call);
        return;
    }
    if (const auto ended = dispatcher.jobs.ended.find(call.job); ended != dispatcher.jobs.ended.end()) {
        const bool existed = ended->second.state != JobState::Withdrawn;
        answer(dispatcher, {.call = call.call, .outcome = existed ? ClientOutcome::Ok : ClientOutcome::NoSuchJob});
        return;
    }
    Job *job = findJob(dispatcher.jobs, call.job);
    if (job == nullptr) {
        withdraw(dispatcher, call, now);
        return;
    }
    logCall(dispatcher.callLog, CallLine::CancelRequested, now.monotonic, logPart,
        "Cancellation requested. job={} queue={} accepted={}", formatJobId(call.job), job->record.queue.name,
        job->accepted);
    job->waitingCancels.push_back(call.call);
    if (job->accepted) {
        endJob(dispatcher, *job, JobState::Cancelled, now);
    }
}

void countPending(Dispatcher &dispatcher, const ClientCall &call)
{
    const auto pending = std::ranges::count_if(dispatcher.jobs.live, [&call](const auto &entry) {
        const Job &job = *entry.second;
        return job.accepted && !job.started && !isEnded(job.state) && job.record.queue.name == call.queue;
    });
    answer(dispatcher, {.call = call.call, .outcome = ClientOutcome::Ok, .count = static_cast<std::uint64_t>(pending)});
}

void markEndsStored(Dispatcher &dispatcher, std::span<const UnstoredEnd> ends, MonotonicTime now)
{
    for (const UnstoredEnd &end : ends) {
        Worker &worker = dispatcher.workers.workers[end.worker];
        const auto found = worker.ends.find(end.number);
        if (worker.entry.incarnation == end.incarnation && found != worker.ends.end()) {
            found->second = true;
        }
        advanceAcknowledged(worker);
        if (worker.ends.empty() && !worker.renewalOpen) {
            worker.nextRenewal = std::min(worker.nextRenewal, nextRenewalAfterEnds(worker, now));
        }
    }
}

void handleAccepted(Dispatcher &dispatcher, Job &job, Now now)
{
    job.accepted = true;
    updateCharge(dispatcher.jobMemory, dispatcher.tenants, job);
    ++dispatcher.counters.accepted;
    observe(dispatcher, DurationKind::Acceptance, now.monotonic - job.arrivedAt);
    logLine(LogLevel::Info, logPart,
        "Job accepted. job={} queue={} tenant={} above_rate={} steps={} tasks={} due_in_ms={} ends_known={} "
        "ends_removed={}",
        formatJobId(job.record.id), job.record.queue.name, job.record.tenant, job.record.isExcess,
        job.record.spec.steps.size(), job.record.spec.steps.front().count,
        std::chrono::floor<milliseconds>(job.dueBy - now.monotonic).count(), dispatcher.jobs.ended.size(),
        dispatcher.counters.endsRemoved);
    for (const CallId call : job.waitingSubmits) {
        answer(dispatcher, {.call = call, .outcome = ClientOutcome::Ok});
    }
    job.waitingSubmits.clear();
    dispatcher.placementDue = true;
    if (!job.waitingCancels.empty()) {
        endJob(dispatcher, job, JobState::Cancelled, now);
    }
}

void handleEndStored(Dispatcher &dispatcher, Job &job, MonotonicTime now)
{
    job.endStored = true;
    observe(dispatcher, DurationKind::Completion, now - job.submittedAt);
    logLine(LogLevel::Info, logPart, "End stored. job={} state={} token={} worker_ends={}", formatJobId(job.record.id),
        stateName(job.state), dispatcher.token, job.unstoredEnds.size());
    markEndsStored(dispatcher, job.unstoredEnds, now);
    for (const CallId call : job.waitingCancels) {
        answer(dispatcher, {.call = call, .outcome = ClientOutcome::Ok});
    }
    for (const CallId call : job.waitingQueries) {
        reportEnd(dispatcher, call, job.record.id, job.state, now);
    }
    const JobId id = job.record.id;
    addEnded(dispatcher, id, {.state = job.state, .tenant = job.tenant});
    dispatcher.jobs.endedOrder.emplace(now, id);
    dispatcher.unstoredJobs.erase(id);
    removeJob(dispatcher, id);
}

void handleWithdrawn(Dispatcher &dispatcher, JobId id, MonotonicTime now)
{
    dispatcher.jobs.endedOrder.emplace(now, id);
    const auto waiting = dispatcher.withdrawals.extract(id);
    for (const CallId call : waiting.mapped()) {
        answer(dispatcher, {.call = call, .outcome = ClientOutcome::NoSuchJob});
    }
}

void handleWorkersStored(Dispatcher &dispatcher)
{
    dispatcher.workersCommitOpen = false;
    dispatcher.placementDue = true;
    for (const auto &[slot, incarnation] : std::exchange(dispatcher.workersBeingRecorded, {})) {
        Worker &worker = dispatcher.workers.workers[slot];
        worker.recorded = worker.recorded || worker.entry.incarnation == incarnation;
    }
}

void handleStored(Dispatcher &dispatcher, const CommitTag &tag, Now now)
{
    if (tag.kind == CommitKind::Forget) {
        // Until now the id counts as used: a delayed removal must not delete the record of a later job.
        forgetEnded(dispatcher, tag.job);
        return;
    }
    if (tag.kind == CommitKind::Retention) {
        dispatcher.endRetention.commitOpen = false;
        return;
    }
    if (tag.kind == CommitKind::Workers) {
        handleWorkersStored(dispatcher);
        return;
    }
    if (tag.kind == CommitKind::Withdraw) {
        handleWithdrawn(dispatcher, tag.job, now.monotonic);
        return;
    }
    Job *job = findJob(dispatcher.jobs, tag.job);
    if (job == nullptr) {
        return;
    }
    if (tag.kind == CommitKind::Accept) {
        handleAccepted(dispatcher, *job, now);
        return;
    }
    job->commitOpen = false;
    markEndsStored(dispatcher, job->endsBeingStored, now.monotonic);
    job->endsBeingStored.clear();
    if (tag.kind == CommitKind::End) {
        handleEndStored(dispatcher, *job, now.monotonic);
    } else {
        job->progressStored = true;
    }
}

/// Rejects the submissions that were never sent to the store while the store is unavailable: these jobs are certain not
/// to run.
void rejectUnsentJobs(Dispatcher &dispatcher, MonotonicTime now)
{
    if (!isStoreUnavailable(dispatcher, now)) {
        return;
    }
    for (const auto &[kind, id] : removeUnsentAcceptances(dispatcher.commits)) {
        const Job *job = findJob(dispatcher.jobs, id);
        for (const CallId call : job->waitingSubmits) {
            rejectJob(dispatcher,
                {.call = call, .kind = ClientCallKind::Submit, .queue = job->record.queue.name, .job = id},
                outageRetryAfter, "store unavailable", now);
        }
        // Without a record of the cancellation, another copy of the submission could still be accepted.
        for (const CallId call : job->waitingCancels) {
            answer(dispatcher, {.call = call, .outcome = ClientOutcome::Unknown});
        }
        removeJob(dispatcher, id);
    }
}

void storeWorkers(Dispatcher &dispatcher, MonotonicTime now)
{
    if (!dispatcher.workersChanged || dispatcher.workersCommitOpen || !dispatcher.runDiscoveryFinished) {
        return;
    }
    dispatcher.workersChanged = false;
    dispatcher.workersCommitOpen = true;
    for (WorkerSlot slot = 0; slot < dispatcher.workers.workers.size(); ++slot) {
        Worker &worker = dispatcher.workers.workers[slot];
        if (isRecorded(worker)) {
            dispatcher.workersBeingRecorded.push_back({.worker = slot, .incarnation = worker.entry.incarnation});
        } else {
            worker.recorded = false;
        }
    }
    enqueue(dispatcher.commits,
        {.tag = {.kind = CommitKind::Workers},
            .writes = {{.key = std::string(workersKey), .value = encodeWorkers(dispatcher.workers)}},
            .deletes = {},
            .queuedAt = now});
}

/// Raises the attempt numbers of waiting tasks to this leader's token: each leader's numbers then lie above those of
/// all former leaders, whose last starts may not be recorded. A number that is used again would mix up two runs.
void raiseAttempts(Job &job, std::uint64_t token)
{
    const auto least = static_cast<std::uint32_t>(std::min<std::uint64_t>(token, UINT32_MAX / 2));
    for (Occurrence &occurrence : job.occurrences) {
        for (StepRun &step : occurrence.steps) {
            // A running gang keeps its number, which identifies the ends of its members.
            if (step.waiting == step.remaining) {
                step.gangAttempt = std::max(step.gangAttempt, least);
            }
            for (Task &task : step.tasks) {
                if (task.phase == TaskPhase::Waiting) {
                    task.attempt = std::max(task.attempt, least);
                }
            }
        }
    }
}

/// Whether no listed worker could hold the first step of the job's newest occurrence, of which nothing has started.
bool isNewestOccurrenceUnplaceable(const Dispatcher &dispatcher, Job &job, MonotonicTime now)
{
    Occurrence &newest = job.occurrences.back();
    StepRun &first = newest.steps.front();
    if (first.waiting < first.tasks.size() || !first.plan.empty()) {
        return false;
    }
    const StepKey key{.job = job.record.id, .occurrence = newest.number, .step = 0};
    return isMarkedUnplaceable(dispatcher.workers, first)
        || !canWorkersHold(dispatcher.workers, readyStepOf(dispatcher, job, key, first, now));
}

/// Whether a further occurrence may be open beside the others of the job; one always may. Jobs that are overdue by many
/// occurrences work them off in turn.
bool canOpenOccurrence(const Dispatcher &dispatcher, Job &job, MonotonicTime now)
{
    if (job.occurrences.empty()) {
        return true;
    }
    const JobSpec &spec = job.record.spec;
    // Occurrences that can't start would only take memory from jobs that can.
    return (job.occurrences.size() + 1) * spec.steps.size() <= maxOpenSteps
        && findRoom(dispatcher.jobMemory, dispatcher.tenants, job.tenant, occurrenceBytes(spec)) == JobFit::Fits
        && !isNewestOccurrenceUnplaceable(dispatcher, job, now);
}

void startOccurrences(Dispatcher &dispatcher, Now now)
{
    for (auto &[id, job] : dispatcher.jobs.live) {
        const JobSpec &spec = job->record.spec;
        const std::uint32_t known = job->nextOccurrence;
        while (spec.repeatCount > job->nextOccurrence && !isEnded(job->state)
            && spec.firstDue + spec.interval * job->nextOccurrence <= now.wall
            && canOpenOccurrence(dispatcher, *job, now.monotonic)) {
            addOccurrences(*job, job->nextOccurrence);
            updateCharge(dispatcher.jobMemory, dispatcher.tenants, *job);
        }
        if (job->nextOccurrence == known) {
            continue;
        }
        dispatcher.placementDue = true;
        if (job->inherited && dispatcher.runDiscoveryFinished) {
            raiseAttempts(*job, dispatcher.token);
        }
    }
}

/// Removes old records of ended jobs. The leader removes them instead of giving them a lease: when the platform revokes
/// the leases of a VM, records would be removed early, and an accepted job would be unknown to the next leader.
void removeEndedRecords(Dispatcher &dispatcher, MonotonicTime now)
{
    auto &order = dispatcher.jobs.endedOrder;
    std::size_t removed = 0;
    while (!order.empty() && order.begin()->first + dispatcher.endRetention.kept < now && removed < maxRemovedRecords) {
        const auto [storedSince, id] = *order.begin();
        logLine(LogLevel::Info, logPart, "Record of an ended job is removed. job={} age_ms={} token={}",
            formatJobId(id), std::chrono::floor<milliseconds>(now - storedSince).count(), dispatcher.token);
        ++dispatcher.counters.endsRemoved;
        ++removed;
        order.erase(order.begin());
        enqueue(dispatcher.commits,
            {.tag = {.kind = CommitKind::Forget, .job = id}, .writes = {}, .deletes = {endKey(id)}, .queuedAt = now});
    }
}

/// Stores how long the records of ended jobs are proven to exist, so that the next leader continues the count.
void storeRetention(Dispatcher &dispatcher, MonotonicTime now)
{
    EndRetention &retention = dispatcher.endRetention;
    if (retention.commitOpen || dispatcher.jobs.ended.empty()
        || !observeRevision(retention, highestRevision(dispatcher.commits), now)) {
        return;
    }
    retention.commitOpen = true;
    enqueue(dispatcher.commits,
        {.tag = {.kind = CommitKind::Retention},
            .writes = {{.key = std::string(retentionKey), .value = encodeRetention(retention, now)}},
            .deletes = {},
            .queuedAt = now});
}

/// Name of the tenant that the job belongs to; empty if it has none or isn't known.
std::string_view tenantOfJob(const Dispatcher &dispatcher, JobId id)
{
    TenantSlot tenant = noTenant;
    if (const auto live = dispatcher.jobs.live.find(id); live != dispatcher.jobs.live.end()) {
        tenant = live->second->tenant;
    } else if (const auto ended = dispatcher.jobs.ended.find(id); ended != dispatcher.jobs.ended.end()) {
        tenant = ended->second.tenant;
    }
    return dispatcher.tenants.rows[tenant].name;
}

} // namespace

Dispatcher::Dispatcher(Outbox &actions, std::uint64_t fencingToken, MonotonicTime confirmedAt, EndRetention ends)
    : token(fencingToken)
    , commits(makeCommitQueue(fencingToken))
    , endRetention(std::move(ends))
    , outbox(&actions)
    , claimConfirmedAt(confirmedAt)
{
}

void observe(Dispatcher &dispatcher, DurationKind kind, MonotonicTime::duration duration)
{
    dispatcher.outbox->add(
        ObserveDuration{.kind = kind, .duration = std::chrono::duration_cast<milliseconds>(duration)});
}

void setConfiguration(Dispatcher &dispatcher, const Configuration &configuration)
{
    dispatcher.configuration = configuration;
    ++dispatcher.workers.capabilityVersion;
    configureTenants(dispatcher.tenants, tenantsOf(configuration));
    dispatcher.placementDue = true;
}

void handleClientCall(Dispatcher &dispatcher, const ClientCall &call, Now now)
{
    if (dispatcher.deposed) {
        answer(dispatcher, {.call = call.call, .outcome = ClientOutcome::NotLeader});
        return;
    }
    const bool isKnown = dispatcher.jobs.live.contains(call.job) || dispatcher.jobs.ended.contains(call.job);
    if (!dispatcher.endsLoaded && !isKnown && call.kind != ClientCallKind::CountPending) {
        if (dispatcher.deferredBytes + call.record.size() > dispatcher.jobMemory.limit / deferredShare) {
            ++dispatcher.counters.unansweredByMemory;
            answer(dispatcher, {.call = call.call, .outcome = ClientOutcome::Unknown});
            return;
        }
        dispatcher.deferredBytes += call.record.size();
        dispatcher.deferredCalls.push_back(call);
        return;
    }
    if (call.kind != ClientCallKind::CountPending
        && !mayUseJob(call.isRestricted, call.tenant, tenantOfJob(dispatcher, call.job))) {
        answer(dispatcher, {.call = call.call, .outcome = ClientOutcome::Forbidden});
        return;
    }
    switch (call.kind) {
    case ClientCallKind::Submit:
        submit(dispatcher, call, now);
        return;
    case ClientCallKind::Query:
        query(dispatcher, call, now.monotonic);
        return;
    case ClientCallKind::Cancel:
        cancel(dispatcher, call, now);
        return;
    case ClientCallKind::CountPending:
        countPending(dispatcher, call);
        return;
    }
}

bool handleStoreReply(Dispatcher &dispatcher, const StoreReply &reply, Now now)
{
    if (const auto unknown = dispatcher.unknownJobs.extract(reply.call)) {
        handleRecordReply(dispatcher, unknown.mapped(), reply);
        return true;
    }
    CommitStream *stream = findStream(dispatcher.commits, reply.call);
    if (stream == nullptr) {
        return false;
    }
    std::vector<CommitTag> stored;
    switch (handleCommitReply(dispatcher.commits, *stream, reply, now.monotonic, stored)) {
    case CommitResult::Stored:
        for (const CommitTag &tag : stored) {
            handleStored(dispatcher, tag, now);
        }
        break;
    case CommitResult::Deposed:
        logLine(LogLevel::Warning, logPart, "Another leader has written to the store. token={}", dispatcher.token);
        dispatcher.deposed = true;
        break;
    case CommitResult::Retry:
        break;
    }
    return true;
}

void runMaintenance(Dispatcher &dispatcher, Now now)
{
    if (dispatcher.deposed) {
        return;
    }
    if (now.monotonic >= dispatcher.nextSupervision) {
        dispatcher.nextSupervision = now.monotonic + supervisionInterval;
        updateReleaseRate(dispatcher.jobMemory, now.monotonic);
        superviseWorkers(dispatcher, now);
        finishRunDiscovery(dispatcher, now.monotonic);
        releaseStoppedRuns(dispatcher);
        startOccurrences(dispatcher, now);
        rejectUnsentJobs(dispatcher, now.monotonic);
        removeEndedRecords(dispatcher, now.monotonic);
        storeRetention(dispatcher, now.monotonic);
        storeWorkers(dispatcher, now.monotonic);
        dispatcher.placementDue = true;
    }
    if (dispatcher.endsLoaded && !dispatcher.deferredCalls.empty()) {
        dispatcher.deferredBytes = 0;
        for (const ClientCall &call : std::exchange(dispatcher.deferredCalls, {})) {
            handleClientCall(dispatcher, call, now);
        }
    }
    if (dispatcher.placementDue && now.monotonic >= dispatcher.nextPlacement) {
        placeTasks(dispatcher, now.monotonic);
    }
    renewWorkers(dispatcher, now.monotonic);
    answerOverdueQueries(dispatcher, now.monotonic);
    std::vector<JobId> upToDate;
    for (const JobId id : dispatcher.unstoredJobs) {
        Job *job = findJob(dispatcher.jobs, id);
        if (job == nullptr) {
            upToDate.push_back(id);
            continue;
        }
        queueJobCommits(dispatcher, *job, now);
        if (!job->progressChanged && !isEnded(job->state)) {
            upToDate.push_back(id);
        }
    }
    for (const JobId id : upToDate) {
        dispatcher.unstoredJobs.erase(id);
    }
    sendCommits(dispatcher.commits, *dispatcher.outbox, now.monotonic);
}

void inheritJob(Dispatcher &dispatcher, JobRecord record, std::string_view progress, Now now)
{
    const JobId id = record.id;
    Job &job = addJob(dispatcher, std::move(record), now);
    job.accepted = true;
    job.inherited = true;
    countInheritedSubmission(dispatcher, job, now.monotonic);
    if (progress.empty()) {
        updateCharge(dispatcher.jobMemory, dispatcher.tenants, job);
        return;
    }
    job.progressStored = true;
    job.started = true;
    job.state = JobState::Running;
    std::string problem;
    if (!applyProgress(job, progress, problem)) {
        logLine(LogLevel::Error, logPart, "A record of progress can't be read. job={} problem={}", formatJobId(id),
            problem);
    }
    updateCharge(dispatcher.jobMemory, dispatcher.tenants, job);
    for (Occurrence &occurrence : job.occurrences) {
        for (StepRun &step : occurrence.steps) {
            for (Task &task : step.tasks) {
                task.wasInheritedDone = task.phase == TaskPhase::Done;
            }
        }
    }
    dispatcher.unstoredJobs.insert(id);
}

void inheritEnd(
    Dispatcher &dispatcher, JobId id, const std::optional<EndRecord> &record, std::uint64_t revision, MonotonicTime now)
{
    EndedJob ended;
    if (record) {
        ended = {.state = record->state, .tenant = addTenant(dispatcher.tenants, record->tenant)};
    }
    if (dispatcher.jobs.live.contains(id) || !addEnded(dispatcher, id, ended)) {
        return;
    }
    dispatcher.jobs.endedOrder.emplace(provenSince(dispatcher.endRetention, revision, now), id);
    if (record) {
        countStoppingRuns(dispatcher, id, ended.tenant, record->stopping);
    }
}

MonotonicTime formerLeasesEndBy(const Dispatcher &dispatcher, const Worker &worker)
{
    // A worker that the former leader did not record was never given a run.
    const bool mayBeLong = worker.inherited && !areLeasesBounded(worker);
    const milliseconds lease = mayBeLong ? dispatcher.bounds.maxWorkerLease : leaderLease(dispatcher.bounds);
    return dispatcher.claimedAt + longestByWorkerClock(lease) + inheritanceMargin;
}

void finishRunDiscovery(Dispatcher &dispatcher, MonotonicTime now)
{
    if (dispatcher.runDiscoveryFinished) {
        return;
    }
    const std::span<const Worker> workers = dispatcher.workers.workers;
    // A worker that answers keeps its ends, so there is no time limit for reading them.
    const auto isResolved = [&dispatcher, now](const Worker &worker) {
        const bool hasNoRuns = !worker.inherited && dispatcher.formerWorkersKnown;
        return areFormerRunsKnown(worker)
            || (!worker.contacted && (hasNoRuns || now >= formerLeasesEndBy(dispatcher, worker)));
    };
    const bool known = !workers.empty() && std::ranges::all_of(workers, areFormerRunsKnown);
    const bool resolved
        = workers.empty() ? now >= formerLeasesEndBy(dispatcher, {}) : std::ranges::all_of(workers, isResolved);
    if (resolved) {
        dispatcher.runDiscoveryFinished = true;
        countRunsNotFound(dispatcher);
        dispatcher.placementDue = true;
        for (Worker &worker : dispatcher.workers.workers) {
            worker.inherited = false;
        }
        for (auto &[id, job] : dispatcher.jobs.live) {
            if (job->inherited) {
                raiseAttempts(*job, dispatcher.token);
            }
        }
        logLine(LogLevel::Info, logPart,
            "Discovery of inherited runs finished; inherited jobs can start. jobs={} every_worker_answered={} "
            "claimed_ms_ago={}",
            dispatcher.jobs.live.size(), known, std::chrono::floor<milliseconds>(now - dispatcher.claimedAt).count());
    }
}

} // namespace wigeonkeel::dispatch

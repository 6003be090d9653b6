#include "core/dispatch/worker_events.h"

#include "core/dispatch/run_speed.h"
#include "core/dispatch/task_runs.h"
#include "core/log.h"

#include <algorithm>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::string_view logPart = "worker";
/// How long a worker may delay its reply while no run ends. The platform charges for each renewal, but progress is read
/// by renewals too.
constexpr milliseconds renewalWait{1200};
/// Least time added to the wait; covers the round trip between zones and one resent packet.
constexpr milliseconds renewalSlack{500};
constexpr milliseconds firstContactTimeout{400};
constexpr milliseconds failedRenewalDelay{150};
constexpr milliseconds maxRenewalDelay{1000};
/// A worker that lists ends replies immediately. While these ends are not stored yet, the next renewal waits for the
/// store, at most this long.
constexpr milliseconds unstoredEndsDelay{300};
/// Ends have to be acknowledged within 4 s, also those of a worker that runs nothing.
constexpr milliseconds lastAcknowledgementDelay{1500};
/// Most ends in one list, by the platform's contract.
constexpr std::size_t maxListedEnds = 500;
constexpr milliseconds refusedDelay{150};
/// Delay before a stop that had no effect is ordered again.
constexpr milliseconds stopRetryDelay{500};
/// A task that makes no progress for this long is stalled: at an eighth of the usual speed the longest tasks still
/// advance by one percent in this time.
constexpr milliseconds stallTime{3000};
constexpr double stallWeight = 1.5;
/// Usually workers are checked ten times a second. After a longer gap this process was paused, and what it knows of the
/// workers is old.
constexpr milliseconds maxSupervisionGap{1000};
/// Added to the lease of an unreachable worker before its runs count as lost.
constexpr milliseconds leaseMargin{100};

/// A worker that answered a renewal within this time can't have crashed, restarted and ended a run since. Longer than
/// the usual time between renewals.
constexpr milliseconds sameIncarnationTime{500};

bool needsRenewals(const Worker &worker)
{
    return worker.listed || worker.inherited || !worker.runs.empty() || !worker.ends.empty() || hasUnreadEnds(worker);
}

/// Acknowledgements name the numbers of ends, and a worker that restarts under its id counts from 1 again: it would
/// forget ends of its new incarnation that no leader has received. So an acknowledgement is sent only if no run can
/// have ended in an incarnation that this leader doesn't know yet.
bool canAcknowledge(const Worker &worker, MonotonicTime now)
{
    const bool answeredRecently = now - worker.renewalAnsweredAt < sameIncarnationTime;
    const bool allListed = std::ranges::all_of(worker.runs, [](const auto &entry) { return entry.second.listed; });
    return worker.contacted && worker.renewalFailures == 0 && (answeredRecently || allListed);
}

/// The start was not answered and its stop was, so the start can no longer be carried out: the next list that is
/// requested shows whether the run existed. Another stop would only delay this.
bool isAwaitingList(const Run &run)
{
    return run.phase == RunPhase::Stopping && run.stopAnswered && !run.confirmed;
}

/// Resets the state that the worker reported, which is no longer valid.
void resetReportedState(Worker &worker, MonotonicTime now)
{
    worker.contacted = false;
    worker.endsComplete = false;
    worker.contactedToken = 0;
    worker.ends.clear();
    worker.lastEnd = 0;
    worker.acknowledged = 0;
    worker.acknowledgementSent = 0;
    worker.requestedLease = {};
    worker.previousRequestedLease = {};
    worker.startLease = {};
    worker.clock = {};
    worker.renewalOpen = false;
    worker.renewalCall = 0;
    worker.renewalFailures = 0;
    worker.nextRenewal = now;
    worker.health = {};
    worker.speed = {};
}

/// Concludes all runs of the worker as lost and resets its state.
void concludeLostRuns(Dispatcher &dispatcher, WorkerSlot slot, Now now)
{
    Worker &worker = dispatcher.workers.workers[slot];
    std::vector<TaskKey> lost;
    for (const auto &[key, run] : worker.runs) {
        lost.push_back(key);
    }
    for (const TaskKey &key : lost) {
        const std::uint32_t attempt = worker.runs.at(key).attempt;
        concludeRun(dispatcher, key,
            {.number = 0, .task = key, .attempt = attempt, .end = RunEnd::LeaseExpired, .checkpoint = {}}, slot, now);
    }
    resetReportedState(worker, now.monotonic);
}

/// Handles a restart of the worker under the same id. Orders name only the id, so the new incarnation may have carried
/// out, or may still carry out, orders that were meant for the former one. The worker's tasks start nowhere else until
/// its first list shows what it runs, and unanswered starts are stopped.
void setIncarnation(Dispatcher &dispatcher, WorkerSlot slot, std::int64_t incarnation, MonotonicTime now)
{
    Worker &worker = dispatcher.workers.workers[slot];
    // A stale directory may still show the former incarnation.
    if (incarnation <= worker.entry.incarnation) {
        return;
    }
    const bool isFirst = worker.entry.incarnation == 0;
    worker.entry.incarnation = incarnation;
    if (isFirst) {
        // No leader has given a run to a worker that none has recorded, so no call for a former incarnation is on its
        // way.
        worker.boundedIncarnation = worker.inherited ? 0 : incarnation;
        return;
    }
    logLine(LogLevel::Info, logPart, "Worker restarted. worker={} incarnation={} runs={}", worker.entry.id, incarnation,
        worker.runs.size());
    resetReportedState(worker, now);
    worker.incarnationDetectedAt = now;
    worker.recorded = false;
    dispatcher.workersChanged = true;
    worker.formerIncarnationToken = dispatcher.token;
    dispatcher.newTokenDue = true;
    std::vector<TaskKey> unanswered;
    for (auto &[key, run] : worker.runs) {
        run.stopCallOpen = false;
        run.listed = false;
        run.stopAnswered = false;
        if (!run.confirmed) {
            unanswered.push_back(key);
        }
    }
    for (const TaskKey &key : unanswered) {
        stopRun(dispatcher, slot, key, now);
    }
}

/// Handles a reply to an order from which it is certain that the worker has started again: its clock begins anew with
/// each incarnation. The next list names the incarnation. If there is none, the worker may run what it has started
/// under the longest lease that it grants.
void handleUnknownRestart(Dispatcher &dispatcher, WorkerSlot slot, MonotonicTime now)
{
    Worker &worker = dispatcher.workers.workers[slot];
    logLine(LogLevel::Info, logPart, "Worker's clock began anew; it has restarted. worker={} former_incarnation={}",
        worker.entry.id, worker.entry.incarnation);
    worker.contacted = false;
    worker.boundedIncarnation = 0;
    worker.recorded = false;
    dispatcher.workersChanged = true;
    worker.incarnationDetectedAt = now;
    worker.clock = {};
    worker.nextRenewal = now;
}

void recordStart(Dispatcher &dispatcher, Job &job, MonotonicTime now)
{
    if (!job.started) {
        observe(dispatcher, DurationKind::FirstStart, now - job.submittedAt);
    }
    job.started = true;
    job.state = JobState::Running;
}

void handleStartReply(Dispatcher &dispatcher, const OpenOrder &order, const OrderReply &reply, MonotonicTime now)
{
    Worker &worker = dispatcher.workers.workers[order.worker];
    const auto found = worker.runs.find(order.task);
    if (found == worker.runs.end() || found->second.attempt != order.attempt) {
        return;
    }
    Run &run = found->second;
    run.startCallOpen = false;
    if (reply.status == CallStatus::Ok) {
        run.confirmed = true;
        run.seenAt = now;
        run.phase = run.phase == RunPhase::Starting ? RunPhase::Running : run.phase;
        const TaskPlace place = findTask(dispatcher, order.task);
        if (place) {
            recordStart(dispatcher, *place.job, now);
            place.task->progressAt = now;
            recordSpeedStart(worker, place, run, now);
        }
        return;
    }
    if (reply.status == CallStatus::Unknown) {
        ++dispatcher.counters.startsUnanswered;
        logLine(LogLevel::Info, logPart, "Start unanswered. task={} attempt={} worker={}", formatTaskKey(order.task),
            order.attempt, worker.entry.id);
        // The start is not sent again: a delayed copy could start the task a second time in the worker's next
        // incarnation. The lists show whether the task runs.
        worker.nextRenewal = std::min(worker.nextRenewal, now);
        return;
    }
    ++dispatcher.counters.startsRefused;
    logLine(LogLevel::Info, logPart, "Start refused. task={} attempt={} worker={} status={} reason={}",
        formatTaskKey(order.task), order.attempt, worker.entry.id, static_cast<int>(reply.status),
        static_cast<int>(reply.refusal));
    TaskPlace place = findTask(dispatcher, order.task);
    switch (reply.refusal) {
    case StartRefusal::Fenced:
        if (order.token == dispatcher.token) {
            dispatcher.deposed = true;
            return;
        }
        break;
    case StartRefusal::Ticket:
        if (place) {
            place.step->allowed.erase(order.worker);
        }
        break;
    case StartRefusal::Unavailable:
        recordFailure(dispatcher.workers, order.worker, 1.0, now);
        break;
    case StartRefusal::WrongIncarnation:
        worker.contacted = false;
        worker.nextRenewal = now;
        break;
    default:
        break;
    }
    if (reply.status == CallStatus::Unreachable) {
        recordFailure(dispatcher.workers, order.worker, 0.5, now);
    }
    const bool retryNow = reply.refusal == StartRefusal::OldAttempt || reply.refusal == StartRefusal::Ticket;
    dropRun(dispatcher, order.worker, order.task, retryNow ? now : now + refusedDelay, now);
}

void handleStopReply(Dispatcher &dispatcher, const OpenOrder &order, const OrderReply &reply, MonotonicTime now)
{
    Worker &worker = dispatcher.workers.workers[order.worker];
    const auto found = worker.runs.find(order.task);
    if (found == worker.runs.end() || found->second.attempt != order.attempt) {
        return;
    }
    Run &run = found->second;
    run.stopCallOpen = false;
    if (reply.status == CallStatus::Ok) {
        run.stopAnswered = true;
        run.orderedAt = now;
        if (isAwaitingList(run) && !worker.renewalOpen) {
            worker.nextRenewal = now;
        }
        return;
    }
    if (reply.refusal == StartRefusal::Fenced && order.token == dispatcher.token) {
        dispatcher.deposed = true;
    }
}

/// Handles a run that a list doesn't show. A confirmed run is lost if it was last seen before the list was requested.
void resolveMissingRun(
    Dispatcher &dispatcher, WorkerSlot slot, const TaskKey &key, const RenewReply &reply, MonotonicTime sentAt, Now now)
{
    Worker &worker = dispatcher.workers.workers[slot];
    const Run &run = worker.runs.at(key);
    if (run.confirmed) {
        if (run.seenAt < sentAt) {
            ++dispatcher.counters.runsMissing;
            logLine(LogLevel::Warning, logPart,
                "Run is missing from the lists. task={} attempt={} worker={} incarnation={} last_end={} "
                "acknowledged={} seen_ms_ago={}",
                formatTaskKey(key), run.attempt, worker.entry.id, worker.entry.incarnation, worker.lastEnd,
                worker.acknowledgementSent, std::chrono::floor<milliseconds>(now.monotonic - run.seenAt).count());
            concludeRun(dispatcher, key,
                {.number = 0, .task = key, .attempt = run.attempt, .end = RunEnd::LeaseExpired, .checkpoint = {}}, slot,
                now);
        }
        return;
    }
    const bool refusedPermanently = run.stopAnswered && run.orderedAt < sentAt;
    if (refusedPermanently || reply.clock > run.latestStart) {
        logLine(LogLevel::Info, logPart, "Start had no effect. task={} attempt={} worker={}", formatTaskKey(key),
            run.attempt, worker.entry.id);
        dropRun(dispatcher, slot, key, now.monotonic, now.monotonic);
        return;
    }
    if (run.phase == RunPhase::Starting && !run.startCallOpen && run.orderedAt < sentAt) {
        // Once the stop is answered, the worker refuses the start permanently and the task can start elsewhere.
        stopRun(dispatcher, slot, key, now.monotonic);
    }
}

void stopUnknownRun(Dispatcher &dispatcher, WorkerSlot slot, const RunningTask &running, MonotonicTime now)
{
    Worker &worker = dispatcher.workers.workers[slot];
    const TaskPlace place = findTask(dispatcher, running.task);
    chargeRun(worker, dispatcher.tenants, running.task,
        {.attempt = running.attempt,
            .size = {},
            .tenant = place ? place.job->tenant : noTenant,
            .tenantSize = place ? chargedSize(*place.spec) : Resources{},
            .phase = RunPhase::Running,
            .seenAt = now,
            .confirmed = true,
            .listed = true,
            .unknown = true});
    if (place) {
        ++place.task->unknownRuns;
    }
    stopRun(dispatcher, slot, running.task, now);
}

/// Takes over or stops a run that this leader did not order or considered lost.
void handleUnknownRun(Dispatcher &dispatcher, WorkerSlot slot, const RunningTask &running, MonotonicTime now)
{
    const TaskPlace place = findTask(dispatcher, running.task);
    if (!place || place.task->phase != TaskPhase::Waiting || running.attempt < place.task->attempt
        || place.step->gangAborting) {
        stopUnknownRun(dispatcher, slot, running, now);
        return;
    }
    Worker &worker = dispatcher.workers.workers[slot];
    Task &task = *place.task;
    task.phase = TaskPhase::Assigned;
    --place.step->waiting;
    task.worker = slot;
    task.attempt = running.attempt;
    task.percent = running.percent;
    task.startedAt = now;
    task.progressAt = now;
    place.step->gangAttempt = std::max(place.step->gangAttempt, running.attempt);
    place.job->started = true;
    place.job->state = JobState::Running;
    Run run = makeRun(dispatcher, place, now);
    run.attempt = running.attempt;
    run.phase = RunPhase::Running;
    run.seenAt = now;
    run.confirmed = true;
    run.listed = true;
    run.startedAt.reset();
    chargeRun(worker, dispatcher.tenants, running.task, run);
    logLine(LogLevel::Info, logPart, "Run taken over. task={} attempt={} worker={} token={}",
        formatTaskKey(running.task), running.attempt, worker.entry.id, dispatcher.token);
}

/// Creates the occurrence of a run that a worker lists. A former leader, whose time of day was ahead of this one's, may
/// have started an occurrence that is not due here yet.
void addListedOccurrence(Dispatcher &dispatcher, const TaskKey &key)
{
    Job *job = findJob(dispatcher.jobs, key.step.job);
    if (job != nullptr && !isEnded(job->state) && key.step.occurrence < job->record.spec.repeatCount) {
        addOccurrences(*job, key.step.occurrence);
        updateCharge(dispatcher.jobMemory, dispatcher.tenants, *job);
    }
}

void handleRunningTask(Dispatcher &dispatcher, WorkerSlot slot, const RunningTask &running, MonotonicTime now)
{
    Worker &worker = dispatcher.workers.workers[slot];
    const auto found = worker.runs.find(running.task);
    if (found == worker.runs.end()) {
        addListedOccurrence(dispatcher, running.task);
        handleUnknownRun(dispatcher, slot, running, now);
        return;
    }
    Run &run = found->second;
    if (run.attempt != running.attempt) {
        return;
    }
    run.confirmed = true;
    run.listed = true;
    run.seenAt = now;
    const TaskPlace place = findTask(dispatcher, running.task);
    if (run.phase == RunPhase::Starting) {
        run.phase = RunPhase::Running;
        if (place) {
            recordStart(dispatcher, *place.job, now);
        }
    }
    if (!place || place.task->worker != slot || place.task->attempt != running.attempt) {
        return;
    }
    Task &task = *place.task;
    if (running.percent != task.percent) {
        task.percent = running.percent;
        task.progressAt = now;
        recordSpeedProgress(dispatcher, place, run, slot, running.percent, now);
    }
    if (!running.checkpoint.empty()) {
        task.checkpoint = running.checkpoint;
    }
}

void handleEndedTask(Dispatcher &dispatcher, WorkerSlot slot, const EndedTask &ended, Now now)
{
    Worker &worker = dispatcher.workers.workers[slot];
    if (ended.number <= worker.lastEnd) {
        return;
    }
    if (ended.number != worker.lastEnd + 1 && worker.lastEnd != 0) {
        logLine(LogLevel::Warning, logPart,
            "Ends are missing before one that the worker lists. worker={} incarnation={} last_end={} number={} "
            "token={}",
            worker.entry.id, worker.entry.incarnation, worker.lastEnd, ended.number, dispatcher.token);
    }
    worker.lastEnd = ended.number;
    addListedOccurrence(dispatcher, ended.task);
    concludeRun(dispatcher, ended.task, ended, slot, now);
    Job *job = findJob(dispatcher.jobs, ended.task.step.job);
    const bool mustStore = job != nullptr && !job->endStored;
    worker.ends[ended.number] = !mustStore;
    if (mustStore) {
        if (!job->progressChanged && !isEnded(job->state)) {
            // The record that covers this end may be stored or under way already; the next one acknowledges it.
            job->progressChanged = true;
            job->commitAfter = now.monotonic;
            dispatcher.unstoredJobs.insert(job->record.id);
        }
        job->unstoredEnds.push_back({.worker = slot, .incarnation = worker.entry.incarnation, .number = ended.number});
    }
}

void handleLists(Dispatcher &dispatcher, WorkerSlot slot, const RenewReply &reply, MonotonicTime sentAt, Now now)
{
    for (const EndedTask &ended : reply.ended) {
        handleEndedTask(dispatcher, slot, ended, now);
    }
    for (const RunningTask &running : reply.running) {
        handleRunningTask(dispatcher, slot, running, now.monotonic);
    }
    Worker &worker = dispatcher.workers.workers[slot];
    // A full list may omit ends, so it doesn't prove that a run is gone.
    if (reply.ended.size() >= maxListedEnds) {
        logLine(LogLevel::Info, logPart, "List of ends is full. worker={} last_end={} acknowledged={} ends_complete={}",
            worker.entry.id, worker.lastEnd, worker.acknowledgementSent, worker.endsComplete);
        return;
    }
    worker.endsComplete = true;
    std::vector<TaskKey> missing;
    for (const auto &entry : worker.runs) {
        const TaskKey &key = entry.first;
        const bool isListed = std::ranges::find(reply.running, key, &RunningTask::task) != reply.running.end();
        if (entry.second.seenAt != now.monotonic && !isListed) {
            missing.push_back(key);
        }
    }
    for (const TaskKey &key : missing) {
        resolveMissingRun(dispatcher, slot, key, reply, sentAt, now);
    }
}

void renew(Dispatcher &dispatcher, WorkerSlot slot, MonotonicTime now)
{
    Worker &worker = dispatcher.workers.workers[slot];
    const bool known = worker.contacted;
    RenewWorker call{.call = dispatcher.outbox->newCall(),
        .worker = targetOf(worker),
        .fencingToken = dispatcher.token,
        .acknowledged = canAcknowledge(worker, now) ? advanceAcknowledged(worker) : 0,
        .leaseUntil = {},
        .wait = milliseconds(0),
        .timeout = firstContactTimeout};
    worker.previousRequestedLease = worker.requestedLease;
    // From a worker that did not answer, only its lists are requested: each further lease that it may have received
    // would delay the time at which its runs are certain to have ended.
    const milliseconds slack = std::max(renewalSlack, orderTimeout(dispatcher.orderLatency));
    if (known && worker.renewalFailures > 0) {
        call.timeout = slack;
    } else if (known) {
        if (dispatcher.canExtendLeases) {
            call.leaseUntil = workerClockNow(worker, now) + leaderLease(dispatcher.bounds);
            worker.requestedLease = std::max(worker.requestedLease, call.leaseUntil);
        }
        const bool listDue
            = std::ranges::any_of(worker.runs, [](const auto &entry) { return isAwaitingList(entry.second); });
        const bool waits = !worker.runs.empty() && worker.ends.empty() && !listDue && !hasLateOrders(worker);
        call.wait = waits ? renewalWait : milliseconds(0);
        call.timeout = call.wait + slack;
    }
    if (call.acknowledged > worker.acknowledgementSent) {
        logLine(LogLevel::Info, logPart, "Ends acknowledged. worker={} incarnation={} up_to={} last_end={} token={}",
            worker.entry.id, worker.entry.incarnation, call.acknowledged, worker.lastEnd, dispatcher.token);
    }
    worker.acknowledgementSent = std::max(worker.acknowledgementSent, call.acknowledged);
    worker.renewalOpen = true;
    worker.renewalCall = call.call;
    worker.renewalToken = dispatcher.token;
    worker.renewalSentAt = now;
    dispatcher.renewals.emplace(call.call, slot);
    ++dispatcher.counters.renewals;
    dispatcher.outbox->add(std::move(call));
}

void scheduleRenewal(Worker &worker, MonotonicTime now)
{
    if (!worker.ends.empty()) {
        // Set to an earlier time once the ends are stored.
        worker.nextRenewal = now + unstoredEndsDelay;
    } else if (!worker.runs.empty()) {
        // With late orders the worker waits for a higher token; renewWorkers() sends that as soon as there is one.
        worker.nextRenewal = hasLateOrders(worker) ? now + unstoredEndsDelay : now;
    } else if (worker.acknowledgementSent < worker.lastEnd) {
        worker.nextRenewal = now + lastAcknowledgementDelay;
    } else {
        // Nothing runs and nothing is listed: the next start schedules a renewal.
        worker.nextRenewal = MonotonicTime::max();
    }
}

/// Time by which a new incarnation's leases have ended that calls for the former one may have got before the restart
/// was detected.
MonotonicTime newIncarnationLeaseEndBy(const Dispatcher &dispatcher, const Worker &worker)
{
    return worker.incarnationDetectedAt + longestByWorkerClock(dispatcher.bounds.maxWorkerLease);
}

/// Notes that the leases of a worker are bounded once those that calls for a former incarnation may have got have run
/// down to what leaders request. The worker has refused such calls since it replied to the present token.
void updateLeaseBound(Dispatcher &dispatcher, Worker &worker, MonotonicTime now)
{
    if (areLeasesBounded(worker) || !worker.contacted || hasLateOrders(worker)) {
        return;
    }
    if (worker.requestedLease <= workerClockNow(worker, now) + leaderLease(dispatcher.bounds)) {
        worker.boundedIncarnation = worker.entry.incarnation;
        dispatcher.workersChanged = true;
        logLine(LogLevel::Info, logPart, "Leases of the incarnation are bounded. worker={} incarnation={} token={}",
            worker.entry.id, worker.entry.incarnation, dispatcher.token);
    }
}

/// Concludes the runs of an unreachable worker once its lease has expired.
void concludeUnreachableRuns(Dispatcher &dispatcher, WorkerSlot slot, Now now)
{
    Worker &worker = dispatcher.workers.workers[slot];
    if (worker.renewalFailures == 0 || (worker.runs.empty() && !hasUnreadEnds(worker))) {
        return;
    }
    const MonotonicTime unknownLeaseEnd
        = std::max(formerLeasesEndBy(dispatcher, worker), newIncarnationLeaseEndBy(dispatcher, worker));
    const MonotonicTime runsEndedBy = (worker.contacted ? leaseEndsBy(worker) : unknownLeaseEnd) + leaseMargin;
    if (now.monotonic < runsEndedBy) {
        return;
    }
    logLine(LogLevel::Warning, logPart,
        "Worker is unreachable and its lease has expired. worker={} incarnation={} token={} failures={} runs_lost={} "
        "contacted={} lease_ended_by_ms_ago={} answered_ms_ago={}",
        worker.entry.id, worker.entry.incarnation, dispatcher.token, worker.renewalFailures, worker.runs.size(),
        worker.contacted, std::chrono::floor<milliseconds>(now.monotonic - runsEndedBy).count(),
        std::chrono::floor<milliseconds>(now.monotonic - worker.renewalAnsweredAt).count());
    const std::uint32_t failures = worker.renewalFailures;
    const std::uint64_t lastEnd = worker.lastEnd;
    const std::uint64_t acknowledged = worker.acknowledged;
    std::map<std::uint64_t, bool> ends = std::move(worker.ends);
    concludeLostRuns(dispatcher, slot, now);
    // The worker may return as the same incarnation, with the same numbers and with ends that are not stored yet.
    worker.lastEnd = lastEnd;
    worker.acknowledged = acknowledged;
    worker.ends = std::move(ends);
    worker.renewalFailures = failures;
}

void superviseRun(Dispatcher &dispatcher, WorkerSlot slot, const TaskKey &key, MonotonicTime now)
{
    Worker &worker = dispatcher.workers.workers[slot];
    Run &run = worker.runs.at(key);
    if (worker.renewalFailures > 0) {
        return;
    }
    if (isAwaitingList(run)) {
        return;
    }
    if (run.phase == RunPhase::Stopping) {
        // A stop that was answered is given time to take effect.
        const milliseconds retryAfter
            = stopRetryDelay + (run.stopAnswered ? dispatcher.bounds.stopTime : milliseconds(0));
        if (!run.stopCallOpen && now - run.orderedAt > retryAfter) {
            stopRun(dispatcher, slot, key, now);
        }
        return;
    }
    const TaskPlace place = findTask(dispatcher, key);
    if (!place || place.task->worker != slot || place.spec->longRunning) {
        return;
    }
    if (place.spec->gang && run.phase == RunPhase::Starting && !place.step->gangAborting
        && now - place.step->gangStartedAt > dispatcher.bounds.gangTimeout / 2) {
        abortGang(dispatcher, place, key.step, now);
        return;
    }
    if (run.phase == RunPhase::Running && now - place.task->progressAt > stallTime && worker.renewalFailures == 0
        && place.task->percent < 100) {
        ++dispatcher.counters.stalled;
        logLine(LogLevel::Warning, logPart, "Task makes no progress and is stopped. task={} worker={} percent={}",
            formatTaskKey(key), worker.entry.id, place.task->percent);
        if (isWorkerSuspect(*place.job, *place.spec, *place.step, *place.task, slot)) {
            recordFailure(dispatcher.workers, slot, stallWeight, now);
        }
        place.task->failedOn = slot;
        stopRun(dispatcher, slot, key, now);
    }
}

/// Time in which the worker or this process reported or read nothing is not evidence that a task makes no progress.
void restartProgressTimers(Dispatcher &dispatcher, WorkerSlot slot, MonotonicTime now)
{
    for (auto &[key, run] : dispatcher.workers.workers[slot].runs) {
        // An end is not read at once after such a gap, and the run would seem to have taken longer.
        run.speedMark.reset();
        const TaskPlace place = findTask(dispatcher, key);
        if (place && place.task->worker == slot) {
            place.task->progressAt = now;
        }
    }
}

/// Whether a worker can hold the same tasks with both entries.
bool hasSameCapabilities(const WorkerEntry &left, const WorkerEntry &right)
{
    return left.pool == right.pool && left.labels == right.labels && left.capacity == right.capacity;
}

} // namespace

void inheritWorkers(Dispatcher &dispatcher, std::span<const WorkerEntry> entries)
{
    for (const WorkerEntry &entry : entries) {
        Worker &worker = dispatcher.workers.workers[addWorker(dispatcher.workers, entry.id)];
        worker.entry = entry;
        worker.listed = false;
        worker.inherited = true;
        worker.recorded = true;
        worker.boundedIncarnation = entry.incarnation;
    }
}

void updateWorkers(Dispatcher &dispatcher, std::span<const WorkerEntry> entries, MonotonicTime now)
{
    std::vector<bool> seen(dispatcher.workers.workers.size(), false);
    bool changed = false;
    for (const WorkerEntry &entry : entries) {
        const WorkerSlot slot = addWorker(dispatcher.workers, entry.id);
        seen.resize(dispatcher.workers.workers.size(), false);
        seen[slot] = true;
        Worker &worker = dispatcher.workers.workers[slot];
        const std::int64_t known = worker.entry.incarnation;
        if (entry.incarnation < known) {
            continue;
        }
        changed = changed || !worker.listed || entry.incarnation != known;
        if (!worker.listed || !hasSameCapabilities(worker.entry, entry)) {
            ++dispatcher.workers.capabilityVersion;
        }
        // A new incarnation may have another address, to which its orders have to go.
        worker.entry.endpoint = entry.endpoint;
        setIncarnation(dispatcher, slot, entry.incarnation, now);
        if (entry.draining && !worker.entry.draining) {
            logLine(LogLevel::Info, logPart, "Worker is draining. worker={} leaves_in_ms={} runs={}", entry.id,
                entry.leavesIn.count(), worker.runs.size());
        }
        worker.entry = entry;
        worker.listed = true;
    }
    for (WorkerSlot slot = 0; slot < seen.size(); ++slot) {
        Worker &worker = dispatcher.workers.workers[slot];
        if (!seen[slot] && worker.listed) {
            worker.listed = false;
            changed = true;
            logLine(LogLevel::Info, logPart, "Worker left the directory. worker={} runs={}", worker.entry.id,
                worker.runs.size());
        }
    }
    dispatcher.workersChanged = dispatcher.workersChanged || changed;
    dispatcher.placementDue = true;
}

void handleOrderReply(Dispatcher &dispatcher, const OrderReply &reply, MonotonicTime now)
{
    const auto found = dispatcher.orders.find(reply.call);
    if (found == dispatcher.orders.end()) {
        return;
    }
    const OpenOrder order = found->second;
    dispatcher.orders.erase(found);
    if (order.isStart && (reply.status == CallStatus::Ok || reply.status == CallStatus::Refused)) {
        recordStartReply(dispatcher.orderLatency, std::chrono::floor<milliseconds>(now - order.sentAt));
    }
    // Placement may have stopped at the limit of open orders.
    dispatcher.placementDue = true;
    if (dispatcher.workers.workers[order.worker].entry.incarnation != order.incarnation) {
        return;
    }
    if (reply.clock && *reply.clock < order.clock) {
        handleUnknownRestart(dispatcher, order.worker, now);
    }
    if (order.isStart) {
        handleStartReply(dispatcher, order, reply, now);
    } else {
        handleStopReply(dispatcher, order, reply, now);
    }
}

void handleRenewReply(Dispatcher &dispatcher, const RenewReply &reply, Now now)
{
    const auto found = dispatcher.renewals.find(reply.call);
    if (found == dispatcher.renewals.end()) {
        return;
    }
    const WorkerSlot slot = found->second;
    dispatcher.renewals.erase(found);
    Worker &worker = dispatcher.workers.workers[slot];
    if (worker.renewalCall != reply.call) {
        return;
    }
    worker.renewalOpen = false;
    if (reply.refusal == StartRefusal::Fenced && worker.renewalToken == dispatcher.token) {
        logLine(LogLevel::Warning, logPart, "Worker has seen a newer token. worker={} token={}", worker.entry.id,
            dispatcher.token);
        dispatcher.deposed = true;
        return;
    }
    if (reply.status != CallStatus::Ok) {
        if (reply.status == CallStatus::Unreachable) {
            worker.requestedLease = std::max(worker.previousRequestedLease, worker.startLease);
        }
        ++worker.renewalFailures;
        worker.acknowledgementSent = 0;
        const auto delay = std::min(failedRenewalDelay * worker.renewalFailures, maxRenewalDelay);
        worker.nextRenewal = now.monotonic + delay;
        logLine(LogLevel::Info, logPart, "Renewal failed. worker={} status={} failures={} runs={}", worker.entry.id,
            static_cast<int>(reply.status), worker.renewalFailures, worker.runs.size());
        return;
    }
    if (reply.incarnation < worker.entry.incarnation) {
        worker.nextRenewal = now.monotonic + failedRenewalDelay;
        return;
    }
    if (reply.incarnation > worker.entry.incarnation) {
        setIncarnation(dispatcher, slot, reply.incarnation, now.monotonic);
        // The new incarnation may have another capacity; no starts until the directory shows it.
        worker.listed = false;
    }
    if (!worker.contacted || hasLateOrders(worker)) {
        // A former leader, or a call that was meant for a former incarnation, may have extended the lease.
        const milliseconds longest
            = areLeasesBounded(worker) ? leaderLease(dispatcher.bounds) : dispatcher.bounds.maxWorkerLease;
        worker.requestedLease = std::max(worker.requestedLease, reply.clock + longest);
    }
    worker.clock = reply.clock;
    worker.clockReadAt = now.monotonic;
    worker.renewalAnsweredAt = now.monotonic;
    if (worker.renewalFailures > 0 || !worker.contacted) {
        dispatcher.placementDue = true;
    }
    const bool wasUnreachable = worker.renewalFailures > 0;
    if (wasUnreachable) {
        restartProgressTimers(dispatcher, slot, now.monotonic);
    }
    worker.renewalFailures = 0;
    dispatcher.workersChanged = dispatcher.workersChanged || (!worker.contacted && !worker.recorded);
    worker.contacted = true;
    worker.contactedToken = worker.renewalToken;
    worker.inherited = false;
    handleLists(dispatcher, slot, reply, worker.renewalSentAt, now);
    scheduleRenewal(worker, now.monotonic);
    if (wasUnreachable) {
        // The renewal that was just answered requested no lease.
        worker.nextRenewal = now.monotonic;
    }
}

void superviseWorkers(Dispatcher &dispatcher, Now now)
{
    if (now.monotonic - std::exchange(dispatcher.supervisedAt, now.monotonic) > maxSupervisionGap) {
        for (WorkerSlot slot = 0; slot < dispatcher.workers.workers.size(); ++slot) {
            restartProgressTimers(dispatcher, slot, now.monotonic);
        }
    }
    for (WorkerSlot slot = 0; slot < dispatcher.workers.workers.size(); ++slot) {
        concludeUnreachableRuns(dispatcher, slot, now);
        updateLeaseBound(dispatcher, dispatcher.workers.workers[slot], now.monotonic);
        std::vector<TaskKey> keys;
        for (const auto &[key, run] : dispatcher.workers.workers[slot].runs) {
            keys.push_back(key);
        }
        for (const TaskKey &key : keys) {
            superviseRun(dispatcher, slot, key, now.monotonic);
        }
    }
}

void renewWorkers(Dispatcher &dispatcher, MonotonicTime now)
{
    for (WorkerSlot slot = 0; slot < dispatcher.workers.workers.size(); ++slot) {
        Worker &worker = dispatcher.workers.workers[slot];
        const bool tokenDue = hasLateOrders(worker) && dispatcher.token > worker.formerIncarnationToken;
        const bool due = worker.nextRenewal <= now || (tokenDue && worker.renewalFailures == 0);
        if (!worker.renewalOpen && due && needsRenewals(worker)) {
            renew(dispatcher, slot, now);
        }
    }
}

} // namespace wigeonkeel::dispatch

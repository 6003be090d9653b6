#include "core/dispatch/worker_events.h"

#include "core/dispatch/task_runs.h"
#include "core/log.h"

#include <algorithm>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::string_view logPart = "worker";
/// How long a worker may hold its answer back while nothing ends. Each look is priced; progress is read by it too.
constexpr milliseconds renewalWait{1200};
/// Over the wait; covers the round trip over zones and one resent packet.
constexpr milliseconds renewalSlack{500};
constexpr milliseconds firstContactTimeout{400};
constexpr milliseconds failedRenewalDelay{150};
constexpr milliseconds longestRenewalDelay{1000};
/// With ends listed that are not stored yet, the worker would answer at once; the next look waits for the store, or
/// this long.
constexpr milliseconds unstoredEndsDelay{300};
/// Ends have to be acknowledged within 4 s, also by a worker that nothing runs on.
constexpr milliseconds lastAcknowledgementDelay{1500};
/// Ends that one list shows; the platform's contract.
constexpr std::size_t maxListedEnds = 500;
constexpr milliseconds refusedDelay{150};
/// After a stop without effect.
constexpr milliseconds stopRetryDelay{500};
/// Room of runs that this leader doesn't know is not used for this long after their stop was ordered.
constexpr milliseconds strangerDelay{1500};
/// A task that makes no progress for this long stands still: at an eighth of the usual speed the longest tasks still
/// advance by a percent in this time.
constexpr milliseconds stallTime{3000};
constexpr double stallWeight = 1.5;
/// A worker that left the directory and does not answer is given up after its lease.
constexpr milliseconds leaseMargin{100};

/// A worker that answered a look this lately can't have crashed, started again and ended a run since. Longer than the
/// usual time between looks.
constexpr milliseconds sameLifeTime{500};

bool isAlive(const Worker &worker)
{
    return worker.listed || worker.inherited || !worker.runs.empty() || !worker.ends.empty();
}

/// Acknowledgements name numbers, and a worker that is born anew under its id counts from 1 again: it would forget ends
/// of its new life that nobody has heard. So one is sent only if nothing can have ended in a life not seen yet.
bool mayAcknowledge(const Worker &worker, MonotonicTime now)
{
    const bool seenLately = now - worker.renewalAnsweredAt < sameLifeTime;
    const bool allListed = std::ranges::all_of(worker.runs, [](const auto &entry) { return entry.second.listed; });
    return worker.greeted && worker.renewalFailures == 0 && (seenLately || allListed);
}

/// The start had no answer and was stopped for good: the next list that is asked for shows whether the run was there. A
/// further stop would only put that off.
bool awaitsProof(const Run &run)
{
    return run.phase == RunPhase::Stopping && run.stopAnswered && !run.confirmed;
}

/// What the worker told before doesn't hold any more.
void resetLife(Worker &worker, MonotonicTime now)
{
    worker.greeted = false;
    worker.greetedToken = 0;
    worker.ends.clear();
    worker.lastEnd = 0;
    worker.acknowledged = 0;
    worker.acknowledgementSent = 0;
    worker.leaseAsked = {};
    worker.leaseBefore = {};
    worker.startLease = {};
    worker.renewalOpen = false;
    worker.renewalCall = 0;
    worker.renewalFailures = 0;
    worker.nextRenewal = now;
    worker.health = {};
}

/// All that ran on the worker is gone.
void forgetLife(Dispatcher &dispatcher, WorkerSlot slot, MonotonicTime now)
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
    resetLife(worker, now);
}

/// The worker was born anew under its id. Orders name the id only, so the new life may have carried out, or may yet
/// carry out, what was meant for the one before: nothing is started elsewhere until its first list shows what is there,
/// and starts without an answer are stopped.
void setIncarnation(Dispatcher &dispatcher, WorkerSlot slot, std::int64_t incarnation, MonotonicTime now)
{
    Worker &worker = dispatcher.workers.workers[slot];
    // A stale directory may still show the life before.
    if (incarnation <= worker.entry.incarnation) {
        return;
    }
    const bool isFirst = worker.entry.incarnation == 0;
    worker.entry.incarnation = incarnation;
    if (isFirst) {
        return;
    }
    logLine(LogLevel::Info, logPart, "Worker restarted. worker={} incarnation={} runs={}", worker.entry.id, incarnation,
        worker.runs.size());
    resetLife(worker, now);
    worker.bornAt = now;
    worker.formerLifeToken = dispatcher.token;
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

void noteStarted(Dispatcher &dispatcher, Job &job, MonotonicTime now)
{
    if (!job.started) {
        observe(dispatcher, DurationKind::FirstStart, now - job.submittedAt);
    }
    job.started = true;
    job.state = JobState::Running;
}

void takeStartReply(Dispatcher &dispatcher, const OpenOrder &order, const OrderReply &reply, MonotonicTime now)
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
            noteStarted(dispatcher, *place.job, now);
            place.task->progressAt = now;
        }
        return;
    }
    if (reply.status == CallStatus::Unknown) {
        ++dispatcher.counters.startsUnanswered;
        logLine(LogLevel::Info, logPart, "Start unanswered. task={} attempt={} worker={}", formatTaskKey(order.task),
            order.attempt, worker.entry.id);
        // Not sent again: a copy that is on its way could start the task once more in the worker's next life. The lists
        // tell whether it runs.
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
        noteFailure(worker.health, 1.0, now);
        break;
    case StartRefusal::WrongIncarnation:
        worker.greeted = false;
        worker.nextRenewal = now;
        break;
    default:
        break;
    }
    if (reply.status == CallStatus::Unreachable) {
        noteFailure(worker.health, 0.5, now);
    }
    const bool again = reply.refusal == StartRefusal::OldAttempt || reply.refusal == StartRefusal::Ticket;
    dropRun(dispatcher, order.worker, order.task, again ? now : now + refusedDelay, now);
}

void takeStopReply(Dispatcher &dispatcher, const OpenOrder &order, const OrderReply &reply, MonotonicTime now)
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
        if (awaitsProof(run) && !worker.renewalOpen) {
            worker.nextRenewal = now;
        }
        return;
    }
    if (reply.refusal == StartRefusal::Fenced && order.token == dispatcher.token) {
        dispatcher.deposed = true;
    }
}

/// A run that a list which was asked for after it was seen doesn't show any more.
void settleMissingRun(Dispatcher &dispatcher, WorkerSlot slot, const TaskKey &key, const RenewReply &reply,
    MonotonicTime sentAt, MonotonicTime now)
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
                worker.acknowledgementSent, std::chrono::floor<milliseconds>(now - run.seenAt).count());
            concludeRun(dispatcher, key,
                {.number = 0, .task = key, .attempt = run.attempt, .end = RunEnd::LeaseExpired, .checkpoint = {}}, slot,
                now);
        }
        return;
    }
    const bool refusedForGood = run.stopAnswered && run.orderedAt < sentAt;
    if (refusedForGood || reply.clock > run.latestStart) {
        logLine(LogLevel::Info, logPart, "Start came to nothing. task={} attempt={} worker={}", formatTaskKey(key),
            run.attempt, worker.entry.id);
        dropRun(dispatcher, slot, key, now, now);
        return;
    }
    if (run.phase == RunPhase::Starting && !run.startCallOpen && run.orderedAt < sentAt) {
        // Once the stop is answered, the start is refused for good and the task can start elsewhere.
        stopRun(dispatcher, slot, key, now);
    }
}

void stopStranger(Dispatcher &dispatcher, WorkerSlot slot, const RunningTask &running, MonotonicTime now)
{
    Worker &worker = dispatcher.workers.workers[slot];
    worker.strangersUntil = now + strangerDelay;
    chargeRun(worker, running.task,
        {.attempt = running.attempt,
            .size = {},
            .phase = RunPhase::Running,
            .seenAt = now,
            .confirmed = true,
            .listed = true});
    stopRun(dispatcher, slot, running.task, now);
}

/// A run that this leader did not order, or took for lost.
void takeUnknownRun(Dispatcher &dispatcher, WorkerSlot slot, const RunningTask &running, MonotonicTime now)
{
    const TaskPlace place = findTask(dispatcher, running.task);
    if (!place || place.task->phase != TaskPhase::Waiting || running.attempt < place.task->attempt
        || place.step->gangAborting) {
        stopStranger(dispatcher, slot, running, now);
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
    chargeRun(worker, running.task, run);
    logLine(LogLevel::Info, logPart, "Run taken over. task={} attempt={} worker={}", formatTaskKey(running.task),
        running.attempt, worker.entry.id);
}

void takeRunning(Dispatcher &dispatcher, WorkerSlot slot, const RunningTask &running, MonotonicTime now)
{
    Worker &worker = dispatcher.workers.workers[slot];
    const auto found = worker.runs.find(running.task);
    if (found == worker.runs.end()) {
        takeUnknownRun(dispatcher, slot, running, now);
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
            noteStarted(dispatcher, *place.job, now);
        }
    }
    if (!place || place.task->worker != slot || place.task->attempt != running.attempt) {
        return;
    }
    Task &task = *place.task;
    if (running.percent != task.percent) {
        task.percent = running.percent;
        task.progressAt = now;
    }
    if (!running.checkpoint.empty()) {
        task.checkpoint = running.checkpoint;
    }
}

void takeEnded(Dispatcher &dispatcher, WorkerSlot slot, const EndedTask &ended, MonotonicTime now)
{
    Worker &worker = dispatcher.workers.workers[slot];
    if (ended.number <= worker.lastEnd) {
        return;
    }
    worker.lastEnd = ended.number;
    concludeRun(dispatcher, ended.task, ended, slot, now);
    Job *job = findJob(dispatcher.jobs, ended.task.step.job);
    const bool mustStore = job != nullptr && !job->endStored;
    worker.ends[ended.number] = !mustStore;
    if (mustStore) {
        if (!job->progressChanged && !isEnded(job->state)) {
            // The record that covers this end may be stored or under way already; the next one acknowledges it.
            job->progressChanged = true;
            job->commitAfter = now;
            dispatcher.unstoredJobs.insert(job->record.id);
        }
        job->unstoredEnds.push_back({.worker = slot, .incarnation = worker.entry.incarnation, .number = ended.number});
    }
}

void takeLists(
    Dispatcher &dispatcher, WorkerSlot slot, const RenewReply &reply, MonotonicTime sentAt, MonotonicTime now)
{
    for (const EndedTask &ended : reply.ended) {
        takeEnded(dispatcher, slot, ended, now);
    }
    for (const RunningTask &running : reply.running) {
        takeRunning(dispatcher, slot, running, now);
    }
    // A full list may leave ends out, so it doesn't prove that a run is gone.
    if (reply.ended.size() >= maxListedEnds) {
        return;
    }
    Worker &worker = dispatcher.workers.workers[slot];
    std::vector<TaskKey> missing;
    for (const auto &entry : worker.runs) {
        const TaskKey &key = entry.first;
        const bool isListed = std::ranges::find(reply.running, key, &RunningTask::task) != reply.running.end();
        if (entry.second.seenAt != now && !isListed) {
            missing.push_back(key);
        }
    }
    for (const TaskKey &key : missing) {
        settleMissingRun(dispatcher, slot, key, reply, sentAt, now);
    }
}

void renew(Dispatcher &dispatcher, WorkerSlot slot, MonotonicTime now)
{
    Worker &worker = dispatcher.workers.workers[slot];
    const bool known = worker.greeted;
    RenewWorker call{.call = dispatcher.outbox->newCall(),
        .worker = targetOf(worker),
        .fencingToken = dispatcher.token,
        .acknowledged = mayAcknowledge(worker, now) ? acknowledgeable(worker) : 0,
        .leaseUntil = {},
        .wait = milliseconds(0),
        .timeout = firstContactTimeout};
    worker.leaseBefore = worker.leaseAsked;
    // A worker that did not answer is asked for its lists only: each further lease that it may have got would put off
    // the time at which its runs are surely gone.
    if (known && worker.renewalFailures > 0) {
        call.timeout = renewalSlack;
    } else if (known) {
        const milliseconds lease = std::min(dispatcher.bounds.workerLease, dispatcher.bounds.maxWorkerLease);
        if (dispatcher.mayExtend) {
            call.leaseUntil = workerClockNow(worker, now) + lease;
            worker.leaseAsked = std::max(worker.leaseAsked, call.leaseUntil);
        }
        const bool proofDue
            = std::ranges::any_of(worker.runs, [](const auto &entry) { return awaitsProof(entry.second); });
        const bool waits = !worker.runs.empty() && worker.ends.empty() && !proofDue && !hasLateOrders(worker);
        call.wait = waits ? renewalWait : milliseconds(0);
        call.timeout = call.wait + renewalSlack;
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

void planRenewal(Worker &worker, MonotonicTime now)
{
    if (!worker.ends.empty()) {
        // The store's answer sets this to now.
        worker.nextRenewal = now + unstoredEndsDelay;
    } else if (!worker.runs.empty()) {
        // The higher token that the worker waits for asks for a look by itself.
        worker.nextRenewal = hasLateOrders(worker) ? now + unstoredEndsDelay : now;
    } else if (worker.acknowledgementSent < worker.lastEnd) {
        worker.nextRenewal = now + lastAcknowledgementDelay;
    } else {
        // Nothing runs and nothing is listed: the next start asks for a look.
        worker.nextRenewal = MonotonicTime::max();
    }
}

/// Runs of a worker that can't be reached are gone when its lease is.
void giveUpUnreachable(Dispatcher &dispatcher, WorkerSlot slot, MonotonicTime now)
{
    Worker &worker = dispatcher.workers.workers[slot];
    if (worker.renewalFailures == 0 || worker.runs.empty()) {
        return;
    }
    const MonotonicTime unknownLeaseEnd
        = std::max(dispatcher.inheritanceSettlesAt, worker.bornAt + dispatcher.bounds.maxWorkerLease);
    const MonotonicTime goneBy = (worker.greeted ? leaseEndsBy(worker) : unknownLeaseEnd) + leaseMargin;
    if (now < goneBy) {
        return;
    }
    logLine(LogLevel::Warning, logPart, "Worker given up, its lease has ended. worker={} failures={} runs_lost={}",
        worker.entry.id, worker.renewalFailures, worker.runs.size());
    const std::uint32_t failures = worker.renewalFailures;
    const std::uint64_t lastEnd = worker.lastEnd;
    const std::uint64_t acknowledged = worker.acknowledged;
    std::map<std::uint64_t, bool> ends = std::move(worker.ends);
    forgetLife(dispatcher, slot, now);
    // It may be the same life when it comes back, with the same numbers and ends that are not stored yet.
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
    if (awaitsProof(run)) {
        return;
    }
    if (run.phase == RunPhase::Stopping) {
        // An answered stop has its time to take effect.
        const milliseconds patience
            = stopRetryDelay + (run.stopAnswered ? dispatcher.bounds.stopTime : milliseconds(0));
        if (!run.stopCallOpen && now - run.orderedAt > patience) {
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
        noteFailure(worker.health, stallWeight, now);
        place.task->failedOn = slot;
        stopRun(dispatcher, slot, key, now);
    }
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
        setIncarnation(dispatcher, slot, entry.incarnation, now);
        if (entry.draining && !worker.entry.draining) {
            logLine(LogLevel::Info, logPart, "Worker drains. worker={} leaves_in_ms={} runs={}", entry.id,
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

void takeOrderReply(Dispatcher &dispatcher, const OrderReply &reply, MonotonicTime now)
{
    const auto found = dispatcher.orders.find(reply.call);
    if (found == dispatcher.orders.end()) {
        return;
    }
    const OpenOrder order = found->second;
    dispatcher.orders.erase(found);
    // Placement may have stopped at the bound of open orders.
    dispatcher.placementDue = true;
    if (dispatcher.workers.workers[order.worker].entry.incarnation != order.incarnation) {
        return;
    }
    if (order.isStart) {
        takeStartReply(dispatcher, order, reply, now);
    } else {
        takeStopReply(dispatcher, order, reply, now);
    }
}

void takeRenewReply(Dispatcher &dispatcher, const RenewReply &reply, MonotonicTime now)
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
            worker.leaseAsked = std::max(worker.leaseBefore, worker.startLease);
        }
        ++worker.renewalFailures;
        worker.acknowledgementSent = 0;
        const auto delay = std::min(failedRenewalDelay * worker.renewalFailures, longestRenewalDelay);
        worker.nextRenewal = now + delay;
        logLine(LogLevel::Info, logPart, "Look failed. worker={} status={} failures={} runs={}", worker.entry.id,
            static_cast<int>(reply.status), worker.renewalFailures, worker.runs.size());
        return;
    }
    if (reply.incarnation < worker.entry.incarnation) {
        worker.nextRenewal = now + failedRenewalDelay;
        return;
    }
    if (reply.incarnation > worker.entry.incarnation) {
        setIncarnation(dispatcher, slot, reply.incarnation, now);
        // A new life may be of another size; the directory has to tell it first.
        worker.listed = false;
    }
    worker.clock = reply.clock;
    worker.clockReadAt = now;
    worker.renewalAnsweredAt = now;
    if (worker.renewalFailures > 0 || !worker.greeted) {
        dispatcher.placementDue = true;
    }
    const bool wasLost = worker.renewalFailures > 0;
    worker.renewalFailures = 0;
    worker.greeted = true;
    worker.greetedToken = worker.renewalToken;
    worker.inherited = false;
    takeLists(dispatcher, slot, reply, worker.renewalSentAt, now);
    planRenewal(worker, now);
    if (wasLost) {
        // That look asked for no lease.
        worker.nextRenewal = now;
    }
}

void superviseWorkers(Dispatcher &dispatcher, MonotonicTime now)
{
    for (WorkerSlot slot = 0; slot < dispatcher.workers.workers.size(); ++slot) {
        giveUpUnreachable(dispatcher, slot, now);
        std::vector<TaskKey> keys;
        for (const auto &[key, run] : dispatcher.workers.workers[slot].runs) {
            keys.push_back(key);
        }
        for (const TaskKey &key : keys) {
            superviseRun(dispatcher, slot, key, now);
        }
    }
}

void renewWorkers(Dispatcher &dispatcher, MonotonicTime now)
{
    for (WorkerSlot slot = 0; slot < dispatcher.workers.workers.size(); ++slot) {
        Worker &worker = dispatcher.workers.workers[slot];
        const bool tokenDue = hasLateOrders(worker) && dispatcher.token > worker.formerLifeToken;
        const bool due = worker.nextRenewal <= now || (tokenDue && worker.renewalFailures == 0);
        if (!worker.renewalOpen && due && isAlive(worker)) {
            renew(dispatcher, slot, now);
        }
    }
}

} // namespace wigeonkeel::dispatch

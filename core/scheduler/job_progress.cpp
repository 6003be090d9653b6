#include "core/scheduler/job_progress.h"

#include "core/scheduler/gang_events.h"
#include "core/scheduler/scheduler.h"

#include <algorithm>
#include <span>

namespace wigeonkeel
{

namespace
{

/// Stops and removals that had no effect are repeated at this interval: an offer may have been under way.
constexpr milliseconds stopInterval{1000};
constexpr milliseconds listAfterLoss{10000};
constexpr std::uint32_t defaultMaxAttempts = 3;

/// True if a peer may still start a task of the job that this daemon offered.
bool hasOpenOffer(const Scheduler &scheduler, const RequestKey &key)
{
    const auto &outgoing = scheduler.offers.outgoing;
    for (auto offer = outgoing.lower_bound({.job = key, .index = 0});
         offer != outgoing.end() && offer->first.job == key; ++offer) {
        if (!offer->second.accepted) {
            return true;
        }
    }
    return false;
}

/// Offers that were accepted are followed by the new home.
void dropOffers(Scheduler &scheduler, const RequestKey &key)
{
    auto &outgoing = scheduler.offers.outgoing;
    for (auto offer = outgoing.lower_bound({.job = key, .index = 0});
         offer != outgoing.end() && offer->first.job == key;) {
        offer = outgoing.erase(offer);
    }
}

void queueTasks(Scheduler &scheduler, const RequestKey &key, JobEntry &job, const Now &now, Actions &actions)
{
    const std::vector<std::uint32_t> ready = takeReadyTasks(scheduler.jobs, job, now.monotonic);
    std::vector<TaskSpec> tasks;
    tasks.reserve(ready.size());
    for (const std::uint32_t index : ready) {
        tasks.push_back(jobTaskSpec(key, job, index));
    }
    if (job.submission.kind == TaskKind::Gang && !tasks.empty()) {
        startGang(scheduler, key, tasks, now, actions);
        return;
    }
    for (const TaskSpec &task : tasks) {
        enqueueTask(scheduler, task, now, actions);
    }
}

/// Stops tasks here, and those that are not here at the peers.
void stopTasks(Scheduler &scheduler, const RequestKey &key, std::span<const std::uint32_t> indices, const Now &now,
    Actions &actions)
{
    StopTasksMessage message{.job = key, .reason = "the job was stopped"};
    for (const std::uint32_t index : indices) {
        const TaskId id{.job = key, .index = index};
        const auto found = scheduler.cell.tasks.find(id);
        if (found == scheduler.cell.tasks.end()) {
            message.tasks.push_back(index);
            continue;
        }
        const std::string worker = scheduler.cell.workers[found->second.worker].name;
        sendCommand(scheduler.ownership, worker, {.kind = CommandKind::Stop, .task = id}, now, actions);
    }
    if (message.tasks.empty()) {
        return;
    }
    for (const auto &[name, peer] : scheduler.membership.peers) {
        if (peer.liveness != PeerLiveness::Dead) {
            actions.push_back(SendToPeer{.peer = name, .message = message});
        }
    }
}

/// Takes a bounded number of a stopped job's tasks back. Returns when to go on.
MonotonicTime takeTasksBack(
    Scheduler &scheduler, const RequestKey &key, JobEntry &job, const Now &now, Actions &actions)
{
    std::size_t &left = scheduler.jobs.tasksLeft;
    std::vector<std::uint32_t> started;
    if (scheduler.gangs.gangs.contains(key)) {
        // The tasks of a gang that waits for room are not in the queue.
        cancelGang(scheduler, key, now, actions);
    }
    std::size_t looked = 0;
    auto next = job.underWay.lower_bound(job.stopFrom);
    for (; next != job.underWay.end() && looked < scheduler.jobs.options.tasksPerLook && left > 0; ++looked, --left) {
        const std::uint32_t index = *next++;
        if (job.tasks[index].state == JobTaskState::Started) {
            started.push_back(index);
        } else if (removeQueued(scheduler, {.job = key, .index = index})) {
            noteTakenBack(job, index);
        }
    }
    const bool passed = next == job.underWay.end();
    job.stopFrom = passed ? 0 : *next;
    stopTasks(scheduler, key, started, now, actions);
    return passed ? now.monotonic + stopInterval : now.monotonic;
}

/// Takes the queued tasks of a job out that another daemon has taken over. True when none can be started from here.
bool leave(Scheduler &scheduler, const RequestKey &key, JobEntry &job, const Now &now)
{
    job.stopReason = "taken over";
    std::size_t &left = scheduler.jobs.tasksLeft;
    for (std::size_t looked = 0; !job.underWay.empty() && looked < scheduler.jobs.options.tasksPerLook && left > 0;
         ++looked, --left) {
        const std::uint32_t index = *job.underWay.begin();
        removeQueued(scheduler, {.job = key, .index = index});
        noteTakenBack(job, index);
        job.delayed.emplace(now.monotonic, index);
    }
    if (!job.underWay.empty()) {
        return false;
    }
    if (hasOpenOffer(scheduler, key)) {
        // A refused offer comes back to the queue, so all are looked at again.
        for (const auto &[time, index] : job.delayed) {
            job.underWay.insert(index);
        }
        job.delayed.clear();
        return false;
    }
    dropOffers(scheduler, key);
    return true;
}

void sendLookup(
    Scheduler &scheduler, const RequestKey &key, const JobEntry &job, std::string_view peer, Actions &actions)
{
    actions.push_back(SendToPeer{.peer = std::string(peer),
        .message = LookupMessage{.exchange = scheduler.nextExchange++, .key = key, .created = job.submission.created}});
}

/// Asks all live peers which tasks of the job run. Returns true when all have answered.
bool locate(Scheduler &scheduler, const RequestKey &key, JobEntry &job, const Now &now, Actions &actions)
{
    JobTable &jobs = scheduler.jobs;
    if (job.nextLookup == MonotonicTime{}) {
        job.nextLookup = now.monotonic + jobs.options.takeoverWait;
        for (const auto &[name, peer] : scheduler.membership.peers) {
            // The former home may be alive although it is taken for dead here; it then drops its copy.
            sendLookup(scheduler, key, job, name, actions);
        }
    }
    if (now.monotonic - job.since < jobs.options.takeoverWait || isRebuilding(scheduler)) {
        return false;
    }
    bool complete = true;
    const bool ask = now.monotonic >= job.nextLookup && jobs.callsLeft > 0;
    for (const auto &[name, peer] : scheduler.membership.peers) {
        if (peer.liveness == PeerLiveness::Dead || job.located.contains(name)) {
            continue;
        }
        complete = false;
        if (ask) {
            sendLookup(scheduler, key, job, name, actions);
        }
    }
    if (ask) {
        --jobs.callsLeft;
        job.nextLookup = now.monotonic + jobs.options.retryInterval;
    }
    return complete;
}

void finishLocating(Scheduler &scheduler, const RequestKey &key, JobEntry &job, const Now &now)
{
    for (const TaskId &id : tasksOnWorkers(scheduler, key)) {
        const TaskUpdateMessage update{.task = id, .progress = TaskProgress::Running};
        updateJobTask(scheduler.jobs, update, contextOf(scheduler, key), now);
    }
    job.phase = JobPhase::Running;
    job.located.clear();
}

/// Drives a running job. Returns when it needs to be looked at again.
MonotonicTime drive(Scheduler &scheduler, const RequestKey &key, JobEntry &job, const Now &now, Actions &actions)
{
    const milliseconds startWithin = job.submission.startWithin;
    if (startWithin.count() > 0 && !job.mayHaveStarted && now.monotonic - job.since > startWithin) {
        stopJob(job, "no room before the start deadline");
    }
    if (job.stopReason) {
        return takeTasksBack(scheduler, key, job, now, actions);
    }
    if (scheduler.draining) {
        return now.monotonic + stopInterval;
    }
    queueTasks(scheduler, key, job, now, actions);
    const bool gang = job.submission.kind == TaskKind::Gang;
    if (!gang && !job.ready.empty() && job.underWay.size() < scheduler.jobs.options.maxUnderWay) {
        // The limits of one look or tick were reached.
        return now.monotonic;
    }
    return job.delayed.empty() ? MonotonicTime::max() : job.delayed.begin()->first;
}

/// When a job without other work needs its next store call.
MonotonicTime nextStoreLook(const JobTable &table, const JobEntry &job, const Now &now)
{
    const JobStoreState &store = job.store;
    if (store.call != JobCall::None) {
        return store.sentAt + table.options.callTimeout;
    }
    if (store.readBack) {
        return store.notBefore;
    }
    if (store.dirty) {
        return std::max(store.nextWrite, store.notBefore);
    }
    if (job.phase == JobPhase::Ended) {
        const auto rest = job.endedAt + table.options.keep - now.wall;
        return std::max(now.monotonic + std::max(rest, milliseconds(0)), store.notBefore);
    }
    return MonotonicTime::max();
}

void leaveAndForget(Scheduler &scheduler, const RequestKey &key, JobEntry &job, const Now &now)
{
    if (!leave(scheduler, key, job, now)) {
        lookAt(scheduler.jobs, key, job, now.monotonic + milliseconds(1));
        return;
    }
    ++scheduler.jobs.counts.handedOver;
    dropJob(scheduler.jobs, key);
    // This daemon may still be the home, or become it again. The delay lets two views of the membership settle.
    MonotonicTime &nextList = scheduler.jobs.partitions[partitionOf(key)].nextList;
    nextList = std::min(nextList, now.monotonic + listAfterLoss);
}

} // namespace

bool isRebuilding(const Scheduler &scheduler)
{
    return std::ranges::any_of(
        scheduler.ownership.workers, [](const auto &item) { return item.second.state == OwnershipState::Rebuilding; });
}

std::vector<TaskId> tasksOnWorkers(const Scheduler &scheduler, const RequestKey &key)
{
    const absl::btree_set<TaskId> &all = scheduler.cell.jobTasks;
    std::vector<TaskId> tasks;
    for (auto id = all.lower_bound({.job = key, .index = 0}); id != all.end() && id->job == key; ++id) {
        tasks.push_back(*id);
    }
    return tasks;
}

bool takeBackIfStopped(Scheduler &scheduler, const TaskId &task, const Now &now)
{
    JobEntry *job = findJob(scheduler.jobs, task.job);
    if (job == nullptr || !job->stopReason || !job->underWay.contains(task.index)) {
        return false;
    }
    noteTakenBack(*job, task.index);
    if (job->underWay.empty()) {
        lookAt(scheduler.jobs, task.job, *job, now.monotonic);
    }
    return true;
}

JobUpdateContext contextOf(Scheduler &scheduler, const RequestKey &key)
{
    JobUpdateContext context{.maxAttempts = defaultMaxAttempts, .random = &scheduler.random};
    const JobEntry *job = findJob(scheduler.jobs, key);
    if (job == nullptr) {
        return context;
    }
    const Submission &submission = job->submission;
    context.fitsNoWorker = isNegative(submission.size) || !fitsKnownWorker(scheduler.cell, submission.size);
    const WorkloadSettings *workload
        = findWorkload(scheduler.configTable, submission.operatorName, submission.workload);
    if (workload != nullptr) {
        context.maxAttempts = workload->maxAttempts;
    }
    return context;
}

void lookAtJob(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions)
{
    JobEntry *job = findJob(scheduler.jobs, key);
    if (job == nullptr) {
        return;
    }
    if (job->phase == JobPhase::Leaving) {
        leaveAndForget(scheduler, key, *job, now);
        return;
    }
    const bool limitPassed = now.monotonic - job->since >= scheduler.jobs.options.acceptLimit;
    if (job->phase == JobPhase::Recording && limitPassed) {
        answerJobWaiters(scheduler.jobs, *job,
            {.outcome = Outcome::Unknown,
                .reason = "it can't be shown whether the job was recorded",
                .retryAfter = scheduler.requests.options.retryAfter},
            actions);
    }
    MonotonicTime next = job->phase == JobPhase::Recording && !limitPassed
        ? job->since + scheduler.jobs.options.acceptLimit
        : MonotonicTime::max();
    if (job->phase == JobPhase::Locating) {
        next = std::max(
            {now.monotonic + milliseconds(1), job->nextLookup, job->since + scheduler.jobs.options.takeoverWait});
        if (locate(scheduler, key, *job, now, actions)) {
            finishLocating(scheduler, key, *job, now);
        }
    }
    if (job->phase == JobPhase::Running) {
        next = std::min(next, drive(scheduler, key, *job, now, actions));
        settleJob(scheduler.jobs, *job, now, actions);
    }
    pumpJobStore(scheduler.jobs, key, *job, now, actions);
    next = std::min(next, nextStoreLook(scheduler.jobs, *job, now));
    if (next != MonotonicTime::max()) {
        lookAt(scheduler.jobs, key, *job, next);
    }
}

} // namespace wigeonkeel

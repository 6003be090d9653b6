#include "core/scheduler/placement.h"

#include "core/cell/backlog_choice.h"
#include "core/cell/team_shares.h"
#include "core/scheduler/headroom.h"
#include "core/scheduler/job_progress.h"
#include "core/scheduler/offers.h"
#include "core/scheduler/preempting.h"
#include "core/scheduler/request_progress.h"
#include "core/scheduler/scheduler.h"
#include "core/scheduler/share_order.h"
#include "core/scheduler/task_limits.h"
#include "core/scheduler/usage_events.h"
#include "core/scheduler/worker_use.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

void tellHome(Scheduler &scheduler, const TaskSpec &task, TaskProgress progress, std::string_view worker,
    std::string_view reason, const Now &now, Actions &actions)
{
    const TaskUpdateMessage update{.task = task.id,
        .home = task.label.home,
        .progress = progress,
        .worker = std::string(worker),
        .detail = std::string(reason),
        .startCount = task.startCount};
    deliverUpdates(scheduler, {&update, 1}, now, actions);
}

/// Peers publish their free capacity with each heartbeat (500 ms); asking more often tells nothing new.
constexpr milliseconds peerRetryInterval{500};
/// Tasks past their start deadline that one call refuses.
constexpr std::size_t expiredPerStep = 512;

enum class PlaceOutcome : std::uint8_t { Placed, NoRoom, WorkerSuspended };

void refuse(Scheduler &scheduler, const TaskSpec &task, std::string_view reason, const Now &now, Actions &actions)
{
    ++scheduler.counters.tasksRefused;
    tellHome(scheduler, task, TaskProgress::Refused, {}, reason, now, actions);
}

/// Charges and sends the task with its size as it is.
PlaceOutcome placeWithSize(Scheduler &scheduler, const TaskSpec &task, const Now &now, Actions &actions)
{
    if (task.label.kind == TaskKind::Batch
        && !leavesFree(scheduler.cell, task.size, keptForRequests(scheduler.arrivals, scheduler.cell, now))) {
        return PlaceOutcome::NoRoom;
    }
    const auto worker = chooseWorker(scheduler.cell, task, now);
    if (!worker) {
        return PlaceOutcome::NoRoom;
    }
    const std::string name = scheduler.cell.workers[*worker].name;
    if (!mayStart(scheduler.ownership, name, now)) {
        scheduler.workerRoutes.suspended.insert(name);
        refreshPlaceable(scheduler, name);
        return PlaceOutcome::WorkerSuspended;
    }
    if (!charge(scheduler.cell, *worker, task)) {
        return PlaceOutcome::NoRoom;
    }
    // The update to the home may queue further tasks, so this one leaves the queue first.
    if (scheduler.pending.byId.contains(task.id)) {
        actions.push_back(ObserveAction{.kind = ObservationKind::QueueWait,
            .taskKind = task.label.kind,
            .duration = now.monotonic - task.queuedAt});
        noteUnqueued(scheduler, task.label);
        takePlaced(scheduler.pending, task.id);
    }
    sendStart(scheduler, name, task, now, actions);
    noteStartSent(scheduler, name);
    return PlaceOutcome::Placed;
}

PlaceOutcome tryPlace(
    Scheduler &scheduler, const TaskSpec &task, const Resources &charge, const Now &now, Actions &actions)
{
    if (charge == task.size) {
        return placeWithSize(scheduler, task, now, actions);
    }
    // The worker keeps the size of the start, so that the next owner charges the same.
    TaskSpec charged = task;
    charged.size = charge;
    return placeWithSize(scheduler, charged, now, actions);
}

/// Places a task that no limit holds, offers it to a peer, or blocks its shape.
void placeOrBlock(Scheduler &scheduler, const TaskSpec &task, const Resources &charge, bool aboveShare, const Now &now,
    Actions &actions)
{
    AdmissionTable &admission = scheduler.cell.admission;
    const PlaceOutcome outcome = tryPlace(scheduler, task, charge, now, actions);
    if (outcome == PlaceOutcome::Placed) {
        noteNotPassed(admission, task.label);
        if (aboveShare) {
            notePasses(admission, {task.label.operatorName, task.label.team}, task.label.kind, now.monotonic);
        }
    }
    if (outcome != PlaceOutcome::NoRoom) {
        return;
    }
    if (offerTask(scheduler, task, now, actions)) {
        removeQueued(scheduler, task.id);
        return;
    }
    if (regroupTask(scheduler, task)) {
        return;
    }
    if (!aboveShare) {
        noteNoRoom(admission, task.label, now.monotonic);
    }
    blockShape(scheduler.pending, task.id, scheduler.cell.roomVersion);
    if (task.label.kind == TaskKind::Request) {
        makeRoomForRequests(scheduler, task, now, actions);
    }
}

/// Tasks of teams above their share are tried after all others, so that nothing is left idle.
void placeReady(Scheduler &scheduler, const Now &now, Actions &actions)
{
    PendingQueue &queue = scheduler.pending;
    releaseShares(scheduler);
    bool deferred = false;
    bool othersTried = false;
    for (std::size_t attempt = 0; attempt < queue.attemptsPerStep; ++attempt) {
        const TaskSpec *next = nextTask(queue);
        if (next == nullptr && deferred && !othersTried) {
            othersTried = true;
            releaseHeld(queue, shareLimit);
            next = nextTask(queue);
        }
        if (next == nullptr) {
            return;
        }
        // Updates to the home may change the queue, so the task is copied first.
        const TaskSpec task = chooseFromBacklog(scheduler.cell, queue, *next, now);
        // A stopped job is taken out of the queue in bounded steps; none of its tasks is started meanwhile. The turn
        // counts, so that a wave of cancels does not hold up other kinds.
        if (takeBackIfStopped(scheduler, task.id, now)) {
            noteUnqueued(scheduler, task.label);
            takePlaced(queue, task.id);
            continue;
        }
        if (!isCleared(scheduler, task, now)) {
            removeQueued(scheduler, task.id);
            searchAgain(scheduler, task.id.job, now, actions);
            continue;
        }
        const Resources charge = chargeOf(scheduler, task);
        const AdmissionDecision decision = mayStartTask(scheduler, task.label, charge);
        if (!decision.admitted) {
            // Not offered: peers have shares of the limit for the tasks of their own homes.
            noteNotPassed(scheduler.cell.admission, task.label);
            holdTask(scheduler, task, decision.heldBy);
            continue;
        }
        const bool aboveShare = isAboveShare(scheduler, task.label, charge);
        if (aboveShare && !(othersTried && mayStartAboveShare(scheduler, task.label, now))) {
            regroupTask(scheduler, task);
            holdShape(queue, task.id, shareLimit);
            deferred = true;
            continue;
        }
        placeOrBlock(scheduler, task, charge, aboveShare, now, actions);
    }
    if (deferred) {
        // The attempts are used up; the next call tries these again.
        releaseHeld(queue, shareLimit);
    }
}

} // namespace

void sendStart(Scheduler &scheduler, const std::string &worker, const TaskSpec &task, const Now &now, Actions &actions)
{
    WorkerCommand command{.kind = CommandKind::Start,
        .task = task.id,
        .holder = {},
        .label = task.label,
        .size = task.size,
        .payload = task.payload,
        .declaredRunTime = task.declaredRunTime};
    tellHome(scheduler, task, TaskProgress::Sent, worker, {}, now, actions);
    ++scheduler.counters.startsSent;
    const WorkerTime lease = scheduler.ownership.workers.find(worker)->second.confirmedUntil;
    const std::uint64_t sequence = sendCommand(scheduler.ownership, worker, std::move(command), now, actions);
    noteStart(scheduler.cell, task.id, sequence, lease);
}

void resumeWorkers(Scheduler &scheduler, const Now &now)
{
    std::set<std::string, std::less<>> &suspended = scheduler.workerRoutes.suspended;
    for (auto worker = suspended.begin(); worker != suspended.end();) {
        const bool known = scheduler.ownership.workers.contains(*worker);
        if (known && !mayStart(scheduler.ownership, *worker, now)) {
            ++worker;
            continue;
        }
        const std::string name = *worker;
        worker = suspended.erase(worker);
        if (known) {
            refreshPlaceable(scheduler, name);
        }
    }
}

void enqueueTask(Scheduler &scheduler, const TaskSpec &task, const Now &now, Actions &actions)
{
    if (isNegative(task.size)) {
        refuse(scheduler, task, "the size has a negative amount", now, actions);
        return;
    }
    if (!fitsKnownWorker(scheduler.cell, task.size)) {
        // A peer may own larger workers than those seen here.
        if (!offerTask(scheduler, task, now, actions)) {
            refuse(scheduler, task, fmt::format("no known worker can hold {}", describe(task.size)), now, actions);
        }
        return;
    }
    if (task.label.kind == TaskKind::Request) {
        noteArrival(scheduler.arrivals, task.size, now);
    }
    const bool present = scheduler.pending.byId.contains(task.id);
    TaskSpec queued = task;
    queued.queuedAt = now.monotonic;
    const QueueAdmission admission = addToQueue(scheduler.pending, queued, limitGroupFor(scheduler, task.label));
    if (!admission.queued) {
        refuse(scheduler, task, fmt::format("the queue for {} tasks is full", toString(task.label.kind)), now, actions);
        return;
    }
    if (!present) {
        noteQueued(scheduler, task.label);
    }
    if (admission.shed) {
        noteUnqueued(scheduler, admission.shed->label);
        refuse(scheduler, *admission.shed, "the queue is full and more urgent work arrived", now, actions);
    }
    placeQueued(scheduler, now, actions);
}

bool removeQueued(Scheduler &scheduler, const TaskId &task)
{
    const auto found = scheduler.pending.byId.find(task);
    if (found == scheduler.pending.byId.end()) {
        return false;
    }
    noteUnqueued(scheduler, found->second->task.label);
    return takeFromQueue(scheduler.pending, task);
}

bool placeTask(Scheduler &scheduler, const TaskSpec &task, const Now &now, Actions &actions)
{
    const Resources charge = chargeOf(scheduler, task);
    if (!mayStartTask(scheduler, task.label, charge).admitted || !mayTakeOffered(scheduler, task.label, charge, now)) {
        return false;
    }
    for (std::size_t attempt = 0; attempt < scheduler.pending.attemptsPerStep; ++attempt) {
        const PlaceOutcome outcome = tryPlace(scheduler, task, charge, now, actions);
        if (outcome != PlaceOutcome::WorkerSuspended) {
            return outcome == PlaceOutcome::Placed;
        }
    }
    return false;
}

void placeQueued(Scheduler &scheduler, const Now &now, Actions &actions)
{
    PendingQueue &queue = scheduler.pending;
    if (queue.placing || queue.total() == 0) {
        return;
    }
    queue.placing = true;
    resumeWorkers(scheduler, now);
    if (now.monotonic >= queue.nextPeerRetry) {
        queue.nextPeerRetry = now.monotonic + peerRetryInterval;
        ++scheduler.cell.roomVersion;
        releaseAllLimits(scheduler);
    }
    releaseFreedLimits(scheduler);
    for (const TaskSpec &task : takeExpired(queue, now.monotonic, expiredPerStep)) {
        noteUnqueued(scheduler, task.label);
        refuse(scheduler, task, "no room before the start deadline", now, actions);
    }
    unblockShapes(queue, scheduler.cell.roomVersion, queue.attemptsPerStep);
    placeReady(scheduler, now, actions);
    queue.placing = false;
}

} // namespace wigeonkeel

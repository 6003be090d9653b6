#include "core/dispatch/placement.h"

#include "core/dispatch/blocked_needs.h"
#include "core/log.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <span>
#include <tuple>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::string_view logPart = "placement";
/// Added to the rank of jobs that are already late, so that they don't make other jobs late too.
constexpr int lateRank = 3;
/// Added to the rank of jobs that have taken more than `veryLateFactor` times the time in which they were due. Their
/// clients are assumed to have stopped waiting.
constexpr int veryLateRank = 6;
constexpr int veryLateFactor = 3;
/// A ticket with less time left is renewed, because the start must arrive before the ticket expires.
constexpr milliseconds ticketMargin{60};
/// How long places stay reserved beyond the expected time of stops and advice.
constexpr milliseconds planSlack{400};
/// Tickets that would expire sooner than this after the expected reply are renewed together.
constexpr milliseconds ticketRenewalMargin{250};
/// Time after a reply that allowed no worker until the next request for the same step.
constexpr milliseconds adviceRetryDelay{250};
/// The adviser accepts at most this many workers in one call.
constexpr std::size_t maxAdviceWorkers = 100;
/// Number of allowed workers to request, as a multiple of the number of waiting tasks.
constexpr double adviceSurplus = 1.5;
constexpr std::size_t minAdviceWorkers = 4;
/// Lower limit of the expected share of allowed workers. It limits the size of an advice request.
constexpr double minAllowedShare = 0.05;
/// The same as `adviceSurplus` for gangs. It is higher because a request for a gang takes long with few workers too,
/// and all members need room at the same time.
constexpr double gangSurplus = 2.5;
constexpr std::size_t minGangWorkers = 24;
/// A run without checkpoints may be pre-empted only this long after its start, to limit the work that is lost.
constexpr milliseconds maxLostWork{1200};
/// Most orders without a reply. A reply across zones takes about 8 ms, so this allows 8,000 orders a second.
constexpr std::size_t maxOpenOrders = 64;
/// Each pass examines the most urgent steps until this many have found no room.
constexpr std::size_t maxBlockedSteps = 60;
/// While the workers are mostly idle, a pass also examines the remaining steps after the ones that the last pass
/// examined, until this many more have found no room. Less urgent steps may fit where more urgent ones don't.
constexpr std::size_t maxBlockedStepsInTurn = 15;
/// Up to this share of the processors in use, waiting jobs must start where they fit, by the platform's rules. Above
/// it, room is left to the most urgent steps, which would otherwise find it taken by jobs that are very late.
constexpr double mostlyIdleShare = 0.5;
/// Added to the time between passes for each worker that a blocked step examined; about five times what examining the
/// worker takes.
constexpr std::chrono::microseconds timePerExaminedWorker{2};
/// The same for each step with tasks that can start: collecting and sorting them takes 0.6 us a step.
constexpr std::chrono::microseconds timePerReadyStep{3};
constexpr milliseconds minPassSpacing{3};
constexpr std::uint32_t noLimit = UINT32_MAX;

bool hasLabel(const Worker &worker, std::string_view label)
{
    return std::ranges::find(worker.entry.labels, label) != worker.entry.labels.end();
}

bool isLate(const Job &job, MonotonicTime now)
{
    return job.dueBy < now;
}

bool isVeryLate(const Job &job, MonotonicTime now)
{
    return job.submittedAt + (job.dueBy - job.submittedAt) * veryLateFactor < now;
}

int rankOf(const Job &job, const QueueConfig &queue, MonotonicTime now)
{
    int rank = static_cast<int>(queue.priority);
    if (isVeryLate(job, now)) {
        rank += veryLateRank;
    } else if (isLate(job, now)) {
        rank += lateRank;
    }
    return rank;
}

bool isStartable(const Task &task, MonotonicTime now)
{
    return task.phase == TaskPhase::Waiting && task.notBefore <= now && task.unknownRuns == 0;
}

bool hasReadyTasks(const StepRun &step, MonotonicTime now)
{
    return step.open && step.waiting > 0 && step.notBefore <= now && !step.gangAborting
        && std::ranges::any_of(step.tasks, [now](const Task &task) { return isStartable(task, now); });
}

ReadyStep readyStepOf(const Dispatcher &dispatcher, Job &job, const StepKey &key, StepRun &step, MonotonicTime now)
{
    const QueueConfig &queue = queueOf(dispatcher, job);
    return {.key = key,
        .job = &job,
        .spec = &job.record.spec.steps[key.step],
        .step = &step,
        .queue = &queue,
        .rank = rankOf(job, queue, now),
        .dueBy = job.dueBy};
}

PlacementPosition positionOf(const ReadyStep &ready)
{
    return {.rank = ready.rank, .dueBy = ready.dueBy, .key = ready.key};
}

void addReadySteps(Dispatcher &dispatcher, Job &job, MonotonicTime now, std::vector<ReadyStep> &ready)
{
    for (Occurrence &occurrence : job.occurrences) {
        for (std::uint32_t number = 0; number < occurrence.steps.size(); ++number) {
            StepRun &step = occurrence.steps[number];
            if (hasReadyTasks(step, now)) {
                const StepKey key{.job = job.record.id, .occurrence = occurrence.number, .step = number};
                ready.push_back(readyStepOf(dispatcher, job, key, step, now));
            }
        }
    }
}

/// Free room of each worker, by slot. A negative amount means that there is none.
std::vector<Resources> roomOfWorkers(const Dispatcher &dispatcher)
{
    std::vector<Resources> room;
    room.reserve(dispatcher.workers.workers.size());
    for (const Worker &worker : dispatcher.workers.workers) {
        room.push_back(freeRoom(worker));
    }
    return room;
}

bool needsTicket(const ReadyStep &ready)
{
    return ready.queue->advice.has_value();
}

bool isAllowed(const ReadyStep &ready, WorkerSlot slot)
{
    return !needsTicket(ready) || ready.step->allowed.contains(slot);
}

bool hasTicket(const Dispatcher &dispatcher, const ReadyStep &ready, WorkerSlot slot, MonotonicTime now)
{
    if (!needsTicket(ready)) {
        return true;
    }
    const auto found = ready.step->allowed.find(slot);
    return found != ready.step->allowed.end() && found->second.validUntil > now + ticketMargin
        && found->second.incarnation == dispatcher.workers.workers[slot].entry.incarnation;
}

std::uint32_t remainingPerWorker(const ReadyStep &ready, WorkerSlot slot)
{
    if (ready.spec->maxPerWorker == 0) {
        return noLimit;
    }
    const std::uint32_t there = tasksOnWorker(*ready.step, slot);
    return there >= ready.spec->maxPerWorker ? 0 : ready.spec->maxPerWorker - there;
}

/// False while an advice request for the step is open, and for a short time after a reply that allowed no worker.
bool canRequestAdvice(const ReadyStep &ready, MonotonicTime now)
{
    return !ready.step->adviceOpen && ready.step->adviceRetryAt <= now;
}

void requestAdvice(Dispatcher &dispatcher, const ReadyStep &ready, std::vector<WorkerSlot> workers, MonotonicTime now)
{
    if (workers.empty() || !canRequestAdvice(ready, now)) {
        return;
    }
    if (workers.size() > maxAdviceWorkers) {
        workers.resize(maxAdviceWorkers);
    }
    const AdviceTimes &times = *ready.queue->advice;
    ready.step->adviceOpen = true;
    const auto expectedTime = times.base + times.perWorker * static_cast<int>(workers.size());
    dispatcher.advisor.waiting.push_back({.step = ready.key,
        .workers = std::move(workers),
        .priority = static_cast<std::uint32_t>(ready.rank),
        .dueBy = ready.dueBy,
        .expectedTime = expectedTime,
        .queuedAt = now});
}

/// Workers without a reply of the adviser for this step, those with the most room first.
std::vector<WorkerSlot> workersWithoutAdvice(
    Dispatcher &dispatcher, const ReadyStep &ready, bool withRoom, MonotonicTime now)
{
    std::vector<std::pair<std::int64_t, WorkerSlot>> found;
    for (WorkerSlot slot = 0; slot < dispatcher.workers.workers.size(); ++slot) {
        const Worker &worker = dispatcher.workers.workers[slot];
        const bool known = ready.step->allowed.contains(slot) || ready.step->denied.contains(slot);
        if (known || !isEligible(dispatcher, ready, worker, now)) {
            continue;
        }
        const Resources room = freeRoom(worker);
        if (withRoom && !fits(chargedSize(*ready.spec), room)) {
            continue;
        }
        found.emplace_back(-room.cpuMilli, slot);
    }
    std::ranges::sort(found);
    std::vector<WorkerSlot> slots;
    slots.reserve(found.size());
    for (const auto &[room, slot] : found) {
        slots.push_back(slot);
    }
    return slots;
}

/// Number of workers to request advice for so that enough of them are likely to be allowed.
std::size_t adviceWorkerCount(const Dispatcher &dispatcher, const ReadyStep &ready)
{
    const double share = std::max(minAllowedShare, allowedShare(dispatcher.advisor, ready.queue->name));
    const double wanted = static_cast<double>(ready.step->waiting) * adviceSurplus / share;
    return std::max(minAdviceWorkers, static_cast<std::size_t>(wanted) + 1);
}

/// Compares the configured priorities of the queues, not the ranks. A job that is late never pre-empts others.
bool canPreempt(const ReadyStep &ready, const Run &run, MonotonicTime now)
{
    return run.phase == RunPhase::Running && run.preemptible && run.priority > ready.queue->priority
        && ready.rank < lateRank && (run.checkpointed || (run.startedAt && now - *run.startedAt < maxLostWork));
}

/// Room that stopping all less urgent runs on the worker would free.
Resources preemptibleRoom(const Dispatcher &dispatcher, const ReadyStep &ready, WorkerSlot slot, MonotonicTime now)
{
    Resources room;
    for (const auto &[key, run] : dispatcher.workers.workers[slot].runs) {
        if (canPreempt(ready, run, now)) {
            room += run.size;
        }
    }
    return room;
}

/// Number of workers at the front of the list of which so many are probably allowed that the gang fits on them. More
/// than the list has if it is too short.
template <typename RoomOf>
std::size_t workersForGang(
    const Dispatcher &dispatcher, const ReadyStep &ready, std::span<const WorkerSlot> workers, RoomOf roomOf)
{
    const double share = std::max(minAllowedShare, allowedShare(dispatcher.advisor, ready.queue->name));
    const auto members = static_cast<std::uint32_t>(ready.step->tasks.size());
    double likely = 0;
    std::size_t count = 0;
    while (count < minGangWorkers || likely < gangSurplus * members) {
        if (count == workers.size()) {
            return count + 1;
        }
        likely += share * countFitting(chargedSize(*ready.spec), roomOf(workers[count++]), members);
    }
    return count;
}

/// Shortens the list to the workers that the gang probably needs: each worker makes the call longer. If they have too
/// little free room, the room counts that the gang can get by pre-emption.
void trimAdviceForGang(
    const Dispatcher &dispatcher, const ReadyStep &ready, std::vector<WorkerSlot> &workers, MonotonicTime now)
{
    const auto freeOf = [&](WorkerSlot slot) { return freeRoom(dispatcher.workers.workers[slot]); };
    const auto obtainableOf
        = [&](WorkerSlot slot) { return freeOf(slot) + preemptibleRoom(dispatcher, ready, slot, now); };
    std::size_t count = workersForGang(dispatcher, ready, workers, freeOf);
    if (count > std::min(workers.size(), maxAdviceWorkers)) {
        count = workersForGang(dispatcher, ready, workers, obtainableOf);
    }
    workers.resize(std::min(workers.size(), count));
}

/// Requests advice for workers without a reply for this step so far. False if there are no such workers. True without a
/// request if none is possible now.
bool requestMoreAdvice(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    // Checked before the list of workers is built, as hundreds of steps may be waiting for replies.
    if (!canRequestAdvice(ready, now)) {
        return true;
    }
    std::vector<WorkerSlot> workers = workersWithoutAdvice(dispatcher, ready, !ready.spec->gang, now);
    if (workers.empty() && ready.step->allowed.empty()) {
        workers = workersWithoutAdvice(dispatcher, ready, false, now);
    }
    if (workers.empty()) {
        return false;
    }
    if (ready.spec->gang) {
        trimAdviceForGang(dispatcher, ready, workers, now);
    } else {
        workers.resize(std::min(workers.size(), adviceWorkerCount(dispatcher, ready)));
    }
    requestAdvice(dispatcher, ready, std::move(workers), now);
    return true;
}

void reserve(Dispatcher &dispatcher, const ReadyStep &ready, std::span<const PlannedPlace> plan, MonotonicTime until)
{
    const bool hadPlan = !ready.step->plan.empty();
    for (const PlannedPlace &planned : plan) {
        dispatcher.workers.workers[planned.worker].reserved += chargedSize(*ready.spec);
        ready.step->plan.push_back(planned);
    }
    ready.step->planUntil = hadPlan ? std::max(ready.step->planUntil, until) : until;
}

TaskPlace placeOf(const ReadyStep &ready, std::uint32_t index)
{
    return {.job = ready.job, .spec = ready.spec, .step = ready.step, .task = &ready.step->tasks[index]};
}

bool isPlannedRoomFree(const Dispatcher &dispatcher, const ReadyStep &ready, const PlannedPlace &planned)
{
    const Worker &worker = dispatcher.workers.workers[planned.worker];
    // Reserved room is not subtracted, because it is reserved for this plan and similar ones.
    Resources room = worker.entry.capacity - worker.used;
    std::uint32_t own = 0;
    for (const PlannedPlace &other : ready.step->plan) {
        own += other.worker == planned.worker ? 1 : 0;
    }
    return countFitting(chargedSize(*ready.spec), room, own) == own;
}

bool isPlanValid(const Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    return now < ready.step->planUntil && std::ranges::all_of(ready.step->plan, [&](const PlannedPlace &planned) {
        return canAcceptStarts(dispatcher.workers.workers[planned.worker], now) && isAllowed(ready, planned.worker)
            && ready.step->tasks[planned.task].phase == TaskPhase::Waiting
            && ready.step->tasks[planned.task].unknownRuns == 0;
    });
}

milliseconds adviceTime(const ReadyStep &ready, std::size_t workers)
{
    if (!ready.queue->advice) {
        return milliseconds(0);
    }
    const auto expectedTime = ready.queue->advice->base + ready.queue->advice->perWorker * static_cast<int>(workers);
    return std::chrono::ceil<milliseconds>(expectedTime);
}

/// Renews the tickets of the planned workers; true if all of them are valid at the time of use. Tickets that would
/// expire before the reply arrives are renewed too. Otherwise a gang's tickets could expire one after the other and
/// never be valid together.
bool renewPlannedTickets(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now, MonotonicTime usedAt)
{
    std::vector<WorkerSlot> planned;
    for (const PlannedPlace &place : ready.step->plan) {
        if (std::ranges::find(planned, place.worker) == planned.end()) {
            planned.push_back(place.worker);
        }
    }
    const auto isGood = [&](WorkerSlot slot) { return hasTicket(dispatcher, ready, slot, usedAt); };
    if (std::ranges::all_of(planned, isGood)) {
        return true;
    }
    const milliseconds wait = adviceTime(ready, planned.size()) + ticketRenewalMargin;
    const MonotonicTime renewedBy = std::max(usedAt, now + wait);
    std::erase_if(planned, [&](WorkerSlot slot) { return hasTicket(dispatcher, ready, slot, renewedBy); });
    if (!ready.step->adviceOpen) {
        ready.step->planUntil = std::max(ready.step->planUntil, now + wait + planSlack);
    }
    requestAdvice(dispatcher, ready, std::move(planned), now);
    return false;
}

void startPlan(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    const std::vector<PlannedPlace> plan = ready.step->plan;
    dropPlan(dispatcher, *ready.spec, *ready.step);
    if (ready.spec->gang) {
        std::uint32_t attempt = ready.step->gangAttempt;
        for (const Task &task : ready.step->tasks) {
            attempt = std::max(attempt, task.attempt);
        }
        ready.step->gangAttempt = attempt + 1;
        ready.step->gangStartedAt = now;
    }
    for (const PlannedPlace &planned : plan) {
        startTask(
            dispatcher, placeOf(ready, planned.task), {.step = ready.key, .index = planned.task}, planned.worker, now);
    }
}

/// Room of each worker, by slot, as if all less urgent runs on allowed workers were stopped.
std::vector<Resources> roomAfterPreemption(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    std::vector<Resources> room = roomOfWorkers(dispatcher);
    for (WorkerSlot slot = 0; slot < room.size(); ++slot) {
        if (isAllowed(ready, slot)) {
            room[slot] += preemptibleRoom(dispatcher, ready, slot, now);
        }
    }
    return room;
}

/// Workers of the plan whose tickets expire before the given time.
std::vector<WorkerSlot> workersWithoutTicket(
    const Dispatcher &dispatcher, const ReadyStep &ready, std::span<const PlannedPlace> plan, MonotonicTime usedAt)
{
    std::vector<WorkerSlot> without;
    for (const PlannedPlace &place : plan) {
        if (!hasTicket(dispatcher, ready, place.worker, usedAt)
            && std::ranges::find(without, place.worker) == without.end()) {
            without.push_back(place.worker);
        }
    }
    return without;
}

/// Stops runs so that the planned tasks fit, and reserves the room. False without a change if the room can't be freed.
/// If tickets have to be renewed, runs are stopped only once the request is sent: while it waited in a long line, the
/// plan would expire and the work of the stopped runs would be lost for nothing.
bool preemptForPlan(
    Dispatcher &dispatcher, const ReadyStep &ready, std::span<const PlannedPlace> plan, MonotonicTime now)
{
    std::map<WorkerSlot, Resources> needed;
    for (const PlannedPlace &planned : plan) {
        needed[planned.worker] += chargedSize(*ready.spec);
    }
    std::vector<std::pair<WorkerSlot, TaskKey>> victims;
    for (const auto &[slot, amount] : needed) {
        const auto chosen = chooseVictims(dispatcher, ready, slot, amount, now);
        if (!chosen) {
            return false;
        }
        for (const TaskKey &key : *chosen) {
            victims.emplace_back(slot, key);
        }
    }
    const MonotonicTime usedAt = now + dispatcher.bounds.stopTime;
    std::vector<WorkerSlot> withoutTicket = workersWithoutTicket(dispatcher, ready, plan, usedAt);
    if (!withoutTicket.empty() && !ready.isAdviceNext) {
        requestAdvice(dispatcher, ready, std::move(withoutTicket), now);
        return true;
    }
    const milliseconds wait = dispatcher.bounds.stopTime + planSlack + adviceTime(ready, needed.size());
    reserve(dispatcher, ready, plan, now + wait);
    for (const auto &[slot, key] : victims) {
        ++dispatcher.counters.preempted;
        logLine(LogLevel::Info, logPart, "Run preempted. task={} worker={} for={} rank={}", formatTaskKey(key),
            dispatcher.workers.workers[slot].entry.id, formatStepKey(ready.key), ready.rank);
        stopRun(dispatcher, slot, key, now);
    }
    renewPlannedTickets(dispatcher, ready, now, usedAt);
    return true;
}

/// Whether the free room of the allowed workers, together with that of the workers which one more request would add,
/// probably holds the gang.
bool canAdviceFindRoom(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    const Resources size = chargedSize(*ready.spec);
    const auto members = static_cast<std::uint32_t>(ready.step->tasks.size());
    const auto fittingOn
        = [&](WorkerSlot slot) { return countFitting(size, freeRoom(dispatcher.workers.workers[slot]), members); };
    double likely = 0;
    for (const auto &[slot, allowance] : ready.step->allowed) {
        likely += fittingOn(slot);
    }
    const double share = allowedShare(dispatcher.advisor, ready.queue->name);
    const std::vector<WorkerSlot> others = workersWithoutAdvice(dispatcher, ready, true, now);
    for (const WorkerSlot slot : std::span(others).first(std::min(others.size(), maxAdviceWorkers))) {
        likely += share * fittingOn(slot);
    }
    return !others.empty() && likely >= members;
}

void placeWholeGang(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    const bool hasUnknownRuns
        = std::ranges::any_of(ready.step->tasks, [](const Task &task) { return task.unknownRuns > 0; });
    if (ready.step->waiting != ready.step->tasks.size() || hasUnknownRuns) {
        return;
    }
    if (!ready.step->plan.empty()) {
        if (!isPlanValid(dispatcher, ready, now)) {
            dropPlan(dispatcher, *ready.spec, *ready.step);
        } else {
            const bool tickets = renewPlannedTickets(dispatcher, ready, now, now);
            const bool free = std::ranges::all_of(ready.step->plan,
                [&](const PlannedPlace &planned) { return isPlannedRoomFree(dispatcher, ready, planned); });
            if (tickets && free) {
                startPlan(dispatcher, ready, now);
            }
            return;
        }
    }
    auto plan = placeGang(dispatcher, ready, roomOfWorkers(dispatcher), now);
    if (plan) {
        reserve(dispatcher, ready, *plan, now + planSlack + adviceTime(ready, ready.step->tasks.size()) * 2);
        if (renewPlannedTickets(dispatcher, ready, now, now)) {
            startPlan(dispatcher, ready, now);
        }
        return;
    }
    if (ready.step->adviceOpen) {
        return;
    }
    // Without free room, pre-emption comes before further advice: each call takes about a second, and the room that it
    // finds is mostly taken before the reply.
    if (needsTicket(ready) && canAdviceFindRoom(dispatcher, ready, now)) {
        requestMoreAdvice(dispatcher, ready, now);
        return;
    }
    plan = placeGang(dispatcher, ready, roomAfterPreemption(dispatcher, ready, now), now);
    if (plan && preemptForPlan(dispatcher, ready, *plan, now)) {
        return;
    }
    if (needsTicket(ready)) {
        requestMoreAdvice(dispatcher, ready, now);
    }
}

struct SinglePlace
{
    WorkerSlot slot = noWorker;
    bool hasTicket = false;
};

/// The best allowed worker with room for the task. In order of importance: not the worker where the task last failed,
/// with a valid ticket, on the data's rack, with the least free cpu.
SinglePlace chooseSingle(Dispatcher &dispatcher, const ReadyStep &ready, const Task &task,
    std::span<const Resources> room, MonotonicTime now)
{
    SinglePlace best;
    auto bestRank = std::tuple(true, true, true, std::int64_t{0});
    const Resources size = chargedSize(*ready.spec);
    const auto consider = [&](WorkerSlot slot) {
        const Worker &worker = dispatcher.workers.workers[slot];
        if (!fits(size, room[slot]) || !isEligible(dispatcher, ready, worker, now)
            || remainingPerWorker(ready, slot) == 0) {
            return;
        }
        const bool ticket = hasTicket(dispatcher, ready, slot, now);
        const bool far = !ready.spec->dataRack.empty() && worker.entry.rack != ready.spec->dataRack;
        const auto rank = std::tuple(task.failedOn == slot, !ticket, far, room[slot].cpuMilli);
        if (best.slot == noWorker || rank < bestRank) {
            best = {.slot = slot, .hasTicket = ticket};
            bestRank = rank;
        }
    };
    if (needsTicket(ready)) {
        for (const auto &[slot, allowance] : ready.step->allowed) {
            consider(slot);
        }
    } else {
        for (WorkerSlot slot = 0; slot < dispatcher.workers.workers.size(); ++slot) {
            consider(slot);
        }
    }
    return best;
}

/// Starts the planned tasks whose reserved room has become free. Drops the plan if it is no longer valid.
void continuePlan(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    if (ready.step->plan.empty()) {
        return;
    }
    if (!isPlanValid(dispatcher, ready, now)) {
        dropPlan(dispatcher, *ready.spec, *ready.step);
        return;
    }
    renewPlannedTickets(dispatcher, ready, now, now);
    std::vector<PlannedPlace> left;
    const std::vector<PlannedPlace> plan = ready.step->plan;
    for (const PlannedPlace &planned : plan) {
        Worker &worker = dispatcher.workers.workers[planned.worker];
        const Resources size = chargedSize(*ready.spec);
        if (!fits(size, worker.entry.capacity - worker.used) || !hasTicket(dispatcher, ready, planned.worker, now)) {
            left.push_back(planned);
            continue;
        }
        worker.reserved -= size;
        startTask(
            dispatcher, placeOf(ready, planned.task), {.step = ready.key, .index = planned.task}, planned.worker, now);
    }
    ready.step->plan = std::move(left);
}

bool isPlanned(const StepRun &step, std::uint32_t index)
{
    return std::ranges::find(step.plan, index, &PlannedPlace::task) != step.plan.end();
}

/// Stops less urgent runs to make room for one task. False if that can't free enough room.
bool preemptForOne(Dispatcher &dispatcher, const ReadyStep &ready, std::uint32_t index, MonotonicTime now)
{
    const std::vector<Resources> room = roomAfterPreemption(dispatcher, ready, now);
    const SinglePlace found = chooseSingle(dispatcher, ready, ready.step->tasks[index], room, now);
    const PlannedPlace place{.task = index, .worker = found.slot};
    return found.slot != noWorker && preemptForPlan(dispatcher, ready, std::span(&place, 1), now);
}

/// Returns whether a task that can start found no room, and none can be made by pre-emption.
bool placeSingles(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    continuePlan(dispatcher, ready, now);
    const auto canStart = [&ready, now](std::uint32_t index) {
        return isStartable(ready.step->tasks[index], now) && !isPlanned(*ready.step, index);
    };
    std::vector<Resources> room = roomOfWorkers(dispatcher);
    std::vector<WorkerSlot> expired;
    bool noRoom = false;
    for (std::uint32_t index = 0; index < ready.step->tasks.size(); ++index) {
        if (!canStart(index)) {
            continue;
        }
        const SinglePlace found = chooseSingle(dispatcher, ready, ready.step->tasks[index], room, now);
        if (found.slot == noWorker) {
            noRoom = true;
            break;
        }
        room[found.slot] -= chargedSize(*ready.spec);
        if (!found.hasTicket) {
            if (ready.isAdviceNext) {
                // Without the reservation, all waiting steps would renew tickets for the same room, and all but one of
                // the calls would be wasted.
                const PlannedPlace place{.task = index, .worker = found.slot};
                const milliseconds wait = adviceTime(ready, expired.size() + 1) + planSlack;
                reserve(dispatcher, ready, std::span(&place, 1), now + wait);
            }
            if (std::ranges::find(expired, found.slot) == expired.end()) {
                expired.push_back(found.slot);
            }
            continue;
        }
        startTask(dispatcher, placeOf(ready, index), {.step = ready.key, .index = index}, found.slot, now);
    }
    if (!expired.empty()) {
        requestAdvice(dispatcher, ready, std::move(expired), now);
        return false;
    }
    if (!noRoom || (needsTicket(ready) && requestMoreAdvice(dispatcher, ready, now))) {
        return false;
    }
    for (std::uint32_t index = 0; index < ready.step->tasks.size(); ++index) {
        if (canStart(index) && !preemptForOne(dispatcher, ready, index, now)) {
            return true;
        }
    }
    return false;
}

} // namespace

std::vector<ReadyStep> readySteps(Dispatcher &dispatcher, MonotonicTime now)
{
    std::vector<ReadyStep> ready;
    for (auto &[id, job] : dispatcher.jobs.live) {
        if (job->accepted && !isEnded(job->state) && (!job->inherited || dispatcher.runDiscoveryFinished)) {
            addReadySteps(dispatcher, *job, now, ready);
        }
    }
    std::ranges::sort(ready, {}, positionOf);
    return ready;
}

bool isEligible(const Dispatcher &, const ReadyStep &ready, const Worker &worker, MonotonicTime now)
{
    return canAcceptStarts(worker, now) && worker.entry.pool == ready.queue->pool
        && (ready.spec->requiredLabel.empty() || hasLabel(worker, ready.spec->requiredLabel));
}

std::uint32_t countFitting(const Resources &size, const Resources &room, std::uint32_t limit)
{
    std::int64_t count = limit;
    const auto bound = [&count](std::int64_t each, std::int64_t available) {
        if (each > 0) {
            count = std::min(count, std::max<std::int64_t>(0, available) / each);
        }
    };
    bound(size.cpuMilli, room.cpuMilli);
    bound(size.memoryMib, room.memoryMib);
    bound(size.accelerators, room.accelerators);
    return static_cast<std::uint32_t>(count);
}

std::uint32_t tasksOnWorker(const StepRun &step, WorkerSlot slot)
{
    const auto there = std::ranges::count_if(
        step.tasks, [slot](const Task &task) { return task.phase == TaskPhase::Assigned && task.worker == slot; });
    const auto planned = std::ranges::count(step.plan, slot, &PlannedPlace::worker);
    return static_cast<std::uint32_t>(there + planned);
}

namespace
{

struct GangSpace
{
    WorkerSlot slot = noWorker;
    std::uint32_t count = 0;
    std::int64_t leftOver = 0;
};

std::vector<GangSpace> findGangSpaces(
    const Dispatcher &dispatcher, const ReadyStep &ready, std::span<const Resources> room, MonotonicTime now)
{
    std::vector<GangSpace> spaces;
    const Resources size = chargedSize(*ready.spec);
    for (WorkerSlot slot = 0; slot < room.size(); ++slot) {
        const Worker &worker = dispatcher.workers.workers[slot];
        if (!isAllowed(ready, slot) || !isEligible(dispatcher, ready, worker, now)) {
            continue;
        }
        const std::uint32_t limit
            = std::min(remainingPerWorker(ready, slot), static_cast<std::uint32_t>(ready.step->tasks.size()));
        const std::uint32_t count = countFitting(size, room[slot], limit);
        if (count > 0) {
            spaces.push_back({.slot = slot, .count = count, .leftOver = room[slot].cpuMilli - size.cpuMilli * count});
        }
    }
    std::ranges::sort(spaces, {}, [](const GangSpace &space) { return std::pair(space.leftOver, space.slot); });
    return spaces;
}

std::optional<std::vector<PlannedPlace>> fillSpaces(std::span<const GangSpace> spaces, std::uint32_t members)
{
    std::vector<PlannedPlace> plan;
    for (const GangSpace &space : spaces) {
        for (std::uint32_t i = 0; i < space.count && plan.size() < members; ++i) {
            plan.push_back({.task = static_cast<std::uint32_t>(plan.size()), .worker = space.slot});
        }
    }
    return plan.size() == members ? std::optional(std::move(plan)) : std::nullopt;
}

} // namespace

std::optional<std::vector<PlannedPlace>> placeGang(
    const Dispatcher &dispatcher, const ReadyStep &ready, std::span<const Resources> room, MonotonicTime now)
{
    const std::vector<GangSpace> spaces = findGangSpaces(dispatcher, ready, room, now);
    const auto members = static_cast<std::uint32_t>(ready.step->tasks.size());
    if (ready.spec->sameRack) {
        std::map<std::string, std::vector<GangSpace>> racks;
        for (const GangSpace &space : spaces) {
            racks[dispatcher.workers.workers[space.slot].entry.rack].push_back(space);
        }
        for (const auto &[rack, inRack] : racks) {
            auto plan = fillSpaces(inRack, members);
            if (plan) {
                return plan;
            }
        }
    }
    return fillSpaces(spaces, members);
}

std::optional<std::vector<TaskKey>> chooseVictims(
    Dispatcher &dispatcher, const ReadyStep &ready, WorkerSlot slot, const Resources &needed, MonotonicTime now)
{
    const Worker &worker = dispatcher.workers.workers[slot];
    Resources room = freeRoom(worker);
    std::vector<std::tuple<bool, MonotonicTime, TaskKey, Resources>> candidates;
    for (const auto &[key, run] : worker.runs) {
        if (canPreempt(ready, run, now)) {
            const MonotonicTime startedAt = run.startedAt.value_or(MonotonicTime{});
            candidates.emplace_back(!run.checkpointed, MonotonicTime{} - (startedAt - MonotonicTime{}), key, run.size);
        }
    }
    // After the checkpointed runs, those that were started last, as the least work is lost with them.
    std::ranges::sort(candidates, {}, [](const auto &each) { return std::pair(std::get<0>(each), std::get<1>(each)); });
    std::vector<TaskKey> victims;
    for (const auto &[loses, age, key, size] : candidates) {
        if (fits(needed, room)) {
            break;
        }
        room += size;
        victims.push_back(key);
    }
    return fits(needed, room) ? std::optional(std::move(victims)) : std::nullopt;
}

namespace
{

/// Starts the step's tasks that can start, and requests the advice that it lacks. Returns whether a single task found
/// no room.
bool placeStep(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    if (needsTicket(ready) && ready.step->allowed.empty()) {
        requestMoreAdvice(dispatcher, ready, now);
        return false;
    }
    if (ready.spec->gang) {
        placeWholeGang(dispatcher, ready, now);
        return false;
    }
    return placeSingles(dispatcher, ready, now);
}

/// Whether no task of the step can start before the reply to its open advice request. Such steps don't count as
/// blocked: a line of them must not end the pass before the steps that could start.
bool awaitsAdvice(const Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    return needsTicket(ready) && ready.step->adviceOpen && ready.step->plan.empty()
        && std::ranges::none_of(
            ready.step->allowed, [&](const auto &entry) { return hasTicket(dispatcher, ready, entry.first, now); });
}

/// Replaces a request whose turn has come by what its step lacks now. While it waited, the places that it was meant for
/// may have been taken; a call for them would be wasted, and the step would wait in the line again.
bool prepareAdvice(Dispatcher &dispatcher, AdviceRequest &request, MonotonicTime now)
{
    Job *job = findJob(dispatcher.jobs, request.step.job);
    StepRun *step = job == nullptr || isEnded(job->state) ? nullptr : findStep(*job, request.step);
    if (step == nullptr) {
        return false;
    }
    step->adviceOpen = false;
    if (!hasReadyTasks(*step, now)) {
        return false;
    }
    ReadyStep ready = readyStepOf(dispatcher, *job, request.step, *step, now);
    ready.isAdviceNext = true;
    placeStep(dispatcher, ready, now);
    if (!step->adviceOpen) {
        return false;
    }
    AdviceRequest current = std::move(dispatcher.advisor.waiting.back());
    dispatcher.advisor.waiting.pop_back();
    current.queuedAt = request.queuedAt;
    current.tries = request.tries;
    request = std::move(current);
    ++dispatcher.counters.adviceRequests;
    return true;
}

/// One pass of the placement.
struct PlacementPass
{
    BlockedNeeds needs;
    /// Number of examined steps that found no room.
    std::size_t blocked = 0;
};

PlacementNeed needOf(const ReadyStep &ready)
{
    return {.pool = ready.queue->pool,
        .label = ready.spec->requiredLabel,
        .size = chargedSize(*ready.spec),
        .priority = ready.queue->priority,
        .canPreempt = ready.rank < lateRank};
}

/// Whether the step finds room if another one with the same need does: nothing but its need restricts its workers.
bool isNeedSufficient(const ReadyStep &ready)
{
    return !needsTicket(ready) && !ready.spec->gang && ready.spec->maxPerWorker == 0;
}

void examineStep(Dispatcher &dispatcher, PlacementPass &pass, const ReadyStep &ready, MonotonicTime now)
{
    if (awaitsAdvice(dispatcher, ready, now)) {
        return;
    }
    // Limits open orders, because the many starts of a backlog after an outage would delay all other work of the loop.
    // Replies to open orders make room for the next ones.
    const bool canStart = dispatcher.orders.size() < maxOpenOrders && hasRoom(dispatcher.outbox->link);
    // Steps without advice request it meanwhile.
    if (!canStart && !(needsTicket(ready) && ready.step->allowed.empty())) {
        return;
    }
    const bool comparable = isNeedSufficient(ready);
    if (comparable && ready.step->plan.empty() && isBlocked(pass.needs, needOf(ready))) {
        return;
    }
    const std::uint32_t waiting = ready.step->waiting;
    const bool foundNoRoom = placeStep(dispatcher, ready, now);
    if (needsTicket(ready) && ready.step->allowed.empty()) {
        return;
    }
    if (comparable && foundNoRoom) {
        addBlocked(pass.needs, needOf(ready));
    }
    pass.blocked += ready.step->waiting == waiting ? 1 : 0;
}

/// Pools with at most `mostlyIdleShare` of the processors of the workers that accept starts in use.
absl::flat_hash_set<std::string_view> mostlyIdlePools(const Dispatcher &dispatcher, MonotonicTime now)
{
    absl::flat_hash_map<std::string_view, Resources> spare;
    for (const Worker &worker : dispatcher.workers.workers) {
        if (canAcceptStarts(worker, now)) {
            const auto allowed = mostlyIdleShare * static_cast<double>(worker.entry.capacity.cpuMilli);
            spare[worker.entry.pool].cpuMilli += static_cast<std::int64_t>(allowed) - worker.used.cpuMilli;
        }
    }
    absl::flat_hash_set<std::string_view> idle;
    for (const auto &[pool, room] : spare) {
        if (room.cpuMilli >= 0) {
            idle.insert(pool);
        }
    }
    return idle;
}

/// Examines the steps from `from` on until so many have found no room in this pass. Returns the first one that was not
/// examined.
std::size_t examineSteps(Dispatcher &dispatcher, PlacementPass &pass, std::span<const ReadyStep> steps,
    std::size_t from, std::size_t maxBlocked, MonotonicTime now)
{
    while (from < steps.size() && pass.blocked < maxBlocked) {
        examineStep(dispatcher, pass, steps[from++], now);
    }
    return from;
}

/// Examines some of these steps, beginning after the last one that the last pass examined, if their pools are mostly
/// idle.
void examineStepsInTurn(
    Dispatcher &dispatcher, PlacementPass &pass, std::span<const ReadyStep> remaining, MonotonicTime now)
{
    const auto idle = mostlyIdlePools(dispatcher, now);
    std::vector<ReadyStep> steps;
    std::ranges::copy_if(remaining, std::back_inserter(steps),
        [&idle](const ReadyStep &ready) { return idle.contains(ready.queue->pool); });
    std::size_t first = 0;
    if (dispatcher.placedUpTo) {
        const auto later = std::ranges::upper_bound(steps, *dispatcher.placedUpTo, {}, positionOf);
        first = later == steps.end() ? 0 : static_cast<std::size_t>(later - steps.begin());
    }
    const std::size_t next = examineSteps(dispatcher, pass, steps, first, maxBlockedSteps + maxBlockedStepsInTurn, now);
    dispatcher.placedUpTo = next < steps.size() ? std::optional(positionOf(steps[next - 1])) : std::nullopt;
}

} // namespace

void handleAdviceReply(Dispatcher &dispatcher, const AdviceReply &reply, MonotonicTime now)
{
    auto open = closeAdviceRequest(dispatcher.advisor, reply, now);
    if (!open) {
        return;
    }
    Job *job = findJob(dispatcher.jobs, open->request.step.job);
    StepRun *step = job == nullptr || isEnded(job->state) ? nullptr : findStep(*job, open->request.step);
    if (step == nullptr) {
        return;
    }
    if (reply.status != CallStatus::Ok) {
        logLine(LogLevel::Info, logPart, "Advice call failed; the request is queued again. step={} status={} tries={}",
            formatStepKey(open->request.step), static_cast<int>(reply.status), open->request.tries);
        requeueAdviceRequest(dispatcher.advisor, std::move(open->request));
        return;
    }
    step->adviceOpen = false;
    // Renewed tickets don't count for the share of allowed workers: their workers were all allowed before.
    std::size_t newCount = 0;
    std::size_t newlyAllowed = 0;
    const milliseconds validity = queueOf(dispatcher, *job).advice.value_or(AdviceTimes{}).ticketValidity;
    for (std::size_t i = 0; i < open->request.workers.size(); ++i) {
        const WorkerSlot slot = open->request.workers[i];
        const bool isNew = !step->allowed.contains(slot) && !step->denied.contains(slot);
        newCount += isNew ? 1 : 0;
        const auto row = std::ranges::find(reply.allowed, dispatcher.workers.workers[slot].entry.id, &Ticket::worker);
        if (row == reply.allowed.end()) {
            step->denied.insert(slot);
            continue;
        }
        newlyAllowed += isNew ? 1 : 0;
        step->allowed[slot] = {.ticket = row->ticket,
            .validUntil = now + (reply.validity.count() > 0 ? reply.validity : validity),
            .incarnation = open->incarnations[i]};
    }
    step->adviceRetryAt = reply.allowed.empty() ? now + adviceRetryDelay : now;
    recordAllowedShare(dispatcher.advisor, job->record.queue.name, newCount, newlyAllowed);
    logLine(LogLevel::Info, logPart,
        "Advice received. step={} asked={} allowed={} waited_ms={} call_ms={} requests_waiting={}",
        formatStepKey(open->request.step), open->request.workers.size(), reply.allowed.size(),
        std::chrono::floor<milliseconds>(now - open->request.queuedAt).count(),
        std::chrono::floor<milliseconds>(now - open->sentAt).count(), dispatcher.advisor.waiting.size());
    observe(dispatcher, DurationKind::Advice, now - open->request.queuedAt);
    dispatcher.placementDue = true;
}

void placeTasks(Dispatcher &dispatcher, MonotonicTime now)
{
    dispatcher.placementDue = false;
    if (dispatcher.deposed || !dispatcher.canExtendLeases) {
        return;
    }
    refill(dispatcher.outbox->link, now);
    const std::vector<ReadyStep> steps = readySteps(dispatcher, now);
    PlacementPass pass;
    const std::size_t next = examineSteps(dispatcher, pass, steps, 0, maxBlockedSteps, now);
    if (next < steps.size()) {
        examineStepsInTurn(dispatcher, pass, std::span(steps).subspan(next), now);
    }
    // A step that finds no room examines every worker. The time between passes limits them to a fifth of a core.
    const auto spacing = timePerExaminedWorker * static_cast<int>(pass.blocked * dispatcher.workers.workers.size())
        + timePerReadyStep * static_cast<int>(steps.size());
    dispatcher.nextPlacement = now + std::max(minPassSpacing, std::chrono::ceil<milliseconds>(spacing));
    const auto prepare = [&dispatcher, now](AdviceRequest &request) { return prepareAdvice(dispatcher, request, now); };
    sendWaitingRequests(dispatcher.advisor, dispatcher.workers, *dispatcher.outbox, now, prepare);
}

} // namespace wigeonkeel::dispatch

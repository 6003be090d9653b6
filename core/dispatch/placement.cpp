#include "core/dispatch/placement.h"

#include "core/log.h"

#include <algorithm>
#include <map>
#include <span>
#include <tuple>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::string_view logPart = "placement";
/// Added to the rank of jobs that are late already, so that they don't make others late too.
constexpr int lateRank = 3;
/// After three times the time in which a job is on time, nobody waits for it any more.
constexpr int hopelessRank = 6;
constexpr int hopelessFactor = 3;
/// A ticket with less time left is renewed: the start has to arrive before it ends.
constexpr milliseconds ticketMargin{60};
/// Planned places wait this long for stopped runs to end, on top of the time that a stop takes.
constexpr milliseconds planSlack{400};
/// Time for which a renewed ticket should be good after the answer, beyond what the adviser takes.
constexpr milliseconds renewalMargin{250};
/// A new question about the same step is not asked sooner.
constexpr milliseconds adviceInterval{250};
/// The adviser takes at most this many workers in one call.
constexpr std::size_t maxAdviceWorkers = 100;
/// Allowed workers to look for, as a multiple of those that the waiting tasks need.
constexpr double adviceSurplus = 1.5;
constexpr std::size_t minAdviceWorkers = 4;
/// Share of allowed workers to reckon with at least, so that a question stays of a bounded size.
constexpr double minShare = 0.05;
/// The same for gangs, whose questions take long in any case and whose members need room at one time.
constexpr double gangSurplus = 2.5;
constexpr std::size_t minGangWorkers = 24;
/// A run that can't resume is stopped for a more urgent one only in its first part.
constexpr milliseconds cheapWork{1200};
/// Orders without an answer yet. An answer takes about 8 ms over zones, so this allows for 8,000 orders a second.
constexpr std::size_t maxOpenOrders = 64;
/// Steps without room that one pass looks at; those after them are less urgent.
constexpr std::size_t maxBlockedSteps = 60;
/// Time between passes for each worker that a blocked step looked at; about five times what the look takes.
constexpr std::chrono::microseconds timePerLook{2};
constexpr milliseconds shortestSpacing{3};
constexpr std::uint32_t noLimit = UINT32_MAX;

bool hasLabel(const Worker &worker, std::string_view label)
{
    return std::ranges::find(worker.entry.labels, label) != worker.entry.labels.end();
}

bool isLate(const Job &job, MonotonicTime now)
{
    return job.dueBy < now;
}

bool isHopeless(const Job &job, MonotonicTime now)
{
    return job.submittedAt + (job.dueBy - job.submittedAt) * hopelessFactor < now;
}

int rankOf(const Job &job, const QueueConfig &queue, MonotonicTime now)
{
    int rank = static_cast<int>(queue.priority);
    if (isHopeless(job, now)) {
        rank += hopelessRank;
    } else if (isLate(job, now)) {
        rank += lateRank;
    }
    return rank;
}

void addReadySteps(Dispatcher &dispatcher, Job &job, MonotonicTime now, std::vector<ReadyStep> &ready)
{
    const QueueConfig &queue = queueOf(dispatcher, job);
    for (Occurrence &occurrence : job.occurrences) {
        for (std::uint32_t number = 0; number < occurrence.steps.size(); ++number) {
            StepRun &step = occurrence.steps[number];
            if (!step.open || step.waiting == 0 || step.notBefore > now || step.gangAborting) {
                continue;
            }
            ready.push_back({.key = {.job = job.record.id, .occurrence = occurrence.number, .step = number},
                .job = &job,
                .spec = &job.record.spec.steps[number],
                .step = &step,
                .queue = &queue,
                .rank = rankOf(job, queue, now),
                .dueBy = job.dueBy});
        }
    }
}

/// Room of each worker, by slot; negative amounts mean none.
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

std::uint32_t perWorkerLimit(const ReadyStep &ready, WorkerSlot slot)
{
    if (ready.spec->maxPerWorker == 0) {
        return noLimit;
    }
    const std::uint32_t there = tasksOnWorker(*ready.step, slot);
    return there >= ready.spec->maxPerWorker ? 0 : ready.spec->maxPerWorker - there;
}

/// False while a question about the step is under way, or one was answered a moment ago.
bool mayAsk(const ReadyStep &ready, MonotonicTime now)
{
    return !ready.step->adviceOpen && ready.step->adviceRetryAt <= now;
}

void ask(Dispatcher &dispatcher, const ReadyStep &ready, std::vector<WorkerSlot> workers, MonotonicTime now)
{
    if (workers.empty() || !mayAsk(ready, now)) {
        return;
    }
    if (workers.size() > maxAdviceWorkers) {
        workers.resize(maxAdviceWorkers);
    }
    const AdviceTimes &times = *ready.queue->advice;
    ready.step->adviceOpen = true;
    ++dispatcher.counters.adviceRequests;
    const auto cost = times.base + times.perWorker * static_cast<int>(workers.size());
    dispatcher.advisor.waiting.push_back({.step = ready.key,
        .workers = std::move(workers),
        .priority = static_cast<std::uint32_t>(ready.rank),
        .dueBy = ready.dueBy,
        .cost = cost,
        .askedAt = now});
}

/// Workers that the adviser has not been asked about, those with most room first.
std::vector<WorkerSlot> unknownWorkers(Dispatcher &dispatcher, const ReadyStep &ready, bool withRoom, MonotonicTime now)
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

/// How many workers to name so that enough of them are likely to be allowed.
std::size_t workersToName(const Dispatcher &dispatcher, const ReadyStep &ready)
{
    const double share = std::max(minShare, allowedShare(dispatcher.advisor, ready.queue->name));
    const double wanted = static_cast<double>(ready.step->waiting) * adviceSurplus / share;
    return std::max(minAdviceWorkers, static_cast<std::size_t>(wanted) + 1);
}

/// Enough of the workers that a gang is likely to find its places among those that the adviser allows.
void trimForGang(const Dispatcher &dispatcher, const ReadyStep &ready, std::vector<WorkerSlot> &workers)
{
    const double share = std::max(minShare, allowedShare(dispatcher.advisor, ready.queue->name));
    const auto members = static_cast<std::uint32_t>(ready.step->tasks.size());
    double likely = 0;
    std::size_t count = 0;
    while (count < workers.size() && (count < minGangWorkers || likely < gangSurplus * members)) {
        const Worker &worker = dispatcher.workers.workers[workers[count++]];
        likely += share * countFitting(chargedSize(*ready.spec), freeRoom(worker), members);
    }
    workers.resize(count);
}

/// Names workers that the step was not asked about yet. False if there are none.
bool askAboutMore(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    // The list is not made in vain: hundreds of steps may wait for their answers.
    if (!mayAsk(ready, now)) {
        return true;
    }
    std::vector<WorkerSlot> workers = unknownWorkers(dispatcher, ready, !ready.spec->gang, now);
    if (workers.empty() && ready.step->allowed.empty()) {
        workers = unknownWorkers(dispatcher, ready, false, now);
    }
    if (workers.empty()) {
        return false;
    }
    if (ready.spec->gang) {
        trimForGang(dispatcher, ready, workers);
    } else {
        workers.resize(std::min(workers.size(), workersToName(dispatcher, ready)));
    }
    ask(dispatcher, ready, std::move(workers), now);
    return true;
}

void reserve(Dispatcher &dispatcher, const ReadyStep &ready, std::span<const PlannedPlace> plan, MonotonicTime until)
{
    for (const PlannedPlace &planned : plan) {
        dispatcher.workers.workers[planned.worker].reserved += chargedSize(*ready.spec);
        ready.step->plan.push_back(planned);
    }
    ready.step->planUntil = until;
}

TaskPlace placeOf(const ReadyStep &ready, std::uint32_t index)
{
    return {.job = ready.job, .spec = ready.spec, .step = ready.step, .task = &ready.step->tasks[index]};
}

bool planIsFree(const Dispatcher &dispatcher, const ReadyStep &ready, const PlannedPlace &planned)
{
    const Worker &worker = dispatcher.workers.workers[planned.worker];
    // Reserved room is meant for plans like this one; only what is in use counts.
    Resources room = worker.entry.capacity - worker.used;
    std::uint32_t own = 0;
    for (const PlannedPlace &other : ready.step->plan) {
        own += other.worker == planned.worker ? 1 : 0;
    }
    return countFitting(chargedSize(*ready.spec), room, own) == own;
}

bool planHolds(const Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    return now < ready.step->planUntil && std::ranges::all_of(ready.step->plan, [&](const PlannedPlace &planned) {
        return takesStarts(dispatcher.workers.workers[planned.worker], now) && isAllowed(ready, planned.worker)
            && ready.step->tasks[planned.task].phase == TaskPhase::Waiting;
    });
}

milliseconds adviceTime(const ReadyStep &ready, std::size_t workers)
{
    if (!ready.queue->advice) {
        return milliseconds(0);
    }
    const auto cost = ready.queue->advice->base + ready.queue->advice->perWorker * static_cast<int>(workers);
    return std::chrono::ceil<milliseconds>(cost);
}

/// Renews the tickets of planned workers; true if all are good now. Pattern: gangs whose tickets end one after the
/// other. Tickets that would end before the answer is here are renewed too, so that all of them are good at one time.
bool planHasTickets(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    std::vector<WorkerSlot> planned;
    for (const PlannedPlace &place : ready.step->plan) {
        if (std::ranges::find(planned, place.worker) == planned.end()) {
            planned.push_back(place.worker);
        }
    }
    const auto isGood = [&](WorkerSlot slot) { return hasTicket(dispatcher, ready, slot, now); };
    if (std::ranges::all_of(planned, isGood)) {
        return true;
    }
    const milliseconds wait = adviceTime(ready, planned.size()) + renewalMargin;
    std::erase_if(planned, [&](WorkerSlot slot) { return hasTicket(dispatcher, ready, slot, now + wait); });
    if (!ready.step->adviceOpen) {
        ready.step->planUntil = std::max(ready.step->planUntil, now + wait + planSlack);
    }
    ask(dispatcher, ready, std::move(planned), now);
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

/// Only the operator's order counts here: a late job must not take the place of one that is less urgent.
bool isVictim(const ReadyStep &ready, const Run &run, MonotonicTime now)
{
    return run.phase == RunPhase::Running && run.preemptible && run.priority > ready.queue->priority
        && ready.rank < lateRank && (run.checkpointed || now - run.startedAt < cheapWork);
}

/// Room of the allowed workers if less urgent runs were stopped.
std::vector<Resources> roomAfterPreemption(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    std::vector<Resources> room = roomOfWorkers(dispatcher);
    for (WorkerSlot slot = 0; slot < room.size(); ++slot) {
        if (!isAllowed(ready, slot)) {
            continue;
        }
        for (const auto &[key, run] : dispatcher.workers.workers[slot].runs) {
            if (isVictim(ready, run, now)) {
                room[slot] += run.size;
            }
        }
    }
    return room;
}

/// Stops what stands in the way of the planned places, and reserves their room.
bool preemptFor(Dispatcher &dispatcher, const ReadyStep &ready, std::span<const PlannedPlace> plan, MonotonicTime now)
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
    const milliseconds wait = dispatcher.bounds.stopTime + planSlack + adviceTime(ready, needed.size());
    reserve(dispatcher, ready, plan, now + wait);
    for (const auto &[slot, key] : victims) {
        ++dispatcher.counters.preempted;
        logLine(LogLevel::Info, logPart, "Run preempted. task={} worker={} for={} rank={}", formatTaskKey(key),
            dispatcher.workers.workers[slot].entry.id, formatStepKey(ready.key), ready.rank);
        stopRun(dispatcher, slot, key, now);
    }
    return true;
}

void placeWholeGang(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    if (ready.step->waiting != ready.step->tasks.size()) {
        return;
    }
    if (!ready.step->plan.empty()) {
        if (!planHolds(dispatcher, ready, now)) {
            dropPlan(dispatcher, *ready.spec, *ready.step);
        } else {
            const bool tickets = planHasTickets(dispatcher, ready, now);
            const bool free = std::ranges::all_of(
                ready.step->plan, [&](const PlannedPlace &planned) { return planIsFree(dispatcher, ready, planned); });
            if (tickets && free) {
                startPlan(dispatcher, ready, now);
            }
            return;
        }
    }
    auto plan = placeGang(dispatcher, ready, roomOfWorkers(dispatcher), now);
    if (plan) {
        reserve(dispatcher, ready, *plan, now + planSlack + adviceTime(ready, ready.step->tasks.size()) * 2);
        if (planHasTickets(dispatcher, ready, now)) {
            startPlan(dispatcher, ready, now);
        }
        return;
    }
    if (needsTicket(ready) && askAboutMore(dispatcher, ready, now)) {
        return;
    }
    plan = placeGang(dispatcher, ready, roomAfterPreemption(dispatcher, ready, now), now);
    if (plan) {
        preemptFor(dispatcher, ready, *plan, now);
    }
}

struct SinglePlace
{
    WorkerSlot slot = noWorker;
    bool hasTicket = false;
};

/// Best allowed worker with room: with a ticket, on the data's rack, not where it failed, and with least left over.
SinglePlace chooseSingle(Dispatcher &dispatcher, const ReadyStep &ready, const Task &task,
    std::span<const Resources> room, MonotonicTime now)
{
    SinglePlace best;
    auto bestRank = std::tuple(true, true, true, std::int64_t{0});
    const Resources size = chargedSize(*ready.spec);
    const auto consider = [&](WorkerSlot slot) {
        const Worker &worker = dispatcher.workers.workers[slot];
        if (!fits(size, room[slot]) || !isEligible(dispatcher, ready, worker, now)
            || perWorkerLimit(ready, slot) == 0) {
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

/// Starts the tasks whose reserved room has become free; drops plans that came to nothing.
void continuePlan(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    if (ready.step->plan.empty()) {
        return;
    }
    if (!planHolds(dispatcher, ready, now)) {
        dropPlan(dispatcher, *ready.spec, *ready.step);
        return;
    }
    planHasTickets(dispatcher, ready, now);
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

/// Stops less urgent runs for one task. False if there are none to stop.
bool preemptForOne(Dispatcher &dispatcher, const ReadyStep &ready, std::uint32_t index, MonotonicTime now)
{
    const std::vector<Resources> room = roomAfterPreemption(dispatcher, ready, now);
    const SinglePlace found = chooseSingle(dispatcher, ready, ready.step->tasks[index], room, now);
    const PlannedPlace place{.task = index, .worker = found.slot};
    return found.slot != noWorker && preemptFor(dispatcher, ready, std::span(&place, 1), now);
}

void placeSingles(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    continuePlan(dispatcher, ready, now);
    std::vector<Resources> room = roomOfWorkers(dispatcher);
    std::vector<WorkerSlot> expired;
    bool noRoom = false;
    for (std::uint32_t index = 0; index < ready.step->tasks.size(); ++index) {
        Task &task = ready.step->tasks[index];
        if (task.phase != TaskPhase::Waiting || task.notBefore > now || isPlanned(*ready.step, index)) {
            continue;
        }
        const SinglePlace found = chooseSingle(dispatcher, ready, task, room, now);
        if (found.slot == noWorker) {
            noRoom = true;
            break;
        }
        room[found.slot] -= chargedSize(*ready.spec);
        if (!found.hasTicket) {
            if (std::ranges::find(expired, found.slot) == expired.end()) {
                expired.push_back(found.slot);
            }
            continue;
        }
        startTask(dispatcher, placeOf(ready, index), {.step = ready.key, .index = index}, found.slot, now);
    }
    if (!expired.empty()) {
        ask(dispatcher, ready, std::move(expired), now);
        return;
    }
    if (!noRoom) {
        return;
    }
    if (needsTicket(ready) && askAboutMore(dispatcher, ready, now)) {
        return;
    }
    for (std::uint32_t index = 0; index < ready.step->tasks.size(); ++index) {
        const Task &task = ready.step->tasks[index];
        if (task.phase == TaskPhase::Waiting && task.notBefore <= now && !isPlanned(*ready.step, index)
            && !preemptForOne(dispatcher, ready, index, now)) {
            break;
        }
    }
}

} // namespace

std::vector<ReadyStep> readySteps(Dispatcher &dispatcher, MonotonicTime now)
{
    std::vector<ReadyStep> ready;
    for (auto &[id, job] : dispatcher.jobs.live) {
        if (job->accepted && !isEnded(job->state) && (!job->inherited || dispatcher.takeoverFinished)) {
            addReadySteps(dispatcher, *job, now, ready);
        }
    }
    std::ranges::sort(ready, {}, [](const ReadyStep &each) { return std::tuple(each.rank, each.dueBy, each.key); });
    return ready;
}

bool isEligible(const Dispatcher &, const ReadyStep &ready, const Worker &worker, MonotonicTime now)
{
    return takesStarts(worker, now) && worker.entry.pool == ready.queue->pool
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
    return static_cast<std::uint32_t>(there);
}

namespace
{

struct GangSpace
{
    WorkerSlot slot = noWorker;
    std::uint32_t count = 0;
    std::int64_t leftOver = 0;
};

std::vector<GangSpace> spacesForGang(
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
            = std::min(perWorkerLimit(ready, slot), static_cast<std::uint32_t>(ready.step->tasks.size()));
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
    const std::vector<GangSpace> spaces = spacesForGang(dispatcher, ready, room, now);
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
        if (isVictim(ready, run, now)) {
            candidates.emplace_back(
                !run.checkpointed, MonotonicTime{} - (run.startedAt - MonotonicTime{}), key, run.size);
        }
    }
    // Those that were started last have done the least.
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

void handleAdviceReply(Dispatcher &dispatcher, const AdviceReply &reply, MonotonicTime now)
{
    auto open = takeAdviceReply(dispatcher.advisor, reply, now);
    if (!open) {
        return;
    }
    Job *job = findJob(dispatcher.jobs, open->question.step.job);
    StepRun *step = job == nullptr || isEnded(job->state) ? nullptr : findStep(*job, open->question.step);
    if (step == nullptr) {
        return;
    }
    if (reply.status != CallStatus::Ok) {
        logLine(LogLevel::Info, logPart, "Advice failed and is asked again. step={} status={} tries={}",
            formatStepKey(open->question.step), static_cast<int>(reply.status), open->question.tries);
        askAgain(dispatcher.advisor, std::move(open->question));
        return;
    }
    step->adviceOpen = false;
    // Renewed tickets say nothing about the share: only workers that were allowed before are named then.
    std::size_t news = 0;
    std::size_t newlyAllowed = 0;
    const milliseconds validity = queueOf(dispatcher, *job).advice.value_or(AdviceTimes{}).ticketValidity;
    for (std::size_t i = 0; i < open->question.workers.size(); ++i) {
        const WorkerSlot slot = open->question.workers[i];
        const bool isNew = !step->allowed.contains(slot) && !step->denied.contains(slot);
        news += isNew ? 1 : 0;
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
    step->adviceRetryAt = reply.allowed.empty() ? now + adviceInterval : now;
    learnShare(dispatcher.advisor, job->record.queue.name, news, newlyAllowed);
    logLine(LogLevel::Info, logPart, "Advice. step={} asked={} allowed={} waited_ms={}",
        formatStepKey(open->question.step), open->question.workers.size(), reply.allowed.size(),
        std::chrono::floor<milliseconds>(now - open->question.askedAt).count());
    observe(dispatcher, DurationKind::Advice, now - open->question.askedAt);
    dispatcher.placementDue = true;
}

void placeTasks(Dispatcher &dispatcher, MonotonicTime now)
{
    dispatcher.placementDue = false;
    if (dispatcher.deposed || !dispatcher.canExtendLeases) {
        return;
    }
    // Pattern: a backlog after an outage. More starts at one time than the loop can settle would hold up everything
    // else; the answers to those under way let the next ones go.
    std::size_t blocked = 0;
    for (const ReadyStep &ready : readySteps(dispatcher, now)) {
        if (dispatcher.orders.size() >= maxOpenOrders) {
            break;
        }
        const std::uint32_t waiting = ready.step->waiting;
        if (needsTicket(ready) && ready.step->allowed.empty()) {
            askAboutMore(dispatcher, ready, now);
            continue;
        }
        if (ready.spec->gang) {
            placeWholeGang(dispatcher, ready, now);
        } else {
            placeSingles(dispatcher, ready, now);
        }
        blocked += ready.step->waiting == waiting ? 1 : 0;
        if (blocked >= maxBlockedSteps) {
            break;
        }
    }
    // A step that finds no room costs a look at every worker. Spacing the passes keeps them within a fifth of a core.
    const auto spacing = timePerLook * static_cast<int>(blocked * dispatcher.workers.workers.size());
    dispatcher.nextPlacement = now + std::max(shortestSpacing, std::chrono::ceil<milliseconds>(spacing));
    askWaiting(dispatcher.advisor, dispatcher.workers, *dispatcher.outbox, now);
}

} // namespace wigeonkeel::dispatch

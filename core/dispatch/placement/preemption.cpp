#include "core/dispatch/placement/preemption.h"

#include "core/dispatch/placement/advice_requests.h"
#include "core/dispatch/placement/place_plans.h"
#include "core/dispatch/placement/worker_room.h"
#include "core/dispatch/task_runs.h"
#include "core/log.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::string_view logPart = "placement";
/// A run without checkpoints may be pre-empted only this long after its start, to limit the work that is lost.
constexpr milliseconds maxLostWork{1200};

/// Compares the configured priorities of the queues, not the ranks. Work beyond its tenant's rate gives way to all work
/// within the rates of the same priority, and never pre-empts, so that two runs can't pre-empt each other in turn.
bool isLessUrgent(const Run &run, const ReadyStep &ready)
{
    const std::uint32_t priority = ready.queue->priority;
    return !ready.job->record.isExcess && (run.isExcess ? run.priority >= priority : run.priority > priority);
}

/// A job that is late never pre-empts others.
bool canPreempt(const ReadyStep &ready, const Run &run, MonotonicTime now)
{
    return run.phase == RunPhase::Running && run.preemptible && isLessUrgent(run, ready) && ready.rank < lateRank
        && (run.checkpointed || (run.startedAt && now - *run.startedAt < maxLostWork));
}

} // namespace

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

} // namespace

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

} // namespace wigeonkeel::dispatch

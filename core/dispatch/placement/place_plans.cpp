#include "core/dispatch/placement/place_plans.h"

#include "core/dispatch/placement/advice_requests.h"
#include "core/dispatch/placement/worker_room.h"

#include <algorithm>

namespace wigeonkeel::dispatch
{

namespace
{

/// Tickets that would expire sooner than this after the expected reply are renewed together.
constexpr milliseconds ticketRenewalMargin{250};

} // namespace

void reserve(Dispatcher &dispatcher, const ReadyStep &ready, std::span<const PlannedPlace> plan, MonotonicTime until)
{
    const bool hadPlan = !ready.step->plan.empty();
    for (const PlannedPlace &planned : plan) {
        dispatcher.workers.workers[planned.worker].reserved += chargedSize(*ready.spec);
        dispatcher.tenants.rows[ready.job->tenant].planned += chargedSize(*ready.spec);
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
    // The cap may have been lowered since.
    const bool isAllowedByTenant = isWithinCap(dispatcher.tenants.rows[ready.job->tenant]);
    return isAllowedByTenant && now < ready.step->planUntil
        && std::ranges::all_of(ready.step->plan, [&](const PlannedPlace &planned) {
               return canAcceptStarts(dispatcher.workers.workers[planned.worker], now)
                   && isAllowed(ready, planned.worker) && ready.step->tasks[planned.task].phase == TaskPhase::Waiting
                   && ready.step->tasks[planned.task].unknownRuns == 0;
           });
}

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
    dropPlan(dispatcher, *ready.job, *ready.spec, *ready.step);
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

void continuePlan(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    if (ready.step->plan.empty()) {
        return;
    }
    if (!isPlanValid(dispatcher, ready, now)) {
        dropPlan(dispatcher, *ready.job, *ready.spec, *ready.step);
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
        dispatcher.tenants.rows[ready.job->tenant].planned -= size;
        startTask(
            dispatcher, placeOf(ready, planned.task), {.step = ready.key, .index = planned.task}, planned.worker, now);
    }
    ready.step->plan = std::move(left);
}

} // namespace wigeonkeel::dispatch

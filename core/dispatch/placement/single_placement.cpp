#include "core/dispatch/placement/single_placement.h"

#include "core/dispatch/placement/advice_requests.h"
#include "core/dispatch/placement/near_waits.h"
#include "core/dispatch/placement/place_plans.h"
#include "core/dispatch/placement/preemption.h"
#include "core/dispatch/placement/worker_room.h"
#include "core/dispatch/tenant_state.h"

#include <algorithm>
#include <optional>
#include <span>
#include <string_view>
#include <tuple>
#include <vector>

namespace wigeonkeel::dispatch
{

namespace
{

struct SinglePlace
{
    WorkerSlot slot = noWorker;
    bool hasTicket = false;
};

bool isFar(const ReadyStep &ready, const Worker &worker)
{
    return !ready.spec->dataRack.empty() && worker.entry.rack != ready.spec->dataRack;
}

/// The best allowed worker with room for the task. In order of importance: not the worker where the task last failed,
/// with a valid ticket, on the data's rack, of the preferred speed, with the least free cpu.
SinglePlace chooseSingle(Dispatcher &dispatcher, const ReadyStep &ready, const Task &task,
    std::span<const Resources> room, SpeedPreference preference, MonotonicTime now)
{
    SinglePlace best;
    auto bestRank = std::tuple(true, true, true, 0, std::int64_t{0});
    const Resources size = chargedSize(*ready.spec);
    const auto consider = [&](WorkerSlot slot) {
        const Worker &worker = dispatcher.workers.workers[slot];
        if (!fits(size, room[slot]) || !isEligible(ready, worker, now) || remainingPerWorker(ready, slot) == 0) {
            return;
        }
        const bool ticket = hasTicket(dispatcher, ready, slot, now);
        const bool far = isFar(ready, worker);
        const auto rank = std::tuple(
            task.failedOn == slot, !ticket, far, speedRank(preference, worker.speed.speedClass), room[slot].cpuMilli);
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

bool isPlanned(const StepRun &step, std::uint32_t index)
{
    return std::ranges::find(step.plan, index, &PlannedPlace::task) != step.plan.end();
}

/// Stops less urgent runs to make room for one task. False if that can't free enough room.
bool preemptForOne(Dispatcher &dispatcher, const ReadyStep &ready, std::uint32_t index, MonotonicTime now)
{
    const std::vector<Resources> room = roomAfterPreemption(dispatcher, ready, now);
    // No run is stopped for the sake of a faster worker.
    const SinglePlace found
        = chooseSingle(dispatcher, ready, ready.step->tasks[index], room, SpeedPreference::None, now);
    const PlannedPlace place{.task = index, .worker = found.slot};
    return found.slot != noWorker && preemptForPlan(dispatcher, ready, std::span(&place, 1), now);
}

/// The tasks of a step that wait for near places, as one pass decides it.
struct NearWaits
{
    std::optional<std::vector<milliseconds>> times;
    std::vector<bool> tasks;
    PlaceWaitResult result;
};

/// Whether one more task waits for a near place instead of a start on the far one that was found.
bool waitsForPlace(Dispatcher &dispatcher, const ReadyStep &ready, NearWaits &waits, std::span<const Resources> room,
    MonotonicTime now)
{
    if (!canWaitForPlace(dispatcher, ready, now)) {
        return false;
    }
    const std::string_view rack = ready.spec->dataRack;
    if (!waits.times) {
        waits.times = nearPlaceTimes(dispatcher, ready, rack, room, now);
    }
    const std::size_t position = waitersBefore(dispatcher, rack) + waits.result.waiting;
    // Near room that is free now was not chosen for another reason, such as an expired ticket.
    if (position >= waits.times->size() || waits.times->front().count() == 0) {
        return false;
    }
    const milliseconds freeIn = (*waits.times)[position];
    if (!paysToWaitFor(dispatcher, ready, freeIn, now)) {
        return false;
    }
    ++waits.result.waiting;
    waits.result.rack = rack;
    waits.result.freeIn = freeIn;
    return true;
}

} // namespace

bool placeSingles(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    continuePlan(dispatcher, ready, now);
    const auto canStart = [&ready, now](std::uint32_t index) {
        return isStartable(ready.step->tasks[index], now) && !isPlanned(*ready.step, index);
    };
    std::vector<Resources> room = roomOfWorkers(dispatcher);
    std::vector<WorkerSlot> expired;
    bool noRoom = false;
    const SpeedPreference preference = speedPreferenceOf(ready, now);
    NearWaits waits{.times = {}, .tasks = std::vector<bool>(ready.step->tasks.size(), false), .result = {}};
    // The place that the last task didn't take, because it waits; the next one would find the same.
    std::optional<SinglePlace> untaken;
    std::uint32_t allowedByCap = startsWithinCap(dispatcher, *ready.job, *ready.spec, ready.step->waiting);
    for (std::uint32_t index = 0; index < ready.step->tasks.size() && allowedByCap > 0; ++index) {
        if (!canStart(index)) {
            continue;
        }
        const Task &task = ready.step->tasks[index];
        // A task that failed elsewhere may prefer another place.
        const bool hasFailed = task.failedOn != noWorker;
        const SinglePlace found
            = untaken && !hasFailed ? *untaken : chooseSingle(dispatcher, ready, task, room, preference, now);
        untaken.reset();
        if (found.slot == noWorker) {
            noRoom = true;
            break;
        }
        if (isFar(ready, dispatcher.workers.workers[found.slot])) {
            if (!hasFailed && waitsForPlace(dispatcher, ready, waits, room, now)) {
                waits.tasks[index] = true;
                --allowedByCap;
                untaken = found;
                continue;
            }
            waits.result.gaveUp = true;
        }
        room[found.slot] -= chargedSize(*ready.spec);
        --allowedByCap;
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
    waits.result.noRoom = noRoom;
    updatePlaceWait(dispatcher, ready, waits.result, now);
    if (!expired.empty()) {
        requestAdvice(dispatcher, ready, std::move(expired), now);
        return false;
    }
    if (!noRoom || (needsTicket(ready) && requestMoreAdvice(dispatcher, ready, now))) {
        return false;
    }
    for (std::uint32_t index = 0; index < ready.step->tasks.size() && allowedByCap > 0; ++index) {
        if (!canStart(index) || waits.tasks[index]) {
            continue;
        }
        if (!preemptForOne(dispatcher, ready, index, now)) {
            return true;
        }
        --allowedByCap;
    }
    return false;
}

} // namespace wigeonkeel::dispatch

#include "core/dispatch/placement/near_waits.h"

#include "core/dispatch/placement/place_wait.h"
#include "core/dispatch/placement/worker_room.h"
#include "core/dispatch/task_runs.h"
#include "core/log.h"

#include <algorithm>
#include <map>
#include <string>

namespace wigeonkeel::dispatch
{

namespace
{

constexpr std::string_view logPart = "placement";
/// Most steps that wait for near places at one time; further ones start on far places. Each pass examines all workers
/// for each of them, so this limits the length of a pass to a third of what blocked steps may add.
constexpr std::size_t maxWaitingSteps = 20;

/// Runs on the worker whose ends can be expected within the bound on waits.
std::vector<RunEnding> endingsOn(Dispatcher &dispatcher, WorkerSlot slot, MonotonicTime now)
{
    std::vector<RunEnding> endings;
    const Worker &worker = dispatcher.workers.workers[slot];
    for (const auto &[key, run] : worker.runs) {
        if (run.unknown) {
            continue;
        }
        if (run.phase == RunPhase::Stopping) {
            endings.push_back({.left = dispatcher.bounds.stopTime, .size = run.size});
            continue;
        }
        const TaskPlace place = findTask(dispatcher, key);
        if (!place || place.task->worker != slot || place.spec->longRunning || !run.startedAt) {
            continue;
        }
        const bool far = !place.spec->dataRack.empty() && place.spec->dataRack != worker.entry.rack;
        const double factor = far ? dispatcher.bounds.remoteFactor : 1.0;
        const milliseconds left = expectedTimeLeft({.estimate
            = milliseconds(static_cast<std::int64_t>(static_cast<double>(place.spec->estimate.count()) * factor)),
            .percent = place.task->percent,
            .startedAgo = std::chrono::floor<milliseconds>(now - place.task->startedAt),
            .reportedAgo = std::chrono::floor<milliseconds>(now - place.task->progressAt)});
        if (left < maxPlaceWait) {
            endings.push_back({.left = left, .size = run.size});
        }
    }
    return endings;
}

/// Whether the tasks of the step run longer on some places than on others. Services start where there is room: their
/// clients need them at once.
bool hasNearPlaces(const Dispatcher &dispatcher, const StepSpec &spec)
{
    const bool isBound = spec.gang ? spec.sameRack : !spec.dataRack.empty();
    return dispatcher.bounds.remoteFactor > 1.0 && isBound && !spec.longRunning;
}

/// Adds the expected times until places for the step's tasks are free on the worker; at most `wanted` places.
void addPlaceTimes(Dispatcher &dispatcher, const ReadyStep &ready, WorkerSlot slot, const Resources &room,
    std::uint32_t wanted, MonotonicTime now, std::vector<milliseconds> &times)
{
    const std::uint32_t limit = std::min(remainingPerWorker(ready, slot), wanted);
    const std::vector<RunEnding> endings = endingsOn(dispatcher, slot, now);
    for (const milliseconds time : placeFreeTimes(chargedSize(*ready.spec), room, endings, limit)) {
        if (time.count() == 0 || hasTicket(dispatcher, ready, slot, now + latestNearStart(time))) {
            times.push_back(time);
        }
    }
}

/// Number of places on the rack that count for the step's tasks: those that wait for it already take the first ones.
std::uint32_t placesWanted(const Dispatcher &dispatcher, const ReadyStep &ready, std::string_view rack)
{
    return static_cast<std::uint32_t>(ready.step->tasks.size() + waitersBefore(dispatcher, rack));
}

bool hasRuns(const Job &job)
{
    return std::ranges::any_of(job.occurrences, [](const Occurrence &occurrence) {
        return std::ranges::any_of(
            occurrence.steps, [](const StepRun &step) { return step.open && step.remaining > step.waiting; });
    });
}

} // namespace

bool canWaitForPlace(const Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    // What doesn't pay for the shortest wait pays for none; the ends on near workers needn't be looked at then.
    return hasNearPlaces(dispatcher, *ready.spec) && !ready.step->placeWait.isOver
        && dispatcher.placeWaits.steps < maxWaitingSteps && paysToWaitFor(dispatcher, ready, milliseconds(0), now);
}

std::vector<milliseconds> nearPlaceTimes(Dispatcher &dispatcher, const ReadyStep &ready, std::string_view rack,
    std::span<const Resources> room, MonotonicTime now)
{
    std::vector<milliseconds> times;
    const std::uint32_t wanted = placesWanted(dispatcher, ready, rack);
    for (WorkerSlot slot = 0; slot < room.size(); ++slot) {
        const Worker &worker = dispatcher.workers.workers[slot];
        if (worker.entry.rack == rack && isAllowed(ready, slot) && isEligible(ready, worker, now)) {
            addPlaceTimes(dispatcher, ready, slot, room[slot], wanted, now, times);
        }
    }
    std::ranges::sort(times);
    return times;
}

std::size_t waitersBefore(const Dispatcher &dispatcher, std::string_view rack)
{
    const auto found = dispatcher.placeWaits.waitersByRack.find(std::string(rack));
    return found == dispatcher.placeWaits.waitersByRack.end() ? 0 : found->second;
}

bool paysToWaitFor(const Dispatcher &dispatcher, const ReadyStep &ready, milliseconds freeIn, MonotonicTime now)
{
    const Job &job = *ready.job;
    PlaceWaitUse use{.stepWaited = ready.step->placeWait.waited, .idleWaited = job.idlePlaceWait, .idleFor = {}};
    if (job.idleSince) {
        use.idleFor = std::chrono::ceil<milliseconds>(now - *job.idleSince);
    }
    return paysToWait({.freeIn = freeIn,
        .runTime = ready.spec->estimate,
        .remoteFactor = dispatcher.bounds.remoteFactor,
        .untilDue = std::chrono::floor<milliseconds>(ready.dueBy - now),
        .chainAfter = remainingPathEstimate(job.record.spec, ready.key.step) - ready.spec->estimate,
        .waitLeft = placeWaitLeft(use),
        .isUrgent = ready.queue->priority == 0});
}

void countPlaceWait(const Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    if (!hasNearPlaces(dispatcher, *ready.spec)) {
        return;
    }
    Job &job = *ready.job;
    if (hasRuns(job)) {
        job.idleSince.reset();
    } else if (!job.idleSince) {
        const bool isFirst = !job.started && job.record.spec.repeatCount == 0;
        job.idleSince = isFirst ? job.submittedAt : now;
    }
    PlaceWaitState &wait = ready.step->placeWait;
    if (wait.since) {
        const auto passed = std::chrono::ceil<milliseconds>(now - wait.countedUntil);
        wait.waited += passed;
        wait.countedUntil = now;
        job.idlePlaceWait += job.idleSince ? passed : milliseconds(0);
    }
}

void updatePlaceWait(Dispatcher &dispatcher, const ReadyStep &ready, const PlaceWaitResult &result, MonotonicTime now)
{
    PlaceWaitState &wait = ready.step->placeWait;
    if (result.waiting > 0) {
        dispatcher.placeWaits.waitersByRack[std::string(result.rack)] += result.waiting;
        ++dispatcher.placeWaits.steps;
        if (!wait.since) {
            wait.since = now;
            wait.countedUntil = now;
            ++dispatcher.counters.placeWaits;
            logLine(LogLevel::Info, logPart,
                "Wait for a near place begins. step={} rack={} tasks={} free_in_ms={} estimate_ms={} due_in_ms={} "
                "waited_ms={}",
                formatStepKey(ready.key), result.rack, result.waiting, result.freeIn.count(),
                ready.spec->estimate.count(), std::chrono::floor<milliseconds>(ready.dueBy - now).count(),
                wait.waited.count());
        }
        return;
    }
    if (!wait.since || (result.noRoom && !result.gaveUp)) {
        return;
    }
    // After a wait that failed the step doesn't wait again, so that it can't alternate between both in each pass.
    wait.isOver = result.gaveUp;
    ++(result.gaveUp ? dispatcher.counters.placeWaitsGivenUp : dispatcher.counters.placeWaitsNear);
    logLine(LogLevel::Info, logPart, "Wait for a near place ends. step={} placed_near={} waited_ms={}",
        formatStepKey(ready.key), !result.gaveUp, std::chrono::floor<milliseconds>(now - *wait.since).count());
    wait.since.reset();
}

bool waitsForRack(Dispatcher &dispatcher, const ReadyStep &ready, std::span<const Resources> room, MonotonicTime now)
{
    if (!canWaitForPlace(dispatcher, ready, now)) {
        return false;
    }
    std::map<std::string_view, std::vector<milliseconds>> timesByRack;
    for (WorkerSlot slot = 0; slot < room.size(); ++slot) {
        const Worker &worker = dispatcher.workers.workers[slot];
        if (isAllowed(ready, slot) && isEligible(ready, worker, now)) {
            const std::string_view rack = worker.entry.rack;
            addPlaceTimes(
                dispatcher, ready, slot, room[slot], placesWanted(dispatcher, ready, rack), now, timesByRack[rack]);
        }
    }
    const std::size_t members = ready.step->tasks.size();
    PlaceWaitResult best;
    for (auto &[rack, times] : timesByRack) {
        const std::size_t last = waitersBefore(dispatcher, rack) + members - 1;
        if (last >= times.size()) {
            continue;
        }
        std::ranges::sort(times);
        if (best.waiting == 0 || times[last] < best.freeIn) {
            best = {.waiting = static_cast<std::uint32_t>(members), .rack = rack, .freeIn = times[last]};
        }
    }
    if (best.waiting == 0 || !paysToWaitFor(dispatcher, ready, best.freeIn, now)) {
        return false;
    }
    updatePlaceWait(dispatcher, ready, best, now);
    return true;
}

} // namespace wigeonkeel::dispatch

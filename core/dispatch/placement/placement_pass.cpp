#include "core/dispatch/blocked_needs.h"
#include "core/dispatch/dispatcher.h"
#include "core/dispatch/placement/advice_requests.h"
#include "core/dispatch/placement/gang_placement.h"
#include "core/dispatch/placement/job_turns.h"
#include "core/dispatch/placement/near_waits.h"
#include "core/dispatch/placement/single_placement.h"
#include "core/dispatch/placement/unplaceable_steps.h"
#include "core/dispatch/placement/worker_room.h"
#include "core/dispatch/tenant_state.h"
#include "core/log.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <span>

namespace wigeonkeel::dispatch
{

namespace
{

/// Most orders without a reply. A reply across zones takes about 8 ms, so this allows 8,000 orders a second.
constexpr std::size_t maxOpenOrders = 64;
/// Each pass examines the most urgent steps until this many have found no room.
constexpr std::size_t maxBlockedSteps = 60;
/// While the workers are mostly idle, a pass also examines the remaining steps, job by job, until so many more have
/// found no room that they were compared with this many workers. Less urgent steps may fit where more urgent ones
/// don't. With 300 workers these are 15 steps.
constexpr std::size_t maxComparisonsInTurn = 4500;
constexpr std::size_t minBlockedStepsInTurn = 15;
/// Up to this share of the processors in use, waiting jobs must start where they fit, by the platform's rules. Above
/// it, room is left to the most urgent steps, which would otherwise find it taken by jobs that are very late.
constexpr double mostlyIdleShare = 0.5;
/// Added to the time between passes for each worker that a blocked step examined; about five times what examining the
/// worker takes.
constexpr std::chrono::microseconds timePerExaminedWorker{2};
/// The same for each step with tasks that can start: collecting and sorting them takes 0.6 us a step.
constexpr std::chrono::microseconds timePerReadyStep{3};
/// The same for each step that is left out, as no listed worker could hold it: passing over it takes 60 ns.
constexpr std::chrono::nanoseconds timePerUnplaceableStep{300};
constexpr milliseconds minPassSpacing{3};
constexpr std::string_view logPart = "placement";
constexpr LogRate endedEarlyLogRate{.interval = std::chrono::seconds(5)};
constexpr LogRate unplaceableLogRate{.interval = std::chrono::seconds(1), .burst = 20};

/// Starts the step's tasks that can start, and requests the advice that it lacks. Returns whether a task, or the gang,
/// found no room.
bool placeStep(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now)
{
    if (needsTicket(ready) && ready.step->allowed.empty()) {
        requestMoreAdvice(dispatcher, ready, now);
        return false;
    }
    if (ready.spec->gang) {
        return placeWholeGang(dispatcher, ready, now);
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
    if (!hasReadyTasks(*step, now) || isMarkedUnplaceable(dispatcher.workers, *step)
        || isHeldByCap(dispatcher, *job, job->record.spec.steps[request.step.step], *step)) {
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
    /// Needs that the listed workers could not hold if nothing ran there.
    BlockedNeeds unplaceable;
    /// Number of examined steps, and of those that found no room.
    std::size_t examinedSteps = 0;
    std::size_t blocked = 0;
    /// Number of examined steps that wait for near places. They have room, so that they don't end the pass.
    std::size_t waitingNear = 0;
    /// By tenant: whether its cap held a step back, and whether a step was examined.
    std::vector<bool> heldByCap;
    std::vector<bool> examined;
};

PlacementNeed needOf(const ReadyStep &ready)
{
    return {.pool = ready.queue->pool,
        .label = ready.spec->requiredLabel,
        .size = chargedSize(*ready.spec),
        .members = tasksPlacedTogether(*ready.spec),
        .maxPerWorker = ready.spec->maxPerWorker,
        .priority = ready.queue->priority,
        .canPreempt = ready.rank < lateRank && !ready.job->record.isExcess};
}

/// Whether the limit for each worker excludes workers because of the step's own tasks there.
bool isRestrictedByOwnTasks(const ReadyStep &ready)
{
    return ready.spec->maxPerWorker != 0 && (!ready.step->plan.empty() || ready.step->waiting < ready.step->remaining);
}

/// Whether the step found no room because of its need alone, so that others with this need find none either.
bool isNeedSufficient(const ReadyStep &ready)
{
    return !needsTicket(ready) && !isRestrictedByOwnTasks(ready);
}

/// The need without what depends on other runs.
PlacementNeed emptyFleetNeedOf(const ReadyStep &ready)
{
    PlacementNeed need = needOf(ready);
    need.canPreempt = false;
    return need;
}

/// Marks the step if the listed workers could not hold it. Returns whether it was marked.
bool markIfUnplaceable(Dispatcher &dispatcher, PlacementPass &pass, const ReadyStep &ready, MonotonicTime now)
{
    // Planned places may be released without a change of the workers or the step.
    if (!ready.step->plan.empty() || canWorkersHold(dispatcher.workers, ready)) {
        return false;
    }
    markUnplaceable(dispatcher.workers, *ready.step);
    if (!isRestrictedByOwnTasks(ready)) {
        addBlocked(pass.unplaceable, emptyFleetNeedOf(ready));
    }
    const Resources size = chargedSize(*ready.spec);
    logLimited(dispatcher.placement.unplaceableLines, unplaceableLogRate, now, LogLevel::Info, logPart,
        "No listed worker can hold the step. step={} pool={} label={} size=\"{}\" gang_members={} max_per_worker={} "
        "tasks_waiting={}",
        formatStepKey(ready.key), ready.queue->pool, ready.spec->requiredLabel, describe(size),
        ready.spec->gang ? ready.spec->count : 0, ready.spec->maxPerWorker, ready.step->waiting);
    return true;
}

/// Marks the step if it is known before an attempt to place it that the listed workers could not hold it. Returns
/// whether it was marked.
bool markIfKnownUnplaceable(Dispatcher &dispatcher, PlacementPass &pass, const ReadyStep &ready, MonotonicTime now)
{
    // The step may be in the state of an earlier mark again, with its tasks on other workers.
    ready.step->unplaceable.reset();
    if (ready.step->plan.empty() && isBlocked(pass.unplaceable, emptyFleetNeedOf(ready))) {
        markUnplaceable(dispatcher.workers, *ready.step);
        return true;
    }
    // Advice for a step that can't start would delay the requests of others.
    if (needsTicket(ready) && ready.step->allowed.empty() && markIfUnplaceable(dispatcher, pass, ready, now)) {
        ++pass.blocked;
        return true;
    }
    return false;
}

void examineStep(Dispatcher &dispatcher, PlacementPass &pass, const ReadyStep &ready, MonotonicTime now)
{
    ++pass.examinedSteps;
    ready.step->examinedAt = now;
    ready.job->examinedAt = now;
    countPlaceWait(dispatcher, ready, now);
    pass.examined[ready.job->tenant] = true;
    // Such a step doesn't count as blocked: many of one tenant must not end the pass before the steps of others.
    if (isHeldByCap(dispatcher, *ready.job, *ready.spec, *ready.step)) {
        pass.heldByCap[ready.job->tenant] = true;
        return;
    }
    if (awaitsAdvice(dispatcher, ready, now)) {
        return;
    }
    if (markIfKnownUnplaceable(dispatcher, pass, ready, now)) {
        return;
    }
    // Limits open orders, because the many starts of a backlog after an outage would delay all other work of the loop.
    // Replies to open orders make room for the next ones.
    const bool canStart = dispatcher.orders.size() < maxOpenOrders && hasRoom(dispatcher.outbox->link);
    // Steps without advice request it meanwhile.
    if (!canStart && !(needsTicket(ready) && ready.step->allowed.empty())) {
        return;
    }
    // What restricts the step beyond its need only leaves it fewer workers. A step without tickets may need advice.
    if (!needsTicket(ready) && ready.step->plan.empty() && isBlocked(pass.needs, needOf(ready))) {
        return;
    }
    const std::uint32_t waiting = ready.step->waiting;
    const bool foundNoRoom = placeStep(dispatcher, ready, now);
    // The first tasks of a step may have used up the cap.
    if (ready.step->waiting > 0 && isHeldByCap(dispatcher, *ready.job, *ready.spec, *ready.step)) {
        pass.heldByCap[ready.job->tenant] = true;
    }
    if (needsTicket(ready) && ready.step->allowed.empty()) {
        return;
    }
    if (foundNoRoom && !markIfUnplaceable(dispatcher, pass, ready, now) && isNeedSufficient(ready)) {
        addBlocked(pass.needs, needOf(ready));
    }
    if (ready.step->placeWait.since && !foundNoRoom) {
        ++pass.waitingNear;
        return;
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

/// Examines the most urgent steps until so many have found no room. Returns the others.
std::span<const ReadyStep> examineMostUrgent(
    Dispatcher &dispatcher, PlacementPass &pass, std::span<const ReadyStep> steps, MonotonicTime now)
{
    std::size_t next = 0;
    while (next < steps.size() && pass.blocked < maxBlockedSteps) {
        examineStep(dispatcher, pass, steps[next++], now);
    }
    return steps.subspan(next);
}

/// Examines some of these steps if their pools are mostly idle. Each job in turn has steps examined until one finds no
/// room, so that the number of steps of one job doesn't delay the others.
void examineStepsInTurn(
    Dispatcher &dispatcher, PlacementPass &pass, std::span<const ReadyStep> remaining, MonotonicTime now)
{
    const std::size_t workers = std::max<std::size_t>(1, dispatcher.workers.workers.size());
    const std::size_t maxBlocked = pass.blocked + std::max(minBlockedStepsInTurn, maxComparisonsInTurn / workers);
    std::vector<JobTurn> turns = turnsOfJobs(remaining, mostlyIdlePools(dispatcher, now));
    while (!turns.empty()) {
        for (JobTurn &turn : turns) {
            const std::size_t blocked = pass.blocked;
            while (turn.next < turn.steps.size() && pass.blocked == blocked) {
                examineStep(dispatcher, pass, *turn.steps[turn.next++], now);
            }
            if (pass.blocked >= maxBlocked) {
                return;
            }
        }
        std::erase_if(turns, [](const JobTurn &turn) { return turn.next == turn.steps.size(); });
    }
}

void recordPass(Dispatcher &dispatcher, const PlacementPass &pass, std::span<const ReadyStep> steps, MonotonicTime now)
{
    PlacementSummary &summary = dispatcher.placement;
    summary.ready = steps.size();
    summary.examined = pass.examinedSteps;
    summary.blocked = pass.blocked;
    ++dispatcher.counters.placementPasses;
    if (pass.examinedSteps < steps.size()) {
        ++dispatcher.counters.placementPassesEndedEarly;
        logLimited(summary.endedEarly, endedEarlyLogRate, now, LogLevel::Info, logPart,
            "Pass ended before all steps were examined. ready={} examined={} blocked={} unplaceable={} "
            "next_pass_in_ms={}",
            steps.size(), pass.examinedSteps, pass.blocked, summary.unplaceable,
            std::chrono::floor<milliseconds>(dispatcher.nextPlacement - now).count());
    }
}

} // namespace

void placeTasks(Dispatcher &dispatcher, MonotonicTime now)
{
    dispatcher.placementDue = false;
    if (dispatcher.deposed || !dispatcher.canExtendLeases) {
        return;
    }
    refill(dispatcher.outbox->link, now);
    if (!dispatcher.runDiscoveryFinished) {
        countRunsNotFound(dispatcher);
    }
    const std::vector<ReadyStep> steps = readySteps(dispatcher, now);
    dispatcher.placeWaits = {};
    const std::vector<bool> none(dispatcher.tenants.rows.size(), false);
    PlacementPass pass{.needs = {}, .heldByCap = none, .examined = none};
    const std::span<const ReadyStep> remaining = examineMostUrgent(dispatcher, pass, steps, now);
    if (!remaining.empty()) {
        examineStepsInTurn(dispatcher, pass, remaining, now);
    }
    // Without this, a tenant whose steps come after the end of some passes would change its state, with a log line, at
    // each of them.
    for (const ReadyStep &ready : steps) {
        const TenantSlot tenant = ready.job->tenant;
        if (!pass.examined[tenant] && dispatcher.tenants.rows[tenant].isHeldByCap) {
            pass.heldByCap[tenant] = true;
        }
    }
    updateHeldTenants(dispatcher, pass.heldByCap);
    // A step that finds no room examines every worker. The time between passes limits them to a fifth of a core.
    const std::size_t withoutStart = pass.blocked + pass.waitingNear;
    const auto spacing = timePerExaminedWorker * static_cast<int>(withoutStart * dispatcher.workers.workers.size())
        + timePerReadyStep * static_cast<int>(steps.size())
        + timePerUnplaceableStep * static_cast<int>(dispatcher.placement.unplaceable);
    dispatcher.nextPlacement = now + std::max(minPassSpacing, std::chrono::ceil<milliseconds>(spacing));
    recordPass(dispatcher, pass, steps, now);
    // Steps whose advice is prepared are examined again; their waits must not count as those of steps before them.
    dispatcher.placeWaits = {};
    const auto prepare = [&dispatcher, now](AdviceRequest &request) { return prepareAdvice(dispatcher, request, now); };
    sendWaitingRequests(dispatcher.advisor, dispatcher.workers, *dispatcher.outbox, now, prepare);
}

} // namespace wigeonkeel::dispatch

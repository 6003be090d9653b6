#include "core/dispatch/placement/step_order.h"

#include "core/dispatch/placement/unplaceable_steps.h"
#include "core/dispatch/task_runs.h"
#include "core/tenants/fair_share.h"

#include <algorithm>
#include <span>

namespace wigeonkeel::dispatch
{

namespace
{

/// Added to the rank of jobs that have taken more than `veryLateFactor` times the time in which they were due. Their
/// clients are assumed to have stopped waiting.
constexpr int veryLateRank = 6;
constexpr int veryLateFactor = 3;

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

} // namespace

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

SpeedPreference speedPreferenceOf(const ReadyStep &ready, MonotonicTime now)
{
    return speedPreference({.isTopPriority = ready.queue->priority == 0,
        .isLongRunning = ready.spec->longRunning,
        .timeLeft = std::chrono::floor<milliseconds>(ready.dueBy - now),
        .estimate = remainingPathEstimate(ready.job->record.spec, ready.key.step)});
}

namespace
{

/// Place of a step in the order in which steps are placed.
struct PlacementPosition
{
    /// Steps within their tenant's rate are placed first,
    bool isExcess = false;
    /// then those with a lower rank,
    int rank = 0;
    /// then those of tenants below their fair share, which matters only while the workers are full.
    bool isAboveShare = false;
    MonotonicTime dueBy{};
    StepKey key;

    // clang-tidy 14 mistakes the 0 in the generated comparison for a null pointer.
    auto operator<=>(const PlacementPosition &) const = default; // NOLINT(modernize-use-nullptr)
};

PlacementPosition positionOf(const ReadyStep &ready)
{
    return {.isExcess = ready.job->record.isExcess,
        .rank = ready.rank,
        .isAboveShare = ready.isAboveShare,
        .dueBy = ready.dueBy,
        .key = ready.key};
}

void addReadySteps(Dispatcher &dispatcher, Job &job, MonotonicTime now, std::vector<ReadyStep> &ready)
{
    for (Occurrence &occurrence : job.occurrences) {
        for (std::uint32_t number = 0; number < occurrence.steps.size(); ++number) {
            StepRun &step = occurrence.steps[number];
            if (isMarkedUnplaceable(dispatcher.workers, step)) {
                ++dispatcher.placement.unplaceable;
            } else if (hasReadyTasks(step, now)) {
                const StepKey key{.job = job.record.id, .occurrence = occurrence.number, .step = number};
                ready.push_back(readyStepOf(dispatcher, job, key, step, now));
            }
        }
    }
}

void markStepsAboveShare(const Dispatcher &dispatcher, std::span<ReadyStep> ready)
{
    if (!dispatcher.configuration.tenants) {
        return;
    }
    Resources capacity;
    for (const Worker &worker : dispatcher.workers.workers) {
        capacity += worker.listed ? worker.entry.capacity : Resources{};
    }
    std::vector<TenantSlot> waiting;
    waiting.reserve(ready.size());
    for (const ReadyStep &step : ready) {
        waiting.push_back(step.job->tenant);
    }
    const std::vector<bool> above = tenantsAboveShare(dispatcher.tenants, waiting, capacity);
    for (ReadyStep &step : ready) {
        step.isAboveShare = above[step.job->tenant];
    }
}

} // namespace

std::vector<ReadyStep> readySteps(Dispatcher &dispatcher, MonotonicTime now)
{
    std::vector<ReadyStep> ready;
    dispatcher.placement.unplaceable = 0;
    for (TenantState &tenant : dispatcher.tenants.rows) {
        tenant.waitingExcess = 0;
    }
    for (auto &[id, job] : dispatcher.jobs.live) {
        if (isEnded(job->state)) {
            continue;
        }
        dispatcher.tenants.rows[job->tenant].waitingExcess += job->record.isExcess && !job->started ? 1 : 0;
        if (job->accepted && (!job->inherited || dispatcher.runDiscoveryFinished)) {
            addReadySteps(dispatcher, *job, now, ready);
        }
    }
    markStepsAboveShare(dispatcher, ready);
    std::ranges::sort(ready, {}, positionOf);
    return ready;
}

} // namespace wigeonkeel::dispatch

#include "core/dispatch/placement/step_order.h"

#include "core/dispatch/task_runs.h"

#include <algorithm>

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

PlacementPosition positionOf(const ReadyStep &ready)
{
    return {.rank = ready.rank, .dueBy = ready.dueBy, .key = ready.key};
}

namespace
{

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

} // namespace wigeonkeel::dispatch

#pragma once

#include "core/dispatch/dispatcher.h"

#include <vector>

namespace wigeonkeel::dispatch
{

/// Added to the rank of jobs that are already late, so that they don't make other jobs late too.
inline constexpr int lateRank = 3;

/// A step with waiting tasks, and what the placement needs of its job and queue.
struct ReadyStep
{
    StepKey key;
    Job *job = nullptr;
    const StepSpec *spec = nullptr;
    StepRun *step = nullptr;
    const QueueConfig *queue = nullptr;
    int rank = 0;
    /// The tenant's runs take more than its fair share.
    bool isAboveShare = false;
    MonotonicTime dueBy{};
    /// An advice request of the step is sent now, without a wait in the line.
    bool isAdviceNext = false;
};

/// Whether the task waits and may start now.
bool isStartable(const Task &task, MonotonicTime now);

/// Whether a task of the step may start now.
bool hasReadyTasks(const StepRun &step, MonotonicTime now);

ReadyStep readyStepOf(const Dispatcher &dispatcher, Job &job, const StepKey &key, StepRun &step, MonotonicTime now);

/// Whether the step's tasks prefer faster or slower workers.
SpeedPreference speedPreferenceOf(const ReadyStep &ready, MonotonicTime now);

/// All steps with tasks that may start now, in the order of placement. Leaves out and counts those that are marked as
/// unplaceable.
std::vector<ReadyStep> readySteps(Dispatcher &dispatcher, MonotonicTime now);

} // namespace wigeonkeel::dispatch

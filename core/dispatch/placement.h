#pragma once

#include "core/dispatch/dispatcher.h"
#include "core/dispatch/task_runs.h"

#include <optional>
#include <vector>

namespace wigeonkeel::dispatch
{

/// A step with waiting tasks, as the placement sees it.
struct ReadyStep
{
    StepKey key;
    Job *job = nullptr;
    const StepSpec *spec = nullptr;
    StepRun *step = nullptr;
    const QueueConfig *queue = nullptr;
    /// Lower comes first.
    int rank = 0;
    MonotonicTime dueBy{};
};

/// All steps with tasks that may start now, most urgent first.
std::vector<ReadyStep> readySteps(Dispatcher &dispatcher, MonotonicTime now);

/// Whether the worker may run the step at all, whatever is free on it now.
bool isEligible(const Dispatcher &dispatcher, const ReadyStep &ready, const Worker &worker, MonotonicTime now);

/// How many tasks of this size fit into the room, at most `limit`.
std::uint32_t countFitting(const Resources &size, const Resources &room, std::uint32_t limit);

/// Tasks of the step that are on the worker.
std::uint32_t tasksOnWorker(const StepRun &step, WorkerSlot slot);

/// Places for all waiting members of a gang within the free room of allowed workers; nothing if they don't fit.
/// Pattern: whole gangs against fragmentation. Workers with the least left over are filled first, and one rack is
/// preferred if the gang is slower on several.
std::optional<std::vector<PlannedPlace>> placeGang(
    const Dispatcher &dispatcher, const ReadyStep &ready, std::span<const Resources> room, MonotonicTime now);

/// Runs to stop so that `needed` fits on the worker; nothing if no such runs are less urgent. Checkpointed ones come
/// first, because their stop loses nothing.
std::optional<std::vector<TaskKey>> chooseVictims(
    Dispatcher &dispatcher, const ReadyStep &ready, WorkerSlot slot, const Resources &needed, MonotonicTime now);

} // namespace wigeonkeel::dispatch

#pragma once

#include "core/dispatch/dispatcher.h"
#include "core/dispatch/task_runs.h"

#include <optional>
#include <vector>

namespace wigeonkeel::dispatch
{

/// A step with waiting tasks, and what the placement needs of its job and queue.
struct ReadyStep
{
    StepKey key;
    Job *job = nullptr;
    const StepSpec *spec = nullptr;
    StepRun *step = nullptr;
    const QueueConfig *queue = nullptr;
    int rank = 0;
    MonotonicTime dueBy{};
    /// An advice request of the step is sent now, without a wait in the line.
    bool isAdviceNext = false;
};

/// All steps with tasks that may start now, most urgent first.
std::vector<ReadyStep> readySteps(Dispatcher &dispatcher, MonotonicTime now);

/// Whether tasks of the step may run on the worker, however much room it has now.
bool isEligible(const Dispatcher &dispatcher, const ReadyStep &ready, const Worker &worker, MonotonicTime now);

/// Number of tasks of this size that fit into the room, at most `limit`.
std::uint32_t countFitting(const Resources &size, const Resources &room, std::uint32_t limit);

/// Number of the step's tasks that are assigned to the worker or planned there.
std::uint32_t tasksOnWorker(const StepRun &step, WorkerSlot slot);

/// Places for all members of a gang within the given room of the allowed workers; nothing if not all of them fit. To
/// limit fragmentation, workers that would have the least room left over are filled first. One rack is preferred if the
/// gang runs slower on several.
std::optional<std::vector<PlannedPlace>> placeGang(
    const Dispatcher &dispatcher, const ReadyStep &ready, std::span<const Resources> room, MonotonicTime now);

/// Less urgent runs to stop so that `needed` fits on the worker; nothing if stopping all of them is not enough.
/// Checkpointed runs are chosen first, because they resume without loss of work.
std::optional<std::vector<TaskKey>> chooseVictims(
    Dispatcher &dispatcher, const ReadyStep &ready, WorkerSlot slot, const Resources &needed, MonotonicTime now);

} // namespace wigeonkeel::dispatch

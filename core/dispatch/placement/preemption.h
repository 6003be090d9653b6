#pragma once

#include "core/dispatch/placement/step_order.h"

#include <optional>
#include <span>
#include <vector>

namespace wigeonkeel::dispatch
{

/// Room that stopping all less urgent runs on the worker would free.
Resources preemptibleRoom(const Dispatcher &dispatcher, const ReadyStep &ready, WorkerSlot slot, MonotonicTime now);

/// Room of each worker, by slot, as if all less urgent runs on allowed workers were stopped.
std::vector<Resources> roomAfterPreemption(Dispatcher &dispatcher, const ReadyStep &ready, MonotonicTime now);

/// Less urgent runs to stop so that `needed` fits on the worker; nothing if stopping all of them is not enough.
/// Checkpointed runs are chosen first, because they resume without loss of work.
std::optional<std::vector<TaskKey>> chooseVictims(
    Dispatcher &dispatcher, const ReadyStep &ready, WorkerSlot slot, const Resources &needed, MonotonicTime now);

/// Stops runs so that the planned tasks fit, and reserves the room. False without a change if the room can't be freed.
/// If tickets have to be renewed, runs are stopped only once the request is sent: while it waited in a long line, the
/// plan would expire and the work of the stopped runs would be lost for nothing.
bool preemptForPlan(
    Dispatcher &dispatcher, const ReadyStep &ready, std::span<const PlannedPlace> plan, MonotonicTime now);

} // namespace wigeonkeel::dispatch

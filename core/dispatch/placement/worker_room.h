#pragma once

#include "core/dispatch/placement/step_order.h"

#include <cstdint>
#include <vector>

namespace wigeonkeel::dispatch
{

/// Free room of each worker, by slot. A negative amount means that there is none.
std::vector<Resources> roomOfWorkers(const Dispatcher &dispatcher);

/// Whether starts of the step carry a ticket of the placement adviser.
bool needsTicket(const ReadyStep &ready);

/// Whether the adviser has allowed the worker, if the step needs advice.
bool isAllowed(const ReadyStep &ready, WorkerSlot slot);

/// Whether a start that is sent at `now` finds its ticket valid, if the step needs one.
bool hasTicket(const Dispatcher &dispatcher, const ReadyStep &ready, WorkerSlot slot, MonotonicTime now);

/// Number of further tasks of the step that may run on the worker by the step's own limit; UINT32_MAX without one.
std::uint32_t remainingPerWorker(const ReadyStep &ready, WorkerSlot slot);

/// Whether the worker is in the pool of the step's queue and has the label that the step requires.
bool hasPoolAndLabel(const ReadyStep &ready, const Worker &worker);

/// Whether tasks of the step may run on the worker, however much room it has now.
bool isEligible(const ReadyStep &ready, const Worker &worker, MonotonicTime now);

/// Number of tasks of this size that fit into the room, at most `limit`.
std::uint32_t countFitting(const Resources &size, const Resources &room, std::uint32_t limit);

/// Number of the step's tasks that are assigned to the worker or planned there.
std::uint32_t tasksOnWorker(const StepRun &step, WorkerSlot slot);

} // namespace wigeonkeel::dispatch

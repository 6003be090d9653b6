#pragma once

#include "core/dispatch/task_runs.h"

namespace wigeonkeel::dispatch
{

/// Notes that the worker has started the run from the beginning just now.
void recordSpeedStart(const Worker &worker, const TaskPlace &place, Run &run, MonotonicTime now);

/// Takes the progress of a run from a list of its worker into the samples of the step.
void recordSpeedProgress(
    Dispatcher &dispatcher, const TaskPlace &place, Run &run, WorkerSlot slot, int percent, MonotonicTime now);

/// Takes a run that ended as done into the samples of the step.
void recordSpeedEnd(Dispatcher &dispatcher, const TaskPlace &place, const Run &run, WorkerSlot slot, MonotonicTime now);

/// Compares the samples of the step with each other, updates the speeds of their workers and discards the samples.
void compareStepSpeeds(Dispatcher &dispatcher, StepRun &step, MonotonicTime now);

} // namespace wigeonkeel::dispatch

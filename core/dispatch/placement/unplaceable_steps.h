#pragma once

#include "core/dispatch/placement/step_order.h"

namespace wigeonkeel::dispatch
{

/// Whether the listed workers could hold the step's next task, or its gang, if nothing but the step's own tasks ran
/// there. Tickets are not considered.
bool canWorkersHold(const WorkerTable &table, const ReadyStep &ready);

/// Leaves the step out of further passes until workers, queues or the step itself change.
void markUnplaceable(const WorkerTable &table, StepRun &step);

/// Whether the step was marked and nothing has changed since.
bool isMarkedUnplaceable(const WorkerTable &table, const StepRun &step);

} // namespace wigeonkeel::dispatch

#include "core/dispatch/placement/unplaceable_steps.h"

#include "core/dispatch/placement/worker_room.h"

#include <algorithm>

namespace wigeonkeel::dispatch
{

namespace
{

UnplaceableState stateOf(const WorkerTable &table, const StepRun &step)
{
    return {.capabilityVersion = table.capabilityVersion, .waiting = step.waiting, .remaining = step.remaining};
}

} // namespace

bool canWorkersHold(const WorkerTable &table, const ReadyStep &ready)
{
    const Resources size = chargedSize(*ready.spec);
    std::uint32_t missing = tasksPlacedTogether(*ready.spec);
    for (WorkerSlot slot = 0; slot < table.workers.size() && missing > 0; ++slot) {
        const Worker &worker = table.workers[slot];
        if (worker.listed && hasPoolAndLabel(ready, worker)) {
            const std::uint32_t limit = std::min(remainingPerWorker(ready, slot), missing);
            missing -= countFitting(size, worker.entry.capacity, limit);
        }
    }
    return missing == 0;
}

void markUnplaceable(const WorkerTable &table, StepRun &step)
{
    step.unplaceable = stateOf(table, step);
}

bool isMarkedUnplaceable(const WorkerTable &table, const StepRun &step)
{
    return step.unplaceable && *step.unplaceable == stateOf(table, step);
}

} // namespace wigeonkeel::dispatch

#include "modules/policy_first_fit/register_types.h"

#include "core/cell/cell_state.h"
#include "core/registry.h"

namespace wigeonkeel
{

namespace
{

/// The first worker in order of arrival on which the task fits. The baseline that other policies are measured against.
std::optional<WorkerIndex> chooseFirstFit(void *, const CellState &cell, const TaskSpec &task, const Now &)
{
    for (WorkerIndex index = 0; index < cell.workers.size(); ++index) {
        const WorkerEntry &worker = cell.workers[index];
        if (worker.present && worker.placeable && fits(task.size, worker.free)) {
            return index;
        }
    }
    return std::nullopt;
}

} // namespace

void registerPolicyFirstFit(Registry &registry)
{
    registry.addPolicy({.name = "first_fit", .defaultFor = {}, .choose = chooseFirstFit});
}

} // namespace wigeonkeel

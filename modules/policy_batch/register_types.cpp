#include "modules/policy_batch/register_types.h"

#include "modules/policy_batch/best_fit_grid.h"

#include "core/cell/free_tree.h"
#include "core/registry.h"

#include <array>

namespace wigeonkeel
{

namespace
{

/// Workers with free accelerators are kept apart, so that they stay free for tasks that ask for accelerators. A worker
/// whose accelerators are all in use is of no use to those, and takes other tasks in what is left of it.
struct BatchPolicyState
{
    std::array<BestFitGrid, 2> grids;
    std::array<FreeTree, 2> trees;
};

std::optional<WorkerIndex> chooseForBatch(void *state, const CellState &cell, const TaskSpec &task, const Now &)
{
    const auto &policy = *static_cast<const BatchPolicyState *>(state);
    const std::size_t group = task.size.accelerators > 0 ? 1 : 0;
    if (!mayFit(policy.trees[group], task.size)) {
        return std::nullopt;
    }
    const auto tightest = findTightest(policy.grids[group], cell, task.size);
    return tightest ? tightest : findFit(policy.trees[group], task.size, 0);
}

void *createState()
{
    return new BatchPolicyState;
}

void destroyState(void *state)
{
    delete static_cast<BatchPolicyState *>(state);
}

void noteWorker(void *state, const CellState &cell, WorkerIndex worker)
{
    auto &policy = *static_cast<BatchPolicyState *>(state);
    const WorkerEntry &entry = cell.workers[worker];
    const bool usable = entry.present && entry.placeable;
    const std::size_t group = entry.free.accelerators > 0 ? 1 : 0;
    for (std::size_t i = 0; i < policy.grids.size(); ++i) {
        const bool here = usable && i == group;
        updateGrid(policy.grids[i], cell, worker, here);
        if (here) {
            setFree(policy.trees[i], worker, entry.free);
        } else {
            clearFree(policy.trees[i], worker);
        }
    }
}

} // namespace

void registerPolicyBatch(Registry &registry)
{
    registry.addPolicy({.name = "batch",
        .defaultFor = {TaskKind::Batch},
        .create = createState,
        .destroy = destroyState,
        .workerChanged = noteWorker,
        .choose = chooseForBatch});
}

} // namespace wigeonkeel

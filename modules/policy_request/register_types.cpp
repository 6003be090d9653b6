#include "modules/policy_request/register_types.h"

#include "core/cell/worker_groups.h"
#include "core/registry.h"

namespace wigeonkeel
{

namespace
{

/// Samples for each group. Two already avoid the most loaded workers; eight find room at once in a cell that is
/// nearly full.
constexpr unsigned sampleCount = 8;

struct RequestPolicyState
{
    WorkerGroups groups;
    std::uint64_t randomState = 1;
};

std::optional<WorkerIndex> chooseInGroup(
    RequestPolicyState &state, const WorkerGroup &group, const CellState &cell, const Resources &size)
{
    if (!mayFit(group.tree, size)) {
        return std::nullopt;
    }
    const auto sampled = sampleGroup(group, cell, size, sampleCount, state.randomState, loadOf);
    if (sampled) {
        return sampled;
    }
    const auto start = static_cast<std::uint32_t>(nextRandom(state.randomState) % group.members.size());
    return findInGroup(group, size, start);
}

/// Groups of one pass: in the own zone or not, with accelerators or not.
std::optional<WorkerIndex> chooseInPass(
    RequestPolicyState &state, const CellState &cell, const Resources &size, bool ownZone, bool accelerated)
{
    const std::size_t count = state.groups.groups.size();
    const std::size_t first = nextRandom(state.randomState) % count;
    for (std::size_t i = 0; i < count; ++i) {
        const WorkerGroup &group = state.groups.groups[(first + i) % count];
        if (group.accelerated != accelerated || (group.zone == cell.ownZone) != ownZone) {
            continue;
        }
        const auto worker = chooseInGroup(state, group, cell, size);
        if (worker) {
            return worker;
        }
    }
    return std::nullopt;
}

std::optional<WorkerIndex> chooseForRequest(void *state, const CellState &cell, const TaskSpec &task, const Now &)
{
    auto &policy = *static_cast<RequestPolicyState *>(state);
    if (policy.groups.groups.empty()) {
        return std::nullopt;
    }
    for (const bool accelerated : {false, true}) {
        for (const bool ownZone : {true, false}) {
            const auto worker = chooseInPass(policy, cell, task.size, ownZone, accelerated);
            if (worker) {
                return worker;
            }
        }
    }
    return std::nullopt;
}

void *createState()
{
    return new RequestPolicyState;
}

void destroyState(void *state)
{
    delete static_cast<RequestPolicyState *>(state);
}

void noteWorker(void *state, const CellState &cell, WorkerIndex worker)
{
    updateGroups(static_cast<RequestPolicyState *>(state)->groups, cell, worker);
}

} // namespace

void registerPolicyRequest(Registry &registry)
{
    registry.addPolicy({.name = "request",
        .defaultFor = {TaskKind::Request},
        .create = createState,
        .destroy = destroyState,
        .workerChanged = noteWorker,
        .choose = chooseForRequest});
}

} // namespace wigeonkeel

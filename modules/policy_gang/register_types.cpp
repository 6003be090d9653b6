#include "modules/policy_gang/register_types.h"

#include "modules/policy_gang/rack_table.h"

#include "core/cell/free_tree.h"
#include "core/registry.h"

namespace wigeonkeel
{

namespace
{

/// Single racks that are tried for a whole gang before it is spread over several.
constexpr std::size_t maxSingleRacks = 8;

struct GangPolicyState
{
    RackTable racks;
    FreeTree tree;
};

/// Tasks that still need a worker, and the choices so far.
struct Assignment
{
    std::span<const TaskSpec> tasks;
    std::vector<WorkerIndex> workers;
    std::vector<std::size_t> open;
};

/// Gives the rack's workers as many open tasks as fit.
void fillRack(Assignment &assignment, const Rack &rack, const CellState &cell)
{
    for (const WorkerIndex member : rack.members) {
        Resources free = cell.workers[member].free;
        std::vector<std::size_t> left;
        for (std::size_t i = 0; i < assignment.open.size(); ++i) {
            const std::size_t task = assignment.open[i];
            const Resources &size = assignment.tasks[task].size;
            if (fits(size, free)) {
                assignment.workers[task] = member;
                free -= size;
                continue;
            }
            left.push_back(task);
        }
        assignment.open = std::move(left);
        if (assignment.open.empty()) {
            return;
        }
    }
}

Assignment startAssignment(std::span<const TaskSpec> tasks)
{
    Assignment assignment{.tasks = tasks, .workers = std::vector<WorkerIndex>(tasks.size()), .open = {}};
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        assignment.open.push_back(i);
    }
    return assignment;
}

std::vector<WorkerIndex> chooseAllForGang(
    void *state, const CellState &cell, std::span<const TaskSpec> tasks, const Now &)
{
    const auto &policy = *static_cast<const GangPolicyState *>(state);
    Resources total;
    for (const TaskSpec &task : tasks) {
        if (!mayFit(policy.tree, task.size)) {
            return {};
        }
        total += task.size;
    }
    const std::vector<std::uint32_t> order = rackOrder(policy.racks, total);
    for (std::size_t i = 0; i < order.size() && i < maxSingleRacks; ++i) {
        const Rack &rack = policy.racks.racks[order[i]];
        if (!fits(total, rack.free)) {
            break;
        }
        Assignment assignment = startAssignment(tasks);
        fillRack(assignment, rack, cell);
        if (assignment.open.empty()) {
            return assignment.workers;
        }
    }
    Assignment assignment = startAssignment(tasks);
    for (std::size_t i = 0; i < order.size() && !assignment.open.empty(); ++i) {
        fillRack(assignment, policy.racks.racks[order[i]], cell);
    }
    return assignment.open.empty() ? assignment.workers : std::vector<WorkerIndex>();
}

std::optional<WorkerIndex> chooseForGang(void *state, const CellState &, const TaskSpec &task, const Now &)
{
    return findFit(static_cast<const GangPolicyState *>(state)->tree, task.size, 0);
}

void *createState()
{
    return new GangPolicyState;
}

void destroyState(void *state)
{
    delete static_cast<GangPolicyState *>(state);
}

void noteWorker(void *state, const CellState &cell, WorkerIndex worker)
{
    auto &policy = *static_cast<GangPolicyState *>(state);
    updateRacks(policy.racks, cell, worker);
    const WorkerEntry &entry = cell.workers[worker];
    if (entry.present && entry.placeable) {
        setFree(policy.tree, worker, entry.free);
    } else {
        clearFree(policy.tree, worker);
    }
}

} // namespace

void registerPolicyGang(Registry &registry)
{
    registry.addPolicy({.name = "gang",
        .defaultFor = {TaskKind::Gang},
        .create = createState,
        .destroy = destroyState,
        .workerChanged = noteWorker,
        .choose = chooseForGang,
        .chooseAll = chooseAllForGang});
}

} // namespace wigeonkeel

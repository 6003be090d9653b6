#include "core/cell/preemption.h"

#include "core/cell/worker_groups.h"

#include <algorithm>
#include <tuple>

namespace wigeonkeel
{

namespace
{

struct VictimSet
{
    WorkerIndex worker = 0;
    std::vector<TaskId> tasks;
    /// Sum of urgency, then of processor time; lower is cheaper.
    std::tuple<std::uint64_t, std::int64_t> cost;
};

void refill(PreemptionState &state, MonotonicTime now)
{
    const double burst = state.options.burst;
    if (!state.started) {
        state.started = true;
        state.tokens = burst;
    } else {
        const std::chrono::duration<double> passed = now - state.refilledAt;
        state.tokens = std::min(burst, state.tokens + passed.count() * burst);
    }
    state.refilledAt = now;
}

/// The cheapest batch tasks of a worker that make room for the size, or an empty set.
VictimSet cheapestSet(const PreemptionState &state, const CellState &cell, WorkerIndex index, const Resources &size)
{
    const WorkerEntry &worker = cell.workers[index];
    if (!worker.placeable || !fits(size, worker.capacity)) {
        return {};
    }
    std::vector<std::tuple<std::uint8_t, std::int64_t, TaskId>> candidates;
    Resources free = worker.free;
    for (const TaskId &id : worker.tasks) {
        const TaskEntry &task = cell.tasks.find(id)->second;
        if (state.victims.contains(id)) {
            // The room of an earlier victim belongs to the task that it was chosen for.
            continue;
        }
        const TaskLabel &label = labelOf(cell, task);
        if (label.kind == TaskKind::Batch) {
            candidates.emplace_back(label.urgency, task.size.cpuMilli, id);
        }
    }
    std::ranges::sort(candidates);
    VictimSet set{.worker = index, .tasks = {}, .cost = {}};
    for (const auto &[urgency, cpuMilli, id] : candidates) {
        if (fits(size, free)) {
            break;
        }
        free += cell.tasks.find(id)->second.size;
        set.tasks.push_back(id);
        std::get<0>(set.cost) += urgency + 1;
        std::get<1>(set.cost) += cpuMilli;
    }
    return fits(size, free) ? set : VictimSet{};
}

} // namespace

std::vector<PreemptionCommand> makeRoom(
    PreemptionState &state, const CellState &cell, const Resources &size, const Now &now)
{
    refill(state, now.monotonic);
    if (state.tokens < 1 || cell.workers.empty()) {
        return {};
    }
    VictimSet best;
    for (std::uint32_t i = 0; i < state.options.sampledWorkers; ++i) {
        const auto index = static_cast<WorkerIndex>(nextRandom(state.randomState) % cell.workers.size());
        VictimSet set = cheapestSet(state, cell, index, size);
        if (!set.tasks.empty() && (best.tasks.empty() || set.cost < best.cost)) {
            best = std::move(set);
        }
    }
    if (best.tasks.empty() || static_cast<double>(best.tasks.size()) > state.tokens) {
        return {};
    }
    std::vector<PreemptionCommand> commands;
    for (const TaskId &task : best.tasks) {
        state.victims.emplace(task, PreemptionState::Victim{.worker = best.worker, .since = now.monotonic});
        commands.push_back({.worker = best.worker, .task = task, .kind = CommandKind::Throttle});
    }
    state.tokens -= static_cast<double>(best.tasks.size());
    return commands;
}

std::vector<PreemptionCommand> advanceVictims(PreemptionState &state, const CellState &cell, const Now &now)
{
    std::vector<PreemptionCommand> commands;
    std::erase_if(state.victims, [&](const auto &item) {
        const auto task = cell.tasks.find(item.first);
        return task == cell.tasks.end() || task->second.worker != item.second.worker;
    });
    for (auto &[task, victim] : state.victims) {
        if (victim.stage == PreemptionStage::Stopping || now.monotonic - victim.since < state.options.stageTime) {
            continue;
        }
        const bool checkpoint = victim.stage == PreemptionStage::Throttled;
        victim.stage = checkpoint ? PreemptionStage::Checkpointing : PreemptionStage::Stopping;
        victim.since = now.monotonic;
        commands.push_back(
            {.worker = victim.worker, .task = task, .kind = checkpoint ? CommandKind::Checkpoint : CommandKind::Stop});
    }
    return commands;
}

} // namespace wigeonkeel

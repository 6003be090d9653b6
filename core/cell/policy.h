#pragma once

#include "core/clock.h"
#include "core/task.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace wigeonkeel
{

struct CellState;

/// Place of a worker in CellState::workers. Stable until the worker is removed.
using WorkerIndex = std::uint32_t;

/// A placement policy: functions over a state that the policy keeps for one cell.
struct PolicyPlugin
{
    std::string_view name;
    /// Kinds that this policy serves when no other is configured for them.
    std::vector<TaskKind> defaultFor;
    void *(*create)() = nullptr;
    void (*destroy)(void *state) = nullptr;
    /// A worker was added, changed its free capacity or may no longer be used. Lets the policy keep an index.
    void (*workerChanged)(void *state, const CellState &cell, WorkerIndex worker) = nullptr;
    /// A worker on which the task fits now, or nothing. Must not name a worker that is not placeable.
    std::optional<WorkerIndex> (*choose)(void *state, const CellState &cell, const TaskSpec &task, const Now &now)
        = nullptr;
    /// Workers for tasks that must start together, one for each, or an empty list; null if the policy places one by
    /// one.
    std::vector<WorkerIndex> (*chooseAll)(
        void *state, const CellState &cell, std::span<const TaskSpec> tasks, const Now &now)
        = nullptr;
};

} // namespace wigeonkeel

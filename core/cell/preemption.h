#pragma once

#include "core/cell/cell_state.h"

#include <map>
#include <vector>

namespace wigeonkeel
{

enum class PreemptionStage : std::uint8_t { Throttled, Checkpointing, Stopping };

struct PreemptionOptions
{
    /// Victims that may be chosen in one second.
    std::uint32_t burst = 100;
    /// After this time in a stage the next one follows.
    milliseconds stageTime{300};
    /// Workers that are looked at for one urgent task.
    std::uint32_t sampledWorkers = 32;
};

/// Batch tasks that make way for urgent work.
struct PreemptionState
{
    struct Victim
    {
        WorkerIndex worker = 0;
        PreemptionStage stage = PreemptionStage::Throttled;
        MonotonicTime since{};
    };

    PreemptionOptions options;
    std::map<TaskId, Victim> victims;
    /// Token bucket of `burst`.
    double tokens = 0;
    MonotonicTime refilledAt{};
    bool started = false;
    std::uint64_t randomState = 3;
};

/// A command for the worker of a victim.
struct PreemptionCommand
{
    WorkerIndex worker = 0;
    TaskId task;
    CommandKind kind = CommandKind::Throttle;
};

/// Chooses victims so that a worker will have room for the size: the cheapest set on a sampled worker, by urgency, then
/// size. Only batch tasks are chosen, never a request. Nothing is freed here; the room comes with the worker's report.
std::vector<PreemptionCommand> makeRoom(
    PreemptionState &state, const CellState &cell, const Resources &size, const Now &now);

/// Takes victims to their next stage and forgets those that have ended.
std::vector<PreemptionCommand> advanceVictims(PreemptionState &state, const CellState &cell, const Now &now);

} // namespace wigeonkeel

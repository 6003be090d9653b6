#pragma once

#include "core/cell/cell_state.h"
#include "core/cell/usage_estimates.h"
#include "core/worker_messages.h"

#include <cstdint>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace wigeonkeel
{

struct UsageOptions
{
    /// Off: tasks are charged with what was declared, and none is throttled or stopped for its use.
    bool enabled = false;
    /// Measured use lags by seconds; what a task reports before it ran for this time is left out.
    milliseconds warmUp{5000};
    /// Time between the throttling of a runaway task and its stop. Longer than the lag of the measurements.
    milliseconds patience{10000};
    /// Workloads that are remembered. Beyond this number, the table is emptied and learnt again.
    std::size_t maxWorkloads = 10000;
};

/// What this daemon has learnt of the use of workloads, and the tasks that use far more than they are charged with.
struct UsageTable
{
    struct Runaway
    {
        MonotonicTime throttledAt{};
        bool stopping = false;
    };

    UsageOptions options;
    /// By the hash of operator, workload and kind.
    absl::flat_hash_map<std::uint64_t, UsageEstimate> byWorkload;
    absl::flat_hash_map<TaskId, Runaway> runaways;
};

/// What a task is charged with when it is placed: services and batch tasks by the estimate of their workload, others as
/// declared. The declared size if no known worker could hold the estimate.
Resources chargeFor(const UsageTable &table, const CellState &cell, const TaskSpec &task);

/// Learns from the running tasks of a report of an owned worker.
void noteUsageReport(UsageTable &table, const CellState &cell, const WorkerReport &report);

/// A command for a runaway task of an owned worker.
struct RunawayCommand
{
    TaskId task;
    CommandKind kind = CommandKind::Throttle;
};

/// What to do about the tasks of a report that was applied to the cell. Batch tasks are throttled to their charge, then
/// stopped. Others are throttled only while the measured use on the worker exceeds its capacity, and never stopped.
std::vector<RunawayCommand> checkRunaways(
    UsageTable &table, const CellState &cell, const WorkerReport &report, const Now &now);

/// Forgets runaway tasks that have ended.
void forgetEnded(UsageTable &table, const CellState &cell);

} // namespace wigeonkeel

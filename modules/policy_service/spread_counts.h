#pragma once

#include "core/cell/cell_state.h"

#include <vector>

#include <absl/container/flat_hash_map.h>

namespace wigeonkeel
{

/// Service tasks of each workload by zone and by rack.
struct SpreadCounts
{
    struct WorkerPart
    {
        std::uint32_t serviceChanges = 0;
        std::uint64_t zone = 0;
        std::uint64_t rack = 0;
        /// Workload of each counted task.
        std::vector<std::uint64_t> workloads;
    };

    /// By a hash of workload and zone or rack. A collision makes a spread less even, nothing else.
    absl::flat_hash_map<std::uint64_t, std::uint32_t> counts;
    std::vector<WorkerPart> workers;
};

std::uint64_t workloadHash(const TaskLabel &label);

/// Service tasks of a workload in a zone or rack.
std::uint32_t countIn(const SpreadCounts &counts, std::uint64_t workload, std::string_view domain);

/// Counts a worker's service tasks again if they changed.
void updateCounts(SpreadCounts &counts, const CellState &cell, WorkerIndex worker);

} // namespace wigeonkeel

#pragma once

#include "core/resources.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace wigeonkeel::dispatch
{

/// What a single task needs to be placed: which workers it may use, how much room it takes there, and which runs it may
/// pre-empt for that.
struct PlacementNeed
{
    std::string_view pool;
    /// Empty if the task may use all workers of the pool.
    std::string_view label;
    Resources size;
    /// Priority of the queue; runs with a higher number may be pre-empted.
    std::uint32_t priority = 0;
    bool canPreempt = false;
};

/// Needs that found no room in one pass of the placement. Room only shrinks during a pass, so a task that needs at
/// least as much finds none either and isn't compared with all workers again. Views refer to the steps of the pass.
struct BlockedNeeds
{
    /// By pool and label.
    absl::flat_hash_map<std::pair<std::string_view, std::string_view>, std::vector<PlacementNeed>> byWorkers;
};

bool isBlocked(const BlockedNeeds &blocked, const PlacementNeed &need);
void addBlocked(BlockedNeeds &blocked, const PlacementNeed &need);

} // namespace wigeonkeel::dispatch

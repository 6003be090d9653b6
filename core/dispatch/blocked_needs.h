#pragma once

#include "core/resources.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace wigeonkeel::dispatch
{

/// What a single task, or a gang, needs to be placed: which workers it may use, how much room it takes there, and which
/// runs it may pre-empt for that.
struct PlacementNeed
{
    std::string_view pool;
    /// Empty if the task may use all workers of the pool.
    std::string_view label;
    /// Room for one task.
    Resources size;
    /// Tasks that must find room at the same time: the members of a gang, or 1.
    std::uint32_t members = 1;
    /// Most of the members on one worker; 0 for no limit.
    std::uint32_t maxPerWorker = 0;
    /// Priority of the queue; runs with a higher number may be pre-empted.
    std::uint32_t priority = 0;
    bool canPreempt = false;
};

/// Needs that found no room in one pass of the placement. Room only shrinks during a pass, so what needs at least as
/// much finds none either and isn't compared with all workers again. Views refer to the steps of the pass.
struct BlockedNeeds
{
    /// By pool and label.
    absl::flat_hash_map<std::pair<std::string_view, std::string_view>, std::vector<PlacementNeed>> byWorkers;
};

bool isBlocked(const BlockedNeeds &blocked, const PlacementNeed &need);
void addBlocked(BlockedNeeds &blocked, const PlacementNeed &need);

} // namespace wigeonkeel::dispatch

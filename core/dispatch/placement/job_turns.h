#pragma once

#include "core/dispatch/placement/step_order.h"

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace wigeonkeel::dispatch
{

/// Steps of one job that a pass of the placement examines when it is the job's turn.
struct JobTurn
{
    /// At least one. Those that have not been examined for the longest time come first.
    std::vector<const ReadyStep *> steps;
    /// Position of the first step that the pass has not examined.
    std::size_t next = 0;
};

/// The jobs of those steps whose queues have one of these pools. Those that have not been examined for the longest time
/// come first, and among equals the most urgent ones. Points to the steps.
std::vector<JobTurn> turnsOfJobs(std::span<const ReadyStep> steps, const absl::flat_hash_set<std::string_view> &pools);

} // namespace wigeonkeel::dispatch

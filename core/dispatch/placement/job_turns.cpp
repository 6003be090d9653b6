#include "core/dispatch/placement/job_turns.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace wigeonkeel::dispatch
{

std::vector<JobTurn> turnsOfJobs(std::span<const ReadyStep> steps, const absl::flat_hash_set<std::string_view> &pools)
{
    std::vector<JobTurn> turns;
    absl::flat_hash_map<const Job *, std::size_t> positions;
    for (const ReadyStep &ready : steps) {
        if (!pools.contains(ready.queue->pool)) {
            continue;
        }
        const auto [position, isNew] = positions.try_emplace(ready.job, turns.size());
        if (isNew) {
            turns.emplace_back();
        }
        turns[position->second].steps.push_back(&ready);
    }
    for (JobTurn &turn : turns) {
        std::ranges::stable_sort(turn.steps, {}, [](const ReadyStep *ready) { return ready->step->examinedAt; });
    }
    std::ranges::stable_sort(turns, {}, [](const JobTurn &turn) { return turn.steps.front()->job->examinedAt; });
    return turns;
}

} // namespace wigeonkeel::dispatch

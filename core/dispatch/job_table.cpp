#include "core/dispatch/job_table.h"

#include <algorithm>

namespace wigeonkeel::dispatch
{

Job *findJob(JobTable &table, JobId id)
{
    const auto found = table.live.find(id);
    return found == table.live.end() ? nullptr : found->second.get();
}

Occurrence *findOccurrence(Job &job, std::uint32_t number)
{
    const auto found = std::ranges::find(job.occurrences, number, &Occurrence::number);
    return found == job.occurrences.end() ? nullptr : &*found;
}

StepRun *findStep(Job &job, const StepKey &key)
{
    Occurrence *occurrence = findOccurrence(job, key.occurrence);
    return occurrence == nullptr || key.step >= occurrence->steps.size() ? nullptr : &occurrence->steps[key.step];
}

Occurrence makeOccurrence(const JobSpec &spec, std::uint32_t number)
{
    Occurrence occurrence{.number = number, .steps = {}, .stepsLeft = static_cast<std::uint32_t>(spec.steps.size())};
    for (const StepSpec &step : spec.steps) {
        StepRun run;
        run.tasks.resize(step.count);
        run.remaining = step.count;
        run.waiting = step.count;
        occurrence.steps.push_back(std::move(run));
    }
    openSteps(spec, occurrence);
    return occurrence;
}

void addOccurrences(Job &job, std::uint32_t last)
{
    while (job.nextOccurrence <= last && job.nextOccurrence < job.record.spec.repeatCount) {
        job.occurrences.push_back(makeOccurrence(job.record.spec, job.nextOccurrence++));
    }
}

void openSteps(const JobSpec &spec, Occurrence &occurrence)
{
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        occurrence.steps[i].open = std::ranges::all_of(
            spec.steps[i].after, [&](std::uint32_t before) { return occurrence.steps[before].remaining == 0; });
    }
}

namespace
{

/// For each step, the sum of the estimates on the longest path that begins with it.
std::vector<milliseconds> pathEstimates(const JobSpec &spec)
{
    // Steps name earlier steps only, so those that follow a step are complete before it in reverse order.
    std::vector<milliseconds> paths(spec.steps.size(), milliseconds(0));
    for (std::size_t i = paths.size(); i-- > 0;) {
        // So far the longest path that begins after the step.
        paths[i] += spec.steps[i].estimate;
        for (const std::uint32_t before : spec.steps[i].after) {
            paths[before] = std::max(paths[before], paths[i]);
        }
    }
    return paths;
}

} // namespace

milliseconds criticalPathEstimate(const JobSpec &spec)
{
    const std::vector<milliseconds> paths = pathEstimates(spec);
    return paths.empty() ? milliseconds(0) : std::ranges::max(paths);
}

milliseconds remainingPathEstimate(const JobSpec &spec, std::uint32_t step)
{
    return pathEstimates(spec)[step];
}

} // namespace wigeonkeel::dispatch

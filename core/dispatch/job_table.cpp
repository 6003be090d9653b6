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

milliseconds criticalPathEstimate(const JobSpec &spec)
{
    std::vector<milliseconds> until;
    milliseconds longest{0};
    for (const StepSpec &step : spec.steps) {
        milliseconds start{0};
        for (const std::uint32_t before : step.after) {
            start = std::max(start, until[before]);
        }
        until.push_back(start + step.estimate);
        longest = std::max(longest, until.back());
    }
    return longest;
}

milliseconds remainingPathEstimate(const JobSpec &spec, std::uint32_t step)
{
    // Steps name earlier steps only, so those that follow a step are complete before it in reverse order.
    std::vector<milliseconds> following(spec.steps.size(), milliseconds(0));
    for (std::size_t i = spec.steps.size() - 1; i > step; --i) {
        for (const std::uint32_t before : spec.steps[i].after) {
            following[before] = std::max(following[before], spec.steps[i].estimate + following[i]);
        }
    }
    return spec.steps[step].estimate + following[step];
}

} // namespace wigeonkeel::dispatch

#include "core/cell/usage_estimates.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

constexpr double riseWeight = 0.5;
constexpr double fallWeight = 0.05;
/// Measurements before the estimate replaces the declared size.
constexpr std::uint32_t enoughSamples = 20;
/// Room above the estimate for what the lag of the reports hides.
constexpr double margin = 1.25;
constexpr std::int64_t lowestDivisor = 8;
/// Declared sizes are wrong by up to ten times.
constexpr std::int64_t highestFactor = 10;
/// Use above twice the charge harms the worker's other tasks.
constexpr std::int64_t runawayFactor = 2;

void follow(double &estimate, std::int64_t sample)
{
    const auto value = static_cast<double>(sample);
    estimate += (value > estimate ? riseWeight : fallWeight) * (value - estimate);
}

std::int64_t bounded(double estimate, std::int64_t declared, std::int64_t free)
{
    const auto wanted = static_cast<std::int64_t>(estimate * margin);
    const std::int64_t grant = std::clamp(wanted, declared / lowestDivisor, declared * highestFactor);
    return std::min(grant, std::max<std::int64_t>(free, 0));
}

} // namespace

void noteUsage(UsageEstimate &estimate, const Resources &usage)
{
    if (usage == Resources{}) {
        return;
    }
    follow(estimate.cpuMilli, usage.cpuMilli);
    follow(estimate.memoryMib, usage.memoryMib);
    ++estimate.samples;
}

Resources grantFor(const UsageEstimate &estimate, const Resources &declared, const Resources &workerFree)
{
    Resources grant = declared;
    if (estimate.samples >= enoughSamples) {
        grant.cpuMilli = bounded(estimate.cpuMilli, declared.cpuMilli, workerFree.cpuMilli);
        grant.memoryMib = bounded(estimate.memoryMib, declared.memoryMib, workerFree.memoryMib);
    }
    return {.cpuMilli = std::min(grant.cpuMilli, workerFree.cpuMilli),
        .memoryMib = std::min(grant.memoryMib, workerFree.memoryMib),
        .accelerators = std::min(grant.accelerators, workerFree.accelerators),
        .slots = std::min(grant.slots, workerFree.slots)};
}

RunawayAction checkRunaway(const Resources &usage, const Resources &charged, bool throttled)
{
    const bool runaway
        = usage.cpuMilli > charged.cpuMilli * runawayFactor || usage.memoryMib > charged.memoryMib * runawayFactor;
    if (!runaway) {
        return RunawayAction::None;
    }
    return throttled ? RunawayAction::Stop : RunawayAction::Throttle;
}

} // namespace wigeonkeel

#include "standins/worker/task_truth.h"

#include <cmath>

namespace wigeonkeel
{

namespace
{

constexpr std::uint64_t runSalt = 1;
constexpr std::uint64_t usageSalt = 2;
constexpr double whole = 100;

double factor(const TaskTruthOptions &options, const TaskId &task, std::uint64_t salt, std::uint32_t minPercent,
    std::uint32_t maxPercent)
{
    if (maxPercent <= minPercent) {
        return minPercent / whole;
    }
    const double share
        = static_cast<double>(stableHash(toString(task), options.seed * 2 + salt)) / static_cast<double>(UINT64_MAX);
    return minPercent / whole * std::pow(static_cast<double>(maxPercent) / minPercent, share);
}

std::int64_t scaled(std::int64_t value, double by)
{
    return static_cast<std::int64_t>(std::llround(static_cast<double>(value) * by));
}

} // namespace

milliseconds trueRunTime(const TaskTruthOptions &options, const TaskId &task, milliseconds declared)
{
    return milliseconds(
        scaled(declared.count(), factor(options, task, runSalt, options.minRunPercent, options.maxRunPercent)));
}

Resources trueUsage(const TaskTruthOptions &options, const TaskId &task, const Resources &declared)
{
    const double by = factor(options, task, usageSalt, options.minUsagePercent, options.maxUsagePercent);
    return {.cpuMilli = scaled(declared.cpuMilli, by),
        .memoryMib = scaled(declared.memoryMib, by),
        .accelerators = declared.accelerators,
        .slots = declared.slots};
}

} // namespace wigeonkeel

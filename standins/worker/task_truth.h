#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/resources.h"

#include <cstdint>

namespace wigeonkeel
{

/// How far the true run times and sizes of tasks are from the declared ones, in percent of the declared value. The
/// factor of a task is drawn from the range by seed and task id, evenly on a logarithmic scale.
struct TaskTruthOptions
{
    std::uint64_t seed = 1;
    std::uint32_t minRunPercent = 100;
    std::uint32_t maxRunPercent = 100;
    std::uint32_t minUsagePercent = 100;
    std::uint32_t maxUsagePercent = 100;
    /// Length of the results; 0 for a short text that names the task.
    std::size_t resultBytes = 0;
};

milliseconds trueRunTime(const TaskTruthOptions &options, const TaskId &task, milliseconds declared);
Resources trueUsage(const TaskTruthOptions &options, const TaskId &task, const Resources &declared);

} // namespace wigeonkeel

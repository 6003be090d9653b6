#pragma once

#include "core/resources.h"

#include <cstdint>

namespace wigeonkeel
{

/// Measured use of a workload's tasks, learnt from reports that lag.
struct UsageEstimate
{
    double cpuMilli = 0;
    double memoryMib = 0;
    std::uint32_t samples = 0;
};

enum class RunawayAction : std::uint8_t { None, Throttle, Stop };

/// Takes note of one measurement. A zero measurement means "not measured yet" and is left out. A rise is followed
/// faster than a fall, because too small an estimate does more harm.
void noteUsage(UsageEstimate &estimate, const Resources &usage);

/// What a task should be granted: the estimate with a margin, between an eighth of the declared size and ten times it,
/// and never more than what the worker has free. Accelerators and slots stay as declared. The declared size until
/// enough was measured.
Resources grantFor(const UsageEstimate &estimate, const Resources &declared, const Resources &workerFree);

/// What to do about a task that uses more than it is charged with: throttle it, then stop it if it was throttled.
RunawayAction checkRunaway(const Resources &usage, const Resources &charged, bool throttled);

} // namespace wigeonkeel

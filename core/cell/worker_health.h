#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonkeel
{

enum class HealthState : std::uint8_t { Good, Excluded, Probing };

struct WorkerHealth
{
    HealthState state = HealthState::Good;
    /// Workloads that failed since the last success, each once.
    std::vector<std::uint64_t> failedWorkloads;
    std::uint32_t successes = 0;
    std::uint32_t failedProbes = 0;
    MonotonicTime nextProbe{};
};

using HealthTable = std::map<std::string, WorkerHealth, std::less<>>;

/// Takes note of the end of a task. A worker is excluded when tasks of 5 different workloads failed in a row, and good
/// again after 2 successes of probes. One workload that fails again and again counts once: it may be at fault itself.
HealthState noteTaskResult(
    HealthTable &table, std::string_view worker, std::uint64_t workload, bool success, MonotonicTime now);

/// True if an excluded worker may be given one task now; it then counts as probing until that task's result.
bool startProbe(HealthTable &table, std::string_view worker, MonotonicTime now);

} // namespace wigeonkeel

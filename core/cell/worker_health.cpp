#include "core/cell/worker_health.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

constexpr std::size_t failuresToExclude = 5;
constexpr std::uint32_t successesToInclude = 2;
constexpr std::chrono::seconds firstProbeAfter{10};
/// A probe without a result, such as a long task, is repeated after this time.
constexpr std::chrono::minutes probeTimeout{10};
/// Doublings of the probe interval; the longest is about 10 minutes.
constexpr std::uint32_t maxDoublings = 6;

void noteSuccess(WorkerHealth &health, MonotonicTime now)
{
    if (health.state == HealthState::Good) {
        health = {};
        return;
    }
    ++health.successes;
    if (health.successes >= successesToInclude) {
        health = {};
        return;
    }
    // The second probe follows at once.
    health.state = HealthState::Excluded;
    health.nextProbe = now;
}

void noteFailure(WorkerHealth &health, std::uint64_t workload, MonotonicTime now)
{
    if (health.state == HealthState::Good) {
        if (std::ranges::find(health.failedWorkloads, workload) == health.failedWorkloads.end()) {
            health.failedWorkloads.push_back(workload);
        }
        if (health.failedWorkloads.size() < failuresToExclude) {
            return;
        }
        health.state = HealthState::Excluded;
        health.nextProbe = now + firstProbeAfter;
        return;
    }
    if (health.state == HealthState::Excluded) {
        // A task from before the exclusion; it says nothing new.
        return;
    }
    health.state = HealthState::Excluded;
    health.successes = 0;
    health.failedProbes = std::min(health.failedProbes + 1, maxDoublings);
    health.nextProbe = now + firstProbeAfter * (1U << health.failedProbes);
}

} // namespace

HealthState noteTaskResult(
    HealthTable &table, std::string_view worker, std::uint64_t workload, bool success, MonotonicTime now)
{
    auto found = table.find(worker);
    if (found == table.end()) {
        if (success) {
            return HealthState::Good;
        }
        found = table.emplace(std::string(worker), WorkerHealth{}).first;
    }
    if (success) {
        noteSuccess(found->second, now);
    } else {
        noteFailure(found->second, workload, now);
    }
    return found->second.state;
}

bool startProbe(HealthTable &table, std::string_view worker, MonotonicTime now)
{
    const auto found = table.find(worker);
    if (found == table.end() || found->second.state == HealthState::Good || now < found->second.nextProbe) {
        return false;
    }
    found->second.state = HealthState::Probing;
    found->second.nextProbe = now + probeTimeout;
    return true;
}

} // namespace wigeonkeel

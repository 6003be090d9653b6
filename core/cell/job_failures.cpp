#include "core/cell/job_failures.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

/// Failures on this many different workers point at the job rather than at a worker.
constexpr std::size_t workersToBackOff = 3;
constexpr std::chrono::seconds firstBackOff{5};
constexpr std::uint32_t maxDoublings = 6;

} // namespace

JobVerdict noteJobFailure(JobFailures &failures, std::uint64_t worker, std::uint32_t maxAttempts, MonotonicTime now)
{
    ++failures.attempts;
    const bool known = std::ranges::find(failures.workers, worker) != failures.workers.end();
    // More workers than this change nothing, and the list stays small.
    if (!known && failures.workers.size() < workersToBackOff) {
        failures.workers.push_back(worker);
    }
    if (failures.attempts >= maxAttempts) {
        return JobVerdict::GiveUp;
    }
    if (failures.workers.size() < workersToBackOff) {
        failures.notBefore = now;
        return JobVerdict::Retry;
    }
    const auto beyond = failures.attempts - static_cast<std::uint32_t>(workersToBackOff);
    failures.notBefore = now + firstBackOff * (1U << std::min(beyond, maxDoublings));
    return JobVerdict::BackOff;
}

} // namespace wigeonkeel

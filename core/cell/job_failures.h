#pragma once

#include "core/clock.h"

#include <cstdint>
#include <vector>

namespace wigeonkeel
{

/// Failures of one job's task.
struct JobFailures
{
    std::uint32_t attempts = 0;
    /// Workers on which it failed, as stable hashes of their names, each once.
    std::vector<std::uint64_t> workers;
    MonotonicTime notBefore{};
};

enum class JobVerdict : std::uint8_t {
    /// Start again at once: the worker may be at fault.
    Retry,
    /// Start again after `notBefore`: it failed on several workers, so the job is likely at fault.
    BackOff,
    /// The attempt limit is reached.
    GiveUp,
};

/// Takes note of a failed attempt on a worker. The back-off doubles from 5 s to about 5 minutes.
JobVerdict noteJobFailure(JobFailures &failures, std::uint64_t worker, std::uint32_t maxAttempts, MonotonicTime now);

} // namespace wigeonkeel

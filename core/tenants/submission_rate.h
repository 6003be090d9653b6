#pragma once

#include "core/clock.h"

#include <cstdint>

namespace wigeonkeel
{

/// Jobs that a tenant may submit at once without exceeding its rate: one second's worth, and at least this many,
/// because small tenants submit their few jobs at uneven intervals.
inline constexpr double minRateBurst = 4.0;

/// Token bucket of a tenant's submissions.
struct SubmissionRate
{
    double tokens = 0;
    /// Without a start, the bucket is full.
    bool isStarted = false;
    MonotonicTime refilledAt{};
};

/// Takes a token for a job that was submitted at `now`; false if the tenant has exceeded `jobsPerSecond`. Jobs beyond
/// the rate take no token.
bool takeSubmission(SubmissionRate &rate, double jobsPerSecond, MonotonicTime now);

/// When a job beyond the rate may be submitted again: once the tenant's own waiting jobs beyond its rate would have
/// been served at that rate.
milliseconds retryAfterBacklog(std::uint32_t waitingJobs, double jobsPerSecond);

/// Whether so many jobs beyond the rate wait that another one would not be served while its client waits.
bool isBacklogTooLong(std::uint32_t waitingJobs, double jobsPerSecond);

} // namespace wigeonkeel

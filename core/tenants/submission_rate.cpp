#include "core/tenants/submission_rate.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

/// Clients without a deadline of their own wait this long for an answer.
constexpr std::chrono::duration<double> clientWait{3.0};
constexpr milliseconds minRetryAfter{1000};
/// Load that lasts longer is no burst; a client that came back later than this would miss the room that is free again.
constexpr milliseconds maxRetryAfter{10000};

double burstOf(double jobsPerSecond)
{
    // A rate of zero entitles to nothing, so its bucket holds nothing.
    return jobsPerSecond > 0 ? std::max(minRateBurst, jobsPerSecond) : 0.0;
}

} // namespace

bool takeSubmission(SubmissionRate &rate, double jobsPerSecond, MonotonicTime now)
{
    const double burst = burstOf(jobsPerSecond);
    const std::chrono::duration<double> passed = now - rate.refilledAt;
    rate.tokens = rate.isStarted ? std::min(burst, rate.tokens + std::max(0.0, passed.count()) * jobsPerSecond) : burst;
    rate.isStarted = true;
    rate.refilledAt = now;
    if (rate.tokens < 1.0) {
        return false;
    }
    rate.tokens -= 1.0;
    return true;
}

milliseconds retryAfterBacklog(std::uint32_t waitingJobs, double jobsPerSecond)
{
    if (jobsPerSecond <= 0) {
        return maxRetryAfter;
    }
    const std::chrono::duration<double> backlog(waitingJobs / jobsPerSecond);
    const auto longest = std::chrono::duration<double>(maxRetryAfter);
    return std::clamp(std::chrono::ceil<milliseconds>(std::min(backlog, longest)), minRetryAfter, maxRetryAfter);
}

bool isBacklogTooLong(std::uint32_t waitingJobs, double jobsPerSecond)
{
    return waitingJobs >= std::max(1.0, jobsPerSecond * clientWait.count());
}

} // namespace wigeonkeel

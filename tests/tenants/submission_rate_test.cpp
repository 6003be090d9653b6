#include "core/tenants/submission_rate.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;

namespace
{

constexpr MonotonicTime start{milliseconds(1000)};

/// Number of jobs within the rate of so many that are submitted at the same time.
int takeMany(SubmissionRate &rate, double jobsPerSecond, int jobs, MonotonicTime now)
{
    int taken = 0;
    for (int i = 0; i < jobs; ++i) {
        taken += takeSubmission(rate, jobsPerSecond, now) ? 1 : 0;
    }
    return taken;
}

} // namespace

TEST_GROUP(TenantSubmissionRate){};

// Guards against a bucket that is deeper or shallower than a second's worth, or empty for small tenants.
TEST(TenantSubmissionRate, ABurstHoldsOneSecondsWorth)
{
    SubmissionRate large;
    CHECK_EQUAL(20, takeMany(large, 20, 100, start));
    SubmissionRate small;
    CHECK_EQUAL(static_cast<int>(minRateBurst), takeMany(small, 0.5, 100, start));
}

// Guards against a tenant that gets more than its weight a second, or less when it submits more than that: jobs beyond
// the rate take no token.
TEST(TenantSubmissionRate, TheRateHoldsForAnyLoad)
{
    constexpr double weight = 8;
    for (const int perSecond : {8, 64, 500}) {
        SubmissionRate rate;
        const int burst = takeMany(rate, weight, 100, start);
        int taken = 0;
        for (int job = 1; job <= perSecond * 10; ++job) {
            const auto at = start + std::chrono::nanoseconds(10'000'000'000LL * job / (perSecond * 10));
            taken += takeSubmission(rate, weight, at) ? 1 : 0;
        }
        CHECK_EQUAL(8, burst);
        CHECK(taken >= 79 && taken <= 80);
    }
}

// Guards against unused tokens that pile up beyond the burst, and against a clock that stands still.
TEST(TenantSubmissionRate, TokensAreKeptUpToTheBurstOnly)
{
    SubmissionRate rate;
    CHECK_EQUAL(10, takeMany(rate, 10, 50, start));
    CHECK_EQUAL(0, takeMany(rate, 10, 50, start));
    CHECK_EQUAL(10, takeMany(rate, 10, 50, start + std::chrono::hours(1)));
    CHECK_EQUAL(0, takeMany(rate, 10, 50, start));
}

// Guards against a tenant with a weight of zero that is entitled to something.
TEST(TenantSubmissionRate, AWeightOfZeroEntitlesToNothing)
{
    SubmissionRate rate;
    CHECK_EQUAL(0, takeMany(rate, 0, 10, start));
    CHECK_EQUAL(0, takeMany(rate, 0, 10, start + std::chrono::hours(1)));
}

// Guards against a lowered weight that leaves the tokens of the higher one.
TEST(TenantSubmissionRate, ALoweredWeightShortensTheBurst)
{
    SubmissionRate rate;
    CHECK(takeSubmission(rate, 100, start));
    CHECK_EQUAL(5, takeMany(rate, 5, 50, start));
}

// Guards against clients that come back before their tenant's own backlog is gone, or much later.
TEST(TenantSubmissionRate, RetryAfterIsTheBacklogWithinItsBounds)
{
    CHECK(retryAfterBacklog(30, 10) == milliseconds(3000));
    CHECK(retryAfterBacklog(25, 10) == milliseconds(2500));
    CHECK(retryAfterBacklog(0, 10) == milliseconds(1000));
    CHECK(retryAfterBacklog(1, 10) == milliseconds(1000));
    CHECK(retryAfterBacklog(1000, 10) == milliseconds(10000));
    CHECK(retryAfterBacklog(UINT32_MAX, 1e-300) == milliseconds(10000));
    CHECK(retryAfterBacklog(5, 0) == milliseconds(10000));
}

// Guards against excess that is rejected although it would be served while its client waits, and the reverse.
TEST(TenantSubmissionRate, ABacklogIsTooLongBeyondTheClientsWait)
{
    CHECK_FALSE(isBacklogTooLong(29, 10));
    CHECK(isBacklogTooLong(30, 10));
    CHECK_FALSE(isBacklogTooLong(0, 0));
    CHECK(isBacklogTooLong(1, 0));
}

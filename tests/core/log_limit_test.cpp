#include "core/dispatch/call_log.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr LogRate rate{.interval = milliseconds(10), .burst = 3};

std::size_t takenOf(LogLimit &limit, std::size_t lines, MonotonicTime now)
{
    std::size_t taken = 0;
    for (std::size_t line = 0; line < lines; ++line) {
        taken += takeLogLine(limit, rate, now) ? 1 : 0;
    }
    return taken;
}

} // namespace

TEST_GROUP(LogLimit)
{
    LogLimit limit;
    MonotonicTime start{std::chrono::hours(1)};
};

TEST(LogLimit, ABurstIsWrittenAndTheRestFollowsTheRate)
{
    UNSIGNED_LONGS_EQUAL(3, takenOf(limit, 100, start));
    UNSIGNED_LONGS_EQUAL(0, takenOf(limit, 100, start + milliseconds(9)));
    UNSIGNED_LONGS_EQUAL(1, takenOf(limit, 100, start + milliseconds(10)));
    UNSIGNED_LONGS_EQUAL(2, takenOf(limit, 100, start + milliseconds(30)));
}

TEST(LogLimit, AQuietTimeAllowsNoMoreThanABurst)
{
    takenOf(limit, 100, start);
    UNSIGNED_LONGS_EQUAL(3, takenOf(limit, 100, start + std::chrono::hours(1)));
}

TEST(LogLimit, TheNextLineTellsHowManyWereLeftOut)
{
    takenOf(limit, 100, start);
    const auto suppressed = takeLogLine(limit, rate, start + milliseconds(10));
    CHECK_TRUE(suppressed.has_value());
    UNSIGNED_LONGS_EQUAL(97, *suppressed);
}

// Guards against a flood of one kind that hides the lines of another.
TEST(LogLimit, KindsOfLinesAreLimitedApart)
{
    CallLog log{.rate = rate};
    for (int line = 0; line < 100; ++line) {
        logCall(log, CallLine::InvalidJob, start, "test", "line={}", line);
    }
    UNSIGNED_LONGS_EQUAL(97, log.suppressed);
    logCall(log, CallLine::Rejected, start, "test", "another");
    UNSIGNED_LONGS_EQUAL(97, log.suppressed);
}

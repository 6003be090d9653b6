#include "tests/dispatch/run_history.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

const WorkerLife life{"w0", 1};
const TaskKey task{.step = {.job = 1, .occurrence = 0, .step = 0}, .index = 0};

EndedTask endOf(std::uint64_t number, std::uint32_t attempt, RunEnd end)
{
    return {.number = number, .task = task, .attempt = attempt, .end = end, .checkpoint = {}};
}

} // namespace

// The random faults rely on this check, so it must report what the rules forbid and nothing else.
TEST_GROUP(RunHistory)
{
    RunHistory history;

    std::size_t start(std::uint32_t attempt)
    {
        return recordStart(history, task, attempt, "on w0").size();
    }
    std::size_t acknowledge(std::uint64_t upTo)
    {
        return recordAcknowledgement(history, life, upTo, "on w0").size();
    }
};

TEST(RunHistory, AStartAfterAnAcknowledgedEndIsReported)
{
    CHECK_EQUAL(0, start(1));
    recordEnd(history, task, endOf(1, 1, RunEnd::Done), life);
    CHECK_EQUAL(0, acknowledge(1));
    CHECK_EQUAL(1, start(2));
}

TEST(RunHistory, AStartIsReportedOnceTheEndBeforeItIsAcknowledged)
{
    CHECK_EQUAL(0, start(1));
    recordEnd(history, task, endOf(3, 1, RunEnd::Done), life);
    CHECK_EQUAL(0, start(2));
    CHECK_EQUAL(0, acknowledge(2));
    CHECK_EQUAL(1, acknowledge(3));
}

TEST(RunHistory, EndsOfALapsedLeaseDoNotCount)
{
    CHECK_EQUAL(0, start(1));
    recordEnd(history, task, endOf(1, 1, RunEnd::Done), life);
    recordLapse(history, life);
    CHECK_EQUAL(0, start(2));
    CHECK_EQUAL(0, acknowledge(1));
}

TEST(RunHistory, AStartAfterTheLastFailedAttemptIsReported)
{
    for (std::uint32_t attempt = 1; attempt <= history.maxAttempts; ++attempt) {
        CHECK_EQUAL(0, start(attempt));
        recordEnd(history, task, endOf(attempt, attempt, RunEnd::Failed), life);
    }
    CHECK_EQUAL(0, acknowledge(history.maxAttempts));
    CHECK_EQUAL(1, start(history.maxAttempts + 1));
}

TEST(RunHistory, AStartAfterTheJobWasShownAsDoneIsReported)
{
    const JobSpec spec{.payload = "p", .steps = {{.count = 1}}};
    CHECK_EQUAL(0, start(1));
    recordEnd(history, task, endOf(1, 1, RunEnd::Done), life);
    CHECK_EQUAL(0, recordShownDone(history, task.step.job, spec, "by n0").size());
    CHECK_EQUAL(1, start(2));
}

TEST(RunHistory, AJobShownAsDoneTooEarlyIsReported)
{
    const JobSpec spec{.payload = "p", .steps = {{.count = 2}}};
    recordEnd(history, task, endOf(1, 1, RunEnd::Done), life);
    CHECK_EQUAL(1, recordShownDone(history, task.step.job, spec, "by n0").size());
}

TEST(RunHistory, MembersOfAGangCountAsOne)
{
    const TaskKey first = historyUnit(task, true);
    const TaskKey second = historyUnit({.step = task.step, .index = 1}, true);
    CHECK_EQUAL(0, recordStart(history, first, 1, "on w0").size());
    CHECK_EQUAL(0, recordStart(history, second, 1, "on w1").size());
    recordEnd(history, first, endOf(1, 1, RunEnd::Done), life);
    CHECK_EQUAL(0, acknowledge(1));
    CHECK_EQUAL(1, recordStart(history, second, 2, "on w1").size());
}

TEST(RunHistory, AStartLongAfterTheAcknowledgedCancellationIsReported)
{
    const JobId job = task.step.job;
    recordAccepted(history, job, milliseconds(1000));
    CHECK_EQUAL(0, checkStartTime(history, job, milliseconds(60000), "on w0").size());
    recordCancelled(history, job, milliseconds(2000));
    recordCancelled(history, job, milliseconds(4000));
    CHECK_EQUAL(0, checkStartTime(history, job, milliseconds(2000) + cancelLimit, "on w0").size());
    CHECK_EQUAL(1, checkStartTime(history, job, milliseconds(2001) + cancelLimit, "on w0").size());
    CHECK_EQUAL(0, checkStartTime(history, job + 1, milliseconds(60000), "on w0").size());
}

TEST(RunHistory, AnAcceptedJobThatIsSaidNotToExistIsReported)
{
    const JobId job = task.step.job;
    const milliseconds kept{120000};
    const auto check = [&](std::int64_t sentAt, std::int64_t answeredAt) {
        return checkNoSuchJob(history, job, {milliseconds(sentAt), milliseconds(answeredAt)}, kept, "by n0").size();
    };
    CHECK_EQUAL(0, check(2000, 2010));
    recordAccepted(history, job, milliseconds(1000));
    recordAccepted(history, job, milliseconds(50000));
    CHECK_EQUAL(0, check(900, 1010));
    CHECK_EQUAL(1, check(1001, 1010));
    CHECK_EQUAL(1, check(110000, 121000));
    CHECK_EQUAL(0, check(121000, 121001));
}

TEST(RunHistory, AnotherStateAfterAnEndThatWasShownIsReported)
{
    const JobId job = task.step.job;
    const auto show = [&](JobState state, std::int64_t sentAt, std::int64_t answeredAt) {
        return recordShownState(history, job, state, {milliseconds(sentAt), milliseconds(answeredAt)}, "by n0").size();
    };
    CHECK_EQUAL(0, show(JobState::Running, 900, 910));
    CHECK_EQUAL(0, show(JobState::Cancelled, 1000, 1100));
    // This query had been sent before the end was shown.
    CHECK_EQUAL(0, show(JobState::Running, 1050, 1200));
    CHECK_EQUAL(0, show(JobState::Cancelled, 1300, 1310));
    CHECK_EQUAL(1, show(JobState::Queued, 1300, 1310));
    CHECK_EQUAL(1, show(JobState::Done, 1300, 1310));
}

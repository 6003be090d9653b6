#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
/// Longer than the leader's usual wait for a stop.
constexpr milliseconds slowStop{4000};
constexpr JobId forgottenJob = 0xf1;
constexpr JobId newJob = 0xf2;
constexpr JobId otherJob = 0xf3;

WorldRun runOf(JobId job, std::int64_t cpuMilli)
{
    return {.task = {.step = {.job = job, .occurrence = 0, .step = 0}, .index = 0},
        .attempt = 1,
        .size = {.cpuMilli = cpuMilli, .memoryMib = 100},
        .work = milliseconds(20000)};
}

/// Lets a worker run something that the leader did not order; the lease is one of a former leader.
void addRun(World &world, std::size_t worker, const WorldRun &run)
{
    world.workers[worker].runs.push_back(run);
    world.workers[worker].leaseUntil = world.time + milliseconds(3500);
    world.workers[worker].stopTime = slowStop;
}

} // namespace

TEST_GROUP(DispatchUnknownRuns){};

// Guards against starts on a worker whose unknown runs are still being stopped: their room is not known, so the worker
// would be over its capacity.
TEST(DispatchUnknownRuns, AWorkerGetsNoStartsUntilItsUnknownRunsHaveEnded)
{
    World world(2, 1);
    world.run(settleTime);
    // A worker that runs nothing is not asked for its lists.
    world.submit(0, otherJob, {.payload = "p", .steps = {stepOf(1, 100, milliseconds(15000))}}, "batch");
    world.run(milliseconds(300));
    addRun(world, 0, runOf(forgottenJob, 3500));
    world.run(milliseconds(1500));
    world.submit(0, newJob, {.payload = "p", .steps = {stepOf(1, 1000, milliseconds(300))}}, "batch");
    world.run(milliseconds(9000));
    const auto answer = world.ask(0, ClientCallKind::Query, newJob);
    CHECK(answer && answer->state == JobState::Done);
    checkNoViolations(world);
}

namespace
{

/// Two workers without room; the first one that gets room would run the waiting job, of which the other one still has a
/// run with an older number.
void playAnUnknownRunOfAWaitingJob(bool gang)
{
    World world(2, 2);
    world.actualRun = [](const TaskKey &task, std::uint32_t) {
        return WorldRun{.work = milliseconds(task.step.job == newJob ? 300 : 2500 + 12500 * task.index)};
    };
    world.run(settleTime);
    world.submit(0, otherJob, {.payload = "p", .steps = {stepOf(2, 3500, milliseconds(15000))}}, "batch");
    world.run(milliseconds(300));
    JobSpec spec{.payload = "p", .steps = {stepOf(gang ? 2 : 1, 1000, milliseconds(300))}};
    spec.steps[0].gang = gang;
    world.submit(0, newJob, spec, "batch");
    world.run(milliseconds(100));
    // The number that a task has after a change of leader; its run has a lower one.
    for (Task &task : world.leader()->dispatcher->jobs.live.at(newJob)->occurrences[0].steps[0].tasks) {
        task.attempt = 9;
    }
    const std::size_t busyLonger = world.workers[0].runs[0].task.index == 1 ? 0 : 1;
    addRun(world, busyLonger, runOf(newJob, 0));
    world.run(milliseconds(9000));
    const auto answer = world.ask(0, ClientCallKind::Query, newJob);
    CHECK(answer && answer->state == JobState::Done);
    checkNoViolations(world);
}

} // namespace

// Guards against a task that starts on another worker while an unknown run of it is still being stopped.
TEST(DispatchUnknownRuns, ATaskDoesNotStartElsewhereUntilItsUnknownRunHasEnded)
{
    playAnUnknownRunOfAWaitingJob(false);
}

// The same for a gang: none of its members starts while an unknown run of one of them is still being stopped.
TEST(DispatchUnknownRuns, AGangDoesNotStartUntilTheUnknownRunOfAMemberHasEnded)
{
    playAnUnknownRunOfAWaitingJob(true);
}

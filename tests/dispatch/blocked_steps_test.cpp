#include "core/dispatch/blocked_needs.h"
#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
/// More steps than one pass of the placement examines.
constexpr std::uint32_t manySteps = 200;
/// The platform asks for a start within 3 s where there is room.
constexpr milliseconds startBound{3000};

JobSpec oneTask(std::int64_t cpuMilli, milliseconds estimate = milliseconds(400))
{
    return {.payload = "p", .steps = {stepOf(1, cpuMilli, estimate)}};
}

/// A job that isn't late, and so keeps its priority, for the duration of the test.
JobSpec longTask(std::int64_t cpuMilli)
{
    return oneTask(cpuMilli, milliseconds(60000));
}

bool isRunning(const World &world, JobId job)
{
    return std::ranges::any_of(world.workers, [job](const WorldWorker &worker) {
        return std::ranges::any_of(worker.runs, [job](const WorldRun &run) { return run.task.step.job == job; });
    });
}

/// Submits steps that find no room, all of them more urgent than the job under test, which fits.
struct BlockedSteps
{
    BlockedSteps() { world.run(settleTime); }

    void checkThatOthersStart(const std::function<JobSpec(std::uint32_t)> &blockedJob)
    {
        for (std::uint32_t i = 0; i < manySteps; ++i) {
            world.submit(0, 1000 + i, blockedJob(i), "urgent", milliseconds(60000));
        }
        world.run(milliseconds(300));
        world.submit(0, 1, oneTask(1000), "batch");
        CHECK(world.runUntil([this] { return isRunning(world, 1); }, startBound));
        checkNoViolations(world);
    }

    World world{3, 4};
};

PlacementNeed needOf(std::string_view label, std::int64_t cpuMilli, std::uint32_t priority = 2)
{
    return {.pool = "pool",
        .label = label,
        .size = {.cpuMilli = cpuMilli, .memoryMib = 100},
        .priority = priority,
        .canPreempt = true};
}

} // namespace

TEST_GROUP(DispatchBlockedSteps){};

// Guards against waiting steps that name a label which no worker has, and that keep all less urgent ones from starting
// beside idle workers.
TEST(DispatchBlockedSteps, AMissingLabelDoesNotKeepOtherJobsFromStarting)
{
    BlockedSteps steps;
    steps.checkThatOthersStart([](std::uint32_t) {
        JobSpec spec = longTask(200);
        spec.steps[0].requiredLabel = "missing";
        return spec;
    });
}

// Guards against the same where each step names another label, so that none is excluded by what another one found.
TEST(DispatchBlockedSteps, ManyMissingLabelsDoNotKeepOtherJobsFromStarting)
{
    BlockedSteps steps;
    steps.checkThatOthersStart([](std::uint32_t number) {
        JobSpec spec = longTask(200);
        spec.steps[0].requiredLabel = "missing" + std::to_string(number);
        return spec;
    });
}

// Guards against gangs without room for all members that keep less urgent tasks out of the room that is there.
TEST(DispatchBlockedSteps, GangsWithoutRoomDoNotKeepOtherJobsFromStarting)
{
    BlockedSteps steps;
    steps.checkThatOthersStart([](std::uint32_t) {
        JobSpec spec = longTask(2500);
        spec.steps[0].count = 5;
        spec.steps[0].gang = true;
        return spec;
    });
}

// Guards against steps at their limit of tasks for each worker that keep less urgent tasks from starting.
TEST(DispatchBlockedSteps, StepsAtTheirLimitPerWorkerDoNotKeepOtherJobsFromStarting)
{
    BlockedSteps steps;
    steps.checkThatOthersStart([](std::uint32_t) {
        JobSpec spec = longTask(1);
        spec.steps[0].count = 5;
        spec.steps[0].size.memoryMib = 1;
        spec.steps[0].maxPerWorker = 1;
        return spec;
    });
}

// Guards against a long-running task whose restart waits behind blocked steps of more urgent jobs.
TEST(DispatchBlockedSteps, LongRunningTasksRestartBesideBlockedSteps)
{
    BlockedSteps steps;
    World &world = steps.world;
    JobSpec service = oneTask(500);
    service.steps[0].longRunning = true;
    service.steps[0].estimate = milliseconds(1000000);
    world.submit(0, 2, service, "batch");
    CHECK(world.runUntil([&world] { return isRunning(world, 2); }, startBound));
    steps.checkThatOthersStart([](std::uint32_t number) {
        JobSpec spec = longTask(200);
        spec.steps[0].requiredLabel = "missing" + std::to_string(number);
        return spec;
    });
    world.crashWorker(busyWorker(world));
    world.run(milliseconds(6000));
    CHECK(isRunning(world, 2));
    checkNoViolations(world);
}

// Guards against a step that is skipped although it needs less than the one that found no room.
TEST(DispatchBlockedSteps, OnlyNeedsThatIncludeABlockedOneAreBlocked)
{
    BlockedNeeds blocked;
    CHECK(!isBlocked(blocked, needOf("", 1000)));
    addBlocked(blocked, needOf("a", 1000));
    CHECK(isBlocked(blocked, needOf("a", 1000)));
    CHECK(isBlocked(blocked, needOf("a", 1001)));
    CHECK(!isBlocked(blocked, needOf("a", 999)));
    CHECK(!isBlocked(blocked, needOf("b", 1000)));
    CHECK(!isBlocked(blocked, needOf("", 1000)));
    // A step without a label may use all workers of the pool, so a labelled one finds no room either.
    addBlocked(blocked, needOf("", 2000));
    CHECK(isBlocked(blocked, needOf("b", 2000)));
    CHECK(!isBlocked(blocked, needOf("b", 1999)));
    PlacementNeed other = needOf("a", 5000);
    other.pool = "other";
    CHECK(!isBlocked(blocked, other));
    PlacementNeed larger = needOf("a", 1000);
    larger.size.memoryMib = 99;
    CHECK(!isBlocked(blocked, larger));
}

// Guards against a step that is skipped although it may pre-empt more than the one that found no room.
TEST(DispatchBlockedSteps, NeedsThatMayPreemptMoreAreNotBlocked)
{
    BlockedNeeds blocked;
    addBlocked(blocked, needOf("", 1000, 1));
    CHECK(isBlocked(blocked, needOf("", 1000, 2)));
    CHECK(!isBlocked(blocked, needOf("", 1000, 0)));
    PlacementNeed late = needOf("", 1000, 0);
    late.canPreempt = false;
    CHECK(isBlocked(blocked, late));
    BlockedNeeds blockedLate;
    addBlocked(blockedLate, late);
    CHECK(isBlocked(blockedLate, late));
    CHECK(!isBlocked(blockedLate, needOf("", 1000, 2)));
}

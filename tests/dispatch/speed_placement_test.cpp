#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
/// Above the limit from which on a task has ample slack.
constexpr double longStretch = 10.0;

Worker &workerAt(World &world, std::size_t worker)
{
    WorkerTable &table = world.leader()->dispatcher->workers;
    return table.workers[table.byId.at(world.workers[worker].entry.id)];
}

std::size_t membersOn(const World &world, std::size_t worker, JobId job)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        world.workers[worker].runs, [job](const WorldRun &run) { return run.task.step.job == job; }));
}

JobSpec jobOf(const StepSpec &step)
{
    return {.payload = "p", .steps = {step}};
}

} // namespace

TEST_GROUP(DispatchSpeedPlacement){
    void settle(World & world){for (QueueConfig & queue
                                    : world.configuration.queues){queue.stretch = longStretch;
}
world.run(settleTime);
}
}
;

// Guards against urgent work on slow workers while faster ones are free, and against work with time that takes them.
TEST(DispatchSpeedPlacement, UrgentTasksGetFastWorkersAndOthersSlowOnes)
{
    World world(2, 4);
    settle(world);
    workerAt(world, 1).speed.speedClass = SpeedClass::Fast;
    workerAt(world, 2).speed.speedClass = SpeedClass::Slow;
    world.submit(0, 1, jobOf(stepOf(1, 1000, milliseconds(2000))), "urgent");
    world.submit(0, 2, jobOf(stepOf(1, 1000, milliseconds(2000))), "batch");
    world.run(milliseconds(500));
    CHECK_EQUAL(1, membersOn(world, 1, 1));
    CHECK_EQUAL(1, membersOn(world, 2, 2));
    checkNoViolations(world);
}

// Guards against slow workers that stay idle while urgent work waits.
TEST(DispatchSpeedPlacement, SlowWorkersGetUrgentTasksWhenOthersAreFull)
{
    World world(2, 3);
    settle(world);
    workerAt(world, 0).speed.speedClass = SpeedClass::Slow;
    world.submit(0, 1, jobOf(stepOf(12, 1000, milliseconds(2000))), "urgent");
    world.run(milliseconds(500));
    CHECK_EQUAL(4, membersOn(world, 0, 1));
    checkNoViolations(world);
}

// Guards against a gang that a single slow worker slows down.
TEST(DispatchSpeedPlacement, GangsGetWorkersOfLikeSpeed)
{
    World world(2, 6);
    settle(world);
    workerAt(world, 0).speed.speedClass = SpeedClass::Slow;
    workerAt(world, 1).speed.speedClass = SpeedClass::Slow;
    StepSpec step = stepOf(4, 4000, milliseconds(2000));
    step.gang = true;
    world.submit(0, 1, jobOf(step), "urgent");
    world.run(milliseconds(500));
    CHECK_EQUAL(0, membersOn(world, 0, 1) + membersOn(world, 1, 1));
    CHECK_EQUAL(1, membersOn(world, 5, 1));
    checkNoViolations(world);
}

// Guards against a gang that waits for workers of like speed although it has room.
TEST(DispatchSpeedPlacement, GangsStartOnMixedWorkersIfTheyMust)
{
    World world(2, 6);
    settle(world);
    workerAt(world, 0).speed.speedClass = SpeedClass::Slow;
    workerAt(world, 1).speed.speedClass = SpeedClass::Fast;
    StepSpec step = stepOf(6, 4000, milliseconds(2000));
    step.gang = true;
    world.submit(0, 1, jobOf(step), "batch");
    world.run(milliseconds(500));
    CHECK_EQUAL(6, world.starts);
    checkNoViolations(world);
}

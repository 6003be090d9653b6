#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};

Worker &workerAt(World &world, std::size_t worker)
{
    WorkerTable &table = world.leader()->dispatcher->workers;
    return table.workers[table.byId.at(world.workers[worker].entry.id)];
}

JobSpec jobOf(const StepSpec &step)
{
    return {.payload = "p", .steps = {step}};
}

} // namespace

TEST_GROUP(DispatchRunSpeed){};

// Guards against ends whose durations are not compared, and against a speed that outlives the worker's incarnation.
TEST(DispatchRunSpeed, SpeedsAreLearnedFromEndsAndDiscardedWithTheIncarnation)
{
    World world(2, 6);
    world.run(settleTime);
    world.workers[2].speed = 0.5;
    for (JobId id = 1; id <= 5; ++id) {
        world.submit(0, id, jobOf(stepOf(24, 1000, milliseconds(2000))), "batch");
        world.run(milliseconds(6000));
    }
    for (std::size_t i = 0; i < world.workers.size(); ++i) {
        CHECK((i == 2 ? SpeedClass::Slow : SpeedClass::Usual) == workerAt(world, i).speed.speedClass);
    }
    world.restartWorker(2);
    world.submit(0, 9, jobOf(stepOf(24, 1000, milliseconds(2000))), "batch");
    world.run(milliseconds(1500));
    CHECK(SpeedClass::Usual == workerAt(world, 2).speed.speedClass);
    checkNoViolations(world);
}

// Guards against long runs that show a worker's speed only when they end.
TEST(DispatchRunSpeed, SpeedsAreLearnedFromProgress)
{
    World world(2, 6);
    world.run(settleTime);
    world.workers[2].speed = 0.5;
    world.submit(0, 1, jobOf(stepOf(6, 4000, milliseconds(100000))), "batch");
    world.run(milliseconds(90000));
    CHECK_EQUAL(6, world.starts);
    // A fifth of a run at half of the speed, with the weights of the sample and of the prior: 0.167 / 16.167 *
    // log(0.5).
    DOUBLES_EQUAL(-0.0071, workerAt(world, 2).speed.logSpeed, 0.001);
    for (const std::size_t other : {0, 1, 3, 4, 5}) {
        DOUBLES_EQUAL(0.0, workerAt(world, other).speed.logSpeed, 0.002);
    }
    checkNoViolations(world);
}

// Guards against a worker that counts as slow because its link was cut and its ends were read late.
TEST(DispatchRunSpeed, EndsThatAreReadLateGiveNoSpeed)
{
    World world(2, 6);
    world.run(settleTime);
    world.submit(0, 1, jobOf(stepOf(6, 4000, milliseconds(2000))), "batch");
    world.run(milliseconds(1000));
    world.workers[2].unresponsive = true;
    world.run(milliseconds(2000));
    world.workers[2].unresponsive = false;
    world.run(milliseconds(3000));
    CHECK_EQUAL(0.0, workerAt(world, 2).speed.evidence);
    CHECK(workerAt(world, 3).speed.evidence > 0.0);
    checkNoViolations(world);
}

// Guards against workers that count as slow because their tasks run far from their data or wait for other members.
TEST(DispatchRunSpeed, RunsThatDependOnOtherThingsGiveNoSpeed)
{
    World world(2, 6);
    world.run(settleTime);
    StepSpec near = stepOf(6, 4000, milliseconds(2000));
    near.dataRack = "r0";
    world.submit(0, 1, jobOf(near), "batch");
    world.run(milliseconds(4000));
    CHECK(workerAt(world, 0).speed.evidence > 0.0);
    CHECK_EQUAL(0.0, workerAt(world, 4).speed.evidence);
    const double before = workerAt(world, 0).speed.evidence;
    StepSpec gang = stepOf(6, 4000, milliseconds(2000));
    gang.gang = true;
    world.submit(0, 2, jobOf(gang), "batch");
    world.run(milliseconds(4000));
    CHECK_EQUAL(12, world.starts);
    CHECK_EQUAL(before, workerAt(world, 0).speed.evidence);
    checkNoViolations(world);
}

// Load: equal workers and tasks whose sizes differ by up to 30%. Guards against placements that change although no
// worker is slower or faster than the others.
TEST(DispatchRunSpeed, EqualWorkersStayUsual)
{
    World world(2, 6);
    RandomState sizes{.value = 5};
    world.actualRun = [&sizes](const TaskKey &, std::uint32_t) {
        return WorldRun{.work = milliseconds(1400 + static_cast<std::int64_t>(randomBelow(sizes, 1201)))};
    };
    world.run(settleTime);
    for (JobId id = 1; id <= 20; ++id) {
        world.submit(0, id, jobOf(stepOf(24, 1000, milliseconds(2000))), "batch");
        world.run(milliseconds(3500));
    }
    for (std::size_t i = 0; i < world.workers.size(); ++i) {
        CHECK(workerAt(world, i).speed.evidence > 10.0);
        CHECK(SpeedClass::Usual == workerAt(world, i).speed.speedClass);
    }
    checkNoViolations(world);
}

// Guards against a worker that counts as slow because its ends did not fit into the lists: while the store is
// unreachable, ends aren't acknowledged, and a worker lists 500 of them at a time.
TEST(DispatchRunSpeed, EndsThatDoNotFitIntoTheListGiveNoSpeed)
{
    World world(3, 2);
    world.run(settleTime);
    StepSpec small = stepOf(1200, 5, milliseconds(1500));
    small.size.memoryMib = 1;
    world.submit(0, 0xc4, jobOf(small), "batch");
    world.run(milliseconds(1000));
    world.store.unresponsive = true;
    world.run(milliseconds(4000));
    world.store.unresponsive = false;
    world.run(milliseconds(6000));
    CHECK_EQUAL(1200, world.starts);
    for (std::size_t i = 0; i < world.workers.size(); ++i) {
        DOUBLES_EQUAL(0.0, workerAt(world, i).speed.logSpeed, 0.05);
    }
    checkNoViolations(world);
}

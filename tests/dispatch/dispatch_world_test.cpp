#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};

JobSpec gangOfTwo(milliseconds estimate)
{
    StepSpec gang = stepOf(2, 3000, estimate);
    gang.gang = true;
    return {.payload = "p", .steps = {gang}};
}

std::size_t countEnds(const World &world, RunEnd end)
{
    std::ptrdiff_t count = 0;
    for (const WorldWorker &worker : world.workers) {
        count += std::ranges::count(worker.ends, end, &EndedTask::end);
    }
    return static_cast<std::size_t>(count);
}

} // namespace

// Tests of the simulated platform itself: a world that is too kind hides faults of the scheduler.
TEST_GROUP(DispatchWorld){};

TEST(DispatchWorld, MembersOfAGangEndTogether)
{
    World world(2, 2);
    world.rules.gangs = true;
    world.run(settleTime);
    world.submit(0, 0x1, gangOfTwo(milliseconds(800)), "batch");
    world.actualRun = [](const TaskKey &task, std::uint32_t) {
        return WorldRun{.work = milliseconds(task.index == 0 ? 300 : 800)};
    };
    world.run(milliseconds(600));
    CHECK_EQUAL(2, world.starts);
    CHECK_EQUAL(0, world.doneTasks.size());
    world.run(milliseconds(500));
    CHECK_EQUAL(2, world.doneTasks.size());
}

TEST(DispatchWorld, AGangIsBrokenWhenAMemberIsLost)
{
    World world(2, 2);
    world.rules.gangs = true;
    world.run(settleTime);
    world.submit(0, 0x1, gangOfTwo(milliseconds(5000)), "batch");
    world.run(milliseconds(600));
    // The ends stay listed, because the leader's renewals don't arrive.
    world.workers[1].unreachableFrom = {0, 1};
    world.crashWorker(0);
    world.run(milliseconds(50));
    CHECK_EQUAL(1, countEnds(world, RunEnd::GangBroken));
}

TEST(DispatchWorld, AMemberEndsAloneWithoutTheOthers)
{
    World world(2, 2);
    world.rules.gangs = true;
    world.run(settleTime);
    world.workers[1].refusesFrom = {0, 1};
    world.submit(0, 0x1, gangOfTwo(milliseconds(5000)), "batch");
    for (int i = 0; i < 300 && world.starts == 0; ++i) {
        world.run(milliseconds(1));
    }
    // The leader's stop does not arrive.
    world.workers[0].unreachableFrom = {0, 1};
    CHECK_EQUAL(1, world.starts);
    world.workers[0].leaseUntil = milliseconds(60000);
    world.run(milliseconds(3100));
    CHECK_EQUAL(1, countEnds(world, RunEnd::GangAlone));
}

TEST(DispatchWorld, ALateOrderReachesTheNextIncarnationOnlyIfAllowed)
{
    for (const bool allowed : {false, true}) {
        World world(1, 1);
        world.rules = {.lateOrdersReachNextIncarnation = allowed};
        world.run(settleTime);
        world.rules.lateOrderPercent = 100;
        world.submit(0, 0x1, {.payload = "p", .steps = {stepOf(1, 1000, milliseconds(3000))}}, "batch");
        world.run(milliseconds(400));
        const std::size_t before = world.renewals;
        world.crashWorker(0);
        world.restartWorker(0);
        world.rules.lateOrderPercent = 0;
        world.workers[0].unreachableFrom = {0};
        world.run(milliseconds(13000));
        CHECK_EQUAL(allowed, world.renewals > before || world.starts > 0);
    }
}

TEST(DispatchWorld, ANewIncarnationsClockBeginsAnewAndItsLeasesAreCapped)
{
    World world(1, 1);
    world.rules.ownClocks = true;
    world.run(settleTime);
    world.crashWorker(0);
    world.restartWorker(0);
    world.submit(0, 0x1, {.payload = "p", .steps = {stepOf(1, 1000, milliseconds(3000))}}, "batch");
    world.run(milliseconds(300));
    CHECK_EQUAL(1, world.starts);
    CHECK(world.workers[0].leaseUntil <= milliseconds(6300));
    CHECK_EQUAL(2, world.workers[0].entry.incarnation);
}

// Guards against daemons that share one clock, which hides decisions that compare times of two machines.
TEST(DispatchWorld, DaemonsThatRestartOrJoinHaveClocksOfTheirOwn)
{
    World world(2, 1);
    world.rules.daemonClocks = true;
    world.restart(0);
    const Now before = world.nowAt(0);
    world.restart(0);
    const std::size_t joined = world.addNode();
    CHECK(before.wall != world.nowAt(0).wall);
    CHECK(before.monotonic != world.nowAt(0).monotonic);
    CHECK(world.nowAt(joined).wall != world.nowAt(0).wall);
    CHECK(world.nowAt(joined).monotonic != world.nowAt(0).monotonic);
    CHECK(world.nowAt(1).wall == world.now().wall);
}

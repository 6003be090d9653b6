#include "core/dispatch/placement/place_wait.h"

#include "tests/dispatch/dispatch_world.h"

#include <algorithm>
#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
constexpr std::int64_t wholeWorker = 4000;

PlaceWaitInput usualInput()
{
    return {.freeIn = milliseconds(300),
        .runTime = milliseconds(2000),
        .remoteFactor = 2.0,
        .untilDue = milliseconds(8000),
        .waitLeft = maxPlaceWait};
}

milliseconds chainAfter(const JobSpec &spec, std::uint32_t step)
{
    return remainingPathEstimate(spec, step) - spec.steps[step].estimate;
}

void setRemoteFactor(World &world, double factor)
{
    for (WorldNode &node : world.nodes) {
        node.node->options.bounds.remoteFactor = factor;
    }
}

/// Puts the first `nearCount` workers on the rack "near" and the others on the rack "far".
void setRacks(World &world, std::size_t nearCount)
{
    for (std::size_t i = 0; i < world.workers.size(); ++i) {
        world.workers[i].entry.rack = i < nearCount ? "near" : "far";
    }
}

JobSpec jobNear(std::uint32_t count, std::int64_t cpuMilli, milliseconds estimate)
{
    JobSpec spec{.payload = "n", .steps = {stepOf(count, cpuMilli, estimate)}};
    spec.steps[0].dataRack = "near";
    return spec;
}

JobSpec rackGang(std::uint32_t members, std::int64_t cpuMilli, milliseconds estimate)
{
    JobSpec spec{.payload = "g", .steps = {stepOf(members, cpuMilli, estimate)}};
    spec.steps[0].gang = true;
    spec.steps[0].sameRack = true;
    return spec;
}

/// Number of the job's runs by rack.
std::map<std::string, int> runsByRack(const World &world, JobId job)
{
    std::map<std::string, int> runs;
    for (const WorldWorker &worker : world.workers) {
        const auto count
            = std::ranges::count_if(worker.runs, [job](const WorldRun &run) { return run.task.step.job == job; });
        if (count > 0) {
            runs[worker.entry.rack] += static_cast<int>(count);
        }
    }
    return runs;
}

const DispatchCounters &countersOf(World &world)
{
    return world.leader()->dispatcher->counters;
}

bool isRunning(const World &world, JobId job)
{
    return !runsByRack(world, job).empty();
}

} // namespace

TEST_GROUP(PlaceWait){};

// Guards against an expected end that ignores the rate of progress: estimates are off by half or more.
TEST(PlaceWait, TheRateOfProgressCountsMoreThanTheEstimate)
{
    const RunProgress slow{.estimate = milliseconds(1000),
        .percent = 25,
        .startedAgo = milliseconds(1100),
        .reportedAgo = milliseconds(100)};
    CHECK(expectedTimeLeft(slow) == milliseconds(2900));
    const RunProgress started{.estimate = milliseconds(1000), .startedAgo = milliseconds(400)};
    CHECK(expectedTimeLeft(started) == milliseconds(600));
}

// Guards against a run beyond its estimate that is expected to end at once, however long it has run.
TEST(PlaceWait, ARunBeyondItsEstimateIsExpectedToTakeLonger)
{
    const RunProgress late{.estimate = milliseconds(1000), .startedAgo = milliseconds(4000)};
    CHECK(expectedTimeLeft(late) == milliseconds(1000));
    const RunProgress almostDone{.percent = 99, .startedAgo = milliseconds(3000), .reportedAgo = milliseconds(900)};
    CHECK(expectedTimeLeft(almostDone) == milliseconds(0));
}

// Guards against places that are counted once the first run ends although only several ends make enough room.
TEST(PlaceWait, PlacesBecomeFreeWithTheEndsThatMakeRoom)
{
    const Resources size{.cpuMilli = 2000};
    const std::vector<RunEnding> runs = {{.left = milliseconds(700), .size = {.cpuMilli = 3000}},
        {.left = milliseconds(200), .size = {.cpuMilli = 1000}},
        {.left = milliseconds(400), .size = {.cpuMilli = 1000}}};
    const std::vector<milliseconds> expected = {milliseconds(400), milliseconds(700)};
    CHECK(placeFreeTimes(size, {}, runs, 8) == expected);
    CHECK_EQUAL(1, placeFreeTimes(size, {}, runs, 1).size());
    CHECK(expectedFreeIn(size, {}, runs) == milliseconds(400));
    CHECK(expectedFreeIn(size, {.cpuMilli = 2000}, runs) == milliseconds(0));
    CHECK_FALSE(expectedFreeIn({.cpuMilli = 6000}, {}, runs).has_value());
}

// Named load: few near workers that are free soon. Guards against runs that take twice as long for want of a short
// wait.
TEST(PlaceWait, AShortWaitForALongRunPays)
{
    CHECK_TRUE(paysToWait(usualInput()));
}

// Named load: near workers busy for long. Guards against waits that end without a place.
TEST(PlaceWait, AWaitBeyondTheBoundDoesNotPay)
{
    PlaceWaitInput input = usualInput();
    input.freeIn = milliseconds(700);
    CHECK_FALSE(paysToWait(input));
    input.freeIn = milliseconds(300);
    input.waitLeft = milliseconds(500);
    CHECK_FALSE(paysToWait(input));
}

// Named load: urgent task without slack. Guards against a wait that makes a job late that a start elsewhere would not.
TEST(PlaceWait, ATaskWithoutSlackStartsElsewhere)
{
    PlaceWaitInput input = usualInput();
    input.untilDue = milliseconds(4500);
    CHECK_FALSE(paysToWait(input));
    // The near place is the only one that is in time.
    input.untilDue = milliseconds(3000);
    CHECK_TRUE(paysToWait(input));
    input = usualInput();
    input.runTime = milliseconds(500);
    CHECK_TRUE(paysToWait(input));
    input.isUrgent = true;
    CHECK_FALSE(paysToWait(input));
}

// Guards against a wait that makes the last of a chain's steps late, because only the first one's time was counted.
TEST(PlaceWait, TheStepsThatFollowCountAgainstTheSlack)
{
    JobSpec chain{.payload = "c",
        .steps = {stepOf(1, 100, milliseconds(2000)), stepOf(1, 100, milliseconds(1500)),
            stepOf(1, 100, milliseconds(900)), stepOf(1, 100, milliseconds(2200)), stepOf(1, 100, milliseconds(9000))}};
    chain.steps[1].after = {0};
    chain.steps[2].after = {0};
    chain.steps[3].after = {1, 2};
    CHECK(chainAfter(chain, 0) == milliseconds(3700));
    CHECK(chainAfter(chain, 2) == milliseconds(2200));
    CHECK(chainAfter(chain, 3) == milliseconds(0));
    PlaceWaitInput input = usualInput();
    input.chainAfter = chainAfter(chain, 0);
    CHECK_FALSE(paysToWait(input));
}

// Guards against waits that add up until the platform counts the job as lost.
TEST(PlaceWait, TheBoundsCoverAllWaitsAndTheTimeWithoutARun)
{
    CHECK(placeWaitLeft({}) == maxPlaceWait);
    CHECK(placeWaitLeft({.stepWaited = milliseconds(400)}) == milliseconds(600));
    CHECK(placeWaitLeft({.idleWaited = milliseconds(900)}) == maxPlaceWait);
    CHECK(placeWaitLeft({.idleWaited = milliseconds(900), .idleFor = milliseconds(10)}) == milliseconds(100));
    CHECK(placeWaitLeft({.idleFor = milliseconds(1950)}) == milliseconds(50));
    CHECK(placeWaitLeft({.idleFor = milliseconds(5000)}) == milliseconds(0));
}

TEST_GROUP(PlaceWaitLoads){};

// Named load: few near workers that are free soon.
TEST(PlaceWaitLoads, ATaskWaitsForANearWorkerThatIsFreeSoon)
{
    World world(2, 3);
    setRacks(world, 1);
    setRemoteFactor(world, 2.0);
    world.run(settleTime);
    world.submit(0, 1, jobNear(1, wholeWorker, milliseconds(800)), "batch");
    world.run(milliseconds(400));
    world.submit(0, 2, jobNear(1, wholeWorker, milliseconds(2000)), "batch");
    world.run(milliseconds(200));
    CHECK_FALSE(isRunning(world, 2));
    CHECK_TRUE(world.runUntil([&] { return isRunning(world, 2); }, milliseconds(1000)));
    CHECK_EQUAL(1, runsByRack(world, 2)["near"]);
    CHECK_EQUAL(1, countersOf(world).placeWaits);
    CHECK_EQUAL(1, countersOf(world).placeWaitsNear);
    CHECK_EQUAL(0, countersOf(world).placeWaitsGivenUp);
    checkNoViolations(world);
}

// Named load: near workers busy for long.
TEST(PlaceWaitLoads, NoTaskWaitsForNearWorkersThatAreBusyForLong)
{
    World world(2, 3);
    setRacks(world, 1);
    setRemoteFactor(world, 2.0);
    world.run(settleTime);
    world.submit(0, 1, jobNear(1, wholeWorker, milliseconds(6000)), "batch");
    world.run(milliseconds(400));
    world.submit(0, 2, jobNear(1, wholeWorker, milliseconds(2000)), "batch");
    world.run(milliseconds(200));
    CHECK_EQUAL(1, runsByRack(world, 2)["far"]);
    CHECK_EQUAL(0, countersOf(world).placeWaits);
}

// Named load: urgent task without slack.
TEST(PlaceWaitLoads, AnUrgentTaskWithoutSlackStartsAtOnce)
{
    World world(2, 3);
    setRacks(world, 1);
    setRemoteFactor(world, 2.0);
    // On time with a run elsewhere, but not if it waits before.
    world.configuration.queues[0].target = milliseconds(2300);
    world.run(settleTime);
    world.submit(0, 1, jobNear(1, wholeWorker, milliseconds(800)), "batch");
    world.run(milliseconds(400));
    world.submit(0, 2, jobNear(1, wholeWorker, milliseconds(2000)), "urgent");
    world.run(milliseconds(200));
    CHECK_EQUAL(1, runsByRack(world, 2)["far"]);
    CHECK_EQUAL(0, countersOf(world).preempted);
}

// Guards against a wait that leads to a pre-emption: the task has room elsewhere.
TEST(PlaceWaitLoads, AWaitingTaskPreemptsNothing)
{
    World world(2, 3);
    setRacks(world, 1);
    setRemoteFactor(world, 2.0);
    world.run(settleTime);
    JobSpec filler = jobNear(1, wholeWorker, milliseconds(800));
    filler.steps[0].checkpointed = true;
    world.submit(0, 1, filler, "batch");
    world.run(milliseconds(400));
    world.submit(0, 2, jobNear(1, wholeWorker, milliseconds(3000)), "urgent");
    CHECK_TRUE(world.runUntil([&] { return isRunning(world, 2); }, milliseconds(1200)));
    CHECK_EQUAL(1, runsByRack(world, 2)["near"]);
    CHECK_EQUAL(1, countersOf(world).placeWaits);
    CHECK_EQUAL(0, countersOf(world).preempted);
}

// Named load: many tasks that want one rack. Guards against tasks that all wait for the one place that is free soon.
TEST(PlaceWaitLoads, OnlyAsManyTasksWaitAsNearPlacesAreFreeSoon)
{
    World world(2, 8);
    setRacks(world, 1);
    setRemoteFactor(world, 2.0);
    world.run(settleTime);
    world.submit(0, 1, jobNear(1, wholeWorker, milliseconds(800)), "batch");
    world.run(milliseconds(400));
    for (JobId id = 2; id <= 4; ++id) {
        world.submit(0, id, jobNear(2, wholeWorker, milliseconds(2500)), "batch");
    }
    world.run(milliseconds(200));
    int far = 0;
    for (JobId id = 2; id <= 4; ++id) {
        far += runsByRack(world, id)["far"];
    }
    CHECK_EQUAL(5, far);
    world.run(milliseconds(900));
    int near = 0;
    for (JobId id = 2; id <= 4; ++id) {
        near += runsByRack(world, id)["near"];
    }
    CHECK_EQUAL(1, near);
    checkNoViolations(world);
}

// Guards against a wait that keeps room from another job: the far worker stays free for it.
TEST(PlaceWaitLoads, AnotherJobTakesTheRoomThatAWaitingTaskLeaves)
{
    World world(2, 2);
    setRacks(world, 1);
    setRemoteFactor(world, 2.0);
    world.run(settleTime);
    world.submit(0, 1, jobNear(1, wholeWorker, milliseconds(900)), "batch");
    world.run(milliseconds(400));
    world.submit(0, 2, jobNear(1, wholeWorker, milliseconds(2500)), "urgent");
    world.run(milliseconds(100));
    CHECK_FALSE(isRunning(world, 2));
    world.submit(0, 3, {.payload = "x", .steps = {stepOf(1, wholeWorker, milliseconds(1000))}}, "batch");
    world.run(milliseconds(100));
    CHECK_EQUAL(1, runsByRack(world, 3)["far"]);
    CHECK_TRUE(world.runUntil([&] { return isRunning(world, 2); }, milliseconds(1000)));
    CHECK_EQUAL(1, runsByRack(world, 2)["near"]);
    CHECK_EQUAL(1, countersOf(world).placeWaits);
    CHECK_EQUAL(1, countersOf(world).placeWaitsNear);
    checkNoViolations(world);
}

// Guards against waits without a bound: the run near the data takes far longer than its estimate, and the client's job
// has nothing running meanwhile.
TEST(PlaceWaitLoads, AWaitIsGivenUpWhenTheNearWorkerStaysBusy)
{
    World world(2, 3);
    setRacks(world, 1);
    setRemoteFactor(world, 3.0);
    world.actualRun = [](const TaskKey &, std::uint32_t) { return WorldRun{.work = milliseconds(20000)}; };
    world.run(settleTime);
    world.submit(0, 1, jobNear(1, wholeWorker, milliseconds(800)), "batch");
    world.run(milliseconds(400));
    world.submit(0, 2, jobNear(1, wholeWorker, milliseconds(4000)), "batch");
    world.run(milliseconds(150));
    CHECK_FALSE(isRunning(world, 2));
    CHECK_TRUE(world.runUntil([&] { return isRunning(world, 2); }, maxPlaceWait + milliseconds(200)));
    CHECK_EQUAL(1, runsByRack(world, 2)["far"]);
    CHECK_EQUAL(1, countersOf(world).placeWaits);
    CHECK_EQUAL(1, countersOf(world).placeWaitsGivenUp);
}

// Named load: a gang with sameRack. Guards against a gang that runs on two racks although one is free soon.
TEST(PlaceWaitLoads, AGangWaitsForARackThatIsFreeSoon)
{
    World world(2, 4);
    setRacks(world, 2);
    setRemoteFactor(world, 2.0);
    world.run(settleTime);
    JobSpec longFiller{.payload = "l", .steps = {stepOf(1, wholeWorker, milliseconds(9000))}};
    longFiller.steps[0].dataRack = "far";
    world.submit(0, 1, jobNear(1, wholeWorker, milliseconds(800)), "batch");
    world.submit(0, 2, longFiller, "batch");
    world.run(milliseconds(400));
    world.submit(0, 3, rackGang(2, wholeWorker, milliseconds(2000)), "batch");
    world.run(milliseconds(200));
    CHECK_FALSE(isRunning(world, 3));
    CHECK_TRUE(world.runUntil([&] { return isRunning(world, 3); }, milliseconds(1000)));
    CHECK_EQUAL(2, runsByRack(world, 3)["near"]);
    CHECK_EQUAL(1, countersOf(world).placeWaitsNear);
    checkNoViolations(world);
}

// Guards against a gang that keeps its tickets until they expire, or waits without any, in a queue with advice.
TEST(PlaceWaitLoads, AGangWithTicketsWaitsForARack)
{
    World world(2, 4);
    setRacks(world, 2);
    setRemoteFactor(world, 2.0);
    addAdvisedQueue(
        world, "gangs", {.base = milliseconds(50), .perWorker = milliseconds(1), .ticketValidity = milliseconds(1500)});
    world.adviceTakesTime = true;
    world.run(settleTime);
    JobSpec longFiller{.payload = "l", .steps = {stepOf(1, wholeWorker, milliseconds(9000))}};
    longFiller.steps[0].dataRack = "far";
    world.submit(0, 1, jobNear(1, wholeWorker, milliseconds(700)), "batch");
    world.submit(0, 2, longFiller, "batch");
    world.run(milliseconds(200));
    world.submit(0, 3, rackGang(2, wholeWorker, milliseconds(2500)), "gangs");
    world.run(milliseconds(1000));
    CHECK_EQUAL(1, countersOf(world).placeWaitsNear);
    CHECK_EQUAL(2, runsByRack(world, 3)["near"]);
    checkNoViolations(world);
}

// Guards against a gang that waits although no rack will hold it soon.
TEST(PlaceWaitLoads, AGangStartsOnSeveralRacksIfNoneIsFreeSoon)
{
    World world(2, 4);
    setRacks(world, 2);
    setRemoteFactor(world, 2.0);
    world.run(settleTime);
    world.submit(0, 1, rackGang(3, wholeWorker, milliseconds(2000)), "batch");
    world.run(milliseconds(200));
    CHECK_EQUAL(2, runsByRack(world, 1).size());
    CHECK_EQUAL(0, countersOf(world).placeWaits);
}

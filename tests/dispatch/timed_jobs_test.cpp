#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
constexpr JobId timedJob = 0xd1;
/// The leader's time of day is ahead by this much; the platform allows 5 s on days on which clocks jump.
constexpr milliseconds ahead{3000};

/// The leader's clock is ahead, so that it starts the only occurrence early and is killed before an end is stored.
void startEarlyAndKillTheLeader(World &world, milliseconds dueIn, milliseconds work, bool gang)
{
    world.actualRun = [work](const TaskKey &, std::uint32_t) { return WorldRun{.work = work}; };
    world.run(settleTime);
    const std::size_t first = world.leaderIndex();
    world.nodes[first].wallOffset = ahead;
    JobSpec spec{.payload = "p", .steps = {stepOf(2, 1000, work)}, .repeatCount = 1};
    spec.steps[0].gang = gang;
    spec.firstDue = world.now().wall + dueIn;
    spec.interval = milliseconds(60000);
    world.submit(first, timedJob, spec, "batch");
    CHECK(world.runUntil([&] { return world.starts == 2; }, milliseconds(400)));
    world.run(milliseconds(20));
    world.kill(first);
}

} // namespace

TEST_GROUP(DispatchTimedJobs){};

// Guards against an end that is acknowledged and forgotten because the successor's clock is behind and it has not
// created the occurrence yet: the occurrence starts again when it is due.
TEST(DispatchTimedJobs, AnEndOfAnOccurrenceThatIsNotDueYetIsNotForgotten)
{
    World world(2, 3);
    startEarlyAndKillTheLeader(world, milliseconds(2900), milliseconds(300), false);
    world.run(milliseconds(9000));
    checkNoViolations(world);
}

// The same by the platform's rule: only ends that were acknowledged count, and a gang's end stands for all members.
TEST(DispatchTimedJobs, AnAcknowledgedEndOfAGangThatIsNotDueYetIsNotForgotten)
{
    World world(2, 3);
    world.rules.acknowledgedEndsCount = true;
    world.rules.gangs = true;
    startEarlyAndKillTheLeader(world, milliseconds(2900), milliseconds(300), true);
    world.run(milliseconds(9000));
    checkNoViolations(world);
}

// Guards against a run of an occurrence that the successor has not created yet: the run is stopped as unknown, and the
// occurrence becomes due and starts elsewhere while the stop takes effect.
TEST(DispatchTimedJobs, AnOccurrenceDoesNotStartWhileItsUnknownRunIsStopped)
{
    World world(2, 3);
    world.stopTime = milliseconds(900);
    startEarlyAndKillTheLeader(world, milliseconds(700), milliseconds(8000), false);
    world.run(milliseconds(9000));
    checkNoViolations(world);
}

// Guards against a count of unknown runs that falls below zero, as the run was found before the task existed: the task
// would never start again.
TEST(DispatchTimedJobs, ATaskIsNotBlockedByARunThatWasFoundBeforeItsOccurrence)
{
    World world(2, 3);
    world.stopTime = milliseconds(900);
    startEarlyAndKillTheLeader(world, milliseconds(700), milliseconds(8000), false);
    world.run(milliseconds(4000));
    const Job &job = *world.leader()->dispatcher->jobs.live.at(timedJob);
    for (const Task &task : job.occurrences.at(0).steps[0].tasks) {
        CHECK_EQUAL(0U, task.unknownRuns);
    }
}

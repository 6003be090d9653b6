#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
constexpr JobId longJob = 0xa;
constexpr JobId shortJob = 0xb;
/// Longer than the time after which a task without progress counts as stalled, shorter than the lease of a worker.
constexpr milliseconds silence{3100};

JobSpec oneTask(milliseconds work)
{
    return {.payload = "p", .steps = {stepOf(1, 1000, work)}};
}

Worker &leadersView(World &world)
{
    return world.leader()->dispatcher->workers.workers.front();
}

/// Runs until the leader has just sent a renewal, so that the worker's lease is as long as it gets.
void runUntilRenewal(World &world)
{
    const MonotonicTime before = leadersView(world).renewalSentAt;
    CHECK(world.runUntil([&] { return leadersView(world).renewalSentAt != before; }, milliseconds(3000)));
    world.run(milliseconds(10));
}

} // namespace

TEST_GROUP(DispatchPausedSupervision){};

// Guards against a worker that was only silent: its running work was stopped as stalled and started elsewhere when it
// answered again, because the time in which it reported nothing counted as time without progress.
TEST(DispatchPausedSupervision, RunsOfAWorkerThatWasSilentGoOn)
{
    World world(2, 1);
    world.run(settleTime);
    // It advances by one percent in 2.5 s, so that the first list after the silence shows no progress.
    world.submit(0, longJob, oneTask(milliseconds(250000)), "batch");
    world.run(milliseconds(1500));
    CHECK_EQUAL(1, world.starts);
    runUntilRenewal(world);
    // The worker's VM is suspended; its clock stands still.
    WorldWorker &worker = world.workers.front();
    worker.unresponsive = true;
    worker.stalled = true;
    const milliseconds lease = worker.leaseUntil;
    worker.leaseUntil += silence;
    world.run(silence);
    worker.clockStart += silence;
    worker.leaseUntil = lease;
    worker.unresponsive = false;
    worker.stalled = false;
    world.run(milliseconds(2500));
    CHECK_EQUAL(1, world.starts);
    CHECK(worker.stoppedAttempts.empty());
    CHECK_EQUAL(1, worker.runs.size());
    checkNoViolations(world);
}

// Guards against a leader that was paused and judges its workers by what it knew before: it stopped sound runs as
// stalled.
TEST(DispatchPausedSupervision, ALeaderThatWasPausedReadsTheListsBeforeItStopsRuns)
{
    World world(1, 1);
    world.run(settleTime);
    world.submit(0, longJob, oneTask(milliseconds(9000)), "batch");
    world.run(milliseconds(1000));
    world.submit(0, shortJob, oneTask(milliseconds(8000)), "batch");
    CHECK(world.runUntil([&] { return world.starts == 2; }, milliseconds(500)));
    // The short task ends right after a renewal was sent, so that the lease is long and no renewal is open when the
    // leader is paused.
    runUntilRenewal(world);
    WorldWorker &worker = world.workers.front();
    const auto run = std::ranges::find(worker.runs, shortJob, [](const WorldRun &each) { return each.task.step.job; });
    run->done = run->work;
    CHECK(world.runUntil([&] { return !leadersView(world).renewalOpen; }, milliseconds(100)));
    world.pause(0, silence);
    world.run(silence);
    CHECK(world.runUntil([&] { return world.doneTasks.size() == 2; }, milliseconds(12000)));
    CHECK_EQUAL(2, world.starts);
    checkNoViolations(world);
}

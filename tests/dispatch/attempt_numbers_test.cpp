#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
constexpr JobId job = 0xd7;

/// The worker that runs the job's only task; the number of workers if none does.
std::size_t workerOfRun(const World &world)
{
    const auto found = std::ranges::find_if(
        world.workers, [](const WorldWorker &each) { return each.up && !each.unresponsive && !each.runs.empty(); });
    return static_cast<std::size_t>(found - world.workers.begin());
}

} // namespace

TEST_GROUP(DispatchAttemptNumbers){};

// Guards against two runs of a task with one attempt number: a leader starts the task and is lost with its worker
// before anything is recorded, and the next leader counts on from the same record.
TEST(DispatchAttemptNumbers, LeadersInARowDoNotReuseAnAttemptNumber)
{
    World world(4, 5);
    world.run(settleTime);
    world.submit(0, job, {.payload = "p", .steps = {stepOf(1, 1000, milliseconds(30000))}}, "batch");
    std::uint32_t last = 0;
    for (int leaders = 0; leaders < 3; ++leaders) {
        CHECK(world.runUntil([&] { return workerOfRun(world) < world.workers.size(); }, milliseconds(9000)));
        WorldWorker &worker = world.workers[workerOfRun(world)];
        CHECK(worker.runs[0].attempt > last);
        last = worker.runs[0].attempt;
        worker.unresponsive = true;
        world.kill(world.leaderIndex());
    }
}

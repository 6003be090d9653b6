#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};

void checkNoViolations(const World &world)
{
    for (const std::string &violation : world.violations) {
        FAIL(violation.c_str());
    }
}

/// The worker that runs something; the number of workers if none does.
std::size_t busyWorker(const World &world)
{
    const auto found
        = std::ranges::find_if(world.workers, [](const WorldWorker &worker) { return !worker.runs.empty(); });
    return static_cast<std::size_t>(found - world.workers.begin());
}

/// Runs until the leader has heard the worker, to the millisecond.
bool runUntilContacted(World &world, std::size_t worker)
{
    const std::string id = world.workers[worker].entry.id;
    for (int i = 0; i < 6000; ++i) {
        world.run(milliseconds(1));
        const Node *leader = world.leader();
        if (leader != nullptr && leader->dispatcher->workers.byId.contains(id)
            && leader->dispatcher->workers.workers[leader->dispatcher->workers.byId.at(id)].contacted) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_GROUP(DispatchRepeatedStart){};

// Guards against a successor that takes runs for lost while the lease that the former leader extended lasts: it knows
// that lease from no renewal of its own.
TEST(DispatchRepeatedStart, ASuccessorWaitsForTheLeaseOfTheFormerLeader)
{
    World world(3, 2);
    world.run(settleTime);
    world.submit(0, 0x1, {.payload = "p", .steps = {stepOf(1, 1000, milliseconds(9000))}}, "batch");
    world.run(milliseconds(1500));
    const std::size_t worker = busyWorker(world);
    CHECK(worker < world.workers.size());
    world.kill(world.leaderIndex());
    CHECK(runUntilContacted(world, worker));
    world.workers[worker].refusesFrom.insert(world.leaderIndex());
    world.run(milliseconds(3000));
    checkNoViolations(world);
}

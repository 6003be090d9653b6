#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
constexpr JobId longJob = 0xe1;
/// Longer than a change of leader, a worker's lease and the wait for it together.
constexpr milliseconds longWork{15000};

/// Two daemons; one has started a long task, has just extended its lease, and is killed.
void runUntilTheLeaderIsKilled(World &world)
{
    world.run(settleTime);
    const std::size_t first = world.leaderIndex();
    world.submit(first, longJob, {.payload = "p", .steps = {stepOf(1, 1000, longWork)}}, "batch");
    world.run(milliseconds(250));
    world.kill(first);
}

Worker *workerOf(World &world, std::size_t index)
{
    Node *leader = world.leader();
    if (leader == nullptr) {
        return nullptr;
    }
    WorkerTable &table = leader->dispatcher->workers;
    const auto slot = table.byId.find(world.workers[index].entry.id);
    return slot == table.byId.end() ? nullptr : &table.workers[slot->second];
}

/// The connection to the worker is refused, so the open renewal was not sent, and the worker can't be reached any more.
void refuseOpenRenewal(World &world, std::size_t index)
{
    world.workers[index].unreachableFrom.insert(world.leaderIndex());
    const RenewReply refused{
        .call = workerOf(world, index)->renewalCall, .status = CallStatus::Unreachable, .running = {}, .ended = {}};
    handleRenewReply(*world.leader(), refused, world.now());
}

} // namespace

TEST_GROUP(DispatchInheritedLeases){};

// Guards against a successor that takes inherited runs for lost at once when a worker refuses its connections: it has
// requested no lease itself yet, but the former leader's lease keeps the runs going.
TEST(DispatchInheritedLeases, RunsUnderTheFormerLeadersLeaseAreNotRestartedWhenConnectionsAreRefused)
{
    World world(2, 3);
    runUntilTheLeaderIsKilled(world);
    const std::size_t index = busyWorker(world);
    const auto isRenewing = [&] {
        const Worker *worker = workerOf(world, index);
        return worker != nullptr && worker->contacted && worker->renewalOpen
            && world.leader()->dispatcher->runDiscoveryFinished;
    };
    CHECK(world.runUntil(isRenewing, milliseconds(2000)));
    refuseOpenRenewal(world, index);
    world.run(milliseconds(9000));
    CHECK_EQUAL(2, world.starts);
    checkNoViolations(world);
}

// Guards against a successor that takes inherited runs for lost at once because its own renewals request no lease: its
// claim is not confirmed, as the store does not answer.
TEST(DispatchInheritedLeases, RunsUnderTheFormerLeadersLeaseAreNotRestartedWhileTheClaimIsUnconfirmed)
{
    World world(2, 3);
    runUntilTheLeaderIsKilled(world);
    const std::size_t index = busyWorker(world);
    world.workers[index].unresponsive = true;
    CHECK(world.runUntil([&] { return world.leader() != nullptr; }, milliseconds(2000)));
    world.store.unresponsive = true;
    const auto isUnconfirmed = [&] { return !world.leader()->dispatcher->canExtendLeases; };
    CHECK(world.runUntil(isUnconfirmed, milliseconds(2000)));
    world.workers[index].unresponsive = false;
    const auto isRenewing = [&] { return workerOf(world, index)->contacted && workerOf(world, index)->renewalOpen; };
    CHECK(world.runUntil(isRenewing, milliseconds(1500)));
    refuseOpenRenewal(world, index);
    world.store.unresponsive = false;
    world.run(milliseconds(9000));
    CHECK_EQUAL(2, world.starts);
    checkNoViolations(world);
}

#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};

JobSpec oneTask(milliseconds estimate)
{
    return {.payload = "p", .steps = {stepOf(1, 1000, estimate)}};
}

/// Submits a job of one task and returns the worker that runs it.
std::size_t startTask(World &world, milliseconds work)
{
    world.submit(0, 0x1, oneTask(work), "batch");
    world.run(milliseconds(1500));
    const std::size_t worker = busyWorker(world);
    CHECK(worker < world.workers.size());
    return worker;
}

template <typename Condition>
std::size_t indexOf(const World &world, Condition condition)
{
    const auto found = std::ranges::find_if(world.nodes, condition);
    return static_cast<std::size_t>(found - world.nodes.begin());
}

/// Runs until the daemon leads, to the millisecond.
bool runUntilLeading(World &world, std::size_t node)
{
    for (int i = 0; i < 6000 && !isLeading(*world.nodes[node].node); ++i) {
        world.run(milliseconds(1));
    }
    return isLeading(*world.nodes[node].node);
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

// Guards against a successor that takes runs for lost while the lease that the former leader extended lasts, because it
// knows leases from its own renewals only.
TEST(DispatchRepeatedStart, ASuccessorWaitsForTheLeaseOfTheFormerLeader)
{
    // The time from the takeover to the worker's first answer decides whether the discovery of runs ends in between.
    for (int delay = 0; delay < 200; delay += 20) {
        World world(3, 2);
        world.run(settleTime);
        const std::size_t worker = startTask(world, milliseconds(9000));
        world.kill(world.leaderIndex());
        world.workers[worker].unresponsive = true;
        world.run(milliseconds(600 + delay));
        world.workers[worker].unresponsive = false;
        CHECK(runUntilContacted(world, worker));
        world.workers[worker].refusesFrom.insert(world.leaderIndex());
        world.run(milliseconds(3000));
        checkNoViolations(world);
    }
}

// Guards against runs that count as lost too early on a worker that restarted under its id: until the leader notices,
// it sends lease ends by the clock of the former incarnation, for which the new one grants its longest lease.
TEST(DispatchRepeatedStart, ALeaseByTheClockOfTheFormerIncarnationIsWaitedFor)
{
    World world(3, 2);
    world.rules.ownClocks = true;
    for (WorldWorker &worker : world.workers) {
        worker.clockStart = milliseconds(-400000);
    }
    world.workers[1].unlisted = true;
    world.run(settleTime);
    world.submit(0, 0x1, oneTask(milliseconds(500)), "batch");
    world.run(milliseconds(2000));
    world.crashWorker(0);
    world.run(milliseconds(50));
    world.restartWorker(0);
    world.submit(0, 0x2, oneTask(milliseconds(9000)), "batch");
    CHECK(world.runUntil([&world] { return !world.workers[0].runs.empty(); }, milliseconds(500)));
    // The first start went out before the directory was read again.
    CHECK(world.workers[0].leaseUntil > milliseconds(5500));
    CHECK(runUntilContacted(world, 0));
    world.workers[1].unlisted = false;
    world.run(milliseconds(1000));
    world.workers[0].refusesFrom.insert(world.leaderIndex());
    world.run(milliseconds(6000));
    checkNoViolations(world);
}

// Guards against a leader that goes by the time at which it saw its claim confirmed: a daemon that stood still between
// its claim and the reply extends leases although another daemon leads, which can't reach the worker.
TEST(DispatchRepeatedStart, ALeaderThatStoodStillAfterItsClaimExtendsNoLeases)
{
    World world(3, 2);
    world.run(settleTime);
    const std::size_t worker = startTask(world, milliseconds(12000));
    world.kill(world.leaderIndex());
    for (WorldNode &node : world.nodes) {
        node.pauseAfterWrite = milliseconds(3000);
    }
    const auto isPaused = [](const WorldNode &node) { return node.up && node.paused; };
    CHECK(world.runUntil([&] { return std::ranges::any_of(world.nodes, isPaused); }, milliseconds(2000)));
    const std::size_t paused = indexOf(world, isPaused);
    const std::size_t successor = indexOf(world, [](const WorldNode &node) { return node.up && !node.paused; });
    world.nodes[successor].pauseAfterWrite = {};
    world.nodes[paused].dropsPeerMessages = true;
    world.store.unansweredKeepAlives.insert(paused);
    world.workers[worker].unreachableFrom.insert(successor);
    world.workers[1 - worker].unreachableFrom.insert(paused);
    CHECK(runUntilLeading(world, paused));
    world.store.silentNodes.insert(paused);
    world.run(milliseconds(6000));
    checkNoViolations(world);
}

// Guards against a leader that judges other daemons by messages that were under way for seconds: they say that the
// sender can't reach the store, and it has claimed leadership since.
TEST(DispatchRepeatedStart, LateMessagesOfOtherDaemonsDoNotMakeExtendingLeasesSafe)
{
    World world(2, 2);
    world.run(settleTime);
    const std::size_t worker = startTask(world, milliseconds(12000));
    const std::size_t former = world.leaderIndex();
    const std::size_t successor = 1 - former;
    world.nodes[former].peerLatency = milliseconds(3000);
    world.workers[worker].unreachableFrom.insert(successor);
    // Longer than the leader's last confirmation is valid, so that late messages of this time cover all of the gap.
    world.store.silentNodes = {0, 1};
    world.run(milliseconds(2500));
    world.store.silentNodes = {former};
    world.run(milliseconds(9000));
    checkNoViolations(world);
}

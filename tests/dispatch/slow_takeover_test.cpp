#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
constexpr std::size_t jobCount = 60;
/// By the platform's contract.
constexpr std::size_t largestPayload = 4000;
/// A page of the jobs' records takes over 2 s to arrive.
constexpr std::int64_t slowLink = 100000;

/// Two daemons of which the one that takes over has a slow link, and jobs that wait for a worker.
struct SlowSuccessor
{
    SlowSuccessor()
    {
        world.run(settleTime);
        former = world.leaderIndex();
        for (JobId id = 1; id <= jobCount; ++id) {
            world.submit(former, id, spec, "batch", milliseconds(10000));
        }
        world.run(milliseconds(2000));
        world.nodes[1 - former].pageBytesPerSecond = slowLink;
    }

    JobSpec spec{.payload = std::string(largestPayload, 'p'), .steps = {stepOf(1, 4000, milliseconds(20000))}};
    World world{2, 1};
    std::size_t former = 0;
};

} // namespace

TEST_GROUP(DispatchSlowTakeover){};

// Guards against a takeover that never finishes (review/6): a page of jobs took longer to cross the new leader's link
// than the daemon waited for it, and was requested again and again while the claim was renewed.
TEST(DispatchSlowTakeover, ALeaderOnASlowLinkFinishesItsTakeover)
{
    SlowSuccessor setup;
    World &world = setup.world;
    world.kill(setup.former);
    CHECK(world.runUntil([&] { return world.leader() != nullptr; }, milliseconds(15000)));
    CHECK_EQUAL(jobCount, world.leader()->dispatcher->jobs.live.size());
}

// Guards against attempts that fail before the first one that waits long enough: the capacity of the link is known.
TEST(DispatchSlowTakeover, APageIsRequestedOnceOverALinkOfKnownCapacity)
{
    SlowSuccessor setup;
    World &world = setup.world;
    world.nodes[1 - setup.former].node->options.linkBytesPerSecond = slowLink;
    world.kill(setup.former);
    CHECK(world.runUntil([&] { return world.leader() != nullptr; }, milliseconds(6000)));
    CHECK_EQUAL(jobCount, world.leader()->dispatcher->jobs.live.size());
}

#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
/// The shorter of the platform's bounds within which a change has to be in force everywhere.
constexpr milliseconds applyBound{2000};

std::uint64_t versionAt(const World &world, std::size_t node)
{
    return world.nodes[node].node->configuration.version;
}

} // namespace

TEST_GROUP(DispatchConfigurationWatch){};

// Guards against a read that every heartbeat of a daemon with newer settings starts anew, so that a large configuration
// never arrives over the link of a small VM.
TEST(DispatchConfigurationWatch, HeartbeatsDoNotRestartASlowRead)
{
    constexpr std::size_t slow = 2;
    World world(3, 1);
    world.store.slowLinks.insert(slow);
    world.run(settleTime);
    CHECK(world.leaderIndex() != slow);
    world.configuration.version = 2;
    const std::size_t before = world.store.configurationReads;
    CHECK(world.runUntil([&] { return versionAt(world, world.leaderIndex()) == 2; }, applyBound));
    CHECK(world.runUntil([&] { return versionAt(world, slow) == 2; }, applyBound));
    CHECK_EQUAL(before, world.store.configurationReads);
}

// Guards against a daemon that answers 503 to everyone because it was restarted while the store turns it away.
TEST(DispatchConfigurationWatch, ADaemonThatTheStoreTurnsAwayGetsTheConfigurationFromAnother)
{
    World world(3, 2);
    world.run(settleTime);
    const std::size_t refused = world.leaderIndex() == 2 ? 1 : 2;
    world.store.refusedNodes.insert(refused);
    world.kill(refused);
    world.restart(refused);
    world.nodes[refused].node->options.seeds = {world.nodes[world.leaderIndex()].node->options.endpoint};
    CHECK(world.runUntil([&] { return world.nodes[refused].node->ready; }, applyBound));
    const CallId call
        = world.submit(refused, 0xa, {.payload = "p", .steps = {stepOf(1, 100, milliseconds(50))}}, "urgent");
    world.run(milliseconds(200));
    const auto answer = world.answerTo(call);
    CHECK(answer && answer->outcome == ClientOutcome::Ok);
}

// Guards against a follower with an old version because its watch waits on a connection that went silent.
TEST(DispatchConfigurationWatch, ASilentWatchIsMadeUpForByAnotherDaemon)
{
    World world(3, 1);
    world.run(settleTime);
    const std::size_t leader = world.leaderIndex();
    const std::size_t silent = leader == 0 ? 1 : 0;
    world.store.refusedNodes.insert(silent);
    world.configuration.version = 2;
    CHECK(world.runUntil([&] { return versionAt(world, leader) == 2; }, applyBound));
    CHECK(world.runUntil([&] { return versionAt(world, silent) == 2; }, applyBound));
}

// Guards against settings that a daemon with an older version takes back.
TEST(DispatchConfigurationWatch, AnOlderVersionIsNeverTaken)
{
    World world(2, 1);
    world.run(settleTime);
    Node &node = *world.nodes[0].node;
    node.configuration.version = 5;
    handlePeerMessage(node, "n1", ConfigurationTransfer{.configuration = {.version = 4}}, world.now());
    CHECK_EQUAL(5, node.configuration.version);
}

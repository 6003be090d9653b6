#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
/// A change of the settings has to be in force everywhere within this; the shorter of the platform's two limits.
constexpr milliseconds applyBound{2000};

std::uint64_t versionAt(const World &world, std::size_t node)
{
    return world.nodes[node].node->configuration.version;
}

} // namespace

TEST_GROUP(DispatchConfigurationWatch){};

// Guards against a read that is restarted at each heartbeat of a daemon with newer settings. A large configuration
// would then never arrive over the slow link of a small VM.
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

// Guards against a daemon that answers 503 to all clients because it was restarted while the store refuses its calls.
TEST(DispatchConfigurationWatch, ADaemonThatTheStoreRefusesGetsTheConfigurationFromAnother)
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

// Guards against a follower that keeps an old version because its watch waits on an unresponsive connection.
TEST(DispatchConfigurationWatch, AnUnresponsiveWatchIsReplacedByACopyFromAnotherDaemon)
{
    World world(3, 1);
    world.run(settleTime);
    const std::size_t leader = world.leaderIndex();
    const std::size_t unreachable = leader == 0 ? 1 : 0;
    world.store.refusedNodes.insert(unreachable);
    world.configuration.version = 2;
    CHECK(world.runUntil([&] { return versionAt(world, leader) == 2; }, applyBound));
    CHECK(world.runUntil([&] { return versionAt(world, unreachable) == 2; }, applyBound));
}

// Guards against settings that are replaced by an older version from another daemon.
TEST(DispatchConfigurationWatch, AnOlderVersionIsNeverApplied)
{
    World world(2, 1);
    world.run(settleTime);
    Node &node = *world.nodes[0].node;
    node.configuration.version = 5;
    handlePeerMessage(node, "n1", ConfigurationTransfer{.configuration = {.version = 4}}, world.now());
    CHECK_EQUAL(5, node.configuration.version);
}

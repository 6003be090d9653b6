#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
constexpr std::size_t daemons = 7;
constexpr std::size_t seedCount = 3;
/// The leader reports that its writes fail after 0.65 s, is replaced within 0.9 s and resigns 1.2 s after most daemons
/// have left it; then come two turns of the search of 0.3 s and half a second for messages.
constexpr milliseconds searchTime{4000};

void setSeeds(World &world)
{
    std::vector<Endpoint> seeds;
    for (std::size_t i = 0; i < seedCount; ++i) {
        seeds.push_back(world.nodes[i].node->options.endpoint);
    }
    for (WorldNode &node : world.nodes) {
        node.node->options.seeds = seeds;
    }
}

} // namespace

TEST_GROUP(DispatchLeaderSearch){};

// Guards against clients that are rejected for as long as a part of the daemons can't reach the store: these daemons
// stayed with the former leader, which can't reach it either, and did not learn who leads now.
TEST(DispatchLeaderSearch, ADaemonWithoutTheStoreFindsTheNextLeaderThroughASeed)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        World world(daemons, 2, seed);
        world.rules = {.messagesNeedConnections = true};
        setSeeds(world);
        world.run(settleTime);
        const std::size_t former = world.leaderIndex();
        const std::size_t cut = former == daemons - 1 ? daemons - 2 : daemons - 1;
        world.store.silentNodes = {former, cut};
        world.run(searchTime);
        CHECK(world.leader() != nullptr);
        CHECK(world.leaderIndex() != former);
        for (const std::size_t at : {former, cut}) {
            const CallId call
                = world.submit(at, 0x10 + at, {.payload = "p", .steps = {stepOf(1, 100, milliseconds(100))}}, "urgent");
            world.run(milliseconds(300));
            const auto answer = world.answerTo(call);
            CHECK(answer && answer->outcome == ClientOutcome::Ok);
        }
        checkNoViolations(world);
    }
}

// Guards against a search that ends a connection to the leader, or that leaves it for good when no seed knows more.
TEST(DispatchLeaderSearch, TheKnownLeaderIsDialledAgainBetweenSeeds)
{
    World world(daemons, 2);
    setSeeds(world);
    world.run(settleTime);
    const std::size_t leader = world.leaderIndex();
    const std::size_t follower = leader == daemons - 1 ? daemons - 2 : daemons - 1;
    Node &node = *world.nodes[follower].node;
    // The link to the leader breaks for longer than several turns, while all know the leader.
    for (int i = 0; i < 20; ++i) {
        world.nodes[follower].connected = false;
        handleNodeDisconnected(node, world.nodes[leader].node->options.name, world.now());
        node.dialled = {};
        world.run(milliseconds(60));
    }
    world.run(milliseconds(1000));
    CHECK(node.leadership.leaderConnected);
    const CallId call
        = world.submit(follower, 0x10, {.payload = "p", .steps = {stepOf(1, 100, milliseconds(100))}}, "urgent");
    world.run(milliseconds(300));
    const auto answer = world.answerTo(call);
    CHECK(answer && answer->outcome == ClientOutcome::Ok);
}

#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
constexpr milliseconds turn{1};
const Endpoint leaderEndpoint{.ip = "10.1.0.1", .port = 1};

} // namespace

TEST_GROUP(DispatchRetryPauses){};

// Guards against a follower that dials a leader that is gone again and again without a pause. An attempt is refused
// within a round trip; one daemon was seen at 39% of a core.
TEST(DispatchRetryPauses, ALeaderThatRefusesConnectionsIsDialledWithPauses)
{
    Node node;
    node.options = {.name = "self", .endpoint = {.ip = "10.1.0.9", .port = 9}};
    Now now{.monotonic = MonotonicTime(milliseconds(5000)), .wall = WallTime(milliseconds(5000))};
    handleNodeConnected(node, "first", now);
    handlePeerMessage(node, "first",
        Presence{.node = "first", .leader = {.token = 5, .node = "first", .endpoint = leaderEndpoint}}, now);
    handleNodeDisconnected(node, "first", now);
    int attempts = 0;
    for (int passed = 0; passed < 1000; ++passed, now.monotonic += turn) {
        tick(node, now);
        for (const Action &action : takeActions(node)) {
            const auto *dialled = std::get_if<DialNode>(&action);
            if (dialled != nullptr && dialled->endpoint == leaderEndpoint) {
                ++attempts;
                handleDialFailure(node, leaderEndpoint, true, now);
            }
        }
    }
    CHECK(attempts >= 5);
    CHECK(attempts <= 11);
}

// Guards against a new leader that reads the records of jobs again without a pause while the store refuses its calls.
TEST(DispatchRetryPauses, RecordsAreReadAgainWithPausesWhileTheStoreRefuses)
{
    World world(1, 1);
    CHECK(world.runUntil([&] { return world.nodes[0].node->leadership.phase == ClaimPhase::LoadingJobs; }, settleTime));
    world.store.refusedNodes = {0};
    const std::size_t before = world.store.calls;
    world.run(milliseconds(500));
    // One read in 50 ms, and the keep-alives and polls of the claim, the settings, the members and the directory.
    CHECK(world.store.calls - before < 40);
    world.store.refusedNodes.clear();
    CHECK(world.runUntil([&] { return world.leader() != nullptr; }, settleTime));
}

#include "core/dispatch/succession.h"
#include "tests/dispatch/dispatch_world.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};

} // namespace

TEST_GROUP(DispatchClaimFreshness){};

// Guards against a daemon that was frozen between the write of its claim and the reply, and that extends leases after
// its claim's lease has ended because it counts the lease from the arrival of the reply.
TEST(DispatchClaimFreshness, AClaimWhoseReplyWasReadLateDoesNotAllowExtensions)
{
    World world(3, 2);
    world.run(settleTime);
    world.kill(world.leaderIndex());
    const auto claiming = [&] {
        return std::ranges::find_if(world.nodes,
            [](const WorldNode &each) { return each.up && each.node->leadership.phase == ClaimPhase::WritingClaim; });
    };
    for (int i = 0; i < 3000 && claiming() == world.nodes.end(); ++i) {
        world.run(milliseconds(1));
    }
    CHECK(claiming() != world.nodes.end());
    WorldNode &claimant = *claiming();
    claimant.paused = true;
    claimant.dropsPeerMessages = true;
    const std::uint64_t term = world.store.items.at("wk/ctl/term").revision;
    world.run(milliseconds(10));
    CHECK(world.store.items.at("wk/ctl/term").revision > term);
    CHECK(world.runUntil([&] { return world.leader() != nullptr; }, milliseconds(4000)));
    claimant.paused = false;
    for (int i = 0; i < 100 && !claimant.node->dispatcher; ++i) {
        world.run(milliseconds(1));
    }
    CHECK(claimant.node->dispatcher != nullptr);
    CHECK_FALSE(isLeaseExtensionSafe(*claimant.node, world.now()));
}

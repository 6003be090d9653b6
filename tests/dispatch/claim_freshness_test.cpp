#include "core/dispatch/leadership.h"
#include "core/dispatch/succession.h"
#include "tests/dispatch/dispatch_world.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
/// Longer than a claim counts as confirmed.
constexpr milliseconds claimOutdated{2000};

constexpr std::string_view foreignClaim = "n0 10.9.9.9 7";
const Endpoint foreignEndpoint{.ip = "10.9.9.9", .port = 7};

/// Writes the claim of another process that has the name n0, too.
std::uint64_t writeForeignClaim(World &world, std::string_view term)
{
    const std::uint64_t revision = ++world.store.revision;
    world.store.items["wk/ctl/leader"] = {.value = std::string(foreignClaim), .revision = revision};
    world.store.items["wk/ctl/term"] = {.value = std::string(term), .revision = revision};
    return revision;
}

/// A leader whose claim was last confirmed long ago, with one follower.
struct LeaderWithOldClaim
{
    LeaderWithOldClaim()
    {
        world.run(settleTime);
        leader = world.leader();
        other = world.leaderIndex() == 0 ? "n1" : "n0";
        leader->dispatcher->claimConfirmedAt = world.now().monotonic - claimOutdated;
    }

    void report(bool storeFailing, std::uint64_t echo)
    {
        handlePeerMessage(*leader, other,
            Presence{.node = other, .leader = leader->leadership.leader, .storeFailing = storeFailing, .echo = echo},
            world.now());
    }

    bool isSafe() const { return isLeaseExtensionSafe(*leader, world.now()); }

    World world{2, 0};
    Node *leader = nullptr;
    std::string other;
};

/// The leader starts two long tasks; the other daemon of two can't reach their workers.
void startRunsThatTheSuccessorCannotReach(World &world, JobId job)
{
    const std::size_t former = world.leaderIndex();
    world.submit(former, job, {.payload = "p", .steps = {stepOf(2, 1000, milliseconds(15000))}}, "batch");
    world.run(milliseconds(500));
    for (WorldWorker &worker : world.workers) {
        if (!worker.runs.empty()) {
            worker.unreachableFrom.insert(former == 0 ? 1 : 0);
        }
    }
}

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

// Guards against two leaders that both keep runs alive: a leader that was frozen in an outage of the store resumes,
// reads reports that were sent before another daemon claimed, and takes them for new ones.
TEST(DispatchClaimFreshness, ReportsThatWaitedInASocketDoNotAllowExtensions)
{
    World world(2, 2);
    world.run(settleTime);
    const std::size_t former = world.leaderIndex();
    const std::size_t successor = former == 0 ? 1 : 0;
    world.store.down = true;
    world.run(milliseconds(2500));
    CHECK(world.nodes[former].node->dispatcher->canExtendLeases);
    world.nodes[former].paused = true;
    world.run(milliseconds(400));
    world.nodes[former].dropsPeerMessages = true;
    world.store.down = false;
    world.store.refusedNodes.insert(former);
    CHECK(world.runUntil([&] { return isLeading(*world.nodes[successor].node); }, milliseconds(4000)));
    // Until here the reports may still count, as a takeover waits 1 s longer than the leases last.
    world.run(milliseconds(1000));
    world.nodes[former].paused = false;
    for (int i = 0; i < 300 && world.nodes[former].node->dispatcher; ++i) {
        world.run(milliseconds(1));
        CHECK_FALSE(isLeaseExtensionSafe(*world.nodes[former].node, world.now()));
    }
}

// Guards against a stricter rule that stops all extensions in an outage of the store that every daemon sees.
TEST(DispatchClaimFreshness, LeasesAreExtendedWhileAllDaemonsReportAnOutage)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        World world(5, 2, seed);
        world.run(settleTime);
        const std::size_t leader = world.leaderIndex();
        world.store.down = true;
        world.run(milliseconds(2500));
        for (int i = 0; i < 200; ++i) {
            world.run(milliseconds(10));
            CHECK(world.nodes[leader].node->dispatcher->canExtendLeases);
        }
    }
}

// Guards against a report without proof of its age, as daemons of the previous version send it.
TEST(DispatchClaimFreshness, AReportWithoutAKnownEchoProvesNothing)
{
    LeaderWithOldClaim setup;
    setup.report(true, 0);
    CHECK_FALSE(setup.isSafe());
    setup.report(true, setup.leader->presenceNumber + 1);
    CHECK_FALSE(setup.isSafe());
    setup.report(true, setup.leader->presenceNumber);
    CHECK(setup.isSafe());
}

// Guards against a report that another connection delivers after a newer one.
TEST(DispatchClaimFreshness, AReportThatWasOvertakenProvesNothing)
{
    LeaderWithOldClaim setup;
    setup.report(false, setup.leader->presenceNumber);
    setup.report(true, setup.leader->presenceNumber);
    CHECK_FALSE(setup.isSafe());
}

// Guards against a daemon that the store's list does not contain yet, but that has connected and may claim.
TEST(DispatchClaimFreshness, AConnectedDaemonOutsideTheListCanLead)
{
    LeaderWithOldClaim setup;
    std::erase_if(setup.leader->membership.members, [&](const Member &member) { return member.name == setup.other; });
    CHECK_FALSE(setup.isSafe());
    handleNodeDisconnected(*setup.leader, setup.other, setup.world.now());
    handleNodeConnected(*setup.leader, "n9", setup.world.now());
    handleNodeDisconnected(*setup.leader, "n9", setup.world.now());
    CHECK_FALSE(setup.isSafe());
}

// Guards against a claim that is executed before a report of its writer that the store fails.
TEST(DispatchClaimFreshness, ADaemonThatIsClaimingDoesNotReportAFailingStore)
{
    World world(1, 0);
    Node &node = *world.nodes[0].node;
    node.leadership.pollFailed = true;
    CHECK(presenceOf(node).storeFailing);
    node.leadership.phase = ClaimPhase::WritingClaim;
    CHECK_FALSE(presenceOf(node).storeFailing);
}

// Guards against two leaders with one fencing token: after a planned replacement the old process takes the claim of the
// new one, which has its name, for its own claim whose reply was lost.
TEST(DispatchClaimFreshness, AClaimOfAnotherProcessOfTheSameNameIsNotAdopted)
{
    for (const std::string_view term : {"n0", "n0 1"}) {
        World world(1, 2);
        world.run(settleTime);
        Node &node = *world.nodes[0].node;
        CHECK(isLeading(node));
        world.store.leases.clear();
        const std::uint64_t token = writeForeignClaim(world, term);
        for (int i = 0; i < 400; ++i) {
            world.run(milliseconds(1));
            CHECK_FALSE(node.dispatcher && node.dispatcher->token == token);
        }
    }
}

// Guards against the same adoption once the claim of the other process has ended and only the term shows it.
TEST(DispatchClaimFreshness, ATermOfAnotherProcessOfTheSameNameIsNotAdopted)
{
    for (const std::string_view term : {"n0", "n0 1"}) {
        World world(1, 2);
        world.run(settleTime);
        Node &node = *world.nodes[0].node;
        CHECK(isLeading(node));
        world.store.leases.clear();
        world.store.items.erase("wk/ctl/leader");
        world.store.items["wk/ctl/term"] = {.value = std::string(term), .revision = ++world.store.revision};
        CHECK(world.runUntil([&] { return !node.dispatcher; }, milliseconds(400)));
    }
}

// Guards against a daemon that replaces the claim of a running process because it has the same name.
TEST(DispatchClaimFreshness, AClaimOfTheSameNameAtAnotherEndpointIsNotReplaced)
{
    World world(1, 0);
    Node &node = *world.nodes[0].node;
    for (int i = 0; i < 3000 && node.leadership.phase != ClaimPhase::ReadingControl; ++i) {
        world.run(milliseconds(1));
    }
    CHECK(node.leadership.phase == ClaimPhase::ReadingControl);
    const std::uint64_t token = writeForeignClaim(world, "n0 1");
    world.run(milliseconds(50));
    CHECK(world.store.items.at("wk/ctl/leader").value == foreignClaim);
    CHECK_EQUAL(token, node.leadership.leader.token);
}

// Guards against a daemon that takes such a claim for one of its former process and waits to replace it.
TEST(DispatchClaimFreshness, ALeaderOfTheSameNameAtAnotherEndpointIsFollowed)
{
    World world(1, 0);
    Node &node = *world.nodes[0].node;
    const LeaderInfo claim{.token = 40, .node = "n0", .endpoint = foreignEndpoint, .identity = 1};
    followLeader(node, claim, world.now());
    CHECK_EQUAL(40, node.leadership.leader.token);
    CHECK_FALSE(node.leadership.claimMissing);
    CHECK_EQUAL(40, presenceOf(node).leader.token);
}

// Guards against a restarted daemon that does not replace the claim of its former process on the same VM.
TEST(DispatchClaimFreshness, AClaimOfAFormerProcessAtThisEndpointIsReplaced)
{
    World world(1, 0);
    Node &node = *world.nodes[0].node;
    const LeaderInfo claim{.token = 40, .node = "n0", .endpoint = node.options.endpoint, .identity = 1};
    followLeader(node, claim, world.now());
    CHECK_EQUAL(0, node.leadership.leader.token);
    CHECK(node.leadership.claimMissing);
}

// Guards against two runs of one task: a leader whose claim was replaced while its lease lasted has its keep-alives
// answered, takes its claim for confirmed and extends leases of workers that its successor can't reach.
TEST(DispatchClaimFreshness, AKeepAliveDoesNotConfirmAClaimThatWasReplaced)
{
    World world(2, 4);
    world.run(settleTime);
    const std::size_t former = world.leaderIndex();
    const std::size_t successor = former == 0 ? 1 : 0;
    startRunsThatTheSuccessorCannotReach(world, 0xe1);
    world.store.refusedWriters.insert(former);
    world.submit(former, 0xe2, {.payload = "p", .steps = {stepOf(1, 1000, milliseconds(300))}}, "batch");
    const Leadership &leadership = world.nodes[successor].node->leadership;
    for (int i = 0; i < 4000 && leadership.phase == ClaimPhase::Following; ++i) {
        world.run(milliseconds(1));
    }
    CHECK(leadership.phase != ClaimPhase::Following);
    world.nodes[former].dropsPeerMessages = true;
    world.nodes[successor].dropsPeerMessages = true;
    world.run(milliseconds(9000));
    CHECK_EQUAL(successor, world.leaderIndex());
    checkNoViolations(world);
}

// Guards against two runs of one task: a leader whose claim has ended opens a new lease, but the store refuses to write
// the claim under it. The keep-alives of this lease succeed and seem to confirm the claim.
TEST(DispatchClaimFreshness, AKeepAliveDoesNotConfirmAClaimThatWasNotWrittenAgain)
{
    World world(2, 4);
    world.run(settleTime);
    const std::size_t former = world.leaderIndex();
    const std::size_t successor = former == 0 ? 1 : 0;
    startRunsThatTheSuccessorCannotReach(world, 0xe3);
    world.store.refusedWriters.insert(former);
    world.nodes[former].dropsPeerMessages = true;
    world.nodes[successor].dropsPeerMessages = true;
    world.store.leases.at(world.nodes[former].node->leadership.lease).first = world.time;
    world.run(milliseconds(9000));
    CHECK_EQUAL(successor, world.leaderIndex());
    checkNoViolations(world);
}

// Guards against a leader that never writes its claim again after the store has refused it once.
TEST(DispatchClaimFreshness, AClaimThatTheStoreRefusedIsWrittenLater)
{
    World world(1, 2);
    world.run(settleTime);
    world.store.refusedWriters.insert(0);
    world.store.leases.at(world.nodes[0].node->leadership.lease).first = world.time;
    world.run(milliseconds(600));
    CHECK_FALSE(world.store.items.contains("wk/ctl/leader"));
    world.store.refusedWriters.clear();
    world.run(milliseconds(600));
    CHECK(world.store.items.contains("wk/ctl/leader"));
    CHECK(isLeading(*world.nodes[0].node));
}

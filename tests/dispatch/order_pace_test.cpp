#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
constexpr milliseconds fast{9};
constexpr milliseconds slow{200};

MonotonicTime at(int milli)
{
    return MonotonicTime(milliseconds(milli));
}

} // namespace

// Load pattern: a burst of jobs with payloads at a leader whose link carries less than the burst.
TEST_GROUP(DispatchOrderPace){};

// Guards against a retry storm: starts queue up on the leader's link until they time out, and each one that times out
// costs a stop and another start.
TEST(DispatchOrderPace, ABurstOverASlowLinkIsPaced)
{
    World world(2, 40);
    // A start of 800 bytes on a link of 0.8 Mbit/s.
    const std::string payload(420, 'p');
    world.startTransfer = milliseconds(8);
    for (const WorldNode &node : world.nodes) {
        node.node->options.linkBytesPerSecond = 100000;
    }
    world.run(settleTime);
    constexpr JobId jobs = 30;
    constexpr std::uint32_t tasks = 10;
    for (JobId id = 1; id <= jobs; ++id) {
        world.submit(0, id, {.payload = payload, .steps = {stepOf(tasks, 500, milliseconds(1000))}}, "batch");
    }
    CHECK(world.runUntil([&] { return world.doneTasks.size() == jobs * tasks; }, milliseconds(12000)));
    CHECK_EQUAL(0, world.leader()->dispatcher->counters.startsUnanswered);
    CHECK_EQUAL(jobs * tasks, world.starts);
    checkNoViolations(world);
}

// A gang's starts are sent together, so its last ones wait for the first ones on the link.
TEST(DispatchOrderPace, TimeoutsFollowTheLatencyOfALoadedLink)
{
    OrderLatency latency;
    const milliseconds unloaded = orderTimeout(latency);
    for (int i = 0; i < 100; ++i) {
        recordStartReply(latency, slow);
    }
    CHECK(orderTimeout(latency) > unloaded);
    for (int i = 0; i < 100; ++i) {
        recordStartReply(latency, fast);
    }
    CHECK(orderTimeout(latency) == unloaded);
}

TEST(DispatchOrderPace, OtherMessagesLeaveLessForStarts)
{
    LinkBudget budget{.bytesPerSecond = 10000};
    refill(budget, at(1000));
    CHECK(hasRoom(budget));
    spend(budget, 10000);
    CHECK_FALSE(hasRoom(budget));
    refill(budget, at(1500));
    CHECK_FALSE(hasRoom(budget));
    refill(budget, at(2500));
    CHECK(hasRoom(budget));
    // An idle link does not save up more than a short burst.
    refill(budget, at(100000));
    spend(budget, 1000);
    CHECK_FALSE(hasRoom(budget));
}

TEST(DispatchOrderPace, AnUnknownLinkHoldsNothingBack)
{
    LinkBudget budget;
    spend(budget, 1000000);
    refill(budget, at(1));
    CHECK(hasRoom(budget));
}

TEST(DispatchOrderPace, SizesFollowWhatAMessageCarries)
{
    const std::string payload(1000, 'x');
    CHECK(estimatedSize(StartRun{.payload = payload}) > estimatedSize(StartRun{}) + 999);
    const StoreTransaction transaction{.writes = {{.key = "k", .value = payload}}};
    CHECK(estimatedSize(transaction) > 1333);
    CHECK_EQUAL(0, estimatedSize(ReadinessChanged{}));
    CHECK(estimatedSize(SendToNode{.node = "n", .body = ForwardedCall{.call = {.record = payload}}}) > 1000);
}

#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};

} // namespace

TEST_GROUP(DispatchWorkerAddress){};

// Guards against a restarted worker whose unanswered starts are stopped at its former address (review/8): the stops had
// no effect, and the tasks waited for them.
TEST(DispatchWorkerAddress, UnansweredStartsAreStoppedAtTheNewAddress)
{
    World world(2, 1);
    world.run(settleTime);
    world.workers[0].unresponsive = true;
    world.submit(0, 0x81, {.payload = "p", .steps = {stepOf(1, 1000, milliseconds(1000))}}, "batch");
    world.run(milliseconds(200));
    Node &leader = *world.leader();
    CHECK_EQUAL(1, leader.dispatcher->counters.startsOrdered);
    WorkerEntry entry = world.workers[0].entry;
    ++entry.incarnation;
    entry.endpoint.port += 100;
    updateWorkers(*leader.dispatcher, std::array{entry}, world.now().monotonic);
    std::vector<Endpoint> stoppedAt;
    for (const Action &action : leader.outbox.actions) {
        if (const auto *stop = std::get_if<StopRun>(&action)) {
            stoppedAt.push_back(stop->worker.endpoint);
        }
    }
    CHECK_EQUAL(1, stoppedAt.size());
    CHECK(stoppedAt.front() == entry.endpoint);
}

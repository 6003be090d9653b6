#include "core/dispatch/records.h"
#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

/// Workers' clocks are further than their longest lease by then, and their leases are bounded.
constexpr milliseconds settleTime{10000};
constexpr JobId firstJob = 0x71;
constexpr JobId laterJob = 0x72;
/// Longer than all leases, takeovers and waits together.
constexpr milliseconds longWork{20000};
/// One task on each worker.
constexpr std::int64_t largeTask = 3000;

JobSpec specOf(std::uint32_t count)
{
    return {.payload = "p", .steps = {stepOf(count, largeTask, longWork)}};
}

/// Two workers; the first one starts again under its id, and the leader has not noticed it yet.
struct RestartedWorker
{
    RestartedWorker()
    {
        world.rules.ownClocks = true;
        world.run(settleTime);
        leader = world.leaderIndex();
        world.crashWorker(0);
        world.restartWorker(0);
    }

    /// Submits a job and runs until all of its tasks were started.
    void start(JobId id, std::uint32_t tasks)
    {
        const std::size_t before = world.starts;
        world.submit(leader, id, specOf(tasks), "batch");
        CHECK(world.runUntil([&] { return world.starts == before + tasks; }, milliseconds(3000)));
    }

    /// No daemon reaches the restarted worker from now on; it runs on. The other one has room.
    void cutWorker()
    {
        for (WorldRun &run : world.workers[1].runs) {
            run.work = milliseconds(0);
        }
        for (std::size_t node = 0; node < world.nodes.size(); ++node) {
            world.workers[0].unreachableFrom.insert(node);
        }
    }

    void loseLeaderAndWorker()
    {
        world.kill(leader);
        cutWorker();
    }

    World world{3, 2};
    std::size_t leader = 0;
};

std::int64_t recordedIncarnation(const World &world, std::string_view id)
{
    const auto found = world.store.items.find(std::string(workersKey));
    CHECK(found != world.store.items.end());
    std::string problem;
    const std::vector<WorkerEntry> entries = decodeWorkers(found->second.value, problem);
    const auto entry = std::ranges::find(entries, id, &WorkerEntry::id);
    CHECK(entry != entries.end());
    return entry->incarnation;
}

/// Runs a job of one task until it was started, and kills the leader. Returns the worker that runs the task.
std::size_t startAndLoseLeader(World &world)
{
    const std::size_t leader = world.leaderIndex();
    world.submit(leader, firstJob, specOf(1), "batch");
    CHECK(world.runUntil([&] { return world.starts == 1; }, milliseconds(500)));
    const std::size_t worker = busyWorker(world);
    world.kill(leader);
    return worker;
}

} // namespace

TEST_GROUP(DispatchFormerLifeCalls){};

// Guards against a task that runs twice (issue 42): a start that was meant for a worker's former life is carried out by
// the next one. The time until which it may run is far ahead on the new clock, so it gets the longest lease, and a
// successor that counted on the lease that leaders request started the task again while it ran.
TEST(DispatchFormerLifeCalls, AStartThatReachesTheNextLifeIsNotRepeatedByASuccessor)
{
    RestartedWorker setup;
    setup.start(firstJob, 2);
    setup.loseLeaderAndWorker();
    setup.world.run(milliseconds(9000));
    CHECK_EQUAL(3, setup.world.starts);
    checkNoViolations(setup.world);
}

// Guards against the same for a task that is started after the leader has noticed the restart: it runs under the lease
// that the worker got before.
TEST(DispatchFormerLifeCalls, ATaskUnderALeaseThatWasMeantForTheFormerLifeIsNotRepeatedByASuccessor)
{
    RestartedWorker setup;
    World &world = setup.world;
    world.actualRun = [](const TaskKey &task, std::uint32_t) {
        return WorldRun{.work = task.step.job == firstJob ? milliseconds(50) : longWork};
    };
    setup.start(firstJob, 2);
    CHECK(world.runUntil([&] { return world.workers[0].runs.empty(); }, milliseconds(500)));
    setup.start(laterJob, 2);
    CHECK_FALSE(world.workers[0].runs.empty());
    CHECK_EQUAL(world.workers[0].entry.incarnation,
        world.leader()
            ->dispatcher->workers.workers[world.leader()->dispatcher->workers.byId.at("w0")]
            .entry.incarnation);
    setup.loseLeaderAndWorker();
    // The successor has only the record of the workers.
    world.workers[0].unlisted = true;
    world.run(milliseconds(9000));
    checkNoViolations(world);
}

// Guards against a record that lets a successor count on short leases of a new life too early, or never.
TEST(DispatchFormerLifeCalls, TheRecordNamesALifeOnceItsLeasesAreBounded)
{
    RestartedWorker setup;
    World &world = setup.world;
    const std::int64_t former = world.workers[0].entry.incarnation - 1;
    CHECK_EQUAL(former, recordedIncarnation(world, "w0"));
    setup.start(firstJob, 2);
    world.run(milliseconds(1500));
    CHECK_EQUAL(0, recordedIncarnation(world, "w0"));
    world.run(DispatchBounds{}.maxWorkerLease);
    CHECK_EQUAL(former + 1, recordedIncarnation(world, "w0"));
    CHECK_EQUAL(1, recordedIncarnation(world, "w1"));
}

// Guards against takeovers that wait for the longest lease beside each unreachable worker: most have not started again,
// and their tasks, like all inherited ones, would start seconds later.
TEST(DispatchFormerLifeCalls, ATakeoverWaitsOnlyForTheRequestedLeaseOfAWorkerThatDidNotRestart)
{
    World world(3, 3);
    world.rules.ownClocks = true;
    world.run(settleTime);
    const std::size_t worker = startAndLoseLeader(world);
    world.crashWorker(worker);
    // Detection and claim 1 s, the lease by a clock that is 2% slow 3.6 s, the margin 1 s; the longest lease would take
    // 2.5 s more.
    CHECK(world.runUntil([&] { return world.starts == 2; }, milliseconds(6000)));
    checkNoViolations(world);
}

// Guards against the same wait beside workers that have just joined (soak seed 9416): nobody has known a former life of
// them, but two takeovers in a row waited for their longest leases.
TEST(DispatchFormerLifeCalls, ATakeoverWaitsOnlyForTheRequestedLeaseOfAWorkerThatHasJustJoined)
{
    World world(3, 1);
    world.rules.ownClocks = true;
    world.run(settleTime);
    const std::size_t worker = world.addWorker();
    world.addWorker();
    world.run(milliseconds(1000));
    CHECK_EQUAL(world.workers[worker].entry.incarnation, recordedIncarnation(world, world.workers[worker].entry.id));
    const std::size_t busy = startAndLoseLeader(world);
    world.crashWorker(busy);
    world.crashWorker(worker);
    CHECK(world.runUntil([&] { return world.starts == 2; }, milliseconds(6000)));
    checkNoViolations(world);
}

// Guards against a successor that counts on the longest lease of a worker that it has contacted and that is lost then.
TEST(DispatchFormerLifeCalls, TasksOfAWorkerThatIsLostAfterATakeoverStartAgainAfterTheRequestedLease)
{
    World world(3, 3);
    world.rules.ownClocks = true;
    world.run(settleTime);
    const std::size_t worker = startAndLoseLeader(world);
    const auto isTakenOver = [&] {
        const Node *next = world.leader();
        return next != nullptr && next->dispatcher->runDiscoveryFinished;
    };
    CHECK(world.runUntil(isTakenOver, milliseconds(3000)));
    world.crashWorker(worker);
    // The lease by a clock that is 2% slow takes 3.6 s, a renewal that is under way 1.7 s.
    CHECK(world.runUntil([&] { return world.starts == 2; }, milliseconds(5500)));
    checkNoViolations(world);
}

// Guards against the same by the leader that ordered the start, when the worker is cut off before the directory shows
// its restart: the leader counted on the former life's lease. The clock in the reply to the start shows the restart.
TEST(DispatchFormerLifeCalls, AStartThatReachesTheNextLifeIsNotRepeatedByItsLeader)
{
    RestartedWorker setup;
    World &world = setup.world;
    setup.start(firstJob, 2);
    world.run(milliseconds(10));
    CHECK_EQUAL(setup.leader, world.leaderIndex());
    world.workers[0].unlisted = true;
    setup.cutWorker();
    world.run(milliseconds(9000));
    CHECK_EQUAL(3, world.starts);
    checkNoViolations(world);
}

// Guards against replies to the stops that follow a restart counting as another one, because the clock that was read
// last is the former life's.
TEST(DispatchFormerLifeCalls, AStopOfAnUnansweredStartDoesNotShowAnotherRestart)
{
    World world(2, 1);
    world.rules.ownClocks = true;
    world.run(settleTime);
    world.workers[0].unresponsive = true;
    world.submit(0, firstJob, specOf(1), "batch");
    world.run(milliseconds(200));
    CHECK_EQUAL(1, world.leader()->dispatcher->counters.startsOrdered);
    world.crashWorker(0);
    world.restartWorker(0);
    const Worker &worker = world.leader()->dispatcher->workers.workers[0];
    const auto isNoticed = [&] { return worker.entry.incarnation == world.workers[0].entry.incarnation; };
    for (int i = 0; i < 1000 && !isNoticed(); ++i) {
        world.run(milliseconds(1));
    }
    CHECK(isNoticed());
    const MonotonicTime detectedAt = worker.incarnationDetectedAt;
    world.run(milliseconds(3000));
    CHECK(worker.incarnationDetectedAt == detectedAt);
    CHECK_EQUAL(1, world.starts);
}

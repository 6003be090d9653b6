#include "core/dispatch/records.h"
#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
/// More than one list of ends holds.
constexpr std::uint32_t manyTasks = 800;
constexpr milliseconds taskTime{2000};
/// Longer than a new leader waits for workers that it can't contact.
constexpr milliseconds discoveryTime{6000};
constexpr JobId job = 0x800;

/// A world whose workers have ended more tasks than one list holds, and whose leader, which ordered them, is paused
/// before it has read any of these ends.
struct UnreadEnds
{
    explicit UnreadEnds(std::size_t workerCount)
        : world(3, workerCount)
    {
        world.run(settleTime);
        former = world.leaderIndex();
        JobSpec spec{.payload = "p", .steps = {stepOf(manyTasks, 4, taskTime)}};
        spec.steps[0].size.memoryMib = 1;
        world.submit(former, job, spec, "batch");
        world.run(milliseconds(1700));
        CHECK_EQUAL(manyTasks, world.starts);
        world.pause(former, milliseconds(4000));
    }

    bool isDone()
    {
        const auto answer = world.ask(former == 0 ? 1 : 0, ClientCallKind::Query, job);
        return answer && answer->state == JobState::Done;
    }

    /// Runs until another daemon leads and has contacted the worker, whose first list is full.
    void runUntilTakeover()
    {
        CHECK(world.runUntil(
            [this] {
                Node *leading = world.leader();
                return leading != nullptr && leading != world.nodes[former].node.get()
                    && !leading->dispatcher->workers.workers.empty()
                    && leading->dispatcher->workers.workers[0].lastEnd > 0;
            },
            milliseconds(5000)));
    }

    World world;
    std::size_t former = 0;
};

} // namespace

TEST_GROUP(DispatchPartialLists){};

// Guards against a new leader that takes a full list of ends for all ends of a worker, and starts the tasks whose ends
// the list omits again.
TEST(DispatchPartialLists, ANewLeaderReadsAllEndsBeforeItStartsInheritedTasks)
{
    UnreadEnds ends(1);
    CHECK(ends.world.runUntil([&ends] { return ends.isDone(); }, milliseconds(15000)));
    CHECK_EQUAL(manyTasks, ends.world.starts);
    checkNoViolations(ends.world);
}

// Guards against the same while the ends can't be stored: they can't be acknowledged either, so that the worker goes
// on listing the first ones, beyond the time in which unreachable workers are waited for.
TEST(DispatchPartialLists, UnreadEndsOfAContactedWorkerHaveNoDeadline)
{
    UnreadEnds ends(1);
    ends.runUntilTakeover();
    for (std::size_t node = 0; node < ends.world.nodes.size(); ++node) {
        ends.world.store.refusedWriters.insert(node);
    }
    ends.world.run(discoveryTime);
    ends.world.store.refusedWriters.clear();
    CHECK(ends.world.runUntil([&ends] { return ends.isDone(); }, milliseconds(15000)));
    CHECK_EQUAL(manyTasks, ends.world.starts);
    checkNoViolations(ends.world);
}

// Guards against a leader that stops reading the lists of a worker that has left the directory once the first ends are
// stored, and against records of the workers from which it is missing.
TEST(DispatchPartialLists, UnreadEndsOfAWorkerOutsideTheDirectoryAreRead)
{
    UnreadEnds ends(2);
    for (WorldWorker &worker : ends.world.workers) {
        worker.unlisted = true;
    }
    ends.runUntilTakeover();
    const Worker &worker = ends.world.leader()->dispatcher->workers.workers[0];
    CHECK(!worker.listed);
    CHECK(isRecorded(worker));
    CHECK(ends.world.runUntil([&ends] { return ends.isDone(); }, milliseconds(15000)));
    CHECK_EQUAL(manyTasks, ends.world.starts);
    checkNoViolations(ends.world);
}

// Guards against a gang that is started again after its end, because the full lists of all of its workers show its
// members neither as running nor as ended.
TEST(DispatchPartialLists, AGangWhoseEndsAreNotListedYetIsNotStartedAgain)
{
    constexpr std::uint32_t members = 3;
    constexpr JobId gangJob = 0x900;
    World world(3, members);
    world.rules.gangs = true;
    world.rules.acknowledgedEndsCount = true;
    world.run(settleTime);
    const std::size_t former = world.leaderIndex();
    JobSpec singles{.payload = "p", .steps = {stepOf(members * manyTasks, 2, taskTime)}};
    singles.steps[0].size.memoryMib = 1;
    singles.steps[0].maxPerWorker = manyTasks;
    world.submit(former, job, singles, "batch");
    world.run(milliseconds(1000));
    // It ends after the single tasks and before another daemon leads.
    JobSpec gang{.payload = "g", .steps = {stepOf(members, 100, milliseconds(1500))}};
    gang.steps[0].gang = true;
    gang.steps[0].maxPerWorker = 1;
    world.submit(former, gangJob, gang, "urgent");
    world.run(milliseconds(600));
    const std::size_t starts = world.starts;
    CHECK_EQUAL(members * (manyTasks + 1), starts);
    world.pause(former, milliseconds(4000));
    const std::size_t other = former == 0 ? 1 : 0;
    const auto isDone = [&world, other](JobId id) {
        const auto answer = world.ask(other, ClientCallKind::Query, id);
        return answer && answer->state == JobState::Done;
    };
    CHECK(world.runUntil([&] { return isDone(job) && isDone(gangJob); }, milliseconds(15000)));
    CHECK_EQUAL(starts, world.starts);
    checkNoViolations(world);
}

// Guards against waiting for the remaining ends of a worker that has crashed, and against starting its tasks before its
// lease has expired.
TEST(DispatchPartialLists, UnreadEndsOfALostWorkerAreAwaitedUntilItsLeaseExpires)
{
    UnreadEnds ends(2);
    ends.runUntilTakeover();
    ends.world.crashWorker(0);
    ends.world.crashWorker(1);
    const std::size_t added = ends.world.addWorker();
    ends.world.run(milliseconds(3000));
    CHECK_EQUAL(manyTasks, ends.world.starts);
    CHECK(ends.world.runUntil([&ends] { return ends.world.starts > manyTasks; }, milliseconds(10000)));
    CHECK(!ends.world.workers[added].runs.empty());
}

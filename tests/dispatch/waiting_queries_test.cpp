#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
constexpr JobId job = 0x1;
/// Longest wait of a query, with the turns of the loop and the messages between the daemons.
constexpr milliseconds longestAnswer{600};
/// Time from the end of a run until its record is stored and the client has the answer.
constexpr milliseconds endShownWithin{150};

JobSpec jobOf(milliseconds work)
{
    return {.payload = "p", .steps = {stepOf(1, 1000, work)}};
}

std::size_t followerOf(const World &world)
{
    return world.leaderIndex() == 0 ? 1 : 0;
}

/// A world in which the job has just started.
struct RunningJob
{
    World world;

    explicit RunningJob(const JobSpec &spec, std::size_t nodes = 2)
        : world(nodes, 2)
    {
        world.run(settleTime);
        world.submit(0, job, spec, "batch");
        CHECK(world.runUntil([this] { return world.starts > 0; }, milliseconds(2000)));
        world.run(milliseconds(50));
    }

    /// Time until the answer to a query, which must come.
    milliseconds timeUntilAnswer(CallId query)
    {
        const milliseconds asked = world.time;
        CHECK(world.runUntil([&] { return world.answerTo(query).has_value(); }, milliseconds(4000)));
        return world.time - asked;
    }

    void checkState(CallId query, JobState state) { CHECK(world.answerTo(query)->state == state); }
};

} // namespace

// Load pattern: clients that ask for a job's state from time to time, and most of all when it should have ended.
TEST_GROUP(DispatchWaitingQueries){};

// Guards against an end that is shown only with the client's next query, a quarter of a second or more after it was
// stored: an urgent job of 0.6 s was late because of it.
TEST(DispatchWaitingQueries, AQueryBeforeTheEndIsAnsweredOnceTheEndIsStored)
{
    for (const bool throughFollower : {false, true}) {
        RunningJob running(jobOf(milliseconds(400)));
        World &world = running.world;
        world.run(milliseconds(100));
        const std::size_t at = throughFollower ? followerOf(world) : world.leaderIndex();
        const CallId query = world.call(at, ClientCallKind::Query, job, "batch");
        CHECK(running.timeUntilAnswer(query) < milliseconds(300) + endShownWithin);
        running.checkState(query, JobState::Done);
        checkNoViolations(world);
    }
}

TEST(DispatchWaitingQueries, AQueryOfALongJobIsAnsweredAfterItsWait)
{
    RunningJob running(jobOf(milliseconds(5000)));
    const CallId query = running.world.call(followerOf(running.world), ClientCallKind::Query, job, "batch");
    CHECK(running.timeUntilAnswer(query) <= longestAnswer);
    running.checkState(query, JobState::Running);
}

// Guards against a client that asks with little time and gets no answer before its deadline.
TEST(DispatchWaitingQueries, AQueryWaitsForAFractionOfItsDeadlineOnly)
{
    RunningJob running(jobOf(milliseconds(5000)));
    World &world = running.world;
    const std::size_t at = followerOf(world);
    const CallId query = world.nodes[at].node->outbox.newCall();
    handleClientCall(*world.nodes[at].node,
        {.call = query, .kind = ClientCallKind::Query, .queue = "batch", .job = job}, milliseconds(400), world.now());
    CHECK(running.timeUntilAnswer(query) <= milliseconds(200));
    running.checkState(query, JobState::Running);
}

TEST(DispatchWaitingQueries, AQueryOfAWaitingJobIsAnsweredAtOnce)
{
    World world(2, 1);
    world.run(settleTime);
    // Two tasks that don't fit on the worker together.
    world.submit(0, 0x2, {.payload = "p", .steps = {stepOf(1, 3000, milliseconds(5000))}}, "batch");
    world.run(milliseconds(500));
    world.submit(0, job, {.payload = "p", .steps = {stepOf(1, 3000, milliseconds(5000))}}, "batch");
    world.run(milliseconds(500));
    const CallId query = world.call(0, ClientCallKind::Query, job, "batch");
    CHECK(world.runUntil([&] { return world.answerTo(query).has_value(); }, milliseconds(100)));
    CHECK(world.answerTo(query)->state == JobState::Queued);
}

// A service ends only when its client cancels it, so there is nothing to wait for.
TEST(DispatchWaitingQueries, AQueryOfAServiceIsAnsweredAtOnce)
{
    JobSpec service = jobOf(milliseconds(5000));
    service.steps.front().longRunning = true;
    RunningJob running(service);
    const CallId query = running.world.call(followerOf(running.world), ClientCallKind::Query, job, "batch");
    CHECK(running.timeUntilAnswer(query) < milliseconds(100));
    running.checkState(query, JobState::Running);
}

TEST(DispatchWaitingQueries, ACancellationAnswersWaitingQueries)
{
    RunningJob running(jobOf(milliseconds(5000)));
    World &world = running.world;
    const CallId query = world.call(followerOf(world), ClientCallKind::Query, job, "batch");
    world.run(milliseconds(50));
    world.call(0, ClientCallKind::Cancel, job, "batch");
    CHECK(running.timeUntilAnswer(query) < endShownWithin);
    running.checkState(query, JobState::Cancelled);
}

// Guards against a query that waits at a leader that ends, and gets no answer or a wrong one.
TEST(DispatchWaitingQueries, AQueryThatWaitsIsAnsweredByTheNextLeader)
{
    for (const bool graceful : {false, true}) {
        RunningJob running(jobOf(milliseconds(300)), 3);
        World &world = running.world;
        const std::size_t leader = world.leaderIndex();
        const CallId query = world.call(followerOf(world), ClientCallKind::Query, job, "batch");
        world.run(milliseconds(20));
        if (graceful) {
            beginShutdown(*world.nodes[leader].node, world.now());
        } else {
            world.kill(leader);
        }
        CHECK(running.timeUntilAnswer(query) < milliseconds(3000));
        CHECK(world.answerTo(query)->outcome == ClientOutcome::Ok);
        checkNoViolations(world);
    }
}

TEST(DispatchWaitingQueries, ADaemonThatShutsDownAnswersItsWaitingQueries)
{
    RunningJob running(jobOf(milliseconds(20000)));
    World &world = running.world;
    const std::size_t at = followerOf(world);
    const CallId query = world.call(at, ClientCallKind::Query, job, "batch");
    beginShutdown(*world.nodes[at].node, world.now());
    CHECK(running.timeUntilAnswer(query) <= longestAnswer);
    CHECK(world.nodes[at].node->entries.empty());
}

// Guards against memory that grows with the number of clients that ask again and again.
TEST(DispatchWaitingQueries, WaitingQueriesAreBoundedInNumber)
{
    RunningJob running(jobOf(milliseconds(20000)));
    World &world = running.world;
    Dispatcher &dispatcher = *world.leader()->dispatcher;
    const std::size_t leader = world.leaderIndex();
    constexpr std::size_t queries = 10000;
    constexpr std::size_t bound = 8192;
    for (std::size_t i = 0; i < queries; ++i) {
        world.call(leader, ClientCallKind::Query, job, "batch");
    }
    CHECK_EQUAL(bound, dispatcher.waitingQueries.size());
    world.run(milliseconds(50));
    CHECK(world.answers.size() >= queries - bound);
    world.run(longestAnswer);
    CHECK(world.answers.size() >= queries);
    CHECK(dispatcher.waitingQueries.empty());
    CHECK(dispatcher.jobs.live.at(job)->waitingQueries.empty());
}

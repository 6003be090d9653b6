#include "core/dispatch/placement/worker_room.h"
#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};

JobSpec gang(std::uint32_t members, std::int64_t cpuMilli, milliseconds estimate)
{
    StepSpec step = stepOf(members, cpuMilli, estimate);
    step.gang = true;
    return {.payload = "g", .steps = {step}};
}

JobState stateOf(World &world, JobId id)
{
    const auto answer = world.ask(0, ClientCallKind::Query, id);
    CHECK(answer && answer->outcome == ClientOutcome::Ok);
    return answer->state;
}

} // namespace

TEST_GROUP(DispatchPlacement){};

// Guards against a gang that is started in part, so that some members hold room while the others wait.
TEST(DispatchPlacement, GangsStartWholeOrNotAtAll)
{
    World world(2, 4);
    world.run(settleTime);
    // Four workers of 4 cores: two gangs of 3 x 2.5 cores can't run at the same time.
    world.submit(0, 1, gang(3, 2500, milliseconds(1000)), "batch");
    world.submit(0, 2, gang(3, 2500, milliseconds(1000)), "batch");
    world.run(milliseconds(400));
    std::set<JobId> running;
    for (const WorldWorker &worker : world.workers) {
        for (const WorldRun &run : worker.runs) {
            running.insert(run.task.step.job);
        }
    }
    CHECK_EQUAL(1, running.size());
    world.run(milliseconds(3000));
    CHECK(stateOf(world, 1) == JobState::Done);
    CHECK(stateOf(world, 2) == JobState::Done);
    CHECK_EQUAL(6, world.starts);
    checkNoViolations(world);
}

// Guards against urgent tasks that wait for less urgent ones although those could resume from a checkpoint.
TEST(DispatchPlacement, UrgentTasksPreemptCheckpointedOnes)
{
    World world(2, 2);
    world.run(settleTime);
    JobSpec filler{.payload = "f", .steps = {stepOf(8, 1000, milliseconds(6000))}};
    filler.steps[0].checkpointed = true;
    world.submit(0, 1, filler, "batch");
    world.run(milliseconds(2000));
    world.submit(0, 2, {.payload = "u", .steps = {stepOf(2, 1000, milliseconds(300))}}, "urgent");
    CHECK(world.runUntil([&] { return stateOf(world, 2) == JobState::Done; }, milliseconds(1500)));
    checkNoViolations(world);
}

// Guards against the start of a step before all tasks of its preceding steps are done.
TEST(DispatchPlacement, StepsFollowTheirPredecessors)
{
    World world(2, 2);
    world.run(settleTime);
    JobSpec chain{.payload = "c", .steps = {stepOf(3, 500, milliseconds(300)), stepOf(2, 500, milliseconds(200))}};
    chain.steps[1].after = {0};
    world.submit(0, 1, chain, "batch");
    world.run(milliseconds(250));
    for (const WorldWorker &worker : world.workers) {
        for (const WorldRun &run : worker.runs) {
            CHECK_EQUAL(0U, run.task.step.step);
        }
    }
    world.run(milliseconds(1500));
    CHECK(stateOf(world, 1) == JobState::Done);
    CHECK_EQUAL(5, world.starts);
}

// Guards against more tasks of a step on one worker than the step's `maxPerWorker`.
TEST(DispatchPlacement, TheTaskLimitPerWorkerIsKept)
{
    World world(2, 4);
    world.run(settleTime);
    JobSpec spread{.payload = "s", .steps = {stepOf(4, 500, milliseconds(2000))}};
    spread.steps[0].maxPerWorker = 1;
    world.submit(0, 1, spread, "batch");
    world.run(milliseconds(600));
    for (const WorldWorker &worker : world.workers) {
        CHECK(worker.runs.size() <= 1);
    }
    CHECK_EQUAL(4, world.starts);
}

// Guards against jobs that use up their attempts on a worker where every run fails.
TEST(DispatchPlacement, AFailingWorkerDoesNotExhaustAJobsAttempts)
{
    World world(2, 6);
    world.run(settleTime);
    world.workers[0].failsAll = true;
    for (JobId id = 1; id <= 30; ++id) {
        world.submit(0, id, {.payload = "x", .steps = {stepOf(2, 1000, milliseconds(200))}}, "batch");
        world.run(milliseconds(60));
    }
    world.run(milliseconds(4000));
    for (JobId id = 1; id <= 30; ++id) {
        CHECK(stateOf(world, id) == JobState::Done);
    }
}

// Guards against runs without progress that hold their room forever.
TEST(DispatchPlacement, AStalledTaskIsStartedOnAnotherWorker)
{
    World world(2, 2);
    world.run(settleTime);
    world.workers[0].stalled = true;
    world.submit(0, 1, {.payload = "x", .steps = {stepOf(4, 1000, milliseconds(1500))}}, "batch");
    CHECK(world.runUntil([&] { return stateOf(world, 1) == JobState::Done; }, milliseconds(12000)));
    checkNoViolations(world);
}

// Guards against a late rejection of a task that is larger than every worker and so can never run.
TEST(DispatchPlacement, AJobThatFitsNoWorkerIsRejectedAtOnce)
{
    World world(2, 2);
    world.run(settleTime);
    const CallId call = world.submit(0, 1, {.payload = "x", .steps = {stepOf(1, 9000, milliseconds(100))}}, "urgent");
    world.run(milliseconds(50));
    const auto answer = world.answerTo(call);
    CHECK(answer && answer->outcome == ClientOutcome::Impossible);
}

TEST_GROUP(AdviceChannels){};

namespace
{

bool isNeeded(const AdviceRequest &)
{
    return true;
}

} // namespace

// Guards against an urgent request that waits because long requests occupy every channel.
TEST(AdviceChannels, LongRequestsLeaveAChannelForShortOnes)
{
    Advisor advisor;
    const std::vector<std::string> nodes = {"", "a", "b"};
    setAdviceChannels(advisor, nodes);
    WorkerTable workers;
    Outbox outbox;
    const MonotonicTime now{milliseconds(1000)};
    for (JobId id = 1; id <= 3; ++id) {
        advisor.waiting.push_back(
            {.step = {.job = id}, .workers = {}, .priority = 1, .expectedTime = milliseconds(700)});
    }
    sendWaitingRequests(advisor, workers, outbox, now, isNeeded);
    CHECK_EQUAL(1, advisor.waiting.size());
    advisor.waiting.push_back({.step = {.job = 9}, .workers = {}, .priority = 0, .expectedTime = milliseconds(15)});
    sendWaitingRequests(advisor, workers, outbox, now, isNeeded);
    CHECK_EQUAL(1, advisor.waiting.size());
    CHECK_EQUAL(1U, advisor.waiting.front().step.job >= 1 && advisor.waiting.front().step.job <= 3);
}

// Guards against requests that are lost with the daemon through which they were sent.
TEST(AdviceChannels, RequestsOfALostDaemonAreQueuedAgain)
{
    Advisor advisor;
    const std::vector<std::string> nodes = {"", "a"};
    setAdviceChannels(advisor, nodes);
    WorkerTable workers;
    Outbox outbox;
    const MonotonicTime now{milliseconds(1000)};
    for (JobId id = 1; id <= 2; ++id) {
        advisor.waiting.push_back({.step = {.job = id}, .workers = {}, .expectedTime = milliseconds(15)});
    }
    sendWaitingRequests(advisor, workers, outbox, now, isNeeded);
    CHECK(advisor.waiting.empty());
    const std::vector<std::string> left = {""};
    setAdviceChannels(advisor, left);
    CHECK_EQUAL(1, advisor.waiting.size());
}

// Guards against a gang whose tickets expire one after the other and so are never valid together: the adviser takes
// nearly half of a ticket's validity, and the gang first waits for room.
TEST(DispatchPlacement, AGangThatWaitedHasAllTicketsValidTogether)
{
    World world(2, 8);
    addAdvisedQueue(world, "gangs",
        {.base = milliseconds(575), .perWorker = milliseconds(6), .ticketValidity = milliseconds(1500)});
    world.adviceTakesTime = true;
    world.run(settleTime);
    for (JobId id = 1; id <= 3; ++id) {
        world.submit(0, id, gang(16, 1800, milliseconds(1700)), "gangs");
    }
    CHECK(world.runUntil(
        [&] {
            return stateOf(world, 1) == JobState::Done && stateOf(world, 2) == JobState::Done
                && stateOf(world, 3) == JobState::Done;
        },
        milliseconds(14000)));
    checkNoViolations(world);
}

#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
constexpr std::size_t workerCount = 6;
constexpr JobId failingJob = 0xf;
/// Time after its start at which a hopeless task fails.
constexpr milliseconds timeToFail{60};
/// The platform asks for a start within 3 s where there is room.
constexpr milliseconds startBound{3000};
constexpr JobId firstJob = 0x100;

/// A world in which all runs of some jobs fail soon or never advance.
struct FailingJobs
{
    FailingJobs()
    {
        world.actualRun = [this](const TaskKey &task, std::uint32_t) {
            const JobId job = task.step.job;
            WorldRun run{.work = milliseconds(400)};
            if (hopeless.contains(job)) {
                run = {.work = timeToFail, .willFail = true};
            } else if (slow.contains(job)) {
                run = {.work = std::chrono::hours(1)};
            }
            return run;
        };
        world.run(settleTime);
    }

    std::size_t countAvoided()
    {
        const Now now = world.now();
        return static_cast<std::size_t>(std::ranges::count_if(world.leader()->dispatcher->workers.workers,
            [&now](const Worker &worker) { return worker.health.avoidUntil > now.monotonic; }));
    }

    /// Submits a job of one short task each second and checks that each is done in time.
    void checkThatJobsEnd(
        std::uint32_t count, const std::function<void()> &eachSecond = [] {})
    {
        for (std::uint32_t i = 0; i < count; ++i) {
            eachSecond();
            const JobId job = firstJob + i;
            world.submit(0, job, {.payload = "p", .steps = {stepOf(1, 500, milliseconds(400))}}, "batch");
            const bool done = world.runUntil(
                [&] {
                    mostAvoided = std::max(mostAvoided, countAvoided());
                    const auto answer = world.ask(0, ClientCallKind::Query, job);
                    return answer && answer->state == JobState::Done;
                },
                startBound);
            CHECK(done);
            world.run(milliseconds(600));
        }
        checkNoViolations(world);
    }

    World world{3, workerCount};
    std::set<JobId> hopeless;
    std::set<JobId> slow;
    std::size_t mostAvoided = 0;
};

JobSpec service(std::uint32_t tasks)
{
    JobSpec spec{.payload = "s", .steps = {stepOf(tasks, 200, milliseconds(1000000))}};
    spec.steps[0].longRunning = true;
    return spec;
}

} // namespace

TEST_GROUP(DispatchFailingJobs){};

// Guards against a service whose tasks fail everywhere, and that keeps all workers from all starts.
TEST(DispatchFailingJobs, AServiceThatAlwaysFailsDoesNotKeepWorkersFromStarts)
{
    FailingJobs jobs;
    jobs.hopeless.insert(failingJob);
    jobs.world.submit(0, failingJob, service(12), "batch");
    jobs.checkThatJobsEnd(15);
    CHECK_EQUAL(0, jobs.mostAvoided);
}

// Guards against restarting such a service without pause, and against giving its restarts up.
TEST(DispatchFailingJobs, AServiceThatAlwaysFailsIsRestartedEverLessOften)
{
    FailingJobs jobs;
    jobs.hopeless.insert(failingJob);
    jobs.world.submit(0, failingJob, service(1), "batch");
    jobs.world.run(milliseconds(20000));
    // 50 ms doubled up to 2 s are 6 restarts in 3.2 s, then one each 2 s.
    CHECK(jobs.world.starts <= 18);
    const std::size_t before = jobs.world.starts;
    jobs.world.run(milliseconds(6000));
    CHECK(jobs.world.starts >= before + 2);
    checkNoViolations(jobs.world);
}

// Guards against tasks that stand still on every worker, and that keep all workers from all starts.
TEST(DispatchFailingJobs, AJobThatStandsStillEverywhereDoesNotKeepWorkersFromStarts)
{
    FailingJobs jobs;
    jobs.slow.insert(failingJob);
    jobs.world.submit(0, failingJob, {.payload = "p", .steps = {stepOf(12, 200, milliseconds(400))}}, "batch");
    jobs.checkThatJobsEnd(15);
    CHECK_EQUAL(0, jobs.mostAvoided);
}

// Guards against many jobs that fail, each for itself, and that keep all workers from all starts.
TEST(DispatchFailingJobs, ManyHopelessJobsLeaveHalfOfTheWorkersInUse)
{
    FailingJobs jobs;
    JobId next = 0x1000;
    jobs.checkThatJobsEnd(20, [&jobs, &next] {
        for (int i = 0; i < 10; ++i) {
            jobs.hopeless.insert(next);
            jobs.world.submit(0, next++, {.payload = "p", .steps = {stepOf(1, 500, milliseconds(400))}}, "batch");
        }
    });
    CHECK(jobs.mostAvoided <= workerCount / 2);
}

// Guards against a worker that fails all that it starts and still gets starts, because failures are blamed on the jobs.
TEST(DispatchFailingJobs, AWorkerThatFailsTheTasksOfSeveralJobsIsAvoided)
{
    FailingJobs jobs;
    jobs.world.workers[0].failsAll = true;
    for (JobId job = 1; job <= 8; ++job) {
        jobs.world.submit(0, job, {.payload = "p", .steps = {stepOf(3, 1000, milliseconds(400))}}, "batch");
        jobs.world.run(milliseconds(500));
    }
    CHECK(jobs.world.leader()->dispatcher->workers.workers[0].health.nextAvoidance > milliseconds(0));
    CHECK_EQUAL(1, jobs.countAvoided());
}

// Guards against the same with a single job: its tasks fail on one worker only, while they run on the others.
TEST(DispatchFailingJobs, AWorkerThatAloneFailsTheTasksOfOneJobIsAvoided)
{
    FailingJobs jobs;
    jobs.world.workers[0].failsAll = true;
    jobs.world.actualRun = [](const TaskKey &, std::uint32_t) { return WorldRun{.work = milliseconds(2000)}; };
    jobs.world.submit(0, 1, {.payload = "p", .steps = {stepOf(24, 1000, milliseconds(2000))}}, "batch");
    jobs.world.run(milliseconds(2500));
    CHECK_EQUAL(1, jobs.countAvoided());
}

#include "core/dispatch/job_memory.h"

#include "core/dispatch/records.h"
#include "core/routing/random.h"
#include "tests/dispatch/dispatch_world.h"

#include <algorithm>
#include <limits>

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
constexpr milliseconds longWork{60000};
constexpr std::size_t limit = std::size_t{4} << 20;
/// Largest value that the platform's store takes.
constexpr std::size_t maxValueBytes = std::size_t{1} << 20;
/// Jobs that one client sends in a second when it sends its requests ahead.
constexpr JobId burst = 200;

/// A world whose daemons may hold 4 MiB of jobs.
struct SmallWorld : World
{
    explicit SmallWorld(std::size_t nodeCount = 2)
        : World(nodeCount, 2)
    {
        for (WorldNode &node : nodes) {
            node.node->options.jobMemoryBytes = limit;
        }
    }

    const JobMemory &memory() { return leader()->dispatcher->jobMemory; }

    /// Submits jobs to the leader and returns the number of answers of each outcome.
    std::map<ClientOutcome, int> submitAll(JobId first, const JobSpec &spec)
    {
        std::vector<CallId> calls;
        for (JobId id = first; id < first + burst; ++id) {
            calls.push_back(submit(leaderIndex(), id, spec, "batch"));
        }
        run(settleTime);
        std::map<ClientOutcome, int> outcomes;
        for (const CallId call : calls) {
            const auto answer = answerTo(call);
            CHECK_TRUE(answer.has_value());
            ++outcomes[answer->outcome];
            CHECK_TRUE(answer->outcome != ClientOutcome::Refused || answer->retryAfter >= milliseconds(1000));
        }
        return outcomes;
    }
};

JobSpec jobOf(std::uint32_t steps, std::uint32_t tasks, milliseconds estimate)
{
    return {.payload = "p", .steps = std::vector<StepSpec>(steps, stepOf(tasks, 1000, estimate))};
}

std::size_t sumOfCharges(const Dispatcher &dispatcher)
{
    std::size_t sum = dispatcher.jobs.ended.size() * endedJobBytes;
    for (const auto &[id, job] : dispatcher.jobs.live) {
        sum += currentBytes(*job);
    }
    return sum;
}

TenantTable tenantsOf(std::span<const TenantConfig> settings)
{
    TenantTable table;
    configureTenants(table, settings);
    return table;
}

} // namespace

TEST_GROUP(DispatchJobMemory){};

// Guards against one tenant's jobs that leave no memory for those of the others, and against a sum over the limit.
TEST(DispatchJobMemory, EachTenantHasAPartThatOthersDoNotUseUp)
{
    const std::vector<TenantConfig> settings = {{.name = "a", .weight = 300}, {.name = "b", .weight = 100}};
    RandomState random{.value = 5};
    for (int round = 0; round < 100; ++round) {
        TenantTable tenants = tenantsOf(settings);
        JobMemory memory{.limit = 8000};
        while (findRoom(memory, tenants, 1, 100) == JobFit::Fits) {
            tenants.rows[1].jobBytes += 100;
            memory.used += 100;
        }
        // The own part and the common half.
        CHECK_EQUAL(3000 + 4000, memory.used);
        CHECK_TRUE(findRoom(memory, tenants, noTenant, 1) == JobFit::Full);
        CHECK_TRUE(findRoom(memory, tenants, 2, 1000) == JobFit::Fits);
        CHECK_TRUE(findRoom(memory, tenants, 2, 1001) == JobFit::Full);
        CHECK_TRUE(findRoom(memory, tenants, 2, 5001) == JobFit::TooLarge);
        for (int i = 0; i < 50; ++i) {
            const auto slot = static_cast<TenantSlot>(randomBelow(random, 3));
            const std::size_t bytes = 1 + randomBelow(random, 400);
            if (findRoom(memory, tenants, slot, bytes) == JobFit::Fits) {
                tenants.rows[slot].jobBytes += bytes;
                memory.used += bytes;
            }
            CHECK_TRUE(memory.used <= memory.limit);
        }
    }
}

// Guards against a Retry-After at which there is still no room, and one far beyond the time at which there is.
TEST(DispatchJobMemory, RetryAfterFollowsTheRateOfReleases)
{
    TenantTable tenants;
    JobMemory memory{.limit = 1000000, .used = 1000000, .updatedAt = MonotonicTime(milliseconds(1000))};
    tenants.rows[noTenant].jobBytes = memory.used;
    CHECK_TRUE(retryAfterRelease(memory, tenants, noTenant, 10000) == milliseconds(10000));
    memory.releasedPerSecond = 2500;
    CHECK_TRUE(retryAfterRelease(memory, tenants, noTenant, 10000) == milliseconds(4000));
    CHECK_TRUE(retryAfterRelease(memory, tenants, noTenant, 1) == milliseconds(1000));
    memory.releasedSinceUpdate = 100000;
    updateReleaseRate(memory, MonotonicTime(milliseconds(2000)));
    CHECK_TRUE(memory.releasedPerSecond > 2500 && memory.releasedPerSecond < 100000);
}

// Guards against valid jobs with many tasks, sent ahead by one client, that end the leader and each successor.
TEST(DispatchJobMemory, JobsBeyondTheLimitAreRejectedAndTheSuccessorHoldsTheRest)
{
    SmallWorld world;
    world.run(settleTime);
    const auto outcomes = world.submitAll(1, jobOf(1, 1000, longWork));
    CHECK_TRUE(outcomes.at(ClientOutcome::Ok) > 0);
    CHECK_TRUE(outcomes.at(ClientOutcome::Refused) > 0);
    CHECK_EQUAL(burst, outcomes.at(ClientOutcome::Ok) + outcomes.at(ClientOutcome::Refused));
    CHECK_TRUE(world.memory().used <= limit);
    UNSIGNED_LONGS_EQUAL(outcomes.at(ClientOutcome::Refused), world.leader()->dispatcher->counters.rejectedByMemory);
    const std::size_t used = world.memory().used;
    const std::size_t former = world.leaderIndex();
    world.kill(former);
    CHECK_TRUE(
        world.runUntil([&] { return world.leader() != nullptr && world.leader()->dispatcher->runDiscoveryFinished; },
            milliseconds(12000)));
    CHECK_EQUAL(used, world.memory().used);
    CHECK_EQUAL(sumOfCharges(*world.leader()->dispatcher), world.memory().used);
    checkNoViolations(world);
}

// Guards against memory that stays charged after jobs have ended, so that nobody can submit any more.
TEST(DispatchJobMemory, EndedJobsMakeRoom)
{
    SmallWorld world;
    world.run(settleTime);
    world.leader()->dispatcher->jobMemory.limit = limit / 16;
    const JobSpec spec = jobOf(1, 20, milliseconds(1));
    CHECK_TRUE(world.submitAll(1, spec).contains(ClientOutcome::Refused));
    CHECK_TRUE(world.runUntil([&] { return world.leader()->dispatcher->jobs.live.empty(); }, milliseconds(120000)));
    CHECK_EQUAL(world.leader()->dispatcher->jobs.ended.size() * endedJobBytes, world.memory().used);
    CHECK_TRUE(world.submitAll(burst + 1, spec).contains(ClientOutcome::Ok));
    checkNoViolations(world);
}

// Guards against one request that fits into the limits of a body and takes 400 MB as a job. No job ends that it could
// wait for.
TEST(DispatchJobMemory, AJobLargerThanTheLimitIsRejectedForGood)
{
    SmallWorld world(1);
    world.run(settleTime);
    const CallId call = world.submit(0, 1, jobOf(250, 10000, longWork), "batch");
    world.run(milliseconds(100));
    CHECK_TRUE(world.answerTo(call).has_value());
    CHECK_TRUE(world.answerTo(call)->outcome == ClientOutcome::Impossible);
    CHECK_EQUAL(0, world.memory().used);
}

// Guards against a timed job whose occurrences are all overdue: they filled the leader's memory, and the record of the
// job's progress exceeded what the store takes.
TEST(DispatchJobMemory, OverdueOccurrencesAreOpenedInTurn)
{
    SmallWorld world;
    world.run(settleTime);
    JobSpec spec = jobOf(1, 1, milliseconds(10));
    spec.repeatCount = 30000;
    spec.interval = milliseconds(1000);
    spec.firstDue = world.now().wall - milliseconds(100000000);
    world.submit(world.leaderIndex(), 1, spec, "batch");
    std::size_t longest = 0;
    const bool progressed = world.runUntil(
        [&] {
            const WorldItem &progress = world.store.items[progressKey(1)];
            longest = std::max(longest, progress.value.size());
            CHECK_TRUE(world.memory().used <= limit);
            const Job *job = findJob(world.leader()->dispatcher->jobs, 1);
            return job != nullptr && job->occurrencesDone > 3000;
        },
        milliseconds(60000));
    CHECK_TRUE(progressed);
    CHECK_TRUE(longest < maxValueBytes / 8);
    checkNoViolations(world);
}

// Guards against overdue occurrences of jobs that can't start: they took all the memory for jobs, and jobs of other
// clients were rejected beside idle workers.
TEST(DispatchJobMemory, OverdueOccurrencesLeaveRoomForOtherJobs)
{
    constexpr JobId firstTimedJob = 1000;
    SmallWorld world;
    world.run(settleTime);
    JobSpec spec = jobOf(1, 100, longWork);
    spec.steps[0].gang = true;
    spec.steps[0].requiredLabel = "missing";
    spec.repeatCount = 8760;
    spec.interval = std::chrono::hours(1);
    spec.firstDue = world.now().wall - std::chrono::hours(8760);
    for (JobId id = firstTimedJob; id < firstTimedJob + 6; ++id) {
        world.submit(world.leaderIndex(), id, spec, "urgent");
    }
    world.run(settleTime);
    CHECK_EQUAL(burst, world.submitAll(1, jobOf(1, 1, milliseconds(10)))[ClientOutcome::Ok]);
    // Each timed job keeps an occurrence, however little room there is.
    for (JobId id = firstTimedJob; id < firstTimedJob + 6; ++id) {
        CHECK_TRUE(!findJob(world.leader()->dispatcher->jobs, id)->occurrences.empty());
    }
    checkNoViolations(world);
}

// Guards against occurrences that wait, beside idle workers, because jobs that can't start take most of the memory.
TEST(DispatchJobMemory, AnOccurrenceThatCanStartIsOpenedBesideJobsThatTakeMostOfTheMemory)
{
    constexpr JobId timedJob = 1000;
    SmallWorld world;
    world.run(settleTime);
    JobSpec timed = jobOf(1, 1, longWork);
    timed.repeatCount = 2;
    timed.interval = milliseconds(10000);
    timed.firstDue = world.now().wall;
    world.submit(world.leaderIndex(), timedJob, timed, "urgent");
    JobSpec waiting = jobOf(1, 1000, longWork);
    waiting.steps[0].requiredLabel = "missing";
    CHECK_TRUE(world.submitAll(1, waiting).contains(ClientOutcome::Refused));
    world.run(timed.interval);
    const Job *job = findJob(world.leader()->dispatcher->jobs, timedJob);
    CHECK_EQUAL(2, job->occurrences.size());
    CHECK_EQUAL(0, job->occurrences.back().steps.front().waiting);
    checkNoViolations(world);
}

// Guards against cancellations of unknown jobs that fill the memory with withdrawn ids.
TEST(DispatchJobMemory, WithdrawnIdsAreBounded)
{
    SmallWorld world;
    world.run(settleTime);
    world.leader()->dispatcher->jobMemory.limit = burst * endedJobBytes / 2;
    std::vector<CallId> calls;
    for (JobId id = 1; id <= burst; ++id) {
        calls.push_back(world.call(world.leaderIndex(), ClientCallKind::Cancel, id, "batch"));
    }
    world.run(settleTime);
    CHECK_EQUAL(burst / 2, world.leader()->dispatcher->jobs.ended.size());
    const auto countOf = [&](ClientOutcome outcome) {
        return std::ranges::count_if(calls, [&](CallId call) { return world.answerTo(call)->outcome == outcome; });
    };
    CHECK_EQUAL(burst / 2, countOf(ClientOutcome::NoSuchJob));
    // Whether the job ran is not known, because a late copy of its submission may still come.
    CHECK_EQUAL(burst / 2, countOf(ClientOutcome::Unknown));
    checkNoViolations(world);
}

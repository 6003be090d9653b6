#include "core/dispatch/records.h"
#include "core/dispatch/tenant_state.h"
#include "core/log.h"
#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
constexpr milliseconds takeoverLimit{8000};
constexpr milliseconds applyBound{2500};
constexpr std::int64_t cpuOfWorker = 4000;

JobSpec jobOf(std::uint32_t count, std::int64_t cpuMilli, milliseconds estimate)
{
    return {.payload = "p", .steps = {stepOf(count, cpuMilli, estimate)}};
}

JobSpec gangOf(std::uint32_t count, std::int64_t cpuMilli, milliseconds estimate)
{
    JobSpec spec = jobOf(count, cpuMilli, estimate);
    spec.steps[0].gang = true;
    return spec;
}

void checkRunning(const World &world, std::string_view tenant, std::int64_t cpuMilli)
{
    CHECK_EQUAL(cpuMilli, world.runningOf(tenant).cpuMilli);
}

/// Tenants alder, with the cap, and birch, without one. Weights are so high that no job exceeds its rate.
std::vector<TenantConfig> tenantsWithCap(std::int64_t cpuMilli)
{
    return {{.name = "alder", .keys = {"a"}, .weight = 1000, .cap = {.cpuMilli = cpuMilli}},
        {.name = "birch", .keys = {"b"}, .weight = 1000}};
}

/// A world that watches the rule "no start above a cap". Ids below 0x100 belong to alder, the others to birch.
struct CappedWorld
{
    World world;

    CappedWorld(std::size_t workers, std::int64_t cap, std::size_t nodes = 2)
        : world(nodes, workers)
    {
        setLogLevel(LogLevel::Error);
        world.configuration.tenants = tenantsWithCap(cap);
        world.run(settleTime);
    }
    CappedWorld(const CappedWorld &) = delete;
    CappedWorld &operator=(const CappedWorld &) = delete;
    ~CappedWorld() { setLogLevel(LogLevel::Info); }

    CallId submit(JobId id, const JobSpec &spec, std::string_view queue = "batch")
    {
        world.tenants[id] = id < 0x100 ? "alder" : "birch";
        return world.submit(world.leaderIndex(), id, spec, queue);
    }

    Dispatcher &leader() { return *world.leader()->dispatcher; }

    /// A new version comes into force at the leader.
    void setCap(std::int64_t cap)
    {
        world.configuration.tenants = tenantsWithCap(cap);
        ++world.configuration.version;
        const std::uint64_t version = world.configuration.version;
        CHECK(world.runUntil([&] { return world.leader()->configuration.version == version; }, applyBound));
    }

    bool runUntilDone(JobId id, milliseconds limit)
    {
        return world.runUntil(
            [&] {
                const auto &ended = leader().jobs.ended;
                const auto found = ended.find(id);
                return found != ended.end() && found->second.state == JobState::Done;
            },
            limit);
    }

    void takeOver()
    {
        world.kill(world.leaderIndex());
        CHECK(world.runUntil([&] { return world.leader() != nullptr; }, takeoverLimit));
    }
};

/// The running sums by a full recount of all runs that workers are charged for, and of all reserved places.
std::vector<std::pair<Resources, Resources>> recount(const Dispatcher &dispatcher)
{
    std::vector<std::pair<Resources, Resources>> sums(dispatcher.tenants.rows.size());
    for (const Worker &worker : dispatcher.workers.workers) {
        for (const auto &[key, run] : worker.runs) {
            sums[run.tenant].first += run.tenantSize;
        }
    }
    for (const auto &[id, job] : dispatcher.jobs.live) {
        for (const Occurrence &occurrence : job->occurrences) {
            for (std::size_t number = 0; number < occurrence.steps.size(); ++number) {
                for (std::size_t i = 0; i < occurrence.steps[number].plan.size(); ++i) {
                    sums[job->tenant].second += chargedSize(job->record.spec.steps[number]);
                }
            }
        }
    }
    return sums;
}

void checkSums(const Dispatcher &dispatcher)
{
    const auto sums = recount(dispatcher);
    for (std::size_t slot = 0; slot < sums.size(); ++slot) {
        CHECK(sums[slot].first == dispatcher.tenants.rows[slot].running);
        CHECK(sums[slot].second == dispatcher.tenants.rows[slot].planned);
    }
}

} // namespace

TEST_GROUP(DispatchTenantCaps){};

// Guards against a step wider than the cap that never starts, starts whole, or leaves a part of the cap unused.
TEST(DispatchTenantCaps, AStepWiderThanTheCapRunsInWaves)
{
    CappedWorld capped(4, 3000);
    capped.submit(1, jobOf(12, 1000, milliseconds(300)));
    capped.world.run(milliseconds(200));
    checkRunning(capped.world, "alder", 3000);
    CHECK(capped.runUntilDone(1, milliseconds(6000)));
    CHECK_EQUAL(12U, capped.world.starts);
    checkNoViolations(capped.world);
}

// Guards against two log lines, and a flicker of the metric, at each end of a run of a tenant that is at its cap.
TEST(DispatchTenantCaps, AStepInWavesIsHeldUntilItsLastWave)
{
    CappedWorld capped(4, 3000);
    World &world = capped.world;
    world.actualRun = [](const TaskKey &task, std::uint32_t) {
        return WorldRun{.work = milliseconds(200 + 40 * (task.index % 5))};
    };
    capped.submit(1, jobOf(20, 1000, milliseconds(300)));
    const auto isHeld = [&capped] { return capped.leader().tenants.rows[1].isHeldByCap; };
    CHECK(world.runUntil(isHeld, milliseconds(500)));
    while (world.starts < 19) {
        CHECK(isHeld());
        world.run(milliseconds(1));
    }
    CHECK(world.runUntil([&] { return !isHeld(); }, milliseconds(1000)));
}

// Guards against the same while the steps before that of the tenant end most passes.
TEST(DispatchTenantCaps, AStepBehindBlockedOnesStaysHeld)
{
    CappedWorld capped(4, 1000);
    World &world = capped.world;
    capped.submit(1, jobOf(1, 1000, milliseconds(20000)));
    capped.submit(2, jobOf(1, 1000, milliseconds(20000)));
    const auto isHeld = [&capped] { return capped.leader().tenants.rows[1].isHeldByCap; };
    CHECK(world.runUntil(isHeld, milliseconds(500)));
    for (JobId id = 0x101; id <= 0x180; ++id) {
        JobSpec spec = gangOf(5, 3600, milliseconds(300));
        spec.steps[0].maxPerWorker = 1;
        capped.submit(id, spec, "urgent");
    }
    for (int i = 0; i < 500; ++i) {
        world.run(milliseconds(3));
        CHECK(isHeld());
    }
}

// Guards against running sums that drift from the runs: then a cap holds for ever or not at all. Ends, failures,
// cancellations, pre-emption, crashed workers, gangs and a takeover change them.
TEST(DispatchTenantCaps, TheRunningSumsEqualARecount)
{
    CappedWorld capped(5, 7000, 3);
    World &world = capped.world;
    RandomState random{.value = 9};
    world.actualRun = [&random](const TaskKey &, std::uint32_t) {
        return WorldRun{
            .work = milliseconds(100 + randomBelow(random, 900)), .willFail = randomBelow(random, 100) < 20};
    };
    std::size_t most = 0;
    for (JobId id = 1; id <= 120; ++id) {
        const JobId owned = id % 2 == 0 ? id : id + 0x100;
        JobSpec spec = id % 3 == 0 ? gangOf(3, 1000, milliseconds(500)) : jobOf(2, 700, milliseconds(500));
        spec.steps[0].checkpointed = id % 4 == 0;
        capped.submit(owned, spec, id % 5 == 0 ? "urgent" : "batch");
        if (id % 7 == 0) {
            world.callAs(world.leaderIndex(), ClientCallKind::Cancel, owned, world.tenants[owned]);
        }
        if (id == 40) {
            world.crashWorker(1);
        }
        if (id == 80) {
            capped.takeOver();
        }
        world.run(milliseconds(60));
        checkSums(capped.leader());
        most = std::max(most, capped.leader().jobs.live.size());
    }
    world.run(milliseconds(20000));
    checkSums(capped.leader());
    CHECK(most > 5);
    CHECK(capped.leader().jobs.live.empty());
    for (const TenantState &tenant : capped.leader().tenants.rows) {
        CHECK(usedOfCap(tenant) == Resources{});
    }
    checkNoViolations(world);
}

// Guards against gangs and tasks that can never run within the cap and wait for ever, and against an error that doesn't
// say why.
TEST(DispatchTenantCaps, WhatIsLargerThanTheCapIsRefusedAtOnce)
{
    CappedWorld capped(4, 3000);
    const CallId gang = capped.submit(1, gangOf(4, 1000, milliseconds(300)));
    const CallId task = capped.submit(2, jobOf(1, 3001, milliseconds(300)));
    const CallId fitting = capped.submit(3, gangOf(3, 1000, milliseconds(300)));
    const CallId others = capped.submit(0x101, gangOf(4, 1000, milliseconds(300)));
    capped.world.run(milliseconds(100));
    for (const CallId call : {gang, task}) {
        const auto answer = capped.world.answerTo(call);
        CHECK(answer && answer->outcome == ClientOutcome::Impossible);
        CHECK(answer->detail.find("cap") != std::string::npos);
        CHECK(answer->detail.find("3000") != std::string::npos);
    }
    CHECK(capped.world.answerTo(gang)->detail.find("4000") != std::string::npos);
    CHECK(capped.world.answerTo(fitting)->outcome == ClientOutcome::Ok);
    CHECK(capped.world.answerTo(others)->outcome == ClientOutcome::Ok);
    CHECK_EQUAL(2U, capped.leader().tenants.rows[addTenant(capped.leader().tenants, "alder")].rejectedByCap);
}

// Guards against a leader that stood still and calls a job rejected that its successor has accepted meanwhile; soak
// seed 10030.
TEST(DispatchTenantCaps, ALeaderWithoutAConfirmedClaimRejectsNothingByTheCap)
{
    CappedWorld capped(4, 3000);
    capped.leader().claimConfirmedAt = capped.leader().claimConfirmedAt - 2 * claimLease;
    const CallId gang = capped.submit(1, gangOf(4, 1000, milliseconds(300)));
    capped.world.run(milliseconds(20));
    const auto answer = capped.world.answerTo(gang);
    CHECK(answer && answer->outcome == ClientOutcome::Unknown);
}

// Guards against a lowered cap that stops runs or lets new ones start, and a raised one that takes no effect.
TEST(DispatchTenantCaps, ALoweredCapHoldsStartsBackAndARaisedOneFreesThem)
{
    CappedWorld capped(4, 8000);
    capped.submit(1, jobOf(8, 1000, milliseconds(6000)));
    capped.world.run(milliseconds(300));
    checkRunning(capped.world, "alder", 8000);
    capped.setCap(2000);
    capped.submit(2, jobOf(2, 1000, milliseconds(500)));
    capped.world.run(milliseconds(1000));
    checkRunning(capped.world, "alder", 8000);
    CHECK_EQUAL(8U, capped.world.starts);
    capped.setCap(9000);
    capped.world.run(milliseconds(300));
    checkRunning(capped.world, "alder", 9000);
    checkNoViolations(capped.world);
}

// Guards against a gang that was accepted before the cap was lowered and starts above it because it had reserved
// places: its invalid plan was replaced by a new one without a look at the cap.
TEST(DispatchTenantCaps, AGangWithReservedPlacesWaitsOnceTheCapIsLowered)
{
    CappedWorld capped(1, 4000);
    World &world = capped.world;
    addAdvisedQueue(world, "advised",
        {.base = milliseconds(575), .perWorker = milliseconds(1), .ticketValidity = milliseconds(1500)});
    world.adviceTakesTime = true;
    capped.setCap(4000);
    capped.submit(0x101, jobOf(4, 1000, milliseconds(3000)));
    world.run(milliseconds(300));
    capped.submit(1, gangOf(4, 1000, milliseconds(500)), "advised");
    // The gang's tickets expire before the filler ends, so its places are reserved until the tickets are renewed.
    const auto planned
        = [&capped] { return capped.leader().tenants.rows[addTenant(capped.leader().tenants, "alder")].planned; };
    CHECK(world.runUntil([&] { return planned().cpuMilli == 4000; }, milliseconds(5000)));
    world.configuration.tenants = tenantsWithCap(1000);
    setConfiguration(capped.leader(), world.configuration);
    world.run(milliseconds(3000));
    checkRunning(world, "alder", 0);
    checkNoViolations(world);
    CHECK_EQUAL(0, planned().cpuMilli);
}

// Guards against starts above the cap by a new leader that has not found the runs of the former one yet. The worker
// that has them can't be reached.
TEST(DispatchTenantCaps, RunsThatANewLeaderHasNotFoundCount)
{
    CappedWorld capped(3, 4000, 3);
    World &world = capped.world;
    capped.submit(1, jobOf(4, 1000, milliseconds(60000)));
    world.run(milliseconds(500));
    checkRunning(world, "alder", 4000);
    for (WorldWorker &worker : world.workers) {
        worker.unresponsive = !worker.runs.empty();
    }
    capped.takeOver();
    capped.submit(2, jobOf(4, 1000, milliseconds(500)));
    capped.submit(0x101, jobOf(1, 1000, milliseconds(500)));
    world.run(milliseconds(1500));
    checkNoViolations(world);
    for (WorldWorker &worker : world.workers) {
        worker.unresponsive = false;
    }
    world.run(milliseconds(5000));
    checkNoViolations(world);
    CHECK(capped.runUntilDone(0x101, milliseconds(1000)));
}

// Guards against the same for tasks of a step that the former leader opened and that the stored progress doesn't show:
// the end of the preceding step was not stored yet.
TEST(DispatchTenantCaps, RunsOfAStepThatTheProgressDoesNotShowCount)
{
    CappedWorld capped(3, 4000, 3);
    World &world = capped.world;
    JobSpec chain = jobOf(1, 100, milliseconds(500));
    chain.steps.push_back(stepOf(1, 4000, milliseconds(60000)));
    chain.steps[1].after = {0};
    capped.submit(1, chain);
    world.run(milliseconds(300));
    world.store.refusedWriters.insert(world.leaderIndex());
    CHECK(world.runUntil([&] { return world.runningOf("alder").cpuMilli == 4000; }, milliseconds(1500)));
    for (WorldWorker &worker : world.workers) {
        worker.unresponsive = !worker.runs.empty();
    }
    capped.takeOver();
    capped.submit(2, jobOf(3, 1000, milliseconds(500)));
    world.run(milliseconds(1500));
    checkNoViolations(world);
}

// Guards against a run that a new leader forgets because an older attempt of its task has ended as done on a worker
// that the former leader could not reach (seed 4706 of the random plays). The job ends before the run is found.
TEST(DispatchTenantCaps, ASecondAttemptCountsThoughTheFirstIsDone)
{
    CappedWorld capped(3, 4000, 3);
    World &world = capped.world;
    world.rules.acknowledgedEndsCount = true;
    world.stopTime = milliseconds(5000);
    world.actualRun = [](const TaskKey &task, std::uint32_t attempt) {
        return WorldRun{.work = milliseconds(task.step.job == 1 && attempt > 1 ? 60000 : 800)};
    };
    capped.submit(1, jobOf(1, 4000, milliseconds(2000)));
    CHECK(world.runUntil([&] { return world.starts == 1; }, milliseconds(500)));
    world.workers[busyWorker(world)].unreachableFrom.insert(world.leaderIndex());
    CHECK(world.runUntil([&] { return world.starts == 2; }, milliseconds(10000)));
    WorldWorker &second = world.workers[busyWorker(world)];
    second.unresponsive = true;
    capped.takeOver();
    capped.submit(2, jobOf(4, 1000, milliseconds(500)));
    CHECK(world.runUntil([&] { return capped.leader().jobs.ended.contains(1); }, milliseconds(1000)));
    world.run(milliseconds(500));
    checkNoViolations(world);
    second.unresponsive = false;
    world.run(milliseconds(2000));
    checkNoViolations(world);
    checkRunning(world, "alder", 4000);
    CHECK(capped.runUntilDone(2, milliseconds(15000)));
    checkNoViolations(world);
}

// Guards against starts above the cap while runs of a job that ended under the former leader are being stopped.
TEST(DispatchTenantCaps, RunsOfACancelledJobCountAfterATakeover)
{
    CappedWorld capped(3, 4000, 3);
    World &world = capped.world;
    world.stopTime = milliseconds(9000);
    capped.submit(1, jobOf(4, 1000, milliseconds(60000)));
    world.run(milliseconds(500));
    checkRunning(world, "alder", 4000);
    world.callAs(world.leaderIndex(), ClientCallKind::Cancel, 1, "alder");
    world.run(milliseconds(500));
    CHECK(capped.leader().jobs.ended.contains(1));
    const auto record = decodeEnd(world.store.items.at(endKey(1)).value);
    CHECK(record && record->tenant == "alder" && record->stopping.cpuMilli == 4000);
    capped.takeOver();
    capped.submit(2, jobOf(4, 1000, milliseconds(500)));
    world.run(milliseconds(2000));
    checkRunning(world, "alder", 4000);
    checkNoViolations(world);
    CHECK(capped.runUntilDone(2, milliseconds(15000)));
    checkNoViolations(world);
}

// Guards against starts above the cap before the new leader has read which ended jobs were being stopped: their runs
// are listed by workers, but only the records of the ends tell whose they are.
TEST(DispatchTenantCaps, NothingStartsBeforeTheEndsAreLoaded)
{
    constexpr JobId cancelled = 0xffffff;
    constexpr JobId others = 3000;
    CappedWorld capped(3, 4000, 2);
    World &world = capped.world;
    world.stopTime = milliseconds(20000);
    world.tenants[cancelled] = "alder";
    world.submit(world.leaderIndex(), cancelled, jobOf(4, 1000, milliseconds(60000)), "batch");
    world.run(milliseconds(500));
    capped.submit(1, jobOf(4, 1000, milliseconds(500)));
    world.callAs(world.leaderIndex(), ClientCallKind::Cancel, cancelled, "alder");
    world.run(milliseconds(500));
    CHECK(capped.leader().jobs.ended.contains(cancelled));
    const std::string end = encodeEnd({.state = JobState::Done, .endedAt = wallStart, .tenant = {}, .stopping = {}});
    for (JobId id = 0x1000; id < 0x1000 + others; ++id) {
        world.store.items[endKey(id)] = {.value = end, .revision = world.store.revision};
    }
    for (WorldNode &node : world.nodes) {
        node.pageBytesPerSecond = 15000;
    }
    capped.takeOver();
    CHECK(world.runUntil([&] { return capped.leader().runDiscoveryFinished; }, milliseconds(3000)));
    world.run(milliseconds(500));
    CHECK_FALSE(capped.leader().endsLoaded);
    checkRunning(world, "alder", 4000);
    CHECK(world.runUntil([&] { return capped.leader().endsLoaded; }, milliseconds(10000)));
    world.run(milliseconds(500));
    checkRunning(world, "alder", 4000);
    checkNoViolations(world);
    CHECK(capped.runUntilDone(1, milliseconds(25000)));
    checkNoViolations(world);
}

// Guards against a cancellation, before the new leader has found the runs, that makes it forget them.
TEST(DispatchTenantCaps, RunsOfAnInheritedJobCountAfterItsCancellation)
{
    CappedWorld capped(3, 4000, 3);
    World &world = capped.world;
    capped.submit(1, jobOf(4, 1000, milliseconds(60000)));
    world.run(milliseconds(500));
    checkRunning(world, "alder", 4000);
    for (WorldWorker &worker : world.workers) {
        worker.unresponsive = !worker.runs.empty();
    }
    capped.takeOver();
    CHECK_FALSE(capped.leader().runDiscoveryFinished);
    world.callAs(world.leaderIndex(), ClientCallKind::Cancel, 1, "alder");
    capped.submit(2, jobOf(4, 1000, milliseconds(500)));
    CHECK(world.runUntil([&] { return capped.leader().jobs.ended.contains(1); }, milliseconds(1500)));
    const auto record = decodeEnd(world.store.items.at(endKey(1)).value);
    CHECK(record && record->stopping.cpuMilli == 4000);
    world.run(milliseconds(1000));
    checkNoViolations(world);
    CHECK(capped.runUntilDone(2, milliseconds(20000)));
    checkNoViolations(world);
}

// Guards against a line of held steps that hides the steps of other tenants.
TEST(DispatchTenantCaps, HeldStepsDoNotHideOthers)
{
    CappedWorld capped(4, 1000);
    for (JobId id = 1; id <= 200; ++id) {
        capped.submit(id, jobOf(1, 1000, milliseconds(5000)), "urgent");
        capped.world.run(milliseconds(5));
    }
    capped.world.run(milliseconds(300));
    checkRunning(capped.world, "alder", 1000);
    capped.submit(0x101, jobOf(4, 1000, milliseconds(1000)));
    capped.world.run(milliseconds(300));
    checkRunning(capped.world, "birch", 4000);
    checkNoViolations(capped.world);
}

// Guards against held steps that use up the adviser's time.
TEST(DispatchTenantCaps, HeldStepsAskForNoAdvice)
{
    CappedWorld capped(4, 1000);
    World &world = capped.world;
    addAdvisedQueue(world, "advised",
        {.base = milliseconds(20), .perWorker = milliseconds(1), .ticketValidity = milliseconds(1500)});
    capped.setCap(1000);
    capped.submit(1, jobOf(1, 1000, milliseconds(3000)), "advised");
    CHECK(world.runUntil([&] { return world.starts == 1; }, milliseconds(1500)));
    const std::size_t calls = world.adviceCalls.size();
    CHECK(calls > 0);
    capped.submit(2, jobOf(1, 1000, milliseconds(300)), "advised");
    capped.submit(3, gangOf(1, 1000, milliseconds(300)), "advised");
    world.run(milliseconds(2000));
    CHECK_EQUAL(calls, world.adviceCalls.size());
    CHECK(capped.runUntilDone(2, milliseconds(6000)));
    CHECK(capped.runUntilDone(3, milliseconds(6000)));
    checkNoViolations(world);
}

// Guards against held steps that stop the runs of others and then can't start.
TEST(DispatchTenantCaps, HeldStepsPreemptNothing)
{
    CappedWorld capped(1, 1000);
    capped.submit(1, jobOf(1, 1000, milliseconds(9000)), "urgent");
    capped.world.run(milliseconds(200));
    JobSpec filler = jobOf(3, 1000, milliseconds(9000));
    filler.steps[0].checkpointed = true;
    capped.submit(0x101, filler);
    capped.world.run(milliseconds(300));
    CHECK_EQUAL(cpuOfWorker, capped.world.runningOf("alder").cpuMilli + capped.world.runningOf("birch").cpuMilli);
    capped.submit(2, jobOf(2, 1000, milliseconds(300)), "urgent");
    capped.submit(3, gangOf(1, 1000, milliseconds(300)), "urgent");
    capped.world.run(milliseconds(2000));
    CHECK_EQUAL(0U, capped.leader().counters.preempted);
    checkRunning(capped.world, "birch", 3000);
}

// Guards against a tenant that stays capped, or loses its jobs, once the operator has removed it.
TEST(DispatchTenantCaps, JobsOfARemovedTenantRunToTheirEndsWithoutACap)
{
    CappedWorld capped(4, 1000);
    capped.submit(1, jobOf(6, 1000, milliseconds(1000)));
    capped.world.run(milliseconds(300));
    checkRunning(capped.world, "alder", 1000);
    capped.world.configuration.tenants->erase(capped.world.configuration.tenants->begin());
    ++capped.world.configuration.version;
    CHECK(capped.runUntilDone(1, milliseconds(4500)));
}

#include "core/dispatch/advice_lines.h"
#include "tests/dispatch/dispatch_world.h"

#include <algorithm>
#include <array>
#include <map>
#include <string>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
/// The users count a job as lost if it has nothing running for this long while there is capacity for it.
constexpr milliseconds longestIdleTime{3000};

/// A queue of the test load, with the jobs that arrive on it.
struct LoadQueue
{
    QueueConfig queue;
    double jobsPerSecond = 0;
    StepSpec step;
};

QueueConfig queueOf(std::string_view name, std::uint32_t priority, double stretch, AdviceTimes advice)
{
    return {.name = std::string(name),
        .host = "h",
        .pathPrefix = fmt::format("/{}/", name),
        .pool = "pool",
        .priority = priority,
        .maxAttempts = 2,
        .stretch = stretch,
        .target = milliseconds(1000),
        .advice = advice};
}

/// The load: short urgent jobs, gangs with long calls, and less urgent jobs with calls between the two. Together
/// the calls take about 2.5 s of channel time a second.
std::array<LoadQueue, 3> loadQueues()
{
    StepSpec gangStep = stepOf(8, 4500, milliseconds(2000));
    gangStep.gang = true;
    const milliseconds validity{1500};
    return {
        LoadQueue{
            .queue = queueOf("reserve", 0, 1.5,
                {.base = milliseconds(10), .perWorker = std::chrono::microseconds(150), .ticketValidity = validity}),
            .jobsPerSecond = 30.8,
            .step = stepOf(2, 1400, milliseconds(500))},
        LoadQueue{
            .queue = queueOf("ledger", 1, 2.2,
                {.base = milliseconds(440), .perWorker = std::chrono::microseconds(6300), .ticketValidity = validity}),
            .jobsPerSecond = 2.5,
            .step = gangStep},
        LoadQueue{.queue = queueOf("laundry", 2, 4.0,
                      {.base = milliseconds(72), .perWorker = milliseconds(1), .ticketValidity = validity}),
            .jobsPerSecond = 6.5,
            .step = stepOf(10, 980, milliseconds(1500))}};
}

/// Submits jobs at random times and records when each of them first ran.
struct Load
{
    explicit Load(World &loaded)
        : world(loaded)
    {
    }

    World &world;
    std::array<LoadQueue, 3> queues = loadQueues();
    RandomState random{.value = 7};
    JobId nextJob = 1;
    std::map<JobId, std::size_t> queueOfJob;
    std::map<JobId, milliseconds> firstRun;
    double largestShareInUse = 0;
};

void submitArrivals(Load &load, milliseconds interval)
{
    constexpr std::uint64_t resolution = 1000000;
    for (std::size_t i = 0; i < load.queues.size(); ++i) {
        const LoadQueue &queue = load.queues[i];
        const double probability = queue.jobsPerSecond * static_cast<double>(interval.count()) / 1000.0;
        if (static_cast<double>(nextRandom(load.random) % resolution) < probability * resolution) {
            load.queueOfJob[load.nextJob] = i;
            load.world.submit(0, load.nextJob++, {.payload = "x", .steps = {queue.step}}, queue.queue.name);
        }
    }
}

void recordRuns(Load &load)
{
    std::int64_t used = 0;
    std::int64_t capacity = 0;
    for (const WorldWorker &worker : load.world.workers) {
        capacity += worker.entry.capacity.cpuMilli;
        for (const WorldRun &run : worker.runs) {
            used += run.size.cpuMilli;
            load.firstRun.try_emplace(run.task.step.job, load.world.time);
        }
    }
    load.largestShareInUse
        = std::max(load.largestShareInUse, static_cast<double>(used) / static_cast<double>(capacity));
}

void runLoad(Load &load, milliseconds duration, bool arrivals)
{
    constexpr milliseconds interval{5};
    for (milliseconds passed{0}; passed < duration; passed += interval) {
        if (arrivals) {
            submitArrivals(load, interval);
        }
        load.world.run(interval);
        recordRuns(load);
    }
}

/// Wait of each job of the queue until its first run, in ascending order; jobs that did not run waited until now.
std::vector<milliseconds> waitsOf(const Load &load, std::size_t queue)
{
    std::vector<milliseconds> waits;
    for (const auto &[job, submitted] : load.world.submittedAt) {
        if (load.queueOfJob.at(job) == queue) {
            const auto ran = load.firstRun.find(job);
            waits.push_back((ran == load.firstRun.end() ? load.world.time : ran->second) - submitted);
        }
    }
    std::ranges::sort(waits);
    return waits;
}

void setUpLoad(Load &load)
{
    World &world = load.world;
    for (const LoadQueue &queue : load.queues) {
        world.configuration.queues.push_back(queue.queue);
    }
    indexQueues(world.configuration);
    world.adviceTakesTime = true;
    for (WorldWorker &worker : world.workers) {
        worker.entry.capacity = {.cpuMilli = 32000, .memoryMib = 64000};
    }
    world.run(settleTime);
}

std::string describeWaits(const Load &load)
{
    std::string text;
    for (std::size_t queue = 0; queue < load.queues.size(); ++queue) {
        const std::vector<milliseconds> waits = waitsOf(load, queue);
        text += fmt::format("{}: jobs={} median_ms={} ninth_decile_ms={} max_ms={}\n", load.queues[queue].queue.name,
            waits.size(), waits[waits.size() / 2].count(), waits[waits.size() * 9 / 10].count(), waits.back().count());
    }
    return text;
}

bool isNeeded(const AdviceRequest &)
{
    return true;
}

AdviceRequest requestOf(JobId job, std::uint32_t priority, milliseconds expected, MonotonicTime queuedAt)
{
    return {.step = {.job = job},
        .workers = {},
        .priority = priority,
        .dueBy = queuedAt,
        .expectedTime = expected,
        .queuedAt = queuedAt};
}

} // namespace

TEST_GROUP(AdviceOverload){};

// Guards against jobs that wait for their advice while workers are idle: the calls of all jobs fit through the channels
// of three daemons, so no job may wait as long as the users' limit.
TEST(AdviceOverload, JobsStartInTimeWithFewDaemons)
{
    World world(3, 48);
    Load load(world);
    setUpLoad(load);
    runLoad(load, milliseconds(20000), true);
    runLoad(load, longestIdleTime, false);
    // Otherwise, jobs may wait for room.
    CHECK(load.largestShareInUse < 0.5);
    for (std::size_t queue = 0; queue < load.queues.size(); ++queue) {
        const std::vector<milliseconds> waits = waitsOf(load, queue);
        CHECK_TEXT(waits.back() < longestIdleTime, describeWaits(load).c_str());
    }
    for (const std::string &violation : world.violations) {
        FAIL(violation.c_str());
    }
}

// Guards against a pass that ends before the jobs that could start, because many steps before them wait for advice.
TEST(AdviceOverload, ALineOfRequestsDoesNotDelayJobsWithoutAdvice)
{
    constexpr JobId jobsWithAdvice = 80;
    World world(1, 8);
    world.configuration.queues.push_back(queueOf("slow", 1, 1.5, {.base = milliseconds(600)}));
    indexQueues(world.configuration);
    for (WorldWorker &worker : world.workers) {
        worker.entry.capacity = {.cpuMilli = 40000, .memoryMib = 64000};
    }
    world.run(settleTime);
    for (JobId id = 1; id <= jobsWithAdvice; ++id) {
        world.submit(0, id, {.payload = "x", .steps = {stepOf(1, 1000, milliseconds(60000))}}, "slow");
    }
    CHECK(world.runUntil([&world] { return world.starts == jobsWithAdvice; }, settleTime));
    // The tickets expire, and all tasks have to start again.
    world.run(settleTime);
    world.adviceTakesTime = true;
    for (std::size_t worker = 0; worker < world.workers.size(); ++worker) {
        world.crashWorker(worker);
        world.restartWorker(worker);
    }
    constexpr milliseconds untilRunsAreLost{5000};
    world.run(untilRunsAreLost);
    constexpr JobId other = jobsWithAdvice + 1;
    world.submit(0, other, {.payload = "x", .steps = {stepOf(1, 1000, milliseconds(1000))}}, "batch");
    const auto hasStarted = [&world] {
        return std::ranges::any_of(world.workers, [](const WorldWorker &worker) {
            return std::ranges::any_of(worker.runs, [](const WorldRun &run) { return run.task.step.job == other; });
        });
    };
    CHECK(world.runUntil(hasStarted, longestIdleTime));
}

// Guards against calls that are wasted on workers that left while the request waited.
TEST(AdviceOverload, ARequestNamesTheWorkersOfTheTimeWhenItIsSent)
{
    World world(1, 4);
    world.configuration.queues.push_back(queueOf("slow", 1, 1.5, {.base = milliseconds(4000)}));
    indexQueues(world.configuration);
    world.adviceTakesTime = true;
    world.run(settleTime);
    world.submit(0, 1, {.payload = "x", .steps = {stepOf(1, 1000, milliseconds(300))}}, "slow");
    world.submit(0, 2, {.payload = "x", .steps = {stepOf(1, 1000, milliseconds(300))}}, "slow");
    world.run(milliseconds(100));
    CHECK_EQUAL(1, world.adviceCalls.size());
    world.crashWorker(0);
    world.run(milliseconds(5000));
    CHECK_EQUAL(2, world.adviceCalls.size());
    CHECK_EQUAL(3, world.adviceCalls.back().workers.size());
    CHECK(std::ranges::find(world.adviceCalls.back().workers, "w0") == world.adviceCalls.back().workers.end());
}

// Guards against work that is lost for nothing: runs are stopped for a step whose tickets expired, and the reserved
// room is given up again before the step's request is sent.
TEST(AdviceOverload, NoRunIsStoppedForAStepWhoseRequestWaits)
{
    World world(1, 2);
    world.configuration.queues.push_back(queueOf("slow", 1, 1.5, {.base = milliseconds(4000)}));
    indexQueues(world.configuration);
    world.adviceTakesTime = true;
    world.run(settleTime);
    JobSpec filler{.payload = "f", .steps = {stepOf(8, 1000, milliseconds(30000))}};
    filler.steps[0].checkpointed = true;
    world.submit(0, 1, filler, "batch");
    CHECK(world.runUntil([&world] { return world.starts == 8; }, settleTime));
    // The call for job 2 occupies the only channel.
    const JobSpec urgent{.payload = "x", .steps = {stepOf(1, 1000, milliseconds(20000))}};
    world.submit(0, 2, urgent, "slow");
    world.run(milliseconds(100));
    world.submit(0, 3, urgent, "slow");
    world.run(milliseconds(100));
    Dispatcher &dispatcher = *world.leader()->dispatcher;
    StepRun &step = *findStep(*findJob(dispatcher.jobs, 3), {.job = 3});
    dispatcher.advisor.waiting.clear();
    step.adviceOpen = false;
    for (WorkerSlot slot = 0; slot < world.workers.size(); ++slot) {
        step.allowed[slot] = {.ticket = "expired", .validUntil = {}, .incarnation = 1};
    }
    world.run(milliseconds(2000));
    CHECK_EQUAL(1, world.adviceCalls.size());
    CHECK_EQUAL(0, dispatcher.counters.preempted);
    CHECK(step.adviceOpen);
}

namespace
{

JobSpec fillerOf(std::uint32_t tasks, bool checkpointed)
{
    JobSpec filler{.payload = "f", .steps = {stepOf(tasks, 1000, milliseconds(30000))}};
    filler.steps[0].checkpointed = checkpointed;
    return filler;
}

/// Adds a queue "slow" whose tickets are valid on all workers for 1.5 s.
void setUpExpiringTickets(World &world)
{
    world.configuration.queues.push_back(
        queueOf("slow", 3, 4.0, {.base = milliseconds(150), .ticketValidity = milliseconds(1500)}));
    indexQueues(world.configuration);
    world.adviceTakesTime = true;
    world.allowedPercent = 100;
    world.run(settleTime);
}

} // namespace

// Guards against gangs that are late because they ask for the advice on all workers, one call after the other, before
// they pre-empt less urgent runs on those that they may use.
TEST(AdviceOverload, AGangPreemptsOnTheWorkersThatItKnows)
{
    constexpr std::uint32_t workers = 250;
    constexpr std::uint32_t coresPerWorker = 4;
    World world(2, workers);
    world.configuration.queues.push_back(queueOf("ledger", 1, 2.2,
        {.base = milliseconds(390),
            .perWorker = std::chrono::microseconds(5600),
            .ticketValidity = milliseconds(1500)}));
    indexQueues(world.configuration);
    world.adviceTakesTime = true;
    world.allowedPercent = 30;
    world.run(settleTime);
    constexpr std::uint32_t tasksOfFiller = 50;
    constexpr std::uint32_t fillerTasks = workers * coresPerWorker;
    for (JobId id = 1; id <= fillerTasks / tasksOfFiller; ++id) {
        world.submit(0, id, fillerOf(tasksOfFiller, true), "batch");
    }
    CHECK(world.runUntil([&world] { return world.starts == fillerTasks; }, milliseconds(5000)));
    world.run(milliseconds(500));
    StepSpec gang = stepOf(8, 2000, milliseconds(4000));
    gang.gang = true;
    world.submit(0, 0x100, {.payload = "g", .steps = {gang}}, "ledger");
    // One call, the stops, and half a second for messages and turns.
    const milliseconds wait = milliseconds(390 + 560) + world.stopTime + milliseconds(500);
    CHECK(world.runUntil([&world] { return world.starts == fillerTasks + 8; }, wait));
    CHECK_EQUAL(1, world.adviceCalls.size());
    checkNoViolations(world);
}

// Guards against work that is thrown away on a day without overload: a gang pre-empted others although the workers that
// it had not asked about had room.
TEST(AdviceOverload, AGangAsksAboutMoreWorkersWhileTheyHaveRoom)
{
    constexpr std::uint32_t workers = 200;
    World world(2, workers);
    world.configuration.queues.push_back(queueOf("ledger", 1, 2.2,
        {.base = milliseconds(100), .perWorker = milliseconds(1), .ticketValidity = milliseconds(1500)}));
    indexQueues(world.configuration);
    world.adviceTakesTime = true;
    world.allowedPercent = 15;
    world.run(settleTime);
    JobSpec filler = fillerOf(workers, true);
    filler.steps[0].maxPerWorker = 1;
    world.submit(0, 1, filler, "batch");
    CHECK(world.runUntil([&world] { return world.starts == workers; }, milliseconds(3000)));
    // One member fits on a worker beside the filler, two without it.
    StepSpec gang = stepOf(20, 2000, milliseconds(4000));
    gang.gang = true;
    world.submit(0, 0x100, {.payload = "g", .steps = {gang}}, "ledger");
    CHECK(world.runUntil([&world] { return world.starts == workers + 20; }, milliseconds(2000)));
    CHECK_EQUAL(0, world.leader()->dispatcher->counters.preempted);
    checkNoViolations(world);
}

// Guards against more tasks of a step on one worker than allowed: tasks that wait there for a ticket count too.
TEST(AdviceOverload, PlannedTasksCountForTheLimitPerWorker)
{
    World world(2, 6);
    setUpExpiringTickets(world);
    world.submit(0, 0x100, fillerOf(24, false), "batch");
    CHECK(world.runUntil([&world] { return world.starts == 24; }, settleTime));
    JobSpec spread{.payload = "s", .steps = {stepOf(4, 1000, milliseconds(10000))}};
    spread.steps[0].maxPerWorker = 1;
    world.submit(0, 1, spread, "slow");
    // The tickets expire, and two workers get room for four tasks each.
    world.run(milliseconds(4000));
    for (const std::size_t worker : {std::size_t{0}, std::size_t{1}}) {
        for (WorldRun &run : world.workers[worker].runs) {
            run.done = run.work;
        }
    }
    world.run(milliseconds(1500));
    for (const WorldWorker &worker : world.workers) {
        const auto there
            = std::ranges::count(worker.runs, JobId{1}, [](const WorldRun &run) { return run.task.step.job; });
        CHECK(there <= 1);
    }
    CHECK_EQUAL(26, world.starts);
}

// Guards against advice that is wasted in overload: all steps with expired tickets asked for the same free room, and
// only one of them got it.
TEST(AdviceOverload, StepsDoNotRenewTicketsForTheSameRoom)
{
    constexpr JobId waitingJobs = 10;
    World world(5, 3);
    setUpExpiringTickets(world);
    world.submit(0, 0x100, fillerOf(12, false), "batch");
    CHECK(world.runUntil([&world] { return world.starts == 12; }, settleTime));
    for (JobId id = 1; id <= waitingJobs; ++id) {
        world.submit(0, id, {.payload = "x", .steps = {stepOf(1, 1000, milliseconds(20000))}}, "slow");
    }
    world.run(milliseconds(5000));
    const std::size_t before = world.adviceCalls.size();
    world.workers[0].runs.front().done = world.workers[0].runs.front().work;
    CHECK(world.runUntil([&world] { return world.starts == 13; }, milliseconds(1000)));
    CHECK_EQUAL(before + 1, world.adviceCalls.size());
    checkNoViolations(world);
}

// Guards against a channel that stays idle, or a call that is wasted, because a request is no longer needed.
TEST(AdviceOverload, ARequestThatIsNoLongerNeededIsNotSent)
{
    Advisor advisor;
    setAdviceChannels(advisor, std::vector<std::string>{""});
    const MonotonicTime now{milliseconds(1000)};
    for (JobId id = 1; id <= 3; ++id) {
        advisor.waiting.push_back(requestOf(id, static_cast<std::uint32_t>(id), milliseconds(100), now));
    }
    Outbox outbox;
    const auto isSecond = [](const AdviceRequest &request) { return request.step.job == 2; };
    sendWaitingRequests(advisor, {}, outbox, now, isSecond);
    CHECK_EQUAL(1, outbox.actions.size());
    CHECK_EQUAL(2, std::get<RequestAdvice>(outbox.actions.front()).step.job);
    CHECK_EQUAL(1, advisor.waiting.size());
    CHECK_EQUAL(3, advisor.waiting.front().step.job);
}

// Guards against urgent requests that get no channel while a line of overdue ones is sent.
TEST(AdviceOverload, OverdueRequestsLeaveHalfOfTheTimeToUrgentOnes)
{
    Advisor advisor;
    setAdviceChannels(advisor, std::vector<std::string>{""});
    MonotonicTime now{milliseconds(10000)};
    constexpr milliseconds callTime{100};
    constexpr JobId requests = 20;
    for (JobId id = 1; id <= requests; ++id) {
        advisor.waiting.push_back(requestOf(id, 2, callTime, now - milliseconds(5000)));
        advisor.waiting.push_back(requestOf(requests + id, 0, callTime, now));
    }
    Outbox outbox;
    std::size_t urgent = 0;
    constexpr std::size_t calls = 8;
    for (std::size_t i = 0; i < calls; ++i) {
        sendWaitingRequests(advisor, {}, outbox, now, isNeeded);
        const auto &sent = std::get<RequestAdvice>(outbox.actions.back());
        urgent += sent.step.job > requests ? 1 : 0;
        now += callTime;
        closeAdviceRequest(advisor, {.call = sent.call, .status = CallStatus::Ok, .allowed = {}}, now);
    }
    CHECK_EQUAL(calls / 2, urgent);
}

// Guards against a request of a late job that is never sent, because more urgent ones keep arriving.
TEST(AdviceOverload, ALateRequestIsSentWhileUrgentOnesKeepArriving)
{
    Advisor advisor;
    const std::vector<std::string> nodes = {"", "a"};
    setAdviceChannels(advisor, nodes);
    WorkerTable workers;
    Outbox outbox;
    MonotonicTime now{milliseconds(1000)};
    const MonotonicTime start = now;
    constexpr JobId lateJob = 1;
    advisor.waiting.push_back(requestOf(lateJob, 8, milliseconds(100), now));
    const auto isWaiting = [&advisor](JobId job) {
        return std::ranges::any_of(advisor.waiting, [job](const AdviceRequest &each) { return each.step.job == job; });
    };
    constexpr milliseconds callTime{600};
    JobId nextJob = lateJob + 1;
    while (isWaiting(lateJob) && now - start < longestIdleTime * 2) {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            advisor.waiting.push_back(requestOf(nextJob++, 1, callTime, now));
        }
        sendWaitingRequests(advisor, workers, outbox, now, isNeeded);
        now += callTime;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            const CallId call = advisor.channels[i].call;
            closeAdviceRequest(advisor, {.call = call, .status = CallStatus::Ok, .allowed = {}}, now);
        }
    }
    // The reply has to arrive in time too.
    CHECK(now - start < longestIdleTime);
}

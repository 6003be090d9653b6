#include "core/dispatch/tenant_state.h"
#include "core/log.h"
#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include <fmt/format.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
constexpr milliseconds takeoverLimit{8000};

JobSpec jobOf(std::uint32_t count, std::int64_t cpuMilli, milliseconds estimate)
{
    return {.payload = "p", .steps = {stepOf(count, cpuMilli, estimate)}};
}

/// Tenants with weights of their own in a world without caps.
struct SharedWorld
{
    World world;

    SharedWorld(std::size_t workers, std::vector<TenantConfig> tenants, std::size_t nodes = 2)
        : world(nodes, workers)
    {
        setLogLevel(LogLevel::Error);
        world.configuration.tenants = std::move(tenants);
        world.run(settleTime);
    }
    SharedWorld(const SharedWorld &) = delete;
    SharedWorld &operator=(const SharedWorld &) = delete;
    ~SharedWorld() { setLogLevel(LogLevel::Info); }

    CallId submit(std::string_view tenant, JobId id, const JobSpec &spec, std::string_view queue = "batch")
    {
        world.tenants[id] = std::string(tenant);
        return world.submit(world.leaderIndex(), id, spec, queue);
    }

    Dispatcher &leader() { return *world.leader()->dispatcher; }

    TenantState &rowOf(std::string_view tenant) { return leader().tenants.rows[addTenant(leader().tenants, tenant)]; }

    bool isRunning(JobId id) const
    {
        return std::ranges::any_of(world.workers, [id](const WorldWorker &worker) {
            return std::ranges::any_of(worker.runs, [id](const WorldRun &run) { return run.task.step.job == id; });
        });
    }

    bool isExcess(JobId id)
    {
        const Job *job = findJob(leader().jobs, id);
        CHECK(job != nullptr);
        return job->record.isExcess;
    }
};

std::vector<TenantConfig> alderAndBirch(double alderWeight, double birchWeight)
{
    return {{.name = "alder", .keys = {"a"}, .weight = alderWeight},
        {.name = "birch", .keys = {"b"}, .weight = birchWeight}};
}

} // namespace

TEST_GROUP(DispatchTenantShares){};

// Guards against excess that starts before entitled work of another tenant because it is more urgent or came first.
TEST(DispatchTenantShares, ExcessWaitsBehindEntitledWork)
{
    SharedWorld shared(1, alderAndBirch(0, 100));
    World &world = shared.world;
    shared.submit("birch", 1, jobOf(4, 1000, milliseconds(1500)));
    world.run(milliseconds(300));
    shared.submit("alder", 2, jobOf(4, 1000, milliseconds(1000)), "urgent");
    world.run(milliseconds(100));
    CHECK(shared.isExcess(2));
    shared.submit("birch", 3, jobOf(4, 1000, milliseconds(1000)));
    world.run(milliseconds(100));
    CHECK_FALSE(shared.isExcess(3));
    CHECK(world.runUntil([&] { return shared.isRunning(3); }, milliseconds(3000)));
    CHECK_FALSE(shared.isRunning(2));
    CHECK(world.runUntil([&] { return shared.isRunning(2); }, milliseconds(3000)));
}

// Guards against a new leader that takes an inherited job's excess for entitled work.
TEST(DispatchTenantShares, ExcessStaysExcessAfterATakeover)
{
    SharedWorld shared(1, alderAndBirch(0, 100), 3);
    shared.submit("birch", 1, jobOf(4, 1000, milliseconds(60000)));
    shared.submit("alder", 2, jobOf(1, 1000, milliseconds(1000)));
    shared.world.run(milliseconds(500));
    shared.world.kill(shared.world.leaderIndex());
    CHECK(shared.world.runUntil([&] { return shared.world.leader() != nullptr; }, takeoverLimit));
    CHECK(shared.isExcess(2));
    CHECK_FALSE(shared.isExcess(1));
}

// Guards against copies of a submission that use up the tenant's rate.
TEST(DispatchTenantShares, RepeatedSubmissionsTakeOneToken)
{
    SharedWorld shared(1, alderAndBirch(4, 4));
    for (int i = 0; i < 10; ++i) {
        shared.submit("alder", 1, jobOf(1, 100, milliseconds(5000)));
        shared.world.run(milliseconds(2));
    }
    shared.world.run(milliseconds(50));
    DOUBLES_EQUAL(3.0, shared.rowOf("alder").rate.tokens, 0.3);
}

// Guards against a bucket that a change of leaders fills again, so that a tenant gets its rate twice.
TEST(DispatchTenantShares, ANewLeaderCountsTheJobsOfTheLastSecond)
{
    SharedWorld shared(1, alderAndBirch(4, 4));
    Dispatcher &dispatcher = shared.leader();
    const Now now = shared.world.nowAt(shared.world.leaderIndex());
    const auto inherit = [&](JobId id, milliseconds age) {
        inheritJob(dispatcher,
            {.id = id,
                .queue = shared.world.configuration.queues[1],
                .submittedAt = now.wall - age,
                .spec = jobOf(1, 100, milliseconds(100)),
                .tenant = "alder"},
            "", now);
    };
    inherit(1, milliseconds(300));
    inherit(2, milliseconds(900));
    inherit(3, milliseconds(1100));
    inherit(4, milliseconds(60000));
    DOUBLES_EQUAL(2.0, shared.rowOf("alder").rate.tokens, 0.01);
}

// Guards against excess that waits for longer than its client, against entitled work that is rejected with it, and
// against a rejected job that runs.
TEST(DispatchTenantShares, ExcessIsRejectedOnceItsBacklogIsTooLong)
{
    SharedWorld shared(1, alderAndBirch(2, 100));
    World &world = shared.world;
    shared.submit("birch", 1, jobOf(4, 1000, milliseconds(60000)));
    world.run(milliseconds(300));
    std::vector<CallId> calls;
    for (JobId id = 0x10; id < 0x1e; ++id) {
        calls.push_back(shared.submit("alder", id, jobOf(1, 1000, milliseconds(100))));
    }
    world.run(milliseconds(200));
    const auto rejected = [&world](CallId call) {
        const auto answer = world.answerTo(call);
        CHECK(answer.has_value());
        return answer->outcome == ClientOutcome::Refused;
    };
    // A burst of 4, then 6 that are served within 3 s at 2 jobs a second.
    CHECK_EQUAL(4, std::ranges::count_if(calls, rejected));
    CHECK(std::none_of(calls.begin(), calls.begin() + 10, rejected));
    CHECK(world.answerTo(calls.back())->retryAfter == milliseconds(3000));
    CHECK_EQUAL(4U, shared.rowOf("alder").rejectedExcess);
    const CallId entitled = shared.submit("birch", 2, jobOf(1, 1000, milliseconds(100)));
    world.run(milliseconds(100));
    CHECK_FALSE(rejected(entitled));
    CHECK_FALSE(shared.leader().jobs.live.contains(0x1d));
}

// Guards against a pool whose memory is full and that counts as having room, so that excess piles up.
TEST(DispatchTenantShares, APoolIsFullWithoutFreeMemory)
{
    SharedWorld shared(1, alderAndBirch(0, 100));
    JobSpec filler = jobOf(1, 100, milliseconds(60000));
    filler.steps[0].size.memoryMib = 8000;
    shared.submit("birch", 1, filler);
    shared.world.run(milliseconds(300));
    shared.submit("alder", 2, jobOf(1, 100, milliseconds(100)));
    const CallId second = shared.submit("alder", 3, jobOf(1, 100, milliseconds(100)));
    shared.world.run(milliseconds(100));
    CHECK(shared.world.answerTo(second)->outcome == ClientOutcome::Refused);
}

// Guards against entitled work that waits for excess of its priority, and against excess that pre-empts it in return.
TEST(DispatchTenantShares, EntitledWorkPreemptsExcessAndIsNotPreemptedBack)
{
    SharedWorld shared(1, alderAndBirch(0, 100));
    World &world = shared.world;
    JobSpec filler = jobOf(4, 1000, milliseconds(8000));
    filler.steps[0].checkpointed = true;
    shared.submit("alder", 1, filler);
    world.run(milliseconds(2000));
    CHECK(shared.isRunning(1) && shared.isExcess(1));
    JobSpec entitled = jobOf(4, 1000, milliseconds(3000));
    entitled.steps[0].checkpointed = true;
    shared.submit("birch", 2, entitled);
    CHECK(world.runUntil([&] { return shared.isRunning(2); }, milliseconds(1500)));
    world.run(milliseconds(500));
    CHECK_EQUAL(4U, shared.leader().counters.preempted);
    // More urgent excess has to wait too.
    shared.submit("alder", 3, jobOf(1, 1000, milliseconds(300)), "urgent");
    world.run(milliseconds(1500));
    CHECK_EQUAL(4U, shared.leader().counters.preempted);
    CHECK_FALSE(shared.isRunning(1) || shared.isRunning(3));
    world.run(milliseconds(12000));
    CHECK_EQUAL(4U, shared.leader().counters.preempted);
    CHECK(shared.leader().jobs.live.empty());
    checkNoViolations(world);
}

// Guards against excess of a more urgent queue that less urgent entitled work stops.
TEST(DispatchTenantShares, LessUrgentWorkDoesNotPreemptUrgentExcess)
{
    SharedWorld shared(1, alderAndBirch(0, 100));
    JobSpec filler = jobOf(4, 1000, milliseconds(4000));
    filler.steps[0].checkpointed = true;
    shared.submit("alder", 1, filler, "urgent");
    shared.world.run(milliseconds(500));
    CHECK(shared.isRunning(1));
    shared.submit("birch", 2, jobOf(1, 1000, milliseconds(300)));
    shared.world.run(milliseconds(2000));
    CHECK_EQUAL(0U, shared.leader().counters.preempted);
}

// Guards against excess whose request to the adviser comes before entitled ones because it has waited longer.
TEST(DispatchTenantShares, AdviceRequestsOfExcessComeLast)
{
    Advisor advisor;
    const std::vector<std::string> nodes = {""};
    setAdviceChannels(advisor, nodes);
    WorkerTable workers;
    Outbox outbox;
    const MonotonicTime now{milliseconds(100000)};
    advisor.waiting.push_back({.step = {.job = 1}, .workers = {}, .isExcess = true, .priority = 0});
    advisor.waiting.push_back({.step = {.job = 2},
        .workers = {},
        .priority = 2,
        .dueBy = now + milliseconds(9000),
        .expectedTime = milliseconds(700)});
    advisor.waiting.back().queuedAt = now;
    sendWaitingRequests(advisor, workers, outbox, now, [](AdviceRequest &) { return true; });
    CHECK_EQUAL(1U, advisor.waiting.size());
    CHECK_EQUAL(1U, advisor.waiting.front().step.job);
}

// Guards against tenants above their fair share that come first because their jobs are due earlier.
TEST(DispatchTenantShares, TenantsBelowTheirShareComeFirst)
{
    SharedWorld shared(1, alderAndBirch(100, 100));
    World &world = shared.world;
    shared.submit("alder", 1, jobOf(3, 1000, milliseconds(60000)));
    world.run(milliseconds(200));
    shared.submit("birch", 2, jobOf(1, 1000, milliseconds(1000)));
    world.run(milliseconds(200));
    shared.submit("alder", 3, jobOf(1, 1000, milliseconds(1000)));
    world.run(milliseconds(200));
    shared.submit("birch", 4, jobOf(1, 1000, milliseconds(1000)));
    CHECK(world.runUntil([&] { return shared.isRunning(4) || shared.isRunning(3); }, milliseconds(3000)));
    CHECK(shared.isRunning(4));
}

namespace
{

constexpr std::size_t tenantCount = 10;
/// Four workers of 4 cores serve 32 jobs of 0.5 s and 1 core a second.
constexpr std::size_t loadWorkers = 4;
constexpr milliseconds jobTime{500};
/// Jobs a second that each tenant usually submits, and its weight: 20 of all tenants.
constexpr double usualRate = 2;
/// Entitled jobs are on time if they end within this of their submission.
constexpr milliseconds onTime{2000};
constexpr milliseconds loadTime{10000};

/// Submits jobs of each tenant at its rate and counts those that end on time.
struct Load
{
    SharedWorld shared;
    struct Sent
    {
        std::size_t tenant = 0;
        milliseconds at{0};
        CallId call = 0;
        bool isExcess = false;
        std::optional<milliseconds> endedAt;
    };
    std::map<JobId, Sent> jobs;
    JobId nextId = 1;

    static std::vector<TenantConfig> tenantsOf(double weight)
    {
        std::vector<TenantConfig> tenants;
        for (std::size_t i = 0; i < tenantCount; ++i) {
            tenants.push_back({.name = fmt::format("t{}", i), .keys = {}, .weight = weight});
        }
        return tenants;
    }

    explicit Load(std::size_t nodes = 2)
        : shared(loadWorkers, tenantsOf(usualRate), nodes)
    {
    }

    void submit(std::size_t tenant)
    {
        const JobId id = nextId++;
        const CallId call = shared.submit(fmt::format("t{}", tenant), id, jobOf(1, 1000, jobTime));
        jobs[id] = {.tenant = tenant, .at = shared.world.time, .call = call, .endedAt = {}};
    }

    void noteStates()
    {
        if (shared.world.leader() == nullptr) {
            return;
        }
        for (auto &[id, job] : jobs) {
            if (const Job *live = findJob(shared.leader().jobs, id)) {
                job.isExcess = live->record.isExcess;
            }
            const auto ended = shared.leader().jobs.ended.find(id);
            if (!job.endedAt && ended != shared.leader().jobs.ended.end()) {
                job.endedAt = shared.world.time;
            }
        }
    }

    /// Submits for a time; `rateOf` returns the jobs a second of a tenant.
    void play(milliseconds duration, const std::function<double(std::size_t)> &rateOf)
    {
        constexpr milliseconds turn{20};
        std::vector<double> due(tenantCount, 0.0);
        for (const milliseconds end = shared.world.time + duration; shared.world.time < end;) {
            for (std::size_t tenant = 0; tenant < tenantCount; ++tenant) {
                due[tenant] += rateOf(tenant) * std::chrono::duration<double>(turn).count();
                for (; due[tenant] >= 1.0; due[tenant] -= 1.0) {
                    submit(tenant);
                }
            }
            shared.world.run(turn);
            noteStates();
        }
    }

    void finish()
    {
        play(milliseconds(4000), [](std::size_t) { return 0.0; });
    }

    std::size_t refusals() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(jobs, [&](const auto &entry) {
            const auto answer = shared.world.answerTo(entry.second.call);
            return answer && answer->outcome == ClientOutcome::Refused;
        }));
    }

    /// Fails unless all rejected jobs were excess of the one tenant.
    void checkOnlyExcessOfIsRefused(std::string_view tenant)
    {
        CHECK_EQUAL(refusals(), shared.rowOf(tenant).rejectedExcess);
    }

    /// Share of entitled jobs on time of the worst tenth of the tenants among those named.
    double worstTenth(const std::function<bool(std::size_t)> &counts)
    {
        std::vector<double> shares;
        for (std::size_t tenant = 0; tenant < tenantCount; ++tenant) {
            std::size_t entitled = 0;
            std::size_t inTime = 0;
            for (const auto &[id, job] : jobs) {
                const auto answer = shared.world.answerTo(job.call);
                const bool accepted = answer && answer->outcome == ClientOutcome::Ok;
                if (job.tenant == tenant && accepted && !job.isExcess) {
                    ++entitled;
                    inTime += job.endedAt && *job.endedAt - job.at <= onTime ? 1 : 0;
                }
            }
            if (counts(tenant) && entitled > 0) {
                shares.push_back(static_cast<double>(inTime) / static_cast<double>(entitled));
            }
        }
        const double worst = *std::ranges::min_element(shares);
        UT_PRINT(fmt::format("worst tenth of {} tenants: {:.3f} of entitled jobs on time; {} of {} jobs refused",
            shares.size(), worst, refusals(), jobs.size())
                     .c_str());
        return worst;
    }

    double worstTenth()
    {
        return worstTenth([](std::size_t) { return true; });
    }
};

/// Share of entitled jobs that must be on time.
constexpr double wantedShare = 0.95;

} // namespace

// Load pattern: named loads of tenants on a small pool, without a network.
TEST_GROUP(DispatchTenantLoads){};

// Guards against one tenant whose load costs the others their turn.
TEST(DispatchTenantLoads, OneTenantSubmitsEightTimesItsUsualLoad)
{
    Load load;
    load.play(loadTime, [](std::size_t tenant) { return tenant == 0 ? 8 * usualRate : usualRate; });
    load.finish();
    CHECK(load.worstTenth() >= wantedShare);
    load.checkOnlyExcessOfIsRefused("t0");
}

// Guards against excess of all tenants that costs each of them its entitled work.
TEST(DispatchTenantLoads, AllTenantsSubmitTwiceTheirUsualLoad)
{
    Load load;
    load.play(loadTime, [](std::size_t) { return 2 * usualRate; });
    load.finish();
    CHECK(load.worstTenth() >= wantedShare);
}

// Guards against capacity that stays idle while one tenant exceeds its rate.
TEST(DispatchTenantLoads, OneTenantAloneGetsAll)
{
    Load load;
    load.play(loadTime, [](std::size_t tenant) { return tenant == 3 ? 12 * usualRate : 0.0; });
    load.finish();
    CHECK_EQUAL(0U, load.refusals());
    CHECK(load.worstTenth() >= wantedShare);
    CHECK(std::ranges::all_of(load.jobs,
        [](const auto &entry) { return entry.second.endedAt && *entry.second.endedAt - entry.second.at <= onTime; }));
}

// Guards against a lowered weight that takes no effect, or that costs other tenants something.
TEST(DispatchTenantLoads, TheWeightOfATenantIsLowered)
{
    Load load;
    const auto rate = [](std::size_t tenant) { return tenant == 0 ? 8 * usualRate : usualRate; };
    World &world = load.shared.world;
    // All tenants are entitled to 26 of the 32 jobs a second.
    world.configuration.tenants->at(0).weight = 4 * usualRate;
    ++world.configuration.version;
    load.play(loadTime / 2, rate);
    world.configuration.tenants->at(0).weight = usualRate;
    ++world.configuration.version;
    load.play(loadTime, rate);
    load.finish();
    CHECK(load.worstTenth([](std::size_t tenant) { return tenant != 0; }) >= wantedShare);
    load.checkOnlyExcessOfIsRefused("t0");
    CHECK(std::ranges::any_of(load.jobs, [](const auto &entry) { return entry.second.isExcess; }));
}

// Guards against a new leader that takes all of a burst for entitled work, or none of it.
TEST(DispatchTenantLoads, ABurstFollowsATakeover)
{
    Load load(3);
    const auto usual = [](std::size_t) { return usualRate; };
    load.play(loadTime / 2, usual);
    World &world = load.shared.world;
    world.kill(world.leaderIndex());
    CHECK(world.runUntil(
        [&] { return world.leader() != nullptr && world.leader()->dispatcher->runDiscoveryFinished; }, takeoverLimit));
    load.jobs.clear();
    for (int i = 0; i < 40; ++i) {
        load.submit(0);
    }
    load.play(loadTime / 2, usual);
    load.finish();
    CHECK(load.worstTenth([](std::size_t tenant) { return tenant != 0; }) >= wantedShare);
    const auto entitled = std::ranges::count_if(
        load.jobs, [](const auto &entry) { return entry.second.tenant == 0 && !entry.second.isExcess; });
    // The burst's first jobs, and what arrives at the usual rate afterwards.
    CHECK(entitled >= 4);
    CHECK(entitled <= 4 + static_cast<int>(usualRate * 5) + 5);
}

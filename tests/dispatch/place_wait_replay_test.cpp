#include "core/dispatch/dispatcher.h"
#include "core/dispatch/task_runs.h"
#include "core/routing/random.h"
#include "tests/dispatch/dispatch_world.h"
#include "tests/dispatch/idle_worker.h"

#include <algorithm>
#include <array>
#include <string>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr std::uint64_t leaderToken = 7;
constexpr std::size_t workerCount = 12;
constexpr std::size_t nearCount = 4;

QueueConfig queueNamed(std::string name)
{
    return {.name = std::move(name), .host = "h", .pathPrefix = "/q/", .pool = "pool", .priority = 1, .maxAttempts = 2};
}

/// A leader's tables with contacted workers, and no messages: each pass of the placement is a function of the tables.
struct PlacementTables
{
    PlacementTables()
    {
        dispatcher.configuration
            = {.version = 1, .queues = {queueNamed("plain"), queueNamed("advised")}, .pools = {{.name = "pool"}}};
        dispatcher.configuration.queues[1].advice
            = AdviceTimes{.base = milliseconds(50), .perWorker = milliseconds(1), .ticketValidity = milliseconds(1500)};
        indexQueues(dispatcher.configuration);
        dispatcher.endsLoaded = true;
        for (std::size_t i = 0; i < workerCount; ++i) {
            addIdleWorker(dispatcher, fmt::format("w{}", i)).entry.rack = i < nearCount ? "near" : "far";
        }
    }

    Job &addJob(JobId id, const JobSpec &spec, std::string queue, milliseconds dueIn)
    {
        auto job = std::make_unique<Job>();
        job->record = {.id = id, .queue = queueNamed(std::move(queue)), .spec = spec};
        job->accepted = true;
        job->submittedAt = now;
        job->arrivedAt = now;
        job->dueBy = now + dueIn;
        job->occurrences.push_back(makeOccurrence(spec, 0));
        return *(dispatcher.jobs.live[id] = std::move(job));
    }

    /// One pass of the placement. Returns the starts that it ordered, in order, with their workers.
    std::string pass()
    {
        dispatcher.orders.clear();
        outbox.actions.clear();
        placeTasks(dispatcher, now);
        std::string starts;
        for (const Action &action : outbox.actions) {
            if (const auto *start = std::get_if<StartRun>(&action)) {
                starts += fmt::format("{}@{} ", formatTaskKey(start->task), start->worker.id);
            }
        }
        return starts;
    }

    /// Ends the runs that have run for their estimate.
    void endRuns()
    {
        std::vector<std::pair<TaskKey, WorkerSlot>> ended;
        for (WorkerSlot slot = 0; slot < dispatcher.workers.workers.size(); ++slot) {
            for (auto &[key, run] : dispatcher.workers.workers[slot].runs) {
                run.phase = RunPhase::Running;
                const TaskPlace place = findTask(dispatcher, key);
                if (place && now - place.task->startedAt >= place.spec->estimate) {
                    ended.emplace_back(key, slot);
                }
            }
        }
        std::ranges::sort(ended);
        for (const auto &[key, slot] : ended) {
            const auto run = dispatcher.workers.workers[slot].runs.find(key);
            if (run != dispatcher.workers.workers[slot].runs.end()) {
                concludeRun(dispatcher, key, {.task = key, .attempt = run->second.attempt, .end = RunEnd::Done}, slot,
                    {.monotonic = now, .wall = {}});
            }
        }
    }

    Outbox outbox;
    MonotonicTime now{milliseconds(100000)};
    Dispatcher dispatcher{outbox, leaderToken, now, EndRetention(milliseconds(1000))};
};

/// Decisions of many passes over a mixed load: single tasks and gangs of several sizes.
std::string replay(std::uint64_t seed, double remoteFactor, bool withRacks, std::uint64_t *waits = nullptr)
{
    PlacementTables tables;
    tables.dispatcher.bounds.remoteFactor = remoteFactor;
    RandomState random{.value = seed};
    std::string decisions;
    for (JobId id = 1; id <= 80; ++id) {
        const auto estimate = milliseconds(200 + randomBelow(random, 1800));
        const auto count = static_cast<std::uint32_t>(1 + randomBelow(random, 4));
        const auto cpuMilli = static_cast<std::int64_t>(500 + randomBelow(random, 3500));
        JobSpec spec{.payload = "p", .steps = {stepOf(count, cpuMilli, estimate)}};
        spec.steps[0].gang = randomBelow(random, 4) == 0;
        spec.steps[0].maxPerWorker = randomBelow(random, 5) == 0 ? 1 : 0;
        const bool bound = randomBelow(random, 3) > 0;
        spec.steps[0].sameRack = withRacks && bound && spec.steps[0].gang;
        spec.steps[0].dataRack = withRacks && bound && !spec.steps[0].gang ? "near" : "";
        tables.addJob(id, spec, "plain", milliseconds(1000 + randomBelow(random, 6000)));
        for (int i = 0; i < 5; ++i) {
            tables.now += milliseconds(20);
            tables.endRuns();
            decisions += tables.pass();
        }
    }
    if (waits != nullptr) {
        *waits = tables.dispatcher.counters.placeWaits;
    }
    return decisions;
}

/// FNV-1a: the same on each machine, unlike the hashes of the libraries.
std::uint64_t digestOf(std::string_view text)
{
    std::uint64_t digest = 0xcbf29ce484222325U;
    for (const char letter : text) {
        digest = (digest ^ static_cast<unsigned char>(letter)) * 0x100000001b3U;
    }
    return digest;
}

} // namespace

TEST_GROUP(PlaceWaitReplay){};

// Guards against changed decisions in deployments without a factor. The digests are those of the code before waits for
// near places were added (commit e5808ce).
TEST(PlaceWaitReplay, WithoutAFactorTheDecisionsAreThoseFromBeforeTheWaits)
{
    constexpr std::array<std::uint64_t, 4> digests
        = {0x54ab67217f0bfb8U, 0xea16f934cc96c102U, 0xe053f595c0a5addcU, 0x8e08fcf2d282a1e2U};
    for (std::uint64_t seed = 1; seed <= digests.size(); ++seed) {
        const std::uint64_t digest = digestOf(replay(seed, 1.0, true));
        CHECK_TEXT(digest == digests.at(seed - 1), fmt::format("seed {}: {:#x}", seed, digest).c_str());
    }
}

// Guards against a factor of at most 1 that makes tasks wait, and against a load that would never wait.
TEST(PlaceWaitReplay, NothingWaitsUnlessFarRunsTakeLonger)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        std::uint64_t waits = 0;
        CHECK(replay(seed, 1.0, true) == replay(seed, 0.5, true, &waits));
        CHECK_EQUAL(0, waits);
        replay(seed, 4.0, true, &waits);
        CHECK(waits > 0);
    }
}

// Guards against changed decisions about steps without a data rack and gangs without sameRack.
TEST(PlaceWaitReplay, StepsWithoutARackAreNotAffectedByTheFactor)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        std::uint64_t waits = 0;
        CHECK(replay(seed, 1.0, false) == replay(seed, 4.0, false, &waits));
        CHECK_EQUAL(0, waits);
    }
}

namespace
{

/// Whether a task waits if its only near place is free in 0.4 s and its tickets are valid for this long.
bool waitsWithTickets(milliseconds validity)
{
    PlacementTables tables;
    tables.dispatcher.bounds.remoteFactor = 2.0;
    for (JobId id = 1; id <= nearCount; ++id) {
        JobSpec filler{.payload = "f", .steps = {stepOf(1, 4000, milliseconds(id == 1 ? 800 : 9000))}};
        filler.steps[0].dataRack = "near";
        tables.addJob(id, filler, "plain", milliseconds(20000));
    }
    tables.pass();
    tables.now += milliseconds(400);
    JobSpec spec{.payload = "p", .steps = {stepOf(1, 4000, milliseconds(2000))}};
    spec.steps[0].dataRack = "near";
    Job &job = tables.addJob(9, spec, "advised", milliseconds(20000));
    for (WorkerSlot slot = 0; slot < workerCount; ++slot) {
        job.occurrences[0].steps[0].allowed[slot]
            = {.ticket = "t", .validUntil = tables.now + validity, .incarnation = 1};
    }
    const std::string starts = tables.pass();
    CHECK_EQUAL(starts.empty(), tables.dispatcher.counters.placeWaits == 1);
    return starts.empty();
}

} // namespace

// Guards against a wait for a place that the task can't use, because its ticket expires before the place is free.
TEST(PlaceWaitReplay, ATaskWaitsOnlyForPlacesWithTicketsThatLastLongEnough)
{
    CHECK_TRUE(waitsWithTickets(milliseconds(1500)));
    CHECK_FALSE(waitsWithTickets(milliseconds(500)));
}

// Guards against steps that wait by choice and count as steps without room: together with those they would end the pass
// before less urgent steps that have room.
TEST(PlaceWaitReplay, WaitingStepsDoNotEndThePass)
{
    constexpr JobId waitingSteps = 16;
    constexpr JobId blockedSteps = 50;
    PlacementTables tables;
    tables.dispatcher.bounds.remoteFactor = 2.0;
    JobSpec nearFiller{.payload = "n", .steps = {stepOf(nearCount * 4, 1000, milliseconds(800))}};
    nearFiller.steps[0].dataRack = "near";
    tables.addJob(1, nearFiller, "plain", milliseconds(1000));
    // More than half of the pool is in use, so that steps beyond the limit of the pass are not examined in turn.
    JobSpec farFiller{.payload = "f", .steps = {stepOf(workerCount - nearCount, 2000, milliseconds(9000))}};
    farFiller.steps[0].dataRack = "far";
    farFiller.steps[0].maxPerWorker = 1;
    tables.addJob(2, farFiller, "plain", milliseconds(1000));
    tables.pass();
    tables.now += milliseconds(500);
    for (JobId id = 100; id < 100 + blockedSteps; ++id) {
        JobSpec spec{.payload = "b", .steps = {stepOf(1, 1000, milliseconds(2000))}};
        spec.steps[0].requiredLabel = fmt::format("missing{}", id);
        tables.addJob(id, spec, "plain", milliseconds(20000));
    }
    for (JobId id = 200; id < 200 + waitingSteps; ++id) {
        JobSpec spec{.payload = "w", .steps = {stepOf(1, 1000, milliseconds(2000))}};
        spec.steps[0].dataRack = "near";
        tables.addJob(id, spec, "plain", milliseconds(21000));
    }
    tables.addJob(300, {.payload = "p", .steps = {stepOf(1, 1000, milliseconds(2000))}}, "plain", milliseconds(22000));
    const std::string starts = tables.pass();
    CHECK_EQUAL(waitingSteps, tables.dispatcher.counters.placeWaits);
    CHECK(starts.starts_with(formatTaskKey({.step = {.job = 300}})));
}

// Guards against passes that grow with the number of waiting steps: further ones start on far places.
TEST(PlaceWaitReplay, TheNumberOfWaitingStepsIsBounded)
{
    PlacementTables tables;
    tables.dispatcher.bounds.remoteFactor = 2.0;
    JobSpec filler{.payload = "n", .steps = {stepOf(nearCount * 40, 100, milliseconds(800))}};
    filler.steps[0].dataRack = "near";
    filler.steps[0].size.memoryMib = 10;
    tables.addJob(1, filler, "plain", milliseconds(1000));
    for (int i = 0; i < 4; ++i) {
        tables.pass();
    }
    tables.now += milliseconds(500);
    for (JobId id = 2; id < 42; ++id) {
        JobSpec spec{.payload = "w", .steps = {stepOf(1, 100, milliseconds(2000))}};
        spec.steps[0].dataRack = "near";
        tables.addJob(id, spec, "plain", milliseconds(20000));
    }
    tables.pass();
    CHECK_EQUAL(20, tables.dispatcher.counters.placeWaits);
    CHECK_EQUAL(20, tables.dispatcher.orders.size());
}

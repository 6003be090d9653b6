#include "core/log.h"
#include "tests/dispatch/dispatch_world.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>
#include <xxhash.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr milliseconds settleTime{3000};
constexpr JobId lastJob = 80;

/// Worker on which the leader has placed the task.
std::string placeOf(World &world, const TaskKey &task)
{
    Dispatcher &dispatcher = *world.leader()->dispatcher;
    Job *job = findJob(dispatcher.jobs, task.step.job);
    return dispatcher.workers.workers[findStep(*job, task.step)->tasks[task.index].worker].entry.id;
}

/// A digest of all starts, in order, with their times and workers. The load fills the workers, with gangs and steps
/// that follow others; sizes and estimates are drawn. Jobs of one queue have no victims to choose among, and none needs
/// advice: both would depend on the order of hash tables.
std::string playStarts(std::uint64_t seed)
{
    World world(2, 6, seed);
    std::string starts;
    RandomState random{.value = seed * 1000003};
    world.actualRun = [&](const TaskKey &task, std::uint32_t attempt) {
        starts += fmt::format("{} {} {} {}\n", world.time.count(), formatTaskKey(task), attempt, placeOf(world, task));
        const std::uint64_t part = 50 + (task.step.job * 37 + task.step.step * 11 + task.index * 7) % 100;
        return WorldRun{.work = world.specs[task.step.job].steps[task.step.step].estimate * part / 100};
    };
    world.run(settleTime);
    for (JobId id = 1; id <= lastJob; ++id) {
        const auto estimate = milliseconds(200 + randomBelow(random, 1800));
        StepSpec first = stepOf(static_cast<std::uint32_t>(1 + randomBelow(random, 4)),
            static_cast<std::int64_t>(300 + randomBelow(random, 1700)), estimate);
        first.gang = randomBelow(random, 3) == 0;
        first.maxPerWorker = randomBelow(random, 4) == 0 ? 1 : 0;
        JobSpec spec{.payload = "p", .steps = {first}};
        if (randomBelow(random, 3) == 0) {
            spec.steps.push_back(stepOf(2, static_cast<std::int64_t>(200 + randomBelow(random, 900)), estimate / 2));
            spec.steps.back().after = {0};
        }
        world.submit(world.leaderIndex(), id, spec, "batch");
        world.run(milliseconds(20 + randomBelow(random, 130)));
    }
    world.run(milliseconds(30000));
    CHECK(world.leader()->dispatcher->jobs.live.empty());
    CHECK(world.starts > 2 * lastJob);
    checkNoViolations(world);
    return fmt::format("{:016x}", XXH3_64bits(starts.data(), starts.size()));
}

} // namespace

TEST_GROUP(DispatchPlacementReplay){void setup() override{setLogLevel(LogLevel::Error);
}
void teardown() override
{
    setLogLevel(LogLevel::Info);
}
}
;

// Guards against changes of the placement in deployments without tenants. The digests were recorded with the code
// before tenants; a change that is meant to alter the placement has to record them again.
TEST(DispatchPlacementReplay, StartsWithoutTenantsAreAsBefore)
{
    STRCMP_EQUAL("c448ee298236002b", playStarts(1).c_str());
    STRCMP_EQUAL("5a40cc49b0c1a12b", playStarts(2).c_str());
    STRCMP_EQUAL("f563e15c35ad1e97", playStarts(3).c_str());
}

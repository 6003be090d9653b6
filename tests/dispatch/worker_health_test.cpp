#include "core/dispatch/job_table.h"
#include "core/dispatch/worker_health.h"
#include "core/dispatch/worker_table.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

namespace
{

constexpr MonotonicTime start{milliseconds(100000)};

WorkerTable tableOf(std::size_t count)
{
    WorkerTable table;
    for (std::size_t i = 0; i < count; ++i) {
        table.workers[addWorker(table, "w" + std::to_string(i))].entry.pool = "pool";
    }
    return table;
}

bool isAvoided(const WorkerTable &table, WorkerSlot slot, MonotonicTime now)
{
    return table.workers[slot].health.avoidUntil > now;
}

} // namespace

TEST_GROUP(DispatchWorkerHealth){};

// Guards against a leader whose own link is cut, which would avoid all workers as unreachable.
TEST(DispatchWorkerHealth, AtMostHalfOfAPoolIsAvoided)
{
    WorkerTable table = tableOf(6);
    for (int round = 0; round < 10; ++round) {
        for (WorkerSlot slot = 0; slot < 6; ++slot) {
            recordFailure(table, slot, 0.5, start + milliseconds(100) * round);
        }
    }
    std::size_t avoided = 0;
    for (WorkerSlot slot = 0; slot < 6; ++slot) {
        avoided += isAvoided(table, slot, start + milliseconds(1000)) ? 1 : 0;
    }
    CHECK_EQUAL(3, avoided);
}

// Guards against failures that are hours apart and add up.
TEST(DispatchWorkerHealth, TheScoreFallsWithTime)
{
    WorkerTable table = tableOf(4);
    for (int i = 0; i < 10; ++i) {
        recordFailure(table, 0, 1.0, start + std::chrono::minutes(i));
    }
    CHECK(!isAvoided(table, 0, start + std::chrono::minutes(9)));
    for (int i = 0; i < 3; ++i) {
        recordFailure(table, 1, 1.0, start + milliseconds(300) * i);
    }
    CHECK(isAvoided(table, 1, start + milliseconds(600)));
}

// Guards against a worker that fails all its runs and gets three tasks after each pause.
TEST(DispatchWorkerHealth, OneFailureAfterThePauseIsEnough)
{
    WorkerTable table = tableOf(4);
    for (int i = 0; i < 3; ++i) {
        recordFailure(table, 0, 1.0, start);
    }
    const MonotonicTime end = table.workers[0].health.avoidUntil;
    recordFailure(table, 0, 1.0, end + milliseconds(100));
    CHECK(isAvoided(table, 0, end + milliseconds(100)));
    CHECK(table.workers[0].health.avoidUntil - end > milliseconds(5000));
}

// Guards against blaming workers for one task, or for all tasks of one job, that fail everywhere.
TEST(DispatchWorkerHealth, FailuresOfOneJobOnMostOfItsWorkersAreItsOwn)
{
    Job job;
    job.record.spec.steps = {{.count = 4}};
    const StepSpec &spec = job.record.spec.steps[0];
    StepRun step;
    step.tasks.resize(4);
    step.remaining = 4;
    // The first failure can't be told from one of the worker.
    CHECK(isWorkerSuspect(job, spec, step, step.tasks[0], 0));
    CHECK(!isWorkerSuspect(job, spec, step, step.tasks[1], 0));
    CHECK(!isWorkerSuspect(job, spec, step, step.tasks[1], 1));
    // Tasks of the step that are done speak against the worker.
    step.remaining = 3;
    CHECK(isWorkerSuspect(job, spec, step, step.tasks[2], 1));
    // A task that has failed elsewhere doesn't.
    step.tasks[2].failedOn = 1;
    CHECK(!isWorkerSuspect(job, spec, step, step.tasks[2], 2));
}

// Guards against restarts of long-running tasks without pause, and against a pause that a sound run doesn't end.
TEST(DispatchWorkerHealth, RestartsWaitLongerUntilARunIsStable)
{
    std::uint32_t restarts = 0;
    CHECK(restartDelay(restarts, milliseconds(60)) == milliseconds(50));
    CHECK(restartDelay(restarts, milliseconds(60)) == milliseconds(100));
    for (int i = 0; i < 40; ++i) {
        restartDelay(restarts, milliseconds(60));
    }
    CHECK(restartDelay(restarts, milliseconds(60)) == milliseconds(2000));
    CHECK(restartDelay(restarts, milliseconds(20000)) == milliseconds(50));
}

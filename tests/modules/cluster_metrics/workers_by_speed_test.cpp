#include "modules/cluster_metrics/cluster_metrics.h"
#include "tests/dispatch/kernel_test.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonkeel;
using namespace wigeonkeel::dispatch;

TEST_GROUP_BASE(WorkersBySpeed, KernelTest){};

// Guards against workers that were removed but are still counted, and against counts under the label of another class.
TEST(WorkersBySpeed, ListedWorkersAreCountedByClass)
{
    const ClusterMetrics page(kernel);
    kernel.node.dispatcher = std::make_unique<Dispatcher>(
        kernel.node.outbox, 1, MonotonicTime(milliseconds(0)), EndRetention(milliseconds(1000)));
    WorkerTable &table = kernel.node.dispatcher->workers;
    for (const char *id : {"w0", "w1", "w2", "w3", "w4"}) {
        addWorker(table, id);
    }
    table.workers[0].speed.speedClass = SpeedClass::Slow;
    table.workers[1].speed.speedClass = SpeedClass::Fast;
    table.workers[2].speed.speedClass = SpeedClass::Fast;
    table.workers[3].speed.speedClass = SpeedClass::Slow;
    table.workers[3].listed = false;
    const std::string text = metricsText(page);
    STRCMP_CONTAINS("wigeonkeel_workers_by_speed{class=\"slow\"} 1", text.c_str());
    STRCMP_CONTAINS("wigeonkeel_workers_by_speed{class=\"usual\"} 1", text.c_str());
    STRCMP_CONTAINS("wigeonkeel_workers_by_speed{class=\"fast\"} 2", text.c_str());
}

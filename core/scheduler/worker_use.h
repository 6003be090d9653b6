#pragma once

#include "core/clock.h"
#include "core/worker_messages.h"

#include <string_view>

namespace wigeonkeel
{

struct Scheduler;

/// False if the worker's health excludes it from new tasks, but for a probe.
bool isHealthy(const Scheduler &scheduler, std::string_view worker);

/// Takes note of tasks that a report shows as ended. Called before the report is applied to the cell, because a task
/// that is no longer charged was counted by an earlier report.
void noteTaskResults(Scheduler &scheduler, const WorkerReport &report, const Now &now);

/// Lets excluded workers take one task when their probe is due.
void tickWorkerHealth(Scheduler &scheduler, const Now &now);

/// A start was sent to the worker; one that is being probed gets no second one.
void noteStartSent(Scheduler &scheduler, std::string_view worker);

} // namespace wigeonkeel

#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/task.h"
#include "core/worker_messages.h"

namespace wigeonkeel
{

struct Scheduler;

/// What a task is charged with if it is placed now: the estimate of its workload, but not more than the quota of its
/// team, beyond which it could never start. As declared for operators without settings.
Resources chargeOf(const Scheduler &scheduler, const TaskSpec &task);

/// Learns from a report that was applied to the cell, and throttles or stops runaway tasks.
void onUsageReport(Scheduler &scheduler, const WorkerReport &report, const Now &now, Actions &actions);

} // namespace wigeonkeel

#pragma once

#include "core/caller_messages.h"
#include "core/cell/admission.h"
#include "core/clock.h"
#include "core/task.h"

#include <cstdint>

namespace wigeonkeel
{

struct Scheduler;

/// Number of daemons that the limits are divided by: this one and the peers that are not dead.
std::uint32_t limitDivisor(const Scheduler &scheduler);

/// Decides at its home whether a new submission is within the limits of its workload. Takes tokens if it is.
AdmissionDecision admitSubmission(Scheduler &scheduler, const Submission &submission, const Now &now);

/// Decides whether a task may be started on a worker of this daemon.
AdmissionDecision mayStartTask(const Scheduler &scheduler, const TaskLabel &label, const Resources &size);

/// Tasks with the same number are under the same limits and policies. Teams of operators without settings have one
/// number each, so that they don't hold each other back when settings arrive or by their shares.
std::uint64_t limitGroupFor(const Scheduler &scheduler, const TaskLabel &label);

/// Keep the counts of what waits here.
void noteQueued(Scheduler &scheduler, const TaskLabel &label);
void noteUnqueued(Scheduler &scheduler, const TaskLabel &label);

/// Moves a task that was queued before its operator's settings were known to the shape of its limits and policy, where
/// it can't hold back others. True if it was moved.
bool regroupTask(Scheduler &scheduler, const TaskSpec &task);

/// Holds the task's shape in the queue until a task under the same limit ends.
void holdTask(Scheduler &scheduler, const TaskSpec &task, const LimitKey &limit);

/// Makes tasks ready again under whose limit a task has ended.
void releaseFreedLimits(Scheduler &scheduler);

/// Makes all held tasks ready again: settings or the number of daemons may have changed.
void releaseAllLimits(Scheduler &scheduler);

} // namespace wigeonkeel

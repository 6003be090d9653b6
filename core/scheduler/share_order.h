#pragma once

#include "core/cell/limit_key.h"
#include "core/clock.h"
#include "core/task.h"

namespace wigeonkeel
{

struct Scheduler;

/// Holds shapes back in the queue until teams below their share were tried.
inline const LimitKey shareLimit{.kind = LimitKind::Share, .operatorName = {}, .name = {}};

/// True if a task's team would hold more than its share by weight and dominant resource of this daemon's workers
/// while another team waits below its own. Services and batch tasks only: requests are never held back for shares,
/// and gangs take their room in one step. Time grows with the number of teams.
bool isAboveShare(const Scheduler &scheduler, const TaskLabel &label, const Resources &size);

/// True if such a task may start after those of other teams were tried.
bool mayStartAboveShare(const Scheduler &scheduler, const TaskLabel &label, const Now &now);

/// True if a task that a peer offers may take room here, although teams wait here for room.
bool mayTakeOffered(const Scheduler &scheduler, const TaskLabel &label, const Resources &size, const Now &now);

/// Makes shapes ready again that shares held back, if room has changed since they were tried.
void releaseShares(Scheduler &scheduler);

} // namespace wigeonkeel

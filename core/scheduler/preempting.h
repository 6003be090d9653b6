#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/task.h"

namespace wigeonkeel
{

struct Scheduler;

/// Pre-empts batch tasks for requests that found no room; no more sets of victims than requests wait.
void makeRoomForRequests(Scheduler &scheduler, const TaskSpec &task, const Now &now, Actions &actions);

/// Takes victims to their next stage.
void tickPreemption(Scheduler &scheduler, const Now &now, Actions &actions);

} // namespace wigeonkeel

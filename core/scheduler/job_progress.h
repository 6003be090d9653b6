#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/protocol/jobs.h"

#include <vector>

namespace wigeonkeel
{

struct Scheduler;

/// True if the tasks of some owned workers are not known yet.
bool isRebuilding(const Scheduler &scheduler);

/// Tasks of a job on owned workers.
std::vector<TaskId> tasksOnWorkers(const Scheduler &scheduler, const RequestKey &key);

/// Takes a queued task back whose job was stopped. True if it must not be started; the caller takes it out of the
/// queue.
bool takeBackIfStopped(Scheduler &scheduler, const TaskId &task, const Now &now);

/// What the operator's settings and the cell say about the tasks of a job.
JobUpdateContext contextOf(Scheduler &scheduler, const RequestKey &key);

/// Does what a job needs now, a bounded part of it: queues or takes back tasks, asks peers, writes its record.
void lookAtJob(Scheduler &scheduler, const RequestKey &key, const Now &now, Actions &actions);

} // namespace wigeonkeel

#pragma once

#include "core/action.h"
#include "core/cell/pending_queue.h"
#include "core/clock.h"
#include "core/event.h"
#include "core/task.h"

#include <string>

namespace wigeonkeel
{

struct Scheduler;

/// Queues a task. Its home is told by TaskUpdateMessage what becomes of it: Sent when a start was sent, Refused when
/// the queue gave it up and no start was sent, then what the worker reports.
void enqueueTask(Scheduler &scheduler, const TaskSpec &task, const Now &now, Actions &actions);

/// Takes a task out of the queue. False if it is not queued (any more).
bool removeQueued(Scheduler &scheduler, const TaskId &task);

/// Starts a task on an owned worker: chosen by the policy of its kind, charged, then sent. False if there is no room.
bool placeTask(Scheduler &scheduler, const TaskSpec &task, const Now &now, Actions &actions);

/// Sends the start of a task that is charged to a worker which may be given work, and tells the home.
void sendStart(Scheduler &scheduler, const std::string &worker, const TaskSpec &task, const Now &now, Actions &actions);

/// Makes workers placeable again whose lease was renewed; forgets those that are no longer known.
void resumeWorkers(Scheduler &scheduler, const Now &now);

/// Places what waits, offers to peers what finds no room, refuses what is past its start deadline. Bounded work: what
/// is left over is taken up by the next call, at the latest with the next tick.
void placeQueued(Scheduler &scheduler, const Now &now, Actions &actions);

} // namespace wigeonkeel

#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/peer_messages.h"
#include "core/protocol/gangs.h"
#include "core/task.h"

#include <span>
#include <string_view>
#include <vector>

namespace wigeonkeel
{

struct Scheduler;

/// Reserves room on own workers for as many of the tasks as possible and returns these.
std::vector<TaskSpec> reserveRoom(Scheduler &scheduler, std::span<const TaskSpec> tasks, const Now &now);

/// Sends the starts of tasks that room is reserved for.
void startReserved(Scheduler &scheduler, std::span<const TaskSpec> tasks, const Now &now, Actions &actions);

/// Holds room for as many of the tasks as possible. Returns their indices; a repetition returns the same.
std::vector<std::uint32_t> reserveHere(Scheduler &scheduler, const ReservationId &id, const RequestKey &gang,
    std::span<const TaskSpec> tasks, milliseconds hold, const Now &now);

/// Starts the listed tasks of a reservation, or none. True if they were started, now or by an earlier copy.
bool commitHere(Scheduler &scheduler, const ReservationId &id, const RequestKey &gang,
    std::span<const std::uint32_t> indices, const Now &now, Actions &actions);

/// Ends a reservation. One that is not known is ended before it begins: a Reserve that comes later holds nothing.
void abortHere(Scheduler &scheduler, const ReservationId &id, const RequestKey &gang, const Now &now);

/// Sends a Stop to each listed task (all if none is listed) of a job that is charged here. Returns these tasks.
std::vector<TaskId> stopHere(Scheduler &scheduler, const RequestKey &job, std::span<const std::uint32_t> indices,
    const Now &now, Actions &actions);

void onReserve(
    Scheduler &scheduler, std::string_view from, const ReserveMessage &message, const Now &now, Actions &actions);
void onCommit(
    Scheduler &scheduler, std::string_view from, const CommitMessage &message, const Now &now, Actions &actions);
void onAbort(Scheduler &scheduler, std::string_view from, const AbortMessage &message, const Now &now);

/// Stops tasks of a job here. Tells the home that those which still run are here, so that it asks again.
void onStopTasks(Scheduler &scheduler, const StopTasksMessage &message, const Now &now, Actions &actions);

/// Ends reservations on a worker that is no longer owned.
void onGangWorkerLost(Scheduler &scheduler, const Now &now);

} // namespace wigeonkeel

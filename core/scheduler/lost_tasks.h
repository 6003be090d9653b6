#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/peer_messages.h"
#include "core/task.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wigeonkeel
{

struct Scheduler;

/// Tasks of a worker whose hold has ended here. They may still run until their leases end.
struct LostWorker
{
    struct Task
    {
        TaskUpdateMessage update;
        TaskKind kind = TaskKind::Batch;
    };

    std::vector<Task> tasks;
    MonotonicTime lostAt{};
};

struct LostTaskTable
{
    /// Until the worker is owned here again or leaves the VM list.
    std::map<std::string, LostWorker, std::less<>> workers;
};

/// Remembers the tasks of a worker that is about to be taken out of the cell. Those of kind request are left out: their
/// homes settle them like offers to a lost peer (offers.h).
void keepLostTasks(Scheduler &scheduler, std::string_view worker, const Now &now);

/// The worker left the VM list: the homes of its tasks are told that the tasks are lost.
void tellWorkerGone(Scheduler &scheduler, std::string_view worker, const Now &now, Actions &actions);

} // namespace wigeonkeel

#pragma once

#include "core/action.h"
#include "core/clock.h"
#include "core/peer_messages.h"

#include <map>
#include <span>

namespace wigeonkeel
{

struct Scheduler;

/// Updates for homes on other daemons that were not acknowledged yet.
struct TaskUpdateQueue
{
    struct Entry
    {
        TaskUpdateMessage update;
        std::string home;
        MonotonicTime nextSend{};
        /// Another daemon has taken note in place of the home, which is told when it is heard again: a paused home
        /// still has callers who wait.
        bool substituted = false;
        MonotonicTime substitutedAt{};
    };

    std::map<TaskId, Entry> pending;
    milliseconds resendInterval{500};
    /// A home that is not heard for this long is not told any more.
    milliseconds keepSubstituted{600000};
};

/// The daemon that is told of a task's progress: the one that accepted the work, or its successor.
std::string homeOfTask(const Scheduler &scheduler, const TaskUpdateMessage &update);

/// Gives updates to the homes of their tasks: on this daemon at once, on another by message until acknowledged.
void deliverUpdates(Scheduler &scheduler, std::span<const TaskUpdateMessage> updates, const Now &now, Actions &actions);

/// A home has taken note of an update. An ended task is acknowledged to its worker.
void onUpdateAcknowledged(
    Scheduler &scheduler, const TaskUpdateAckMessage &acknowledgement, const Now &now, Actions &actions);

/// An update arrived for a task whose home is here. Acknowledged when the home has taken note of it.
void onUpdateReceived(
    Scheduler &scheduler, std::string_view from, const TaskUpdateMessage &update, const Now &now, Actions &actions);

/// Sends again what was not acknowledged in time.
void tickTaskUpdates(Scheduler &scheduler, const Now &now, Actions &actions);

} // namespace wigeonkeel

#include "core/scheduler/task_updates.h"

#include "core/scheduler/job_events.h"
#include "core/scheduler/request_events.h"
#include "core/scheduler/scheduler.h"

namespace wigeonkeel
{

namespace
{

bool isEnd(TaskProgress progress)
{
    return progress == TaskProgress::Done || progress == TaskProgress::Failed || progress == TaskProgress::Stopped;
}

/// Hands an update to the part that the task belongs to. True if the owner may forget the task.
bool giveToHome(Scheduler &scheduler, const TaskUpdateMessage &update, const Now &now, Actions &actions)
{
    if (const auto taken = onJobUpdate(scheduler, update, now, actions)) {
        return *taken;
    }
    return onRequestUpdate(scheduler, update, now, actions);
}

void acknowledgeToWorker(
    Scheduler &scheduler, std::string_view worker, const TaskId &task, const Now &now, Actions &actions)
{
    sendCommand(scheduler.ownership, worker, {.kind = CommandKind::Acknowledge, .task = task}, now, actions);
}

/// Keeps an update for its home, which is not heard now.
void keepForHome(Scheduler &scheduler, const TaskUpdateMessage &update, const Now &now)
{
    if (update.home.empty() || update.home == scheduler.membership.options.self.name) {
        return;
    }
    scheduler.taskUpdates.pending.insert_or_assign(update.task,
        TaskUpdateQueue::Entry{
            .update = update, .home = update.home, .substituted = true, .substitutedAt = now.monotonic});
}

} // namespace

std::string homeOfTask(const Scheduler &scheduler, const TaskUpdateMessage &update)
{
    if (!update.home.empty() && isAlive(scheduler.membership, update.home)) {
        return update.home;
    }
    return std::string(homeOf(scheduler.membership, partitionOf(update.task.job)));
}

namespace
{

/// Gives an update to the home on this daemon. An end that the home has not made durable yet is given again.
void giveOrKeep(Scheduler &scheduler, const TaskUpdateMessage &update, const Now &now, Actions &actions)
{
    const bool taken = giveToHome(scheduler, update, now, actions);
    if (!isEnd(update.progress)) {
        return;
    }
    if (!taken) {
        scheduler.taskUpdates.pending.insert_or_assign(update.task,
            TaskUpdateQueue::Entry{.update = update,
                .home = scheduler.membership.options.self.name,
                .nextSend = now.monotonic + scheduler.taskUpdates.resendInterval});
        return;
    }
    scheduler.taskUpdates.pending.erase(update.task);
    acknowledgeToWorker(scheduler, update.worker, update.task, now, actions);
}

} // namespace

void deliverUpdates(Scheduler &scheduler, std::span<const TaskUpdateMessage> updates, const Now &now, Actions &actions)
{
    for (const TaskUpdateMessage &update : updates) {
        const std::string home = homeOfTask(scheduler, update);
        if (home == scheduler.membership.options.self.name) {
            giveOrKeep(scheduler, update, now, actions);
            noteGangUpdate(scheduler, home, update, now, actions);
            keepForHome(scheduler, update, now);
            continue;
        }
        scheduler.taskUpdates.pending.insert_or_assign(update.task,
            TaskUpdateQueue::Entry{
                .update = update, .home = home, .nextSend = now.monotonic + scheduler.taskUpdates.resendInterval});
        actions.push_back(SendToPeer{.peer = home, .message = update});
    }
}

void onUpdateAcknowledged(
    Scheduler &scheduler, const TaskUpdateAckMessage &acknowledgement, const Now &now, Actions &actions)
{
    const auto found = scheduler.taskUpdates.pending.find(acknowledgement.task);
    // A later update may have replaced the one that is acknowledged here.
    if (found == scheduler.taskUpdates.pending.end() || found->second.update.progress != acknowledgement.progress) {
        return;
    }
    const TaskUpdateQueue::Entry entry = found->second;
    scheduler.taskUpdates.pending.erase(found);
    if (isEnd(acknowledgement.progress) && !entry.substituted) {
        acknowledgeToWorker(scheduler, entry.update.worker, acknowledgement.task, now, actions);
    }
    if (entry.home != entry.update.home) {
        keepForHome(scheduler, entry.update, now);
    }
}

void onUpdateReceived(
    Scheduler &scheduler, std::string_view from, const TaskUpdateMessage &update, const Now &now, Actions &actions)
{
    const bool taken = giveToHome(scheduler, update, now, actions);
    if (taken || !isEnd(update.progress)) {
        actions.push_back(SendToPeer{.peer = std::string(from),
            .message = TaskUpdateAckMessage{.task = update.task, .progress = update.progress}});
    }
}

void tickTaskUpdates(Scheduler &scheduler, const Now &now, Actions &actions)
{
    TaskUpdateQueue &queue = scheduler.taskUpdates;
    std::erase_if(queue.pending, [&](const auto &item) {
        return item.second.substituted && now.monotonic - item.second.substitutedAt >= queue.keepSubstituted;
    });
    std::vector<TaskUpdateMessage> ownUpdates;
    for (auto &[task, entry] : queue.pending) {
        const bool waits = entry.substituted && !isAlive(scheduler.membership, entry.update.home);
        if (waits || now.monotonic < entry.nextSend) {
            continue;
        }
        entry.home = homeOfTask(scheduler, entry.update);
        entry.nextSend = now.monotonic + queue.resendInterval;
        if (entry.home == scheduler.membership.options.self.name) {
            ownUpdates.push_back(entry.update);
            continue;
        }
        actions.push_back(SendToPeer{.peer = entry.home, .message = entry.update});
    }
    // Giving an update to its home changes the queue of updates.
    for (const TaskUpdateMessage &update : ownUpdates) {
        giveOrKeep(scheduler, update, now, actions);
    }
}

} // namespace wigeonkeel

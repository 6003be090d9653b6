#include "core/dispatch/placement/worker_room.h"

#include <algorithm>

namespace wigeonkeel::dispatch
{

namespace
{

/// A ticket with less time left is renewed, because the start must arrive before the ticket expires.
constexpr milliseconds ticketMargin{60};
constexpr std::uint32_t noLimit = UINT32_MAX;

bool hasLabel(const Worker &worker, std::string_view label)
{
    return std::ranges::find(worker.entry.labels, label) != worker.entry.labels.end();
}

} // namespace

std::vector<Resources> roomOfWorkers(const Dispatcher &dispatcher)
{
    std::vector<Resources> room;
    room.reserve(dispatcher.workers.workers.size());
    for (const Worker &worker : dispatcher.workers.workers) {
        room.push_back(freeRoom(worker));
    }
    return room;
}

bool needsTicket(const ReadyStep &ready)
{
    return ready.queue->advice.has_value();
}

bool isAllowed(const ReadyStep &ready, WorkerSlot slot)
{
    return !needsTicket(ready) || ready.step->allowed.contains(slot);
}

bool hasTicket(const Dispatcher &dispatcher, const ReadyStep &ready, WorkerSlot slot, MonotonicTime now)
{
    if (!needsTicket(ready)) {
        return true;
    }
    const auto found = ready.step->allowed.find(slot);
    return found != ready.step->allowed.end() && found->second.validUntil > now + ticketMargin
        && found->second.incarnation == dispatcher.workers.workers[slot].entry.incarnation;
}

std::uint32_t remainingPerWorker(const ReadyStep &ready, WorkerSlot slot)
{
    if (ready.spec->maxPerWorker == 0) {
        return noLimit;
    }
    const std::uint32_t there = tasksOnWorker(*ready.step, slot);
    return there >= ready.spec->maxPerWorker ? 0 : ready.spec->maxPerWorker - there;
}

bool hasPoolAndLabel(const ReadyStep &ready, const Worker &worker)
{
    return worker.entry.pool == ready.queue->pool
        && (ready.spec->requiredLabel.empty() || hasLabel(worker, ready.spec->requiredLabel));
}

bool isEligible(const ReadyStep &ready, const Worker &worker, MonotonicTime now)
{
    return canAcceptStarts(worker, now) && hasPoolAndLabel(ready, worker);
}

std::uint32_t countFitting(const Resources &size, const Resources &room, std::uint32_t limit)
{
    std::int64_t count = limit;
    const auto bound = [&count](std::int64_t each, std::int64_t available) {
        if (each > 0) {
            count = std::min(count, std::max<std::int64_t>(0, available) / each);
        }
    };
    bound(size.cpuMilli, room.cpuMilli);
    bound(size.memoryMib, room.memoryMib);
    bound(size.accelerators, room.accelerators);
    return static_cast<std::uint32_t>(count);
}

std::uint32_t tasksOnWorker(const StepRun &step, WorkerSlot slot)
{
    const auto there = std::ranges::count_if(
        step.tasks, [slot](const Task &task) { return task.phase == TaskPhase::Assigned && task.worker == slot; });
    const auto planned = std::ranges::count(step.plan, slot, &PlannedPlace::worker);
    return static_cast<std::uint32_t>(there + planned);
}

} // namespace wigeonkeel::dispatch

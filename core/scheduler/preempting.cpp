#include "core/scheduler/preempting.h"

#include "core/scheduler/scheduler.h"

namespace wigeonkeel
{

namespace
{

/// Sets of victims that one call chooses; a set takes up to about 50 microseconds to find.
constexpr std::size_t maxSetsPerCall = 16;
/// Share of its size that a victim may use until it is checkpointed.
constexpr std::uint32_t victimPercent = 10;

void sendCommands(Scheduler &scheduler, std::span<const PreemptionCommand> commands, const Now &now, Actions &actions)
{
    for (const PreemptionCommand &command : commands) {
        const std::string worker = scheduler.cell.workers[command.worker].name;
        sendCommand(scheduler.ownership, worker,
            {.kind = command.kind, .task = command.task, .holder = {}, .throttlePercent = victimPercent}, now, actions);
        ++scheduler.counters.preemptionCommands;
    }
}

} // namespace

void makeRoomForRequests(Scheduler &scheduler, const TaskSpec &task, const Now &now, Actions &actions)
{
    const std::size_t waiting = scheduler.pending.kinds[static_cast<std::size_t>(TaskKind::Request)].count;
    for (std::size_t i = 0; i < maxSetsPerCall && scheduler.preemption.victims.size() < waiting; ++i) {
        const auto commands = makeRoom(scheduler.preemption, scheduler.cell, task.size, now);
        if (commands.empty()) {
            return;
        }
        sendCommands(scheduler, commands, now, actions);
    }
}

void tickPreemption(Scheduler &scheduler, const Now &now, Actions &actions)
{
    sendCommands(scheduler, advanceVictims(scheduler.preemption, scheduler.cell, now), now, actions);
}

} // namespace wigeonkeel

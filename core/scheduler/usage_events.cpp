#include "core/scheduler/usage_events.h"

#include "core/scheduler/scheduler.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

/// A throttled runaway task gets all that it is charged with.
constexpr std::uint32_t runawayPercent = 100;

std::int64_t within(std::int64_t amount, std::int64_t quota)
{
    return quota == 0 ? amount : std::min(amount, quota);
}

} // namespace

Resources chargeOf(const Scheduler &scheduler, const TaskSpec &task)
{
    const ConfigEntry *entry = findOperator(scheduler.configTable, task.label.operatorName);
    if (entry == nullptr) {
        return task.size;
    }
    Resources charge = chargeFor(scheduler.usage, scheduler.cell, task);
    const auto team = entry->settings.teams.find(task.label.team);
    if (charge != task.size && team != entry->settings.teams.end()) {
        charge.cpuMilli = within(charge.cpuMilli, team->second.quota.cpuMilli);
        charge.memoryMib = within(charge.memoryMib, team->second.quota.memoryMib);
    }
    return charge;
}

void onUsageReport(Scheduler &scheduler, const WorkerReport &report, const Now &now, Actions &actions)
{
    UsageTable &usage = scheduler.usage;
    if (!usage.runaways.empty()) {
        forgetEnded(usage, scheduler.cell);
    }
    noteUsageReport(usage, scheduler.cell, report);
    for (const RunawayCommand &command : checkRunaways(usage, scheduler.cell, report, now)) {
        const bool isStop = command.kind == CommandKind::Stop;
        if (!isStop && scheduler.preemption.victims.contains(command.task)) {
            // Pre-emption throttles it further than this would.
            continue;
        }
        ++(isStop ? scheduler.counters.runawaysStopped : scheduler.counters.runawaysThrottled);
        sendCommand(scheduler.ownership, report.worker,
            {.kind = command.kind, .task = command.task, .holder = {}, .throttlePercent = runawayPercent}, now,
            actions);
    }
}

} // namespace wigeonkeel

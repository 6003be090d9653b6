#include "core/scheduler/settings_in_force.h"

#include "core/cell/team_shares.h"
#include "core/scheduler/scheduler.h"

#include <algorithm>

#include <fmt/format.h>

namespace wigeonkeel
{

namespace
{

PolicyChoice choiceOf(
    const CellState &cell, std::string_view operatorName, const OperatorSettings &settings, Actions &actions)
{
    PolicyChoice choice{};
    for (std::size_t kind = 0; kind < taskKindCount; ++kind) {
        const std::string &name = settings.policies[kind];
        if (name.empty()) {
            continue;
        }
        const auto found = std::ranges::find(cell.availablePolicies, name, &PolicyPlugin::name);
        if (found != cell.availablePolicies.end()) {
            choice[kind] = &*found;
            continue;
        }
        actions.push_back(LogAction{.level = LogLevel::Warning,
            .part = "config",
            .text = fmt::format("Operator {} names policy '{}' for {} tasks, which this daemon was built without; the "
                                "default is used.",
                operatorName, name, toString(static_cast<TaskKind>(kind)))});
    }
    return choice;
}

} // namespace

void setAvailablePolicies(Scheduler &scheduler, std::span<const PolicyPlugin> policies)
{
    scheduler.cell.availablePolicies = policies;
    for (const PolicyPlugin &policy : policies) {
        scheduler.configCommands.options.policyNames.emplace_back(policy.name);
    }
    std::ranges::sort(scheduler.configCommands.options.policyNames);
}

void takeChangedSettings(Scheduler &scheduler, Actions &actions)
{
    for (const std::string &name : scheduler.configTable.changed) {
        if (const ConfigEntry *entry = findOperator(scheduler.configTable, name)) {
            setTeamWeights(scheduler.cell.admission, entry->settings);
            setOperatorPolicies(scheduler.cell, name, choiceOf(scheduler.cell, name, entry->settings, actions));
        }
    }
    scheduler.configTable.changed.clear();
}

} // namespace wigeonkeel

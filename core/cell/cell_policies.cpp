#include "core/cell/cell_state.h"

#include <algorithm>

#include <absl/container/flat_hash_set.h>

namespace wigeonkeel
{

namespace
{

/// A program has a handful of policies, so the search is linear.
const PolicyInstance *findInstance(const CellState &cell, const PolicyPlugin *plugin)
{
    const auto found = std::ranges::find(cell.policies, plugin, &PolicyInstance::plugin);
    return plugin == nullptr || found == cell.policies.end() ? nullptr : &*found;
}

void addInstance(CellState &cell, const PolicyPlugin *plugin)
{
    PolicyInstance policy{.plugin = plugin};
    if (plugin->create != nullptr) {
        policy.owner = std::shared_ptr<void>(plugin->create(), plugin->destroy);
        policy.state = policy.owner.get();
    }
    for (WorkerIndex index = 0; plugin->workerChanged != nullptr && index < cell.workers.size(); ++index) {
        plugin->workerChanged(policy.state, cell, index);
    }
    cell.policies.push_back(std::move(policy));
}

/// Creates the states of policies that came into use and destroys those that are no longer used.
void updateInstances(CellState &cell)
{
    absl::flat_hash_set<const PolicyPlugin *> used(cell.policyByKind.begin(), cell.policyByKind.end());
    for (const auto &[name, choice] : cell.policiesByOperator) {
        used.insert(choice.begin(), choice.end());
    }
    used.erase(nullptr);
    std::erase_if(cell.policies, [&](const PolicyInstance &policy) { return !used.contains(policy.plugin); });
    for (const PolicyPlugin *plugin : used) {
        if (findInstance(cell, plugin) == nullptr) {
            addInstance(cell, plugin);
        }
    }
    // Another policy may find room where the former one found none.
    ++cell.roomVersion;
}

} // namespace

const PolicyPlugin *policyFor(const CellState &cell, const TaskLabel &label)
{
    const auto kind = static_cast<std::size_t>(label.kind);
    const auto found = cell.policiesByOperator.find(label.operatorName);
    const bool named = found != cell.policiesByOperator.end() && found->second[kind] != nullptr;
    return named ? found->second[kind] : cell.policyByKind[kind];
}

void setPolicy(CellState &cell, TaskKind kind, const PolicyPlugin *plugin)
{
    cell.policyByKind[static_cast<std::size_t>(kind)] = plugin;
    updateInstances(cell);
}

void setOperatorPolicies(CellState &cell, std::string_view operatorName, const PolicyChoice &choice)
{
    const auto found = cell.policiesByOperator.find(operatorName);
    const PolicyChoice present = found == cell.policiesByOperator.end() ? PolicyChoice{} : found->second;
    if (choice == present) {
        return;
    }
    if (choice == PolicyChoice{}) {
        cell.policiesByOperator.erase(found);
    } else {
        cell.policiesByOperator.insert_or_assign(std::string(operatorName), choice);
    }
    updateInstances(cell);
}

void notifyPolicies(CellState &cell)
{
    for (const WorkerIndex worker : cell.changedWorkers) {
        cell.workers[worker].changePending = false;
        for (const PolicyInstance &policy : cell.policies) {
            if (policy.plugin->workerChanged != nullptr) {
                policy.plugin->workerChanged(policy.state, cell, worker);
            }
        }
    }
    cell.changedWorkers.clear();
}

std::optional<WorkerIndex> chooseWorker(CellState &cell, const TaskSpec &task, const Now &now)
{
    const PolicyInstance *policy = findInstance(cell, policyFor(cell, task.label));
    if (policy == nullptr) {
        return std::nullopt;
    }
    notifyPolicies(cell);
    return policy->plugin->choose(policy->state, cell, task, now);
}

std::vector<WorkerIndex> chooseWorkers(CellState &cell, std::span<const TaskSpec> tasks, const Now &now)
{
    if (tasks.empty()) {
        return {};
    }
    const PolicyInstance *policy = findInstance(cell, policyFor(cell, tasks.front().label));
    if (policy == nullptr || policy->plugin->chooseAll == nullptr) {
        return {};
    }
    notifyPolicies(cell);
    return policy->plugin->chooseAll(policy->state, cell, tasks, now);
}

} // namespace wigeonkeel

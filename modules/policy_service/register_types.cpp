#include "modules/policy_service/register_types.h"

#include "modules/policy_service/spread_counts.h"

#include "core/cell/worker_groups.h"
#include "core/registry.h"

#include <algorithm>

namespace wigeonkeel
{

namespace
{

/// Samples for the choice of the rack within a zone.
constexpr unsigned sampleCount = 16;

struct ServicePolicyState
{
    WorkerGroups groups;
    SpreadCounts counts;
    std::uint64_t randomState = 2;
};

std::optional<WorkerIndex> chooseInGroup(ServicePolicyState &state, const WorkerGroup &group, const CellState &cell,
    const Resources &size, std::uint64_t workload)
{
    if (!mayFit(group.tree, size)) {
        return std::nullopt;
    }
    // The load is below 1, so it only decides between racks with the same count.
    const auto score
        = [&](const WorkerEntry &worker) { return countIn(state.counts, workload, worker.rack) + loadOf(worker); };
    const auto sampled = sampleGroup(group, cell, size, sampleCount, state.randomState, score);
    if (sampled) {
        return sampled;
    }
    const auto start = static_cast<std::uint32_t>(nextRandom(state.randomState) % group.members.size());
    return findInGroup(group, size, start);
}

/// Zones with the fewest tasks of the workload first; in a zone, workers without accelerators first.
std::optional<WorkerIndex> chooseForService(void *state, const CellState &cell, const TaskSpec &task, const Now &)
{
    auto &policy = *static_cast<ServicePolicyState *>(state);
    struct Candidate
    {
        bool accelerated;
        std::uint32_t count;
        std::size_t group;

        auto operator<=>(const Candidate &) const = default; // NOLINT(modernize-use-nullptr)
    };
    const std::uint64_t workload = workloadHash(task.label);
    std::vector<Candidate> order;
    for (std::size_t i = 0; i < policy.groups.groups.size(); ++i) {
        const WorkerGroup &group = policy.groups.groups[i];
        order.push_back({group.accelerated, countIn(policy.counts, workload, group.zone), i});
    }
    std::ranges::sort(order);
    for (const Candidate &candidate : order) {
        const auto worker = chooseInGroup(policy, policy.groups.groups[candidate.group], cell, task.size, workload);
        if (worker) {
            return worker;
        }
    }
    return std::nullopt;
}

void *createState()
{
    return new ServicePolicyState;
}

void destroyState(void *state)
{
    delete static_cast<ServicePolicyState *>(state);
}

void noteWorker(void *state, const CellState &cell, WorkerIndex worker)
{
    auto &policy = *static_cast<ServicePolicyState *>(state);
    updateGroups(policy.groups, cell, worker);
    updateCounts(policy.counts, cell, worker);
}

} // namespace

void registerPolicyService(Registry &registry)
{
    registry.addPolicy({.name = "service",
        .defaultFor = {TaskKind::Service},
        .create = createState,
        .destroy = destroyState,
        .workerChanged = noteWorker,
        .choose = chooseForService});
}

} // namespace wigeonkeel

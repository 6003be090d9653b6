#include "modules/policy_service/spread_counts.h"

namespace wigeonkeel
{

namespace
{

void add(SpreadCounts &counts, std::uint64_t key)
{
    ++counts.counts[key];
}

void subtract(SpreadCounts &counts, std::uint64_t key)
{
    const auto found = counts.counts.find(key);
    if (found != counts.counts.end() && --found->second == 0) {
        counts.counts.erase(found);
    }
}

std::uint64_t combine(std::uint64_t workload, std::uint64_t domain)
{
    return workload * 0x9e3779b97f4a7c15ULL + domain;
}

} // namespace

std::uint64_t workloadHash(const TaskLabel &label)
{
    return stableHash(label.workload, stableHash(label.operatorName));
}

std::uint32_t countIn(const SpreadCounts &counts, std::uint64_t workload, std::string_view domain)
{
    const auto found = counts.counts.find(combine(workload, stableHash(domain)));
    return found == counts.counts.end() ? 0 : found->second;
}

void updateCounts(SpreadCounts &counts, const CellState &cell, WorkerIndex worker)
{
    if (counts.workers.size() <= worker) {
        counts.workers.resize(cell.workers.size());
    }
    SpreadCounts::WorkerPart &part = counts.workers[worker];
    const WorkerEntry &entry = cell.workers[worker];
    const std::uint64_t zone = stableHash(entry.zone);
    const std::uint64_t rack = stableHash(entry.rack);
    if (part.serviceChanges == entry.serviceChanges && part.zone == zone && part.rack == rack) {
        return;
    }
    for (const std::uint64_t workload : part.workloads) {
        subtract(counts, combine(workload, part.zone));
        subtract(counts, combine(workload, part.rack));
    }
    part = {.serviceChanges = entry.serviceChanges, .zone = zone, .rack = rack, .workloads = {}};
    for (const TaskId &id : entry.tasks) {
        const TaskLabel &label = labelOf(cell, cell.tasks.at(id));
        if (label.kind != TaskKind::Service) {
            continue;
        }
        const std::uint64_t workload = workloadHash(label);
        part.workloads.push_back(workload);
        add(counts, combine(workload, zone));
        add(counts, combine(workload, rack));
    }
}

} // namespace wigeonkeel
